//! Deliberate breaks of the code, each behind the feature `breaks`: the exploration proves with them that
//! it can fail. Without the feature every one of them is off at compile time.

macro_rules! breaks {
    ($($name:ident: $text:literal, $about:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Break { $($name),* }

        /// Each break's name, and what it does.
        pub const ALL: &[(&str, &str)] = &[$(($text, $about)),*];

        #[cfg(feature = "breaks")]
        const NUMBERED: &[Break] = &[$(Break::$name),*];
    };
}

breaks! {
    RetryAfterReset: "retry-after-reset", "a reset counts as a call that never ran";
    RetryAfterTimeout: "retry-after-timeout", "a time-out counts as a call that never ran";
}

#[cfg(feature = "breaks")]
static CHOSEN: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(usize::MAX);

/// Whether this break is on; the whole process has one at most.
#[cfg(feature = "breaks")]
pub fn on(one: Break) -> bool {
    let n = CHOSEN.load(std::sync::atomic::Ordering::Relaxed);
    NUMBERED.get(n) == Some(&one)
}

/// Never: this build has no breaks.
#[cfg(not(feature = "breaks"))]
#[inline(always)]
pub const fn on(_: Break) -> bool {
    false
}

/// Puts a break on, for the whole process.
///
/// # Errors
/// No break has the name, or this build has none.
pub fn set(name: &str) -> Result<(), String> {
    let Some(n) = ALL.iter().position(|(one, _)| *one == name) else {
        return Err(format!("no break is named {name:?}"));
    };
    #[cfg(feature = "breaks")]
    CHOSEN.store(n, std::sync::atomic::Ordering::Relaxed);
    #[cfg(not(feature = "breaks"))]
    let _ = n;
    if cfg!(feature = "breaks") { Ok(()) } else { Err("this program was built without breaks".into()) }
}
