//! Deliberate faults in the budget code, behind the feature `breaks`: the simulation has to detect each of them. At
//! most one fault is enabled, and only for the thread that enabled it, so that parallel tests don't interfere.

quillmount_breaks::breaks! {
    for each thread:
    /// A deliberate fault in the budget code.
    pub enum Break {
        /// A share is raised without a check of the free capacity.
        CapacityIgnored,
        /// A recall takes effect when it is committed, before the courier has confirmed it.
        RecallUnconfirmed,
        /// Closing connections are left out of the count of open connections.
        ClosingUncounted,
        /// A courier continues to use its grants after its lease has expired.
        LeaseIgnored,
        /// The shares of a courier are freed as soon as its lease has lapsed, without the drain time.
        LapseFreesAtOnce,
        /// A process uses its floor at once, although connections of an earlier process may still be open.
        FloorTooSoon,
        /// A confirmation of an earlier recall is accepted for the current one.
        NumberIgnored,
        /// The division ignores the floors of tenants.
        FloorForgotten,
        /// A tenant without a connection never becomes overdue and accumulates no credit.
        TurnsForgotten,
    }
}
