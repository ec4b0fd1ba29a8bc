//! The driver of the decisions: hands in what happened, carries the table of owed invocations and
//! the journal along, and says what the transport is to do. It owns no socket and no clock.

use crate::counters::Counters;
use crate::flow::Cut;
use crate::holds::{HoldError, Holds, ID_MAX};
use crate::journal::{End, Journal, JournalError, Record, TakenOn};
use crate::note::Note;
use crate::store::Store;
use crate::{CallEnd, CallId, Ending, Invocation, InvokerCall, Notice, Parcel, ProviderList, Rider};
use serde::{Deserialize, Serialize};
use spurshore::breaks::{self, Break};
use spurshore::{
    Entry, Facade, Item, ListKind, ListState, Message, Micros, MsgId, Order, Outcome, PastAttempt, Report,
    Settings, SettingsError,
};
use spurshore_settings::{Env, Names, settings};
use spurshore_tables::Line;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

mod seen;
mod state;

pub use state::{ResumeError, State, mark};

/// Advice with a rejection for want of room: the module's own for a message that it sheds.
pub const NO_ROOM_WAIT: Micros = 2_000_000;
/// Advice with a rejection by a courier that has stopped taking on: by then the front deals to others only.
const STOPPING_WAIT: Micros = 500_000;
/// Advice with a rejection for a destination that the list of an earlier life lacks.
const UNHEARD_WAIT: Micros = 500_000;
/// A provider that is gone is forgotten after this, if no call is out there: it may come back under its
/// id, and its destination may have a new one by then.
const GONE: Micros = 20_000_000;
/// Between two tries to note an end that the store has refused: short against the 300 ms that an end has.
const WRITE_AGAIN: Micros = 50_000;
/// What stands around a message in a call with others: names of the fields, quotes and commas.
const FRAME: usize = 32;
/// Ids of invocations that are over, remembered at most.
const REMEMBERED: usize = 4_096;

#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    #[error("settings: {0}")]
    Decode(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// What the transport is to do, in order.
#[derive(Debug)]
pub enum Step {
    Call(InvokerCall),
    /// The call has no record and stays where it is; it is to be reported as held back.
    NotWritten(CallId),
    GiveUp(CallId),
    /// The message of a call that is out has its end: what has not left of the call is to stay.
    Ended(CallId),
    CloseIdle(u32),
    /// The provider is gone for good.
    Forget(u32),
    /// Calls to the provider may start, or not any more.
    Gate {
        provider: u32,
        open: bool,
    },
    /// No call to the provider may start before then.
    Hold {
        provider: u32,
        until: Micros,
    },
    /// There are notices to send.
    Notify,
    /// A stream has its final answer, for its consumer's connection; [`Router::answered`] says what came of that.
    Answer {
        msg: MsgId,
        end: StreamEnd,
    },
    /// A line for the log.
    Note(Note),
}

/// The final answer to a streamed invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamEnd {
    Delivered,
    /// Nothing has run; the consumer may come again, after so long.
    Deferred(Micros),
    /// With no promise about its effect.
    Failed,
    /// The consumer itself did not bring it whole.
    Cut(Cut),
}

/// The answer to an invocation handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    TakenOn,
    /// It is over already, and was delivered.
    Delivered,
    /// Not taken on; handing it in again, after so long, is harmless.
    Rejected {
        after: Micros,
    },
    /// The same id ended before with no promise about its effect.
    Failed,
    /// Another with this id is owed its end still.
    Open,
    UnknownClass,
    UnknownDest,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Owed {
    parcel: Arc<Parcel>,
    dest: u64,
    deadline: Micros,
    /// Ended, and the platform has yet to confirm it.
    end: Option<Ending>,
    /// Attempts of it that the journal has.
    noted: u32,
    stream: Option<Stream>,
}

/// What is known of a message whose body is passed on as it comes.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Stream {
    /// A part of its body is gone: no attempt can have all of it any more.
    committed: bool,
    /// An attempt may have run, or may yet.
    may_have_run: bool,
    cut: Option<Cut>,
    /// No other attempt is wanted: its body is lost, or the process ends.
    over: bool,
    /// Its consumer can't be answered any more: the platform is told.
    deaf: bool,
}

/// What streams may take of a courier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamLimits {
    /// Streams at once.
    pub most: usize,
    /// Their part of the slots, and of each destination's window; one of each at least.
    pub part_of_slots: f64,
    pub part_of_window: f64,
}

/// A message that is out in a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Out {
    /// The call, by its first message.
    lead: CallId,
    sent: Micros,
    provider: u32,
    dest: u64,
    /// Its number among the attempts that the journal has, if it has this one.
    noted: Option<u32>,
    /// When a stream's last byte had left.
    written: Option<Micros>,
    /// Until when it is waited for.
    until: Micros,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Known {
    addr: Option<SocketAddr>,
    dest: u64,
    zone: u32,
    /// `usize::MAX`: of none that the settings know.
    kind: usize,
    weight: f64,
    /// As discovery lists it.
    state: ListState,
    gone: Option<Micros>,
}

#[derive(Clone, Debug)]
pub struct Router<S> {
    facade: Facade,
    classes: Arc<[String]>,
    kinds: Arc<[String]>,
    zones: Arc<Names>,
    open_cap: usize,
    /// Streams at once.
    streams_most: usize,
    provider_names: Arc<Names>,
    providers: BTreeMap<u32, Known>,
    /// Those of each destination, and those that are gone by when they went.
    by_dest: BTreeMap<u64, BTreeSet<u32>>,
    went: BTreeSet<(Micros, u32)>,
    /// Endpoints that operators have taken out.
    holds: Holds,
    /// The version of the list that the providers come from.
    version: u64,
    /// Discovery has told of its list in this life.
    heard: bool,
    journal: Journal<S>,
    owed: BTreeMap<MsgId, Owed>,
    ids: HashMap<String, MsgId>,
    over: HashMap<String, End>,
    over_order: VecDeque<(String, Micros)>,
    out: BTreeMap<CallId, Out>,
    /// Calls by provider.
    out_at: BTreeSet<(u32, CallId)>,
    /// The messages of each call with several, and until when each of these is waited for.
    bundles: BTreeMap<CallId, Vec<CallId>>,
    waits: BTreeSet<(Micros, CallId)>,
    /// A message that is not waited for any longer may be sent again while its call goes on for the others.
    second_copies: bool,
    tenants: Arc<[String]>,
    notices: Line,
    /// Ended, and the store has refused the record so far; told once it is written.
    unwritten: Line,
    /// When the store is asked again.
    write_at: Micros,
    next: MsgId,
    /// A planned stop has begun: nothing is taken on from then on.
    stopping: Option<Micros>,
    /// The journal is read: from here on consumers of streams wait on their connections.
    ready: bool,
    /// The journal's words since the last steps.
    notes: Vec<Note>,
    pub counters: Counters,
}

