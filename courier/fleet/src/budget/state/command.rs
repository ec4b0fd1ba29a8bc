//! The commands to the agreed state of budgets, and what they lead to. Encoded by position: variants and fields keep
//! their order.

use serde::{Deserialize, Serialize};

/// One change. Any may be repeated, late or lost; only [`BudgetCommand::Expired`] and [`BudgetCommand::Aged`] have to be
/// true when they are proposed, which time alone decides: proposed late they are still true.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BudgetCommand {
    /// A partner's budget as it is configured now; rejected if the floors don't fit in. A courier's floor is never
    /// lowered, and a raised one counts as soon as there is capacity for it.
    Budget {
        /// The partner.
        dest: u64,
        /// Connections of the whole fleet at once, at most.
        connections: u32,
        /// The floor of each courier.
        floor: u32,
        /// The couriers that have a floor.
        couriers: Vec<String>,
    },
    /// A courier is a member with a new epoch; its shares under earlier ones continue to count beside.
    Joined {
        /// The courier's name.
        courier: String,
        /// The new epoch.
        epoch: u64,
    },
    /// A courier's lease has lapsed: nothing more is granted to it under this epoch.
    Lapsed {
        /// The courier's name.
        courier: String,
        /// The epoch of the lease.
        epoch: u64,
    },
    /// Proposed [`TimeBounds::drain_time`](crate::budget::TimeBounds::drain_time) after `Lapsed` was observed: nothing is
    /// open any more under this epoch or earlier ones but the floor, which the courier may still use.
    Expired {
        /// The courier's name.
        courier: String,
        /// The epoch that has lapsed.
        epoch: u64,
    },
    /// Proposed [`TimeBounds::drain_time`](crate::budget::TimeBounds::drain_time) after `Joined` was observed: earlier
    /// processes of the courier have nothing open, not even of the floor. Or sooner, when a courier that continues as
    /// the same process reports that all it has open is within its shares under this epoch.
    Aged {
        /// The courier's name.
        courier: String,
        /// Its present epoch.
        epoch: u64,
    },
    /// The courier reports that it has nothing open and begins nothing more: a planned stop. The next process of its
    /// name need not wait for the drain time.
    Left {
        /// The courier's name.
        courier: String,
        /// Its present epoch.
        epoch: u64,
    },
    /// A partner has no budget any more; its connections are not counted.
    Ended {
        /// The partner.
        dest: u64,
    },
    /// The operator has removed a courier that has lapsed and expired: its floor is free.
    Removed {
        /// The courier's name.
        courier: String,
    },
    /// A courier's share for a tenant: raised from now on as far as there is capacity, or lowered once the courier has
    /// confirmed that.
    Set {
        /// The partner.
        dest: u64,
        /// The tenant's name.
        tenant: String,
        /// The courier's name.
        courier: String,
        /// Its present epoch.
        epoch: u64,
        /// The connections that it is to have.
        to: u32,
    },
    /// A courier confirms a recall: it has at most `to` connections open and begins none beyond what it was recalled to.
    Released {
        /// The partner.
        dest: u64,
        /// The tenant's name.
        tenant: String,
        /// The courier's name.
        courier: String,
        /// The epoch of the share.
        epoch: u64,
        /// The number of the recall.
        number: u64,
        /// The connections that still count.
        to: u32,
    },
}

/// What a command led to, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetEvent {
    /// A share was raised.
    Granted {
        /// The partner.
        dest: u64,
        /// The tenant's name.
        tenant: String,
        /// The courier's name.
        courier: String,
        /// The connections of the share.
        to: u32,
    },
    /// A share is to be lowered.
    Recalled {
        /// The partner.
        dest: u64,
        /// The tenant's name.
        tenant: String,
        /// The courier's name.
        courier: String,
        /// The connections that it is lowered to.
        to: u32,
        /// The number of the recall.
        number: u64,
    },
    /// Connections of a courier count no longer.
    Freed {
        /// The partner.
        dest: u64,
        /// The courier's name.
        courier: String,
        /// How many.
        connections: u32,
    },
    /// A partner's budget was set.
    Budget {
        /// The partner.
        dest: u64,
        /// Connections of the whole fleet at once, at most.
        connections: u32,
    },
    /// A courier is a member with a new epoch.
    Joined {
        /// The courier's name.
        courier: String,
        /// The new epoch.
        epoch: u64,
    },
    /// A courier's lease has lapsed, or it has left.
    Lapsed {
        /// The courier's name.
        courier: String,
        /// The epoch of the lease.
        epoch: u64,
    },
    /// Nothing was changed.
    Rejected {
        /// Why.
        reason: BudgetRejection,
    },
}

/// Why a command changed nothing, with what to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetRejection {
    /// The couriers' floors are more than the budget.
    #[error(
        "the couriers' floors at {dest} are {floors}, over its {connections} connections; lower them first"
    )]
    Floors {
        /// The partner.
        dest: u64,
        /// The sum of the floors.
        floors: u64,
        /// The budget.
        connections: u32,
    },
    /// The partner has no budget.
    #[error("no budget is known for {dest}; add it to fleet.budgets")]
    NoBudget {
        /// The partner.
        dest: u64,
    },
    /// The command names an epoch that is not the courier's present one, or has lapsed.
    #[error(
        "the command names an epoch that has ended; the courier has nothing under it and has to register again"
    )]
    Epoch,
    /// The whole budget is granted.
    #[error("all connections of {dest} are granted; they become free as couriers release them")]
    NoCapacity {
        /// The partner.
        dest: u64,
    },
    /// A confirmation names a recall that was replaced.
    #[error("the recall that it answers was replaced by another; the courier confirms that one next")]
    Number,
    /// The courier to remove has not lapsed and expired.
    #[error("the courier has not lapsed and expired; stop it and wait until it has")]
    StillActive,
}
