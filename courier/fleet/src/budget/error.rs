//! Problems in the section `fleet.budgets` of the operator file, with messages for operators.

/// One problem of the section. The message has the JSON path of the field, the cause and the remedy.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BudgetProblem {
    /// Two entries configure a budget for the same partner.
    #[error("{path}: destination {dest} already has a budget at {first}; remove one of the two entries")]
    DuplicateDest {
        /// The JSON path of the later entry's `dest`.
        path: String,
        /// The JSON path of the first entry for this partner.
        first: String,
        /// The destination id of the partner.
        dest: u64,
    },
    /// A budget of 0 connections.
    #[error("{path}: a budget of 0 connections blocks all calls; set 1 or more, or remove the entry")]
    NoConnections {
        /// The JSON path of the field `connections`.
        path: String,
    },
    /// One of `calls` and `span_ms` is missing or 0 while the other is set.
    #[error("{path}: a rate limit needs both calls and span_ms; set both above 0, or remove both")]
    IncompleteRateLimit {
        /// The JSON path of the missing or zero field.
        path: String,
    },
    /// A budget configures the same tenant twice.
    #[error("{path}: tenant {tenant:?} is already configured at {first}; remove one of the two entries")]
    DuplicateTenant {
        /// The JSON path of the later entry's `name`.
        path: String,
        /// The JSON path of the first entry for this tenant.
        first: String,
        /// The tenant's name.
        tenant: String,
    },
    /// The name of a tenant is empty.
    #[error("{path}: the tenant's name is empty; set the name that its calls send in X-Account")]
    MissingName {
        /// The JSON path of the tenant's `name`.
        path: String,
    },
    /// A weight outside the valid range, or not a number.
    #[error(
        "{path}: weight {weight} of tenant {tenant:?} is out of range; set 0.000001 to 1000000 (1 is the default)"
    )]
    InvalidWeight {
        /// The JSON path of the tenant's `weight`.
        path: String,
        /// The tenant's name.
        tenant: String,
        /// The weight as configured.
        weight: f64,
    },
    /// A tenant's ceiling is lower than its floor.
    #[error(
        "{path}: ceiling {ceiling} of tenant {tenant:?} is below its floor {floor}; raise it or lower the floor"
    )]
    CeilingBelowFloor {
        /// The JSON path of the tenant's `ceiling`.
        path: String,
        /// The tenant's name.
        tenant: String,
        /// The tenant's ceiling, in connections.
        ceiling: u32,
        /// The tenant's floor, in connections.
        floor: u32,
    },
    /// A tenant's ceiling is 0.
    #[error("{path}: ceiling 0 blocks all calls of tenant {tenant:?}; set 1 or more, or remove the ceiling")]
    ZeroCeiling {
        /// The JSON path of the tenant's `ceiling`.
        path: String,
        /// The tenant's name.
        tenant: String,
    },
    /// The floors of tenants and couriers add up to more connections than the budget has.
    #[error(
        "{path}: the floors of destination {dest} add up to {sum}, more than its {connections} connections \
         ({tenant_floors} for tenants, and {courier_floor} for each of {couriers} couriers); lower the floors \
         or raise connections"
    )]
    FloorsExceedBudget {
        /// The JSON path of the budget's `tenants`.
        path: String,
        /// The destination id of the partner.
        dest: u64,
        /// The sum of all floors, in connections.
        sum: u64,
        /// The connections of the budget.
        connections: u32,
        /// The sum of the tenants' floors, in connections.
        tenant_floors: u64,
        /// The floor of each courier, in connections.
        courier_floor: u32,
        /// The number of couriers in the fleet.
        couriers: usize,
    },
    /// More budgets or tenants than the limit.
    #[error("{path}: {count} {kind} exceed the limit of {limit}; remove some entries")]
    TooMany {
        /// The JSON path of the list.
        path: String,
        /// The kind of the entries: "budgets" or "tenants".
        kind: &'static str,
        /// The number of configured entries.
        count: usize,
        /// The highest number of entries that is accepted.
        limit: usize,
    },
}
