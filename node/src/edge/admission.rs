//! Requests that wait for room at an endpoint, and for how long.

use crate::clock;
use crate::node::Node;
use quillmount_dataplane::demand::Demand;
use quillmount_dataplane::dispatch::{NoPlace, Placement};

/// Part of the objective for which a request waits for room.
const WAIT_OF_TARGET: f64 = 0.24;
/// Objective of a route that states none, ms.
const DEFAULT_TARGET_MS: f64 = 500.0;
/// Longest time between two looks for room, ms.
const LOOK_MS: f64 = 20.0;

/// Until when a request that came at `arrived` waits for room, steady clock.
pub fn wait_until(arrived: u64, target_ms: Option<f64>, deadline: u64) -> u64 {
    let wait = target_ms.unwrap_or(DEFAULT_TARGET_MS) * WAIT_OF_TARGET;
    (arrived + clock::millis(wait).as_micros() as u64).min(deadline)
}

/// Waits for a place, until a time of the steady clock.
pub async fn place(
    node: &Node,
    service: &str,
    demand: &Demand,
    tried: &[String],
    until: u64,
) -> Result<Placement, NoPlace> {
    let _waiting = Waiting::begin(node, service);
    loop {
        let room = node.room.notified();
        let now = clock::micros();
        let placed = node.dispatcher.borrow_mut().place(service, demand, None, tried, now);
        match placed {
            Ok(placement) => return Ok(placement),
            Err(reason) if now >= until => return Err(reason),
            Err(_) => {}
        }
        let left = clock::millis(LOOK_MS).min(std::time::Duration::from_micros(until - now));
        let _ = tokio::time::timeout(left, room).await;
    }
}

/// Counts a request among those that wait, for as long as it lives.
struct Waiting<'a> {
    node: &'a Node,
    service: &'a str,
}

impl<'a> Waiting<'a> {
    fn begin(node: &'a Node, service: &'a str) -> Waiting<'a> {
        node.count_waiting(service, 1);
        Waiting { node, service }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.node.count_waiting(self.service, -1);
    }
}
