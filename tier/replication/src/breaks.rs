//! The switch for deliberate faults in the code, which tests turn on to prove that they detect them; no release build
//! has it.

/// Defines the functions `on` and `set` for an enumeration of faults.
///
/// At most one fault is on, for the thread that turned it on, so that tests in parallel do not interfere. If the crate
/// that calls this is built without its feature `breaks`, no fault is ever on.
#[macro_export]
macro_rules! break_switch {
    ($Break:ty) => {
        #[cfg(feature = "breaks")]
        thread_local! {
            static CHOSEN: std::cell::Cell<Option<$Break>> = const { std::cell::Cell::new(None) };
        }

        /// Whether this fault is on, for this thread.
        #[cfg(feature = "breaks")]
        pub fn on(one: $Break) -> bool {
            CHOSEN.get() == Some(one)
        }

        /// Whether this fault is on: never, as this build has no faults.
        #[cfg(not(feature = "breaks"))]
        #[inline(always)]
        pub const fn on(_: $Break) -> bool {
            false
        }

        /// Turns a fault on and all others off, for this thread.
        #[cfg(feature = "breaks")]
        pub fn set(one: Option<$Break>) {
            CHOSEN.set(one);
        }
    };
}
