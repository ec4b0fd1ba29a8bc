//! State of a store that is not replicated and exists only while the store serves a shard as primary.

use super::term_quota::TermQuota;
use crate::clock;
use crate::latch::Latch;
use quillmount_wire::Micros;
use quillmount_wire::messages::Epoch;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// State of a job at the serving primary.
#[derive(Clone, Debug)]
pub struct TrackedJob {
    /// Time at which this primary first knew the job; never earlier than the submission.
    pub known_since: Micros,
    /// Set when the job or the primary's term ends; the job's items must not run any more.
    pub cancelled: Rc<Latch>,
}

/// Term of a store as primary of a shard, from the time when it starts to serve until its replica steps down.
pub struct PrimaryTerm {
    /// Notified when an operation was committed and when the term ends.
    pub updates: Notify,
    /// Quota ledger of the shard, and the pending claims of its primary.
    pub quota: TermQuota,
    ended: Cell<bool>,
    tracked_jobs: RefCell<HashMap<String, TrackedJob>>,
}

impl PrimaryTerm {
    /// Starts a term in this epoch.
    pub fn new(epoch: Epoch) -> Rc<PrimaryTerm> {
        Rc::new(PrimaryTerm {
            updates: Notify::new(),
            quota: TermQuota::new(epoch),
            ended: Cell::new(false),
            tracked_jobs: RefCell::default(),
        })
    }

    /// Returns whether the term has not ended yet.
    pub fn is_serving(&self) -> bool {
        !self.ended.get()
    }

    /// Ends the term: cancels the items of all jobs and wakes the tasks that wait for updates.
    pub fn end(&self) {
        self.ended.set(true);
        self.updates.notify_waiters();
        self.tracked_jobs.borrow().values().for_each(|tracked| tracked.cancelled.set());
    }

    /// Returns the state of a job, and starts to track the job if it is new in this term.
    pub fn track(&self, job: &str) -> TrackedJob {
        let mut tracked = self.tracked_jobs.borrow_mut();
        let new_job = || TrackedJob { known_since: clock::now(), cancelled: Rc::default() };
        tracked.entry(job.to_owned()).or_insert_with(new_job).clone()
    }

    /// Returns whether a job is known in this term, so that its items are queued or running already.
    pub fn is_tracking(&self, job: &str) -> bool {
        self.tracked_jobs.borrow().contains_key(job)
    }

    /// Cancels the items of a job that has ended.
    pub fn cancel(&self, job: &str) {
        self.track(job).cancelled.set();
    }

    /// Stops tracking a job that was removed from the shard.
    pub fn untrack(&self, job: &str) {
        self.tracked_jobs.borrow_mut().remove(job);
    }
}
