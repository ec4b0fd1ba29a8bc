//! Deliberate faults in the code of the data plane, for the proof that the tests detect them; no release build has them.

quillmount_breaks::breaks! {
    for each thread:
    /// A fault that can be switched on.
    pub enum Break {
        /// A newer configuration counts as in force, and requests go by the routes of the one before.
        RoutesOutdated,
        /// An endpoint that drains gets requests as any other.
        DrainingEndpointOpen,
    }
}
