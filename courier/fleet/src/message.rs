//! What couriers of a fleet say to each other. Any of it may be lost, come twice, late or in another order.

use crate::NodeId;
use crate::budget::Report;
use crate::config::Name;
use crate::settlement;
use crate::shares::BudgetKind;
use crate::state::{Epoch, FleetCommand, JournalId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// No envelope is longer: a page of a book and what goes beside it.
pub const MAX_ENVELOPE_BYTES: usize = 1 << 20;
/// Bytes of a book that travel in one message.
pub const PAGE_BYTES: usize = 256 << 10;

/// What one courier sends another at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Name,
    pub to: Name,
    pub node_id: NodeId,
    pub messages: Vec<FleetMessage>,
}

/// Why an envelope can't be read.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    #[error(
        "{0} bytes, where {MAX_ENVELOPE_BYTES} are the most: is a courier of another version in the fleet?"
    )]
    TooLong(usize),
    #[error(
        "not of this version ({0}): start the couriers of a fleet with the same version, one after the other"
    )]
    Malformed(#[from] postcard::Error),
}

impl Envelope {
    pub fn encode(&self) -> Vec<u8> {
        // Only a value whose length is not known beforehand can fail, and there is none.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// # Errors
    /// It is too long, or of another form.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(EnvelopeError::TooLong(bytes.len()));
        }
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// How far a copy is: the generation that its store has, and bytes of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPosition {
    pub generation: u64,
    pub len: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Who is there? From one that is no member yet; `fresh`: its folder knows of no fleet.
    Hello {
        fresh: bool,
    },
    /// The answer to it.
    HelloReply {
        fresh: bool,
    },
    /// The agreement's own.
    Agreement(Bytes),
    /// For the leader: this is wanted.
    Propose(FleetCommand),
    /// For the leader: the sender is there.
    RenewLease {
        epoch: Epoch,
        ticket: u64,
    },
    LeaseGranted {
        epoch: Epoch,
        ticket: u64,
    },
    /// Bytes of a book, for its copy. A generation is whole with its first `whole` bytes.
    Append {
        journal: JournalId,
        generation: u64,
        complete_len: u64,
        offset: u64,
        bytes: Bytes,
    },
    /// The copy has all up to there, in its store; `staged`: bytes of a generation that is not whole yet.
    AppendAck {
        journal: JournalId,
        position: ReplicaPosition,
        staged: ReplicaPosition,
    },
    /// The book is sealed; a taker wants its bytes from there on.
    Fetch {
        journal: JournalId,
        offset: u64,
    },
    Page {
        journal: JournalId,
        offset: u64,
        total: u64,
        bytes: Bytes,
    },
    /// The asked has no copy of it.
    UnknownJournal {
        journal: JournalId,
    },
    /// For the leader: what the sender uses and wants of partners' budgets.
    BudgetReport(BudgetKind, Report),
    /// To a settlement's home, or its word; with a message that is handed in goes what the courier has of it.
    Settlement {
        message: Box<settlement::SettlementMessage>,
        payload: Bytes,
    },
}
