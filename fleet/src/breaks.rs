//! Deliberate breaks of the fleet's code, each of which the tests have to find; no release build has them.

/// What is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Break {
    /// A copy takes records of an owner whose book is sealed.
    SealIgnored,
    /// What is written counts before any copy has it.
    SafeAtOnce,
    /// A part is gone on with before the fleet has agreed that it is taken.
    TakenAtOnce,
    /// A member acts without a lease.
    LeaseIgnored,
    /// A new leader counts members as gone at once.
    NoGrace,
    /// A copy that came back with an empty folder counts as in step.
    EmptyCopyKept,
}

#[cfg(feature = "breaks")]
thread_local! {
    static BROKEN: std::cell::Cell<Option<Break>> = const { std::cell::Cell::new(None) };
}

/// Breaks this from here on, in this thread.
#[cfg(feature = "breaks")]
pub fn set(broken: Option<Break>) {
    BROKEN.set(broken);
}

#[cfg(feature = "breaks")]
pub fn on(what: Break) -> bool {
    BROKEN.get() == Some(what)
}

#[cfg(not(feature = "breaks"))]
pub const fn on(_: Break) -> bool {
    false
}
