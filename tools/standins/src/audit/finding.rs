//! What the auditor found, with its evidence.

use super::ObservedCall;
use quillmount_policy::Micros;
use std::fmt;

/// A call, as evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEvidence {
    pub courier: usize,
    pub connection: u64,
    pub began: Micros,
    pub ran: bool,
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

/// A rule that was broken. Times are Unix microseconds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Finding {
    #[error(
        "{id}: courier {courier} took it on at {taken}; its time was up at {deadline}, and it has no end"
    )]
    Lost { id: String, courier: usize, taken: Micros, deadline: Micros },
    #[error("{id}: courier {courier} took it on at {taken}; it has no end, and no journal tells of it")]
    Forgotten { id: String, courier: usize, taken: Micros },
    #[error("{id}: nobody handed it in, and there were {calls} calls and {notices} notices of it")]
    Unknown { id: String, calls: usize, notices: usize },
    #[error("{id}: refused with {status}, and there were {calls} calls and {notices} notices of it")]
    RefusedButEnded { id: String, status: u16, calls: usize, notices: usize },
    #[error("{id}: courier {courier} told its consumer that it is delivered, and no partner answered 200")]
    NotDelivered { id: String, courier: usize },
    #[error("{id}: the platform was told {first:?} and then {second:?}, by couriers {couriers:?}")]
    ConflictingNotices { id: String, first: String, second: String, couriers: (usize, usize) },
    #[error("{id}: delivered by a {call}, and the platform was told {status:?} at {notified_at}")]
    EndedTwice { id: String, call: CallEvidence, status: String, notified_at: Micros },
    #[error("{id}: a {call}, for destination {dest}, went to another's partner")]
    WrongPartner { id: String, call: CallEvidence, dest: u64 },
    #[error("{id}: a {call} had the key {was:?} in the place of {key:?}")]
    KeyChanged { id: String, call: CallEvidence, key: Option<String>, was: Option<String> },
    #[error("{id}: a {call} had another body than was handed in")]
    BodyChanged { id: String, call: CallEvidence },
    #[error("{id}: a {call} came after its time was up at {deadline}")]
    CalledLate { id: String, call: CallEvidence, deadline: Micros },
    #[error("{id}: a {call} came after the platform was told {status:?} at {notified_at}")]
    CalledAfterEnd { id: String, call: CallEvidence, status: String, notified_at: Micros },
    #[error("{id}: run again, which it must not be: first a {first}, then a {repeat}")]
    RanTwice { id: String, first: CallEvidence, repeat: CallEvidence },
    #[error(
        "{id}: repeated after {after} us, beyond its span of {span} us: first a {first}, then a {repeat}"
    )]
    RepeatedLate { id: String, first: CallEvidence, repeat: CallEvidence, after: Micros, span: Micros },
    #[error("{id}: a {call} came after its book was sealed at {sealed}; the copies knew of {known}")]
    SentAfterSeal { id: String, call: CallEvidence, sealed: Micros, known: usize },
    #[error("partner {partner}: {open} connections at {at}, where {most} are allowed")]
    BudgetExceeded { partner: usize, at: Micros, open: usize, most: usize },
    #[error("journal of courier {courier}: sound for {sound} of {len} bytes")]
    TornRecord { courier: usize, sound: usize, len: usize },
    #[error("{id}: courier {courier} made {calls} calls and wrote {written} of them down")]
    NotWritten { id: String, courier: usize, calls: usize, written: usize },
    #[error("{id}: owed by couriers {couriers:?} at once")]
    OwedTwice { id: String, couriers: Vec<usize> },
    #[error("{id}: courier {courier} wrote down an attempt after its end, at byte {byte} of its journal")]
    WrittenAfterEnd { id: String, courier: usize, byte: usize },
    #[error("{id}: courier {courier} wrote down another attempt after one that may have run, at byte {byte}")]
    WrittenTwice { id: String, courier: usize, byte: usize },
    #[error("settlement {settlement}: {fault}")]
    Settlement { settlement: String, fault: SettlementFault },
}

/// What is wrong with a settlement.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettlementFault {
    #[error("position {position} came at {at}, after position {after}")]
    OutOfOrder { position: u32, after: u32, at: Micros },
    #[error("position {position} came at {at}, and position {missing} never came before it")]
    Hole { position: u32, missing: u32, at: Micros },
    #[error("position {position} was run twice, at {first} and at {repeat}")]
    Twice { position: u32, first: Micros, repeat: Micros },
    #[error("broken at {broken}, and position {position} came at {at}")]
    AfterBreak { broken: u32, position: u32, at: Micros },
    #[error("broken at {broken}, and position {missing} before it was not run")]
    BrokenEarlier { broken: u32, missing: u32 },
    #[error("closed with {of}, of which {had} were run")]
    ClosedShort { of: u32, had: u32 },
    #[error("position {position} is beyond the {of} that its closing tells of")]
    Beyond { position: u32, of: u32 },
    #[error("it ended as {first} and as {second}")]
    EndedTwice { first: String, second: String },
    #[error("on connections {first} and {second} at once, from {at} on")]
    TwoSessions { first: u64, second: u64, at: Micros },
}
