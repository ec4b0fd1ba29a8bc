//! Why a submission to a settlement is rejected, in texts for clients and operators.

use super::model::{PositionRef, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// Why a request to a settlement is rejected. Each text says at which position, what happened, and what the client or
/// the operator can do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum SettlementError {
    /// A field of `X-Addressing` is malformed, repeated or without its settlement.
    #[error("{at}: X-Addressing has no sound `{field}`: give each field once, as name=value")]
    Field {
        /// The settlement.
        at: PositionRef,
        /// The field's name.
        field: String,
    },
    /// A position or a count is 0.
    #[error("{0}: positions count from 1: hand it in with its own")]
    Zero(PositionRef),
    /// A position is greater than the number of messages.
    #[error(
        "{at}: beyond the {total} that the settlement has: hand in 1 to {total}, or open another settlement"
    )]
    Beyond {
        /// The position.
        at: PositionRef,
        /// The number of messages.
        total: u64,
    },
    /// Two different numbers of messages were given.
    #[error(
        "{at}: {total} was told as the number of all before, {other} now: the first stands; correct the consumer"
    )]
    TwoCounts {
        /// The position that came with the second.
        at: PositionRef,
        /// The first, which stands.
        total: u64,
        /// The second.
        other: u64,
    },
    /// The position was submitted with another id or body before.
    #[error("{at}: it was handed in as {first:?} before: use that id and body, or another position")]
    PositionTwice {
        /// The position.
        at: PositionRef,
        /// The id of the first submission.
        first: String,
    },
    /// The settlement was closed with a position missing.
    #[error("{at}: closed with {total} messages while this one is missing: hand it in before the closing")]
    Gap {
        /// The first missing position.
        at: PositionRef,
        /// The number of messages in the closing.
        total: u64,
    },
    /// The connection carries another settlement.
    #[error("{at}: this connection carries settlement {open:?}: close that first, or use another connection")]
    OtherOpen {
        /// The position that was submitted.
        at: PositionRef,
        /// The name of the connection's settlement.
        open: String,
    },
    /// The first message on a connection names no settlement.
    #[error("{0}: the connection has named no settlement: name it on the first message")]
    NotOpened(PositionRef),
    /// A message follows the closing on its connection.
    #[error("{0}: the settlement was closed on this connection: open another one")]
    AfterClosing(PositionRef),
    /// The settlement would have too many messages.
    #[error("{at}: a settlement has {most} messages at most: divide it")]
    TooLong {
        /// The position.
        at: PositionRef,
        /// The most that a settlement may have.
        most: u64,
    },
    /// The message's deadline had passed when it arrived.
    #[error(
        "{0}: its time was up when it came: hand it in with time left, unless the settlement is broken by now"
    )]
    Late(PositionRef),
    /// The tenant has as many pending messages as it may.
    #[error(
        "{at}: the tenant has {waiting} messages ({bytes} bytes) waiting: come again after {after} us, or hand \
             in first what those wait for; operators raise the tenant's limit"
    )]
    TooManyWaiting {
        /// The position.
        at: PositionRef,
        /// Its pending messages.
        waiting: u64,
        /// Their bytes.
        bytes: u64,
        /// When to retry: microseconds from now.
        after: Micros,
    },
    /// The fleet or the tenant has as many open settlements as it may.
    #[error(
        "{at}: {open} settlements are open, the most there may be: come again after {after} us, when some \
             have closed"
    )]
    TooManyOpen {
        /// The position.
        at: PositionRef,
        /// Settlements that are open in the fleet.
        open: u64,
        /// When to retry: microseconds from now.
        after: Micros,
    },
    /// The courier forwards as many requests as it may.
    #[error("{at}: {pending} messages wait here for their settlements' homes: come again after {after} us")]
    Busy {
        /// The position.
        at: PositionRef,
        /// The requests that it forwards.
        pending: u64,
        /// When to retry: microseconds from now.
        after: Micros,
    },
    /// The owner's journal has no space.
    #[error(
        "{0}: the home's book has no room for it: come again; operators give the lasting folder more room"
    )]
    StorageFull(PositionRef),
    /// The owner did not answer in time.
    #[error(
        "{0}: the settlement's home has not answered: hand it in again under the same id, which is harmless"
    )]
    NoReply(PositionRef),
    /// The settlement has ended.
    #[error("{at}: the settlement is over, {verdict}: hand nothing in under this name")]
    Ended {
        /// The position.
        at: PositionRef,
        /// How it ended.
        verdict: Verdict,
    },
    /// The tenant's budget at the partner has no connection for a session.
    #[error(
        "{at}: a budget of {budget} leaves no connection to pin for a session: operators raise the budget \
             to {least}, or put the partner into message mode"
    )]
    NoPinnableConnection {
        /// The position.
        at: PositionRef,
        /// The budget, in connections.
        budget: u32,
        /// The least budget that has one.
        least: u32,
    },
}
