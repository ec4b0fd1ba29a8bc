//! The hash of a state: all that matters for what may come next.

use crate::fingerprint::Fingerprint;
use crate::monitor::DRAIN_GRACE;
use crate::world::process::FAR_FUTURE;
use crate::world::state::{OutstandingCall, ProcessState, World};
use quillmount_core::machine::attempt::AttemptState;
use quillmount_core::machine::watch::WatchState;
use quillmount_core::pool::IdleView;
use quillmount_policy::{Micros, StateVisitor};

impl World {
    /// Hashes all that matters for the future of this state, and nothing else.
    pub fn hash_into(&self, hasher: &mut Fingerprint) {
        hasher.start_at(self.now);
        self.hub.router.visit_state(hasher);
        self.hash_process(hasher);
        self.hash_list(hasher);
        self.hash_notices(hasher);
        self.hash_watch(hasher);
        self.hash_calls(hasher);
        self.hash_pool(hasher);
        self.hash_journal(hasher);
        self.hash_messages(hasher);
        self.hash_limits(hasher);
    }

    /// The process, its incarnations, its disk and the faults so far.
    fn hash_process(&self, hasher: &mut Fingerprint) {
        hasher.hash(&(
            self.process_key(),
            self.incarnations,
            self.case.faults.map(|_| self.faults),
            self.disk_full,
            self.consecutive_losses,
        ));
    }

    /// The endpoint list, and which of its entries the courier has not received.
    fn hash_list(&self, hasher: &mut Fingerprint) {
        let known_version = self.hub.router.version();
        for entry in &self.endpoint_list {
            hasher.hash(&(entry.port, entry.dest, entry.state as u8, entry.version > known_version));
        }
    }

    /// Notices in flight, and those that may be confirmed twice.
    fn hash_notices(&self, hasher: &mut Fingerprint) {
        hasher.hash(&(self.notices.state().kind(), self.notices.max_batch_len(), self.sent_notices.len()));
        hasher.visit_time(self.notices.wake_at().unwrap_or(0));
        for notice in self.sent_notices.iter().chain(&self.confirmed_notices) {
            hasher.hash(&(&notice.id, notice.ending));
        }
    }

    /// The backoff of the watch on discovery.
    fn hash_watch(&self, hasher: &mut Fingerprint) {
        if let WatchState::BackingOff { until } = self.watch.state() {
            hasher.visit_time(until);
        }
    }

    /// Calls in flight.
    fn hash_calls(&self, hasher: &mut Fingerprint) {
        for (id, outstanding) in &self.calls {
            let answer = outstanding.call.attempt().answer();
            hasher.hash(&(id, outstanding.message, outstanding.endpoint));
            hasher.hash(&(outstanding.interim, outstanding.arrived, answer));
            hash_attempt_state(outstanding, hasher);
            hasher.visit_time(outstanding.deadline);
        }
    }

    /// Gates and idle connections.
    fn hash_pool(&self, hasher: &mut Fingerprint) {
        for gate in self.hub.pool.gates() {
            hasher.hash(&(gate.endpoint, gate.open));
            hasher.visit_time(gate.backoff_until.max(self.now));
        }
        for IdleView { endpoint, connection, idle_since } in self.hub.pool.idle() {
            let (closed, unusable) = (self.closed.contains(connection), self.unusable.contains(connection));
            hasher.hash(&(endpoint, closed, unusable));
            hasher.visit_time(idle_since);
        }
    }

    /// What a restart would read, where there may be one.
    fn hash_journal(&self, hasher: &mut Fingerprint) {
        if self.case.incarnations <= 1 {
            return;
        }
        let contents = self.journal_contents();
        hasher.visit_next_number(contents.next_message);
        for remembered in &contents.ended {
            hasher.hash(&(&remembered.id, format!("{:?}", remembered.end)));
            hasher.visit_time(remembered.until);
        }
        for (number, entry) in &contents.owed {
            hasher.hash(&(number, &entry.message.id, entry.attempts.len()));
            for call in &entry.attempts {
                hasher.visit_time(call.sent_at);
                hasher.hash(&call.never_ran);
            }
            hasher.hash(&entry.end.map(|end| format!("{end:?}")));
        }
    }

    /// Messages as the monitor sees them.
    fn hash_messages(&self, hasher: &mut Fingerprint) {
        for message in &self.monitor.messages {
            hasher.hash(&(message.class, message.dest, message.key, message.acceptance));
            hasher.hash(&(message.notice, message.delivered, message.gone, message.settled));
            hasher.visit_time(message.deadline);
            for call in &message.calls {
                hasher.hash(&(call.incarnation, call.attempt, call.never_ran, call.open));
                hasher.hash(&call.last.is_some());
                hasher.visit_time(call.first);
            }
        }
    }

    /// Drains, waits and the grace period that the monitor checks against.
    fn hash_limits(&self, hasher: &mut Fingerprint) {
        for (endpoint, announced_at) in &self.monitor.drains {
            hasher.hash(endpoint);
            // All drains past their grace period are alike.
            hasher.visit_time((*announced_at).max(self.now.saturating_sub(DRAIN_GRACE + 1)));
        }
        for (dest, wait) in self.monitor.waits.iter().filter(|(_, wait)| wait.until > self.now) {
            hasher.hash(dest);
            hasher.visit_time(wait.since);
            hasher.visit_time(wait.until);
        }
        hasher.visit_time(match self.monitor.grace_until {
            // Not a moment: it is as far away at any time.
            FAR_FUTURE => Micros::MAX,
            until if until > self.now => until,
            _ => 0,
        });
    }

    /// The state of the process with times relative to the present, for hashing.
    fn process_key(&self) -> (u8, Micros) {
        match self.process {
            ProcessState::Up => (0, 0),
            ProcessState::Stopping { end } => (1, end - self.now),
            ProcessState::Down { until } => (2, until - self.now),
        }
    }
}

/// Hashes the state of an attempt, with the times that still matter in it.
fn hash_attempt_state(outstanding: &OutstandingCall, hasher: &mut Fingerprint) {
    match outstanding.call.state() {
        AttemptState::Reading { deadline } => hasher.visit_time(deadline),
        AttemptState::Closing { end, until } => {
            hasher.hash(&end);
            hasher.visit_time(until);
        }
        AttemptState::Writing { written } => hasher.hash(&(1u8, written)),
        AttemptState::Connecting => {
            hasher.visit_u64(2);
            hasher.visit_time(outstanding.dial_deadline);
        }
        AttemptState::New => hasher.visit_u64(3),
        AttemptState::Awaiting => hasher.visit_u64(4),
        AttemptState::Finished => hasher.visit_u64(5),
    }
}
