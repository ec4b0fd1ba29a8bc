//! What can be wrong with the section `fleet.budgets` of the operator file, in texts for operators.

/// One problem: the JSON path of the member, what is wrong and what to do.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BudgetProblem {
    /// A partner has two budgets.
    #[error("{path}: {dest} has a budget at {first} already; keep one of the two")]
    DestTwice {
        /// The path of the member.
        path: String,
        /// The path of the first.
        first: String,
        /// The partner.
        dest: u64,
    },
    /// A budget of 0 connections.
    #[error("{path}: a budget of 0 connections lets nothing through; say 1 or more, or take the entry out")]
    NoConnections {
        /// The path of the member.
        path: String,
    },
    /// Calls without a span, or a span without calls.
    #[error("{path}: calls and their span are said together or not at all; add the other, above 0")]
    CallsWithoutSpan {
        /// The path of the member.
        path: String,
    },
    /// A budget names a tenant twice.
    #[error("{path}: tenant {name:?} is at {first} already; keep one of the two")]
    TenantTwice {
        /// The path of the member.
        path: String,
        /// The path of the first.
        first: String,
        /// The tenant's name.
        name: String,
    },
    /// A tenant without a name.
    #[error("{path}: a tenant without a name can't be told from others; name it as X-Account does")]
    NoName {
        /// The path of the member.
        path: String,
    },
    /// A weight outside of the allowed range.
    #[error("{path}: {weight} is no weight for tenant {name:?}; say 0.000001 to 1000000, 1 if in doubt")]
    Weight {
        /// The path of the member.
        path: String,
        /// The tenant's name.
        name: String,
        /// The weight.
        weight: f64,
    },
    /// A tenant's ceiling is less than its floor.
    #[error(
        "{path}: tenant {name:?} has ceiling {ceiling} under floor {floor}; raise the one or lower the other"
    )]
    CeilingBelowFloor {
        /// The path of the member.
        path: String,
        /// The tenant's name.
        name: String,
        /// Its ceiling.
        ceiling: u32,
        /// Its floor.
        floor: u32,
    },
    /// A tenant's ceiling is 0.
    #[error("{path}: tenant {name:?} has ceiling 0 and could send nothing; say 1 or more, or leave it out")]
    ZeroCeiling {
        /// The path of the member.
        path: String,
        /// The tenant's name.
        name: String,
    },
    /// The floors are more than the budget.
    #[error(
        "{path}: the floors of {dest} add up to {sum} of its {connections} connections ({tenants} of \
         tenants, and {courier_floor} for each of {couriers} couriers); lower floors or raise connections"
    )]
    Floors {
        /// The path of the member.
        path: String,
        /// The partner.
        dest: u64,
        /// The sum of all floors.
        sum: u64,
        /// The budget.
        connections: u32,
        /// The sum of the tenants' floors.
        tenants: u64,
        /// The floor of each courier.
        courier_floor: u32,
        /// The number of couriers.
        couriers: usize,
    },
    /// Too many budgets or tenants.
    #[error("{path}: {count} {what} are more than the {most} that are kept; leave some out")]
    TooMany {
        /// The path of the member.
        path: String,
        /// Which of them.
        what: &'static str,
        /// How many there are.
        count: usize,
        /// How many there may be.
        most: usize,
    },
}
