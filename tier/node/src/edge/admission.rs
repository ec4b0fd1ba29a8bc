//! Requests that wait for a free slot at an endpoint, and for how long.

use crate::clock;
use crate::node::Node;
use quillmount_dataplane::dispatch::{Reservation, ReserveError};
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_wire::Micros;
use std::time::Duration;

/// Fraction of a route's latency target for which a request waits for a slot.
const WAIT_FRACTION_OF_TARGET: f64 = 0.24;
/// Latency target of a route that states none, milliseconds.
const DEFAULT_TARGET_MS: f64 = 500.0;
/// Longest time between two attempts to reserve a slot, milliseconds.
const CAPACITY_CHECK_MS: f64 = 20.0;

/// Until when a request that arrived at `arrived` waits for a slot.
pub(super) fn wait_until(arrived: Micros, target_ms: Option<f64>, deadline: Micros) -> Micros {
    let wait = target_ms.unwrap_or(DEFAULT_TARGET_MS) * WAIT_FRACTION_OF_TARGET;
    (arrived + clock::micros_from_ms(wait)).min(deadline)
}

/// Waits for a slot at an endpoint that is not in `tried`, at most until `until`.
pub(super) async fn reserve(
    node: &Node,
    service: &str,
    profile: &RequestProfile,
    tried: &[String],
    until: Micros,
) -> Result<Reservation, ReserveError> {
    let _waiting = WaitingGuard::new(node, service);
    loop {
        // Created before the attempt, so that no slot that becomes free meanwhile is missed.
        let capacity_freed = node.capacity_freed.notified();
        let now = clock::now();
        let reserved = node.dispatcher.borrow_mut().reserve(service, profile, None, tried, now);
        match reserved {
            Ok(reservation) => return Ok(reservation),
            Err(error) if now >= until => return Err(error),
            Err(_) => {}
        }
        let wait = clock::duration_from_ms(CAPACITY_CHECK_MS).min(Duration::from_micros(until - now));
        let _ = tokio::time::timeout(wait, capacity_freed).await;
    }
}

/// Counts a request among those that wait, until this is dropped.
struct WaitingGuard<'a> {
    node: &'a Node,
    service: &'a str,
}

impl<'a> WaitingGuard<'a> {
    fn new(node: &'a Node, service: &'a str) -> WaitingGuard<'a> {
        node.count_waiting(service, 1);
        WaitingGuard { node, service }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.node.count_waiting(self.service, -1);
    }
}
