//! Deliberate breaks of the fleet's code, each of which the tests have to find; no release build has them.

/// The switch for one enumeration of breaks: `on` says whether one is on, `set` puts it on, or all off. One at most is on, for
/// the thread that put it on, so that tests side by side don't meet; without the feature `breaks` none ever is.
macro_rules! switch {
    ($Break:ty) => {
        #[cfg(feature = "breaks")]
        thread_local! {
            static CHOSEN: std::cell::Cell<Option<$Break>> = const { std::cell::Cell::new(None) };
        }

        /// Whether this break is on.
        #[cfg(feature = "breaks")]
        pub fn on(one: $Break) -> bool {
            CHOSEN.get() == Some(one)
        }

        /// Never: this build has no breaks.
        #[cfg(not(feature = "breaks"))]
        #[inline(always)]
        pub const fn on(_: $Break) -> bool {
            false
        }

        /// Puts a break on, or all off, for this thread.
        #[cfg(feature = "breaks")]
        pub fn set(one: Option<$Break>) {
            CHOSEN.set(one);
        }
    };
}
pub(crate) use switch;

/// What is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Break {
    /// A copy takes records of an owner whose book is sealed.
    SealIgnored,
    /// What is written counts before any copy has it.
    ReplicatedAtOnce,
    /// A part is gone on with before the fleet has agreed that it is taken.
    AdoptedAtOnce,
    /// A member acts without a lease.
    LeaseIgnored,
    /// A new leader counts members as gone at once.
    NoGrace,
    /// A copy that came back with an empty folder counts as in step.
    EmptyReplicaTrusted,
}

switch!(Break);
