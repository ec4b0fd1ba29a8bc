//! The driver of the decisions: hands in what happened, carries the table of owed invocations and
//! the journal along, and says what the transport is to do. It owns no socket and no clock.

use crate::counters::Counters;
use crate::flow::Cut;
use crate::holds::{HoldError, Holds, ID_MAX};
use crate::journal::{self, End, Journal, JournalError, Record, TakenOn, Under};
use crate::note::Note;
use crate::over::Over;
use crate::store::Store;
use crate::{CallEnd, CallId, Ending, Invocation, InvokerCall, Notice, Parcel, ProviderList, Rider, Said};
use serde::{Deserialize, Serialize};
use spurshore::breaks::{self, Break};
use spurshore::{
    Effect, Entry, Facade, Item, ListKind, ListState, Message, Micros, MsgId, Order, Outcome, PastAttempt,
    Report, Settings, SettingsError,
};
use spurshore_settings::{Env, Names, settings};
use spurshore_tables::Line;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

mod calls;
mod list;
mod restore;
mod seen;
mod settle;
mod state;
mod streams;
mod watch;

use calls::{Out, calls_of};
use list::Known;
pub use state::{ResumeError, State, mark};
use streams::Stream;
pub use streams::{StreamEnd, StreamLimits};
pub use watch::UnknownId;

/// Advice with a rejection for want of room: the module's own for a message that it sheds.
pub const NO_ROOM_WAIT: Micros = 2_000_000;
/// Advice with a rejection by a courier that has stopped taking on: by then the front deals to others only.
const STOPPING_WAIT: Micros = 500_000;
/// Advice with a rejection for a destination that the list of an earlier life lacks.
const UNHEARD_WAIT: Micros = 500_000;
/// Between two tries to note an end that the store has refused: short against the 300 ms that an end has.
const WRITE_AGAIN: Micros = 50_000;
/// What stands around a message in a call with others: names of the fields, quotes and commas.
const FRAME: usize = 32;

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
    /// Its number in this life's settings; none that they have: it is ended as it is found.
    class: usize,
    dest: u64,
    deadline: Micros,
    /// Ended, and the platform has yet to confirm it.
    end: Option<Ending>,
    /// Attempts of it that the journal has.
    noted: u32,
    stream: Option<Stream>,
}

#[derive(Clone, Debug)]
pub struct Router<S> {
    facade: Facade,
    classes: Arc<[String]>,
    /// What a repeat of each class may do.
    effects: Arc<[Effect]>,
    kinds: Arc<[String]>,
    /// For each kind: the endpoints of a destination are separate routes.
    apart: Arc<[bool]>,
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
    /// In the journal, from another courier's: whether they are owed here is for the fleet to say.
    unsettled: BTreeMap<journal::Source, Vec<(MsgId, journal::Entry)>>,
    owed: BTreeMap<MsgId, Owed>,
    ids: HashMap<String, MsgId>,
    over: Over,
    out: BTreeMap<CallId, Out>,
    /// Calls by provider.
    out_at: BTreeSet<(u32, CallId)>,
    /// The messages of each call with several, and until when each of these is waited for.
    bundles: BTreeMap<CallId, Vec<CallId>>,
    waits: BTreeSet<(Micros, CallId)>,
    /// A message that is not waited for any longer may be sent again while its call goes on for the others.
    second_copies: bool,
    tenants: Arc<[String]>,
    /// The values of a report of load, where answers hold one.
    load_fields: Arc<[String]>,
    notices: Line,
    /// Ended, and the store has refused the record so far; told once it is written.
    unwritten: Line,
    /// When the store is asked again.
    write_at: Micros,
    next: MsgId,
    /// A planned stop has begun: nothing is taken on from then on.
    stopping: Option<Micros>,
    /// Messages whose ends are asked for by id, and those that came since.
    watched: BTreeSet<String>,
    watched_ends: Vec<(String, End)>,
    /// The journal's words since the last steps.
    notes: Vec<Note>,
    pub counters: Counters,
}