impl<S: Store> Router<S> {
    /// Reads the journal and takes up what it owes; the steps are the first to carry out. No streams are taken on.
    ///
    /// # Errors
    /// The settings make no courier, or the store can't be read.
    pub fn open(
        env: &Env,
        seed: u64,
        known: ProviderList,
        store: S,
        disk: u64,
        now: Micros,
    ) -> Result<(Self, Vec<Step>), RouterError> {
        Self::open_with(env, None, seed, known, store, disk, now)
    }

    /// The same, with streams within their limits, if there are any.
    ///
    /// # Errors
    /// The settings make no courier, or the store can't be read.
    pub fn open_with(
        env: &Env,
        streams: Option<StreamLimits>,
        seed: u64,
        known: ProviderList,
        store: S,
        disk: u64,
        now: Micros,
    ) -> Result<(Self, Vec<Step>), RouterError> {
        let mut notes = Vec::new();
        let (journal, book) = Journal::open(store, disk, now, &mut notes)?;
        let facade = |settings| Facade::new(settings, seed);
        let mut router = Self::fresh(env, streams, facade, journal, book.next, notes)?;
        router.holds = book.holds;
        let mut steps = router.list(known, now);
        router.heard = false;
        for (id, end, until) in book.over {
            router.remember(id, end, until);
        }
        for (msg, entry) in book.owed {
            let TakenOn { id, class, key, dest, deadline, body } = entry.taken;
            let noted = entry.end.filter(|_| !breaks::on(Break::ForgetEnd));
            let end = noted.map(|end| match end {
                End::Deferred { after } => Ending::Deferred(after),
                End::Delivered | End::Undeliverable => Ending::Undeliverable,
            });
            router.ids.insert(id.clone(), msg);
            let size = size(&id, key.as_deref(), &body);
            let parcel = Arc::new(Parcel { id, key, body });
            let noted = entry.calls.len() as u32;
            let stream = entry.stream.then(|| Stream {
                committed: true,
                may_have_run: entry.calls.iter().any(|call| call.never_ran != Some(true)),
                ..Stream::default()
            });
            router.owed.insert(msg, Owed { parcel, dest, deadline, end, noted, stream });
            router.counters.restored += 1;
            if end.is_some() {
                router.notices.push_back(msg);
                steps.push(Step::Notify);
                continue;
            }
            let Some(class) = router.classes.iter().position(|c| *c == class) else {
                // The settings have changed since: nothing can be decided about it any more.
                steps.push(Step::Note(Note::UnknownClass { msg, class }));
                router.end(msg, Ending::Undeliverable, now, &mut steps);
                continue;
            };
            if let Some(stream) = stream {
                // Its body went with the life before.
                router.end(msg, stream.ending(), now, &mut steps);
                continue;
            }
            if deadline <= now {
                // Nothing can be delivered any more, and an end that the store refused may have been told.
                router.end(msg, Ending::Undeliverable, now, &mut steps);
                continue;
            }
            let past = entry.calls.iter().map(|call| PastAttempt {
                zone: call.zone,
                sent: call.sent,
                may_have_run: call.never_ran != Some(true),
            });
            let message = Message {
                id: msg,
                class,
                tenant: None,
                key: None,
                deadline,
                hint: None,
                dest,
                stream: false,
                size,
            };
            let past = past.filter(|_| !breaks::on(Break::ForgetPast)).collect();
            let orders = router.facade.restore(now, message, past);
            router.carry_out(orders, now, &mut steps);
        }
        router.say(&mut steps);
        router.ready = true;
        Ok((router, steps))
    }

    /// One that owes nothing and knows nobody.
    fn fresh(
        env: &Env,
        streams: Option<StreamLimits>,
        facade: impl FnOnce(Settings) -> Result<Facade, SettingsError>,
        journal: Journal<S>,
        next: MsgId,
        notes: Vec<Note>,
    ) -> Result<Self, RouterError> {
        let (settings, zones) = settings_of(env, streams)?;
        let open_cap = settings.open_cap as usize;
        Ok(Router {
            facade: facade(settings)?,
            classes: env.categories.iter().map(|c| c.name.clone()).collect(),
            kinds: env.skus.as_slice().into(),
            zones: Arc::new(zones),
            open_cap,
            streams_most: streams.map_or(0, |limits| limits.most),
            provider_names: Arc::default(),
            providers: BTreeMap::new(),
            by_dest: BTreeMap::new(),
            went: BTreeSet::new(),
            holds: Holds::default(),
            version: 0,
            heard: false,
            journal,
            owed: BTreeMap::new(),
            ids: HashMap::new(),
            over: HashMap::new(),
            over_order: VecDeque::new(),
            out: BTreeMap::new(),
            out_at: BTreeSet::new(),
            bundles: BTreeMap::new(),
            waits: BTreeSet::new(),
            second_copies: env.limits.second_copies.unwrap_or(true),
            tenants: env.tenants.iter().map(|t| t.name.clone()).collect(),
            notices: Line::default(),
            unwritten: Line::default(),
            write_at: Micros::MAX,
            next,
            stopping: None,
            ready: false,
            notes,
            counters: Counters::default(),
        })
    }

    /// A consumer hands in an invocation.
    pub fn take_on(&mut self, invocation: Invocation, now: Micros) -> (Intake, Vec<Step>) {
        self.take(invocation, false, now)
    }

    /// A consumer begins to hand in an invocation whose body is passed on as it comes. Its end comes as
    /// [`Step::Answer`]; the number is the message's, where it is taken on.
    pub fn take_on_stream(&mut self, invocation: Invocation, now: Micros) -> (Intake, MsgId, Vec<Step>) {
        let msg = self.next;
        let (intake, steps) = self.take(invocation, true, now);
        self.counters.streams += u64::from(intake == Intake::TakenOn);
        (intake, msg, steps)
    }

