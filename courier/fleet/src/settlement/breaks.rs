//! Deliberate faults in the settlements' code, behind the feature `breaks`: with them the tests prove that they can
//! fail. Without the feature each is off at compile time.

quillmount_breaks::breaks! {
    for each thread:
    /// A deliberate fault.
    pub enum Break {
        /// A message that may have run and is not idempotent is sent again.
        DebitRepeated,
        /// A session's settlement counts as closed before the partner has confirmed it.
        ClosedEarly,
        /// A missing position is skipped.
        SkipHole,
        /// Positions after a break are sent.
        AfterBreak,
        /// A position is sent before its record is in the journal.
        SendUnwritten,
        /// A new owner opens its session without waiting for the lost owner's to end.
        NoLinger,
        /// A new owner counts an attempt that was in flight as one that never ran.
        OutNeverRan,
        /// An owner that proposed a move continues while it is being agreed on.
        ReleaseInMove,
        /// A submission is acknowledged before its record is in the journal.
        ReplyUnwritten,
    }
}
