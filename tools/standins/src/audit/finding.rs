//! Findings of the auditor, with their evidence.

use super::ObservedCall;
use quillmount_policy::Micros;
use std::fmt;

/// A call, as evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEvidence {
    /// The courier that made it.
    pub courier: usize,
    /// The number of its connection.
    pub connection: u64,
    /// When its head was received.
    pub began: Micros,
    /// Whether it ran, or may have.
    pub ran: bool,
    /// When it was answered, and with which status.
    pub answered: Option<(Micros, u16)>,
}

impl CallEvidence {
    pub(super) fn of(observed: &ObservedCall) -> CallEvidence {
        let ObservedCall { courier, connection, began, ran, answered, .. } = *observed;
        CallEvidence { courier, connection, began, ran, answered }
    }
}

impl fmt::Display for CallEvidence {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let CallEvidence { courier, connection, began, ran, answered } = self;
        write!(f, "call of courier {courier} on connection {connection} at {began}")?;
        match answered {
            Some((at, status)) => write!(f, ", answered {status} at {at}")?,
            None => write!(f, ", not answered")?,
        }
        write!(f, "{}", if *ran { "" } else { ", not run" })
    }
}

/// A rule that was broken. Times are Unix times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Finding {
    /// An accepted message has no end, and its time is up.
    #[error(
        "{id}: courier {courier} took it on at {accepted}; its time was up at {deadline}, and it has no end"
    )]
    Lost {
        /// The message.
        id: String,
        /// The courier, by its number.
        courier: usize,
        /// When the message was accepted.
        accepted: Micros,
        /// When its time was up.
        deadline: Micros,
    },
    /// An accepted message has no end, and no journal has it.
    #[error("{id}: courier {courier} took it on at {accepted}; it has no end, and no journal tells of it")]
    Forgotten {
        /// The message.
        id: String,
        /// The courier, by its number.
        courier: usize,
        /// When the message was accepted.
        accepted: Micros,
    },
    /// Calls or notices of a message that no client submitted.
    #[error("{id}: nobody handed it in, and there were {calls} calls and {notices} notices of it")]
    Unknown {
        /// The message.
        id: String,
        /// Number of calls.
        calls: usize,
        /// Number of notices.
        notices: usize,
    },
    /// Calls or notices of a message that was rejected.
    #[error("{id}: refused with {status}, and there were {calls} calls and {notices} notices of it")]
    RefusedButEnded {
        /// The message.
        id: String,
        /// The status that was reported.
        status: u16,
        /// Number of calls.
        calls: usize,
        /// Number of notices.
        notices: usize,
    },
    /// A client was answered that its message is delivered, without a 200 of a partner.
    #[error("{id}: courier {courier} told its consumer that it is delivered, and no partner answered 200")]
    NotDelivered {
        /// The message.
        id: String,
        /// The courier, by its number.
        courier: usize,
    },
    /// Two notices of a message differ.
    #[error("{id}: the platform was told {first:?} and then {second:?}, by couriers {couriers:?}")]
    ConflictingNotices {
        /// The message.
        id: String,
        /// The first of the two.
        first: String,
        /// The second of the two.
        second: String,
        /// The couriers, by their numbers.
        couriers: (usize, usize),
    },
    /// A notice about a message that was delivered.
    #[error("{id}: delivered by a {call}, and the platform was told {status:?} at {notified_at}")]
    EndedTwice {
        /// The message.
        id: String,
        /// The call.
        call: CallEvidence,
        /// The status that was reported.
        status: String,
        /// When the platform received the notice.
        notified_at: Micros,
    },
    /// A call went to a partner of another destination.
    #[error("{id}: a {call}, for destination {dest}, went to another's partner")]
    WrongPartner {
        /// The message.
        id: String,
        /// The call.
        call: CallEvidence,
        /// The destination of the message.
        dest: u64,
    },
    /// A call has another idempotency key than its message.
    #[error("{id}: a {call} had the key {was:?} in the place of {key:?}")]
    KeyChanged {
        /// The message.
        id: String,
        /// The call.
        call: CallEvidence,
        /// The key of the message.
        key: Option<String>,
        /// The key of the call.
        was: Option<String>,
    },
    /// A call has another body than its message.
    #[error("{id}: a {call} had another body than was handed in")]
    BodyChanged {
        /// The message.
        id: String,
        /// The call.
        call: CallEvidence,
    },
    /// A call came after the deadline of its message.
    #[error("{id}: a {call} came after its time was up at {deadline}")]
    CalledLate {
        /// The message.
        id: String,
        /// The call.
        call: CallEvidence,
        /// When its time was up.
        deadline: Micros,
    },
    /// A call came after the notice of the end of its message.
    #[error("{id}: a {call} came after the platform was told {status:?} at {notified_at}")]
    CalledAfterEnd {
        /// The message.
        id: String,
        /// The call.
        call: CallEvidence,
        /// The status that was reported.
        status: String,
        /// When the platform received the notice.
        notified_at: Micros,
    },
    /// A message that may run once only ran twice.
    #[error("{id}: run again, which it must not be: first a {first}, then a {repeat}")]
    RanTwice {
        /// The message.
        id: String,
        /// The first of the two.
        first: CallEvidence,
        /// The second of the two.
        repeat: CallEvidence,
    },
    /// A message was repeated after the span of its key.
    #[error(
        "{id}: repeated after {after} us, beyond its span of {span} us: first a {first}, then a {repeat}"
    )]
    RepeatedLate {
        /// The message.
        id: String,
        /// The first of the two.
        first: CallEvidence,
        /// The second of the two.
        repeat: CallEvidence,
        /// What it came after.
        after: Micros,
        /// The span of the key.
        span: Micros,
    },
    /// A courier made a call after its journal was sealed by others.
    #[error("{id}: a {call} came after its book was sealed at {sealed}; the copies knew of {known}")]
    SentAfterSeal {
        /// The message.
        id: String,
        /// The call.
        call: CallEvidence,
        /// When the journal was sealed.
        sealed: Micros,
        /// Attempts that the replicas knew of.
        known: usize,
    },
    /// A partner had more connections than its budget.
    #[error("partner {partner}: {open} connections at {at}, where {most} are allowed")]
    BudgetExceeded {
        /// The partner, by its number.
        partner: usize,
        /// When.
        at: Micros,
        /// Connections that were open.
        open: usize,
        /// Connections that were allowed.
        most: usize,
    },
    /// A journal ends in a record that is not sound.
    #[error("journal of courier {courier}: sound for {sound} of {len} bytes")]
    TornRecord {
        /// The courier, by its number.
        courier: usize,
        /// Bytes up to the last sound record.
        sound: usize,
        /// Bytes of the journal.
        len: usize,
    },
    /// A courier made calls that are not in its journal.
    #[error("{id}: courier {courier} made {calls} calls and wrote {written} of them down")]
    NotWritten {
        /// The message.
        id: String,
        /// The courier, by its number.
        courier: usize,
        /// Number of calls.
        calls: usize,
        /// Calls in the journal.
        written: usize,
    },
    /// Several couriers owe the same message.
    #[error("{id}: owed by couriers {couriers:?} at once")]
    OwedTwice {
        /// The message.
        id: String,
        /// The couriers, by their numbers.
        couriers: Vec<usize>,
    },
    /// A journal has an attempt after the end of its message.
    #[error("{id}: courier {courier} wrote down an attempt after its end, at byte {byte} of its journal")]
    WrittenAfterEnd {
        /// The message.
        id: String,
        /// The courier, by its number.
        courier: usize,
        /// Offset in the journal.
        byte: usize,
    },
    /// A journal has an attempt after one that may have run, where that is not allowed.
    #[error("{id}: courier {courier} wrote down another attempt after one that may have run, at byte {byte}")]
    WrittenTwice {
        /// The message.
        id: String,
        /// The courier, by its number.
        courier: usize,
        /// Offset in the journal.
        byte: usize,
    },
    /// A settlement is not complete or not in order.
    #[error("settlement {settlement}: {fault}")]
    Settlement {
        /// The settlement.
        settlement: String,
        /// What is wrong with it.
        fault: SettlementFault,
    },
}

