//! The driver of the decisions: hands in what happened, carries the table of owed submissions and
//! the journal along, and says what the transport is to do. It owns no socket and no clock.

use crate::counters::Counters;
use crate::disabled::{DisableError, DisabledEndpoints, ID_MAX};
use crate::ended::EndedMessages;
use crate::flow::Cut;
use crate::journal::{self, AcceptedMessage, End, Journal, JournalError, JournalRecord, RepeatEffect};
use crate::note::Note;
use crate::store::Store;
use crate::{
    AnswerReport, BundledMessage, CallEnd, CallId, DeliveryCall, Ending, EndpointList, MessagePayload,
    Notice, Submission,
};
use quillmount_containers::IndexedQueue;
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{
    CallItem, CallReport, Effect, EndpointEntry, EndpointState, Instruction, ListUpdate, Message, Micros,
    MsgId, Outcome, PastAttempt, Policy, Settings, SettingsError,
};
use quillmount_settings::{NameTable, SenderSettings, decode_settings};
use serde::{Deserialize, Serialize};
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

use calls::{OutstandingMessage, calls_of};
use list::KnownEndpoint;
pub use state::{ResumeError, RouterState, settings_fingerprint};
use streams::Stream;
pub use streams::{StreamEnd, StreamLimits};
pub use watch::UnknownId;

/// Advice with a rejection for want of room: the module's own for a message that it sheds.
pub const OVERLOAD_RETRY_AFTER: Micros = 2_000_000;
/// Advice with a rejection by a courier that has stopped taking on: by then the front deals to others only.
const STOPPING_RETRY_AFTER: Micros = 500_000;
/// Advice with a rejection for a destination that the list of an earlier life lacks.
const UNKNOWN_LIST_RETRY_AFTER: Micros = 500_000;
/// Between two tries to note an end that the store has refused: short against the 300 ms that an end has.
const WRITE_RETRY_INTERVAL: Micros = 50_000;
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
pub enum RouterAction {
    Call(DeliveryCall),
    /// The call has no record and stays where it is; it is to be reported as held back.
    NotWritten(CallId),
    GiveUp(CallId),
    /// The message of a call that is out has its end: what has not left of the call is to stay.
    Ended(CallId),
    CloseIdle(u32),
    /// The endpoint is gone for good.
    Forget(u32),
    /// Calls to the endpoint may start, or not any more.
    Gate {
        endpoint: u32,
        open: bool,
    },
    /// No call to the endpoint may start before then.
    BackOff {
        endpoint: u32,
        until: Micros,
    },
    /// There are notices to send.
    Notify,
    /// A stream has its final answer, for its client's connection; [`Router::answered`] says what came of that.
    Answer {
        msg: MsgId,
        end: StreamEnd,
    },
    /// A line for the log.
    Note(Note),
}

/// The answer to a submission handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    Accepted,
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
struct OwedMessage {
    payload: Arc<MessagePayload>,
    /// Its number in this life's settings; none that they have: it is ended as it is found.
    class: usize,
    dest: u64,
    deadline: Micros,
    /// Ended, and the platform has yet to confirm it.
    end: Option<Ending>,
    /// Attempts of it that the journal has.
    journaled: u32,
    stream: Option<Stream>,
}

