//! Graceful shutdown of a courier: no new connections, then no new requests, while requests in flight end.

use super::client_connections::ClientConnections;
use crate::clock;
use crate::node::Node;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long idle connections stay open after the signal. The platform checks readiness every second and stops sending clients
/// after two failed checks.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2600);
/// How long requests are accepted after the signal: when most couriers of a zone stop at once, the platform still sends clients
/// to them. The rest of the grace period is for accepted requests to end.
const ACCEPT_FOR: Duration = Duration::from_millis(3000);
/// Subtracted from the grace period, so that the process ends before it is killed.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which the number of open connections is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Closes the connections of clients step by step; returns when all are closed, or at the end of the grace period.
pub(super) async fn drain(node: &Node, connections: &ClientConnections) {
    let grace = clock::duration_from_ms(node.settings.slo.grace_s * 1000.0).saturating_sub(GRACE_MARGIN);
    let started = Instant::now();
    sleep(CLOSE_IDLE_AFTER.min(grace)).await;
    connections.close_idle();
    sleep(ACCEPT_FOR.min(grace).saturating_sub(started.elapsed())).await;
    connections.refuse_all();
    while connections.open() > 0 && started.elapsed() < grace {
        sleep(CHECK_INTERVAL).await;
    }
}
