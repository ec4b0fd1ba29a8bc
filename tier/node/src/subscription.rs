//! The long poll of a courier or store: heartbeat, usage counts and reports to the core, tables from it.
//!
//! [`run`] polls one address after another until the primary of the core, or a relay, answers, then stays with that one.
//! The core answers as soon as it has newer tables, or without any after [`MAX_WAIT`]. While the core is silent,
//! [`read_list_without_core`] keeps the endpoints current.

mod direct_list;
mod table_update;

pub use direct_list::read_list_without_core;

use crate::clock;
use crate::metrics::PollResult;
use crate::node::Node;
use quillmount_control::Contacts;
use quillmount_wire::messages::{NodeRole, Poll, Request, Response, ShardReport, Tables};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for which the core may delay its answer to a poll.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// A poll without an answer for this long has failed.
const POLL_TIMEOUT: Duration = Duration::from_millis(650);
/// Delay after a poll that found no primary.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before the next address is polled: one that refuses connections fails at once.
const NEXT_ADDRESS_DELAY: Duration = Duration::from_millis(5);
/// Of the polls that go through a relay, one in this many (on average) is followed by one to the primary itself.
const DIRECT_EVERY: u64 = 10;

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
    /// Tables came, or the poll was abandoned because a report is due.
    Answered,
    /// The other side is not the primary; it may name the one that is.
    Redirected { hint: Option<String> },
    /// There was no answer.
    Failed,
}

impl PollOutcome {
    /// The label of the outcome.
    fn result(&self) -> PollResult {
        match self {
            PollOutcome::Answered => PollResult::Answered,
            PollOutcome::Redirected { .. } => PollResult::Redirected,
            PollOutcome::Failed => PollResult::Failed,
        }
    }
}

/// Polls the core for as long as the process runs.
pub async fn run(node: Rc<Node>, reporter: Rc<dyn Reporter>) {
    let mut contacts = Contacts::default();
    loop {
        let poll_address = node.core_contact.poll_address();
        let address = poll_address.or_else(|| contacts.next_address(&node.core_addresses(), clock::now()));
        let Some(address) = address else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let outcome = poll_once(&node, &address, &*reporter).await;
        node.metrics.count_poll(outcome.result());
        match outcome {
            PollOutcome::Answered => {}
            PollOutcome::Redirected { hint } => {
                let now = clock::now();
                let hint = hint.filter(|hint| *hint != address && contacts.may_follow(hint, now));
                let delay = if hint.is_some() { NEXT_ADDRESS_DELAY } else { RETRY_DELAY };
                node.core_contact.set_poll_address(hint);
                tokio::time::sleep(delay).await;
            }
            PollOutcome::Failed => {
                contacts.record_failure(&address, clock::now());
                node.core_contact.set_poll_address(None);
                tokio::time::sleep(NEXT_ADDRESS_DELAY).await;
            }
        }
    }
}

/// Sends one poll and applies its answer.
async fn poll_once(node: &Node, address: &str, reporter: &dyn Reporter) -> PollOutcome {
    let stopping = node.stopping.get();
    let request = Request::Poll(make_poll(node, reporter, stopping));
    let call = node.links.call(address, &request, POLL_TIMEOUT);
    // A report that can't wait goes with a new poll, whose answer brings what this one would have brought.
    let answer = tokio::select! {
        answer = call => answer,
        () = node.report_due.notified() => return PollOutcome::Answered,
    };
    match answer {
        Ok(Response::Tables(tables)) => {
            accept_tables(node, address, tables);
            if stopping {
                // Polls of a draining process are answered at once.
                tokio::time::sleep(RETRY_DELAY).await;
            }
            PollOutcome::Answered
        }
        Ok(Response::NotPrimary { hint }) => PollOutcome::Redirected { hint },
        _ => PollOutcome::Failed,
    }
}

fn make_poll(node: &Node, reporter: &dyn Reporter, stopping: bool) -> Poll {
    let Needs { demand, items } = reporter.needs();
    Poll {
        node: node.info.clone(),
        incarnation: node.incarnation,
        known_versions: node.tables().versions,
        max_wait_ms: if stopping { 0 } else { MAX_WAIT.as_millis() as u64 },
        usage: node.usage(),
        shards: reporter.shard_reports(),
        draining: stopping || !may_store_jobs(node),
        relayed: false,
        demand: total_demand(node, demand),
        items: items.into_iter().collect(),
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

/// Records where the core answers, and puts its tables in force.
fn accept_tables(node: &Node, address: &str, mut tables: Tables) {
    // Polls that go through a relay are mixed with some to the primary itself.
    let is_relay = address != tables.primary;
    let try_primary = is_relay && clock::random_id().is_multiple_of(DIRECT_EVERY);
    let next = if try_primary { &tables.primary } else { address };
    node.core_contact.set_poll_address(Some(next.to_owned()));
    node.core_contact.record_answer(&tables.primary, &tables.relays);
    *node.loads.borrow_mut() = Rc::new(std::mem::take(&mut tables.loads));
    table_update::apply(node, tables);
}
