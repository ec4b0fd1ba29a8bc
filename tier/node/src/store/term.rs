//! What a store remembers of a shard while it serves as its primary, beyond what is replicated.

use super::quota::TermQuota;
use super::shard::Shard;
use crate::clock;
use quillmount_wire::messages::Epoch;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Told when the items of a job are no longer to run.
#[derive(Default)]
pub struct CancelSignal {
    cancelled: Cell<bool>,
    notify: Notify,
}

impl CancelSignal {
    fn cancel(&self) {
        self.cancelled.set(true);
        self.notify.notify_waiters();
    }

    pub fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Waits for the end of the job, or of the term.
    pub async fn cancelled(&self) {
        let notified = self.notify.notified();
        if !self.cancelled.get() {
            notified.await;
        }
    }
}

/// A job, as the primary that serves knows it.
#[derive(Clone)]
pub struct TrackedJob {
    /// When this primary first knew of it, steady clock: never before it was sent.
    pub first_seen: u64,
    pub cancel: Rc<CancelSignal>,
}

/// A primary that serves, until its replica ends that.
pub struct PrimaryTerm {
    pub shard: Rc<Shard>,
    ended: Cell<bool>,
    /// Told when something was committed, and at the end.
    pub updates: Notify,
    tracked: RefCell<HashMap<String, TrackedJob>>,
    pub quota: TermQuota,
}

impl PrimaryTerm {
    /// Begins to serve in this epoch.
    pub fn new(shard: Rc<Shard>, epoch: Epoch) -> Rc<PrimaryTerm> {
        Rc::new(PrimaryTerm {
            shard,
            ended: Cell::new(false),
            updates: Notify::new(),
            tracked: RefCell::default(),
            quota: TermQuota::new(epoch),
        })
    }

    pub fn is_serving(&self) -> bool {
        !self.ended.get()
    }

    /// Ends the term: no item of its jobs runs on.
    pub fn end(&self) {
        self.ended.set(true);
        self.updates.notify_waiters();
        self.tracked.borrow().values().for_each(|tracked| tracked.cancel.cancel());
    }

    /// What is remembered of a job.
    pub fn track(&self, job: &str) -> TrackedJob {
        let mut tracked = self.tracked.borrow_mut();
        let new = || TrackedJob { first_seen: clock::micros(), cancel: Rc::default() };
        tracked.entry(job.to_owned()).or_insert_with(new).clone()
    }

    /// A job has ended: its items run no more.
    pub fn cancel(&self, job: &str) {
        self.track(job).cancel.cancel();
    }

    /// A job was forgotten.
    pub fn forget(&self, job: &str) {
        self.tracked.borrow_mut().remove(job);
    }
}
