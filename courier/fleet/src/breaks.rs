//! Deliberate bugs in the fleet's code, with which the tests prove that they can fail. Only builds with the feature
//! `breaks` contain them; release builds never do.

quillmount_breaks::breaks! {
    for each thread:
    /// A deliberate bug in replication, leases or takeovers.
    pub enum Break {
        /// A replica accepts records of a journal after it was sealed.
        SealIgnored,
        /// Written records count as replicated before any replica has them.
        ReplicatedAtOnce,
        /// A member processes a partition before the fleet has committed its adoption.
        AdoptedAtOnce,
        /// A member accepts messages and starts calls without a lease.
        LeaseIgnored,
        /// A new leader deregisters members without waiting for the duration of a lease.
        NoGrace,
        /// A replica counts as caught up although its courier has restarted with an empty data directory.
        EmptyReplicaTrusted,
    }
}
