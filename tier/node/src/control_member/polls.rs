//! Answers the long polls of couriers and stores.
//!
//! At the primary a poll renews its sender's lease and is answered once there are newer tables than the sender has
//! ([`answer`]). A courier without a member of the core passes polls on to the primary ([`relay`]).

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

/// A relayed poll without an answer for this long has failed.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time for which an answer is delayed, whatever the poll allows.
const MAX_WAIT_LIMIT: Duration = Duration::from_secs(5);

/// Answers a poll with the tables that are newer than the sender's, or without any after the time that it allows.
pub async fn answer(core: &Rc<ControlMember>, poll: Poll) -> Response {
    if core.serving().is_none() {
        return Response::NotPrimary { hint: core.primary_address() };
    }
    let arrived = clock::now();
    core.leases.borrow_mut().renew(&poll, clock::now());
    if !admit(core, &poll).await {
        return Response::NotPrimary { hint: core.primary_address() };
    }
    // A process must not start with tables that are no longer in force: its first ones are confirmed by a majority.
    if poll.known_versions.configuration == 0 && core.confirm().await.is_err() {
        return Response::NotPrimary { hint: None };
    }
    let Some(answer) = wait_for_tables(core, &poll).await else {
        return Response::NotPrimary { hint: core.primary_address() };
    };
    if polls::is_empty(&answer) {
        return respond(core, Some(answer));
    }
    let reserved = core.transmission.borrow_mut().reserve(polls::size(&answer), arrived, clock::now());
    match reserved {
        Ok(0) => respond(core, Some(answer)),
        Ok(wait) => {
            drop(answer);
            tokio::time::sleep(Duration::from_micros(wait)).await;
            // What is sent is the newest at that moment.
            respond(core, answer_now(core, &poll))
        }
        Err(Saturated { retry_delay }) => {
            drop(answer);
            tokio::time::sleep(Duration::from_micros(retry_delay)).await;
            if core.serving().is_some() { Response::Full } else { respond(core, None) }
        }
    }
}

/// The response that carries an answer; `None` where this member may not serve tables.
fn respond(core: &ControlMember, answer: Option<ChangedTables>) -> Response {
    match answer {
        Some(answer) => {
            count_tables(&core.node, &answer);
            polls::response(answer)
        }
        None => Response::NotPrimary { hint: core.primary_address() },
    }
}

/// Passes a poll on to the primary, for a process that can't reach it.
pub async fn relay(node: &Node, poll: Poll) -> Response {
    // A poll passes one relay at most. Without a recent primary, what this courier knows may be as old as what the sender
    // knows.
    if poll.relayed || !node.core_contact.borrow().has_recent_primary(clock::now()) {
        return Response::NotPrimary { hint: None };
    }
    let primary = node.core_contact.borrow().primary().map(str::to_owned);
    let Some(primary) = primary else { return Response::NotPrimary { hint: None } };
    let request = Request::Poll(Poll { relayed: true, ..poll });
    let answer = node.links.call(&primary, &request, RELAY_TIMEOUT).await;
    answer.unwrap_or(Response::NotPrimary { hint: None })
}

/// Adds an unknown process with a disk to the placement; whether its poll may be answered.
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

/// Waits until there are tables newer than the sender's, or its time is up; `None` if this member may not serve them.
async fn wait_for_tables(core: &ControlMember, poll: &Poll) -> Option<ChangedTables> {
    let max_wait = Duration::from_millis(poll.max_wait_ms).min(MAX_WAIT_LIMIT);
    let deadline = tokio::time::Instant::now() + max_wait;
    loop {
        // Registered before the tables are read, so that no change in between is missed.
        let changed = core.changed.notified();
        let answer = answer_now(core, poll)?;
        if !polls::is_empty(&answer) || tokio::time::Instant::now() >= deadline {
            return Some(answer);
        }
        // A timeout is handled by the deadline above.
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

/// The answer to a poll at this moment; `None` if this member may not serve tables.
fn answer_now(core: &ControlMember, poll: &Poll) -> Option<ChangedTables> {
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

/// Committed tables that are newer than those of the sender. `None` unless this member is primary and a majority has
/// confirmed that recently.
fn newer_tables(core: &ControlMember, known: TableVersions) -> Option<ChangedTables> {
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
    Some(published.newer_than(known, clock::now()))
}