    fn take(&mut self, invocation: Invocation, stream: bool, now: Micros) -> (Intake, Vec<Step>) {
        let mut steps = Vec::new();
        let intake = self.intake(invocation, stream, now, &mut steps);
        self.say(&mut steps);
        match intake {
            Intake::TakenOn => self.counters.taken_on += 1,
            Intake::Delivered => self.counters.repeated += 1,
            Intake::Rejected { .. } => self.counters.rejected += 1,
            Intake::Failed | Intake::Open | Intake::UnknownClass | Intake::UnknownDest => {
                self.counters.malformed += 1
            }
        }
        (intake, steps)
    }

    fn intake(&mut self, invocation: Invocation, stream: bool, now: Micros, steps: &mut Vec<Step>) -> Intake {
        self.forget(now);
        let Invocation { id, class, key, dest, tenant, time_left, body } = invocation;
        let Some(class_number) = self.classes.iter().position(|c| *c == class) else {
            return Intake::UnknownClass;
        };
        // An id is fresh with every invocation, and the end that is told under it must be its own.
        let known = self.ids.get(&id).filter(|_| !breaks::on(Break::TakeOnTwice));
        if let Some(msg) = known {
            return match self.owed[msg].end {
                None => Intake::Open,
                Some(Ending::Deferred(after)) => Intake::Rejected { after },
                Some(Ending::Undeliverable) => Intake::Failed,
            };
        }
        match self.over.get(&id) {
            Some(End::Delivered) => return Intake::Delivered,
            Some(End::Deferred { after }) => return Intake::Rejected { after: *after },
            Some(End::Undeliverable) => return Intake::Failed,
            None => {}
        }
        // No other life can send a stream's body.
        if self.stopping.is_some_and(|until| now >= until || stream) {
            return Intake::Rejected { after: STOPPING_WAIT };
        }
        if !self.by_dest.contains_key(&dest) {
            // Until discovery has been heard the list is an old one, and lacks what is new.
            return if self.heard { Intake::UnknownDest } else { Intake::Rejected { after: UNHEARD_WAIT } };
        }
        if self.ids.len() - self.notices.len() >= self.open_cap {
            return Intake::Rejected { after: NO_ROOM_WAIT };
        }
        let streams = || self.owed.values().filter(|o| o.stream.is_some()).count();
        if stream && streams() >= self.streams_most {
            return Intake::Rejected { after: NO_ROOM_WAIT };
        }
        let (msg, deadline) = (self.next, now.saturating_add(time_left));
        let (taken_id, taken_key, taken_body) = (id.clone(), key.clone(), body.clone());
        let taken = TakenOn { id: taken_id, class, key: taken_key, dest, deadline, body: taken_body };
        let written = self.journal.take_on(msg, taken, stream, now, &mut self.notes);
        if let Some(e) = written.err().filter(|_| !breaks::on(Break::TakeOnUnwritten)) {
            steps.push(Step::Note(Note::NoRoom(e)));
            return Intake::Rejected { after: NO_ROOM_WAIT };
        }
        self.next += 1;
        self.ids.insert(id.clone(), msg);
        let size = size(&id, key.as_deref(), &body);
        let parcel = Arc::new(Parcel { id, key, body });
        let of_stream = stream.then(Stream::default);
        self.owed.insert(msg, Owed { parcel, dest, deadline, end: None, noted: 0, stream: of_stream });
        let class = class_number;
        steps.push(Step::Note(Note::TakenOn { msg, dest, class, time_left }));
        let tenant = tenant.and_then(|name| self.tenants.iter().position(|t| *t == name));
        let message = Message { id: msg, class, tenant, key: None, deadline, hint: None, dest, stream, size };
        let orders = self.facade.pick(now, message);
        self.carry_out(orders, now, steps);
        self.turned_away(msg, now).map_or(Intake::TakenOn, |after| Intake::Rejected { after })
    }

    /// Whether the module gave a message up in the step that brought it, with no attempt: its consumer, who still
    /// waits, hears that it is not taken on, instead of a notice later. Streams are answered on their own way.
    fn turned_away(&mut self, msg: MsgId, now: Micros) -> Option<Micros> {
        let owed = self.owed.get(&msg).filter(|o| o.stream.is_none() && o.noted == 0)?;
        let Some(Ending::Deferred(after)) = owed.end else { return None };
        if self.out.range(calls_of(msg)).next().is_some() {
            return None;
        }
        self.write(&Record::Told { msg }, now);
        self.notices.remove(msg);
        self.unwritten.remove(msg);
        self.over(msg, End::Deferred { after });
        self.counters.deferred -= 1;
        Some(after)
    }

    /// An invoker call ended, for all of its messages alike.
    pub fn call_ended(&mut self, call: CallId, end: CallEnd, now: Micros) -> Vec<Step> {
        let ends = vec![end; self.bundles.get(&call).map_or(1, Vec::len)];
        self.call_ended_each(call, &ends, 0, now)
    }

    /// An invoker call ended with a word for each of its messages, in the order in which they were sent, and a wait (0:
    /// none) that binds beside those of the words.
    pub fn call_ended_each(
        &mut self,
        call: CallId,
        ends: &[CallEnd],
        told: Micros,
        now: Micros,
    ) -> Vec<Step> {
        let (mut steps, mut reports) = (Vec::new(), Vec::new());
        let items = self.bundles.remove(&call).unwrap_or_else(|| vec![call]);
        // One at least is waited for as long as the call is out.
        let out = items.iter().find_map(|item| self.out.get(item)).map(|out| (out.provider, out.dest));
        let Some((provider, dest)) = out else { return steps };
        self.out_at.remove(&(provider, call));
        let waits = ends
            .iter()
            .map(|end| if let CallEnd::Full(wait) | CallEnd::Spoilt(wait) = end { *wait } else { 0 });
        let wait = waits.max().unwrap_or(0).max(told);
        if wait > 0 {
            let until = now.saturating_add(wait);
            let same = self.by_dest.get(&dest).into_iter().flatten();
            steps.extend(same.map(|n| Step::Hold { provider: *n, until }));
        }
        for (item, end) in items.iter().zip(ends) {
            reports.extend(self.message_ended(*item, *end, told, now, &mut steps));
        }
        // The module learns of a call with its last message: one that succeeded says most of the destination.
        reports.sort_by_key(|r: &Report| r.outcome == Outcome::Ok);
        let orders = self.facade.report_all(now, &reports);
        self.carry_out(orders, now, &mut steps);
        self.say(&mut steps);
        steps
    }

