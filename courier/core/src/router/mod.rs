//! The router: tracks the owed messages and the calls in flight, and decides the next actions of the transport.
//!
//! The driver reports each event (a submission, an endpoint list, the end of a call, a timer) together with the
//! current time, and executes the returned [`RouterAction`]s in order. The router has no sockets and no clock. The
//! policy makes the routing decisions; the router maintains the tables of messages and calls that the policy needs,
//! and writes each step to the journal before it acts on it.
//!
//! The tables are in `endpoints`, `outstanding` and `owed`. Each of the other modules adds the operations of one
//! concern to [`Router`].

mod action;
mod adoption;
mod calls;
mod config;
mod discovery;
mod endpoints;
mod ends;
mod error;
mod options;
mod outstanding;
mod owed;
mod restore;
mod results;
mod settlement;
mod state;
mod stream;
mod streams;
mod submission;
mod visit;

pub use action::{Intake, RouterAction};
pub use config::{StreamLimits, settings_fingerprint};
pub use error::{ResumeError, RouterError, UnknownId};
pub use options::RouterOptions;
pub use state::RouterState;
pub use stream::{OVERLOAD_RETRY_AFTER, StreamEnd};

use crate::counters::Counters;
use crate::disabled::DisabledEndpoints;
use crate::ended::EndedMessages;
use crate::journal::{End, Journal, JournalEntry, JournalRecord, Source};
use crate::note::Note;
use crate::store::Store;
use crate::{CallEnd, CallId, Ending};
use config::RouterConfig;
use endpoints::EndpointTable;
use outstanding::OutstandingCalls;
use owed::OwedMessage;
use quillmount_containers::IndexedQueue;
use quillmount_policy::{Instruction, Micros, MsgId, Policy};
use quillmount_settings::NameTable;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// An owed message, as shown to state-space exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwedView<'a> {
    /// The client's id of the message.
    pub id: &'a str,
    /// The deadline for the delivery, in Unix microseconds.
    pub deadline: Micros,
    /// The message's end, if the platform has not yet confirmed the notice of it.
    pub end: Option<Ending>,
}

/// The sizes of a router's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterLoad {
    /// Number of messages that are owed an end.
    pub owed: usize,
    /// Number of messages that are in flight in a delivery call.
    pub in_flight: usize,
}

/// The router of a courier, with its tables, policy and journal; see the [module](self).
#[derive(Clone, Debug)]
pub struct Router<S> {
    policy: Policy,
    config: Arc<RouterConfig>,
    zones: Arc<NameTable>,
    endpoints: EndpointTable,
    /// The endpoints that operators have disabled.
    disabled: DisabledEndpoints,
    /// The version of the latest endpoint list.
    version: u64,
    /// Whether discovery has sent a list to this process; until then the list is that of an earlier process.
    list_received: bool,
    journal: Journal<S>,
    /// Messages copied from other couriers' journals, for which the fleet has not yet decided the owner.
    unsettled: BTreeMap<Source, Vec<(MsgId, JournalEntry)>>,
    owed: BTreeMap<MsgId, OwedMessage>,
    /// The numbers of owed and unsettled messages, by client id.
    ids: HashMap<String, MsgId>,
    /// The ends of messages that are no longer owed, until they expire.
    ended: EndedMessages,
    outstanding: OutstandingCalls,
    /// Ended messages whose notice the platform has not yet confirmed, the oldest first.
    notices: IndexedQueue,
    /// Ended messages whose end the store has rejected so far. An end is reported only after it is written.
    unwritten: IndexedQueue,
    /// Time of the next attempt to write the ends in `unwritten`.
    write_retry_at: Micros,
    /// The number of the next message.
    next_message: MsgId,
    /// Time from which no message is accepted; set when a graceful shutdown begins.
    stop_accepting_at: Option<Micros>,
    /// The client ids of messages whose ends are reported through [`Router::take_watched_ends`].
    watched: BTreeSet<String>,
    /// The ends of watched messages that have not been reported yet.
    watched_ends: Vec<(String, End)>,
    /// Log records that have not yet been returned with the actions.
    notes: Vec<Note>,
    /// Counters of the router's operations.
    pub counters: Counters,
}

