//! The queue of items that wait for capacity, ordered by due time.

use super::item_run::ItemRun;
use crate::clock;
use crate::store::shard::ServedShard;
use quillmount_dataplane::routes::RouteTable;
use quillmount_wire::Micros;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::Notify;

/// Time until an item is due where its route states none, milliseconds.
const DEFAULT_DUE_MS: f64 = 60_000.0;
/// Time in which the waiting items are to be done, seconds. Together with [`ITEM_S`] it determines how many endpoints are
/// ordered for them.
const BACKLOG_S: f64 = 12.0;
/// Time that one item takes, seconds.
const ITEM_S: f64 = 1.0;

/// Position in the queue: items that can still be in time by due time, then late ones by due time; equal ones in the order
/// in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    late: bool,
    due: Micros,
    number: u64,
}

/// Calls that have to run at once for the waiting items to be done within [`BACKLOG_S`], by service.
#[must_use]
pub fn demand_of_backlog(waiting: &HashMap<String, u32>) -> HashMap<String, f64> {
    let calls = |items: u32| f64::from(items) * ITEM_S / BACKLOG_S;
    waiting.iter().map(|(service, items)| (service.clone(), calls(*items))).collect()
}

/// Items that wait for capacity.
#[derive(Default)]
pub struct ItemQueue {
    queue: RefCell<BTreeMap<QueueKey, ItemRun>>,
    last_number: Cell<u64>,
    added: Notify,
}

impl ItemQueue {
    /// Adds all items without a result of a shard that is served from now on.
    pub fn add_shard(&self, routes: &RouteTable, served: &ServedShard) {
        let jobs: Vec<String> = served.shard.replica().jobs().jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| self.add_job(routes, served, job));
    }

    /// Adds the items of a job that have no result, unless the job has ended.
    pub fn add_job(&self, routes: &RouteTable, served: &ServedShard, job: &str) {
        let replica = served.shard.replica();
        let Some(entry) = replica.jobs().jobs.get(job).filter(|entry| !entry.ended) else { return };
        let tracked = served.term.track(job);
        let due_ms =
            routes.by_name(&entry.job.route).and_then(|route| route.route.due_ms).unwrap_or(DEFAULT_DUE_MS);
        let due = tracked.first_seen + clock::micros_from_ms(due_ms);
        for item in (0..entry.job.items.len() as u32).filter(|item| !entry.has_result(*item)) {
            self.enqueue(ItemRun {
                served: served.clone(),
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

    /// Waits until an item is enqueued.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Number of items that wait, by service.
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

    /// Adds an item and wakes the task that starts items.
    pub fn enqueue(&self, run: ItemRun) {
        self.insert(run);
        self.added.notify_one();
    }

    /// Adds an item without waking anyone.
    pub fn insert(&self, run: ItemRun) {
        self.last_number.set(self.last_number.get() + 1);
        let key = QueueKey { late: run.is_late(), due: run.due, number: self.last_number.get() };
        self.queue.borrow_mut().insert(key, run);
    }

    /// Removes the next item. One that has become late while it waited is sorted after those that can still be in time.
    pub fn pop(&self) -> Option<ItemRun> {
        loop {
            let (key, run) = self.queue.borrow_mut().pop_first()?;
            if key.late == run.is_late() {
                return Some(run);
            }
            self.insert(run);
        }
    }
}
