//! Simulated clients: submissions, results, ends of jobs and reads at stores that serve, and the outcomes that
//! clients see.

use crate::jobs::{ITEMS_PER_JOB, job};
use crate::world::World;
use quillmount_batch::{JobEntry, ShardJobs};
use quillmount_test_support::simulation::{MILLI, Simulation};
use quillmount_wire::messages::{ItemResult, Phase, ShardOperation};

/// A call of a client that is waiting for its outcome; keyed by operation or read id.
pub enum PendingCall {
    Submit { job: String },
    Append,
    End,
    Read { job: String, found: Option<Vec<ItemResult>>, must_exist: bool, min_results: usize },
}

impl World {
    /// Audits a committed operation and acknowledges the client's call.
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
        let present_disks: Vec<&ShardJobs> = self.stores.values().map(|store| &store.on_disk).collect();
        // An operation without effect, because its item already had a result or its job had ended, needs no copy.
        let has_effect_anywhere = self.stores.values().any(|store| has_effect(store.replica.jobs()));
        if has_effect_anywhere {
            // A disk with a copy may have been lost after the sync, before the primary learned of the loss.
            let copies =
                present_disks.into_iter().chain(&self.lost_disks).filter(|jobs| has_effect(jobs)).count();
            self.auditor.check_copies(change, copies, self.tolerated_failures + 1);
        }
        if let Some(PendingCall::Submit { job }) = self.pending_calls.remove(&operation) {
            self.auditor.acknowledged.insert(job);
        }
    }

    /// Sends a client's call to every store that considers itself primary.
    pub fn call_primaries(&mut self) {
        let serving: Vec<u32> =
            self.stores.keys().copied().filter(|store_number| self.is_running(*store_number)).collect();
        let serving: Vec<u32> = serving
            .into_iter()
            .filter(|store_number| self.stores[store_number].replica.serving().is_some())
            .collect();
        for store_number in serving {
            match self.random.below(10) {
                0 | 1 => self.submit(store_number),
                2..=5 => self.append(store_number),
                6 if self.random.chance(10) => self.end(store_number),
                _ => self.read_any(store_number),
            }
        }
    }

    /// Commits an operation at a store on behalf of a client.
    fn commit(&mut self, store_number: u32, pending_call: PendingCall, change: ShardOperation) {
        let operation = self.allocate_id();
        self.pending_calls.insert(operation, pending_call);
        let now = self.now();
        let actions = self.stores.get_mut(&store_number).unwrap().replica.commit(operation, change, now);
        self.perform(store_number, actions);
    }

    fn submit(&mut self, store_number: u32) {
        let id = format!("j{}", self.allocate_id());
        let change = ShardOperation::Submit(job(&id));
        self.commit(store_number, PendingCall::Submit { job: id }, change);
    }

    /// Draws a job that the store has.
    fn any_job(&mut self, store_number: u32) -> Option<String> {
        let jobs: Vec<&String> = self.stores[&store_number].replica.jobs().jobs.keys().collect();
        if jobs.is_empty() {
            return None;
        }
        let index = self.random.index(jobs.len());
        Some(jobs[index].clone())
    }

    /// Appends a result for the first item of a random job that has none.
    fn append(&mut self, store_number: u32) {
        let Some(job) = self.any_job(store_number) else { return };
        let entry = &self.stores[&store_number].replica.jobs().jobs[&job];
        let Some(item) = (0..ITEMS_PER_JOB).find(|item| !entry.has_result(*item)) else { return };
        // Each run of an item gives a different text, so that a second result would be detected.
        let text = format!("run {}", self.allocate_id());
        let result = ItemResult { item, phase: Phase::Done, text };
        self.commit(store_number, PendingCall::Append, ShardOperation::Append { job, result });
    }

    /// Ends a random job.
    fn end(&mut self, store_number: u32) {
        if let Some(job) = self.any_job(store_number) {
            self.commit(store_number, PendingCall::End, ShardOperation::End { job });
        }
    }

    /// Reads a random acknowledged job.
    fn read_any(&mut self, store_number: u32) {
        let acknowledged: Vec<&String> = self.auditor.acknowledged.iter().collect();
        if acknowledged.is_empty() {
            return;
        }
        let index = self.random.index(acknowledged.len());
        let job = acknowledged[index].clone();
        self.read(store_number, &job);
    }

    /// Starts a read of a job, unless an operation on it is pending.
    fn read(&mut self, store_number: u32, job: &str) {
        let replica = &self.stores[&store_number].replica;
        if replica.is_pending(job) {
            return;
        }
        let found = replica.jobs().jobs.get(job).map(|entry| entry.results.clone());
        let must_exist = self.auditor.acknowledged.contains(job);
        let min_results = self.auditor.results_read(job);
        let read = self.allocate_id();
        self.pending_calls
            .insert(read, PendingCall::Read { job: job.to_owned(), found, must_exist, min_results });
        let now = self.now();
        let deadline = now + 900 * MILLI;
        let actions = self.stores.get_mut(&store_number).unwrap().replica.confirm(read, deadline, now);
        self.perform(store_number, actions);
    }

    /// Reads every acknowledged job at the primary.
    pub fn read_all(&mut self) {
        let Some(primary) = self.primary() else { return };
        let jobs: Vec<String> = self.auditor.acknowledged.iter().cloned().collect();
        jobs.iter().for_each(|job| self.read(primary, job));
    }
}
