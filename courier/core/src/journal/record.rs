//! The stored form of the journal. All types in this module are encoded by position, see the [parent module](super).

use crate::Ending;
use bytes::Bytes;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};

/// One record of the journal. All times are Unix time in microseconds, so that they stay valid across a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRecord {
    /// A message was accepted. From this record on it is owed an end.
    Accept {
        /// The number by which later records refer to the message.
        msg: MsgId,
        /// The accepted message with its body.
        message: AcceptedMessage,
    },
    /// An attempt as earlier versions recorded it; replaced by [`JournalRecord::Sent`]. The zone's number has no
    /// meaning under other settings and is ignored.
    Attempt {
        /// The number of the message.
        msg: MsgId,
        /// The number of the endpoint's zone under the settings of that process.
        zone: u32,
        /// Start of the attempt.
        sent_at: Micros,
    },
    /// An attempt has ended without delivering the message.
    Outcome {
        /// The number of the message.
        msg: MsgId,
        /// The index of the attempt among the message's attempts in the journal, from 0.
        attempt: u32,
        /// Whether the outcome proves that the attempt had no effect.
        never_ran: bool,
    },
    /// The message has ended.
    End {
        /// The number of the message.
        msg: MsgId,
        /// The message's end. All ends except `Delivered` are reported to the platform in a notice.
        end: End,
    },
    /// The platform has confirmed the notice of the message's end.
    Confirmed {
        /// The number of the message.
        msg: MsgId,
    },
    /// The end of a completed message, stored so that a repeated submission gets the same answer.
    Ended {
        /// The client's id of the message.
        id: String,
        /// The message's end.
        end: End,
        /// Time from which the end may be forgotten: the message's deadline.
        until: Micros,
    },
    /// A streamed message was accepted. Its body is not in the journal, so no later process can send it.
    Stream {
        /// The number by which later records refer to the message.
        msg: MsgId,
        /// The accepted message, without its body.
        message: AcceptedMessage,
    },
    /// An operator has disabled an endpoint.
    Disable {
        /// The endpoint's id in discovery.
        id: String,
    },
    /// An operator has enabled an endpoint.
    Enable {
        /// The endpoint's id in discovery.
        id: String,
    },
    /// The last record of a replica of another courier's journal: the journal's owner can append nothing to it any
    /// more.
    Sealed,
    /// The message was copied from another courier's journal, and the fleet has not yet decided whether this courier
    /// owns it.
    From {
        /// The number of the message.
        msg: MsgId,
        /// The journal that the message was copied from.
        source: Source,
    },
    /// The fleet has decided which courier owns the messages and settlement lines of a source.
    Settled {
        /// The source that the decision applies to.
        source: Source,
        /// Whether this courier owns the source; otherwise its messages and lines are dropped here.
        accepted: bool,
    },
    /// A line of a settlement that this courier owns.
    Settlement {
        /// The settlement's id.
        settlement_id: String,
        /// The line to add.
        line: SettlementLine,
    },
    /// A settlement has ended, so that all of its lines are obsolete.
    SettlementEnded {
        /// The settlement's id.
        settlement_id: String,
    },
    /// An attempt starts. The record is written before the first byte is sent.
    Sent {
        /// The number of the message.
        msg: MsgId,
        /// Start of the attempt.
        sent_at: Micros,
        /// The effect that a repeat of the attempt may have.
        effect: RepeatEffect,
    },
}

/// The effect that a repeat of an attempt may have under the settings with which it was sent; a later process may have
/// other settings. Zones are stored by name, since their numbers depend on the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatEffect {
    /// The message is idempotent, so that a repeat has no further effect.
    Safe,
    /// The endpoint drops repeats with the same idempotency key for a limited time.
    Keyed {
        /// Time for which repeats are dropped, in microseconds.
        span: Micros,
        /// The only zone whose endpoints drop repeats; `None`: all endpoints do.
        zone: Option<String>,
    },
    /// A repeat may have a second effect.
    Unsafe,
}

/// A line of a settlement, with the fields that the journal interprets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettlementLine {
    /// The id of the settlement's destination.
    pub dest: u64,
    /// Whether the line replaces all earlier lines of the settlement.
    pub first: bool,
    /// The line in the encoding of the fleet's settlement log.
    pub bytes: Bytes,
    /// The journal that the line was copied from, until the fleet has decided which courier owns it.
    pub source: Option<Source>,
}

/// The source of a message: one partition of the journal of a failed courier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The name of the courier that owned the journal.
    pub owner: String,
    /// The epoch of the owner's registration in its fleet.
    pub epoch: u64,
    /// The partition's number within the journal.
    pub part: u32,
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{} part {}", self.owner, self.epoch, self.part)
    }
}

/// A message as a courier accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The client's id of the message.
    pub id: String,
    /// The name of the message's class, since class numbers depend on the settings.
    pub class: String,
    /// The idempotency key, if the message has one.
    pub key: Option<String>,
    /// The id of the destination.
    pub dest: u64,
    /// The deadline for the delivery, in Unix microseconds.
    pub deadline: Micros,
    /// The body; empty if it was streamed.
    pub body: Bytes,
}

/// The end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The message was delivered.
    Delivered,
    /// The message was not delivered and may have had an effect.
    Undeliverable,
    /// The message had no effect and may be submitted again.
    Deferred {
        /// Delay before the next submission, in microseconds; 0: no advice.
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
