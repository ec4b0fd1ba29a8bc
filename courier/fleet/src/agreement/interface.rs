//! What a caller hands to [`Agreement::step`](super::Agreement::step) and what it gets back.

use raft::prelude::{ConfChange, ConfChangeType};
use serde::{Deserialize, Serialize};

use super::AgreementError;
use crate::NodeId;

/// A change of the members of the agreement. One is in progress at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a new courier, or demotes a voter: a learner receives the log and has no vote.
    AddLearner(NodeId),
    /// Makes a learner that has caught up a voter.
    Promote(NodeId),
    /// Removes a voter or a learner.
    Remove(NodeId),
}

impl MembershipChange {
    pub(super) fn encoded(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub(super) fn decoded(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    pub(super) fn to_raft(self) -> ConfChange {
        let mut change = ConfChange::default();
        let (change_type, node_id) = match self {
            MembershipChange::AddLearner(node_id) => (ConfChangeType::AddLearnerNode, node_id),
            MembershipChange::Promote(node_id) => (ConfChangeType::AddNode, node_id),
            MembershipChange::Remove(node_id) => (ConfChangeType::RemoveNode, node_id),
        };
        change.set_change_type(change_type);
        change.node_id = node_id;
        change
    }
}

/// An input of [`Agreement::step`](super::Agreement::step). Tickets are numbers of the caller's choice, which
/// come back in the outputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreementInput {
    /// The time of [`Agreement::wake_at`](super::Agreement::wake_at) has come. Every other input does the
    /// ticks that are due, too.
    Tick,
    /// A message of another courier has arrived.
    Receive {
        /// The sender.
        from: NodeId,
        /// The bytes of its [`AgreementOutput::Send`].
        bytes: Vec<u8>,
    },
    /// Proposes a command. Only a leader accepts it; ends in [`AgreementOutput::Committed`],
    /// [`AgreementOutput::Rejected`] or [`AgreementOutput::Indeterminate`].
    Propose {
        /// The caller's number of the proposal.
        ticket: u64,
        /// The command, which the agreement does not interpret.
        command: Vec<u8>,
    },
    /// Asks whether this courier is still the leader, confirmed by a majority after this request (ReadIndex,
    /// Raft dissertation section 6.4). Ends in [`AgreementOutput::ReadReady`] or
    /// [`AgreementOutput::Rejected`].
    ReadIndex {
        /// The caller's number of the request.
        ticket: u64,
    },
    /// Proposes a change of the members. Only a leader accepts it; ends in
    /// [`AgreementOutput::MembershipChanged`], [`AgreementOutput::Rejected`] or
    /// [`AgreementOutput::Indeterminate`].
    ChangeMembership {
        /// The caller's number of the proposal.
        ticket: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Hands in a snapshot, by which the log is compacted.
    Snapshot {
        /// Index of the last command or state delivered.
        through: u64,
        /// The state after that index.
        state: Vec<u8>,
    },
    /// The leader hands leadership to a voter, which does not wait for its election time-out.
    TransferLeadership {
        /// The next leader.
        to: NodeId,
    },
}

/// Why a proposal or a read request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// This courier does not lead. The caller may send it to the leader, if there is one.
    NotLeader,
    /// A new leader has not committed an entry of its term yet, leadership is being transferred, or another
    /// membership change is in progress. The caller may retry.
    Busy,
    /// A limit on pending requests is reached, or the log has to be compacted first.
    QueueFull,
    /// The command is empty, or longer than the limit.
    InvalidSize,
    /// The membership is as wanted already, or the courier is unknown.
    NoChange,
    /// The learner was not heard from recently, or lacks too many entries.
    LearnerBehind,
    /// The change would leave no majority of voters that were heard from recently, or take away the leader's
    /// own vote.
    QuorumAtRisk,
    /// The agreement has halted: nothing can be written.
    Halted,
}

/// An output of [`Agreement::step`](super::Agreement::step); the caller carries them out in order.
#[derive(Clone, Debug)]
pub enum AgreementOutput {
    /// A message to another courier. It may be lost, duplicated or late.
    Send {
        /// The receiver.
        to: NodeId,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A command is committed: every courier gets the same commands in the same order.
    Committed {
        /// Index of its log entry.
        index: u64,
        /// The ticket, if it was proposed here and is still pending.
        ticket: Option<u64>,
        /// The command.
        command: Vec<u8>,
    },
    /// The caller has to replace its state by this one.
    Restored {
        /// Index of the last log entry that the state contains.
        index: u64,
        /// The state; empty: the state before the first command.
        state: Vec<u8>,
    },
    /// A membership change is committed.
    MembershipChanged {
        /// Index of its log entry.
        index: u64,
        /// The ticket, if it was proposed here and is still pending.
        ticket: Option<u64>,
        /// The change.
        change: MembershipChange,
    },
    /// The courier was leader when the read was requested, and what was committed by then is delivered.
    ReadReady {
        /// The ticket of the request.
        ticket: u64,
    },
    /// The request was rejected: a proposal is not and will not be committed.
    Rejected {
        /// The ticket of the request.
        ticket: u64,
        /// Why it was rejected.
        reason: RejectReason,
        /// The leader, as far as it is known here.
        leader: Option<NodeId>,
    },
    /// The courier lost leadership while the proposal was pending: it may be committed later, or not.
    Indeterminate {
        /// The ticket of the proposal.
        ticket: u64,
    },
    /// The log has grown: the caller hands in [`AgreementInput::Snapshot`] when it has applied all outputs
    /// before this one.
    SnapshotWanted,
    /// Leader or term have changed, as far as they are known here.
    LeaderChanged {
        /// The leader, if there is one.
        leader: Option<NodeId>,
        /// The current term.
        term: u64,
    },
    /// An input was dropped, or the log could not be compacted. The agreement goes on.
    Failed(AgreementError),
    /// The log can't be written or contradicts what it has acknowledged: nothing more is sent until it is
    /// opened again.
    Halted(AgreementError),
}

/// What [`Agreement::open`](super::Agreement::open) has read from the log.
#[derive(Debug, Default)]
pub struct Opened {
    /// The log was empty, and has the fresh node id now.
    pub new: bool,
    /// The state to start with; empty: the state before the first command.
    pub state: Vec<u8>,
    /// Index of the last log entry that `state` contains.
    pub index: u64,
    /// The commands after it that are known to be committed, in order. More of the log may be committed, which the leader
    /// will say.
    pub committed: Vec<CommittedCommand>,
}

/// A committed command of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedCommand {
    /// Index of its log entry.
    pub index: u64,
    /// The command as it was proposed.
    pub command: Vec<u8>,
}
