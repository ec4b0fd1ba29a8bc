//! Runs the items of batch jobs on the endpoint capacity that live requests leave unused.
//!
//! [`run`] takes items from the queue (`queue`) in the order of their due times, reserves an endpoint for each (`reservation`), and starts
//! an attempt (`attempt`), whose result is committed in the job's shard (`results`). The batch capacity of the endpoints is
//! divided among the stores in proportion to their numbers of items (`shares`). A service without free capacity is not asked
//! again for a while (`full_services`), and delays no items of other services.
//!
//! Items about which the configuration can't decide yet are set aside; [`review_waiting_items`] queues them again.

mod attempt;
mod failed_attempts;
pub mod full_services;
mod give_up_log;
mod item_run;
pub mod queue;
mod reservation;
mod results;
pub mod shares;

use super::state::Store;
use item_run::NextStep;
use quillmount_dataplane::item_queue::QueuePass;
use reservation::reserve;
use results::stop;
use std::rc::Rc;
use std::time::Duration;

/// Longest time between two checks for free capacity.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time between two decisions about an item that was set aside.
const DEFERRED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts waiting items until the process ends.
pub async fn run(store: Rc<Store>) {
    loop {
        let added = store.waiting_items.added();
        let capacity_freed = store.node.capacity_freed.notified();
        start_items(&store);
        if store.waiting_items.is_empty() {
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

/// Decides again about the items that were set aside and about the oldest waiting ones, with each change of the tables and regularly,
/// until the process ends.
pub async fn review_waiting_items(store: Rc<Store>) {
    let mut tables = store.node.watch_tables();
    loop {
        // Neither outcome needs handling: the items are decided again in any case.
        let _ = tokio::time::timeout(DEFERRED_CHECK_INTERVAL, tables.changed()).await;
        store.waiting_items.release_deferred(&store.node.tables().routes);
        stop_expired_items(&store);
    }
}

/// Starts the waiting items for which a service of their route has capacity.
fn start_items(store: &Rc<Store>) {
    let mut pass = QueuePass::default();
    while let Some(queued) = store.waiting_items.next(&pass) {
        if let NextStep::Stop(reason) = queued.item.next_step(&store.node) {
            stop(store, queued.item, reason);
            continue;
        }
        match reserve(store, &queued.item) {
            Some(reserved) => {
                // The task ends with the attempt, which is cancelled when its job or term ends.
                tokio::task::spawn_local(attempt::run(store.clone(), queued.item, reserved));
            }
            None => {
                pass.skip_route_of(&queued);
                store.waiting_items.restore(queued);
            }
        }
    }
}

/// Stops the oldest waiting items of each route that don't have to run any more. Without this, items of a route without capacity
/// would stay for as long as newer ones that are still in time wait before them.
fn stop_expired_items(store: &Rc<Store>) {
    for route in store.waiting_items.routes() {
        while let Some(queued) = store.waiting_items.take_oldest(&route) {
            match queued.item.next_step(&store.node) {
                NextStep::Stop(reason) => stop(store, queued.item, reason),
                NextStep::Reserve => {
                    store.waiting_items.restore(queued);
                    break;
                }
            }
        }
    }
}
