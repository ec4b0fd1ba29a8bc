//! Errors of requests to a settlement. Their texts are sent to clients in the bodies of responses.

use super::model::{PositionRef, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// The reason for which a request to a settlement is rejected. Each text names the position, the cause, and what
/// the client or the operator can do. It is the body of the response, so a change of a text is visible to clients.
/// The error is sent between couriers in the postcard format: the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum SettlementError {
    /// A field of `X-Addressing` is malformed or repeated, or the field `settlement` is missing.
    #[error("{position_ref}: X-Addressing has no sound `{field}`: give each field once, as name=value")]
    Field {
        /// The settlement as far as it is known; its position is 0.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The name of the field in the header.
        field: String,
    },
    /// A position or a number of messages is 0.
    #[error("{0}: positions count from 1: hand it in with its own")]
    #[serde(rename = "Zero")]
    ZeroPosition(PositionRef),
    /// A position is greater than the number of messages.
    #[error(
        "{position_ref}: beyond the {total} that the settlement has: hand in 1 to {total}, or open another settlement"
    )]
    #[serde(rename = "Beyond")]
    BeyondTotal {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The number of messages of the settlement.
        total: u64,
    },
    /// The request gives another number of messages than an earlier one.
    #[error(
        "{position_ref}: {total} was told as the number of all before, {other_total} now: the first stands; correct the consumer"
    )]
    #[serde(rename = "TwoCounts")]
    TotalMismatch {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The number that was given first, which remains valid.
        total: u64,
        /// The number in the rejected request.
        #[serde(rename = "other")]
        other_total: u64,
    },
    /// The position was submitted earlier with another message id or payload.
    #[error(
        "{position_ref}: it was handed in as {first_id:?} before: use that id and body, or another position"
    )]
    #[serde(rename = "PositionTwice")]
    PositionConflict {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The message id of the first submission.
        #[serde(rename = "first")]
        first_id: String,
    },
    /// The settlement was closed while a position was missing.
    #[error(
        "{position_ref}: closed with {total} messages while this one is missing: submit it before the closing"
    )]
    #[serde(rename = "Gap")]
    MissingPosition {
        /// The first position that was not submitted.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The number of messages that the closing gives.
        total: u64,
    },
    /// The client's connection in session mode already carries another settlement.
    #[error(
        "{position_ref}: this connection carries settlement {open_settlement:?}: close that first, or use another connection"
    )]
    OtherOpen {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The name of the settlement that is open on the connection.
        #[serde(rename = "open")]
        open_settlement: String,
    },
    /// The first message on a connection in session mode does not name a settlement.
    #[error("{0}: the connection has named no settlement: name it on the first message")]
    NotOpened(PositionRef),
    /// A message arrived after the closing on the same connection.
    #[error("{0}: the settlement was closed on this connection: open another one")]
    AfterClosing(PositionRef),
    /// The position or the number of messages exceeds the limit for one settlement.
    #[error("{position_ref}: a settlement has {max_positions} messages at most: divide it")]
    TooLong {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The maximum number of messages of a settlement.
        #[serde(rename = "most")]
        max_positions: u64,
    },
    /// The deadline of the message had passed when the message arrived.
    #[error(
        "{0}: its time was up when it came: hand it in with time left, unless the settlement is broken by now"
    )]
    #[serde(rename = "Late")]
    DeadlinePassed(PositionRef),
    /// The tenant has reached its limit of pending messages or of their total size.
    #[error(
        "{position_ref}: the tenant has {pending_messages} messages ({bytes} bytes) waiting: come again after {retry_after} us, or hand \
             in first what those wait for; operators raise the tenant's limit"
    )]
    TooManyWaiting {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The number of pending messages of the tenant.
        #[serde(rename = "waiting")]
        pending_messages: u64,
        /// The total size of the pending messages in bytes.
        bytes: u64,
        /// The delay until a retry, in microseconds.
        #[serde(rename = "after")]
        retry_after: Micros,
    },
    /// The fleet or the tenant has reached its limit of open settlements.
    #[error(
        "{position_ref}: {open_settlements} settlements are open, the most there may be: come again after {retry_after} us, when some \
             have closed"
    )]
    TooManyOpen {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The number of open settlements in the fleet.
        #[serde(rename = "open")]
        open_settlements: u64,
        /// The delay until a retry, in microseconds.
        #[serde(rename = "after")]
        retry_after: Micros,
    },
    /// The courier has reached its limit of forwarded requests without a reply.
    #[error(
        "{position_ref}: {pending_requests} messages wait here for their settlements' homes: come again after {retry_after} us"
    )]
    Busy {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The number of requests that wait for a reply.
        #[serde(rename = "pending")]
        pending_requests: u64,
        /// The delay until a retry, in microseconds.
        #[serde(rename = "after")]
        retry_after: Micros,
    },
    /// The journal of the owner has no space for the record.
    #[error(
        "{0}: the home's book has no room for it: come again; operators give the lasting folder more room"
    )]
    StorageFull(PositionRef),
    /// The owner did not reply within [`REQUEST_TIMEOUT`](crate::settlement::forward::REQUEST_TIMEOUT).
    #[error(
        "{0}: the settlement's home has not answered: hand it in again under the same id, which is harmless"
    )]
    NoReply(PositionRef),
    /// The settlement has ended and accepts no further message.
    #[error("{position_ref}: the settlement is over, {verdict}: hand nothing in under this name")]
    Ended {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The final state of the settlement.
        verdict: Verdict,
    },
    /// The tenant's budget at the partner is too small for a session.
    #[error(
        "{position_ref}: a budget of {budget} leaves no connection to pin for a session: operators raise the budget \
             to {min_budget}, or put the partner into message mode"
    )]
    NoPinnableConnection {
        /// The position of the rejected request.
        #[serde(rename = "at")]
        position_ref: PositionRef,
        /// The budget of the tenant, in connections.
        budget: u32,
        /// The smallest budget that allows a session, in connections.
        #[serde(rename = "least")]
        min_budget: u32,
    },
}
