//! Requests that wait for room at an endpoint, and for how long.

use crate::clock;
use crate::node::Node;
use quillmount_dataplane::dispatch::{Reservation, ReserveError};
use quillmount_dataplane::request_profile::RequestProfile;

/// Part of the objective for which a request waits for room.
const WAIT_FRACTION_OF_TARGET: f64 = 0.24;
/// Objective of a route that states none, ms.
const DEFAULT_TARGET_MS: f64 = 500.0;
/// Longest time between two looks for room, ms.
const CAPACITY_CHECK_MS: f64 = 20.0;

/// Until when a request that came at `arrived` waits for room, steady clock.
pub fn wait_until(arrived: u64, target_ms: Option<f64>, deadline: u64) -> u64 {
    let wait = target_ms.unwrap_or(DEFAULT_TARGET_MS) * WAIT_FRACTION_OF_TARGET;
    (arrived + clock::millis(wait).as_micros() as u64).min(deadline)
}

/// Waits for a place, until a time of the steady clock.
pub async fn reserve(
    node: &Node,
    service: &str,
    profile: &RequestProfile,
    tried: &[String],
    until: u64,
) -> Result<Reservation, ReserveError> {
    let _waiting = WaitingGuard::begin(node, service);
    loop {
        let capacity_freed = node.capacity_freed.notified();
        let now = clock::micros();
        let reserved = node.dispatcher.borrow_mut().reserve(service, profile, None, tried, now);
        match reserved {
            Ok(reservation) => return Ok(reservation),
            Err(reason) if now >= until => return Err(reason),
            Err(_) => {}
        }
        let left = clock::millis(CAPACITY_CHECK_MS).min(std::time::Duration::from_micros(until - now));
        let _ = tokio::time::timeout(left, capacity_freed).await;
    }
}

/// Counts a request among those that wait, for as long as it lives.
struct WaitingGuard<'a> {
    node: &'a Node,
    service: &'a str,
}

impl<'a> WaitingGuard<'a> {
    fn begin(node: &'a Node, service: &'a str) -> WaitingGuard<'a> {
        node.count_waiting(service, 1);
        WaitingGuard { node, service }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.node.count_waiting(self.service, -1);
    }
}
