//! The switch for deliberate breaks, which tests put on to show that they are found; no release build has them.

/// Makes `on` and `set` for one enumeration of breaks. One at most is on, for the thread that put it on, so that tests side by
/// side don't meet; where the crate that calls this lacks the feature `breaks`, none ever is.
#[macro_export]
macro_rules! break_switch {
    ($Break:ty) => {
        #[cfg(feature = "breaks")]
        thread_local! {
            static CHOSEN: std::cell::Cell<Option<$Break>> = const { std::cell::Cell::new(None) };
        }

        /// Whether this break is on, for this thread.
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
