//! The long poll of a courier or store: heartbeat, usage counts and reports to the core, tables from it.
//!
//! [`run`] polls one address after another until the primary of the core, or a relay, answers, then stays with that one.
//! The core answers as soon as it has newer tables, or without any after [`MAX_POLL_WAIT`]. While the core is silent, or answers
//! without a current list, [`read_list_without_core`] keeps the endpoints current.

mod direct_list;

pub use direct_list::read_list_without_core;

use crate::clock;
use crate::metrics::PollResult;
use crate::node::Node;
use quillmount_control::subscription::{
    AnsweredPoll, MAX_POLL_WAIT, POLL_TIMEOUT, RETRY_DELAY, Subscription,
};
use quillmount_dataplane::tables::RejectedConfiguration;
use quillmount_wire::Micros;
use quillmount_wire::messages::{
    ChangedTables, NodeRole, Poll, Request, Response, ShardReport, TableVersions, Tables,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// What a role reports to the core with each poll.
pub trait Reporter {
    /// Reports on the shards whose primary this process is.
    fn shard_reports(&self) -> Vec<ShardReport>;

    /// The present demand of this process on endpoints.
    fn needs(&self) -> Needs;
}

/// Demand of a process on endpoints, by service.
#[derive(Clone, Debug, Default)]
pub struct Needs {
    /// Calls that could run at once, beyond those in flight.
    pub demand: HashMap<String, f64>,
    /// Items of batch jobs that wait or run here.
    pub items: HashMap<String, u32>,
}

/// How a poll ended.
enum PollOutcome {
    /// Tables came, or differences to those in force.
    Tables(Box<ChangedTables>),
    /// The primary has newer tables than it can send at present.
    Busy,
    /// It was given up because a report is due.
    Abandoned,
    /// The other side is not the primary; it may name the one that is.
    Redirected { hint: Option<String> },
    /// There was no answer.
    Failed,
}

impl PollOutcome {
    /// The label of the outcome.
    fn result(&self) -> PollResult {
        match self {
            PollOutcome::Tables(_) | PollOutcome::Abandoned => PollResult::Answered,
            PollOutcome::Busy => PollResult::Busy,
            PollOutcome::Redirected { .. } => PollResult::Redirected,
            PollOutcome::Failed => PollResult::Failed,
        }
    }
}

/// Polls the core for as long as the process runs.
pub async fn run(node: Rc<Node>, reporter: Rc<dyn Reporter>) {
    let mut subscription = Subscription::default();
    loop {
        let next = {
            let contact = node.core_contact.borrow();
            subscription.next_address(&contact, || node.core_addresses(), clock::now())
        };
        let Some(address) = next else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let sent_at = clock::now();
        let outcome = poll_once(&node, &address, &*reporter).await;
        node.metrics.count_poll(outcome.result());
        let delay = follow_up(&node, &mut subscription, &address, sent_at, outcome);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

/// Applies the outcome of a poll; returns the delay before the next one.
fn follow_up(
    node: &Node,
    subscription: &mut Subscription,
    address: &str,
    sent_at: Micros,
    outcome: PollOutcome,
) -> Duration {
    let now = clock::now();
    let mut contact = node.core_contact.borrow_mut();
    match outcome {
        PollOutcome::Tables(answer) => match node.tables().resolve_deltas(*answer) {
            Ok(tables) => {
                let poll = AnsweredPoll { address, sent_at, answered_at: now };
                subscription.answered(&mut contact, &poll, &tables, clock::random_id());
                drop(contact);
                if accept_tables(node, tables).is_ok() {
                    node.core_contact.borrow_mut().record_newest_configuration(sent_at);
                }
                // Polls of a draining process are answered at once.
                if node.stopping.get() { RETRY_DELAY } else { Duration::ZERO }
            }
            Err(error) => {
                tracing::error!(%error, "a change of a table does not fit the table in force: the whole one is asked for");
                node.whole_tables_wanted.set(true);
                contact.record_busy(address, now);
                RETRY_DELAY
            }
        },
        PollOutcome::Busy => {
            contact.record_busy(address, now);
            Duration::ZERO
        }
        PollOutcome::Abandoned => Duration::ZERO,
        PollOutcome::Redirected { hint } => subscription.redirected(&mut contact, address, hint, now),
        PollOutcome::Failed => subscription.failed(&mut contact, address, now),
    }
}

/// Sends one poll.
async fn poll_once(node: &Node, address: &str, reporter: &dyn Reporter) -> PollOutcome {
    let stopping = node.stopping.get();
    let request = Request::Poll(make_poll(node, reporter, stopping));
    let call = node.links.call(address, &request, POLL_TIMEOUT);
    // A report that can't wait goes with a new poll, whose answer brings what this one would have brought.
    let answer = tokio::select! {
        answer = call => answer,
        () = node.report_due.notified() => return PollOutcome::Abandoned,
    };
    match answer {
        Ok(Response::Tables(tables)) => {
            PollOutcome::Tables(Box::new(ChangedTables { tables, ..ChangedTables::default() }))
        }
        Ok(Response::ChangedTables(tables)) => PollOutcome::Tables(tables),
        Ok(Response::Full) => PollOutcome::Busy,
        Ok(Response::NotPrimary { hint }) => PollOutcome::Redirected { hint },
        _ => PollOutcome::Failed,
    }
}

fn make_poll(node: &Node, reporter: &dyn Reporter, stopping: bool) -> Poll {
    let Needs { demand, items } = reporter.needs();
    Poll {
        node: node.info.clone(),
        incarnation: node.incarnation,
        known_versions: known_versions(node),
        max_wait_ms: if stopping { 0 } else { MAX_POLL_WAIT.as_millis() as u64 },
        usage: node.usage(),
        shards: reporter.shard_reports(),
        draining: stopping || !may_store_jobs(node),
        relayed: false,
        demand: total_demand(node, demand),
        items: items.into_iter().collect(),
    }
}

/// Versions of the tables in force; those of no table where whole ones are wanted.
fn known_versions(node: &Node) -> TableVersions {
    let versions = node.tables().versions;
    if node.whole_tables_wanted.get() {
        TableVersions { configuration: 0, placement: 0, ..versions }
    } else {
        versions
    }
}

/// Whether the machine may be lost no more often than the system tolerates. A store that may go at any time is given no shards.
fn may_store_jobs(node: &Node) -> bool {
    node.info.role != NodeRole::Store || node.settings.counts_for_quorum
}

/// Demand with the calls in flight added; services without any are left out.
fn total_demand(node: &Node, mut demand: HashMap<String, f64>) -> Vec<(String, f64)> {
    for (service, calls) in node.dispatcher.borrow().in_flight() {
        *demand.entry(service).or_default() += f64::from(calls);
    }
    demand.into_iter().filter(|(_, calls)| *calls > 0.0).collect()
}

/// Puts the tables of an answer in force that are newer than the present ones.
///
/// # Errors
/// The configuration of the answer is invalid by the rules of this build; the present one stays in force.
fn accept_tables(node: &Node, mut tables: Tables) -> Result<(), RejectedConfiguration> {
    node.whole_tables_wanted.set(false);
    *node.loads.borrow_mut() = Rc::new(std::mem::take(&mut tables.loads));
    let current = node.tables();
    let update = current.apply(tables);
    if let Some(next) = update.next {
        let version = next.versions.configuration;
        if current.versions.configuration == 0 && version > 0 {
            tracing::info!(version, "first configuration in force");
        } else if version > current.versions.configuration {
            tracing::info!(version, "configuration in force");
        }
        node.swap_tables(next);
    }
    match update.rejected {
        Some(rejected) => {
            let RejectedConfiguration { version, error } = &rejected;
            tracing::error!(%error, version, "failed to parse the configuration received from the core");
            Err(rejected)
        }
        None => Ok(()),
    }
}