impl<S: Store> Router<S> {
    /// One that owes nothing and knows nobody, and is to be given so many messages that are owed already. What was
    /// taken on has its place: where these alone are more than the module's share of the table, it would turn some away
    /// before it tried them. New ones are let in below `open_cap` as ever.
    fn fresh(
        env: &Env,
        streams: Option<StreamLimits>,
        owed: usize,
        facade: impl FnOnce(Settings) -> Result<Facade, SettingsError>,
        journal: Journal<S>,
        next: MsgId,
        notes: Vec<Note>,
    ) -> Result<Self, RouterError> {
        let (mut settings, zones) = settings_of(env, streams)?;
        let open_cap = settings.open_cap as usize;
        // The module sheds beyond nine tenths.
        let room = u32::try_from(owed + owed / 8 + 2).unwrap_or(u32::MAX);
        if owed > open_cap / 10 * 9 {
            settings.open_cap = settings.open_cap.max(room);
        }
        let effects = settings.classes.iter().map(|class| class.effect).collect();
        Ok(Router {
            facade: facade(settings)?,
            classes: env.categories.iter().map(|c| c.name.clone()).collect(),
            effects,
            kinds: env.skus.as_slice().into(),
            apart: env.family_info.separate_routes.as_slice().into(),
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
            unsettled: BTreeMap::new(),
            owed: BTreeMap::new(),
            ids: HashMap::new(),
            over: Over::default(),
            out: BTreeMap::new(),
            out_at: BTreeSet::new(),
            bundles: BTreeMap::new(),
            waits: BTreeSet::new(),
            second_copies: env.limits.second_copies.unwrap_or(true),
            tenants: env.tenants.iter().map(|t| t.name.clone()).collect(),
            load_fields: match env.load_report.via.as_deref() {
                Some("answers") => env.load_report.fields.as_slice().into(),
                _ => Arc::default(),
            },
            notices: Line::default(),
            unwritten: Line::default(),
            write_at: Micros::MAX,
            next,
            stopping: None,
            watched: BTreeSet::new(),
            watched_ends: Vec::new(),
            notes,
            counters: Counters::default(),
        })
    }

    /// A consumer hands in an invocation.
    pub fn take_on(&mut self, invocation: Invocation, now: Micros) -> (Intake, Vec<Step>) {
        self.take(invocation, false, now)
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
            // One that waits for the fleet's word is not owed yet.
            return match self.owed.get(msg).and_then(|owed| owed.end) {
                None => Intake::Open,
                Some(Ending::Deferred(after)) => Intake::Rejected { after },
                Some(Ending::Undeliverable) => Intake::Failed,
            };
        }
        match self.over.get(&id) {
            Some(End::Delivered) => return Intake::Delivered,
            Some(End::Deferred { after }) => return Intake::Rejected { after },
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
        let number = tenant.as_ref().and_then(|name| self.tenants.iter().position(|t| t == name));
        let parcel = Arc::new(Parcel { id, key, tenant: tenant.map(String::into_boxed_str), body });
        let of_stream = stream.then(Stream::default);
        let class = class_number;
        self.owed.insert(msg, Owed { parcel, class, dest, deadline, end: None, noted: 0, stream: of_stream });
        steps.push(Step::Note(Note::TakenOn { msg, dest, class, time_left }));
        let tenant = number;
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
        self.tell_watcher(msg, End::Deferred { after });
        self.write(&Record::Told { msg }, now);
        self.notices.remove(msg);
        self.unwritten.remove(msg);
        self.over(msg, End::Deferred { after });
        self.counters.deferred -= 1;
        Some(after)
    }

    /// Whether an invocation with this id was taken on, as far back as is remembered.
    pub fn knows(&self, id: &str) -> bool {
        self.ids.contains_key(id) || self.over.get(id).is_some()
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

    /// Invocations owed an end, and invoker calls out.
    pub fn load(&self) -> (usize, usize) {
        (self.owed.len(), self.out.len())
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
            self.tell_watcher(msg, end);
            self.notices.remove(msg);
            self.unwritten.remove(msg);
            self.over(msg, end);
        }
    }

    /// Whoever is owed the end hears it: a stream's consumer, who still waits, or else the platform.
    fn tell(&mut self, msg: MsgId, ending: Ending, steps: &mut Vec<Step>) {
        self.tell_watcher(msg, ending.into());
        match self.owed.get(&msg).and_then(|owed| owed.stream) {
            Some(stream) if !stream.deaf => {
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
        if !breaks::on(Break::ForgetOver) {
            self.over.remember(id, end, until);
        }
    }

    fn forget(&mut self, now: Micros) {
        while let Some(id) = self.over.forget(now) {
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

/// Bytes that a message takes in a call with others, at most: its body in Base64, its names escaped, its frame.
fn size(id: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let escaped =
        |text: &str| text.len() + 5 * text.bytes().filter(|b| matches!(b, b'"' | b'\\' | ..0x20)).count();
    (4 * body.len().div_ceil(3) + escaped(id) + key.map_or(0, escaped) + FRAME) as u64
}
