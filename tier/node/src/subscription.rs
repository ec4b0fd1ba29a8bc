//! The long poll: heartbeat, usage and reports to the core; tables from it.

use crate::clock;
use crate::control_member::directory::read_list;
use crate::node::{Node, TableSnapshot};
use quillmount_control::{Contacts, apply_update};
use quillmount_dataplane::routes::RouteTable;
use quillmount_wire::configuration::Configuration;
use quillmount_wire::messages::{Poll, Request, Response, ShardReport, Tables};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// How long the core may hold a poll.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// A poll without an answer for so long is given up.
const POLL_TIMEOUT: Duration = Duration::from_millis(650);
/// Pause after a poll that found no primary.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// One poll of so many that a relay answers is followed by one to the primary itself.
const DIRECT_EVERY: u64 = 10;
/// Silence of the core after which a process reads the platform's list itself, microseconds.
const CORE_SILENCE: u64 = 1_200_000;
/// Pause between two readings of its own.
const OWN_READ_INTERVAL: Duration = Duration::from_millis(900);

/// What a role tells the core with each poll.
pub trait Reporter {
    /// Reports of the shards whose primary this process is.
    fn shards(&self) -> Vec<ShardReport>;
    /// What it needs of endpoints now.
    fn needs(&self) -> Needs;
}

/// What a process needs of endpoints, by service.
#[derive(Default)]
pub struct Needs {
    /// Places beyond the calls in flight.
    pub demand: HashMap<String, f64>,
    /// Items of batch jobs that wait or run here.
    pub items: HashMap<String, u32>,
}

/// Polls for as long as the process lives.
pub async fn run(node: Rc<Node>, reporter: Rc<dyn Reporter>) {
    let mut contacts = Contacts::default();
    loop {
        let contact = node.contact.borrow().clone();
        let address = contact.or_else(|| contacts.next_address(&node.core_addresses(), clock::micros()));
        let Some(address) = address else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        match poll_once(&node, &address, &*reporter).await {
            PollOutcome::Answered => {}
            PollOutcome::Redirected(hint) => {
                let now = clock::micros();
                let hint = hint.filter(|hint| *hint != address && contacts.may_follow(hint, now));
                let known = hint.is_some();
                *node.contact.borrow_mut() = hint;
                tokio::time::sleep(if known { RETRY_DELAY / 4 } else { RETRY_DELAY }).await;
            }
            PollOutcome::Failed => {
                contacts.record_failure(&address, clock::micros());
                *node.contact.borrow_mut() = None;
                // One that refuses connections fails at once.
                tokio::time::sleep(RETRY_DELAY / 4).await;
            }
        }
    }
}

enum PollOutcome {
    Answered,
    Redirected(Option<String>),
    Failed,
}

/// Sends one poll and takes its answer.
async fn poll_once(node: &Rc<Node>, address: &str, reporter: &dyn Reporter) -> PollOutcome {
    let stopping = node.stopping.get();
    let Needs { demand, items } = reporter.needs();
    let poll = Poll {
        node: node.info.clone(),
        incarnation: node.incarnation,
        known_versions: node.tables().versions,
        max_wait_ms: if stopping { 0 } else { MAX_WAIT.as_millis() as u64 },
        usage: node.usage(),
        shards: reporter.shards(),
        draining: stopping,
        relayed: false,
        demand: total_demand(node, demand),
        items: items.into_iter().collect(),
    };
    let request = Request::Poll(poll);
    let call = node.links.call(address, &request, POLL_TIMEOUT);
    // A report that can't wait goes with a poll of its own; the answer to this one is not lost, only asked for again.
    let answer = tokio::select! {
        answer = call => answer,
        () = node.report_due.notified() => return PollOutcome::Answered,
    };
    match answer {
        Ok(Response::Tables(mut tables)) => {
            // Behind a relay the primary itself is tried now and then.
            let direct = address == tables.primary || !clock::random_id().is_multiple_of(DIRECT_EVERY);
            *node.contact.borrow_mut() =
                Some(if direct { address.to_owned() } else { tables.primary.clone() });
            node.last_answer.set(clock::micros());
            *node.known_primary.borrow_mut() = Some(tables.primary.clone());
            *node.relays.borrow_mut() = tables.relays.clone();
            *node.loads.borrow_mut() = Rc::new(std::mem::take(&mut tables.loads));
            apply(node, tables);
            if stopping {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            PollOutcome::Answered
        }
        Ok(Response::NotPrimary { hint }) => PollOutcome::Redirected(hint),
        _ => PollOutcome::Failed,
    }
}

/// Places needed at once: calls in flight, and those beyond them.
fn total_demand(node: &Node, mut demand: HashMap<String, f64>) -> Vec<(String, f64)> {
    for (service, calls) in node.dispatcher.borrow().in_flight() {
        *demand.entry(service).or_default() += f64::from(calls);
    }
    demand.into_iter().filter(|(_, places)| *places > 0.0).collect()
}

/// Puts newer tables in force; older ones are passed over.
fn apply(node: &Node, tables: Tables) {
    let current = node.tables();
    let mut next: TableSnapshot = (*current).clone();
    let mut changed = false;
    if let Some((version, text)) = tables.configuration
        && version > current.versions.configuration
    {
        match Configuration::read(&text) {
            Ok(configuration) => {
                next.routes = Rc::new(RouteTable::compile(&configuration));
                next.versions.configuration = version;
                changed = true;
            }
            Err(error) => tracing::error!(%error, version, "the configuration in force can't be read"),
        }
    }
    if let Some((version, placement)) = tables.placement
        && version > current.versions.placement
    {
        next.placement = Rc::new(placement);
        next.versions.placement = version;
        changed = true;
    }
    if let Some((version, update)) = tables.directory
        && version > current.versions.directory
    {
        next.endpoints = Rc::new(apply_update(&current.endpoints, update));
        next.versions.directory = version;
        changed = true;
    }
    if tables.senders != current.senders {
        next.senders = tables.senders;
        changed = true;
    }
    if changed {
        if current.versions.configuration == 0 && next.versions.configuration > 0 {
            tracing::info!(version = next.versions.configuration, "first configuration in force");
        }
        node.swap_tables(next);
    }
}

/// Reads the platform's list while the core is silent.
pub async fn read_list_without_core(node: Rc<Node>) {
    loop {
        tokio::time::sleep(OWN_READ_INTERVAL).await;
        let silent = clock::micros().saturating_sub(node.last_answer.get()) > CORE_SILENCE;
        if !silent {
            continue;
        }
        // The file may have changed without a signal.
        node.reload_seeds();
        if node.last_answer.get() == 0 {
            continue;
        }
        if let Some(list) = read_list(&node).await {
            let current = node.tables();
            if clock::micros().saturating_sub(node.last_answer.get()) > CORE_SILENCE {
                // Changes to the core's list don't fit this one: the core is asked for all of its own next.
                let mut versions = current.versions;
                versions.directory.1 = 0;
                node.swap_tables(TableSnapshot { versions, endpoints: Rc::new(list), ..(*current).clone() });
            }
        }
    }
}
