//! Deterministic simulation of a fleet with a budget at one partner. The production state machines run with simulated
//! couriers, a leader, a replicated log and a partner on a virtual clock. The partner counts its open connections
//! independently after every event.
//!
//! This module has the state and the event loop. The couriers, the leader, the partner and the faults are in modules
//! of their own. All times and durations are in microseconds.

use crate::courier::{Clock, Courier};
use crate::event::{ConnectionKey, CourierEvent, Event, Scheduled};
use crate::leader::Leader;
use crate::random::SplitMix64;
use quillmount_fleet::budget::{Budget, BudgetCommand, BudgetState, Report, Tenant, TimeBounds, check};
use quillmount_test_support::digest::Counts;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::ops::RangeInclusive;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// The partner that has the budget.
pub const DEST: u64 = 7;
pub const BOUNDS: TimeBounds = TimeBounds { max_call: S, max_idle: 1_500 * MS, lease: S };

/// The behaviour of the network, the log and the calls.
pub struct Conditions {
    /// The percentage of messages that are lost; the same percentages are delayed and duplicated.
    pub loss: u64,
    /// The longest delay of a message that isn't late.
    pub max_delay: u64,
    /// The factor by which the commit of a late log entry takes longer than that of others.
    pub late_entry_factor: u64,
    pub call_duration: RangeInclusive<u64>,
    /// The percentage of calls that hang for up to twice the longest duration that is allowed.
    pub hanging_calls: u64,
    /// Whether processes are suspended between a permit and the opening of its connection.
    pub late_openings: bool,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            loss: 0,
            max_delay: 10 * MS,
            late_entry_factor: 80,
            call_duration: 20 * MS..=200 * MS,
            hanging_calls: 0,
            late_openings: false,
        }
    }
}

/// The partner counted more open connections than its limit.
#[derive(Debug, PartialEq)]
pub struct BudgetExceeded {
    open: usize,
    limit: u64,
    time: u64,
}

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} connections open at {} us, over the limit of {}", self.open, self.time, self.limit)
    }
}

/// A lower limit of the partner that applies from `binds_at`.
#[derive(Clone, Copy)]
pub struct LoweredLimit {
    pub binds_at: u64,
    pub limit: u64,
}

pub struct Simulation {
    pub now: u64,
    pub events: BinaryHeap<Reverse<Scheduled>>,
    /// The last number assigned to an event or a call.
    pub last_sequence: u64,
    pub random: SplitMix64,
    pub conditions: Conditions,
    pub budget: Budget,
    pub names: Vec<String>,
    pub couriers: Vec<Courier>,
    pub proposed: Vec<BudgetCommand>,
    pub log: Vec<BudgetCommand>,
    /// The replicated state after all entries of the log.
    pub replicated: BudgetState,
    pub leader: Leader,
    /// The reports that couriers have sent.
    pub reports: Vec<Report>,
    /// Connections that are open at the partner, with the time of the last write on each.
    pub open: BTreeMap<ConnectionKey, u64>,
    /// The number of connections that the partner allows.
    pub limit: u64,
    pub lowered: Option<LoweredLimit>,
    /// The highest number of connections that were open at the same time.
    pub max_open: usize,
    pub exceeded: Option<BudgetExceeded>,
    /// The times at which shares changed.
    pub share_changes: Vec<u64>,
    /// The time since which each tenant has had demand but no connection in the fleet.
    pub starving_since: BTreeMap<String, u64>,
    /// The longest time for which each tenant had demand but no connection in the fleet.
    pub longest_starvation: BTreeMap<String, u64>,
    /// Counts of events, which are compared with the digests in `tests/digests`.
    pub counts: Counts,
}

