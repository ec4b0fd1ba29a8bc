//! Faults of the simulated fleet, and their repair.

use crate::event::{ConnectionKey, CourierEvent, Event, Repair};
use crate::simulation::{BOUNDS, MS, S, Simulation};
use quillmount_fleet::budget::{BudgetState, LocalBudget};

impl Simulation {
    /// Injects one fault, or changes the load or the budget, and schedules the next fault.
    pub fn inject_fault(&mut self) {
        let index = self.random.below(self.couriers.len() as u64) as usize;
        let duration = self.random.within(100 * MS, 7 * S);
        let fault = self.random.below(16);
        let is_up = self.couriers[index].is_up;
        let is_running = self.couriers[index].is_running();
        match fault {
            0..=3 => {
                let direction = self.random.below(3);
                self.couriers[index].receives = direction == 0;
                self.couriers[index].sends = direction == 1;
                self.schedule_repair(duration, index, Repair::Network);
            }
            4..=5 => {
                self.couriers[index].reaches_partner = false;
                self.schedule_repair(duration, index, Repair::Partner);
            }
            6..=8 if is_running => {
                self.couriers[index].is_suspended = true;
                self.schedule_repair(duration, index, Repair::Suspension);
            }
            9 if is_up => self.couriers[index].local_budget.leave(),
            10 if is_up => {
                self.crash(index);
                self.schedule_repair(duration / 4, index, Repair::Start);
            }
            11 => self.elect_leader(),
            12 if self.lowered.is_none() => {
                let connections = if self.budget.connections == 40 { 20 } else { 40 };
                self.set_connections(connections);
            }
            _ => {
                let (tenant, concurrency) = (self.random.below(5), self.random.below(30) as u32);
                self.set_load(index, &format!("t{tenant}"), concurrency);
            }
        }
        // At this rate about 1.5 faults are active at a time for every four couriers.
        let delay = self.random.within(20 * MS, 18 * S / self.couriers.len() as u64);
        self.schedule(delay, Event::Fault);
    }

    fn schedule_repair(&mut self, delay: u64, courier: usize, repair: Repair) {
        self.schedule(delay, Event::Repair { courier, repair });
    }

    pub fn repair(&mut self, index: usize, repair: Repair) {
        let courier = &mut self.couriers[index];
        match repair {
            Repair::Network => (courier.receives, courier.sends) = (true, true),
            Repair::Partner => courier.reaches_partner = true,
            Repair::Suspension => {
                courier.is_suspended = false;
                for event in std::mem::take(&mut courier.deferred) {
                    self.handle(event);
                }
            }
            Repair::Start if !courier.is_up => self.start(index),
            Repair::Start => {}
        }
    }

    /// Starts a new process of the courier, without the state of the previous one.
    fn start(&mut self, index: usize) {
        let now = self.local_time(index);
        let courier = &mut self.couriers[index];
        courier.is_up = true;
        courier.incarnation += 1;
        courier.epoch = 0;
        courier.replicated = BudgetState::default();
        courier.applied = 0;
        courier.lease_requested_at = 0;
        courier.local_budget = LocalBudget::new(&self.names[index], BOUNDS, now);
        courier.local_budget.set_budget(&self.budget);
        self.schedule_at_courier(MS, index, CourierEvent::Tick);
    }

    /// Crashes the courier's process. The partner soon notices the end of some of its connections; the others stay
    /// open until their idle timeout.
    pub fn crash(&mut self, index: usize) {
        let courier = &mut self.couriers[index];
        (courier.is_up, courier.is_suspended) = (false, false);
        courier.deferred.clear();
        courier.calls.clear();
        courier.loads.values_mut().for_each(|load| load.in_flight = 0);
        let incarnation = courier.incarnation;
        let is_own = |connection: &&ConnectionKey| {
            connection.courier == index && connection.incarnation == incarnation
        };
        let connections: Vec<ConnectionKey> = self.open.keys().filter(is_own).copied().collect();
        for connection in connections {
            if self.random.chance(50) {
                let delay = self.random.within(MS, 500 * MS);
                self.schedule(delay, Event::ConnectionEnded(connection));
            }
        }
    }
}
