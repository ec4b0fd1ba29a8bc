//! Settlements: runs of messages of one tenant to one partner that belong together, from an opening to a
//! closing, carried between couriers in session mode and in message mode.
//!
//! A settlement has one home courier, by agreement ([`registry`]). What is handed in elsewhere goes there
//! ([`forward`]). The home ([`owner`]) sends the positions in order, one at a time in both modes: only so does
//! what follows a break never run. In session mode it holds one connection from the opening to the closing
//! ([`session`]); [`translator`] turns the boundaries of either mode into the other's.
//!
//! One truth at the end: [`Verdict::Closed`], or [`Verdict::Broken`] at a position. Whatever has to outlast
//! the home is a [`SettlementRecord`] that is in its book, and in a copy, before anything is done about it; a book that
//! is sealed takes none, so a home that was replaced can begin nothing.

pub mod breaks;
mod error;
pub mod forward;
pub mod journal_lines;
pub mod owner;
mod progress;
pub mod registry;
pub mod session;
pub mod translator;

pub use error::{PositionRef, SettlementError};
pub use forward::{RequestForwarder, SettlementMessage, SettlementReply, SettlementRequest};
pub use owner::{OwnedSettlements, OwnerInput, OwnerOutput, SettlementLimits};
pub use progress::{SettlementProgress, SettlementRecord};
pub use registry::{JournalRef, SettlementCommand, SettlementEvent, SettlementOwner, SettlementRegistry};

use quillmount_policy::{Effect, Micros};
use serde::{Deserialize, Serialize};

/// A settlement, in the whole fleet: a name may be used again once its verdict is forgotten.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettlementId {
    pub tenant: String,
    pub name: String,
    pub dest: u64,
}

impl SettlementId {
    pub fn at(&self, position: u64) -> PositionRef {
        PositionRef { tenant: self.tenant.clone(), settlement: self.name.clone(), position }
    }
}

/// What repeating a message may do, as the settlement needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Repeat {
    /// It takes effect once: an attempt that may have run is the last one.
    Never,
    /// The idempotency window: repeats are dropped for so long from the first attempt that may have run.
    Within(Micros),
    Freely,
}

impl From<Effect> for Repeat {
    /// A key that counts in one zone only is no protection here: a home may move to another.
    fn from(effect: Effect) -> Repeat {
        match effect {
            Effect::Idempotent => Repeat::Freely,
            Effect::Deduplicated { span, by_zone: false } => Repeat::Within(span),
            Effect::Deduplicated { by_zone: true, .. } | Effect::NonIdempotent => Repeat::Never,
        }
    }
}

/// A message as the settlement sees it: its body is its courier's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SequencedMessage {
    /// From 1.
    pub position: u64,
    /// The number of all: on the last message, or on any that knows it.
    pub total: Option<u64>,
    /// The message's id: the same whenever this position is handed in.
    pub message_id: String,
    pub repeat: Repeat,
    pub deadline: Micros,
    /// Bytes of the body.
    pub size: u64,
    /// Of the body: one position has one.
    pub checksum: u64,
}

/// How a partner wants its settlements. A settlement keeps the mode that it was opened in: a change of the
/// settings takes effect with the next settlement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Mode {
    /// Each message on its own, over any connection.
    #[default]
    Message,
    /// One connection from opening to closing, and nothing else on it.
    Session {
        resume: Resume,
        /// From a takeover until the lost home's connection is surely gone: [`session::linger`].
        linger: Micros,
    },
}

/// Whether a settlement may go on in a new session when one was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Resume {
    Never,
    /// After the last position that was answered.
    AfterAnswer,
}

/// How an attempt came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Delivered,
    /// Proof that it never ran; not again before `after`, a span from now.
    NeverRan {
        after: Micros,
    },
    MayHaveRun,
    /// The partner or the module will not have it, ever.
    Failed,
    /// It never ran, and its time is up.
    OutOfTime,
}

/// One truth about a settlement that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Each message was delivered, in order, and the closing confirmed.
    Closed { total: u64 },
    /// What comes before `at` was delivered, what follows never ran. 0: not known, see
    /// [`Cause::RecordsLost`]. One more than the number of all: the closing itself.
    Broken { at: u64, cause: Cause },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// An attempt may have run, and is not to be repeated.
    MayHaveRun,
    Failed,
    /// Its time was up before it ran.
    OutOfTime,
    /// It was not handed in within the time of those that waited behind it.
    Missing,
    /// Nothing more was handed in, and no closing.
    Idle,
    /// The session was lost, and the partner takes no second one.
    SessionLost,
    /// All was delivered, and the partner did not confirm the closing.
    Unconfirmed,
    /// The home was lost with every copy of its book.
    RecordsLost,
}

/// How a message of a settlement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    Delivered,
    MayHaveRun,
    Failed,
    OutOfTime,
    /// The settlement broke before its turn.
    NeverRan {
        broken_at: u64,
    },
}
