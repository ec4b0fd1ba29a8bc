//! The fallback of a process that has lost the core: it reads the platform's list of endpoints itself.

use crate::clock;
use crate::endpoint_list;
use crate::node::Node;
use std::rc::Rc;

/// Reads the platform's list whenever the core is silent, for as long as the process runs.
pub async fn read_list_without_core(node: Rc<Node>) {
    loop {
        tokio::time::sleep(node.limits.list_reading).await;
        if !is_list_old(&node) {
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
            if is_list_old(&node) {
                node.swap_tables(current.with_own_list(list));
            }
        }
    }
}

fn is_list_old(node: &Node) -> bool {
    node.limits.must_read_list(node.core_contact.borrow().age(clock::now()))
}
