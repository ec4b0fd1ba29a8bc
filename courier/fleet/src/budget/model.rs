//! The configuration of budgets and the bounds on time that they rest on.

use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// Partners with a budget at most; the leader reviews each in each of its rounds.
pub const MAX_BUDGETS: usize = 1024;
/// Tenants of one partner that the configuration names, or for which calls wait at one courier, at most: each report
/// has a line for each.
pub const MAX_TENANTS: usize = 4096;
/// One part in so many of a time is added for clock drift: 1% for each of two clocks.
pub const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// One partner's budget, as `fleet.budgets` configures it; the settings package defines the file's form.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The partner.
    pub dest: u64,
    /// Connections of the whole fleet at once, at most.
    pub connections: u32,
    /// Calls of the whole fleet in each span, at most.
    pub calls: Option<u32>,
    /// The span of `calls`, in milliseconds.
    pub span_ms: Option<u64>,
    /// Connections that are reserved for each courier, even when it is cut off.
    pub courier_floor: u32,
    /// Other tenants have weight 1, no floor and no ceiling.
    pub tenants: Vec<Tenant>,
}

/// One tenant's policy in a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// Its weight in the division, above 0.
    pub weight: f64,
    /// Connections that it gets first, as far as it demands them.
    pub floor: u32,
    /// The most connections that it may have.
    pub ceiling: Option<u32>,
}

/// Bounds on time, the same at every courier; all in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TimeBounds {
    /// The longest that a call may write on its connection, by the courier's own clock.
    pub max_call: Micros,
    /// The longest that a connection stays open at the partner after the last byte that was written on it, or after it
    /// was closed, with or without the courier.
    pub max_idle: Micros,
    /// The longest lease of a member.
    pub lease: Micros,
}

impl TimeBounds {
    /// After this long without a lease a courier has no connection open but those of its floor: its lease may still have
    /// run (where it was renewed by two leaders), then its calls wrote to their end, then the connections closed.
    pub fn drain_time(&self) -> Micros {
        let sum = self.lease.saturating_add(self.max_call).saturating_add(self.max_idle);
        sum.saturating_add(sum / CLOCK_DRIFT_DIVISOR).saturating_add(1)
    }

    /// [`TimeBounds::max_idle`] by a clock that may be slow.
    pub fn close_timeout(&self) -> Micros {
        self.max_idle.saturating_add(self.max_idle / CLOCK_DRIFT_DIVISOR).saturating_add(1)
    }

    /// Within this after a recall has reached it, a courier has no more than it is recalled to: each call in flight has
    /// ended or is given up, and its connection is closed.
    pub fn recall_time(&self) -> Micros {
        self.max_call.saturating_add(self.close_timeout())
    }
}

impl Tenant {
    /// The weight in millionths, as the division computes with integers.
    pub fn weight_millionths(&self) -> u64 {
        ((self.weight * 1e6).round() as u64).max(1)
    }
}
