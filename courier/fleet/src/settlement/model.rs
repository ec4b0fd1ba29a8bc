//! The values that settlements are described in: ids, messages, modes, outcomes and verdicts.
//!
//! They are written to journals and sent between couriers in postcard's form, which goes by position: fields and
//! variants keep their order.

use quillmount_policy::{Effect, Micros};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A settlement's id in the whole fleet. A name may be used for another settlement once its verdict is forgotten.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettlementId {
    /// The tenant whose messages these are.
    pub tenant: String,
    /// The name that the tenant gave the settlement.
    pub name: String,
    /// The destination: the partner that the messages are for.
    pub dest: u64,
}

impl SettlementId {
    /// A position of this settlement.
    pub fn at(&self, position: u64) -> PositionRef {
        PositionRef { tenant: self.tenant.clone(), settlement: self.name.clone(), position }
    }
}

/// A position of a settlement, as error messages name it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PositionRef {
    /// The settlement's tenant.
    pub tenant: String,
    /// The settlement's name.
    pub settlement: String,
    /// From 1; 0 stands for the settlement as a whole.
    pub position: u64,
}

impl fmt::Display for PositionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tenant {:?}, settlement {:?}, position {}", self.tenant, self.settlement, self.position)
    }
}

/// When a message whose attempt may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Repeat {
    /// It is not idempotent: an attempt that may have run is the last one.
    Never,
    /// The idempotency window: the partner drops repeats for so long from the first attempt that may have run.
    Within(Micros),
    /// It is idempotent.
    Freely,
}

impl From<Effect> for Repeat {
    /// A key that counts in one zone only is no protection here: the owner may move to another zone.
    fn from(effect: Effect) -> Repeat {
        match effect {
            Effect::Idempotent => Repeat::Freely,
            Effect::Deduplicated { span, by_zone: false } => Repeat::Within(span),
            Effect::Deduplicated { by_zone: true, .. } | Effect::NonIdempotent => Repeat::Never,
        }
    }
}

/// A message as the settlement sees it, without its body.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SequencedMessage {
    /// Its position, from 1.
    pub position: u64,
    /// The number of messages of the settlement: on the last message, or on any that knows it.
    pub total: Option<u64>,
    /// The message's id: the same whenever this position is submitted.
    pub message_id: String,
    /// Whether an attempt that may have run may be repeated.
    pub repeat: Repeat,
    /// The message ends by this time.
    pub deadline: Micros,
    /// Bytes of the body.
    pub size: u64,
    /// The checksum of the body: a position has one body.
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
        /// Whether the settlement may continue in a new session when one is lost.
        resume: Resume,
        /// How long after a takeover the lost owner's connection may still be open: [`linger`](crate::settlement::session::linger).
        linger: Micros,
    },
}

/// Whether a settlement may continue in a new session when one is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Resume {
    /// It may not: the settlement breaks.
    Never,
    /// It may, after the last position that was answered.
    AfterAnswer,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The partner has confirmed the delivery.
    Delivered,
    /// It is known never to have run.
    NeverRan {
        /// The least backoff before the next attempt.
        after: Micros,
    },
    /// Whether it ran is not known.
    MayHaveRun,
    /// The partner or the module rejects the message for good.
    Failed,
    /// It never ran, and its deadline has passed.
    OutOfTime,
}

/// The final state of a settlement that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Each message was delivered, in order, and the closing confirmed.
    Closed {
        /// The number of messages.
        total: u64,
    },
    /// What precedes `at` was delivered, what follows never ran.
    Broken {
        /// The position. 0: not known, see [`Cause::RecordsLost`]. One more than the number of messages: the
        /// closing itself.
        at: u64,
        /// Why the settlement broke there.
        cause: Cause,
    },
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Closed { total } => write!(f, "closed with all {total} delivered"),
            Verdict::Broken { at: 0, .. } => {
                write!(f, "broken at a position that is not known (its records are lost): any may have run")
            }
            Verdict::Broken { at, cause } => {
                write!(
                    f,
                    "broken at {at} ({cause:?}): what is before it was delivered, what follows never ran"
                )
            }
        }
    }
}

/// Why a settlement broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// An attempt may have run, and may not be repeated.
    MayHaveRun,
    /// The message was rejected for good.
    Failed,
    /// The message's deadline passed before it ran.
    OutOfTime,
    /// The position was not submitted before the deadline of a message that waited behind it.
    Missing,
    /// Nothing more was submitted, and no closing.
    Idle,
    /// The session was lost, and the partner accepts no second one.
    SessionLost,
    /// Every message was delivered, and the partner did not confirm the closing.
    Unconfirmed,
    /// The owner was lost with every replica of its journal.
    RecordsLost,
}

/// How a message of a settlement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    /// The partner has confirmed the delivery.
    Delivered,
    /// Whether it ran is not known.
    MayHaveRun,
    /// It was rejected for good.
    Failed,
    /// It never ran, and its deadline has passed.
    OutOfTime,
    /// The settlement broke before its turn.
    NeverRan {
        /// The position at which it broke.
        broken_at: u64,
    },
}