#[derive(Clone, Debug)]
pub struct Router<S> {
    policy: Policy,
    classes: Arc<[String]>,
    /// What a repeat of each class may do.
    effects: Arc<[Effect]>,
    kinds: Arc<[String]>,
    /// For each kind: the endpoints of a destination are separate routes.
    separate_routes: Arc<[bool]>,
    zones: Arc<NameTable>,
    open_cap: usize,
    /// Streams at once.
    streams_most: usize,
    endpoint_names: Arc<NameTable>,
    endpoints: BTreeMap<u32, KnownEndpoint>,
    /// Those of each destination, and those that are gone by when they went.
    by_dest: BTreeMap<u64, BTreeSet<u32>>,
    gone_since: BTreeSet<(Micros, u32)>,
    /// Endpoints that operators have taken out.
    disabled: DisabledEndpoints,
    /// The version of the list that the endpoints come from.
    version: u64,
    /// Discovery has told of its list in this life.
    list_received: bool,
    journal: Journal<S>,
    /// In the journal, from another courier's: whether they are owed here is for the fleet to say.
    unsettled: BTreeMap<journal::Source, Vec<(MsgId, journal::JournalEntry)>>,
    owed: BTreeMap<MsgId, OwedMessage>,
    ids: HashMap<String, MsgId>,
    ended: EndedMessages,
    out: BTreeMap<CallId, OutstandingMessage>,
    /// Calls by endpoint.
    out_at: BTreeSet<(u32, CallId)>,
    /// The messages of each call with several, and until when each of these is waited for.
    bundles: BTreeMap<CallId, Vec<CallId>>,
    waits: BTreeSet<(Micros, CallId)>,
    /// A message that is not waited for any longer may be sent again while its call goes on for the others.
    hedged_requests: bool,
    tenants: Arc<[String]>,
    /// The values of a report of load, where answers hold one.
    load_fields: Arc<[String]>,
    notices: IndexedQueue,
    /// Ended, and the store has refused the record so far; told once it is written.
    unwritten: IndexedQueue,
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
    fn with_settings(
        env: &SenderSettings,
        streams: Option<StreamLimits>,
        owed: usize,
        policy: impl FnOnce(Settings) -> Result<Policy, SettingsError>,
        journal: Journal<S>,
        next: MsgId,
        notes: Vec<Note>,
    ) -> Result<Self, RouterError> {
        let (mut settings, zones) = settings_of(env, streams)?;
        let open_cap = settings.max_open_messages as usize;
        // The module sheds beyond nine tenths.
        let capacity = u32::try_from(owed + owed / 8 + 2).unwrap_or(u32::MAX);
        if owed > open_cap / 10 * 9 {
            settings.max_open_messages = settings.max_open_messages.max(capacity);
        }
        let effects = settings.classes.iter().map(|class| class.effect).collect();
        Ok(Router {
            policy: policy(settings)?,
            classes: env.categories.iter().map(|c| c.name.clone()).collect(),
            effects,
            kinds: env.skus.as_slice().into(),
            separate_routes: env.family_info.separate_routes.as_slice().into(),
            zones: Arc::new(zones),
            open_cap,
            streams_most: streams.map_or(0, |limits| limits.most),
            endpoint_names: Arc::default(),
            endpoints: BTreeMap::new(),
            by_dest: BTreeMap::new(),
            gone_since: BTreeSet::new(),
            disabled: DisabledEndpoints::default(),
            version: 0,
            list_received: false,
            journal,
            unsettled: BTreeMap::new(),
            owed: BTreeMap::new(),
            ids: HashMap::new(),
            ended: EndedMessages::default(),
            out: BTreeMap::new(),
            out_at: BTreeSet::new(),
            bundles: BTreeMap::new(),
            waits: BTreeSet::new(),
            hedged_requests: env.limits.hedged_requests.unwrap_or(true),
            tenants: env.tenants.iter().map(|t| t.name.clone()).collect(),
            load_fields: match env.load_report.via.as_deref() {
                Some("answers") => env.load_report.fields.as_slice().into(),
                _ => Arc::default(),
            },
            notices: IndexedQueue::default(),
            unwritten: IndexedQueue::default(),
            write_at: Micros::MAX,
            next,
            stopping: None,
            watched: BTreeSet::new(),
            watched_ends: Vec::new(),
            notes,
            counters: Counters::default(),
        })
    }

    /// A client hands in a submission.
    pub fn submit(&mut self, submission: Submission, now: Micros) -> (Intake, Vec<RouterAction>) {
        self.submit_message(submission, false, now)
    }

    fn submit_message(
        &mut self,
        submission: Submission,
        stream: bool,
        now: Micros,
    ) -> (Intake, Vec<RouterAction>) {
        let mut actions = Vec::new();
        let intake = self.intake(submission, stream, now, &mut actions);
        self.drain_notes(&mut actions);
        match intake {
            Intake::Accepted => self.counters.taken_on += 1,
            Intake::Delivered => self.counters.repeated += 1,
            Intake::Rejected { .. } => self.counters.rejected += 1,
            Intake::Failed | Intake::Open | Intake::UnknownClass | Intake::UnknownDest => {
                self.counters.malformed += 1
            }
        }
        (intake, actions)
    }

