//! Messages between the couriers of a fleet. Any message may be lost, duplicated, delayed or reordered.
//!
//! Messages are encoded by postcard, which identifies fields and variants by position: they must not be reordered. The
//! tests in `tests/stored_forms/` fix the encoding.

use crate::NodeId;
use crate::budget::Report;
use crate::config::Name;
use crate::settlement;
use crate::shares::BudgetKind;
use crate::state::{Epoch, FleetCommand, JournalId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum length of an encoded envelope in bytes. A page of a journal and the other messages of an envelope fit.
pub const MAX_ENVELOPE_BYTES: usize = 1 << 20;
/// Maximum number of journal bytes in one message.
pub const PAGE_BYTES: usize = 256 << 10;

/// Messages that one courier sends to another in one transfer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The name of the sending courier.
    pub from: Name,
    /// The name of the receiving courier.
    pub to: Name,
    /// The sender's id in the Raft group.
    pub node_id: NodeId,
    /// The messages in the order in which they were sent.
    pub messages: Vec<FleetMessage>,
}

/// Why an envelope can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    /// The envelope exceeds [`MAX_ENVELOPE_BYTES`]; the value is its length in bytes.
    #[error(
        "an envelope of {0} bytes exceeds the maximum of {MAX_ENVELOPE_BYTES}; run the same version on all couriers"
    )]
    TooLong(usize),
    /// The envelope is not encoded in the format of this version.
    #[error(
        "an envelope can't be decoded ({0}); run the same version on all couriers, restarting one after the other"
    )]
    Malformed(#[from] postcard::Error),
}

impl Envelope {
    /// Encodes the envelope by postcard.
    pub fn encode(&self) -> Vec<u8> {
        // postcard fails only for sequences of unknown length, which an envelope does not contain.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes an envelope that was encoded by [`Envelope::encode`].
    ///
    /// # Errors
    /// The envelope is too long, or not encoded in the format of this version.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(EnvelopeError::TooLong(bytes.len()));
        }
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// The progress of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPosition {
    /// The generation of the journal that the replica stores. Each compaction starts a new generation.
    pub generation: u64,
    /// Number of bytes of that generation.
    pub len: u64,
}

/// A message between two couriers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// A courier that is not registered yet announces itself.
    Hello {
        /// Whether the sender's data directory belongs to no fleet.
        fresh: bool,
    },
    /// The reply to [`FleetMessage::Hello`].
    HelloReply {
        /// Whether the sender's data directory belongs to no fleet.
        fresh: bool,
    },
    /// An encoded Raft message of the [`agreement`](crate::agreement).
    Agreement(Bytes),
    /// To the leader: a command that the sender proposes.
    Propose(FleetCommand),
    /// To the leader: the sender renews its lease.
    RenewLease {
        /// The epoch of the sender's registration.
        epoch: Epoch,
        /// The number that the sender has given to the renewal.
        ticket: u64,
    },
    /// From the leader: the renewal is granted.
    LeaseGranted {
        /// The epoch of the receiver's registration.
        epoch: Epoch,
        /// The number that the receiver has given to the renewal.
        ticket: u64,
    },
    /// From the owner of a journal to a replica: bytes of the journal.
    Append {
        /// The sender's journal.
        journal: JournalId,
        /// The journal's generation, which grows with each compaction.
        generation: u64,
        /// Length in bytes at which the generation is complete, so that it may replace the previous one.
        complete_len: u64,
        /// Offset of `bytes` in the generation.
        offset: u64,
        /// At most [`PAGE_BYTES`] of the journal.
        bytes: Bytes,
    },
    /// From a replica to the journal's owner: all bytes up to the positions are stored.
    AppendAck {
        /// The replicated journal.
        journal: JournalId,
        /// The position in the replica's valid generation.
        position: ReplicaPosition,
        /// The position in a generation that is not complete yet.
        staged: ReplicaPosition,
    },
    /// From a courier that takes over a sealed journal to a replica: requests a page.
    Fetch {
        /// The sealed journal.
        journal: JournalId,
        /// Offset in bytes at which the page starts.
        offset: u64,
    },
    /// The reply to [`FleetMessage::Fetch`].
    Page {
        /// The sealed journal.
        journal: JournalId,
        /// Offset of `bytes` in the replica.
        offset: u64,
        /// Total length of the replica in bytes.
        total: u64,
        /// At most [`PAGE_BYTES`] of the replica.
        bytes: Bytes,
    },
    /// The reply to [`FleetMessage::Fetch`] of a courier that has no replica of the journal.
    UnknownJournal {
        /// The requested journal.
        journal: JournalId,
    },
    /// To the leader: the sender's use of partners' budgets and its demand.
    BudgetReport(BudgetKind, Report),
    /// A message to or from the owner of a settlement.
    Settlement {
        /// The request or reply.
        message: Box<settlement::SettlementMessage>,
        /// The message body, if the message is forwarded to the owner and the sender has the body; otherwise empty.
        payload: Bytes,
    },
}
