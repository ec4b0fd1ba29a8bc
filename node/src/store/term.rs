//! What a store remembers of a shard while it serves as its primary, beyond what is replicated.

use super::quota::ReignQuota;
use super::shard::Shard;
use crate::clock;
use quillmount_wire::messages::Epoch;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Told when the items of a job are no longer to run.
#[derive(Default)]
pub struct Cancel {
    cancelled: Cell<bool>,
    notify: Notify,
}

impl Cancel {
    fn cancel(&self) {
        self.cancelled.set(true);
        self.notify.notify_waiters();
    }

    pub fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Waits for the end of the job, or of the reign.
    pub async fn cancelled(&self) {
        let notified = self.notify.notified();
        if !self.cancelled.get() {
            notified.await;
        }
    }
}

/// A job, as the primary that serves knows it.
#[derive(Clone)]
pub struct Tracked {
    /// When this primary first knew of it, steady clock: never before it was sent.
    pub seen: u64,
    pub cancel: Rc<Cancel>,
}

/// A primary that serves, until its replica ends that.
pub struct Reign {
    pub shard: Rc<Shard>,
    ended: Cell<bool>,
    /// Told when something was committed, and at the end.
    pub news: Notify,
    tracked: RefCell<HashMap<String, Tracked>>,
    pub quota: ReignQuota,
}

impl Reign {
    /// Begins to serve in this epoch.
    pub fn new(shard: Rc<Shard>, epoch: Epoch) -> Rc<Reign> {
        Rc::new(Reign {
            shard,
            ended: Cell::new(false),
            news: Notify::new(),
            tracked: RefCell::default(),
            quota: ReignQuota::new(epoch),
        })
    }

    pub fn is_serving(&self) -> bool {
        !self.ended.get()
    }

    /// Ends the reign: no item of its jobs runs on.
    pub fn end(&self) {
        self.ended.set(true);
        self.news.notify_waiters();
        self.tracked.borrow().values().for_each(|tracked| tracked.cancel.cancel());
    }

    /// What is remembered of a job.
    pub fn track(&self, job: &str) -> Tracked {
        let mut tracked = self.tracked.borrow_mut();
        let new = || Tracked { seen: clock::micros(), cancel: Rc::default() };
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
