//! The fallback of a process that has lost the core, or whose primary has no current list: it reads the platform's list of
//! endpoints itself.

use crate::clock;
use crate::endpoint_list;
use crate::node::Node;
use quillmount_control::direct_list::{DirectFetchSchedule, lacks_current_list};
use quillmount_wire::Micros;
use std::rc::Rc;
use std::time::Duration;

/// How often the process checks whether a reading is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the seeds again while the core is silent, and the platform's list whenever [`DirectFetchSchedule`] asks for it, for as long as the
/// process runs.
pub async fn read_list_without_core(node: Rc<Node>) {
    tokio::join!(reload_seeds(&node), read_list(&node));
}

/// The file may have changed without a signal.
async fn reload_seeds(node: &Node) {
    loop {
        tokio::time::sleep(node.limits.direct_fetch_interval).await;
        if node.core_silence() > node.limits.core_silence.as_micros() as Micros {
            node.reload_seeds();
        }
    }
}

async fn read_list(node: &Node) {
    let mut readings = DirectFetchSchedule::new(&node.limits, clock::now());
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !readings.is_due(&node.core_contact.borrow(), &node.limits, clock::now()) {
            continue;
        }
        if let Some(list) = endpoint_list::read(node).await {
            let current = node.tables();
            // The core may have come back meanwhile: its list then takes precedence.
            if lacks_current_list(&node.core_contact.borrow(), &node.limits, clock::now()) {
                node.swap_tables(current.with_direct_list(list));
            }
        }
    }
}
