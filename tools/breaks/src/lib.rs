//! Switches for deliberate breaks of the code: faults that tests enable to prove that they detect them.
//!
//! A package lists its breaks in a module `breaks` with the macro [`breaks!`], asks at the place of each one whether it is
//! enabled, and has a feature `breaks`. Without that feature no break can be enabled: the question is a constant `false`,
//! and the compiler removes what depends on it.

/// Why a break cannot be enabled by its name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BreakError {
    /// No break has this name.
    #[error("no break is named {0:?}")]
    UnknownName(String),
    /// The feature `breaks` is off.
    #[error("this program was built without breaks")]
    NotBuilt,
}

/// Defines an enumeration of breaks, the list `ALL` of them, and the functions that enable one and ask for it. At most one
/// break of an enumeration is enabled.
///
/// - `for each thread:` the functions are `is_enabled` and `set`. A break is enabled for the thread that enabled it, so that tests
///   in parallel do not interfere.
/// - `for the process:` the functions are `is_enabled`, `enable` and `disable`. A break is enabled for all threads, and has a
///   name for the command line and a text that says what the code does while it is enabled; `ALL` lists both.
#[macro_export]
macro_rules! breaks {
    (
        for each thread:
        $(#[$about:meta])*
        pub enum $Break:ident {
            $($(#[$break_about:meta])* $name:ident,)+
        }
    ) => {
        $(#[$about])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $Break {
            $($(#[$break_about])* $name,)+
        }

        /// Every break.
        pub const ALL: &[$Break] = &[$($Break::$name),+];

        #[cfg(feature = "breaks")]
        ::std::thread_local! {
            static ENABLED: ::std::cell::Cell<Option<$Break>> = const { ::std::cell::Cell::new(None) };
        }

        /// Whether this break is enabled for this thread.
        #[cfg(feature = "breaks")]
        pub fn is_enabled(one: $Break) -> bool {
            ENABLED.get() == Some(one)
        }

        /// False: this build has no breaks.
        #[cfg(not(feature = "breaks"))]
        #[inline(always)]
        pub const fn is_enabled(_: $Break) -> bool {
            false
        }

        /// Enables a break, or none, for this thread, in place of an earlier one.
        #[cfg(feature = "breaks")]
        pub fn set(one: Option<$Break>) {
            ENABLED.set(one);
        }
    };
    (
        for the process:
        $(#[$about:meta])*
        pub enum $Break:ident {
            $($name:ident: $text:literal, $break_about:literal;)+
        }
    ) => {
        $(#[$about])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $Break {
            $(#[doc = $break_about] $name,)+
        }

        /// The name of each break on the command line, and what the code does while it is enabled.
        pub const ALL: &[(&str, &str)] = &[$(($text, $break_about)),+];

        /// The discriminant of the enabled break.
        #[cfg(feature = "breaks")]
        static ENABLED: ::std::sync::atomic::AtomicUsize = ::std::sync::atomic::AtomicUsize::new(usize::MAX);

        /// Whether this break is enabled; the process has one at most.
        #[cfg(feature = "breaks")]
        pub fn is_enabled(one: $Break) -> bool {
            ENABLED.load(::std::sync::atomic::Ordering::Relaxed) == one as usize
        }

        /// False: this build has no breaks.
        #[cfg(not(feature = "breaks"))]
        #[inline(always)]
        pub const fn is_enabled(_: $Break) -> bool {
            false
        }

        /// Enables a break by its name, for the process, in place of an earlier one.
        ///
        /// # Errors
        /// No break has the name, or this build has none.
        pub fn enable(name: &str) -> Result<(), $crate::BreakError> {
            // The breaks are numbered in the order of the list.
            let number = ALL.iter().position(|(known, _)| *known == name);
            enable_number(number.ok_or_else(|| $crate::BreakError::UnknownName(name.to_owned()))?)
        }

        #[cfg(feature = "breaks")]
        fn enable_number(number: usize) -> Result<(), $crate::BreakError> {
            ENABLED.store(number, ::std::sync::atomic::Ordering::Relaxed);
            Ok(())
        }

        #[cfg(not(feature = "breaks"))]
        fn enable_number(_: usize) -> Result<(), $crate::BreakError> {
            Err($crate::BreakError::NotBuilt)
        }

        /// Disables every break.
        pub fn disable() {
            #[cfg(feature = "breaks")]
            ENABLED.store(usize::MAX, ::std::sync::atomic::Ordering::Relaxed);
        }
    };
}
