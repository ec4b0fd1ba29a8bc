//! A courier of the simulated fleet: its process, its clock, its calls, and its reaction to events.

use crate::event::{ConnectionKey, CourierEvent, CourierMessage, Event, Repair};
use crate::simulation::{BOUNDS, DEST, MS, Simulation};
use quillmount_fleet::budget::{Budget, BudgetState, ConnectionOrder, LocalBudget, Permit, PermitKind};
use std::collections::BTreeMap;

const TICK_INTERVAL: u64 = 10 * MS;
const RENEWAL_INTERVAL: u64 = 200 * MS;

/// A clock with an offset and a constant drift.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The drift in parts per million; positive if the clock is fast.
    pub drift: i64,
    /// The reading at the start of the simulation, in microseconds.
    pub offset: u64,
}

impl Clock {
    pub fn read(&self, now: u64) -> u64 {
        let now = now as i64;
        self.offset + (now + now / 1_000 * self.drift / 1_000) as u64
    }
}

/// The demand of a tenant at one courier, and its calls.
#[derive(Clone, Copy, Default)]
pub struct Load {
    /// The highest number of concurrent calls.
    pub concurrency: u32,
    /// Calls that have not begun yet.
    pub remaining: u64,
    pub in_flight: u32,
    pub served: u64,
}

/// The call that a connection carries.
pub struct ActiveCall {
    pub tenant: String,
    pub number: u64,
}

pub struct Courier {
    pub local_budget: LocalBudget,
    /// The replicated state after the applied log entries.
    pub replicated: BudgetState,
    /// The number of applied log entries.
    pub applied: usize,
    pub incarnation: u32,
    /// 0 before the courier has joined.
    pub epoch: u64,
    pub clock: Clock,
    pub is_up: bool,
    pub is_suspended: bool,
    /// Whether messages of the fleet reach the courier.
    pub receives: bool,
    /// Whether the courier's messages reach the fleet.
    pub sends: bool,
    pub reaches_partner: bool,
    /// Events that are handled once the process is no longer suspended.
    pub deferred: Vec<Event>,
    pub loads: BTreeMap<String, Load>,
    /// Keyed by the connection's number.
    pub calls: BTreeMap<u64, ActiveCall>,
    /// When the courier last requested a lease, by its own clock.
    pub lease_requested_at: u64,
}

impl Courier {
    pub fn new(name: &str, clock: Clock, budget: &Budget) -> Courier {
        let mut local_budget = LocalBudget::new(name, BOUNDS, clock.offset);
        local_budget.set_budget(budget);
        Courier {
            local_budget,
            replicated: BudgetState::default(),
            applied: 0,
            incarnation: 0,
            epoch: 0,
            clock,
            is_up: true,
            is_suspended: false,
            receives: true,
            sends: true,
            reaches_partner: true,
            deferred: Vec::new(),
            loads: BTreeMap::new(),
            calls: BTreeMap::new(),
            lease_requested_at: 0,
        }
    }

    pub fn is_running(&self) -> bool {
        self.is_up && !self.is_suspended
    }

    /// Ends the call on a connection without an answer.
    fn abort_call(&mut self, conn: u64) {
        if let Some(call) = self.calls.remove(&conn) {
            self.loads.get_mut(&call.tenant).unwrap().in_flight -= 1;
        }
    }
}

impl Simulation {
    /// The time by a courier's own clock.
    pub fn local_time(&self, courier: usize) -> u64 {
        self.couriers[courier].clock.read(self.now)
    }

    pub fn handle_at_courier(&mut self, index: usize, incarnation: u32, event: CourierEvent) {
        let courier = &mut self.couriers[index];
        if courier.incarnation != incarnation || !courier.is_up {
            return;
        }
        if courier.is_suspended {
            courier.deferred.push(Event::AtCourier { courier: index, incarnation, event });
            return;
        }
        match event {
            CourierEvent::Tick => self.tick_courier(index),
            CourierEvent::Answer { conn, call } => self.receive_answer(index, conn, call),
            CourierEvent::EndRead { conn } => {
                let now = self.local_time(index);
                let courier = &mut self.couriers[index];
                courier.local_budget.closed(DEST, conn, now);
                courier.abort_call(conn);
            }
            CourierEvent::LeaseRenewed { epoch, sent, log_length } => {
                if self.couriers[index].receives {
                    self.renew_lease(index, epoch, sent, log_length);
                }
            }
            CourierEvent::JoinConfirmed { epoch } => self.join(index, epoch),
            CourierEvent::LateOpening { conn, call } => self.open_connection(index, conn, call),
        }
        self.begin_calls(index);
    }

    fn tick_courier(&mut self, index: usize) {
        let now = self.local_time(index);
        let orders = self.couriers[index].local_budget.tick(now);
        self.carry_out_orders(index, orders);
        if let Some(report) = self.couriers[index].local_budget.report(now) {
            self.reports.push(report);
            let message = CourierMessage::Report(self.reports.len() - 1);
            self.send_to_leader(index, message);
        }
        let courier = &self.couriers[index];
        let has_left = courier.replicated.member(&self.names[index]).is_none_or(|member| member.left);
        if courier.local_budget.has_left() && has_left {
            self.crash(index);
            self.schedule(100 * MS, Event::Repair { courier: index, repair: Repair::Start });
            return;
        }
        if now >= courier.lease_requested_at + RENEWAL_INTERVAL {
            self.request_lease(index, now);
        }
        self.schedule_at_courier(TICK_INTERVAL, index, CourierEvent::Tick);
    }

