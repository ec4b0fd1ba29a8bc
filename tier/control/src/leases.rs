//! Leases of couriers and stores at the primary of the core, with the last report of each process.
//!
//! Every poll renews its sender's lease. Leases are in memory only: a new primary starts with none, and knows which
//! processes are live once all of them have polled it. The caller passes in the current time.

mod usage_totals;

use crate::shards::ShardPlanInputs;
use crate::usage::{LastPoll, all_reported};
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Poll, ServiceLoad, ShardReport, UsageWindow};
use std::collections::{BTreeMap, HashMap};
use usage_totals::UsageTotals;

/// Time after its last renewal at which a lease expires, microseconds.
const LEASE_DURATION: Micros = 1_100_000;
/// Number of leases from which on expired ones are dropped.
const LEASE_LIMIT: usize = 4096;
/// Maximum number of couriers that are published as relays.
const RELAY_LIMIT: usize = 6;
/// Time for which shard reports are used after the poll that contained them, microseconds.
const REPORT_TTL: Micros = 600_000;

/// The lease of one process, with the contents of its last poll.
#[derive(Debug)]
struct Lease {
    node: NodeInfo,
    /// Time of the last poll.
    renewed_at: Micros,
    draining: bool,
    reports: Vec<ShardReport>,
    /// Demand by service: number of calls that could run concurrently.
    demand: Vec<(String, f64)>,
    /// Number of waiting or running items of batch jobs, by service.
    items: Vec<(String, u32)>,
}

impl Lease {
    fn is_store(&self) -> bool {
        self.node.role == NodeRole::Store
    }
}

/// The leases of all processes, keyed by disk.
#[derive(Debug, Default)]
pub struct Leases {
    leases: HashMap<DiskId, Lease>,
    usage: UsageTotals,
}

impl Leases {
    /// Renews the lease of a poll's sender and records what the poll reports.
    pub fn renew(&mut self, poll: &Poll, now: Micros) {
        if self.leases.len() >= LEASE_LIMIT {
            self.leases.retain(|_, lease| now.saturating_sub(lease.renewed_at) < LEASE_DURATION);
        }
        let lease = Lease {
            node: poll.node.clone(),
            renewed_at: now,
            draining: poll.draining,
            reports: poll.shards.clone(),
            demand: poll.demand.clone(),
            items: poll.items.clone(),
        };
        self.leases.insert(poll.node.disk, lease);
        self.usage.update(poll.incarnation, &poll.usage);
    }

    /// Number of live processes that are not draining; they share the capacity of the endpoints.
    #[must_use]
    pub fn senders(&self, now: Micros) -> u32 {
        self.live(now).filter(|lease| !lease.draining).count() as u32
    }

    /// Number of live processes, including draining ones.
    #[must_use]
    pub fn live_count(&self, now: Micros) -> usize {
        self.live(now).count()
    }

    /// Number of calls to a service that could run concurrently, summed over all live processes.
    #[must_use]
    pub fn demand(&self, service: &str, now: Micros) -> f64 {
        let demands = self.live(now).flat_map(|lease| &lease.demand);
        demands.filter(|(name, _)| name == service).map(|(_, calls)| calls).sum()
    }

    /// Load of each service by online requests and by items of batch jobs, sorted by service.
    #[must_use]
    pub fn loads(&self, now: Micros) -> Vec<ServiceLoad> {
        let mut loads: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
        for lease in self.live(now) {
            if !lease.is_store() {
                for (service, calls) in &lease.demand {
                    loads.entry(service).or_default().live_demand += calls;
                }
            }
            for (service, items) in &lease.items {
                loads.entry(service).or_default().items.push((lease.node.disk, *items));
            }
        }
        let with_name =
            |(service, load): (&str, ServiceLoad)| ServiceLoad { service: service.to_owned(), ..load };
        loads.into_iter().map(with_name).collect()
    }

    /// Internal addresses of up to 6 couriers to publish as relays, selected from the zones in rotation. They are
    /// live, not draining, and have no disk.
    #[must_use]
    pub fn relays(&self, now: Micros) -> Vec<String> {
        let mut zones: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let couriers = self.live(now).filter(|lease| lease.node.role == NodeRole::Courier && !lease.draining);
        for lease in couriers {
            zones.entry(&lease.node.zone).or_default().push(&lease.node.internal);
        }
        zones.values_mut().for_each(|zone| zone.sort_unstable());
        let of_rank = |rank: usize| zones.values().filter_map(move |zone| zone.get(rank));
        (0..RELAY_LIMIT).flat_map(of_rank).take(RELAY_LIMIT).map(|address| (*address).to_owned()).collect()
    }

    /// Inputs for the planner of shard views: live stores, draining processes and recent reports of shard primaries.
    #[must_use]
    pub fn plan_inputs(&self, tolerated_failures: usize, now: Micros) -> ShardPlanInputs {
        let stores = self.live(now).filter(|lease| lease.is_store());
        let draining = self.live(now).filter(|lease| lease.draining);
        let recent = self.leases.values().filter(|lease| now.saturating_sub(lease.renewed_at) < REPORT_TTL);
        ShardPlanInputs {
            live: stores.map(|lease| lease.node.disk).collect(),
            draining: draining.map(|lease| lease.node.disk).collect(),
            reports: recent.flat_map(|lease| lease.reports.iter().cloned()).collect(),
            tolerated_failures,
        }
    }

    /// Whether every process that counts requests has polled at or after `since`; see [`all_reported`].
    #[must_use]
    pub fn all_heard_since(&self, since: Micros, now: Micros) -> bool {
        let couriers = self.leases.values().filter(|lease| !lease.is_store());
        let last_polls = couriers.map(|lease| LastPoll {
            machine_name: &lease.node.name,
            polled_at: lease.renewed_at,
            draining: lease.draining,
        });
        all_reported(last_polls, since, now)
    }

    /// Whether a process has polled at or after `since`, or is draining.
    #[must_use]
    pub fn heard_since(&self, disk: DiskId, since: Micros) -> bool {
        self.leases.get(&disk).is_some_and(|lease| lease.draining || lease.renewed_at >= since)
    }

    /// Counts of the requests that started in a usage window, as reported so far.
    #[must_use]
    pub fn usage(&self, window: u64) -> UsageWindow {
        self.usage.total(window)
    }

    fn live(&self, now: Micros) -> impl Iterator<Item = &Lease> {
        self.leases.values().filter(move |lease| now.saturating_sub(lease.renewed_at) < LEASE_DURATION)
    }
}
