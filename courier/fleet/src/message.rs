//! Messages between the couriers of a fleet. Any of them may be lost, duplicated, late or reordered.
//!
//! They are encoded by postcard, which goes by position: fields and variants must not be reordered. The forms of a
//! version are fixed by `tests/stored_forms/`.

use crate::NodeId;
use crate::budget::Report;
use crate::config::Name;
use crate::settlement;
use crate::shares::BudgetKind;
use crate::state::{Epoch, FleetCommand, JournalId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum length of an encoded envelope in bytes: a page of a journal and what goes with it.
pub const MAX_ENVELOPE_BYTES: usize = 1 << 20;
/// Maximum bytes of a journal in one message.
pub const PAGE_BYTES: usize = 256 << 10;

/// Messages that one courier sends to another at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Name,
    /// The receiver.
    pub to: Name,
    /// The sender's id in the agreement.
    pub node_id: NodeId,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<FleetMessage>,
}

/// Why an envelope can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    /// It is longer than [`MAX_ENVELOPE_BYTES`]; the value is its length.
    #[error(
        "{0} bytes, where {MAX_ENVELOPE_BYTES} are the most: is a courier of another version in the fleet?"
    )]
    TooLong(usize),
    /// It is not in the form of this version.
    #[error(
        "not of this version ({0}): start the couriers of a fleet with the same version, one after the other"
    )]
    Malformed(#[from] postcard::Error),
}

impl Envelope {
    /// Encodes the envelope.
    pub fn encode(&self) -> Vec<u8> {
        // postcard fails only for sequences of unknown length, and there is none here.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    /// It is too long, or not in the form of this version.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(EnvelopeError::TooLong(bytes.len()));
        }
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// How far a replica is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPosition {
    /// The generation of the journal that it has. A new one begins with each compaction.
    pub generation: u64,
    /// Bytes of that generation.
    pub len: u64,
}

/// A message between two couriers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// A greeting of a courier that is not registered yet.
    Hello {
        /// Whether its folder knows of no fleet.
        fresh: bool,
    },
    /// The reply to a greeting.
    HelloReply {
        /// Whether the sender's folder knows of no fleet.
        fresh: bool,
    },
    /// A message of the agreement.
    Agreement(Bytes),
    /// To the leader: a command that the sender wants to be committed.
    Propose(FleetCommand),
    /// To the leader: the sender renews its lease.
    RenewLease {
        /// The sender's registration.
        epoch: Epoch,
        /// The sender's number of the renewal.
        ticket: u64,
    },
    /// From the leader: the renewal is granted.
    LeaseGranted {
        /// The receiver's registration.
        epoch: Epoch,
        /// The receiver's number of the renewal.
        ticket: u64,
    },
    /// Bytes of the sender's journal, for its replica.
    Append {
        /// The journal.
        journal: JournalId,
        /// Its generation.
        generation: u64,
        /// Length in bytes from which the generation is complete, so that it may replace the one before.
        complete_len: u64,
        /// Offset of the bytes in the generation.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The replica's store has all bytes up to here.
    AppendAck {
        /// The journal.
        journal: JournalId,
        /// What of it counts.
        position: ReplicaPosition,
        /// What the replica has of a generation that is not complete yet.
        staged: ReplicaPosition,
    },
    /// A courier that takes over a sealed journal reads its replica.
    Fetch {
        /// The journal.
        journal: JournalId,
        /// Offset in bytes from which it is to be sent.
        offset: u64,
    },
    /// The reply to a fetch.
    Page {
        /// The journal.
        journal: JournalId,
        /// Offset of the bytes in the replica.
        offset: u64,
        /// Length of the replica in bytes.
        total: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The reply to a fetch of a courier that has no replica of the journal.
    UnknownJournal {
        /// The journal.
        journal: JournalId,
    },
    /// To the leader: the sender's use of partners' budgets, and its demand.
    BudgetReport(BudgetKind, Report),
    /// A message to or from the owner of a settlement.
    Settlement {
        /// The message.
        message: Box<settlement::SettlementMessage>,
        /// What the sender has of the body, with a message that is forwarded to the owner.
        payload: Bytes,
    },
}
