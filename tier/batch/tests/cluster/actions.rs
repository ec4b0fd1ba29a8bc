//! Performs the actions of replicas on the network and disks of a world.

use crate::clients::PendingCall;
use crate::events::{Caller, Event};
use crate::world::World;
use quillmount_batch::{ShardAction, ShardJobs, StoreRecord, WriteId};
use quillmount_test_support::network::DelayRange;
use quillmount_test_support::simulation::{MILLI, Simulation, Time};
use quillmount_wire::messages::ShardMessage;

/// How long a request or an answer is on its way to another store.
const STORE_MESSAGE_DELAY: DelayRange = DelayRange { shortest: 500, spread: 2_000 };
/// Percentage of requests that arrive twice.
const REPEATED_REQUESTS: u64 = 2;
/// How long a sync of a store's disk takes.
const RECORD_SYNC_DELAY: DelayRange = DelayRange { shortest: 300, spread: 2_500 };
/// By how much a slow disk takes longer.
const SLOW_DISK_DELAY: Time = 300 * MILLI;

impl World {
    /// Performs actions of a store's replica, and audits its disk afterwards.
    pub fn perform(&mut self, name: u32, actions: Vec<ShardAction>) {
        for action in actions {
            self.count(name, &action);
            self.perform_one(name, action);
        }
        self.audit_disk(name);
    }

    /// Adds an action to the trace. Labels and numbers are part of the digests.
    fn count(&mut self, name: u32, action: &ShardAction) {
        let (now, store) = (self.now(), u64::from(name));
        match action {
            ShardAction::Write { .. } => self.counts.count("writes", &[now, store]),
            ShardAction::Call { call, member, epoch, message, timeout } => {
                let (label, size) = match message {
                    ShardMessage::Replicate { operations, .. } => ("replicate_calls", operations.len()),
                    ShardMessage::Confirm => ("confirm_calls", 0),
                    ShardMessage::CompareBuckets { buckets } => ("compare_buckets_calls", buckets.len()),
                    ShardMessage::CompareJobs { jobs, .. } => ("compare_jobs_calls", jobs.len()),
                    ShardMessage::Install { jobs, .. } => ("install_calls", jobs.len()),
                };
                self.counts.count(label, &[now, store, *call, *member, *epoch, *timeout, size as u64]);
            }
            ShardAction::Answer { request, .. } => self.counts.count("answers", &[now, store, *request]),
            ShardAction::Committed { operation, .. } => {
                self.counts.count("commits", &[now, store, *operation]);
            }
            ShardAction::Uncertain { operation } => self.counts.count("uncertain", &[now, store, *operation]),
            ShardAction::NotStarted { operation } => {
                self.counts.count("not_begun", &[now, store, *operation]);
            }
            ShardAction::Serving { epoch } => self.counts.count("primaries", &[now, store, *epoch]),
            ShardAction::SteppedDown => self.counts.count("step_downs", &[now, store]),
            ShardAction::ReadConfirmed { read } => self.counts.count("reads_confirmed", &[now, store, *read]),
            ShardAction::ReadRejected { read } => self.counts.count("reads_refused", &[now, store, *read]),
            ShardAction::ReportDue => self.counts.count("reports_due", &[now, store]),
            ShardAction::Rewritten { request, complete } => {
                self.counts.count("compactions", &[now, store, *request, u64::from(*complete)]);
            }
        }
    }

    /// Performs one action on the network, the disk or a call of a client.
    fn perform_one(&mut self, name: u32, action: ShardAction) {
        match action {
            ShardAction::Write { write, record } => self.write(name, write, record),
            ShardAction::Call { call, member, epoch, message, timeout } => {
                let incarnation = self.stores[&name].process.incarnation();
                let from = Caller { store: name, call, incarnation };
                let delay = STORE_MESSAGE_DELAY.draw(&mut self.random);
                let copies = if self.random.chance(REPEATED_REQUESTS) { 2 } else { 1 };
                for copy in 0..copies {
                    let at = self.now() + delay + copy * self.random.below(600) * MILLI;
                    let message = message.clone();
                    self.schedule(at, Event::Request { from, to: member, epoch, message });
                }
                self.schedule(self.now() + timeout, Event::Reply { to: from, answer: None });
            }
            ShardAction::Answer { request, response } => {
                let caller = self.stores.get_mut(&name).unwrap().requests.remove(&request);
                let is_reachable = |to: &Caller| !self.partitions.is_blocked(name, to.store);
                if let Some(to) = caller.filter(is_reachable) {
                    let at = self.now() + STORE_MESSAGE_DELAY.draw(&mut self.random);
                    self.schedule(at, Event::Reply { to, answer: Some(response) });
                }
            }
            ShardAction::Committed { operation, change } => self.committed(operation, &change),
            ShardAction::Uncertain { operation } | ShardAction::NotStarted { operation } => {
                self.pending_calls.remove(&operation);
            }
            ShardAction::ReadConfirmed { read } => {
                if let Some(PendingCall::Read { job, found, must_exist, at_least }) =
                    self.pending_calls.remove(&read)
                {
                    self.auditor.read(&job, found, must_exist, at_least);
                }
            }
            ShardAction::ReadRejected { read } => {
                self.pending_calls.remove(&read);
            }
            ShardAction::Rewritten { complete, .. } => self.rewritten(name, complete),
            ShardAction::Serving { .. } | ShardAction::SteppedDown | ShardAction::ReportDue => {}
        }
    }

    /// Writes a record, or fails to if the disk fails.
    fn write(&mut self, name: u32, write: WriteId, record: StoreRecord) {
        let now = self.now();
        let span = RECORD_SYNC_DELAY.draw(&mut self.random);
        let store = self.stores.get_mut(&name).unwrap();
        let slow = if store.disk_slow_until > now { SLOW_DISK_DELAY } else { 0 };
        let at = (now + span + slow).max(store.last_sync + 1);
        store.last_sync = at;
        let incarnation = store.process.incarnation();
        if store.disk_fails_until > now {
            store.failing += 1;
            return self.schedule(at, Event::NotWritten { store: name, incarnation, write });
        }
        let position = store.released + store.records.len();
        store.records.push(record);
        self.schedule(at, Event::Synced { store: name, incarnation, write, position });
    }

    /// A rewrite has ended: records before it may be released, here up to any of them.
    fn rewritten(&mut self, name: u32, complete: bool) {
        let store = self.stores.get_mut(&name).unwrap();
        let Some(from) = store.rewrite_from.take().filter(|_| complete) else { return };
        let gone = self.random.index(from + 1);
        store.records.drain(..gone);
        store.released += gone;
        store.synced -= gone;
        let mut on_disk = ShardJobs::default();
        store.records[..store.synced].iter().for_each(|record| on_disk.recover(record.clone()));
        store.on_disk = on_disk;
    }

    /// Checks that the records give the same jobs as the memory.
    fn audit_disk(&self, name: u32) {
        let store = &self.stores[&name];
        let replica = &store.replica;
        let is_written = store.synced == store.records.len() && store.failing == 0;
        if is_written && !replica.is_damaged() && !replica.is_replicating() {
            self.auditor.disk_agrees(name, &store.on_disk, replica.jobs());
        }
    }
}
