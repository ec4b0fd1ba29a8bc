//! Closing: what becomes of a connection after its call, and which connections are closed when too many are open.

use super::connections::{ConnectionState, PartnerConnections};
use super::permit::{PERMIT_TTL, Permit};
use super::{Allowance, LocalBudget};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// What the courier has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrder {
    /// Close this connection; it is idle, or its call has been on it for longer than any may.
    Close {
        /// The partner.
        dest: u64,
        /// The connection's number.
        conn: u64,
    },
}

impl LocalBudget {
    /// The connection's call has ended, and it can be reused, unless an order says to close it.
    pub fn released(&mut self, permit: &Permit, now: Micros) -> Vec<ConnectionOrder> {
        if let Some(partner) = self.partners.get_mut(&permit.dest)
            && let Some(connection) = partner.connections.get(&permit.conn)
            && matches!(connection.state, ConnectionState::Busy | ConnectionState::Permitted)
        {
            let took = now.saturating_sub(connection.since);
            partner.set_state(permit.conn, None, ConnectionState::Idle, now);
            partner.record_call(took);
            self.changed = true;
        }
        self.close_excess(permit.dest, now)
    }

    /// The connection is closed by this side, or its call was given up and nothing more will be written on it. It counts
    /// until [`LocalBudget::closed`], or until the partner must have ended it.
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

    /// The partner has closed the connection, or it was never opened.
    pub fn closed(&mut self, dest: u64, conn: u64, now: Micros) {
        if let Some(partner) = self.partners.get_mut(&dest) {
            self.changed |= partner.remove(conn, now);
        }
    }

    /// Removes the oldest connections that have closed. It serves where all close as soon as they have begun, and so in
    /// the order of their numbers: where calls are counted.
    pub(in crate::budget) fn release_expired(&mut self, dest: u64, now: Micros) {
        let Some(partner) = self.partners.get_mut(&dest) else { return };
        while let Some((conn, connection)) = partner.connections.first_key_value()
            && connection.state == ConnectionState::Closing
            && connection.is_past(partner.close_timeout, now)
        {
            let conn = *conn;
            self.changed |= partner.remove(conn, now);
        }
    }

    /// Removes what must have closed, and closes what is overdue or idle beyond what is allowed.
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
    /// Removes closing connections that the partner must have ended, and permits that were not used; whether there were
    /// any.
    fn remove_ended(&mut self, now: Micros) -> bool {
        let ended: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.state {
                ConnectionState::Closing => connection.is_past(self.close_timeout, now),
                ConnectionState::Permitted => connection.is_past(PERMIT_TTL.saturating_mul(2), now),
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

    /// Closes connections whose call takes longer than any may.
    fn close_overdue(&mut self, max_call: Micros, now: Micros) -> Vec<u64> {
        let mut overdue = Vec::new();
        for (conn, connection) in &mut self.connections {
            if connection.state == ConnectionState::Busy && connection.is_past(max_call, now) {
                (connection.state, connection.since) = (ConnectionState::Closing, now);
                overdue.push(*conn);
            }
        }
        overdue
    }

    /// Closes idle connections beyond what is allowed, the longest idle first.
    fn close_idle_excess(&mut self, allowance: Allowance, now: Micros) -> Vec<u64> {
        let (floor, cap) = (allowance.floor(self), allowance.cap(self));
        // Closing connections count, but closing more of the others does not end them sooner.
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
            let Some(of_tenant) = live.get_mut(&tenant) else { continue };
            if total > cap || (*of_tenant > usable && total > floor) {
                (*of_tenant, total) = (*of_tenant - 1, total - 1);
                self.set_state(conn, None, ConnectionState::Closing, now);
                closed.push(conn);
            }
        }
        closed
    }
}
