//! The items of a store that wait for capacity, and those that wait for a newer configuration.

use super::failed_attempts::FailedAttempts;
use super::item_run::ItemRun;
use crate::clock;
use crate::store::shard::ServedShard;
use quillmount_dataplane::item_queue::{ItemQueue, QueuePass, QueuedItem};
use quillmount_dataplane::routes::RouteTable;
use quillmount_wire::Micros;
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::Notify;

/// Time within which the waiting items should complete, seconds. Together with [`ITEM_DURATION_S`] it determines how many endpoints
/// are requested for them.
const BACKLOG_TARGET_S: f64 = 12.0;
/// Assumed time that one item takes to run, seconds.
const ITEM_DURATION_S: f64 = 1.0;

/// An item that is due within this time counts as late, microseconds. This is about the time that an item takes to run.
const LATE_MARGIN: Micros = 700_000;

/// Returns the number of calls, by service, that have to run concurrently for the waiting items to complete within
/// [`BACKLOG_TARGET_S`].
#[must_use]
pub fn demand_of_backlog(waiting: &HashMap<String, u32>) -> HashMap<String, f64> {
    let calls = |items: u32| f64::from(items) * ITEM_DURATION_S / BACKLOG_TARGET_S;
    waiting.iter().map(|(service, items)| (service.clone(), calls(*items))).collect()
}

/// The items that wait in a store. Together with the running items they are bounded by the limit on the memory of jobs.
#[derive(Default)]
pub struct WaitingItems {
    /// Items that wait for capacity.
    queue: RefCell<ItemQueue<ItemRun>>,
    /// Items about which the present configuration can't decide.
    deferred: RefCell<Vec<ItemRun>>,
    added: Notify,
}

impl WaitingItems {
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
                failed_attempts: FailedAttempts::default(),
                tried_endpoints: Vec::new(),
                due_at: tracked.known_since,
                known_version: routes.version,
            };
            run.update_due_time(routes);
            self.enqueue(run);
        }
    }

    /// Sets an item aside until [`WaitingItems::release_deferred`].
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
        self.queue.borrow().is_empty()
    }

    /// Returns the number of waiting items by service. An item of a route with several services counts for the first of them.
    pub fn waiting_by_service(&self, routes: &RouteTable) -> HashMap<String, u32> {
        let mut waiting: HashMap<String, u32> = HashMap::new();
        for waiting_route in self.queue.borrow().waiting_routes() {
            let route = waiting_route.oldest.route(routes);
            if let Some(service) = route.and_then(|route| route.pick_service(0.0)) {
                *waiting.entry(service.to_owned()).or_default() += waiting_route.items as u32;
            }
        }
        waiting
    }

    /// Adds an item and wakes the task that starts items.
    pub fn enqueue(&self, run: ItemRun) {
        let job = run.job.clone();
        self.queue.borrow_mut().push(&job.route, run.due_at, run);
        self.added.notify_one();
    }

    /// Takes out the next item of a pass over the queue.
    pub fn next(&self, pass: &QueuePass) -> Option<QueuedItem<ItemRun>> {
        self.queue.borrow_mut().next(pass, clock::now() + LATE_MARGIN)
    }

    /// Puts an item back that could not be started.
    pub fn restore(&self, queued: QueuedItem<ItemRun>) {
        self.queue.borrow_mut().restore(queued);
    }

    /// Returns the routes that have waiting items.
    pub fn routes(&self) -> Vec<String> {
        self.queue.borrow().waiting_routes().map(|route| route.name.to_owned()).collect()
    }

    /// Takes out the item of a route that is due first.
    pub fn take_oldest(&self, route: &str) -> Option<QueuedItem<ItemRun>> {
        self.queue.borrow_mut().take_oldest(route)
    }
}
