//! A simulated fleet with one partner's budget: the code that runs, with couriers, a leader, a log and a partner on a
//! virtual clock. The partner counts its open connections itself, after every event.
//!
//! This module has the state and the loop over the events. What happens at a courier, at the leader and at the partner, and
//! what goes wrong, is in modules of their own. All times and spans are in microseconds.

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

/// How the network, the log and the calls behave.
pub struct Conditions {
    /// Percent of the messages that are lost, that are late, and that are duplicated.
    pub loss: u64,
    /// The longest delay of a message.
    pub max_delay: u64,
    /// A late entry of the log takes so many times as long as others.
    pub late_entry_factor: u64,
    pub call_duration: RangeInclusive<u64>,
    /// Percent of the calls that take up to twice the longest that a call may.
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
    at: u64,
}

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} open at {} us", self.open, self.limit, self.at)
    }
}

/// A lower limit of the partner that binds from a time on.
#[derive(Clone, Copy)]
pub struct LoweredLimit {
    pub binds_at: u64,
    pub limit: u64,
}

pub struct Simulation {
    pub now: u64,
    pub events: BinaryHeap<Reverse<Scheduled>>,
    /// The number of the last event and of the last call.
    pub last_number: u64,
    pub random: SplitMix64,
    pub conditions: Conditions,
    pub budget: Budget,
    pub names: Vec<String>,
    pub couriers: Vec<Courier>,
    pub proposed: Vec<BudgetCommand>,
    pub log: Vec<BudgetCommand>,
    /// The state after all entries of the log.
    pub agreed: BudgetState,
    pub leader: Leader,
    /// The reports that couriers have sent.
    pub reports: Vec<Report>,
    /// Connections that are open at the partner, and when each was last written on.
    pub open: BTreeMap<ConnectionKey, u64>,
    /// What the partner allows.
    pub limit: u64,
    pub lowered: Option<LoweredLimit>,
    /// The most connections that were open at once.
    pub most_open: usize,
    pub exceeded: Option<BudgetExceeded>,
    /// When each share changed.
    pub share_changes: Vec<u64>,
    /// Since when each tenant wants a connection and has none in the fleet.
    pub starving_since: BTreeMap<String, u64>,
    /// The longest that each tenant wanted a connection and had none in the fleet.
    pub longest_starvation: BTreeMap<String, u64>,
    /// What happened, for the digests.
    pub counts: Counts,
}

impl Simulation {
    pub fn new(seed: u64, couriers: usize, budget: Budget) -> Simulation {
        assert_eq!(check(std::slice::from_ref(&budget), couriers), []);
        let mut simulation = Simulation {
            now: 0,
            events: BinaryHeap::new(),
            last_number: 0,
            random: SplitMix64(seed),
            conditions: Conditions::default(),
            names: (0..couriers).map(|n| format!("c{n:02}")).collect(),
            couriers: Vec::new(),
            proposed: Vec::new(),
            log: Vec::new(),
            agreed: BudgetState::default(),
            leader: Leader::new(),
            reports: Vec::new(),
            open: BTreeMap::new(),
            limit: u64::from(budget.connections),
            lowered: None,
            most_open: 0,
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

    /// A clock's drift, in parts per million: within what two clocks of the fleet may differ by.
    pub fn random_drift(&mut self) -> i64 {
        self.random.within(0, 19_000) as i64 - 9_500
    }

    pub fn schedule(&mut self, delay: u64, event: Event) {
        self.last_number += 1;
        let scheduled = Scheduled { at: self.now + delay, sequence: self.last_number, event };
        self.events.push(Reverse(scheduled));
    }

    /// Schedules an event for the present run of a courier's process.
    pub fn schedule_at_courier(&mut self, delay: u64, courier: usize, event: CourierEvent) {
        let incarnation = self.couriers[courier].incarnation;
        self.schedule(delay, Event::AtCourier { courier, incarnation, event });
    }

    /// Sends an event over the fleet's network: it may be lost, late, or duplicated.
    pub fn send(&mut self, event: Event) {
        for _ in 0..1 + u64::from(self.random.chance(self.conditions.loss)) {
            if !self.random.chance(self.conditions.loss) {
                let factor = if self.random.chance(self.conditions.loss) { 20 } else { 1 };
                let delay = self.random.within(MS, self.conditions.max_delay * factor);
                self.schedule(delay, event.clone());
            }
        }
    }

    /// Runs until this time, or until the budget is exceeded.
    pub fn run(&mut self, until: u64) {
        while let Some(Reverse(next)) = self.events.peek()
            && next.at <= until
            && self.exceeded.is_none()
        {
            let Some(Reverse(Scheduled { at, event, .. })) = self.events.pop() else { return };
            self.now = at;
            self.count_event(&event);
            self.handle(event);
            self.check_limit();
        }
        self.now = until;
    }

    /// Runs while the condition holds, for a time at most, and looks at it in intervals. Returns how long it held.
    pub fn run_while(&mut self, most: u64, interval: u64, condition: impl Fn(&Simulation) -> bool) -> u64 {
        let from = self.now;
        while condition(self) && self.now < from + most {
            self.run(self.now + interval);
        }
        self.now - from
    }

    fn check_limit(&mut self) {
        if let Some(LoweredLimit { binds_at, limit }) = self.lowered
            && self.now >= binds_at
        {
            (self.limit, self.lowered) = (limit, None);
        }
        let open = self.open.len();
        self.most_open = self.most_open.max(open);
        if open as u64 > self.limit {
            self.exceeded = Some(BudgetExceeded { open, limit: self.limit, at: self.now });
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
            Event::EntriesDelivered { courier, upto } => ("entries_delivered", *courier, *upto as u64),
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
            Event::EntriesDelivered { courier, upto } => {
                if self.couriers[courier].is_running() && self.couriers[courier].receives {
                    self.apply_entries(courier, upto);
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
            Event::Fault => self.cause_fault(),
            Event::Repair { courier, repair } => self.repair(courier, repair),
        }
    }

    /// A tenant wants so many calls at once at a courier, without end.
    pub fn set_load(&mut self, courier: usize, tenant: &str, at_once: u32) {
        let load = self.couriers[courier].loads.entry(tenant.into()).or_default();
        (load.at_once, load.remaining) = (at_once, u64::MAX);
    }

    /// The operators set another number of connections. A lower one binds once even a courier that is cut off has met it.
    pub fn set_connections(&mut self, connections: u32) {
        self.budget.connections = connections;
        let limit = u64::from(connections);
        if limit < self.limit {
            // Cut off at that moment, a courier has met it after its lease and its own time.
            let delay = 2 * S + BOUNDS.lease + BOUNDS.drain_time() + BOUNDS.recall_time();
            self.lowered = Some(LoweredLimit { binds_at: self.now + delay, limit });
        } else {
            (self.limit, self.lowered) = (limit, None);
        }
    }

    /// Calls of a tenant that are in flight.
    pub fn calls_in_flight(&self, tenant: &str) -> u32 {
        let loads = self.couriers.iter().filter_map(|courier| courier.loads.get(tenant));
        loads.map(|load| load.in_flight).sum()
    }

    /// Calls of a tenant that were answered.
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
        assert_eq!(self.exceeded, None, "more open than the budget");
    }
}

pub fn tenant(name: &str, weight: f64, floor: u32, ceiling: Option<u32>) -> Tenant {
    Tenant { name: name.into(), weight, floor, ceiling }
}

pub fn budget(connections: u32, courier_floor: u32, tenants: Vec<Tenant>) -> Budget {
    Budget { dest: DEST, connections, calls: None, span_ms: None, courier_floor, tenants }
}
