//! How the primary of the core answers a poll: whether its sender has to be admitted first, and which tables it gets.

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

/// Approximate size of an answer without tables, bytes: the addresses of the primary and of relays.
const EMPTY_ANSWER_BYTES: usize = 512;
/// Approximate size of a member or store in a placement, bytes.
const MEMBER_BYTES: usize = 128;
/// Approximate size of a shard's view in a placement, bytes.
const VIEW_BYTES: usize = 96;
/// Approximate size of an endpoint in a list, bytes.
const ENDPOINT_BYTES: usize = 160;

/// The tables that a primary publishes in its epoch, and what it needs to compute differences.
#[derive(Clone, Copy, Debug)]
pub struct PublishedTables<'a> {
    /// Epoch in which the primary was elected.
    pub epoch: Epoch,
    /// Committed state of a primary that has had recent contact with a majority.
    pub state: &'a ControlState,
    /// Recent versions of the configuration and the placement.
    pub history: &'a TableHistory,
    /// Endpoint list, as fetched from the platform in this epoch.
    pub directory: &'a Directory,
    /// Leases granted in this epoch.
    pub leases: &'a Leases,
    /// Age up to which the endpoint list is published as current ([`TimeLimits::max_published_list_age`]).
    ///
    /// [`TimeLimits::max_published_list_age`]: crate::TimeLimits::max_published_list_age
    pub max_list_age: Duration,
    /// Internal address of the primary.
    pub primary: &'a str,
}

impl PublishedTables<'_> {
    /// The tables that are newer than those of a subscriber: for each, the difference if it is available and small
    /// enough, else the whole table.
    #[must_use]
    pub fn newer_than(&self, subscriber_versions: TableVersions, now: Micros) -> ChangedTables {
        let mut answer = ChangedTables { tables: self.without_tables(now), ..ChangedTables::default() };
        self.add_configuration(subscriber_versions, &mut answer);
        self.add_placement(subscriber_versions, &mut answer);
        answer.tables.directory = if self.directory.is_current(self.max_list_age, now) {
            self.directory_update(subscriber_versions.directory)
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

    fn add_configuration(&self, subscriber_versions: TableVersions, answer: &mut ChangedTables) {
        let version = self.state.version;
        if version <= subscriber_versions.configuration {
            return;
        }
        match self.history.configuration_delta(subscriber_versions.configuration, self.state) {
            Some(delta) => answer.configuration = Some(Versioned { version, content: delta.clone() }),
            None => {
                let content = self.state.configuration.clone();
                answer.tables.configuration = Some(Versioned { version, content });
            }
        }
    }

    fn add_placement(&self, subscriber_versions: TableVersions, answer: &mut ChangedTables) {
        let version = self.state.placement_version;
        if version <= subscriber_versions.placement {
            return;
        }
        match self.history.placement_delta(subscriber_versions.placement, self.state) {
            Some(delta) => answer.placement = Some(Versioned { version, content: delta.clone() }),
            None => {
                let content = self.state.placement.clone();
                answer.tables.placement = Some(Versioned { version, content });
            }
        }
    }

    /// The update of the endpoint list for a subscriber. If the subscriber's list is of another epoch, it gets the
    /// full list, unless it has the same list that this process had when it was elected.
    fn directory_update(
        &self,
        subscriber_version: DirectoryVersion,
    ) -> Option<Versioned<DirectoryVersion, DirectoryUpdate>> {
        let same_epoch =
            subscriber_version.epoch == self.epoch || breaks::is_enabled(Break::DirectoryOfOtherEpoch);
        let content = if same_epoch {
            self.directory.update_since(subscriber_version.changes)
        } else {
            self.directory.update_since_predecessor(subscriber_version)
        };
        let version = DirectoryVersion { epoch: self.epoch, changes: self.directory.version() };
        content.map(|content| Versioned { version, content })
    }

    /// States that there is no current list: an update of version 0 without changes. An absent update would mean that the
    /// subscriber's list is current.
    fn no_current_list(&self) -> Versioned<DirectoryVersion, DirectoryUpdate> {
        let content = DirectoryUpdate::Delta { changed: Vec::new(), removed: Vec::new() };
        Versioned { version: DirectoryVersion { epoch: self.epoch, changes: 0 }, content }
    }
}

/// Whether an answer contains no table. The poll is then held open until there is one, or until its wait time has passed.
#[must_use]
pub fn is_empty(answer: &ChangedTables) -> bool {
    let ChangedTables { tables, configuration, placement } = answer;
    let has_difference = configuration.is_some() || placement.is_some();
    let has_list = tables.directory.is_some() && comes_from_current_list(tables);
    !has_difference && tables.configuration.is_none() && tables.placement.is_none() && !has_list
}

/// Whether the primary had a current endpoint list when it answered; after this answer the sender of the poll has it
/// as well.
#[must_use]
pub fn comes_from_current_list(tables: &Tables) -> bool {
    tables.directory.as_ref().is_none_or(|update| update.version.changes > 0)
}

/// Approximate size of an answer in a message, bytes: that of its tables, and that of an answer without tables.
#[must_use]
pub fn size(answer: &ChangedTables) -> usize {
    let ChangedTables { tables, configuration, placement } = answer;
    let deltas: usize =
        [configuration, placement].into_iter().flatten().map(|delta| delta.content.estimated_bytes()).sum();
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

/// The response that contains an answer. Without differences it is [`Response::Tables`], which earlier versions of
/// the program also understand.
#[must_use]
pub fn response(answer: ChangedTables) -> Response {
    if answer.configuration.is_none() && answer.placement.is_none() {
        Response::Tables(answer.tables)
    } else {
        Response::ChangedTables(Box::new(answer))
    }
}

/// Whether the sender of a poll is a core member or store that the placement does not contain. It has to be admitted
/// before its poll is answered.
#[must_use]
pub fn needs_admission(state: &ControlState, poll: &Poll) -> bool {
    let node = &poll.node;
    let is_admitted = match node.role {
        NodeRole::Courier => true,
        NodeRole::Core => state.placement.core.contains(node),
        NodeRole::Store => state.placement.stores.contains(node),
    };
    !is_admitted && !poll.draining
}
