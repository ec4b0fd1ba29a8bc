//! Queue of the items that wait for capacity, ordered by due time, and the items that wait for a newer configuration.

use super::item_run::ItemRun;
use crate::store::shard::ServedShard;
use quillmount_dataplane::routes::RouteTable;
use quillmount_wire::Micros;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::Notify;

/// Time within which the waiting items should complete, seconds. Together with [`ITEM_DURATION_S`] it determines how many endpoints
/// are requested for them.
const BACKLOG_TARGET_S: f64 = 12.0;
/// Assumed time that one item takes to run, seconds.
const ITEM_DURATION_S: f64 = 1.0;

/// Position in the queue. Items that can still complete in time come first, then late items; both are ordered by due time, and
/// items with the same due time by the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    is_late: bool,
    due_at: Micros,
    number: u64,
}

/// Returns the number of calls, by service, that have to run concurrently for the waiting items to complete within
/// [`BACKLOG_TARGET_S`].
#[must_use]
pub fn demand_of_backlog(waiting: &HashMap<String, u32>) -> HashMap<String, f64> {
    let calls = |items: u32| f64::from(items) * ITEM_DURATION_S / BACKLOG_TARGET_S;
    waiting.iter().map(|(service, items)| (service.clone(), calls(*items))).collect()
}

/// Queue of the items that wait for capacity. Together with the running items it is bounded by the limit on the memory of jobs.
#[derive(Default)]
pub struct ItemQueue {
    runs: RefCell<BTreeMap<QueueKey, ItemRun>>,
    /// Items about which the present configuration can't decide.
    deferred: RefCell<Vec<ItemRun>>,
    last_number: Cell<u64>,
    added: Notify,
}

impl ItemQueue {
    /// Adds all items without a result of a shard that this store starts to serve.
    pub fn add_shard(&self, routes: &RouteTable, served: &ServedShard) {
        let jobs: Vec<String> = served.shard.replica().jobs().jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| self.add_job(routes, served, job));
    }

    /// Adds the items of a job that have no result yet, unless the job has ended.
    pub fn add_job(&self, routes: &RouteTable, served: &ServedShard, job: &str) {
        let replica = served.shard.replica();
        let Some(entry) = replica.jobs().jobs.get(job).filter(|entry| !entry.ended) else { return };
        let tracked = served.term.track(job);
        for item in (0..entry.job.items.len() as u32).filter(|item| !entry.has_result(*item)) {
            let mut run = ItemRun {
                served: served.clone(),
                tracked: tracked.clone(),
                job: entry.job.clone(),
                item,
                text: Vec::new(),
                last_event: None,
                failures: 0,
                tried_endpoints: Vec::new(),
                due_at: tracked.known_since,
            };
            run.update_due_time(routes);
            self.enqueue(run);
        }
    }

    /// Sets an item aside until [`ItemQueue::release_deferred`].
    pub fn defer(&self, run: ItemRun) {
        self.deferred.borrow_mut().push(run);
    }

    /// Queues all items again that were set aside. Their route may have become known, and with it the time by which they are due.
    pub fn release_deferred(&self, routes: &RouteTable) {
        for mut run in self.deferred.take() {
            run.update_due_time(routes);
            self.enqueue(run);
        }
    }

    /// Waits until an item is enqueued.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.runs.borrow().is_empty()
    }

    /// Returns the number of waiting items by service. An item of a route with several services counts for the first of them.
    pub fn waiting_by_service(&self, routes: &RouteTable) -> HashMap<String, u32> {
        let mut waiting: HashMap<String, u32> = HashMap::new();
        for run in self.runs.borrow().values() {
            let route = routes.by_name(&run.job.route);
            if let Some(service) = route.and_then(|route| route.pick_service(0.0)) {
                *waiting.entry(service.to_owned()).or_default() += 1;
            }
        }
        waiting
    }

    /// Adds an item and wakes the task that starts items.
    pub fn enqueue(&self, run: ItemRun) {
        self.insert(run);
        self.added.notify_one();
    }

    /// Adds an item without waking the task that starts items.
    pub fn insert(&self, run: ItemRun) {
        self.last_number.set(self.last_number.get() + 1);
        let key = QueueKey { is_late: run.is_late(), due_at: run.due_at, number: self.last_number.get() };
        self.runs.borrow_mut().insert(key, run);
    }

    /// Removes and returns the next item. An item that has become late while it waited is first moved behind the items that can
    /// still complete in time.
    pub fn pop(&self) -> Option<ItemRun> {
        loop {
            let (key, run) = self.runs.borrow_mut().pop_first()?;
            if key.is_late == run.is_late() {
                return Some(run);
            }
            self.insert(run);
        }
    }
}