    fn intake(
        &mut self,
        submission: Submission,
        stream: bool,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) -> Intake {
        self.forget(now);
        let Submission { id, class, key, dest, tenant, time_left, body } = submission;
        let Some(class_number) = self.classes.iter().position(|c| *c == class) else {
            return Intake::UnknownClass;
        };
        // An id is fresh with every submission, and the end that is told under it must be its own.
        let known = self.ids.get(&id).filter(|_| !breaks::is_enabled(Break::TakeOnTwice));
        if let Some(msg) = known {
            // One that waits for the fleet's word is not owed yet.
            return match self.owed.get(msg).and_then(|owed| owed.end) {
                None => Intake::Open,
                Some(Ending::Deferred(after)) => Intake::Rejected { after },
                Some(Ending::Undeliverable) => Intake::Failed,
            };
        }
        match self.ended.get(&id) {
            Some(End::Delivered) => return Intake::Delivered,
            Some(End::Deferred { after }) => return Intake::Rejected { after },
            Some(End::Undeliverable) => return Intake::Failed,
            None => {}
        }
        // No other life can send a stream's body.
        if self.stopping.is_some_and(|until| now >= until || stream) {
            return Intake::Rejected { after: STOPPING_RETRY_AFTER };
        }
        if !self.by_dest.contains_key(&dest) {
            // Until discovery has been heard the list is an old one, and lacks what is new.
            return if self.list_received {
                Intake::UnknownDest
            } else {
                Intake::Rejected { after: UNKNOWN_LIST_RETRY_AFTER }
            };
        }
        if self.ids.len() - self.notices.len() >= self.open_cap {
            return Intake::Rejected { after: OVERLOAD_RETRY_AFTER };
        }
        let streams = || self.owed.values().filter(|o| o.stream.is_some()).count();
        if stream && streams() >= self.streams_most {
            return Intake::Rejected { after: OVERLOAD_RETRY_AFTER };
        }
        let (msg, deadline) = (self.next, now.saturating_add(time_left));
        let (taken_id, taken_key, taken_body) = (id.clone(), key.clone(), body.clone());
        let taken = AcceptedMessage { id: taken_id, class, key: taken_key, dest, deadline, body: taken_body };
        let written = self.journal.submit(msg, taken, stream, now, &mut self.notes);
        if let Some(e) = written.err().filter(|_| !breaks::is_enabled(Break::TakeOnUnwritten)) {
            actions.push(RouterAction::Note(Note::JournalFull(e)));
            return Intake::Rejected { after: OVERLOAD_RETRY_AFTER };
        }
        self.next += 1;
        self.ids.insert(id.clone(), msg);
        let size = size(&id, key.as_deref(), &body);
        let number = tenant.as_ref().and_then(|name| self.tenants.iter().position(|t| t == name));
        let payload = Arc::new(MessagePayload { id, key, tenant: tenant.map(String::into_boxed_str), body });
        let of_stream = stream.then(Stream::default);
        let class = class_number;
        self.owed.insert(
            msg,
            OwedMessage { payload, class, dest, deadline, end: None, journaled: 0, stream: of_stream },
        );
        actions.push(RouterAction::Note(Note::Accepted { msg, dest, class, time_left }));
        let tenant = number;
        let message =
            Message { id: msg, class, tenant, key: None, deadline, work_hint: None, dest, stream, size };
        let instructions = self.policy.submit(now, message);
        self.carry_out(instructions, now, actions);
        self.rejected_at_once(msg, now).map_or(Intake::Accepted, |after| Intake::Rejected { after })
    }

    /// Whether the module gave a message up in the step that brought it, with no attempt: its client, who still
    /// waits, hears that it is not taken on, instead of a notice later. Streams are answered on their own way.
    fn rejected_at_once(&mut self, msg: MsgId, now: Micros) -> Option<Micros> {
        let owed = self.owed.get(&msg).filter(|o| o.stream.is_none() && o.journaled == 0)?;
        let Some(Ending::Deferred(after)) = owed.end else { return None };
        if self.out.range(calls_of(msg)).next().is_some() {
            return None;
        }
        self.notify_watcher(msg, End::Deferred { after });
        self.write(&JournalRecord::Confirmed { msg }, now);
        self.notices.remove(msg);
        self.unwritten.remove(msg);
        self.finish(msg, End::Deferred { after });
        self.counters.deferred -= 1;
        Some(after)
    }

    /// Whether a submission with this id was taken on, as far back as is remembered.
    pub fn knows(&self, id: &str) -> bool {
        self.ids.contains_key(id) || self.ended.get(id).is_some()
    }

