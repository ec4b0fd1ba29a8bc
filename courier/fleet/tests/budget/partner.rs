//! The partner of the simulated fleet: its open connections, and its responses to calls.

use crate::event::{ConnectionKey, CourierEvent, Event};
use crate::simulation::{BOUNDS, MS, Simulation};

impl Simulation {
    /// Writes a call on a connection, and schedules its response.
    pub fn write_call(&mut self, courier: usize, conn: u64, call: u64) {
        let connection = ConnectionKey { courier, incarnation: self.couriers[courier].incarnation, conn };
        // The partner may have ended the connection before the courier has read its end.
        let Some(written_at) = self.open.get_mut(&connection) else { return };
        *written_at = self.now;
        let idle_check = Event::IdleCheck { connection, written_at: self.now };
        self.schedule(BOUNDS.max_idle, idle_check);
        let (shortest, longest) =
            (*self.conditions.call_duration.start(), *self.conditions.call_duration.end());
        let mut duration = self.random.within(shortest, longest);
        if self.random.chance(self.conditions.hanging_calls) {
            duration = self.random.within(longest, 2 * BOUNDS.max_call);
        }
        if self.couriers[courier].reaches_partner {
            self.schedule_at_courier(duration, courier, CourierEvent::Answer { conn, call });
        }
    }

    /// Ends a connection at the partner, on its own initiative or after the courier closed it.
    pub fn end_connection(&mut self, connection: ConnectionKey) {
        let ConnectionKey { courier, incarnation, conn } = connection;
        if self.open.remove(&connection).is_some() && self.couriers[courier].reaches_partner {
            let event = CourierEvent::EndRead { conn };
            self.schedule(2 * MS, Event::AtCourier { courier, incarnation, event });
        }
    }

    /// Records how long a tenant with demand goes without any connection in the fleet.
    pub fn record_starvation(&mut self, tenant: &str) {
        let loads = || self.couriers.iter().filter_map(|courier| courier.loads.get(tenant));
        let has_demand = loads().any(|load| load.concurrency > load.in_flight && load.remaining > 0);
        if !has_demand || self.calls_in_flight(tenant) > 0 {
            self.starving_since.remove(tenant);
            return;
        }
        let since = *self.starving_since.entry(tenant.into()).or_insert(self.now);
        let longest = self.longest_starvation.entry(tenant.into()).or_insert(0);
        *longest = (*longest).max(self.now - since);
    }
}
