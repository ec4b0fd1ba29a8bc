//! What clients request of a settlement's owner, its replies, and the messages between couriers that carry both.
//!
//! Sent in postcard's form, which goes by position: variants and fields keep their order.

use super::error::SettlementError;
use super::model::{End, SequencedMessage, SettlementId};
use serde::{Deserialize, Serialize};

/// What a client requests of a settlement's owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementRequest {
    /// To accept this message.
    Submit(SequencedMessage),
    /// To close the settlement: no more messages follow, as a session ended in order.
    Closing {
        /// The number of messages.
        total: u64,
    },
}

impl SettlementRequest {
    /// The message that is submitted; `None` for a closing.
    pub fn sequenced(&self) -> Option<&SequencedMessage> {
        match self {
            SettlementRequest::Submit(sequenced) => Some(sequenced),
            SettlementRequest::Closing { .. } => None,
        }
    }

    /// The position, for a closing that of the last message, and the number of messages where it is given.
    pub fn position_and_total(&self) -> (u64, Option<u64>) {
        match self {
            SettlementRequest::Submit(sequenced) => (sequenced.position, sequenced.total),
            SettlementRequest::Closing { total } => (*total, Some(*total)),
        }
    }

    /// What identifies the request in its settlement: position and message id; a closing has no id.
    pub fn key(&self) -> (u64, Option<&str>) {
        (self.position_and_total().0, self.sequenced().map(|sequenced| sequenced.message_id.as_str()))
    }
}

/// The owner's reply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementReply {
    /// The message is in the owner's journal: its end will be reported.
    Accepted,
    /// The message has ended.
    Ended(End),
    /// The request is rejected.
    Rejected(SettlementError),
}

/// A message between couriers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementMessage {
    /// To the owner.
    Request {
        /// The settlement.
        id: SettlementId,
        /// What is requested.
        request: SettlementRequest,
    },
    /// From the owner.
    Reply {
        /// The settlement.
        id: SettlementId,
        /// The request that is answered.
        request: SettlementRequest,
        /// The reply to it.
        reply: SettlementReply,
    },
}
