//! The core's replicated register: values, stored state and the messages of its consensus protocol, which has the phases of Paxos
//! (prepare, accept) and a pre-vote and heartbeats as in Raft.

use super::node::{DiskId, Epoch};
use rkyv::{Archive, Deserialize, Serialize};

/// A value of the register: its members and the encoded control state.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Members that store the value.
    pub members: Vec<DiskId>,
    /// Members before a change of members; a majority of these has to agree as well.
    pub prior: Option<Vec<DiskId>>,
    /// The control state, encoded.
    pub payload: Vec<u8>,
}

/// An accepted value and its position in the order of all values, which is `(epoch, sequence)`.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Accepted {
    /// Epoch of the primary that proposed the value.
    pub epoch: Epoch,
    /// Number of the proposal within the epoch.
    pub sequence: u64,
    /// The value.
    pub value: RegisterValue,
}

/// The durable state of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Register {
    /// Highest epoch promised: no value of a lower epoch is accepted.
    pub promised: Epoch,
    /// The candidate that `promised` was given to.
    pub promised_to: DiskId,
    /// The newest accepted value.
    pub accepted: Option<Accepted>,
}

/// Messages of the replicated register from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RegisterMessage {
    /// Asks whether the receiver would vote for the sender; changes no state.
    PreVote {
        /// The epoch of the intended election.
        epoch: Epoch,
    },
    /// Positive reply to `PreVote`; valid only at the time it was sent.
    PreVoteGranted {
        /// The epoch asked for.
        epoch: Epoch,
    },
    /// Asks the receiver to promise this epoch (phase 1a).
    Prepare {
        /// The epoch of the candidate.
        epoch: Epoch,
    },
    /// The epoch is promised, durably (phase 1b).
    Promise {
        /// The promised epoch.
        epoch: Epoch,
        /// The newest value that the sender has accepted.
        accepted: Option<Accepted>,
    },
    /// Asks the receiver to accept a value (phase 2a).
    Accept {
        /// The value and its position.
        accepted: Accepted,
    },
    /// The value is accepted, durably (phase 2b).
    Acknowledge {
        /// Epoch of the accepted value.
        epoch: Epoch,
        /// Sequence number of the accepted value.
        sequence: u64,
    },
    /// The primary of this epoch is alive.
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
    /// The sender has promised a higher epoch than the message that this answers.
    Reject {
        /// The promised epoch.
        promised: Epoch,
    },
    /// The primary shuts down: the successor starts an election at once.
    Resign {
        /// Epoch of the primary.
        epoch: Epoch,
        /// The member that is to start the election.
        successor: DiskId,
    },
}