    /// A message of a call has this end; what the module is to learn of it.
    fn message_ended(
        &mut self,
        item: CallId,
        end: CallEnd,
        told: Micros,
        now: Micros,
        steps: &mut Vec<Step>,
    ) -> Option<Report> {
        let CallId { msg, attempt } = item;
        let Some(Out { sent, noted, written, until, .. }) = self.out.remove(&item) else {
            self.delivered_late(msg, end, now, steps);
            return None;
        };
        self.waits.remove(&(until, item));
        self.counters.count_call(end);
        let (outcome, wait) = match end {
            CallEnd::Delivered => (Outcome::Ok, 0),
            CallEnd::Error | CallEnd::Each => (Outcome::Error, 0),
            CallEnd::Spoilt(wait) => (Outcome::Error, wait),
            CallEnd::Full(wait) => (Outcome::Full, wait),
            CallEnd::NoSlot | CallEnd::Exhausted | CallEnd::Over | CallEnd::HeldBack => (Outcome::Moot, 0),
            CallEnd::CouldNotConnect => (Outcome::ConnectFailed, 0),
            CallEnd::Reset => (Outcome::Reset, 0),
            CallEnd::TimedOut => (Outcome::Timeout, 0),
            CallEnd::GivenUp => (Outcome::Cancelled, 0),
        };
        let wait = wait.max(told);
        let stream = self.owed.get(&msg).filter(|owed| owed.stream.is_some()).map(|owed| owed.end);
        if stream.is_some() && end == CallEnd::Over {
            // It was withdrawn, or is out of time: that is no delivery, and its consumer waits for a word.
            self.end(msg, Ending::Undeliverable, now, steps);
        } else if matches!(end, CallEnd::Delivered | CallEnd::Over) {
            if stream == Some(None) {
                steps.push(Step::Answer { msg, end: StreamEnd::Delivered });
            }
            self.settle(msg, End::Delivered, now);
        } else if self.owed.contains_key(&msg) {
            let never_ran = matches!(outcome, Outcome::Full | Outcome::Moot | Outcome::ConnectFailed)
                || breaks::on(Break::OutcomeNever);
            if let Some(attempt) = noted {
                self.write(&Record::Outcome { msg, attempt, never_ran }, now);
            }
            self.stream_call_ended(msg, never_ran, now, steps);
        }
        let finished = self.owed.get(&msg).is_none_or(|owed| owed.end.is_some());
        let elapsed = now.saturating_sub(written.unwrap_or(sent));
        Some(Report { msg, attempt, outcome, elapsed, finished, wait })
    }

    /// A call delivered a message that was not waited for any longer: nothing more is owed, and nothing more is to leave.
    fn delivered_late(&mut self, msg: MsgId, end: CallEnd, now: Micros, steps: &mut Vec<Step>) {
        let open = self.owed.get(&msg).is_some_and(|owed| owed.end.is_none());
        if open && matches!(end, CallEnd::Delivered | CallEnd::Over) {
            self.settle(msg, End::Delivered, now);
            let again = self.out.range(calls_of(msg)).map(|(_, out)| Step::Ended(out.lead));
            steps.extend(again);
            let orders = self.facade.ended(now, msg);
            self.carry_out(orders, now, steps);
        }
    }

    /// A message of a call that goes on for others is not waited for any longer; false: it is the call's last.
    fn leave(&mut self, item: CallId, end: CallEnd, now: Micros, steps: &mut Vec<Step>) -> bool {
        let lead = self.out.get(&item).map(|out| out.lead);
        let others = lead.and_then(|lead| self.bundles.get(&lead)).into_iter().flatten();
        if !others.into_iter().any(|other| *other != item && self.out.contains_key(other)) {
            return false;
        }
        let report = self.message_ended(item, end, 0, now, steps);
        let orders = self.facade.report_all(now, report.as_slice());
        self.carry_out(orders, now, steps);
        true
    }

    /// Those whose own time is up leave calls that go on for others.
    fn leave_late(&mut self, now: Micros, steps: &mut Vec<Step>) {
        while let Some((until, item)) = self.waits.first().copied().filter(|(until, _)| *until <= now) {
            self.waits.remove(&(until, item));
            let lead = self.out.get(&item).map(|out| out.lead);
            if !self.second_copies {
                // Sent again it would be a second copy while the call is out.
                steps.extend(lead.map(Step::GiveUp));
            } else {
                // The last one's time is the call's own.
                self.leave(item, CallEnd::TimedOut, now, steps);
            }
        }
    }

    /// A call of a stream is over, and the message is not delivered: without its whole body, or with an end
    /// that was only waiting for this call, the module has nothing to decide any more.
    fn stream_call_ended(&mut self, msg: MsgId, never_ran: bool, now: Micros, steps: &mut Vec<Step>) {
        let Some(stream) = self.owed.get_mut(&msg).and_then(|owed| owed.stream.as_mut()) else { return };
        stream.may_have_run |= !never_ran;
        if (stream.committed && !breaks::on(Break::CommittedAgain)) || stream.over {
            let ending = stream.ending();
            self.end(msg, ending, now, steps);
        }
    }

    /// The last byte of a stream's call has left: its time at the destination begins.
    pub fn stream_written(&mut self, call: CallId, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        if let Some(out) = self.out.get_mut(&call) {
            out.written = Some(now);
            let orders = self.facade.written(now, call.msg, call.attempt);
            self.carry_out(orders, now, &mut steps);
        }
        steps
    }

    /// A part of a stream's body is gone: it has no other attempt.
    pub fn stream_committed(&mut self, msg: MsgId) {
        if let Some(stream) = self.owed.get_mut(&msg).and_then(|owed| owed.stream.as_mut()) {
            stream.committed = true;
        }
    }

    /// No call of a stream has begun in time for its consumer: it is turned away, unless one is out.
    pub fn stream_unbegun(&mut self, msg: MsgId, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        let open = self.owed.get(&msg).is_some_and(|owed| owed.stream.is_some() && owed.end.is_none());
        if open && !self.is_out(msg) {
            self.end_stream(msg, now, &mut steps);
        }
        self.say(&mut steps);
        steps
    }