    /// Time has passed; wanted at `wake_at` at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        self.retry_writes(now, &mut actions);
        self.detach_late(now, &mut actions);
        let instructions = self.policy.tick(now);
        self.carry_out(instructions, now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    pub fn wake_at(&self) -> Option<Micros> {
        let retry = (!self.unwritten.is_empty()).then_some(self.write_at);
        let late = self.waits.first().map(|(until, _)| *until);
        self.policy.wake_at().into_iter().chain(retry).chain(late).min()
    }

    /// Notes the ends that the store has refused. Told without its record, an end would be forgotten by a
    /// kill, and the next life would choose another, or send the message again.
    fn retry_writes(&mut self, now: Micros, actions: &mut Vec<RouterAction>) {
        if now < self.write_at {
            return;
        }
        self.write_at = now.saturating_add(WRITE_RETRY_INTERVAL);
        while let Some(msg) = self.unwritten.pop_front() {
            let Some(owed) = self.owed.get_mut(&msg) else { continue };
            let Some(ending) = owed.end else { continue };
            // Its end is due. What is told now any next life tells too, since it finds the time up.
            let due = now >= owed.deadline;
            let ending = if due { Ending::Undeliverable } else { ending };
            owed.end = Some(ending);
            if !self.write(&JournalRecord::End { msg, end: ending.into() }, now) && !due {
                self.unwritten.push_front(msg);
                return;
            }
            self.report_end(msg, ending, actions);
        }
        self.write_at = Micros::MAX;
    }

    /// The process ends at `at`. Half of the time until then it takes on what clients still bring on the connections
    /// that they have: most is delivered by the end, the rest is in the journal. Turned away it would be lost where they
    /// do not come again.
    pub fn stop(&mut self, now: Micros, at: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        self.stopping = Some(now.saturating_add(at.saturating_sub(now) / 2));
        let instructions = self.policy.stop(now, at);
        self.carry_out(instructions, now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// Notices that the platform has yet to confirm, the oldest first.
    pub fn notices(&self, most: usize) -> Vec<Notice> {
        let owed = self.notices.iter().take(most).filter_map(|msg| Some((msg, self.owed.get(&msg)?)));
        owed.filter_map(|(msg, owed)| Some(Notice { msg, id: owed.payload.id.clone(), ending: owed.end? }))
            .collect()
    }

    /// The platform has confirmed these notices.
    pub fn notices_confirmed(&mut self, notices: &[Notice], now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        for notice in notices {
            self.write(&JournalRecord::Confirmed { msg: notice.msg }, now);
            self.notices.remove(notice.msg);
            self.finish(notice.msg, notice.ending.into());
        }
        self.counters.notices += notices.len() as u64;
        self.drain_notes(&mut actions);
        actions
    }

    /// The journal's words go with the steps.
    fn drain_notes(&mut self, actions: &mut Vec<RouterAction>) {
        actions.extend(self.notes.drain(..).map(RouterAction::Note));
    }

    /// What the journal stands in, for whoever explores it.
    pub fn journal(&self) -> &Journal<S> {
        &self.journal
    }

    pub fn journal_mut(&mut self) -> &mut Journal<S> {
        &mut self.journal
    }

    /// Invocations owed an end, and delivery calls out.
    pub fn load(&self) -> (usize, usize) {
        (self.owed.len(), self.out.len())
    }

    pub fn disk(&self) -> u64 {
        self.journal.disk()
    }

    fn carry_out(&mut self, instructions: Vec<Instruction>, now: Micros, actions: &mut Vec<RouterAction>) {
        for instruction in instructions {
            match instruction {
                Instruction::Call { endpoint, items } => {
                    self.call(endpoint, &items, now, actions);
                }
                Instruction::Abandon { msg, attempt } => {
                    let item = CallId { msg, attempt };
                    let lead = self.out.get(&item).map_or(item, |out| out.lead);
                    if !self.detach(item, CallEnd::GivenUp, now, actions) {
                        actions.push(RouterAction::GiveUp(lead));
                    }
                }
                Instruction::Reject { msg, after } => self.end(msg, Ending::Deferred(after), now, actions),
                Instruction::Fail { msg } => self.end(msg, Ending::Undeliverable, now, actions),
                Instruction::CloseIdle { endpoint } => actions.push(RouterAction::CloseIdle(endpoint)),
                Instruction::Log(text) => actions.push(RouterAction::Note(Note::Decided(self.named(&text)))),
            }
        }
    }

    fn end(&mut self, msg: MsgId, ending: Ending, now: Micros, actions: &mut Vec<RouterAction>) {
        let Some(owed) = self.owed.get_mut(&msg).filter(|owed| owed.end.is_none()) else { return };
        owed.end = Some(ending);
        match ending {
            Ending::Undeliverable => self.counters.undeliverable += 1,
            Ending::Deferred(_) => self.counters.deferred += 1,
        }
        actions.push(RouterAction::Note(Note::Ended { msg, ending }));
        let written = self.write(&JournalRecord::End { msg, end: ending.into() }, now);
        if written || breaks::is_enabled(Break::EndUnwritten) {
            self.report_end(msg, ending, actions);
        } else {
            self.unwritten.push_back(msg);
            self.write_at = self.write_at.min(now.saturating_add(WRITE_RETRY_INTERVAL));
        }
        actions.extend(self.out.range(calls_of(msg)).map(|(_, out)| RouterAction::Ended(out.lead)));
    }

    /// Delivered, or over by the endpoint's word: nothing more is owed.
    fn settle(&mut self, msg: MsgId, end: End, now: Micros) {
        if self.owed.contains_key(&msg) {
            self.write(&JournalRecord::End { msg, end }, now);
            self.notify_watcher(msg, end);
            self.notices.remove(msg);
            self.unwritten.remove(msg);
            self.finish(msg, end);
        }
    }

    /// Whoever is owed the end hears it: a stream's client, who still waits, or else the platform.
    fn report_end(&mut self, msg: MsgId, ending: Ending, actions: &mut Vec<RouterAction>) {
        self.notify_watcher(msg, ending.into());
        match self.owed.get(&msg).and_then(|owed| owed.stream) {
            Some(stream) if !stream.unanswerable => {
                let end = match (stream.cut, ending) {
                    (Some(why), _) => StreamEnd::Cut(why),
                    (None, Ending::Deferred(after)) => StreamEnd::Deferred(after),
                    (None, Ending::Undeliverable) => StreamEnd::Failed,
                };
                actions.push(RouterAction::Answer { msg, end });
            }
            _ => {
                self.notices.push_back(msg);
                actions.push(RouterAction::Notify);
            }
        }
    }

    fn finish(&mut self, msg: MsgId, end: End) {
        if let Some(owed) = self.owed.remove(&msg) {
            let id = &owed.payload.id;
            self.ids.remove(id);
            self.journal.settled(msg, id);
            self.remember(id.clone(), end, owed.deadline);
        }
    }

    fn remember(&mut self, id: String, end: End, until: Micros) {
        if !breaks::is_enabled(Break::ForgetCompleted) {
            self.ended.remember(id, end, until);
        }
    }

    fn forget(&mut self, now: Micros) {
        while let Some(id) = self.ended.forget(now) {
            self.journal.forgotten(&id);
        }
    }

    /// A step of what is owed; its room was set aside at the take-on.
    fn write(&mut self, record: &JournalRecord, now: Micros) -> bool {
        self.write_all(std::slice::from_ref(record), now)
    }

    /// The same for several, in one append.
    fn write_all(&mut self, records: &[JournalRecord], now: Micros) -> bool {
        let written = self.journal.append_all(records, now, &mut self.notes);
        written.map_err(|e| self.notes.push(Note::NotWritten(e))).is_ok()
    }
}

/// What the module is told, and the zones' numbers.
fn settings_of(
    env: &SenderSettings,
    streams: Option<StreamLimits>,
) -> Result<(Settings, NameTable), RouterError> {
    let mut zones = NameTable::default();
    let mut settings: Settings = decode_settings(env, &mut zones).map_err(RouterError::Decode)?;
    if let Some(limits) = streams {
        let slots = (limits.part_of_slots * f64::from(settings.slots)) as u32;
        (settings.stream_slots, settings.stream_window_share) = (slots.max(1), limits.part_of_window);
    }
    Ok((settings, zones))
}

/// Bytes that a message takes in a call with others, at most: its body in Base64, its names escaped, its frame.
fn size(id: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let escaped =
        |text: &str| text.len() + 5 * text.bytes().filter(|b| matches!(b, b'"' | b'\\' | ..0x20)).count();
    (4 * body.len().div_ceil(3) + escaped(id) + key.map_or(0, escaped) + FRAME) as u64
}
