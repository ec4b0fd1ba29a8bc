//! Long polls of couriers and stores at the core.

use super::register::ControlMember;
use crate::node::Node;
use quillmount_control::Admission;
use quillmount_wire::messages::{NodeRole, Poll, Request, Response, TableVersions, Tables};
use std::rc::Rc;
use std::time::Duration;

/// A poll that is passed on without an answer for so long has failed.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// A poll is held no longer, whatever it asks.
const MAX_WAIT_LIMIT: Duration = Duration::from_secs(5);

/// Answers a poll, with tables that the asker does not have, or without any after its hold.
pub async fn answer(core: &Rc<ControlMember>, poll: Poll) -> Response {
    if core.serving().is_none() {
        return Response::NotPrimary { hint: core.primary_address() };
    }
    core.leases.borrow_mut().renew(&poll);
    if !admit(core, &poll).await {
        return Response::NotPrimary { hint: core.primary_address() };
    }
    // The first table of an incarnation is confirmed: a courier must not begin with one that is no longer in force.
    if poll.known_versions.configuration == 0 && core.confirm().await.is_err() {
        return Response::NotPrimary { hint: None };
    }
    let max_wait = Duration::from_millis(poll.max_wait_ms).min(MAX_WAIT_LIMIT);
    let deadline = tokio::time::Instant::now() + max_wait;
    loop {
        let changed = core.changed.notified();
        let Some(tables) = newer_tables(core, poll.known_versions) else {
            return Response::NotPrimary { hint: core.primary_address() };
        };
        let empty =
            tables.configuration.is_none() && tables.placement.is_none() && tables.directory.is_none();
        if !empty || tokio::time::Instant::now() >= deadline {
            let loads =
                if poll.node.role == NodeRole::Store { core.leases.borrow().loads() } else { Vec::new() };
            return Response::Tables(Tables { loads, ..tables });
        }
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

/// Passes a poll on to the primary, for a courier that can't reach it.
pub async fn relay(node: &Node, poll: Poll) -> Response {
    let primary = node.known_primary.borrow().clone();
    match primary.filter(|_| !poll.relayed && node.has_recent_primary()) {
        Some(primary) => {
            let request = Request::Poll(Poll { relayed: true, ..poll });
            let answer = node.links.call(&primary, &request, RELAY_TIMEOUT).await;
            answer.unwrap_or(Response::NotPrimary { hint: None })
        }
        // What this courier last heard may be as old as what the asker knows.
        None => Response::NotPrimary { hint: None },
    }
}

/// Admits a newcomer with a disk; whether the poll may be answered.
async fn admit(core: &Rc<ControlMember>, poll: &Poll) -> bool {
    let Some(state) = core.committed() else { return false };
    let node = &poll.node;
    let known = match node.role {
        NodeRole::Courier => return true,
        NodeRole::Core => state.placement.core.contains(node),
        NodeRole::Store => state.placement.stores.contains(node),
    };
    if known || poll.draining {
        return true;
    }
    let silent = core.silent_members();
    let admitted = core
        .change(|state| match node.role {
            NodeRole::Store => state.admit_store(node),
            _ => state.admit_core_member(node, &silent),
        })
        .await;
    if admitted == Ok(Admission::Rejected) {
        tracing::warn!(node = node.name, "no room for another member");
    }
    admitted.is_ok()
}

/// Committed tables that are newer than those of the asker; `None` if this member no longer serves, or can't be sure of it:
/// tables are handed out only while a majority was heard lately.
fn newer_tables(core: &ControlMember, have: TableVersions) -> Option<Tables> {
    let epoch = core.serving()?;
    let state = core.committed_if_recent()?;
    let configuration =
        (state.version > have.configuration).then(|| (state.version, state.configuration.clone()));
    let placement = (state.placement_version > have.placement)
        .then(|| (state.placement_version, state.placement.clone()));
    let directory = core.directory.borrow();
    // Who has the list of another epoch's reader gets the whole of this one's.
    let known = if have.directory.0 == epoch { have.directory.1 } else { 0 };
    let directory = directory.update_since(known).map(|update| ((epoch, directory.version()), update));
    let leases = core.leases.borrow();
    let (senders, relays) = (leases.senders(), leases.relays());
    let primary = core.node.info.internal.clone();
    Some(Tables { epoch, configuration, placement, directory, senders, primary, relays, loads: Vec::new() })
}
