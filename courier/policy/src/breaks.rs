//! Deliberate faults in the code, each behind the feature `breaks`: explorations and tests prove with them that they can
//! fail. Without the feature every one of them is off at compile time.

macro_rules! breaks {
    ($($name:ident: $text:literal, $about:literal;)*) => {
        /// A deliberate fault; its documentation says what the code does while it is enabled.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Break {
            $(#[doc = $about] $name),*
        }

        /// The name of each break on the command line, and what the code does while it is enabled.
        pub const ALL: &[(&str, &str)] = &[$(($text, $about)),*];

        #[cfg(feature = "breaks")]
        const NUMBERED: &[Break] = &[$(Break::$name),*];
    };
}

breaks! {
    RetryAfterReset: "retry-after-reset", "a reset counts as a call that never ran";
    RetryAfterGiveUp: "retry-after-give-up", "a call that was given up counts as one that never ran";
    RefuseDebit: "refuse-debit", "a debit that may have run is deferred";
    RetryAtSpanEnd: "span-by-one", "a repeat may go out a microsecond after its key's span";
    RetryAfterSpan: "repeat-late", "a repeat may connect and be written after its key's span";
    AnswerLate: "answer-late", "a message is given up 400 ms after its time";
    SlotTooMany: "slot-too-many", "one call more than there are slots";
    AttemptTooMany: "attempt-too-many", "one attempt more than there may be";
    IgnoreDrain: "ignore-drain", "a provider that drains counts as ready";
    IgnoreWait: "ignore-wait", "a told wait holds nothing back";
    WriteOnInWait: "write-on-in-wait", "a call that is being written goes on when a wait is told";
    SendAfterEnd: "send-after-end", "a call that has not left goes on when its message has ended";
    AnswerUnread: "answer-unread", "a call that is given up closes its connection at once";
    LastByteEarly: "last-byte-early", "the last byte of a streamed body leaves before its digest is known";
    ForgetDisconnected: "deaf-forgotten", "the end of a stream whose consumer has gone is told to nobody";
    HalfSentNeverRan: "half-sent-never-ran", "a half-sent stream counts as a call that never ran";
    RetryAfterCommit: "committed-again", "a stream of which a part is gone has another attempt";
    IgnoreStreamShare: "share-ignored", "streams begin beyond their share of slots and windows";
    IgnoreStreamPause: "pause-ignored", "a half-sent stream goes on while its destination waits";
    LostWake: "lost-wake", "a step at the time of a wake-up hides the next one";
    KeepSpoilt: "keep-spoilt", "a connection is kept after an answer that broke off";
    PoolLeak: "pool-leak", "a call that was given up counts in the pool for good";
    TakeOnTwice: "take-on-twice", "an id that is owed is taken on once more";
    ForgetCompleted: "forget-over", "an id that is over is not remembered";
    TakeOnUnwritten: "take-on-unwritten", "202 without a record, where the disk refuses it";
    AttemptUnwritten: "attempt-unwritten", "a call leaves before its record is written";
    OutcomeNever: "outcome-never", "every outcome is noted as proof that the call never ran";
    ForgetPast: "forget-past", "a restart forgets the attempts of an earlier life";
    ForgetEnd: "forget-end", "a restart takes up what has ended";
    EndUnwritten: "end-unwritten", "an end is told though its record was refused";
    KeepTornRecord: "torn-kept", "a torn record stays, and hides what is written behind it";
    NoticeOnce: "notice-once", "a notice is sent once, confirmed or not";
    HeldBackLost: "held-back-lost", "a call without a record is never reported";
}

#[cfg(feature = "breaks")]
static CHOSEN: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(usize::MAX);

/// Whether this break is enabled; the whole process has one at most.
#[cfg(feature = "breaks")]
pub fn is_enabled(chosen: Break) -> bool {
    let n = CHOSEN.load(std::sync::atomic::Ordering::Relaxed);
    NUMBERED.get(n) == Some(&chosen)
}

/// False: this build has no breaks.
#[cfg(not(feature = "breaks"))]
#[inline(always)]
pub const fn is_enabled(_: Break) -> bool {
    false
}

/// Why a break cannot be enabled.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BreakError {
    /// No break has this name.
    #[error("no break is named {0:?}")]
    UnknownName(String),
    /// The feature `breaks` is off.
    #[error("this program was built without breaks")]
    NotBuilt,
}

/// Enables a break by its name, for the whole process, in place of an earlier one.
///
/// # Errors
/// No break has the name, or this build has none.
pub fn enable(name: &str) -> Result<(), BreakError> {
    let index = ALL.iter().position(|(known, _)| *known == name);
    let index = index.ok_or_else(|| BreakError::UnknownName(name.to_string()))?;
    choose(index)
}

#[cfg(feature = "breaks")]
fn choose(index: usize) -> Result<(), BreakError> {
    CHOSEN.store(index, std::sync::atomic::Ordering::Relaxed);
    Ok(())
}

#[cfg(not(feature = "breaks"))]
fn choose(_: usize) -> Result<(), BreakError> {
    Err(BreakError::NotBuilt)
}

/// Disables every break.
pub fn disable() {
    #[cfg(feature = "breaks")]
    CHOSEN.store(usize::MAX, std::sync::atomic::Ordering::Relaxed);
}
