//! The commands to the replicated state of budgets, and the events that they cause. The encoding depends on the order
//! of variants and fields, so that must not change.

use serde::{Deserialize, Serialize};

/// One change of the replicated state. Any command may be duplicated, delayed or lost. Only [`BudgetCommand::Expired`]
/// and [`BudgetCommand::Aged`] have to be true when they are proposed. They depend only on elapsed time, so they stay
/// true when they are proposed late.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BudgetCommand {
    /// Sets a partner's budget to the configured one. It is rejected if the floors exceed the budget. A courier's
    /// floor is never lowered, and a raised floor takes effect as soon as there is capacity for it.
    Budget {
        /// The destination id of the partner.
        dest: u64,
        /// The highest number of concurrent connections of the whole fleet.
        connections: u32,
        /// The floor of each courier, in connections.
        floor: u32,
        /// The couriers that have a floor.
        couriers: Vec<String>,
    },
    /// A courier has joined the fleet under a new epoch. Its shares under earlier epochs continue to count in
    /// addition.
    Joined {
        /// The courier's name.
        courier: String,
        /// The new epoch.
        epoch: u64,
    },
    /// A courier's lease has lapsed: it is granted no more connections under this epoch.
    Lapsed {
        /// The courier's name.
        courier: String,
        /// The epoch of the lease.
        epoch: u64,
    },
    /// The shares of a courier under this and earlier epochs have expired. Proposed
    /// [`TimeBounds::drain_time`](crate::budget::TimeBounds::drain_time) after `Lapsed` was observed: by then, only
    /// connections of the floor, which the courier may still use, can be open.
    Expired {
        /// The courier's name.
        courier: String,
        /// The epoch that has lapsed.
        epoch: u64,
    },
    /// Earlier processes of the courier have no connections open, not even those of the floor. Proposed
    /// [`TimeBounds::drain_time`](crate::budget::TimeBounds::drain_time) after `Joined` was observed, or sooner if the
    /// courier continues as the same process and reports that all its open connections fit within its shares under
    /// this epoch.
    Aged {
        /// The courier's name.
        courier: String,
        /// The courier's current epoch.
        epoch: u64,
    },
    /// The courier has stopped as planned: it reports that it has no connections open and opens no more. The next
    /// process with its name need not wait for the drain time.
    Left {
        /// The courier's name.
        courier: String,
        /// The courier's current epoch.
        epoch: u64,
    },
    /// A partner's budget was removed from the configuration; its connections are no longer counted.
    Ended {
        /// The destination id of the partner.
        dest: u64,
    },
    /// The operator has removed a courier that has lapsed and expired; its floor becomes free.
    Removed {
        /// The courier's name.
        courier: String,
    },
    /// Sets the target of a courier's share for a tenant. The share is raised at once as far as there is capacity, or
    /// lowered once the courier has confirmed the recall.
    Set {
        /// The destination id of the partner.
        dest: u64,
        /// The tenant's name.
        tenant: String,
        /// The courier's name.
        courier: String,
        /// The courier's current epoch.
        epoch: u64,
        /// The connections that the share is to have.
        to: u32,
    },
    /// A courier confirms a recall: it has at most `to` connections open for the tenant and opens none beyond the
    /// recalled share.
    Released {
        /// The destination id of the partner.
        dest: u64,
        /// The tenant's name.
        tenant: String,
        /// The courier's name.
        courier: String,
        /// The epoch of the share.
        epoch: u64,
        /// The number of the recall.
        number: u64,
        /// The connections that still count against the share.
        to: u32,
    },
}

/// The effect of a command, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetEvent {
    /// A share was raised.
    Granted {
        /// The destination id of the partner.
        dest: u64,
        /// The tenant's name.
        tenant: String,
        /// The courier's name.
        courier: String,
        /// The connections of the share.
        to: u32,
    },
    /// A share is being recalled, and is lowered once the courier confirms.
    Recalled {
        /// The destination id of the partner.
        dest: u64,
        /// The tenant's name.
        tenant: String,
        /// The courier's name.
        courier: String,
        /// The connections of the lowered share.
        to: u32,
        /// The number of the recall.
        number: u64,
    },
    /// Connections of a courier no longer count and can be granted again.
    Freed {
        /// The destination id of the partner.
        dest: u64,
        /// The courier's name.
        courier: String,
        /// The number of freed connections.
        connections: u32,
    },
    /// A partner's budget was set.
    Budget {
        /// The destination id of the partner.
        dest: u64,
        /// The highest number of concurrent connections of the whole fleet.
        connections: u32,
    },
    /// A courier has joined the fleet under a new epoch.
    Joined {
        /// The courier's name.
        courier: String,
        /// The new epoch.
        epoch: u64,
    },
    /// A courier's lease has lapsed, or the courier has stopped as planned.
    Lapsed {
        /// The courier's name.
        courier: String,
        /// The epoch of the lease.
        epoch: u64,
    },
    /// The command was rejected and changed nothing.
    Rejected {
        /// The reason for the rejection.
        reason: BudgetRejection,
    },
}

/// The reason for which a command was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetRejection {
    /// The couriers' floors add up to more than the budget.
    #[error(
        "the couriers' floors at destination {dest} add up to {floors}, more than its {connections} connections; \
         lower courier_floor or raise connections in fleet.budgets"
    )]
    Floors {
        /// The destination id of the partner.
        dest: u64,
        /// The sum of the floors, in connections.
        floors: u64,
        /// The connections of the budget.
        connections: u32,
    },
    /// The partner has no budget.
    #[error("destination {dest} has no budget; add it to fleet.budgets")]
    NoBudget {
        /// The destination id of the partner.
        dest: u64,
    },
    /// The command names an epoch that is not the courier's current one, or whose lease has lapsed.
    #[error("the command names an epoch that has ended; the courier has to register again under a new epoch")]
    Epoch,
    /// The whole budget is already granted.
    #[error(
        "all connections of destination {dest} are granted; wait until couriers release some, or raise its budget"
    )]
    NoCapacity {
        /// The destination id of the partner.
        dest: u64,
    },
    /// A confirmation names a recall that a newer one has replaced.
    #[error(
        "the confirmed recall was replaced by a newer one; the courier will confirm that one in a later report"
    )]
    Number,
    /// The courier to remove still has a lease or shares.
    #[error("the courier to remove still has a lease or shares; stop it and retry once both have expired")]
    StillActive,
}
