//! Notices when this process did not run: for want of processor time, or because it was stopped.

use crate::clock;
use crate::node::Node;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two looks at the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A look that is late by this much is a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Counts and logs stalls for as long as the process runs.
pub async fn watch(node: Rc<Node>) {
    loop {
        let began = clock::now();
        tokio::time::sleep(CHECK_INTERVAL).await;
        let elapsed = Duration::from_micros(clock::now().saturating_sub(began));
        let late = elapsed.saturating_sub(CHECK_INTERVAL);
        if late >= STALL_THRESHOLD {
            node.metrics.count_stall(late);
            tracing::info!(ms = late.as_millis() as u64, "the process did not run");
        }
    }
}
