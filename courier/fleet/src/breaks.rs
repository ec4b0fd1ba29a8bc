//! Deliberate faults in the fleet's code, behind the feature `breaks`: the tests have to find each. No release build has
//! them.

/// Defines `on` and `set` for an enumeration of faults. At most one fault is on, for the thread that set it, so that
/// parallel tests don't interfere; without the feature `breaks` none ever is.
macro_rules! switch {
    ($Break:ty) => {
        #[cfg(feature = "breaks")]
        thread_local! {
            static CHOSEN: std::cell::Cell<Option<$Break>> = const { std::cell::Cell::new(None) };
        }

        /// Whether this fault is on.
        #[cfg(feature = "breaks")]
        pub fn on(one: $Break) -> bool {
            CHOSEN.get() == Some(one)
        }

        /// Always false: this build has no faults.
        #[cfg(not(feature = "breaks"))]
        #[inline(always)]
        pub const fn on(_: $Break) -> bool {
            false
        }

        /// Switches one fault on, or all off, for this thread.
        #[cfg(feature = "breaks")]
        pub fn set(one: Option<$Break>) {
            CHOSEN.set(one);
        }
    };
}
pub(crate) use switch;

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Break {
    /// A replica accepts records of an owner whose journal is sealed.
    SealIgnored,
    /// What is written counts before any replica has it.
    ReplicatedAtOnce,
    /// A partition is used before the fleet has agreed on its adoption.
    AdoptedAtOnce,
    /// A member acts without a lease.
    LeaseIgnored,
    /// A new leader considers members gone at once.
    NoGrace,
    /// A replica that returns with an empty folder counts as up to date.
    EmptyReplicaTrusted,
}

switch!(Break);
