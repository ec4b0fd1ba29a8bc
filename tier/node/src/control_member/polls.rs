//! Answers the long polls of couriers and stores.
//!
//! At the primary, a poll renews the lease of its sender and is answered once there are tables that are newer than the sender's
//! ([`answer`]). A courier that is not a core member relays polls to the primary ([`relay`]).

use super::member::ControlMember;
use crate::clock;
use crate::metrics::TableKind;
use crate::node::Node;
use quillmount_control::polls::{self, PublishedTables};
use quillmount_control::{Admission, Saturated};
use quillmount_wire::messages::{
    ChangedTables, DirectoryUpdate, NodeRole, Poll, Request, Response, TableVersions,
};
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a relayed poll.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time for which an answer is delayed, even if the poll allows more.
const MAX_ANSWER_DELAY: Duration = Duration::from_secs(5);

/// Answers a poll with the tables that are newer than the sender's. If there are none within the time that the poll allows, the
/// answer contains no tables.
pub async fn answer(core: &Rc<ControlMember>, poll: Poll) -> Response {
    if core.serving().is_none() {
        return Response::NotPrimary { hint: core.primary_address() };
    }
    let received_at = clock::now();
    core.leases.borrow_mut().renew(&poll, clock::now());
    if !admit(core, &poll).await {
        return Response::NotPrimary { hint: core.primary_address() };
    }
    // A process must not start with obsolete tables, so a majority confirms its first tables.
    if poll.known_versions.configuration == 0 && core.confirm().await.is_err() {
        return Response::NotPrimary { hint: None };
    }
    let Some(answer) = wait_for_tables(core, &poll).await else {
        return Response::NotPrimary { hint: core.primary_address() };
    };
    if polls::is_empty(&answer) {
        return respond(core, Some(answer));
    }
    let reserved = core.transmission.borrow_mut().reserve(polls::size(&answer), received_at, clock::now());
    match reserved {
        Ok(0) => respond(core, Some(answer)),
        Ok(send_delay) => {
            drop(answer);
            tokio::time::sleep(Duration::from_micros(send_delay)).await;
            // The answer is created again, so that it contains the newest tables.
            respond(core, current_answer(core, &poll))
        }
        Err(Saturated { retry_delay }) => {
            drop(answer);
            tokio::time::sleep(Duration::from_micros(retry_delay)).await;
            if core.serving().is_some() { Response::Full } else { respond(core, None) }
        }
    }
}

/// Creates the response for an answer; `None` stands for a member that may not serve tables.
fn respond(core: &ControlMember, answer: Option<ChangedTables>) -> Response {
    match answer {
        Some(answer) => {
            count_tables(&core.node, &answer);
            polls::response(answer)
        }
        None => Response::NotPrimary { hint: core.primary_address() },
    }
}

/// Forwards a poll to the primary, for a process that can't reach the primary itself.
pub async fn relay(node: &Node, poll: Poll) -> Response {
    // A poll is relayed at most once. Without recent contact, this courier's address of the primary may be as outdated as the
    // sender's.
    if poll.relayed || !node.core_contact.borrow().has_recent_primary(clock::now()) {
        return Response::NotPrimary { hint: None };
    }
    let primary = node.core_contact.borrow().primary().map(str::to_owned);
    let Some(primary) = primary else { return Response::NotPrimary { hint: None } };
    let request = Request::Poll(Poll { relayed: true, ..poll });
    let answer = node.links.call(&primary, &request, RELAY_TIMEOUT).await;
    answer.unwrap_or(Response::NotPrimary { hint: None })
}

/// Adds a new process with a disk to the placement. Returns whether its poll may be answered.
async fn admit(core: &Rc<ControlMember>, poll: &Poll) -> bool {
    let Some(state) = core.committed() else { return false };
    if !polls::needs_admission(&state, poll) {
        return true;
    }
    let node = &poll.node;
    let silent = core.silent_members();
    let admitted = core
        .change(|state| match node.role {
            NodeRole::Store => state.admit_store(node),
            _ => state.admit_core_member(node, &silent),
        })
        .await;
    if admitted == Ok(Admission::Rejected) {
        tracing::warn!(
            node = node.name,
            disk = node.disk,
            "rejected a new member: the member limit is reached"
        );
    }
    admitted.is_ok()
}

/// Waits until there are tables newer than the sender's or the time that the poll allows is over. `None` if this member may not
/// serve tables.
async fn wait_for_tables(core: &ControlMember, poll: &Poll) -> Option<ChangedTables> {
    let max_wait = Duration::from_millis(poll.max_wait_ms).min(MAX_ANSWER_DELAY);
    let deadline = tokio::time::Instant::now() + max_wait;
    loop {
        // The waiter is registered before the tables are read, so that no change in between is missed.
        let changed = core.tables_changed.notified();
        let answer = current_answer(core, poll)?;
        if !polls::is_empty(&answer) || tokio::time::Instant::now() >= deadline {
            return Some(answer);
        }
        // The timeout needs no handling: the loop condition checks the deadline.
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

/// Creates the answer to a poll from the current tables; `None` if this member may not serve tables.
fn current_answer(core: &ControlMember, poll: &Poll) -> Option<ChangedTables> {
    let mut answer = newer_tables(core, poll.known_versions)?;
    if poll.node.role == NodeRole::Store {
        answer.tables.loads = core.leases.borrow().loads(clock::now());
    }
    Some(answer)
}

fn count_tables(node: &Node, answer: &ChangedTables) {
    let ChangedTables { tables, configuration, placement } = answer;
    let list = tables.directory.as_ref().filter(|_| polls::comes_from_current_list(tables));
    let endpoints = list.map(|directory| match directory.content {
        DirectoryUpdate::Full(_) => TableKind::EndpointList,
        DirectoryUpdate::Delta { .. } => TableKind::EndpointChanges,
    });
    let kinds = [
        tables.configuration.as_ref().map(|_| TableKind::Configuration),
        configuration.as_ref().map(|_| TableKind::ConfigurationChanges),
        tables.placement.as_ref().map(|_| TableKind::Placement),
        placement.as_ref().map(|_| TableKind::PlacementChanges),
        endpoints,
    ];
    for kind in kinds.into_iter().flatten() {
        node.metrics.count_table(kind);
    }
}

/// Returns the committed tables that are newer than those of the sender. `None` unless this member is primary and has had recent
/// contact with a majority.
fn newer_tables(core: &ControlMember, known_versions: TableVersions) -> Option<ChangedTables> {
    let epoch = core.serving()?;
    let state = core.committed_if_recent()?;
    let published = PublishedTables {
        epoch,
        state: &state,
        history: &core.history.borrow(),
        directory: &core.directory.borrow(),
        leases: &core.leases.borrow(),
        max_list_age: core.node.limits.max_published_list_age,
        primary: &core.node.info.internal,
    };
    Some(published.newer_than(known_versions, clock::now()))
}
