//! The configuration of budgets, and the time bounds on which their guarantees depend.

use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// Upper limit of the partners with a budget. The leader reviews each of them in each of its rounds.
pub const MAX_BUDGETS: usize = 1024;
/// Upper limit of the tenants of one partner: of those in the configuration, and of those with waiting calls at one
/// courier. Each report has a line for each of them.
pub const MAX_TENANTS: usize = 4096;
/// Time bounds are extended by 1/`CLOCK_DRIFT_DIVISOR` for clock drift, which is 1% for each of two clocks.
pub const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// The budget of one partner as configured in `fleet.budgets`. The settings package defines the file format.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The destination id of the partner.
    pub dest: u64,
    /// The highest number of concurrent connections of the whole fleet.
    pub connections: u32,
    /// The highest number of calls that the whole fleet begins in each span; `None` for no rate limit.
    pub calls: Option<u32>,
    /// The length of the span to which `calls` applies, in milliseconds.
    pub span_ms: Option<u64>,
    /// Connections reserved for each courier, which it may use even while it is cut off from the fleet.
    pub courier_floor: u32,
    /// The policies of tenants. A tenant without an entry has weight 1, no floor and no ceiling.
    pub tenants: Vec<Tenant>,
}

/// The policy of one tenant in a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name, as calls send it in `X-Account`.
    pub name: String,
    /// The weight in the fair division, above 0.
    pub weight: f64,
    /// Connections that are reserved for the tenant while it has demand for them.
    pub floor: u32,
    /// The highest number of connections that the tenant may have; `None` for no limit.
    pub ceiling: Option<u32>,
}

/// Time bounds in microseconds, the same at every courier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TimeBounds {
    /// The longest time for which a call may write on its connection, by the courier's own clock.
    pub max_call: Micros,
    /// The longest time for which a connection stays open at the partner after the last byte that was written on it or
    /// after it was closed, whether or not the courier is still running.
    pub max_idle: Micros,
    /// The longest lease that a member is granted.
    pub lease: Micros,
}

impl TimeBounds {
    /// The time without a lease after which a courier has no connections open except those of its floor. It is the sum
    /// of the rest of the lease (which a previous leader may have renewed), the time for calls to finish writing and
    /// the time for their connections to close.
    pub fn drain_time(&self) -> Micros {
        let sum = self.lease.saturating_add(self.max_call).saturating_add(self.max_idle);
        sum.saturating_add(sum / CLOCK_DRIFT_DIVISOR).saturating_add(1)
    }

    /// [`TimeBounds::max_idle`] extended for the drift of the courier's clock.
    pub fn close_timeout(&self) -> Micros {
        self.max_idle.saturating_add(self.max_idle / CLOCK_DRIFT_DIVISOR).saturating_add(1)
    }

    /// The longest time from the arrival of a recall at a courier until the courier has no more connections than the
    /// recall allows: each call in flight has ended or was aborted, and its connection is closed.
    pub fn recall_time(&self) -> Micros {
        self.max_call.saturating_add(self.close_timeout())
    }
}

impl Tenant {
    /// The weight in millionths, at least 1, because the division computes with integers.
    pub fn weight_millionths(&self) -> u64 {
        ((self.weight * 1e6).round() as u64).max(1)
    }
}
