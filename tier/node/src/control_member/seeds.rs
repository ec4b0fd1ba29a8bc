//! Announces the primary to the seeds.
//!
//! The settings file may name couriers as seeds that are not members of the core. After a restart of all machines, these seeds
//! do not know any address of the core, and couriers without a disk know only the seeds. The primary, whose disk names the
//! members, therefore announces itself to these seeds.

use super::member::ControlMember;
use quillmount_wire::messages::Request;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(150);

/// Announces this member to the seeds that are not core members while it serves as primary, until the process ends.
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
    let contact = core.node.core_contact.borrow();
    for address in core.node.seed_addresses() {
        if !contact.members().contains(&address) {
            core.node.links.notify(&address, &request);
        }
    }
}
