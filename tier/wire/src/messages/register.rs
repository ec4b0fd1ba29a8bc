//! The replicated register of the core: its values, its stored state and the messages of its consensus protocol. The protocol has
//! the phases of Paxos (prepare, accept), and pre-votes and heartbeats as in Raft.

use super::node::{DiskId, Epoch};
use rkyv::{Archive, Deserialize, Serialize};

/// A value of the register: its members and the encoded control state.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Members that store the value.
    pub members: Vec<DiskId>,
    /// Members before a membership change, of which a majority has to agree as well; `None` if no change is in progress.
    pub prior: Option<Vec<DiskId>>,
    /// Encoded control state.
    pub payload: Vec<u8>,
}

/// An accepted value with its position `(epoch, sequence)` in the order of all values.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Accepted {
    /// Epoch of the primary that proposed the value.
    pub epoch: Epoch,
    /// Number of the proposal within the epoch.
    pub sequence: u64,
    /// The accepted value.
    pub value: RegisterValue,
}

/// Durable state of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Register {
    /// Highest promised epoch: the member accepts no value of a lower epoch.
    pub promised: Epoch,
    /// Candidate that the promise was given to.
    pub promised_to: DiskId,
    /// The newest accepted value.
    pub accepted: Option<Accepted>,
}

/// Messages of the replicated register from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RegisterMessage {
    /// Requests a pre-vote: whether the receiver would vote for the sender. It changes no state.
    PreVote {
        /// Epoch of the intended election.
        epoch: Epoch,
    },
    /// Positive reply to `PreVote`. It does not bind the sender: it only describes its state when it was sent.
    PreVoteGranted {
        /// Epoch of the pre-vote request.
        epoch: Epoch,
    },
    /// Requests that the receiver promises this epoch (Paxos phase 1a).
    Prepare {
        /// Epoch of the candidate.
        epoch: Epoch,
    },
    /// The sender has durably promised the epoch (Paxos phase 1b).
    Promise {
        /// The promised epoch.
        epoch: Epoch,
        /// Newest value that the sender has accepted.
        accepted: Option<Accepted>,
    },
    /// Requests that the receiver accepts a value (Paxos phase 2a).
    Accept {
        /// Value with its position.
        accepted: Accepted,
    },
    /// The sender has durably accepted the value (Paxos phase 2b).
    Acknowledge {
        /// Epoch of the accepted value.
        epoch: Epoch,
        /// Sequence number of the accepted value.
        sequence: u64,
    },
    /// Heartbeat of the primary of this epoch.
    Heartbeat {
        /// Epoch of the primary.
        epoch: Epoch,
        /// Number of the heartbeat round, returned in the reply.
        round: u64,
    },
    /// Reply to `Heartbeat`.
    HeartbeatReply {
        /// Epoch of the heartbeat.
        epoch: Epoch,
        /// Round of the heartbeat.
        round: u64,
        /// Epoch of the newest value that the sender has accepted.
        accepted_epoch: Epoch,
        /// Sequence number of the newest value that the sender has accepted.
        accepted_sequence: u64,
    },
    /// The sender has promised a higher epoch than that of the message it replies to.
    Reject {
        /// Highest epoch that the sender has promised.
        promised: Epoch,
    },
    /// The primary shuts down; the successor starts an election immediately.
    Resign {
        /// Epoch of the primary.
        epoch: Epoch,
        /// Member that starts the election.
        successor: DiskId,
    },
}
