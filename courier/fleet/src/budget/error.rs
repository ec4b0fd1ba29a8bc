//! What can be wrong with the section `fleet.budgets` of the operator file.

/// One thing that is wrong, with the member's path, what it is and what to do.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BudgetProblem {
    #[error("{path}: {dest} has a budget at {first} already; keep one of the two")]
    DestTwice { path: String, first: String, dest: u64 },
    #[error("{path}: a budget of 0 connections lets nothing through; say 1 or more, or take the entry out")]
    NoConnections { path: String },
    #[error("{path}: {what} is 0, so a connection's end has no bound; say the longest that it takes")]
    NoBound { path: String, what: &'static str },
    #[error("{path}: calls and their span are said together or not at all; add the other, above 0")]
    CallsWithoutSpan { path: String },
    #[error("{path}: tenant {name:?} is at {first} already; keep one of the two")]
    TenantTwice { path: String, first: String, name: String },
    #[error("{path}: a tenant without a name can't be told from others; name it as X-Account does")]
    NoName { path: String },
    #[error("{path}: {weight} is no weight for tenant {name:?}; say 0.000001 to 1000000, 1 if in doubt")]
    Weight { path: String, name: String, weight: f64 },
    #[error(
        "{path}: tenant {name:?} has ceiling {ceiling} under floor {floor}; raise the one or lower the other"
    )]
    CeilingBelowFloor { path: String, name: String, ceiling: u32, floor: u32 },
    #[error("{path}: tenant {name:?} has ceiling 0 and could send nothing; say 1 or more, or leave it out")]
    ZeroCeiling { path: String, name: String },
    #[error(
        "{path}: the floors of {dest} add up to {sum} of its {connections} connections ({tenants} of \
         tenants, and {courier_floor} for each of {couriers} couriers); lower floors or raise connections"
    )]
    Floors {
        path: String,
        dest: u64,
        sum: u64,
        connections: u32,
        tenants: u64,
        courier_floor: u32,
        couriers: usize,
    },
    #[error("{path}: {count} {what} are more than the {most} that are kept; leave some out")]
    TooMany { path: String, what: &'static str, count: usize, most: usize },
}