    /// A stream without a call that is out gets the end that is true of it, and the module forgets it.
    fn end_stream(&mut self, msg: MsgId, now: Micros, steps: &mut Vec<Step>) {
        let Some(stream) = self.owed.get(&msg).and_then(|owed| owed.stream) else { return };
        self.end(msg, stream.ending(), now, steps);
        let orders = self.facade.ended(now, msg);
        self.carry_out(orders, now, steps);
    }

    /// A stream's body will never be whole, or the process ends (`None`): its call is given up, and its end
    /// follows.
    pub fn stream_cut(&mut self, msg: MsgId, why: Option<Cut>, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        let out = self.is_out(msg);
        let Some(owed) = self.owed.get_mut(&msg).filter(|owed| owed.end.is_none()) else { return steps };
        let Some(stream) = owed.stream.as_mut() else { return steps };
        (stream.cut, stream.over) = (stream.cut.or(why), true);
        self.counters.streams_cut += 1;
        if out {
            let calls = self.out.range(calls_of(msg));
            steps.extend(calls.map(|(_, out)| Step::Ended(out.lead)));
        } else {
            self.end_stream(msg, now, &mut steps);
        }
        self.say(&mut steps);
        steps
    }

    /// A stream's consumer was answered on its connection, or can't be: then the platform is told.
    pub fn answered(&mut self, msg: MsgId, heard: bool, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        let Some(owed) = self.owed.get_mut(&msg) else { return steps };
        if let Some(stream) = &mut owed.stream {
            stream.deaf |= !heard && !breaks::on(Break::DeafForgotten);
        }
        match owed.end {
            Some(ending) if heard => {
                self.write(&Record::Told { msg }, now);
                self.over(msg, ending.into());
            }
            Some(_) if !self.notices.contains(msg) && !self.unwritten.contains(msg) => {
                self.notices.push_back(msg);
                steps.push(Step::Notify);
            }
            _ => {}
        }
        self.say(&mut steps);
        steps
    }

    fn is_out(&self, msg: MsgId) -> bool {
        self.out.range(calls_of(msg)).next().is_some()
    }

    /// Discovery told of providers.
    pub fn list(&mut self, list: ProviderList, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        (self.version, self.heard) = (list.version, true);
        if list.full {
            for (n, p) in &mut self.providers {
                // What a whole list omits is gone, as if it said so.
                p.state = ListState::Gone;
                if p.gone.is_none() {
                    p.gone = Some(now);
                    self.went.insert((now, *n));
                }
                steps.push(Step::Gate { provider: *n, open: false });
            }
        }
        let mut entries = Vec::with_capacity(list.providers.len());
        for p in list.providers {
            let n = number(&mut self.provider_names, &p.id) as u32;
            let zone = number(&mut self.zones, &p.zone) as u32;
            let kind = self.kinds.iter().position(|k| *k == p.kind).unwrap_or(usize::MAX);
            let addr = p.addr.or(self.providers.get(&n).and_then(|known| known.addr));
            let gone = (p.state == ListState::Gone).then_some(now);
            let (dest, weight, state) = (p.dest, p.weight, p.state);
            self.know(n, Known { addr, dest, zone, kind, weight, state, gone });
            let state = self.holds.shown(&p.id, state);
            steps.push(Step::Gate { provider: n, open: state == ListState::Ready });
            entries.push(Entry { endpoint: n, dest, kind, zone, weight, state, cold: false });
        }
        let kind = if list.full { ListKind::Whole } else { ListKind::Delta };
        let orders = self.facade.list(now, kind, entries);
        self.carry_out(orders, now, &mut steps);
        self.forget_providers(now, &mut steps);
        self.say(&mut steps);
        steps
    }

    /// Operators take an endpoint out: nothing more goes there, whatever discovery lists, until they put it back.
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn disable(&mut self, id: &str, now: Micros) -> Result<Vec<Step>, HoldError> {
        if self.holds.contains(id) {
            return Ok(Vec::new());
        }
        if self.provider_names.known(id).is_none() || id.len() > ID_MAX {
            return Err(HoldError::Unknown(id.into()));
        }
        if self.holds.is_full() {
            return Err(HoldError::TooMany);
        }
        self.journal.hold(id, true, now, &mut self.notes)?;
        self.holds.insert(id);
        Ok(self.show(id, false, now))
    }

    /// Operators put an endpoint back, cold, however often it was taken out.
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn enable(&mut self, id: &str, now: Micros) -> Result<Vec<Step>, HoldError> {
        if !self.holds.contains(id) {
            let known = self.provider_names.known(id).is_some();
            return if known { Ok(Vec::new()) } else { Err(HoldError::Unknown(id.into())) };
        }
        self.journal.hold(id, false, now, &mut self.notes)?;
        self.holds.remove(id);
        Ok(self.show(id, true, now))
    }

    /// Endpoints that are out.
    pub fn holds(&self) -> &Holds {
        &self.holds
    }

    /// Shows the module and the pool an endpoint as it stands now; `cold`: it may have been restarted.
    fn show(&mut self, id: &str, cold: bool, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        let n = self.provider_names.known(id).and_then(|n| u32::try_from(n).ok());
        if let Some((n, known)) = n.and_then(|n| Some((n, self.providers.get(&n)?))) {
            let &Known { dest, zone, kind, weight, state, .. } = known;
            let state = self.holds.shown(id, state);
            steps.push(Step::Gate { provider: n, open: state == ListState::Ready });
            let entry = Entry { endpoint: n, dest, kind, zone, weight, state, cold };
            let orders = self.facade.list(now, ListKind::Delta, vec![entry]);
            self.carry_out(orders, now, &mut steps);
        }
        self.say(&mut steps);
        steps
    }

    /// A provider is as the list says now.
    fn know(&mut self, n: u32, known: Known) {
        self.unknow(n);
        self.by_dest.entry(known.dest).or_default().insert(n);
        self.went.extend(known.gone.map(|gone| (gone, n)));
        self.providers.insert(n, known);
    }

    fn unknow(&mut self, n: u32) {
        let Some(old) = self.providers.remove(&n) else { return };
        if let Some(same) = self.by_dest.get_mut(&old.dest) {
            same.remove(&n);
            if same.is_empty() {
                self.by_dest.remove(&old.dest);
            }
        }
        if let Some(gone) = old.gone {
            self.went.remove(&(gone, n));
        }
    }

