//! Release and closing of connections: after a call, on timeouts, and when more are open than allowed.

use super::connections::{ConnectionState, PartnerConnections};
use super::permit::{PERMIT_TTL, Permit};
use super::{Allowance, LocalBudget};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// An instruction to the courier, returned by the functions that change its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrder {
    /// Close this connection. Either it is idle, or its call exceeds
    /// [`TimeBounds::max_call`](crate::budget::TimeBounds).
    Close {
        /// The destination id of the partner.
        dest: u64,
        /// The connection's number.
        conn: u64,
    },
}

impl LocalBudget {
    /// Records that the connection's call has ended. The connection can be reused unless a returned order closes it.
    pub fn released(&mut self, permit: &Permit, now: Micros) -> Vec<ConnectionOrder> {
        if let Some(partner) = self.partners.get_mut(&permit.dest)
            && let Some(connection) = partner.connections.get(&permit.conn)
            && matches!(connection.state, ConnectionState::Busy | ConnectionState::Permitted)
        {
            let duration = now.saturating_sub(connection.since);
            partner.set_state(permit.conn, None, ConnectionState::Idle, now);
            partner.record_call(duration);
            self.changed = true;
        }
        self.close_excess(permit.dest, now)
    }

    /// Records that this courier closes the connection, or that its call was aborted and nothing more will be written
    /// on it. The connection counts until [`LocalBudget::closed`], or until the close timeout of the partner has
    /// passed.
    pub fn closing(&mut self, dest: u64, conn: u64, now: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest)
            && let Some(connection) = partner.connections.get(&conn)
            && connection.state != ConnectionState::Closing
        {
            if connection.state == ConnectionState::Busy {
                partner.record_call(now.saturating_sub(connection.since));
            }
            partner.set_state(conn, None, ConnectionState::Closing, now);
        }
    }

    /// Records that the partner has closed the connection, or that it was never opened.
    pub fn closed(&mut self, dest: u64, conn: u64, now: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest) {
            self.changed |= partner.remove(conn, now);
        }
    }

    /// Removes the oldest connections whose close timeout has passed. It is used where calls are counted: there, all
    /// connections begin to close as soon as they are acquired, so they expire in the order of their numbers.
    pub(in crate::budget) fn release_expired(&mut self, dest: u64, now: Micros) {
        let Some(partner) = self.partners.get_mut(&dest) else { return };
        while let Some((conn, connection)) = partner.connections.first_key_value()
            && connection.state == ConnectionState::Closing
            && connection.is_in_state_for(partner.close_timeout, now)
        {
            let conn = *conn;
            self.changed |= partner.remove(conn, now);
        }
    }

    /// Removes connections that must have ended, closes those whose call is overdue, and closes idle connections that
    /// exceed the allowance.
    pub fn tick(&mut self, now: Micros) -> Vec<ConnectionOrder> {
        let mut orders = Vec::new();
        let dests: Vec<u64> = self.partners.keys().copied().collect();
        for dest in dests {
            let Some(partner) = self.partners.get_mut(&dest) else { continue };
            self.changed |= partner.remove_ended(now);
            let overdue = partner.close_overdue(self.bounds.max_call, now);
            orders.extend(overdue.into_iter().map(|conn| ConnectionOrder::Close { dest, conn }));
            partner.waiting.retain(|_, waiting| waiting.count_at(now) > 0);
            orders.extend(self.close_excess(dest, now));
        }
        orders
    }

    fn close_excess(&mut self, dest: u64, now: Micros) -> Vec<ConnectionOrder> {
        let allowance = self.allowance(now);
        let Some(partner) = self.partners.get_mut(&dest) else { return Vec::new() };
        let closed = partner.close_idle_excess(allowance, now);
        self.changed |= !closed.is_empty();
        closed.into_iter().map(|conn| ConnectionOrder::Close { dest, conn }).collect()
    }
}

impl PartnerConnections {
    /// Removes closing connections that the partner must have ended, and permits that were not used; returns whether
    /// any were removed.
    fn remove_ended(&mut self, now: Micros) -> bool {
        let ended: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.state {
                ConnectionState::Closing => connection.is_in_state_for(self.close_timeout, now),
                ConnectionState::Permitted => connection.is_in_state_for(PERMIT_TTL.saturating_mul(2), now),
                ConnectionState::Busy | ConnectionState::Idle => false,
            })
            .map(|(conn, _)| *conn)
            .collect();
        let mut removed = false;
        for conn in ended {
            removed |= self.remove(conn, now);
        }
        removed
    }

    /// Closes the connections whose call takes longer than `max_call`.
    fn close_overdue(&mut self, max_call: Micros, now: Micros) -> Vec<u64> {
        let mut overdue = Vec::new();
        for (conn, connection) in &mut self.connections {
            if connection.state == ConnectionState::Busy && connection.is_in_state_for(max_call, now) {
                (connection.state, connection.since) = (ConnectionState::Closing, now);
                overdue.push(*conn);
            }
        }
        overdue
    }

    /// Closes idle connections that exceed the allowance, those that have been idle longest first.
    fn close_idle_excess(&mut self, allowance: Allowance, now: Micros) -> Vec<u64> {
        let (floor, cap) = (allowance.floor(self), allowance.cap(self));
        // Closing connections are left out: they count against the budget, but closing others doesn't end them sooner.
        let mut live = BTreeMap::<String, u32>::new();
        let mut idle: Vec<(Micros, u64, String)> = Vec::new();
        for (conn, connection) in &self.connections {
            if connection.state == ConnectionState::Closing {
                continue;
            }
            *live.entry(connection.tenant.clone()).or_default() += 1;
            if connection.state == ConnectionState::Idle {
                idle.push((connection.since, *conn, connection.tenant.clone()));
            }
        }
        let mut total: u32 = live.values().sum();
        idle.sort();
        let mut closed = Vec::new();
        for (_, conn, tenant) in idle {
            let usable = allowance.usable(self, &tenant);
            let Some(tenant_live) = live.get_mut(&tenant) else { continue };
            if total > cap || (*tenant_live > usable && total > floor) {
                (*tenant_live, total) = (*tenant_live - 1, total - 1);
                self.set_state(conn, None, ConnectionState::Closing, now);
                closed.push(conn);
            }
        }
        closed
    }
}
