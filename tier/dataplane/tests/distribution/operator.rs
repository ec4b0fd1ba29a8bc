//! The operator, who sends each change to the members in turn until one acknowledges it.

use crate::core_side::Waiting;
use crate::fixtures;
use crate::machine::MachineId;
use crate::world::{CORE, Event, World};
use quillmount_control::{Order, OrderKind, OrderOutcome};
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};

/// Timeout after which a call is sent again, to the next member.
const ANSWER_TIMEOUT: Time = SECOND;
/// Delay before a retry after a response that is no acknowledgement.
const RETRY_DELAY: Time = 50 * MILLI;
/// Network delay of a call to a member, and of a response after it has passed the member's link.
const CALL_DELAY: Time = 3 * MILLI;
/// Length of a response, bytes.
const ANSWER_BYTES: usize = 200;

/// A configuration change.
pub struct Change {
    pub version: u64,
    pub submitted_at: Time,
    pub acknowledged_at: Option<Time>,
    /// Time from which the change is in force at all polling processes.
    pub in_force_at: Option<Time>,
    /// Number of the last call; responses to earlier ones are ignored.
    call: u64,
}

impl World {
    /// Submits the change from the previous version to `version`; returns its index.
    pub fn submit_change(&mut self, version: u64) -> usize {
        let submitted_at = self.now();
        let change = Change { version, submitted_at, acknowledged_at: None, in_force_at: None, call: 0 };
        self.changes.push(change);
        self.send_change(self.changes.len() - 1);
        self.changes.len() - 1
    }

    /// Sends a change to the current member.
    pub fn send_change(&mut self, change: usize) {
        let call = self.next_call();
        self.changes[change].call = call;
        let to = self.operator_contact;
        self.schedule(self.now() + CALL_DELAY, Event::Change { to, change, call });
        self.schedule(self.now() + ANSWER_TIMEOUT, Event::ChangeRetry { change, call });
    }

    /// Sends a change to the next member after a timeout or a negative response.
    pub fn retry_change(&mut self, change: usize, call: u64) {
        if self.changes[change].call == call && self.changes[change].acknowledged_at.is_none() {
            self.operator_contact = (self.operator_contact + 1) % CORE;
            self.send_change(change);
        }
    }

    /// Handles a change at a member: submits it to consensus or rejects it.
    pub fn receive_change(&mut self, id: MachineId, change: usize, call: u64) {
        let now = self.now();
        let version = self.changes[change].version;
        let order = Order { kind: OrderKind::Put, base: version - 1, body: fixtures::configuration(version) };
        let submitted = self.member(id).change(|state| state.apply_order(&order), now);
        match submitted {
            Ok(submitted) if submitted.outcome == (OrderOutcome::Applied { version }) => {
                let waiting = Waiting::Change { change, call };
                self.machines[id].state.waiting.insert(submitted.ticket, waiting);
                self.perform(id, submitted.actions);
            }
            Ok(submitted) => {
                let is_early = matches!(submitted.outcome, OrderOutcome::VersionMismatch { .. });
                assert!(is_early, "unexpected outcome of a valid change: {:?}", submitted.outcome);
                self.perform(id, submitted.actions);
                self.answer_change(id, change, call, false);
            }
            Err(_) => self.answer_change(id, change, call, false),
        }
    }

    /// Sends the response to a change over the member's link.
    pub fn answer_change(&mut self, id: MachineId, change: usize, call: u64, applied: bool) {
        let now = self.now();
        let arrives_at = self.machines[id].outgoing.transmit(ANSWER_BYTES, now) + CALL_DELAY;
        self.schedule(arrives_at, Event::ChangeAnswer { change, call, applied });
    }

    /// Handles a response at the operator.
    pub fn receive_change_answer(&mut self, change: usize, call: u64, applied: bool) {
        let now = self.now();
        if applied {
            self.changes[change].acknowledged_at.get_or_insert(now);
        } else {
            self.schedule(now + RETRY_DELAY, Event::ChangeRetry { change, call });
        }
    }
}
