//! The state of a world, and what others look up in it.

use crate::action::{Answer, CallRef};
use crate::case::{Case, FaultKind};
use crate::fingerprint::ActiveIds;
use crate::monitor::Monitor;
use quillmount_core::call::Call;
use quillmount_core::hub::Hub;
use quillmount_core::journal::JournalContents;
use quillmount_core::machine::notices::Notices;
use quillmount_core::machine::watch::{Watch, WatchState};
use quillmount_core::store::Memory;
use quillmount_core::{CallId, Notice};
use quillmount_policy::{EndpointState, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Unix time in microseconds at the beginning of the world: far from zero, which stands for "never" in places.
pub(super) const START: Micros = 1_000_000_000_000;
/// Endpoints that a world may have, counted with those that are gone.
pub(super) const ENDPOINTS_MAX: usize = 8;
/// Messages that a world may have.
const MESSAGES_MAX: usize = 8;

/// An endpoint on the list, as discovery shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Its index on the list.
    pub index: u8,
    /// The destination that it belongs to.
    pub dest: u64,
    /// The name of its state, as in discovery's answers.
    pub state: &'static str,
}

/// One entry of discovery's endpoint list.
#[derive(Clone, Debug)]
pub(super) struct ListEntry {
    pub(super) port: u16,
    pub(super) dest: u64,
    pub(super) state: EndpointState,
    /// The version of the list that brought this state.
    pub(super) version: u64,
}

/// A call in flight, with what the world knows of its times.
#[derive(Clone, Debug)]
pub(super) struct OutstandingCall {
    pub(super) call: Call<u32>,
    /// Index of the message, in the order of submission.
    pub(super) message: usize,
    /// Index of the endpoint on the list.
    pub(super) endpoint: u8,
    /// When the call times out.
    pub(super) deadline: Micros,
    /// When its connection counts as failed.
    pub(super) dial_deadline: Micros,
    /// An interim answer has arrived.
    pub(super) interim: bool,
    /// The answer in the socket, not read yet.
    pub(super) arrived: Option<Answer>,
}

/// The process of the courier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessState {
    Up,
    /// It shuts down gracefully, and is killed at `end`.
    Stopping {
        end: Micros,
    },
    /// It starts again at `until`.
    Down {
        until: Micros,
    },
}

/// A courier with all that surrounds it, at one moment.
#[derive(Clone)]
pub struct World {
    pub(super) case: Arc<Case>,
    pub(super) now: Micros,
    pub(super) process: ProcessState,
    /// Incarnations of the process so far, from 1.
    pub(super) incarnations: u8,
    /// Faults on the path to this state.
    pub(super) faults: u32,
    pub(super) hub: Hub<Memory, u32>,
    pub(super) calls: BTreeMap<CallId, OutstandingCall>,
    /// Indices of messages, in the order of submission, by their numbers in the journal.
    pub(super) messages_by_number: BTreeMap<u64, usize>,
    /// The number of the next connection.
    pub(super) next_connection: u32,
    /// Connections that their endpoint has closed.
    pub(super) closed: BTreeSet<u32>,
    /// Connections on which an answer broke off, or had bytes behind it: no request may follow on them.
    pub(super) unusable: BTreeSet<u32>,
    pub(super) notices: Notices,
    /// Notices in flight to the platform.
    pub(super) sent_notices: Vec<Notice>,
    /// Notices whose confirmation may arrive a second time.
    pub(super) confirmed_notices: Vec<Notice>,
    /// Losses of notices since the last confirmation.
    pub(super) consecutive_losses: u8,
    pub(super) watch: Watch,
    pub(super) endpoint_list: Vec<ListEntry>,
    pub(super) list_version: u64,
    pub(super) disk_full: bool,
    /// The process is killed during the transition, so that none of its effects gets out.
    pub(super) crashing: bool,
    /// What the outside has seen of the courier.
    pub monitor: Monitor,
}

impl World {
    /// Microseconds since the beginning of the world.
    pub fn now(&self) -> Micros {
        self.now - START
    }

    /// The endpoint of a call that is in flight.
    pub fn endpoint_of(&self, call_ref: CallRef) -> Option<u8> {
        self.find(call_ref).and_then(|id| self.calls.get(&id)).map(|outstanding| outstanding.endpoint)
    }

    /// The endpoints on the list that are not gone.
    pub fn endpoints(&self) -> impl Iterator<Item = ListedEndpoint> {
        let listed =
            self.endpoint_list.iter().enumerate().filter(|(_, entry)| entry.state != EndpointState::Gone);
        listed.map(|(index, entry)| ListedEndpoint {
            index: index as u8,
            dest: entry.dest,
            state: if entry.state == EndpointState::Ready { "ready" } else { "draining" },
        })
    }

    /// Milliseconds that a message may take.
    pub fn time_left_ms(&self) -> u32 {
        self.case.time_left
    }

    /// Writes to the store since the transition began.
    pub fn writes(&self) -> u32 {
        self.hub.router.journal().store().writes()
    }

    /// Whether the process may be killed in the middle of the next transition.
    pub fn may_crash(&self) -> bool {
        self.is_up()
            && self.incarnations < self.case.incarnations
            && !self.disk_full
            && self.has_faults_left()
    }

    /// Numbers of messages and of endpoints that are in use.
    pub fn active_ids(&self) -> ActiveIds {
        let (messages, endpoints) = self.hub.router.message_and_endpoint_numbers();
        ActiveIds { messages: messages.collect(), endpoints: endpoints.collect() }
    }

    /// Whether the process of the courier runs, if only until its graceful shutdown is done.
    pub fn is_up(&self) -> bool {
        !matches!(self.process, ProcessState::Down { .. })
    }

    /// Whether the watch on discovery is established.
    pub(super) fn is_following(&self) -> bool {
        matches!(self.watch.state(), WatchState::Following { .. })
    }

    /// Whether the case has this fault, and the path has any faults left.
    pub(super) fn allows(&self, fault: FaultKind) -> bool {
        self.case.allows(fault) && self.has_faults_left()
    }

    /// Whether the path may contain one more fault.
    pub(super) fn has_faults_left(&self) -> bool {
        self.case.faults.is_none_or(|most| self.faults < most)
    }

    /// The id of the call in flight that this reference names.
    pub(super) fn find(&self, call_ref: CallRef) -> Option<CallId> {
        let is_named = |(id, call): &(&CallId, &OutstandingCall)| {
            call.message as u64 == call_ref.message && id.attempt == call_ref.attempt
        };
        self.calls.iter().find(is_named).map(|(id, _)| *id)
    }

    /// The call in flight that this reference names.
    pub(super) fn find_mut(&mut self, call_ref: CallRef) -> Option<&mut OutstandingCall> {
        let id = self.find(call_ref)?;
        self.calls.get_mut(&id)
    }

    /// What a restart would read from the store now.
    pub(super) fn journal_contents(&self) -> JournalContents {
        JournalContents::read(self.hub.router.journal().store().bytes()).0
    }
}

/// The index of a message by its id.
pub(super) fn message_index(id: &str) -> Option<usize> {
    id.strip_prefix('m').and_then(|n| n.parse().ok()).filter(|n| *n < MESSAGES_MAX)
}

/// The reference that names a call in actions.
pub(super) fn call_ref(call: &OutstandingCall) -> CallRef {
    CallRef { message: call.message as u64, attempt: call.call.delivery.call.attempt }
}