    /// Without this the tables would grow with every provider that ever was.
    fn forget_providers(&mut self, now: Micros, steps: &mut Vec<Step>) {
        let long = self.went.iter().take_while(|(gone, _)| now >= gone + GONE).map(|(_, n)| *n);
        let mut over: Vec<u32> = long.filter(|n| self.calls_at(*n).next().is_none()).collect();
        over.sort_unstable();
        for n in over {
            self.unknow(n);
            Arc::make_mut(&mut self.provider_names).forget(u64::from(n));
            steps.push(Step::Forget(n));
        }
    }

    /// Time has passed; wanted at `wake_at` at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        self.write_again(now, &mut steps);
        self.leave_late(now, &mut steps);
        let orders = self.facade.tick(now);
        self.carry_out(orders, now, &mut steps);
        self.say(&mut steps);
        steps
    }

    pub fn wake_at(&self) -> Option<Micros> {
        let again = (!self.unwritten.is_empty()).then_some(self.write_at);
        let late = self.waits.first().map(|(until, _)| *until);
        self.facade.wake_at().into_iter().chain(again).chain(late).min()
    }

    /// Notes the ends that the store has refused. Told without its record, an end would be forgotten by a
    /// kill, and the next life would choose another, or send the message again.
    fn write_again(&mut self, now: Micros, steps: &mut Vec<Step>) {
        if now < self.write_at {
            return;
        }
        self.write_at = now.saturating_add(WRITE_AGAIN);
        while let Some(msg) = self.unwritten.pop_front() {
            let Some(owed) = self.owed.get_mut(&msg) else { continue };
            let Some(ending) = owed.end else { continue };
            // Its end is due. What is told now any next life tells too, since it finds the time up.
            let due = now >= owed.deadline;
            let ending = if due { Ending::Undeliverable } else { ending };
            owed.end = Some(ending);
            if !self.write(&Record::End { msg, end: ending.into() }, now) && !due {
                self.unwritten.push_front(msg);
                return;
            }
            self.tell(msg, ending, steps);
        }
        self.write_at = Micros::MAX;
    }

    /// The process ends at `at`. Half of the time until then it takes on what consumers still bring on the connections
    /// that they have: most is delivered by the end, the rest is in the journal. Turned away it would be lost where they
    /// do not come again.
    pub fn stop(&mut self, now: Micros, at: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        self.stopping = Some(now.saturating_add(at.saturating_sub(now) / 2));
        let orders = self.facade.stop(now, at);
        self.carry_out(orders, now, &mut steps);
        self.say(&mut steps);
        steps
    }

    /// Notices that the platform has yet to confirm, the oldest first.
    pub fn notices(&self, most: usize) -> Vec<Notice> {
        let owed = self.notices.iter().take(most).filter_map(|msg| Some((msg, self.owed.get(&msg)?)));
        owed.filter_map(|(msg, owed)| Some(Notice { msg, id: owed.parcel.id.clone(), ending: owed.end? }))
            .collect()
    }

    /// The platform has confirmed these notices.
    pub fn told(&mut self, notices: &[Notice], now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        for notice in notices {
            self.write(&Record::Told { msg: notice.msg }, now);
            self.notices.remove(notice.msg);
            self.over(notice.msg, notice.ending.into());
        }
        self.counters.notices += notices.len() as u64;
        self.say(&mut steps);
        steps
    }

    /// The journal's words go with the steps.
    fn say(&mut self, steps: &mut Vec<Step>) {
        steps.extend(self.notes.drain(..).map(Step::Note));
    }

    /// What the journal stands in, for whoever explores it.
    pub fn journal(&self) -> &Journal<S> {
        &self.journal
    }

    pub fn journal_mut(&mut self) -> &mut Journal<S> {
        &mut self.journal
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Invocations owed an end, and invoker calls out.
    pub fn load(&self) -> (usize, usize) {
        (self.owed.len(), self.out.len())
    }

    /// Invoker calls out at a provider.
    pub fn calls_at(&self, provider: u32) -> impl Iterator<Item = CallId> {
        let (first, last) = (CallId { msg: 0, attempt: 0 }, CallId { msg: MsgId::MAX, attempt: u32::MAX });
        self.out_at.range((provider, first)..=(provider, last)).map(|(_, call)| *call)
    }

    pub fn disk(&self) -> u64 {
        self.journal.disk()
    }

    fn carry_out(&mut self, orders: Vec<Order>, now: Micros, steps: &mut Vec<Step>) {
        for order in orders {
            match order {
                Order::Call { endpoint, items } => {
                    self.call(endpoint, &items, now, steps);
                }
                Order::GiveUp { msg, attempt } => {
                    let item = CallId { msg, attempt };
                    let lead = self.out.get(&item).map_or(item, |out| out.lead);
                    if !self.leave(item, CallEnd::GivenUp, now, steps) {
                        steps.push(Step::GiveUp(lead));
                    }
                }
                Order::Reject { msg, after } => self.end(msg, Ending::Deferred(after), now, steps),
                Order::Fail { msg } => self.end(msg, Ending::Undeliverable, now, steps),
                Order::CloseIdle { endpoint } => steps.push(Step::CloseIdle(endpoint)),
                Order::Note(text) => steps.push(Step::Note(Note::Decided(self.named(&text)))),
            }
        }
    }

    /// The module numbers the providers; staff know their names.
    fn named(&self, text: &str) -> String {
        let number = text.strip_prefix("endpoint ").and_then(|rest| rest.split_once(':'));
        match number.and_then(|(n, rest)| Some((n.parse().ok()?, rest))) {
            Some((n, rest)) => format!("provider {}:{rest}", self.provider_names.name(n)),
            None => text.to_string(),
        }
    }

    fn call(&mut self, provider: u32, items: &[Item], now: Micros, steps: &mut Vec<Step>) {
        let known = self.providers.get(&provider).and_then(|p| Some((p.addr?, p.zone, p.dest)));
        let mut parcels = Vec::with_capacity(items.len());
        for &Item { msg, attempt, timeout, by } in items {
            match self.owed.get(&msg).filter(|_| known.is_some()) {
                Some(owed) => {
                    let (call, parcel, stream) =
                        (CallId { msg, attempt }, owed.parcel.clone(), owed.stream.is_some());
                    parcels.push((call, parcel, stream, timeout, by));
                }
                None => steps.push(Step::Note(Note::UnknownCall { msg, attempt, provider })),
            }
        }
        let (Some((addr, zone, dest)), Some((lead, invocation, stream, ..))) =
            (known, parcels.first().cloned())
        else {
            return;
        };
        let times = || parcels.iter().map(|(.., timeout, _)| *timeout);
        let (timeout, told) = (times().max().unwrap_or(0), times().min().unwrap_or(0));
        let by = parcels.iter().map(|(.., by)| *by).min().unwrap_or(Micros::MAX);
        let several = parcels.len() > 1;
        for (item, _, _, timeout, _) in &parcels {
            let until = now.saturating_add(*timeout);
            self.out
                .insert(*item, Out { lead, sent: now, provider, dest, noted: None, written: None, until });
            self.waits.extend(several.then_some((until, *item)));
        }
        self.out_at.insert((provider, lead));
        if several {
            self.bundles.insert(lead, parcels.iter().map(|(item, ..)| *item).collect());
        }
        // Without their records the messages must not leave: after a restart the call would count as never made.
        let record = |(item, ..): &(CallId, _, _, _, _)| Record::Attempt { msg: item.msg, zone, sent: now };
        let records: Vec<Record> = parcels.iter().map(record).collect();
        if !breaks::on(Break::AttemptUnwritten) && !self.write_all(&records, now) {
            return steps.push(Step::NotWritten(lead));
        }
        // The journal counts what it has, and the module what it ordered: a record that the disk refused
        // sets the two apart.
        for (item, ..) in &parcels {
            if let (Some(owed), Some(out)) = (self.owed.get_mut(&item.msg), self.out.get_mut(item)) {
                out.noted = Some(owed.noted);
                owed.noted += 1;
            }
        }
        self.counters.calls += 1;
        if several {
            self.counters.bundles += 1;
            self.counters.bundled += parcels.len() as u64;
        }
        let riders = parcels.into_iter().skip(1);
        let more = riders.map(|(call, invocation, ..)| Rider { call, invocation }).collect();
        steps.push(Step::Call(InvokerCall {
            call: lead,
            provider,
            dest,
            addr,
            invocation,
            timeout,
            by,
            stream,
            more,
            told,
        }));
    }

    fn end(&mut self, msg: MsgId, ending: Ending, now: Micros, steps: &mut Vec<Step>) {
        let Some(owed) = self.owed.get_mut(&msg).filter(|owed| owed.end.is_none()) else { return };
        owed.end = Some(ending);
        match ending {
            Ending::Undeliverable => self.counters.undeliverable += 1,
            Ending::Deferred(_) => self.counters.deferred += 1,
        }
        steps.push(Step::Note(Note::Ended { msg, ending }));
        let written = self.write(&Record::End { msg, end: ending.into() }, now);
        if written || breaks::on(Break::EndUnwritten) {
            self.tell(msg, ending, steps);
        } else {
            self.unwritten.push_back(msg);
            self.write_at = self.write_at.min(now.saturating_add(WRITE_AGAIN));
        }
        steps.extend(self.out.range(calls_of(msg)).map(|(_, out)| Step::Ended(out.lead)));
    }

    /// Delivered, or over by the provider's word: nothing more is owed.
    fn settle(&mut self, msg: MsgId, end: End, now: Micros) {
        if self.owed.contains_key(&msg) {
            self.write(&Record::End { msg, end }, now);
            self.notices.remove(msg);
            self.unwritten.remove(msg);
            self.over(msg, end);
        }
    }

    /// Whoever is owed the end hears it: a stream's consumer, who still waits, or else the platform.
    fn tell(&mut self, msg: MsgId, ending: Ending, steps: &mut Vec<Step>) {
        match self.owed.get(&msg).and_then(|owed| owed.stream) {
            // One of an earlier life has no consumer any more.
            Some(stream) if self.ready && !stream.deaf => {
                let end = match (stream.cut, ending) {
                    (Some(why), _) => StreamEnd::Cut(why),
                    (None, Ending::Deferred(after)) => StreamEnd::Deferred(after),
                    (None, Ending::Undeliverable) => StreamEnd::Failed,
                };
                steps.push(Step::Answer { msg, end });
            }
            _ => {
                self.notices.push_back(msg);
                steps.push(Step::Notify);
            }
        }
    }

    fn over(&mut self, msg: MsgId, end: End) {
        if let Some(owed) = self.owed.remove(&msg) {
            let id = &owed.parcel.id;
            self.ids.remove(id);
            self.journal.settled(msg, id);
            self.remember(id.clone(), end, owed.deadline);
        }
    }

    fn remember(&mut self, id: String, end: End, until: Micros) {
        if breaks::on(Break::ForgetOver) {
            return;
        }
        self.over.insert(id.clone(), end);
        self.over_order.push_back((id, until));
    }

    fn forget(&mut self, now: Micros) {
        while self.over_order.front().is_some_and(|(_, until)| *until <= now)
            || self.over_order.len() > REMEMBERED
        {
            let Some((id, _)) = self.over_order.pop_front() else { return };
            self.over.remove(&id);
            self.journal.forgotten(&id);
        }
    }

    /// A step of what is owed; its room was set aside at the take-on.
    fn write(&mut self, record: &Record, now: Micros) -> bool {
        self.write_all(std::slice::from_ref(record), now)
    }

    /// The same for several, in one append.
    fn write_all(&mut self, records: &[Record], now: Micros) -> bool {
        let written = self.journal.note_all(records, now, &mut self.notes);
        written.map_err(|e| self.notes.push(Note::NotWritten(e))).is_ok()
    }
}

