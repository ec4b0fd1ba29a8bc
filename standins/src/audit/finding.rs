//! What the auditor found, with its evidence.

use super::Seen;
use spurshore::Micros;
use std::fmt;

/// A call, as evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenCall {
    pub courier: usize,
    pub connection: u64,
    pub began: Micros,
    pub ran: bool,
    pub answered: Option<(Micros, u16)>,
}

impl SeenCall {
    pub(super) fn of(seen: &Seen) -> SeenCall {
        let Seen { courier, connection, began, ran, answered, .. } = *seen;
        SeenCall { courier, connection, began, ran, answered }
    }
}

impl fmt::Display for SeenCall {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let SeenCall { courier, connection, began, ran, answered } = self;
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
    ToldTwice { id: String, first: String, second: String, couriers: (usize, usize) },
    #[error("{id}: delivered by a {call}, and the platform was told {status:?} at {told}")]
    EndedTwice { id: String, call: SeenCall, status: String, told: Micros },
    #[error("{id}: a {call}, for destination {dest}, went to another's partner")]
    WrongPartner { id: String, call: SeenCall, dest: u64 },
    #[error("{id}: a {call} had the key {was:?} in the place of {key:?}")]
    KeyChanged { id: String, call: SeenCall, key: Option<String>, was: Option<String> },
    #[error("{id}: a {call} had another body than was handed in")]
    BodyChanged { id: String, call: SeenCall },
    #[error("{id}: a {call} came after its time was up at {deadline}")]
    CalledLate { id: String, call: SeenCall, deadline: Micros },
    #[error("{id}: a {call} came after the platform was told {status:?} at {told}")]
    CalledAfterEnd { id: String, call: SeenCall, status: String, told: Micros },
    #[error("{id}: run again, which it must not be: first a {first}, then a {again}")]
    RanTwice { id: String, first: SeenCall, again: SeenCall },
    #[error("{id}: repeated after {after} us, beyond its span of {span} us: first a {first}, then a {again}")]
    RepeatedLate { id: String, first: SeenCall, again: SeenCall, after: Micros, span: Micros },
    #[error("{id}: a {call} came after its book was sealed at {sealed}; the copies knew of {known}")]
    SentAfterSeal { id: String, call: SeenCall, sealed: Micros, known: usize },
    #[error("partner {partner}: {open} connections at {at}, where {most} are allowed")]
    OverBudget { partner: usize, at: Micros, open: usize, most: usize },
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
    #[error("position {position} was run twice, at {first} and at {again}")]
    Twice { position: u32, first: Micros, again: Micros },
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
