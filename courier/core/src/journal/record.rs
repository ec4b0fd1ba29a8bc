//! The stored form of the journal. All types here are encoded by position: see the [module](super).

use crate::Ending;
use bytes::Bytes;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};

/// One record of the journal. All times are Unix time in microseconds, so that they stay valid across a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRecord {
    /// A message was accepted; from here on it is owed an end.
    Accept {
        /// The number under which later records name the message.
        msg: MsgId,
        /// The message.
        taken: AcceptedMessage,
    },
    /// An attempt, as earlier versions recorded it; now [`JournalRecord::Sent`]. The zone's number has no meaning under
    /// other settings and is not used.
    Attempt {
        /// The message.
        msg: MsgId,
        /// The number of the endpoint's zone under the settings of that time.
        zone: u32,
        /// When the attempt began.
        sent: Micros,
    },
    /// An attempt that was not a delivery has ended.
    Outcome {
        /// The message.
        msg: MsgId,
        /// The index of the attempt among the message's attempts in the journal, from 0.
        attempt: u32,
        /// The outcome proves that the attempt had no effect.
        never_ran: bool,
    },
    /// The message has its end.
    End {
        /// The message.
        msg: MsgId,
        /// The end; any but `Delivered` is owed to the platform as a notice.
        end: End,
    },
    /// The platform has confirmed the notice of the message's end.
    Confirmed {
        /// The message.
        msg: MsgId,
    },
    /// The end of a message that is no longer owed, remembered so that a repeated submission gets the same answer.
    Ended {
        /// The message's id.
        id: String,
        /// Its end.
        end: End,
        /// When the end may be forgotten: the message's deadline.
        until: Micros,
    },
    /// A streamed message was accepted. Its body is not in the journal, so no later process can send it.
    Stream {
        /// The number under which later records name the message.
        msg: MsgId,
        /// The message, without its body.
        taken: AcceptedMessage,
    },
    /// Operators have disabled this endpoint.
    Disable {
        /// The endpoint's id.
        id: String,
    },
    /// Operators have enabled this endpoint.
    Enable {
        /// The endpoint's id.
        id: String,
    },
    /// The last record of a replica of another courier's journal: its owner writes no more of it.
    Sealed,
    /// The message comes from another courier's journal, and the fleet has not decided yet whether this courier owns it.
    From {
        /// The message.
        msg: MsgId,
        /// The journal that it comes from.
        source: Source,
    },
    /// The fleet has decided who owns the messages and lines of this source.
    Settled {
        /// The source.
        source: Source,
        /// This courier owns it; otherwise it is dropped here.
        accepted: bool,
    },
    /// A line about a settlement of which this courier is the owner.
    Settlement {
        /// The settlement's id.
        of: String,
        /// The line.
        line: SettlementLine,
    },
    /// All lines about a settlement are obsolete.
    SettlementEnded {
        /// The settlement's id.
        of: String,
    },
    /// An attempt begins; written before its first byte leaves.
    Sent {
        /// The message.
        msg: MsgId,
        /// When the attempt began.
        sent: Micros,
        /// What a repeat of it may do.
        effect: RepeatEffect,
    },
}

/// The effect that a repeat of an attempt may have, by the settings under which it was sent: a later process may have others. Zones
/// are named, since their numbers depend on the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatEffect {
    /// The message is idempotent.
    Safe,
    /// Repeats are dropped by a key for a while.
    Keyed {
        /// For how long repeats are dropped, in microseconds.
        span: Micros,
        /// Repeats are dropped by the endpoints of this zone only; `None`: by all endpoints.
        zone: Option<String>,
    },
    /// A repeat may have a second effect.
    Unsafe,
}

/// A line about a settlement, as far as the journal interprets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettlementLine {
    /// The destination of the settlement.
    pub dest: u64,
    /// The line replaces all earlier ones.
    pub first: bool,
    /// The line in the encoding of the fleet's settlement log.
    pub bytes: Bytes,
    /// The line comes from another courier's journal, and the fleet has not decided yet who owns it.
    pub source: Option<Source>,
}

/// The source of a message: one partition of the journal of a courier that is lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The name of the courier that owned the journal.
    pub owner: String,
    /// The epoch of the owner's registration in its fleet.
    pub epoch: u64,
    /// The partition.
    pub part: u32,
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{} part {}", self.owner, self.epoch, self.part)
    }
}

/// A message as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The client's id of the message.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// When its time is up.
    pub deadline: Micros,
    /// Its body.
    pub body: Bytes,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It was delivered.
    Delivered,
    /// It was not delivered, and may have had an effect.
    Undeliverable,
    /// It had no effect and may be submitted again.
    Deferred {
        /// After so long, in microseconds.
        after: Micros,
    },
}

impl From<Ending> for End {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Undeliverable => End::Undeliverable,
            Ending::Deferred(after) => End::Deferred { after },
        }
    }
}