/// What the module is told, and the zones' numbers.
fn settings_of(env: &Env, streams: Option<StreamLimits>) -> Result<(Settings, Names), RouterError> {
    let mut zones = Names::default();
    let mut settings: Settings = settings(env, &mut zones).map_err(RouterError::Decode)?;
    if let Some(limits) = streams {
        let slots = (limits.part_of_slots * f64::from(settings.slots)) as u32;
        (settings.stream_slots, settings.stream_part) = (slots.max(1), limits.part_of_window);
    }
    Ok((settings, zones))
}

impl Stream {
    /// How it ends if it is not delivered.
    fn ending(&self) -> Ending {
        if self.may_have_run { Ending::Undeliverable } else { Ending::Deferred(NO_ROOM_WAIT) }
    }
}

/// Bytes that a message takes in a call with others, at most: its body in Base64, its names escaped, its frame.
fn size(id: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let escaped =
        |text: &str| text.len() + 5 * text.bytes().filter(|b| matches!(b, b'"' | b'\\' | ..0x20)).count();
    (4 * body.len().div_ceil(3) + escaped(id) + key.map_or(0, escaped) + FRAME) as u64
}

/// The numbers of all calls of a message.
fn calls_of(msg: MsgId) -> std::ops::RangeInclusive<CallId> {
    CallId { msg, attempt: 0 }..=CallId { msg, attempt: u32::MAX }
}

