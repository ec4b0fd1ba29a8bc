//! The entries, the hard state and the snapshot of the agreement's log, in the form that is written and sent, and
//! their conversion from and to the Raft library's types.
//!
//! They are encoded by postcard, which goes by position: fields and variants must not be reordered.

use raft::prelude::{ConfState, Entry as RaftEntry, EntryType, Snapshot};
use serde::{Deserialize, Serialize};

use super::MembershipChange;
use crate::NodeId;

/// What a voter must have written before it sends anything (the persistent state of figure 2 of the Raft
/// paper, and the commit index).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct HardState {
    /// The latest term it has seen.
    pub term: u64,
    /// The candidate that got its vote in this term; 0 for none.
    pub vote: NodeId,
    /// Index up to which the log is known to be committed; more may be.
    pub commit: u64,
}

/// What a log entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Payload {
    /// Nothing: the first entry of a new leader's term.
    Noop,
    /// A command of the caller.
    Command(Vec<u8>),
    /// A change of the agreement's members.
    Membership(MembershipChange),
}

/// An entry of the log, in the form that is written and sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct LogEntry {
    pub term: u64,
    pub index: u64,
    pub payload: Payload,
}

/// The state after the entry `index`, which takes the place of all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct StateSnapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<NodeId>,
    pub learners: Vec<NodeId>,
    pub state: Vec<u8>,
}

impl HardState {
    pub fn from_raft(state: &raft::prelude::HardState) -> Self {
        HardState { term: state.term, vote: state.vote, commit: state.commit }
    }

    pub fn to_raft(self) -> raft::prelude::HardState {
        let mut state = raft::prelude::HardState::default();
        (state.term, state.vote, state.commit) = (self.term, self.vote, self.commit);
        state
    }
}

impl StateSnapshot {
    pub fn membership(&self) -> ConfState {
        ConfState::from((self.voters.clone(), self.learners.clone()))
    }

    pub fn to_raft(&self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.state.clone().into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (self.index, self.term);
        metadata.set_conf_state(self.membership());
        snapshot
    }

    pub fn from_raft(snapshot: &Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        let MemberIds { voters, learners } = MemberIds::of(metadata.get_conf_state());
        StateSnapshot {
            index: metadata.index,
            term: metadata.term,
            voters,
            learners,
            state: snapshot.data.to_vec(),
        }
    }
}

/// The members of the agreement, each list in the order of the ids.
#[derive(Serialize)]
pub(super) struct MemberIds {
    pub voters: Vec<NodeId>,
    pub learners: Vec<NodeId>,
}

impl MemberIds {
    pub fn of(membership: &ConfState) -> MemberIds {
        let mut ids = MemberIds { voters: membership.voters.clone(), learners: membership.learners.clone() };
        ids.voters.sort_unstable();
        ids.learners.sort_unstable();
        ids
    }
}

impl LogEntry {
    /// A membership change is in the entry's context, in this module's encoding. The library's own encoding of
    /// it, in the entry's data, is not used.
    pub fn to_raft(&self) -> RaftEntry {
        let mut entry = RaftEntry::default();
        (entry.term, entry.index) = (self.term, self.index);
        match &self.payload {
            Payload::Noop => {}
            Payload::Command(command) => entry.data = command.clone().into(),
            Payload::Membership(change) => {
                entry.set_entry_type(EntryType::EntryConfChange);
                entry.context = change.encoded().into();
            }
        }
        entry
    }

    pub fn from_raft(entry: &RaftEntry) -> Self {
        let payload = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => Payload::Noop,
            EntryType::EntryNormal => Payload::Command(entry.data.to_vec()),
            // The library replaces a change that it rejects by an empty entry.
            _ => MembershipChange::decoded(&entry.context).map_or(Payload::Noop, Payload::Membership),
        };
        LogEntry { term: entry.term, index: entry.index, payload }
    }
}
