//! Deliberate faults behind the feature `breaks`. State-space explorations and tests enable one to prove that they
//! detect it. Without the feature all of them are disabled at compile time.

pub use quillmount_breaks::BreakError;

quillmount_breaks::breaks! {
    for the process:
    /// A deliberate fault; its documentation says what the code does while it is enabled.
    pub enum Break {
        RetryAfterReset: "retry-after-reset", "a reset counts as a call that never ran";
        RetryAfterGiveUp: "retry-after-give-up", "a cancelled call counts as one that never ran";
        RefuseDebit: "refuse-debit", "a debit that may have run is rejected as safe to submit again";
        RetryAtSpanEnd: "span-by-one", "a retry may be sent one microsecond after the end of the deduplication span";
        RetryAfterSpan: "repeat-late", "a retry may connect and be written after the end of the deduplication span";
        AnswerLate: "answer-late", "a message expires 400 ms after its deadline";
        SlotTooMany: "slot-too-many", "one more call is in flight than there are slots";
        AttemptTooMany: "attempt-too-many", "one more attempt is made than the limit allows";
        IgnoreDrain: "ignore-drain", "a draining endpoint counts as ready";
        IgnoreWait: "ignore-wait", "a wait that a receiver requested delays no call";
        WriteOnInWait: "write-on-in-wait", "writing of a call continues when its receiver requests a wait";
        SendAfterEnd: "send-after-end", "a call that has not been written is still sent after its message has ended";
        AnswerUnread: "answer-unread", "a cancelled call closes its connection at once, before the answer is read";
        LastByteEarly: "last-byte-early", "the last byte of a streamed body is sent before its digest is known";
        ForgetDisconnected: "deaf-forgotten", "the end of a stream whose client has disconnected is never reported";
        HalfSentNeverRan: "half-sent-never-ran", "a half-sent stream counts as a call that never ran";
        RetryAfterCommit: "committed-again", "a stream whose body is no longer completely buffered gets another attempt";
        IgnoreStreamShare: "share-ignored", "streams start beyond their share of slots and windows";
        IgnoreStreamWait: "pause-ignored", "sending of a half-sent stream continues while its destination has requested a wait";
        LostWake: "lost-wake", "a step at the time of a wake-up hides the next one";
        KeepBrokenConnection: "keep-spoilt", "a connection is reused after an incomplete answer";
        PoolLeak: "pool-leak", "a call that timed out or was cancelled counts in the connection pool permanently";
        AcceptTwice: "take-on-twice", "a message id that still awaits its result is accepted again";
        ForgetCompleted: "forget-over", "the ids of completed messages are not remembered";
        AcceptUnwritten: "take-on-unwritten", "202 is answered without a record when the journal write fails";
        AttemptUnwritten: "attempt-unwritten", "a call is sent before its record is written";
        OutcomeNever: "outcome-never", "every outcome is recorded as proof that the call never ran";
        ForgetPastAttempts: "forget-past", "a restart forgets the attempts of an earlier process";
        ForgetEnd: "forget-end", "a restart restores messages that have already ended";
        EndUnwritten: "end-unwritten", "the end of a message is reported although its record was not written";
        KeepTornRecord: "torn-kept", "a torn record stays in the journal and hides the records written after it";
        SendNoticeOnce: "notice-once", "a notice is sent only once, even if it is not confirmed";
        HeldBackLost: "held-back-lost", "the end of a call that was not sent because its record could not be written is never reported";
    }
}
