//! Clients of a world: submissions, results, ends and reads at stores that serve, and what they know of the outcomes.

use crate::jobs::{ITEMS, job};
use crate::world::World;
use quillmount_batch::{JobEntry, ShardJobs};
use quillmount_test_support::simulation::{MILLI, Simulation};
use quillmount_wire::messages::{ItemResult, Phase, ShardOperation};

/// A call of a client that waits for its outcome; by the number of the operation or read.
pub enum PendingCall {
    Submit { job: String },
    Append,
    End,
    Read { job: String, found: Option<Vec<ItemResult>>, must_exist: bool, at_least: usize },
}

impl World {
    /// Audits a committed operation, and acknowledges its call.
    pub fn committed(&mut self, operation: u64, change: &ShardOperation) {
        let entry = |jobs: &ShardJobs, job: &str, has_effect: &dyn Fn(&JobEntry) -> bool| {
            jobs.jobs.get(job).is_some_and(has_effect)
        };
        let has_effect = |jobs: &ShardJobs| match change {
            ShardOperation::Submit(job) => jobs.jobs.contains_key(&job.id),
            ShardOperation::Append { job, result } => {
                entry(jobs, job, &|entry| entry.results.contains(result))
            }
            ShardOperation::End { job } => entry(jobs, job, &|entry| entry.ended),
            ShardOperation::Forget { .. } => false,
        };
        let live: Vec<&ShardJobs> = self.stores.values().map(|store| &store.on_disk).collect();
        // One that changes nothing, as its item was listed or its job ended before, needs no copy.
        let effective = self.stores.values().any(|store| has_effect(store.replica.jobs()));
        if effective {
            // A copy may have been lost with its disk after it was synced, and before the primary heard of that.
            let copies = live.into_iter().chain(&self.lost_disks).filter(|jobs| has_effect(jobs)).count();
            self.auditor.copies(change, copies, self.tolerated_failures + 1);
        }
        if let Some(PendingCall::Submit { job }) = self.pending_calls.remove(&operation) {
            self.auditor.acknowledged.insert(job);
        }
    }

    /// Clients call every store that considers itself primary.
    pub fn work(&mut self) {
        let serving: Vec<u32> = self.stores.keys().copied().filter(|name| self.is_running(*name)).collect();
        let serving: Vec<u32> =
            serving.into_iter().filter(|name| self.stores[name].replica.serving().is_some()).collect();
        for name in serving {
            match self.random.below(10) {
                0 | 1 => self.submit(name),
                2..=5 => self.append(name),
                6 if self.random.chance(10) => self.end(name),
                _ => self.read_any(name),
            }
        }
    }

    /// Commits an operation at a store, for a call of a client.
    fn commit(&mut self, name: u32, pending_calls: PendingCall, change: ShardOperation) {
        let operation = self.allocate_id();
        self.pending_calls.insert(operation, pending_calls);
        let now = self.now();
        let actions = self.stores.get_mut(&name).unwrap().replica.commit(operation, change, now);
        self.perform(name, actions);
    }

    /// Submits a new job.
    fn submit(&mut self, name: u32) {
        let id = format!("j{}", self.allocate_id());
        let change = ShardOperation::Submit(job(&id));
        self.commit(name, PendingCall::Submit { job: id }, change);
    }

    /// Draws a job that the store has.
    fn any_job(&mut self, name: u32) -> Option<String> {
        let jobs: Vec<&String> = self.stores[&name].replica.jobs().jobs.keys().collect();
        if jobs.is_empty() {
            return None;
        }
        let index = self.random.index(jobs.len());
        Some(jobs[index].clone())
    }

    /// Appends the result of the next item of a job.
    fn append(&mut self, name: u32) {
        let Some(job) = self.any_job(name) else { return };
        let entry = &self.stores[&name].replica.jobs().jobs[&job];
        let Some(item) = (0..ITEMS).find(|item| !entry.has_result(*item)) else { return };
        // Each run of an item gives another text.
        let text = format!("run {}", self.allocate_id());
        let result = ItemResult { item, phase: Phase::Done, text };
        self.commit(name, PendingCall::Append, ShardOperation::Append { job, result });
    }

    /// Ends a job.
    fn end(&mut self, name: u32) {
        if let Some(job) = self.any_job(name) {
            self.commit(name, PendingCall::End, ShardOperation::End { job });
        }
    }

    /// Reads a job that was acknowledged.
    fn read_any(&mut self, name: u32) {
        let known: Vec<&String> = self.auditor.acknowledged.iter().collect();
        if known.is_empty() {
            return;
        }
        let index = self.random.index(known.len());
        let job = known[index].clone();
        self.read(name, &job);
    }

    /// Begins a read of a job, unless an operation on it is pending.
    fn read(&mut self, name: u32, job: &str) {
        let replica = &self.stores[&name].replica;
        if replica.is_pending(job) {
            return;
        }
        let found = replica.jobs().jobs.get(job).map(|entry| entry.results.clone());
        let must_exist = self.auditor.acknowledged.contains(job);
        let at_least = self.auditor.listed(job);
        let read = self.allocate_id();
        self.pending_calls
            .insert(read, PendingCall::Read { job: job.to_owned(), found, must_exist, at_least });
        let now = self.now();
        let until = now + 900 * MILLI;
        let actions = self.stores.get_mut(&name).unwrap().replica.confirm(read, until, now);
        self.perform(name, actions);
    }

    /// Reads every job that was acknowledged, at the primary.
    pub fn read_all(&mut self) {
        let Some(primary) = self.primary() else { return };
        let jobs: Vec<String> = self.auditor.acknowledged.iter().cloned().collect();
        jobs.iter().for_each(|job| self.read(primary, job));
    }
}
