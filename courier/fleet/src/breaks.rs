//! Deliberate faults in the fleet's code, by which the tests prove that they can fail. Only builds with the feature
//! `breaks` have them, and no release build does.

quillmount_breaks::breaks! {
    for each thread:
    /// The deliberate faults in replication, leases and takeovers.
    pub enum Break {
        /// A replica accepts records of an owner whose journal is sealed.
        SealIgnored,
        /// What is written counts as replicated before any replica has it.
        ReplicatedAtOnce,
        /// A member acts on a partition before the fleet has committed its adoption.
        AdoptedAtOnce,
        /// A member acts without a lease.
        LeaseIgnored,
        /// A new leader counts members as gone without waiting for the length of a lease.
        NoGrace,
        /// A replica whose courier came back with an empty folder counts as caught up.
        EmptyReplicaTrusted,
    }
}
