//! The stored and sent format of the log's entries, hard state and snapshots, and the conversion from and to the Raft
//! library's types.
//!
//! All types are encoded by postcard, which identifies fields and variants by position: they must not be reordered.

use raft::prelude::{ConfState, Entry as RaftEntry, EntryType, Snapshot};
use serde::{Deserialize, Serialize};

use super::MembershipChange;
use crate::NodeId;

/// The state that a voter has to persist before it sends messages that depend on it: the persistent state of figure 2
/// of the Raft paper, and the commit index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct HardState {
    /// The latest term that this courier has seen.
    pub term: u64,
    /// The candidate that this courier voted for in `term`; 0 if none.
    pub vote: NodeId,
    /// Known commit index. Later entries may be committed as well.
    pub commit: u64,
}

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Payload {
    /// No payload. The first entry of a new leader's term is empty.
    Noop,
    /// A command that the caller proposed.
    Command(Vec<u8>),
    /// A change of the Raft group's members.
    Membership(MembershipChange),
}

/// An entry of the log in its stored and sent format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct LogEntry {
    pub term: u64,
    pub index: u64,
    pub payload: Payload,
}

/// The state after the entry `index`. A snapshot replaces all entries up to that index.
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

/// The members of the Raft group; each list is in ascending order of the ids.
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
    /// A membership change is stored in the entry's context, in the encoding of [`MembershipChange`]. The library's own
    /// encoding in the entry's data is not used.
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
            // The library replaces a rejected membership change by an empty entry.
            _ => MembershipChange::decoded(&entry.context).map_or(Payload::Noop, Payload::Membership),
        };
        LogEntry { term: entry.term, index: entry.index, payload }
    }
}
