//! Deliberate faults in the code, each behind the feature `breaks`: explorations and tests prove with them that they can
//! fail. Without the feature every one of them is off at compile time.

pub use quillmount_breaks::BreakError;

quillmount_breaks::breaks! {
    for the process:
    /// A deliberate fault; its documentation says what the code does while it is enabled.
    pub enum Break {
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
}
