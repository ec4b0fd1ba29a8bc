//! Inputs and outputs of [`Agreement::step`](super::Agreement::step).

use raft::prelude::{ConfChange, ConfChangeType};
use serde::{Deserialize, Serialize};

use super::AgreementError;
use crate::NodeId;

/// A change of the Raft group's members. At most one change is in progress at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a new courier as a learner, or demotes a voter to one. A learner receives the log and has no vote.
    AddLearner(NodeId),
    /// Promotes a learner to a voter. The learner must have caught up.
    Promote(NodeId),
    /// Removes a voter or a learner from the Raft group.
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

/// An input of [`Agreement::step`](super::Agreement::step). The caller chooses a ticket, a number, for each request;
/// the outputs about the request carry the same ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreementInput {
    /// The deadline of [`Agreement::wake_at`](super::Agreement::wake_at) has passed. Every other input runs the
    /// ticks that are due, too.
    Tick,
    /// A message from another courier has arrived.
    Receive {
        /// The sender.
        from: NodeId,
        /// The bytes of the sender's [`AgreementOutput::Send`].
        bytes: Vec<u8>,
    },
    /// Proposes a command. Only a leader accepts a proposal. The result is [`AgreementOutput::Committed`],
    /// [`AgreementOutput::Rejected`] or [`AgreementOutput::Indeterminate`].
    Propose {
        /// The caller's number of the proposal.
        ticket: u64,
        /// The encoded command. The agreement does not interpret it.
        command: Vec<u8>,
    },
    /// Requests a confirmation by a majority, after this request, that this courier is still the leader (ReadIndex,
    /// Raft dissertation section 6.4). The result is [`AgreementOutput::ReadReady`] or
    /// [`AgreementOutput::Rejected`].
    ReadIndex {
        /// The caller's number of the request.
        ticket: u64,
    },
    /// Proposes a change of the members. Only a leader accepts a proposal. The result is
    /// [`AgreementOutput::MembershipChanged`], [`AgreementOutput::Rejected`] or
    /// [`AgreementOutput::Indeterminate`].
    ChangeMembership {
        /// The caller's number of the proposal.
        ticket: u64,
        /// The proposed change.
        change: MembershipChange,
    },
    /// Provides a snapshot of the caller's state, with which the log is compacted.
    Snapshot {
        /// Index of the last delivered command or state.
        through: u64,
        /// The encoded state after that index.
        state: Vec<u8>,
    },
    /// Transfers leadership to a voter, which starts an election without waiting for its election timeout. Without
    /// effect if this courier is not the leader.
    TransferLeadership {
        /// The voter that is to become leader.
        to: NodeId,
    },
}

/// Why a proposal, a membership change or a read request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// This courier is not the leader. The caller may send the request to the leader, if there is one.
    NotLeader,
    /// The leader has not committed an entry of its term yet, leadership is being transferred, or another
    /// membership change is in progress. The caller may retry.
    Busy,
    /// The limit on pending requests is reached, or the log has to be compacted first.
    QueueFull,
    /// The command is empty or exceeds
    /// [`AgreementLimits::max_command_bytes`](super::AgreementLimits::max_command_bytes).
    InvalidSize,
    /// The membership change has no effect, or its courier is not a member.
    NoChange,
    /// The learner has sent no message recently, or lacks too many entries.
    LearnerBehind,
    /// After the change there would be no majority of voters that have sent a message recently, or the leader would
    /// lose its own vote.
    QuorumAtRisk,
    /// The agreement has halted, as its log can't be written or is invalid.
    Halted,
}

/// An output of [`Agreement::step`](super::Agreement::step). The caller carries out the outputs in order.
#[derive(Clone, Debug)]
pub enum AgreementOutput {
    /// A message to another courier. The message may be lost, duplicated or delayed.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message, encoded with its checksum.
        bytes: Vec<u8>,
    },
    /// A command is committed. Every courier receives the same commands in the same order.
    Committed {
        /// Index of the command's log entry.
        index: u64,
        /// The ticket, if this courier proposed the command and the proposal is still pending.
        ticket: Option<u64>,
        /// The command as it was proposed.
        command: Vec<u8>,
    },
    /// A snapshot was received from the leader. The caller has to replace its state by this one.
    Restored {
        /// Index of the last log entry that the state contains.
        index: u64,
        /// The encoded state; empty bytes stand for the state before the first command.
        state: Vec<u8>,
    },
    /// A membership change is committed.
    MembershipChanged {
        /// Index of the change's log entry.
        index: u64,
        /// The ticket, if this courier proposed the change and the proposal is still pending.
        ticket: Option<u64>,
        /// The committed change.
        change: MembershipChange,
    },
    /// A majority has confirmed that this courier was leader when the read was requested, and all commands that were
    /// committed by then are delivered.
    ReadReady {
        /// The ticket of the request.
        ticket: u64,
    },
    /// The request was rejected. A rejected proposal is never committed.
    Rejected {
        /// The ticket of the request.
        ticket: u64,
        /// Why it was rejected.
        reason: RejectReason,
        /// The leader that this courier knows of.
        leader: Option<NodeId>,
    },
    /// This courier lost leadership or halted while the proposal was pending. The proposal may still be committed
    /// later.
    Indeterminate {
        /// The ticket of the proposal.
        ticket: u64,
    },
    /// The log has to be compacted. The caller provides [`AgreementInput::Snapshot`] after it has applied all outputs
    /// before this one.
    SnapshotRequested,
    /// The leader or the term that this courier knows of has changed.
    LeaderChanged {
        /// The leader, if this courier knows of one.
        leader: Option<NodeId>,
        /// The current Raft term of this courier.
        term: u64,
    },
    /// An input was dropped, or the log could not be compacted. The agreement continues.
    Failed(AgreementError),
    /// The log can't be written, or lacks entries that this courier has acknowledged. The agreement sends no messages
    /// until it is opened again.
    Halted(AgreementError),
}

/// The contents of the log that [`Agreement::open`](super::Agreement::open) has read.
#[derive(Debug, Default)]
pub struct Opened {
    /// Whether the log was empty and was created with the fresh node id.
    pub is_new: bool,
    /// The encoded state of the snapshot; empty bytes stand for the state before the first command.
    pub state: Vec<u8>,
    /// Index of the last log entry that `state` contains.
    pub index: u64,
    /// The commands after `index` that are known to be committed, in log order. Later entries of the log may be
    /// committed as well; the leader's messages tell the commit index.
    pub committed: Vec<CommittedCommand>,
}

/// A committed command of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedCommand {
    /// Index of the command's log entry.
    pub index: u64,
    /// The command as it was proposed.
    pub command: Vec<u8>,
}
