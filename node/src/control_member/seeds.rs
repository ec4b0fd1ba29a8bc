//! Tells the seeds who is primary.
//!
//! The settings file may name couriers that are no members of the core. After a start of all machines they know of nobody,
//! and those without a disk know only them: the primary, whose disk knows the members, makes itself known there.

use super::register::Core;
use quillmount_wire::messages::Request;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(150);

/// Tells seeds that are no members, whenever this member serves as primary.
pub async fn tell(core: Rc<Core>) {
    loop {
        tokio::time::sleep(PAUSE).await;
        if core.serving().is_some() {
            tell_once(&core);
        }
    }
}

fn tell_once(core: &Core) {
    let request = Request::Primary { address: core.node.info.internal.clone() };
    let members = core.node.members.borrow();
    for address in core.node.seed_addresses() {
        if !members.contains(&address) {
            core.node.links.notify(&address, &request);
        }
    }
}