impl<S: Store> Router<S> {
    /// Creates a router without messages and endpoints.
    fn new(config: RouterConfig, zones: NameTable, policy: Policy, journal: Journal<S>) -> Self {
        Router {
            policy,
            config: Arc::new(config),
            zones: Arc::new(zones),
            endpoints: EndpointTable::default(),
            disabled: DisabledEndpoints::default(),
            version: 0,
            list_received: false,
            journal,
            unsettled: BTreeMap::new(),
            owed: BTreeMap::new(),
            ids: HashMap::new(),
            ended: EndedMessages::default(),
            outstanding: OutstandingCalls::default(),
            notices: IndexedQueue::default(),
            unwritten: IndexedQueue::default(),
            write_retry_at: Micros::MAX,
            next_message: 0,
            stop_accepting_at: None,
            watched: BTreeSet::new(),
            watched_ends: Vec::new(),
            notes: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Processes timers. The driver calls this at [`Router::wake_at`] at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        self.retry_writes(now, &mut actions);
        self.detach_timed_out(now, &mut actions);
        let instructions = self.policy.tick(now);
        self.carry_out(instructions, now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// Time at which the next [`Router::tick`] is due; `None`: no timer is set.
    pub fn wake_at(&self) -> Option<Micros> {
        let retry = (!self.unwritten.is_empty()).then_some(self.write_retry_at);
        let timeout = self.outstanding.next_timeout();
        self.policy.wake_at().into_iter().chain(retry).chain(timeout).min()
    }

    /// Begins a graceful shutdown; the process exits at `exit_at`.
    ///
    /// For half of the remaining time the router continues to accept messages on existing client connections. Most
    /// of them are delivered before the exit, and the rest is in the journal. A rejected message would be lost if
    /// its client does not retry.
    pub fn stop(&mut self, now: Micros, exit_at: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        self.stop_accepting_at = Some(now.saturating_add(exit_at.saturating_sub(now) / 2));
        let instructions = self.policy.stop(now, exit_at);
        self.carry_out(instructions, now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// The sizes of the router's tables.
    pub fn load(&self) -> RouterLoad {
        RouterLoad { owed: self.owed.len(), in_flight: self.outstanding.messages.len() }
    }

    /// The journal, for state-space exploration and inspection.
    pub fn journal(&self) -> &Journal<S> {
        &self.journal
    }

    /// The journal, for fault injection into its store.
    pub fn journal_mut(&mut self) -> &mut Journal<S> {
        &mut self.journal
    }

    /// The journal's size on disk in bytes, rounded up to whole blocks.
    pub fn disk(&self) -> u64 {
        self.journal.disk()
    }

    /// Executes the policy's instructions and appends the resulting actions.
    fn carry_out(&mut self, instructions: Vec<Instruction>, now: Micros, actions: &mut Vec<RouterAction>) {
        for instruction in instructions {
            match instruction {
                Instruction::Call { endpoint, items } => self.call(endpoint, &items, now, actions),
                Instruction::Cancel { msg, attempt } => {
                    let item = CallId { msg, attempt };
                    let call = self.outstanding.call_of(item).unwrap_or(item);
                    if !self.detach(item, CallEnd::GivenUp, now, actions) {
                        actions.push(RouterAction::CancelCall(call));
                    }
                }
                Instruction::Reject { msg, after } => self.end(msg, Ending::Deferred(after), now, actions),
                Instruction::Fail { msg } => self.end(msg, Ending::Undeliverable, now, actions),
                Instruction::CloseIdle { endpoint } => actions.push(RouterAction::CloseIdle(endpoint)),
                Instruction::Log(text) => {
                    actions.push(RouterAction::Note(Note::Decided(self.with_endpoint_id(&text))));
                }
            }
        }
    }

    /// Moves the pending log records to the actions.
    fn drain_notes(&mut self, actions: &mut Vec<RouterAction>) {
        actions.extend(self.notes.drain(..).map(RouterAction::Note));
    }

    /// Writes a record about an owed message, whose space was reserved when the message was accepted. Returns false
    /// if the store rejected it.
    fn write(&mut self, record: &JournalRecord, now: Micros) -> bool {
        self.write_all(std::slice::from_ref(record), now)
    }

    /// Writes several such records in one operation.
    fn write_all(&mut self, records: &[JournalRecord], now: Micros) -> bool {
        let written = self.journal.append_all(records, now, &mut self.notes);
        written.map_err(|error| self.notes.push(Note::NotWritten(error))).is_ok()
    }
}
