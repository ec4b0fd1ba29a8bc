//! What couriers of a fleet say to each other. Any of it may be lost, come twice, late or in another order.

use crate::Token;
use crate::budget::Report;
use crate::plan::Name;
use crate::settlement;
use crate::shares::Count;
use crate::state::{BookId, Command, Epoch};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// No envelope is longer: a page of a book and what goes beside it.
pub const ENVELOPE_MOST: usize = 1 << 20;
/// Bytes of a book that travel in one message.
pub const PAGE: usize = 256 << 10;

/// What one courier sends another at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Name,
    pub to: Name,
    pub token: Token,
    pub messages: Vec<Message>,
}

/// Why an envelope can't be read.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    #[error("{0} bytes, where {ENVELOPE_MOST} are the most: is a courier of another version in the fleet?")]
    Long(usize),
    #[error(
        "not of this version ({0}): start the couriers of a fleet with the same version, one after the other"
    )]
    Form(#[from] postcard::Error),
}

impl Envelope {
    pub fn encode(&self) -> Vec<u8> {
        // Only a value whose length is not known beforehand can fail, and there is none.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// # Errors
    /// It is too long, or of another form.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        if bytes.len() > ENVELOPE_MOST {
            return Err(EnvelopeError::Long(bytes.len()));
        }
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// How far a copy is: the generation that its store has, and bytes of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub generation: u64,
    pub len: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Who is there? From one that is no member yet; `fresh`: its folder knows of no fleet.
    Hello {
        fresh: bool,
    },
    /// The answer to it.
    Here {
        fresh: bool,
    },
    /// The agreement's own.
    Agree(Bytes),
    /// For the leader: this is wanted.
    Propose(Command),
    /// For the leader: the sender is there.
    Renew {
        epoch: Epoch,
        ticket: u64,
    },
    Granted {
        epoch: Epoch,
        ticket: u64,
    },
    /// Bytes of a book, for its copy. A generation is whole with its first `whole` bytes.
    Append {
        book: BookId,
        generation: u64,
        whole: u64,
        at: u64,
        bytes: Bytes,
    },
    /// The copy has all up to there, in its store; `staged`: bytes of a generation that is not whole yet.
    Copied {
        book: BookId,
        place: Place,
        staged: Place,
    },
    /// The book is sealed; a taker wants its bytes from there on.
    Fetch {
        book: BookId,
        at: u64,
    },
    Page {
        book: BookId,
        at: u64,
        total: u64,
        bytes: Bytes,
    },
    /// The asked has no copy of it.
    NoBook {
        book: BookId,
    },
    /// For the leader: what the sender uses and wants of partners' budgets.
    Shares(Count, Report),
    /// To a settlement's home, or its word; with a message that is handed in goes what the courier has of it.
    Settlement {
        message: Box<settlement::Message>,
        parcel: Bytes,
    },
}
