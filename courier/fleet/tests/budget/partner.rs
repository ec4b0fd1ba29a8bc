//! The partner of the simulated fleet: the connections that are open there, and the answers to calls.

use crate::event::{ConnectionKey, CourierEvent, Event};
use crate::simulation::{BOUNDS, MS, Simulation};

impl Simulation {
    /// A call is written on a connection; its answer comes later.
    pub fn write_call(&mut self, courier: usize, conn: u64, call: u64) {
        let connection = ConnectionKey { courier, incarnation: self.couriers[courier].incarnation, conn };
        // The partner may have ended it; the courier reads that soon.
        let Some(written_at) = self.open.get_mut(&connection) else { return };
        *written_at = self.now;
        let check = Event::IdleCheck { connection, written_at: self.now };
        self.schedule(BOUNDS.max_idle, check);
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

    /// The partner ends a connection, or reads its end.
    pub fn end_connection(&mut self, connection: ConnectionKey) {
        let ConnectionKey { courier, incarnation, conn } = connection;
        if self.open.remove(&connection).is_some() && self.couriers[courier].reaches_partner {
            let event = CourierEvent::EndRead { conn };
            self.schedule(2 * MS, Event::AtCourier { courier, incarnation, event });
        }
    }

    /// Notes how long a tenant goes without any connection in the fleet.
    pub fn note_starvation(&mut self, tenant: &str) {
        let loads = || self.couriers.iter().filter_map(|courier| courier.loads.get(tenant));
        let wants = loads().any(|load| load.at_once > load.in_flight && load.remaining > 0);
        if !wants || self.calls_in_flight(tenant) > 0 {
            self.starving_since.remove(tenant);
            return;
        }
        let since = *self.starving_since.entry(tenant.into()).or_insert(self.now);
        let longest = self.longest_starvation.entry(tenant.into()).or_insert(0);
        *longest = (*longest).max(self.now - since);
    }
}
