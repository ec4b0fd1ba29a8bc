//! Deliberate faults in the budgets' code, behind the feature `breaks`: with them the simulation proves that it can
//! fail. At most one is on, for the thread that set it, so that parallel tests don't interfere.

quillmount_breaks::breaks! {
    for each thread:
    /// A deliberate fault.
    pub enum Break {
        /// A raise is committed without capacity for it.
        CapacityIgnored,
        /// A recall counts as met as soon as it is committed.
        RecallUnconfirmed,
        /// A closing connection no longer counts.
        ClosingUncounted,
        /// A courier continues to use its grants after its lease.
        LeaseIgnored,
        /// The shares of a lapsed courier are free at once.
        LapseFreesAtOnce,
        /// A process uses its floor at once, though connections of an earlier process may be open.
        FloorTooSoon,
        /// A confirmation of an earlier recall counts for the present one.
        NumberIgnored,
        /// A tenant's floor is divided like anything else.
        FloorForgotten,
        /// A tenant without a connection is never overdue and gathers no credit.
        TurnsForgotten,
    }
}