/// A name's number; a name that is known copies nothing.
fn number(names: &mut Arc<Names>, name: &str) -> u64 {
    names.known(name).unwrap_or_else(|| Arc::make_mut(names).number(name))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Provider;
    use crate::store::Memory;

    /// New providers replace old ones all day: what is kept of them must not grow with the day.
    #[test]
    fn a_provider_gone_for_good_leaves_every_table() {
        let known = ProviderList { version: 0, full: true, providers: Vec::new() };
        let env = Env::default();
        let (mut router, _) = Router::open(&env, 7, known, Memory::default(), 9_999, 0).unwrap();
        let (mut forgotten, mut most) = (0, 0);
        for n in 0..1_000 {
            let line = |n: u64, state| Provider {
                id: format!("s-{n}"),
                addr: "127.0.0.1:1".parse().ok(),
                dest: 1,
                kind: String::new(),
                zone: String::new(),
                weight: 0.0,
                state,
            };
            let providers = vec![line(n, ListState::Ready), line(n.saturating_sub(1), ListState::Gone)];
            let list = ProviderList { version: n, full: false, providers };
            let steps = router.list(list, n * 1_000_000);
            forgotten += steps.iter().filter(|s| matches!(s, Step::Forget(_))).count();
            most = most.max(router.providers.len());
        }
        let kept = (GONE / 1_000_000) as usize + 2;
        assert!(most <= kept && forgotten >= 999 - kept, "{most} kept, {forgotten} forgotten");
        assert_eq!((router.provider_names.known("s-1"), router.provider_names.name(1)), (None, ""));
    }

    /// The disk refuses the record of an attempt: its number is used up for the module and not for the
    /// journal, and the next outcome must still be noted for the attempt that it belongs to.
    #[test]
    fn an_outcome_is_noted_for_its_own_attempt_after_one_that_was_refused() {
        use crate::journal::Book;
        use crate::store::Fault;
        let category = spurshore_settings::Category {
            name: "fee-debit".into(),
            effect: Some("fragile".into()),
            deadline_ms: 16_000.0,
            promise_ms: 3_000.0,
            ..Default::default()
        };
        let env = Env { categories: vec![category], ..Env::default() };
        let line = Provider {
            id: "s".into(),
            addr: "127.0.0.1:1".parse().ok(),
            dest: 1,
            kind: String::new(),
            zone: String::new(),
            weight: 0.0,
            state: ListState::Ready,
        };
        let known = ProviderList { version: 1, full: true, providers: vec![line] };
        let now = 1_000_000_000;
        let (mut router, _) = Router::open(&env, 7, known.clone(), Memory::default(), 99_999, now).unwrap();
        router.list(known, now);
        let body = bytes::Bytes::new();
        let (id, class, time_left) = ("m".to_string(), "fee-debit".to_string(), 16_000_000);
        // The take-on is written, and the attempt behind it is not.
        router.journal_mut().store_mut().fail(Fault::Full { after: 1 });
        let (_, steps) =
            router.take_on(Invocation { id, class, key: None, dest: 1, tenant: None, time_left, body }, now);
        let refused = steps.iter().find_map(|s| match s {
            Step::NotWritten(call) => Some(*call),
            _ => None,
        });
        router.journal_mut().store_mut().fail(Fault::None);
        let steps = router.call_ended(refused.unwrap(), CallEnd::HeldBack, now);
        let call = steps.iter().find_map(|s| match s {
            Step::Call(call) => Some(call.call),
            _ => None,
        });
        assert_eq!(call.unwrap().attempt, 1);
        router.call_ended(call.unwrap(), CallEnd::Full(0), now);
        let (book, _) = Book::read(router.journal().store().bytes());
        let calls: Vec<_> = book.owed.values().flat_map(|e| &e.calls).map(|c| c.never_ran).collect();
        assert_eq!(calls[0], Some(true), "{calls:?}");
    }

    /// A crowd's guard leaves the second no turn in its time: it is refused itself, and no notice tells of it.
    #[test]
    fn what_is_given_up_as_it_comes_is_not_taken_on() {
        use crate::journal::Book;
        let category = spurshore_settings::Category {
            name: "fee-debit".into(),
            effect: Some("fragile".into()),
            deadline_ms: 16_000.0,
            promise_ms: 3_000.0,
            ..Default::default()
        };
        let env = Env { categories: vec![category], siblings: Some(3_000), me: Some(1), ..Env::default() };
        let line = Provider {
            id: "s".into(),
            addr: "127.0.0.1:1".parse().ok(),
            dest: 1,
            kind: String::new(),
            zone: String::new(),
            weight: 0.0,
            state: ListState::Ready,
        };
        let known = ProviderList { version: 1, full: true, providers: vec![line] };
        let now = 1_000_000_000;
        let (mut router, _) = Router::open(&env, 7, known.clone(), Memory::default(), 99_999, now).unwrap();
        router.list(known, now);
        let hand_in = |router: &mut Router<Memory>, id: &str| {
            let (id, class, time_left, body) =
                (id.into(), "fee-debit".into(), 16_000_000, bytes::Bytes::new());
            router.take_on(Invocation { id, class, key: None, dest: 1, tenant: None, time_left, body }, now)
        };
        let (intake, steps) = hand_in(&mut router, "a");
        let call = steps.iter().find_map(|s| match s {
            Step::Call(call) => Some(call.call),
            _ => None,
        });
        assert_eq!(intake, Intake::TakenOn);
        router.call_ended(call.unwrap(), CallEnd::Full(0), now);
        for _ in 0..2 {
            let (intake, _) = hand_in(&mut router, "b");
            assert!(matches!(intake, Intake::Rejected { after } if after > 0), "{intake:?}");
        }
        let notices = router.notices(9).into_iter().map(|n| n.id).collect::<Vec<_>>();
        assert_eq!((notices, router.load().0), (vec!["a".to_string()], 1));
        let (book, _) = Book::read(router.journal().store().bytes());
        assert_eq!(book.owed.len(), 1, "another life owes it nothing");
    }
}
