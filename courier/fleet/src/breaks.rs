//! Deliberate faults in the fleet's code, by which the tests prove that they can fail. Only builds with the feature
//! `breaks` have them, and no release build does.

/// Defines the switch of an enumeration of faults: `on` says whether one is enabled, `set` enables one or none. At most
/// one is enabled, for the thread that enabled it, so that tests can run in parallel. Without the feature `breaks` none
/// ever is.
macro_rules! switch {
    ($Break:ty) => {
        #[cfg(feature = "breaks")]
        thread_local! {
            static CHOSEN: std::cell::Cell<Option<$Break>> = const { std::cell::Cell::new(None) };
        }

        /// Whether this fault is enabled in this thread.
        #[cfg(feature = "breaks")]
        pub fn on(one: $Break) -> bool {
            CHOSEN.get() == Some(one)
        }

        /// Never: this build has no deliberate faults.
        #[cfg(not(feature = "breaks"))]
        #[inline(always)]
        pub const fn on(_: $Break) -> bool {
            false
        }

        /// Enables a fault, or none, for this thread.
        #[cfg(feature = "breaks")]
        pub fn set(one: Option<$Break>) {
            CHOSEN.set(one);
        }
    };
}
pub(crate) use switch;

/// The deliberate faults in replication, leases and takeovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
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

switch!(Break);
