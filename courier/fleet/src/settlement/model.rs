//! Data types of settlements: ids, messages, modes, outcomes and verdicts.
//!
//! They are written to journals and sent between couriers in the postcard format, which encodes fields and variants
//! by position: their order must not change.

use quillmount_policy::{Effect, Micros};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a settlement in the whole fleet. A tenant may reuse a name once the verdict of the earlier settlement
/// is no longer retained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettlementId {
    /// The tenant that submits the messages.
    pub tenant: String,
    /// The name that the tenant has chosen for the settlement, as in `X-Addressing`.
    pub name: String,
    /// The destination, which identifies the partner that receives the messages.
    pub dest: u64,
}

impl SettlementId {
    /// Refers to one position of this settlement; 0 refers to the settlement as a whole.
    pub fn position_ref(&self, position: u64) -> PositionRef {
        PositionRef { tenant: self.tenant.clone(), settlement: self.name.clone(), position }
    }
}

/// Refers to a position of a settlement in error messages and log lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PositionRef {
    /// The tenant that submits the messages.
    pub tenant: String,
    /// The name of the settlement, which is unique for the tenant and destination.
    pub settlement: String,
    /// The position, counted from 1; 0 refers to the settlement as a whole.
    pub position: u64,
}

impl fmt::Display for PositionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tenant {:?}, settlement {:?}, position {}", self.tenant, self.settlement, self.position)
    }
}

/// Whether and for how long a message may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Repeat {
    /// The message is not idempotent: there is no further attempt after one that may have run.
    Never,
    /// The partner deduplicates repeats within this idempotency window, in microseconds from the first attempt that
    /// may have run.
    Within(Micros),
    /// The message is idempotent: it may be repeated at any time.
    Freely,
}

impl From<Effect> for Repeat {
    /// A message that is deduplicated per zone is never repeated, because a later owner may be in another zone.
    fn from(effect: Effect) -> Repeat {
        match effect {
            Effect::Idempotent => Repeat::Freely,
            Effect::Deduplicated { span, by_zone: false } => Repeat::Within(span),
            Effect::Deduplicated { by_zone: true, .. } | Effect::NonIdempotent => Repeat::Never,
        }
    }
}

/// The metadata of a submitted message, without its body.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SequencedMessage {
    /// The position of the message in its settlement, counted from 1.
    pub position: u64,
    /// The number of messages of the settlement, if the client has given it. At the latest the last message has it.
    pub total: Option<u64>,
    /// The message id. Every submission of this position has the same id.
    pub message_id: String,
    /// Whether the message may be repeated after an attempt that may have run.
    pub repeat: Repeat,
    /// The message is sent before this time or ends without being sent; in microseconds.
    pub deadline: Micros,
    /// The size of the body in bytes.
    pub size: u64,
    /// The checksum of the payload. A submission of the same position with another checksum is rejected.
    pub checksum: u64,
}

/// How messages of a settlement are sent to the partner. A settlement keeps the mode in which it was opened: a change
/// of the settings applies to settlements that are opened later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Mode {
    /// Each message is a separate request over any connection.
    #[default]
    Message,
    /// All messages use one connection, which carries nothing else from the opening to the closing.
    Session {
        /// Whether the partner accepts a new session for the settlement after one is lost.
        resume: Resume,
        /// How long after a takeover the connection of the lost owner may still be open, in microseconds: see
        /// [`linger`](crate::settlement::session::linger).
        linger: Micros,
    },
}

/// Whether a settlement may continue in a new session after one is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Resume {
    /// The settlement breaks when its session is lost.
    Never,
    /// A new session continues after the last position that the partner has answered.
    AfterAnswer,
}

/// The outcome of one attempt to send a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The partner has confirmed the delivery.
    Delivered,
    /// The attempt did not run at the partner, and may be repeated.
    NeverRan {
        /// The minimum backoff before the next attempt, in microseconds.
        after: Micros,
    },
    /// It is unknown whether the attempt ran at the partner.
    MayHaveRun,
    /// The partner or the module rejects the message permanently.
    Failed,
    /// The attempt did not run, and the deadline of the message has passed.
    OutOfTime,
}

/// The final state of a settlement that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Every message was delivered in order. In session mode the partner has confirmed the closing too.
    Closed {
        /// The number of messages of the settlement.
        total: u64,
    },
    /// The positions before `break_position` were delivered, and those after it never ran.
    Broken {
        /// The position at which the settlement broke. It is 0 if that is unknown ([`Cause::RecordsLost`]), and one
        /// more than the number of messages if the closing failed.
        #[serde(rename = "at")]
        break_position: u64,
        /// The reason for the break.
        cause: Cause,
    },
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Closed { total } => write!(f, "closed with all {total} delivered"),
            Verdict::Broken { break_position: 0, .. } => {
                write!(f, "broken at a position that is not known (its records are lost): any may have run")
            }
            Verdict::Broken { break_position, cause } => {
                write!(
                    f,
                    "broken at {break_position} ({cause:?}): what is before it was delivered, what follows never ran"
                )
            }
        }
    }
}

/// The reason for the break of a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// An attempt may have run, and the message must not be repeated.
    MayHaveRun,
    /// The message was rejected permanently.
    Failed,
    /// The deadline of the message passed before an attempt ran.
    OutOfTime,
    /// The position was not submitted before the deadline of a later position.
    Missing,
    /// No further message or closing was submitted within the idle timeout.
    Idle,
    /// The session was lost, and the partner accepts no further session.
    SessionLost,
    /// All messages were delivered, but the partner did not confirm the closing.
    Unconfirmed,
    /// The owner and all replicas of its journal were lost.
    RecordsLost,
}

/// The final result of a message of a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    /// The partner has confirmed the delivery.
    Delivered,
    /// It is unknown whether the message ran at the partner.
    MayHaveRun,
    /// The partner or the module has rejected the message permanently.
    Failed,
    /// The deadline of the message passed before it ran.
    OutOfTime,
    /// The settlement broke, and the message was never sent.
    NeverRan {
        /// The position at which the settlement broke.
        broken_at: u64,
    },
}