impl Simulation {
    pub fn new(seed: u64, couriers: usize, budget: Budget) -> Simulation {
        assert_eq!(check(std::slice::from_ref(&budget), couriers), []);
        let mut simulation = Simulation {
            now: 0,
            events: BinaryHeap::new(),
            last_sequence: 0,
            random: SplitMix64(seed),
            conditions: Conditions::default(),
            names: (0..couriers).map(|n| format!("c{n:02}")).collect(),
            couriers: Vec::new(),
            proposed: Vec::new(),
            log: Vec::new(),
            replicated: BudgetState::default(),
            leader: Leader::new(),
            reports: Vec::new(),
            open: BTreeMap::new(),
            limit: u64::from(budget.connections),
            lowered: None,
            max_open: 0,
            exceeded: None,
            share_changes: Vec::new(),
            starving_since: BTreeMap::new(),
            longest_starvation: BTreeMap::new(),
            counts: Counts::default(),
            budget,
        };
        for index in 0..couriers {
            let clock =
                Clock { drift: simulation.random_drift(), offset: simulation.random.within(S, 1_000 * S) };
            let courier = Courier::new(&simulation.names[index], clock, &simulation.budget);
            simulation.couriers.push(courier);
            let first_tick = simulation.random.0 % 10_000;
            simulation.schedule_at_courier(first_tick, index, CourierEvent::Tick);
        }
        simulation.elect_leader();
        simulation
    }

    /// Draws the drift of a clock in parts per million, within the 1% that the time bounds allow for.
    pub fn random_drift(&mut self) -> i64 {
        self.random.within(0, 19_000) as i64 - 9_500
    }

    pub fn schedule(&mut self, delay: u64, event: Event) {
        self.last_sequence += 1;
        let scheduled = Scheduled { time: self.now + delay, sequence: self.last_sequence, event };
        self.events.push(Reverse(scheduled));
    }

    /// Schedules an event for the current incarnation of a courier's process.
    pub fn schedule_at_courier(&mut self, delay: u64, courier: usize, event: CourierEvent) {
        let incarnation = self.couriers[courier].incarnation;
        self.schedule(delay, Event::AtCourier { courier, incarnation, event });
    }

    /// Sends an event over the fleet's network, which may lose, delay, or duplicate it.
    pub fn send(&mut self, event: Event) {
        for _ in 0..1 + u64::from(self.random.chance(self.conditions.loss)) {
            if !self.random.chance(self.conditions.loss) {
                let factor = if self.random.chance(self.conditions.loss) { 20 } else { 1 };
                let delay = self.random.within(MS, self.conditions.max_delay * factor);
                self.schedule(delay, event.clone());
            }
        }
    }

    /// Runs until the time `until`, or until the budget is exceeded.
    pub fn run(&mut self, until: u64) {
        while let Some(Reverse(next)) = self.events.peek()
            && next.time <= until
            && self.exceeded.is_none()
        {
            let Some(Reverse(Scheduled { time, event, .. })) = self.events.pop() else { return };
            self.now = time;
            self.count_event(&event);
            self.handle(event);
            self.check_limit();
        }
        self.now = until;
    }

    /// Runs while the condition holds, for at most `timeout`, and evaluates it in intervals. Returns how long it held.
    pub fn run_while(&mut self, timeout: u64, interval: u64, condition: impl Fn(&Simulation) -> bool) -> u64 {
        let started_at = self.now;
        while condition(self) && self.now < started_at + timeout {
            self.run(self.now + interval);
        }
        self.now - started_at
    }

    fn check_limit(&mut self) {
        if let Some(LoweredLimit { binds_at, limit }) = self.lowered
            && self.now >= binds_at
        {
            (self.limit, self.lowered) = (limit, None);
        }
        let open = self.open.len();
        self.max_open = self.max_open.max(open);
        if open as u64 > self.limit {
            self.exceeded = Some(BudgetExceeded { open, limit: self.limit, time: self.now });
        }
    }

    fn count_event(&mut self, event: &Event) {
        let (label, courier, number) = match event {
            Event::AtCourier { courier, event, .. } => match event {
                CourierEvent::Tick => ("ticks", *courier, 0),
                CourierEvent::Answer { call, .. } => ("answers", *courier, *call),
                CourierEvent::EndRead { conn } => ("ends_read", *courier, *conn),
                CourierEvent::LeaseRenewed { epoch, .. } => ("leases_renewed", *courier, *epoch),
                CourierEvent::JoinConfirmed { epoch } => ("joins_confirmed", *courier, *epoch),
                CourierEvent::LateOpening { conn, .. } => ("late_openings", *courier, *conn),
            },
            Event::EntriesDelivered { courier, up_to } => ("entries_delivered", *courier, *up_to as u64),
            Event::ConnectionEnded(connection) => ("connections_ended", connection.courier, connection.conn),
            Event::IdleCheck { connection, .. } => ("idle_checks", connection.courier, connection.conn),
            Event::MessageToLeader { courier, .. } => ("messages_to_leader", *courier, 0),
            Event::Commit { term, proposal } => ("commits", *proposal, *term),
            Event::LeaderRound { term } => ("leader_rounds", 0, *term),
            Event::Fault => ("faults", 0, 0),
            Event::Repair { courier, .. } => ("repairs", *courier, 0),
        };
        let open = self.open.len() as u64;
        self.counts.count(label, &[self.now, courier as u64, number, open]);
    }

