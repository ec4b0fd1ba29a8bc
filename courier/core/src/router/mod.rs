//! The router: which messages are owed an end, which calls are in flight, and the next actions of the transport.
//!
//! The driver reports what happened (a submission, an endpoint list, the end of a call, the passing of time) together
//! with the current time, and carries out the [`RouterAction`]s that it gets back, in order. The router owns no socket
//! and no clock. It leaves the decisions to the policy, maintains the tables of messages and calls that they need, and writes
//! each step to the journal before it acts on it.
//!
//! The tables are in `endpoints`, `outstanding` and `owed`. Each of the other modules adds the operations of one concern
//! to [`Router`].

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

/// An owed message, for exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwedView<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its deadline.
    pub deadline: Micros,
    /// Its end, while the platform has not confirmed the notice.
    pub end: Option<Ending>,
}

/// The sizes of a router's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterLoad {
    /// Messages that are owed an end.
    pub owed: usize,
    /// Messages that are in flight in a delivery call.
    pub in_flight: usize,
}

/// The courier's tables and decisions; see the [module](self).
#[derive(Clone, Debug)]
pub struct Router<S> {
    policy: Policy,
    config: Arc<RouterConfig>,
    zones: Arc<NameTable>,
    endpoints: EndpointTable,
    /// The endpoints that operators have disabled.
    disabled: DisabledEndpoints,
    /// The version of the endpoint list.
    version: u64,
    /// Discovery has sent a list to this process; until then the list is an older one.
    list_received: bool,
    journal: Journal<S>,
    /// Messages of another courier's journal that are in this one: the fleet has not decided yet who owns them.
    unsettled: BTreeMap<Source, Vec<(MsgId, JournalEntry)>>,
    owed: BTreeMap<MsgId, OwedMessage>,
    /// The numbers of owed and unsettled messages by id.
    ids: HashMap<String, MsgId>,
    /// The ends of messages that are not owed any more, as far back as they are remembered.
    ended: EndedMessages,
    outstanding: OutstandingCalls,
    /// Ended messages whose notice the platform has yet to confirm, the oldest first.
    notices: IndexedQueue,
    /// Ended messages whose end the store has refused so far. Nobody is notified before it is written.
    unwritten: IndexedQueue,
    /// When the store is tried again.
    write_retry_at: Micros,
    /// The number of the next message.
    next: MsgId,
    /// A graceful shutdown has begun: nothing is accepted from this time on.
    stopping: Option<Micros>,
    /// The ids of messages whose ends are reported through [`Router::ends`].
    watched: BTreeSet<String>,
    /// The ends of watched messages that have not been reported yet.
    watched_ends: Vec<(String, End)>,
    /// Notes for the log that have not been returned with the actions yet.
    notes: Vec<Note>,
    /// Counts of what the router has done.
    pub counters: Counters,
}

impl<S: Store> Router<S> {
    /// A router without messages and endpoints.
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
            next: 0,
            stopping: None,
            watched: BTreeSet::new(),
            watched_ends: Vec::new(),
            notes: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Time has passed; to be called at [`Router::wake_at`] at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        self.retry_writes(now, &mut actions);
        self.detach_timed_out(now, &mut actions);
        let instructions = self.policy.tick(now);
        self.carry_out(instructions, now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// When the next [`Router::tick`] is due.
    pub fn wake_at(&self) -> Option<Micros> {
        let retry = (!self.unwritten.is_empty()).then_some(self.write_retry_at);
        let timeout = self.outstanding.next_timeout();
        self.policy.wake_at().into_iter().chain(retry).chain(timeout).min()
    }

    /// Begins a graceful shutdown; the process ends at `at`.
    ///
    /// For half of the time until then the router goes on accepting what clients submit on the connections that they have:
    /// most of it is delivered by the end, and the rest is in the journal. Rejected, a message would be lost if its client
    /// does not try again.
    pub fn stop(&mut self, now: Micros, at: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        self.stopping = Some(now.saturating_add(at.saturating_sub(now) / 2));
        let instructions = self.policy.stop(now, at);
        self.carry_out(instructions, now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// The sizes of the router's tables.
    pub fn load(&self) -> RouterLoad {
        RouterLoad { owed: self.owed.len(), in_flight: self.outstanding.messages.len() }
    }

    /// The journal, for exploration and inspection.
    pub fn journal(&self) -> &Journal<S> {
        &self.journal
    }

    /// The journal, to inject faults into its store.
    pub fn journal_mut(&mut self) -> &mut Journal<S> {
        &mut self.journal
    }

    /// The journal's size on disk in bytes, counted in whole blocks.
    pub fn disk(&self) -> u64 {
        self.journal.disk()
    }

    /// Carries out the policy's instructions.
    fn carry_out(&mut self, instructions: Vec<Instruction>, now: Micros, actions: &mut Vec<RouterAction>) {
        for instruction in instructions {
            match instruction {
                Instruction::Call { endpoint, items } => self.call(endpoint, &items, now, actions),
                Instruction::Cancel { msg, attempt } => {
                    let item = CallId { msg, attempt };
                    let call = self.outstanding.call_of(item).unwrap_or(item);
                    if !self.detach(item, CallEnd::GivenUp, now, actions) {
                        actions.push(RouterAction::GiveUp(call));
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

    /// Adds the pending notes to the actions.
    fn drain_notes(&mut self, actions: &mut Vec<RouterAction>) {
        actions.extend(self.notes.drain(..).map(RouterAction::Note));
    }

    /// Writes a record about an owed message, whose space was reserved when the message was accepted. False: the store
    /// refused it.
    fn write(&mut self, record: &JournalRecord, now: Micros) -> bool {
        self.write_all(std::slice::from_ref(record), now)
    }

    /// Writes several such records at once.
    fn write_all(&mut self, records: &[JournalRecord], now: Micros) -> bool {
        let written = self.journal.append_all(records, now, &mut self.notes);
        written.map_err(|error| self.notes.push(Note::NotWritten(error))).is_ok()
    }
}
