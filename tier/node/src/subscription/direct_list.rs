//! The fallback of a process that has lost the core: it reads the platform's list of endpoints itself.

use crate::endpoint_list;
use crate::node::Node;
use quillmount_wire::Micros;
use std::rc::Rc;

/// Reads the platform's list whenever the core is silent, for as long as the process runs.
pub async fn read_list_without_core(node: Rc<Node>) {
    loop {
        tokio::time::sleep(node.limits.list_reading).await;
        if !is_core_silent(&node) {
            continue;
        }
        // The file may have changed without a signal.
        node.reload_seeds();
        if !node.core_contact.borrow().has_ever_answered() {
            continue;
        }
        if let Some(list) = endpoint_list::read(&node).await {
            let current = node.tables();
            // The core may have come back meanwhile: its list then takes precedence.
            if is_core_silent(&node) {
                node.swap_tables(current.with_own_list(list));
            }
        }
    }
}

fn is_core_silent(node: &Node) -> bool {
    node.core_silence() > node.limits.core_silence.as_micros() as Micros
}
