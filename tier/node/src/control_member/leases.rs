//! Leases of couriers and stores at the primary of the core, and what came with them.

use crate::clock;
use quillmount_control::{LastHeard, all_reported};
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Poll, ServiceLoad, ShardReport, UsageWindow};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A process that has not polled for so long has lost its lease, microseconds.
const LEASE_DURATION: u64 = 1_100_000;
/// Leases at most.
const LEASE_LIMIT: usize = 4096;
/// Couriers named as relays.
const RELAYS: usize = 6;
/// Usage windows kept.
const WINDOW_LIMIT: usize = 16;
/// Shard reports are used for so long, microseconds.
const REPORT_TTL: u64 = 600_000;

struct Lease {
    node: NodeInfo,
    renewed: u64,
    draining: bool,
    reports: Vec<ShardReport>,
    demand: Vec<(String, f64)>,
    items: Vec<(String, u32)>,
}

/// Counts of one process in one window, by tenant.
type Counts = BTreeMap<String, u64>;

/// All leases.
#[derive(Default)]
pub struct Leases {
    leases: HashMap<DiskId, Lease>,
    /// By window, then by the process's incarnation.
    usage: BTreeMap<u64, HashMap<u64, Counts>>,
}

impl Leases {
    /// Renews the lease of a poll's sender.
    pub fn renew(&mut self, poll: &Poll) {
        let now = clock::micros();
        if self.leases.len() >= LEASE_LIMIT {
            self.leases.retain(|_, lease| now.saturating_sub(lease.renewed) < LEASE_DURATION);
        }
        let lease = Lease {
            node: poll.node.clone(),
            renewed: now,
            draining: poll.draining,
            reports: poll.shards.clone(),
            demand: poll.demand.clone(),
            items: poll.items.clone(),
        };
        self.leases.insert(poll.node.disk, lease);
        for UsageWindow { window, counts } in &poll.usage {
            let counts = counts.iter().cloned().collect();
            self.usage.entry(*window).or_default().insert(poll.incarnation, counts);
        }
        while self.usage.len() > WINDOW_LIMIT {
            self.usage.pop_first();
        }
    }

    fn live(&self) -> impl Iterator<Item = &Lease> {
        let now = clock::micros();
        self.leases.values().filter(move |lease| now.saturating_sub(lease.renewed) < LEASE_DURATION)
    }

    /// Processes alive.
    pub fn senders(&self) -> u32 {
        self.live().filter(|lease| !lease.draining).count() as u32
    }

    /// Places that all live processes need at once at a service's endpoints.
    pub fn demand(&self, service: &str) -> f64 {
        let needs = self.live().flat_map(|lease| &lease.demand);
        needs.filter(|(name, _)| name == service).map(|(_, places)| places).sum()
    }

    /// What each service's endpoints are asked for.
    pub fn loads(&self) -> Vec<ServiceLoad> {
        let mut loads: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
        for lease in self.live() {
            if lease.node.role != NodeRole::Store {
                for (service, places) in &lease.demand {
                    loads.entry(service).or_default().live_demand += places;
                }
            }
            for (service, items) in &lease.items {
                loads.entry(service).or_default().items.push((lease.node.disk, *items));
            }
        }
        let named =
            |(service, load): (&str, ServiceLoad)| ServiceLoad { service: service.to_owned(), ..load };
        loads.into_iter().map(named).collect()
    }

    /// Some couriers without a disk, of every zone in turn.
    pub fn relays(&self) -> Vec<String> {
        let mut zones: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let couriers = self.live().filter(|lease| lease.node.role == NodeRole::Courier && !lease.draining);
        for lease in couriers {
            zones.entry(&lease.node.zone).or_default().push(&lease.node.internal);
        }
        zones.values_mut().for_each(|zone| zone.sort_unstable());
        let rank = |rank: usize| zones.values().filter_map(move |zone| zone.get(rank));
        (0..RELAYS).flat_map(rank).take(RELAYS).map(|address| (*address).to_owned()).collect()
    }

    /// Stores alive.
    pub fn live_stores(&self) -> BTreeSet<DiskId> {
        self.live().filter(|lease| lease.node.role == NodeRole::Store).map(|lease| lease.node.disk).collect()
    }

    /// Stores about to stop.
    pub fn draining_stores(&self) -> BTreeSet<DiskId> {
        self.live().filter(|lease| lease.draining).map(|lease| lease.node.disk).collect()
    }

    /// What primaries of shards reported lately.
    pub fn reports(&self) -> Vec<ShardReport> {
        let now = clock::micros();
        let recent = self.leases.values().filter(|lease| now.saturating_sub(lease.renewed) < REPORT_TTL);
        recent.flat_map(|lease| lease.reports.iter().cloned()).collect()
    }

    /// Whether every process that counts requests has polled since a moment of the steady clock.
    pub fn all_heard_since(&self, since: u64) -> bool {
        let couriers = self.leases.values().filter(|lease| lease.node.role != NodeRole::Store);
        let heard = couriers.map(|lease| LastHeard {
            name: &lease.node.name,
            at: lease.renewed,
            draining: lease.draining,
        });
        all_reported(heard, since, clock::micros())
    }

    /// Whether a process has polled since a moment of the steady clock, or is stopping.
    pub fn heard_since(&self, disk: DiskId, since: u64) -> bool {
        self.leases.get(&disk).is_some_and(|lease| lease.draining || lease.renewed >= since)
    }

    /// Requests that began in a window, as far as told.
    pub fn usage(&self, window: u64) -> UsageWindow {
        let mut total: BTreeMap<String, u64> = BTreeMap::new();
        for counts in self.usage.get(&window).into_iter().flat_map(HashMap::values) {
            for (tenant, count) in counts {
                *total.entry(tenant.clone()).or_default() += count;
            }
        }
        UsageWindow { window, counts: total.into_iter().collect() }
    }
}
