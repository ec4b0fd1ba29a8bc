//! Reserves endpoints for items, within this store's share of the batch capacity.

use super::item_run::ItemRun;
use crate::clock;
use crate::store::state::Store;
use crate::subscription::Reporter;
use quillmount_dataplane::batch_share::{BatchCapacity, BatchShare, SenderItems, batch_fraction};
use quillmount_dataplane::dispatch::Reservation;
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_wire::Micros;

/// A slot that is reserved for an attempt.
pub struct ReservedEndpoint {
    /// Name of the endpoint's service.
    pub service: String,
    /// The slot, which the attempt releases.
    pub reservation: Reservation,
}

/// Reserves an endpoint for an item, at a service of its route that has capacity.
pub fn reserve(store: &Store, run: &ItemRun) -> Option<ReservedEndpoint> {
    let now = clock::now();
    let profile = run.profile();
    loop {
        let service = run.pick_service(&store.node, |service| !store.full_services.contains(service, now))?;
        match reserve_at(store, run, &service, &profile, now) {
            Some(reservation) => return Some(ReservedEndpoint { service, reservation }),
            None => store.full_services.insert(service, now),
        }
    }
}

/// Reserves an endpoint of a service. Prefers endpoints that were not tried since the item's last progress.
fn reserve_at(
    store: &Store,
    run: &ItemRun,
    service: &str,
    profile: &RequestProfile,
    now: Micros,
) -> Option<Reservation> {
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
