//! Tells the seeds who is primary.
//!
//! The settings file may name couriers that are no members of the core. After a start of all machines they know of nobody,
//! and those without a disk know only them: the primary, whose disk knows the members, makes itself known there.

use super::register::ControlMember;
use quillmount_wire::messages::Request;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two rounds.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(150);

/// Tells seeds that are no members, whenever this member serves as primary.
pub async fn announce_primary(core: Rc<ControlMember>) {
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        if core.serving().is_some() {
            announce_once(&core);
        }
    }
}

fn announce_once(core: &ControlMember) {
    let request = Request::PrimaryHint { address: core.node.info.internal.clone() };
    let members = core.node.members.borrow();
    for address in core.node.seed_addresses() {
        if !members.contains(&address) {
            core.node.links.notify(&address, &request);
        }
    }
}