    pub fn handle(&mut self, event: Event) {
        match event {
            Event::AtCourier { courier, incarnation, event } => {
                self.handle_at_courier(courier, incarnation, event);
            }
            Event::EntriesDelivered { courier, up_to } => {
                if self.couriers[courier].is_running() && self.couriers[courier].receives {
                    self.apply_entries(courier, up_to);
                    self.begin_calls(courier);
                }
            }
            Event::ConnectionEnded(connection) => self.end_connection(connection),
            Event::IdleCheck { connection, written_at } => {
                if self.open.get(&connection) == Some(&written_at) {
                    self.end_connection(connection);
                }
            }
            Event::MessageToLeader { courier, incarnation, message } => {
                self.receive_at_leader(courier, incarnation, message);
            }
            Event::Commit { term, proposal } => {
                if term == self.leader.term {
                    self.commit(self.proposed[proposal].clone());
                }
            }
            Event::LeaderRound { term } => {
                if term == self.leader.term {
                    self.run_leader_round();
                }
            }
            Event::Fault => self.inject_fault(),
            Event::Repair { courier, repair } => self.repair(courier, repair),
        }
    }

    /// Sets the number of concurrent calls that a tenant makes at a courier, with no limit of the total.
    pub fn set_load(&mut self, courier: usize, tenant: &str, concurrency: u32) {
        let load = self.couriers[courier].loads.entry(tenant.into()).or_default();
        (load.concurrency, load.remaining) = (concurrency, u64::MAX);
    }

    /// Changes the configured number of connections. A lower limit applies from the time by which even a courier that
    /// is cut off has met it.
    pub fn set_connections(&mut self, connections: u32) {
        self.budget.connections = connections;
        let limit = u64::from(connections);
        if limit < self.limit {
            // A courier that is cut off now meets the limit after its lease, the drain time and the recall time.
            let delay = 2 * S + BOUNDS.lease + BOUNDS.drain_time() + BOUNDS.recall_time();
            self.lowered = Some(LoweredLimit { binds_at: self.now + delay, limit });
        } else {
            (self.limit, self.lowered) = (limit, None);
        }
    }

    /// The number of a tenant's calls in flight, over all couriers.
    pub fn calls_in_flight(&self, tenant: &str) -> u32 {
        let loads = self.couriers.iter().filter_map(|courier| courier.loads.get(tenant));
        loads.map(|load| load.in_flight).sum()
    }

    /// The number of a tenant's answered calls, over all couriers.
    pub fn calls_served(&self, tenant: &str) -> u64 {
        let loads = self.couriers.iter().filter_map(|courier| courier.loads.get(tenant));
        loads.map(|load| load.served).sum()
    }

    /// Runs for a span and returns the mean of the calls in flight, sampled every 10 ms.
    pub fn mean_calls_in_flight(&mut self, span: u64, tenants: &[&str]) -> f64 {
        let until = self.now + span;
        let (mut sum, mut samples) = (0, 0);
        while self.now < until {
            self.run(self.now + 10 * MS);
            sum += tenants.iter().map(|tenant| self.calls_in_flight(tenant)).sum::<u32>();
            samples += 1;
        }
        f64::from(sum) / f64::from(samples)
    }

    pub fn assert_within_budget(&self) {
        assert_eq!(self.exceeded, None, "more connections are open than the budget allows");
    }
}

pub fn tenant(name: &str, weight: f64, floor: u32, ceiling: Option<u32>) -> Tenant {
    Tenant { name: name.into(), weight, floor, ceiling }
}

pub fn budget(connections: u32, courier_floor: u32, tenants: Vec<Tenant>) -> Budget {
    Budget { dest: DEST, connections, calls: None, span_ms: None, courier_floor, tenants }
}
