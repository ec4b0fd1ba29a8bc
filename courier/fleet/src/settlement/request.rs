//! Requests of clients to the owner of a settlement, its replies, and the messages between couriers that carry both.
//!
//! They are sent in the postcard format, which encodes variants and fields by position: their order must not change.

use super::error::SettlementError;
use super::model::{End, SequencedMessage, SettlementId};
use serde::{Deserialize, Serialize};

/// A request of a client to the owner of a settlement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementRequest {
    /// Submits a message.
    Submit(SequencedMessage),
    /// Closes the settlement: no further message follows. A client session that ends in order sends this.
    Closing {
        /// The number of messages of the settlement.
        total: u64,
    },
}

impl SettlementRequest {
    /// Returns the submitted message; `None` for a closing.
    pub fn sequenced(&self) -> Option<&SequencedMessage> {
        match self {
            SettlementRequest::Submit(sequenced) => Some(sequenced),
            SettlementRequest::Closing { .. } => None,
        }
    }

    /// Returns the position and, if given, the number of messages. The position of a closing is that of the last
    /// message.
    pub fn position_and_total(&self) -> (u64, Option<u64>) {
        match self {
            SettlementRequest::Submit(sequenced) => (sequenced.position, sequenced.total),
            SettlementRequest::Closing { total } => (*total, Some(*total)),
        }
    }

    /// Returns the position and message id, which identify the request within its settlement. A closing has no id.
    pub fn key(&self) -> (u64, Option<&str>) {
        (self.position_and_total().0, self.sequenced().map(|sequenced| sequenced.message_id.as_str()))
    }
}

/// The reply of the owner to a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementReply {
    /// The request is in the owner's journal. The end of the message is reported later.
    Accepted,
    /// The message has already ended with this result.
    Ended(End),
    /// The request is rejected; a client may retry after some of these errors.
    Rejected(SettlementError),
}

/// A message between couriers about a settlement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementMessage {
    /// A client's request, forwarded to the owner.
    Request {
        /// The settlement that the request belongs to.
        id: SettlementId,
        /// The request of the client.
        request: SettlementRequest,
    },
    /// The owner's reply, sent to the courier that forwarded the request.
    Reply {
        /// The settlement that the request belongs to.
        id: SettlementId,
        /// The request that this reply answers.
        request: SettlementRequest,
        /// The result for the client.
        reply: SettlementReply,
    },
}
