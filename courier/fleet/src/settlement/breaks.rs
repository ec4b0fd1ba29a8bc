//! Deliberate faults in the settlement code, behind the feature `breaks`. A test run with each of them enabled shows
//! that the tests detect it. Without the feature all of them are disabled at compile time.

quillmount_breaks::breaks! {
    for each thread:
    /// One deliberate fault of the settlement code.
    pub enum Break {
        /// Repeats a non-idempotent message whose earlier attempt may have run.
        RepeatNonIdempotent,
        /// Closes a settlement in session mode before the partner has confirmed the closing.
        CloseUnconfirmed,
        /// Skips a missing position instead of waiting for it.
        SkipMissing,
        /// Sends the positions that follow a break.
        SendAfterBreak,
        /// Sends a position before its record is in the journal.
        SendUnwritten,
        /// Lets a new owner open a session while the session of the lost owner may still be open.
        SkipLinger,
        /// Makes a new owner treat an attempt that was in flight as one that never ran.
        InFlightNeverRan,
        /// Lets an owner continue to send after it has proposed a move and before the move is committed.
        ContinueDuringMove,
        /// Acknowledges a submission before its record is in the journal.
        ReplyUnwritten,
    }
}
