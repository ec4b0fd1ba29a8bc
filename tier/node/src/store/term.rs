//! What a store remembers while it serves a shard as primary, beyond what is replicated.

use super::term_quota::TermQuota;
use crate::clock;
use crate::latch::Latch;
use quillmount_wire::Micros;
use quillmount_wire::messages::Epoch;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A job, as the serving primary knows it.
#[derive(Clone, Debug)]
pub struct TrackedJob {
    /// When this primary first saw the job; never before it was submitted.
    pub first_seen: Micros,
    /// Set when the job, or the primary's term, has ended: its items are no longer to run.
    pub cancelled: Rc<Latch>,
}

/// The time for which a store serves a shard as primary, from its election until its replica steps down.
pub struct PrimaryTerm {
    /// Notified when something was committed, and when the term ends.
    pub updates: Notify,
    /// The quota ledger of the shard, and the claims that its primary makes.
    pub quota: TermQuota,
    ended: Cell<bool>,
    tracked: RefCell<HashMap<String, TrackedJob>>,
}

impl PrimaryTerm {
    /// Begins to serve in this epoch.
    pub fn new(epoch: Epoch) -> Rc<PrimaryTerm> {
        Rc::new(PrimaryTerm {
            updates: Notify::new(),
            quota: TermQuota::new(epoch),
            ended: Cell::new(false),
            tracked: RefCell::default(),
        })
    }

    /// Whether the term has not ended.
    pub fn is_serving(&self) -> bool {
        !self.ended.get()
    }

    /// Ends the term: cancels the items of all its jobs and wakes those who wait for updates.
    pub fn end(&self) {
        self.ended.set(true);
        self.updates.notify_waiters();
        self.tracked.borrow().values().for_each(|tracked| tracked.cancelled.set());
    }

    /// What is remembered of a job; from now on, if the job is new to this term.
    pub fn track(&self, job: &str) -> TrackedJob {
        let mut tracked = self.tracked.borrow_mut();
        let new = || TrackedJob { first_seen: clock::now(), cancelled: Rc::default() };
        tracked.entry(job.to_owned()).or_insert_with(new).clone()
    }

    /// Cancels the items of a job that has ended.
    pub fn cancel(&self, job: &str) {
        self.track(job).cancelled.set();
    }

    /// Drops what is remembered of a job that is no longer retained.
    pub fn forget(&self, job: &str) {
        self.tracked.borrow_mut().remove(job);
    }
}
