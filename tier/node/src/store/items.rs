//! Runs the items of batch jobs on the endpoint capacity that live requests leave unused.
//!
//! [`run`] takes items from the queue (`queue`) in the order of their due times, reserves an endpoint for each, and starts
//! an attempt (`attempt`), whose result is committed in the job's shard (`results`). The batch capacity of the endpoints is
//! divided among the stores in proportion to their numbers of items (`shares`).
//!
//! Items about which the configuration can't decide yet are set aside, and [`release_deferred`] queues them again.

mod attempt;
mod item_run;
pub mod queue;
mod results;
pub mod shares;

use super::state::Store;
use crate::clock;
use crate::subscription::Reporter;
use item_run::{ItemRun, NextStep};
use quillmount_dataplane::batch_share::{BatchCapacity, BatchShare, SenderItems, batch_fraction};
use quillmount_dataplane::dispatch::Reservation;
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_wire::Micros;
use results::give_up;
use std::rc::Rc;
use std::time::Duration;

/// Longest time between two checks for free capacity.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time between two decisions about an item that was set aside.
const DEFERRED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts waiting items until the process ends.
pub async fn run(store: Rc<Store>) {
    loop {
        let added = store.item_queue.added();
        let capacity_freed = store.node.capacity_freed.notified();
        start_items(&store);
        let queue_is_empty = store.item_queue.is_empty();
        if queue_is_empty {
            added.await;
        } else {
            tokio::select! {
                () = added => {}
                () = capacity_freed => {}
                () = tokio::time::sleep(CAPACITY_CHECK_INTERVAL) => {}
            }
        }
    }
}

/// Queues the items that were set aside again, with each change of the tables and regularly, until the process ends.
pub async fn release_deferred(store: Rc<Store>) {
    let mut tables = store.node.watch_tables();
    loop {
        // Neither outcome needs handling: the items are decided again in any case.
        let _ = tokio::time::timeout(DEFERRED_CHECK_INTERVAL, tables.changed()).await;
        store.item_queue.release_deferred(&store.node.tables().routes);
    }
}

/// Starts waiting items in the order of the queue until no endpoint has capacity.
fn start_items(store: &Rc<Store>) {
    while let Some(run) = store.item_queue.pop() {
        match run.next_step(&store.node) {
            NextStep::Drop => {}
            NextStep::GiveUp(reason) => give_up(store, run, reason),
            NextStep::Defer => store.item_queue.defer(run),
            NextStep::Reserve { service, profile } => match reserve(store, &run, &service, &profile) {
                Some(reservation) => {
                    // The task ends with the attempt, which is cancelled when its job or term ends.
                    tokio::task::spawn_local(attempt::run(store.clone(), run, reservation));
                }
                None => {
                    store.item_queue.insert(run);
                    return;
                }
            },
        }
    }
}

/// Reserves an endpoint for an item. Prefers endpoints that were not tried since the item's last progress.
fn reserve(store: &Store, run: &ItemRun, service: &str, profile: &RequestProfile) -> Option<Reservation> {
    let now = clock::now();
    let share = store
        .batch_shares
        .get(service, now, |batch_capacity| batch_share(store, service, now, batch_capacity));
    let mut dispatcher = store.node.dispatcher.borrow_mut();
    let reserved = dispatcher.reserve(service, profile, Some(&share), &run.tried_endpoints, now);
    if reserved.is_err() && !run.tried_endpoints.is_empty() {
        return dispatcher.reserve(service, profile, Some(&share), &[], now).ok();
    }
    reserved.ok()
}

/// Computes this store's share of a service's endpoints. The capacity that live requests leave is divided among the stores in
/// proportion to their numbers of items.
fn batch_share(store: &Store, service: &str, now: Micros, batch_capacity: &mut BatchCapacity) -> BatchShare {
    let loads = store.node.loads.borrow().clone();
    let load = loads.iter().find(|load| load.service == service);
    let reported_items = load.into_iter().flat_map(|load| &load.items);
    let senders: Vec<SenderItems> =
        reported_items.map(|(sender, items)| SenderItems { sender: *sender, items: *items }).collect();
    // The store's own count is newer than the core's. The item to be placed is added because it is no longer in the queue.
    let own_items = store.needs().items.get(service).copied().unwrap_or_default() + 1;
    let own = SenderItems { sender: store.node.info.disk, items: own_items };
    let capacity = store.node.dispatcher.borrow().capacity(service);
    let unused_fraction = load.map(|load| batch_fraction(load.live_demand, capacity));
    BatchShare::new(own, &senders, batch_capacity.update(now, unused_fraction))
}