/// What is wrong with a settlement.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettlementFault {
    /// A position came after a later one.
    #[error("position {position} came at {at}, after position {after}")]
    OutOfOrder {
        /// The position, from 1.
        position: u32,
        /// What it came after.
        after: u32,
        /// When.
        at: Micros,
    },
    /// A position came, and one before it never did.
    #[error("position {position} came at {at}, and position {missing} never came before it")]
    Hole {
        /// The position, from 1.
        position: u32,
        /// The position that is missing.
        missing: u32,
        /// When.
        at: Micros,
    },
    /// A position ran twice.
    #[error("position {position} was run twice, at {first} and at {repeat}")]
    Twice {
        /// The position, from 1.
        position: u32,
        /// The first of the two.
        first: Micros,
        /// The second of the two.
        repeat: Micros,
    },
    /// A position came after the break of the settlement.
    #[error("broken at {broken}, and position {position} came at {at}")]
    AfterBreak {
        /// The position of the break.
        broken: u32,
        /// The position, from 1.
        position: u32,
        /// When.
        at: Micros,
    },
    /// A position before the break did not run.
    #[error("broken at {broken}, and position {missing} before it was not run")]
    BrokenEarlier {
        /// The position of the break.
        broken: u32,
        /// The position that is missing.
        missing: u32,
    },
    /// The settlement was closed before all positions had run.
    #[error("closed with {of}, of which {had} were run")]
    ClosedShort {
        /// The number of positions.
        of: u32,
        /// Positions that have run.
        had: u32,
    },
    /// A position is greater than the number of positions.
    #[error("position {position} is beyond the {of} that its closing tells of")]
    Beyond {
        /// The position, from 1.
        position: u32,
        /// The number of positions.
        of: u32,
    },
    /// A notice about a message that was delivered.
    #[error("it ended as {first} and as {second}")]
    EndedTwice {
        /// The first of the two.
        first: String,
        /// The second of the two.
        second: String,
    },
    /// Two sessions of one settlement were open at once.
    #[error("on connections {first} and {second} at once, from {at} on")]
    TwoSessions {
        /// The first of the two.
        first: u64,
        /// The second of the two.
        second: u64,
        /// When.
        at: Micros,
    },
}