    /// Requests a renewal of the lease, or a registration if the courier has none.
    fn request_lease(&mut self, index: usize, now: u64) {
        let courier = &mut self.couriers[index];
        courier.lease_requested_at = now;
        let member = courier.replicated.member(&self.names[index]);
        let has_lapsed = member.is_some_and(|member| member.epoch >= courier.epoch && member.lapsed);
        let message = if courier.epoch == 0 || has_lapsed {
            CourierMessage::Join
        } else {
            CourierMessage::Renew { epoch: courier.epoch, sent: now }
        };
        self.send_to_leader(index, message);
    }

    fn send_to_leader(&mut self, courier: usize, message: CourierMessage) {
        if self.couriers[courier].sends {
            let incarnation = self.couriers[courier].incarnation;
            self.send(Event::MessageToLeader { courier, incarnation, message });
        }
    }

    fn receive_answer(&mut self, index: usize, conn: u64, call: u64) {
        let now = self.local_time(index);
        let courier = &mut self.couriers[index];
        if courier.calls.get(&conn).is_none_or(|active| active.number != call) {
            return;
        }
        let active = courier.calls.remove(&conn).unwrap();
        let load = courier.loads.get_mut(&active.tenant).unwrap();
        load.in_flight -= 1;
        load.served += 1;
        let permit = Permit { dest: DEST, conn, kind: PermitKind::Reuse };
        let orders = courier.local_budget.released(&permit, now);
        self.carry_out_orders(index, orders);
    }

    fn renew_lease(&mut self, index: usize, epoch: u64, sent: u64, log_length: usize) {
        let courier = &mut self.couriers[index];
        if courier.epoch == epoch {
            courier.local_budget.extend_lease(sent + BOUNDS.lease);
        }
        self.apply_entries(index, log_length);
    }

    fn join(&mut self, index: usize, epoch: u64) {
        let now = self.local_time(index);
        let courier = &mut self.couriers[index];
        if courier.receives && epoch > courier.epoch {
            courier.epoch = epoch;
            courier.local_budget.joined(epoch);
            let orders = courier.local_budget.apply_state(&courier.replicated, now);
            self.carry_out_orders(index, orders);
        }
    }

    /// Applies the log up to the entry with this number.
    pub fn apply_entries(&mut self, index: usize, upto: usize) {
        let now = self.local_time(index);
        let courier = &mut self.couriers[index];
        if courier.applied < upto {
            for command in &self.log[courier.applied..upto] {
                courier.replicated.apply(command);
            }
            courier.applied = upto;
            let orders = courier.local_budget.apply_state(&courier.replicated, now);
            self.carry_out_orders(index, orders);
        }
    }

    fn carry_out_orders(&mut self, index: usize, orders: Vec<ConnectionOrder>) {
        for ConnectionOrder::Close { conn, .. } in orders {
            let courier = &mut self.couriers[index];
            courier.abort_call(conn);
            let connection = ConnectionKey { courier: index, incarnation: courier.incarnation, conn };
            if courier.reaches_partner {
                let delay = self.random.within(MS, 60 * MS);
                self.schedule(delay, Event::ConnectionEnded(connection));
            }
        }
    }

    /// Begins all waiting calls for which a connection is available.
    pub fn begin_calls(&mut self, index: usize) {
        if !self.couriers[index].is_running() {
            return;
        }
        let tenants: Vec<String> = self.couriers[index].loads.keys().cloned().collect();
        for tenant in tenants {
            while self.begin_call(index, &tenant) {}
            self.record_starvation(&tenant);
        }
    }

    /// Begins a tenant's next call. Returns false if no call waits or no connection is available.
    fn begin_call(&mut self, index: usize, tenant: &str) -> bool {
        let now = self.local_time(index);
        let courier = &mut self.couriers[index];
        let load = courier.loads.get_mut(tenant).unwrap();
        if load.in_flight >= load.concurrency || load.remaining == 0 {
            courier.local_budget.set_waiting(DEST, tenant, 0, now);
            return false;
        }
        let Ok(permit) = courier.local_budget.acquire(DEST, tenant, now) else {
            let waiting = u64::from(load.concurrency - load.in_flight).min(load.remaining) as u32;
            courier.local_budget.set_waiting(DEST, tenant, waiting, now);
            return false;
        };
        load.in_flight += 1;
        load.remaining = load.remaining.saturating_sub(1);
        self.last_sequence += 1;
        let (conn, call) = (permit.conn, self.last_sequence);
        courier.calls.insert(conn, ActiveCall { tenant: tenant.into(), number: call });
        match permit.kind {
            PermitKind::Reuse => self.write_call(index, conn, call),
            PermitKind::Open if self.conditions.late_openings && self.random.chance(3) => {
                let delay = self.random.within(0, 30 * MS);
                self.schedule_at_courier(delay, index, CourierEvent::LateOpening { conn, call });
            }
            PermitKind::Open => self.open_connection(index, conn, call),
        }
        true
    }

    fn open_connection(&mut self, index: usize, conn: u64, call: u64) {
        let now = self.local_time(index);
        let courier = &mut self.couriers[index];
        if courier.local_budget.confirm_open(DEST, conn, now) {
            let connection = ConnectionKey { courier: index, incarnation: courier.incarnation, conn };
            self.open.insert(connection, self.now);
            self.write_call(index, conn, call);
        } else {
            courier.abort_call(conn);
        }
    }
}
