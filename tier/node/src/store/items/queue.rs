//! The line of items that wait for room.

use super::ItemRun;
use crate::clock;
use crate::store::Store;
use crate::store::term::PrimaryTerm;
use quillmount_dataplane::batch_share::{BatchCapacity, BatchShare};
use quillmount_dataplane::routes::RouteTable;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::sync::Notify;

/// Due time of a route that states none, ms.
const DEFAULT_DUE_MS: f64 = 60_000.0;
/// Time in which waiting items are to be done, and the time that one takes, seconds: inputs of the endpoint count.
const BACKLOG_S: f64 = 12.0;
const ITEM_S: f64 = 1.0;

/// A share is worked out anew after so long, microseconds.
const SHARE_AGE: u64 = 50_000;

/// Place in the line: what can still be in time, by due time; then what is late, by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    late: bool,
    due: u64,
    number: u64,
}

/// Places needed for items that wait, by service, if they are to be done within [`BACKLOG_S`].
pub fn demand_of_backlog(waiting: &HashMap<String, u32>) -> HashMap<String, f64> {
    let places = |items: u32| f64::from(items) * ITEM_S / BACKLOG_S;
    waiting.iter().map(|(service, items)| (service.clone(), places(*items))).collect()
}

/// A share of a service's endpoints as it was last worked out.
#[derive(Clone, Copy)]
struct CachedShare {
    /// Steady clock.
    at: u64,
    share: BatchShare,
    batch_capacity: BatchCapacity,
}

/// Items that wait for room.
#[derive(Default)]
pub struct ItemQueue {
    queue: RefCell<BTreeMap<QueueKey, ItemRun>>,
    last_number: Cell<u64>,
    /// Shares of endpoints, by service.
    shares: RefCell<HashMap<String, CachedShare>>,
    added: Notify,
}

impl ItemQueue {
    /// Takes all unlisted items of a shard whose primary begins to serve.
    pub fn add_shard(&self, store: &Store, term: &Rc<PrimaryTerm>) {
        let jobs: Vec<String> = term.shard.replica().jobs().jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| self.add_job(store, term, job));
    }

    /// Takes the unlisted items of a job.
    pub fn add_job(&self, store: &Store, term: &Rc<PrimaryTerm>, job: &str) {
        let tables = store.node.tables();
        let replica = term.shard.replica();
        let Some(entry) = replica.jobs().jobs.get(job).filter(|entry| !entry.ended) else { return };
        let tracked = term.track(job);
        let route = tables.routes.by_name(&entry.job.route);
        let due_ms = route.and_then(|route| route.route.due_ms).unwrap_or(DEFAULT_DUE_MS);
        let due = tracked.first_seen + clock::millis(due_ms).as_micros() as u64;
        for item in (0..entry.job.items.len() as u32).filter(|item| !entry.has_result(*item)) {
            self.enqueue(ItemRun {
                term: term.clone(),
                tracked: tracked.clone(),
                job: entry.job.clone(),
                item,
                text: Vec::new(),
                last_event: None,
                failures: 0,
                tried: Vec::new(),
                due,
            });
        }
    }

    /// This store's share of a service's endpoints, worked out anew now and then.
    pub(super) fn share(
        &self,
        service: &str,
        now: u64,
        compute: impl FnOnce(&mut BatchCapacity) -> BatchShare,
    ) -> BatchShare {
        let known = self.shares.borrow().get(service).copied();
        if let Some(known) = known.filter(|known| now.saturating_sub(known.at) < SHARE_AGE) {
            return known.share;
        }
        let mut batch_capacity = known.map_or_else(|| BatchCapacity::new(now), |known| known.batch_capacity);
        let share = compute(&mut batch_capacity);
        self.shares.borrow_mut().insert(service.to_owned(), CachedShare { at: now, share, batch_capacity });
        share
    }

    /// Waits until an item is put in the line.
    pub(super) async fn added(&self) {
        self.added.notified().await;
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Items that wait, by service.
    pub fn waiting(&self, routes: &RouteTable) -> HashMap<String, u32> {
        let mut waiting: HashMap<String, u32> = HashMap::new();
        for run in self.queue.borrow().values() {
            let route = routes.by_name(&run.job.route);
            if let Some(service) = route.and_then(|route| route.pick_service(0.0)) {
                *waiting.entry(service.to_owned()).or_default() += 1;
            }
        }
        waiting
    }

    /// Puts an item in the line, and tells of it.
    pub(super) fn enqueue(&self, run: ItemRun) {
        self.insert(run);
        self.added.notify_one();
    }

    /// Puts an item in the line.
    pub(super) fn insert(&self, run: ItemRun) {
        self.last_number.set(self.last_number.get() + 1);
        let key = QueueKey { late: run.is_late(), due: run.due, number: self.last_number.get() };
        self.queue.borrow_mut().insert(key, run);
    }

    /// The next item; one that has become late in the line goes behind those that can be in time.
    pub(super) fn pop(&self) -> Option<ItemRun> {
        loop {
            let (key, run) = self.queue.borrow_mut().pop_first()?;
            if key.late == run.is_late() {
                return Some(run);
            }
            self.insert(run);
        }
    }
}
