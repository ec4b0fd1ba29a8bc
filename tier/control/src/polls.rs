//! What the primary of the core does with a poll: whether its sender has to be admitted, and which tables it gets.

use crate::breaks::{self, Break};
use crate::directory::Directory;
use crate::leases::Leases;
use crate::state::ControlState;
use crate::table_history::TableHistory;
use quillmount_wire::Micros;
use quillmount_wire::messages::{
    ChangedTables, DirectoryUpdate, DirectoryVersion, Endpoint, Epoch, NodeRole, Placement, Poll, Response,
    TableVersions, Tables, Versioned,
};
use std::time::Duration;

/// Size of an answer without tables, bytes, approximately: addresses of the primary and of relays.
const EMPTY_ANSWER_BYTES: usize = 512;
/// Size of a member or store in a placement, bytes, approximately.
const MEMBER_BYTES: usize = 128;
/// Size of a shard's view in a placement, bytes, approximately.
const VIEW_BYTES: usize = 96;
/// Size of an endpoint in a list, bytes, approximately.
const ENDPOINT_BYTES: usize = 160;

/// What a primary publishes in its epoch.
#[derive(Clone, Copy, Debug)]
pub struct PublishedTables<'a> {
    /// Its epoch.
    pub epoch: Epoch,
    /// Its committed state, confirmed by a majority recently.
    pub state: &'a ControlState,
    /// The last versions of its tables.
    pub history: &'a TableHistory,
    /// The list of endpoints as read in this epoch.
    pub directory: &'a Directory,
    /// The leases that it has granted in this epoch.
    pub leases: &'a Leases,
    /// Age up to which the list is published as current ([`TimeLimits::published_list`]).
    ///
    /// [`TimeLimits::published_list`]: crate::TimeLimits::published_list
    pub max_list_age: Duration,
    /// Its internal address.
    pub primary: &'a str,
}

impl PublishedTables<'_> {
    /// What is newer than the tables of a subscriber: the difference, where that is known and saves much, else the whole table.
    #[must_use]
    pub fn newer_than(&self, known: TableVersions, now: Micros) -> ChangedTables {
        let mut answer = ChangedTables { tables: self.without_tables(now), ..ChangedTables::default() };
        self.add_configuration(known, &mut answer);
        self.add_placement(known, &mut answer);
        answer.tables.directory = if self.directory.is_current(self.max_list_age, now) {
            self.directory_update(known.directory)
        } else {
            Some(self.no_current_list())
        };
        answer
    }

    fn without_tables(&self, now: Micros) -> Tables {
        Tables {
            epoch: self.epoch,
            senders: self.leases.senders(now),
            primary: self.primary.to_owned(),
            relays: self.leases.relays(now),
            ..Tables::default()
        }
    }

    fn add_configuration(&self, known: TableVersions, answer: &mut ChangedTables) {
        let version = self.state.version;
        if version <= known.configuration {
            return;
        }
        match self.history.configuration_delta(known.configuration, self.state) {
            Some(delta) => answer.configuration = Some(Versioned { version, content: delta.clone() }),
            None => {
                let content = self.state.configuration.clone();
                answer.tables.configuration = Some(Versioned { version, content });
            }
        }
    }

    fn add_placement(&self, known: TableVersions, answer: &mut ChangedTables) {
        let version = self.state.placement_version;
        if version <= known.placement {
            return;
        }
        match self.history.placement_delta(known.placement, self.state) {
            Some(delta) => answer.placement = Some(Versioned { version, content: delta.clone() }),
            None => {
                let content = self.state.placement.clone();
                answer.tables.placement = Some(Versioned { version, content });
            }
        }
    }

    /// The update of the endpoint list for a subscriber. One with the list of another epoch gets this one completely, unless its list
    /// is the one that this process had when it was elected.
    fn directory_update(
        &self,
        known: DirectoryVersion,
    ) -> Option<Versioned<DirectoryVersion, DirectoryUpdate>> {
        let same_epoch = known.epoch == self.epoch || breaks::is_enabled(Break::DirectoryOfOtherEpoch);
        let content = if same_epoch {
            self.directory.update_since(known.changes)
        } else {
            self.directory.update_since_predecessor(known)
        };
        let version = DirectoryVersion { epoch: self.epoch, changes: self.directory.version() };
        content.map(|content| Versioned { version, content })
    }

    /// Says that there is no current list, which the absence of an update would not: version 0, and no change.
    fn no_current_list(&self) -> Versioned<DirectoryVersion, DirectoryUpdate> {
        let content = DirectoryUpdate::Delta { changed: Vec::new(), removed: Vec::new() };
        Versioned { version: DirectoryVersion { epoch: self.epoch, changes: 0 }, content }
    }
}

/// Whether an answer has no table: the poll waits for one, as long as it allows.
#[must_use]
pub fn is_empty(answer: &ChangedTables) -> bool {
    let ChangedTables { tables, configuration, placement } = answer;
    let has_difference = configuration.is_some() || placement.is_some();
    let has_list = tables.directory.is_some() && comes_from_current_list(tables);
    !has_difference && tables.configuration.is_none() && tables.placement.is_none() && !has_list
}

/// Whether the primary had a current list when it answered: with this answer the sender of the poll has it too.
#[must_use]
pub fn comes_from_current_list(tables: &Tables) -> bool {
    tables.directory.as_ref().is_none_or(|update| update.version.changes > 0)
}

/// Size of an answer in a message, bytes, approximately: what its tables take, and as much again as an answer without any.
#[must_use]
pub fn size(answer: &ChangedTables) -> usize {
    let ChangedTables { tables, configuration, placement } = answer;
    let deltas: usize =
        [configuration, placement].into_iter().flatten().map(|delta| delta.content.size()).sum();
    let whole_configuration = tables.configuration.as_ref().map_or(0, |table| table.content.len());
    let whole_placement = tables.placement.as_ref().map_or(0, |table| placement_size(&table.content));
    let directory = tables.directory.as_ref().map_or(0, |table| directory_size(&table.content));
    EMPTY_ANSWER_BYTES + deltas + whole_configuration + whole_placement + directory
}

fn placement_size(placement: &Placement) -> usize {
    let members = placement.core.len() + placement.stores.len();
    members * MEMBER_BYTES + placement.shards.len() * VIEW_BYTES
}

fn directory_size(update: &DirectoryUpdate) -> usize {
    let (endpoints, removed): (&[Endpoint], usize) = match update {
        DirectoryUpdate::Full(list) => (list, 0),
        DirectoryUpdate::Delta { changed, removed } => (changed, removed.len()),
    };
    (endpoints.len() + removed) * ENDPOINT_BYTES
}

/// The response that carries an answer: without differences it has the form of earlier versions.
#[must_use]
pub fn response(answer: ChangedTables) -> Response {
    if answer.configuration.is_none() && answer.placement.is_none() {
        Response::Tables(answer.tables)
    } else {
        Response::ChangedTables(Box::new(answer))
    }
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
