//! What the primary of the core does with a poll: whether its sender has to be admitted, and which tables it gets.

use crate::breaks::{self, Break};
use crate::directory::Directory;
use crate::leases::Leases;
use crate::state::ControlState;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DirectoryVersion, Epoch, NodeRole, Poll, TableVersions, Tables, Versioned};

/// What a primary publishes in its epoch.
#[derive(Clone, Copy, Debug)]
pub struct PublishedTables<'a> {
    /// Its epoch.
    pub epoch: Epoch,
    /// Its committed state, confirmed by a majority recently.
    pub state: &'a ControlState,
    /// The list of endpoints as read in this epoch.
    pub directory: &'a Directory,
    /// The leases that it has granted in this epoch.
    pub leases: &'a Leases,
    /// Its internal address.
    pub primary: &'a str,
}

impl PublishedTables<'_> {
    /// The tables that are newer than those of a subscriber.
    #[must_use]
    pub fn newer_than(&self, known: TableVersions, now: Micros) -> Tables {
        let state = self.state;
        let configuration = (state.version > known.configuration)
            .then(|| Versioned { version: state.version, content: state.configuration.clone() });
        let placement = (state.placement_version > known.placement)
            .then(|| Versioned { version: state.placement_version, content: state.placement.clone() });
        // A sender with the list of another epoch gets this one completely.
        let same_epoch =
            known.directory.epoch == self.epoch || breaks::is_enabled(Break::DirectoryOfOtherEpoch);
        let known_changes = if same_epoch { known.directory.changes } else { 0 };
        let version = DirectoryVersion { epoch: self.epoch, changes: self.directory.version() };
        let directory = self.directory.update_since(known_changes);
        Tables {
            epoch: self.epoch,
            configuration,
            placement,
            directory: directory.map(|content| Versioned { version, content }),
            senders: self.leases.senders(now),
            primary: self.primary.to_owned(),
            relays: self.leases.relays(now),
            loads: Vec::new(),
        }
    }
}

/// Whether an answer has no table: the poll waits for one, as long as it allows.
#[must_use]
pub fn is_empty(tables: &Tables) -> bool {
    tables.configuration.is_none() && tables.placement.is_none() && tables.directory.is_none()
}

/// Whether the sender of a poll is a process with a disk that the placement does not have: it is admitted before it is answered.
#[must_use]
pub fn needs_admission(state: &ControlState, poll: &Poll) -> bool {
    let node = &poll.node;
    let is_known = match node.role {
        NodeRole::Courier => true,
        NodeRole::Core => state.placement.core.contains(node),
        NodeRole::Store => state.placement.stores.contains(node),
    };
    !is_known && !poll.draining
}
