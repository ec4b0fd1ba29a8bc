//! The line of items that wait for room.

use super::Run;
use crate::clock;
use crate::store::Store;
use crate::store::reign::Reign;
use quillmount_dataplane::batch_share::{BatchRoom, BatchShare};
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
struct Place {
    late: bool,
    due: u64,
    number: u64,
}

/// Places needed for items that wait, by service, if they are to be done within [`BACKLOG_S`].
pub fn places_for(waiting: &HashMap<String, u32>) -> HashMap<String, f64> {
    let places = |items: u32| f64::from(items) * ITEM_S / BACKLOG_S;
    waiting.iter().map(|(service, items)| (service.clone(), places(*items))).collect()
}

/// A share of a service's endpoints as it was last worked out.
#[derive(Clone, Copy)]
struct KnownShare {
    /// Steady clock.
    at: u64,
    share: BatchShare,
    room: BatchRoom,
}

/// Items that wait for room.
#[derive(Default)]
pub struct Runner {
    queue: RefCell<BTreeMap<Place, Run>>,
    numbers: Cell<u64>,
    /// Shares of endpoints, by service.
    shares: RefCell<HashMap<String, KnownShare>>,
    added: Notify,
}

impl Runner {
    /// Takes all unlisted items of a shard whose primary begins to serve.
    pub fn add_shard(&self, store: &Store, reign: &Rc<Reign>) {
        let jobs: Vec<String> = reign.shard.replica().jobs().jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| self.add_job(store, reign, job));
    }

    /// Takes the unlisted items of a job.
    pub fn add_job(&self, store: &Store, reign: &Rc<Reign>, job: &str) {
        let tables = store.node.tables();
        let replica = reign.shard.replica();
        let Some(entry) = replica.jobs().jobs.get(job).filter(|entry| !entry.ended) else { return };
        let tracked = reign.track(job);
        let route = tables.routes.by_name(&entry.job.route);
        let due_ms = route.and_then(|route| route.route.due_ms).unwrap_or(DEFAULT_DUE_MS);
        let due = tracked.seen + clock::millis(due_ms).as_micros() as u64;
        for item in (0..entry.job.items.len() as u32).filter(|item| !entry.is_listed(*item)) {
            self.put(Run {
                reign: reign.clone(),
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
        work_out: impl FnOnce(&mut BatchRoom) -> BatchShare,
    ) -> BatchShare {
        let known = self.shares.borrow().get(service).copied();
        if let Some(known) = known.filter(|known| now.saturating_sub(known.at) < SHARE_AGE) {
            return known.share;
        }
        let mut room = known.map_or_else(|| BatchRoom::new(now), |known| known.room);
        let share = work_out(&mut room);
        self.shares.borrow_mut().insert(service.to_owned(), KnownShare { at: now, share, room });
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
            if let Some(service) = route.and_then(|route| route.service(0.0)) {
                *waiting.entry(service.to_owned()).or_default() += 1;
            }
        }
        waiting
    }

    /// Puts an item in the line, and tells of it.
    pub(super) fn put(&self, run: Run) {
        self.insert(run);
        self.added.notify_one();
    }

    /// Puts an item in the line.
    pub(super) fn insert(&self, run: Run) {
        self.numbers.set(self.numbers.get() + 1);
        let place = Place { late: run.is_late(), due: run.due, number: self.numbers.get() };
        self.queue.borrow_mut().insert(place, run);
    }

    /// The next item; one that has become late in the line goes behind those that can be in time.
    pub(super) fn take(&self) -> Option<Run> {
        loop {
            let (place, run) = self.queue.borrow_mut().pop_first()?;
            if place.late == run.is_late() {
                return Some(run);
            }
            self.insert(run);
        }
    }
}
