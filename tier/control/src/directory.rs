//! The endpoint list with its recent changes, so that a subscriber with an earlier version gets only the difference.
//!
//! The primary of the core fetches the list from the platform at intervals, stores it with [`Directory::replace`],
//! and sends each subscriber the result of [`Directory::update_since`]; the subscriber applies it with
//! [`apply_update`].
//!
//! A list is current for a limited time after its fetch started ([`Directory::is_current`]). A primary that was
//! suspended, or has just been elected, has no current list until its next fetch completes.

use quillmount_wire::Micros;
use quillmount_wire::messages::{DirectoryUpdate, DirectoryVersion, Endpoint};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Interval between the starts of two fetches of the list by the primary.
pub const READ_INTERVAL: Duration = Duration::from_millis(600);

/// Number of versions whose changes are retained; a subscriber with an older version gets the full list.
const HISTORY_LIMIT: usize = 64;

/// The endpoint list of one primary, from its first fetch on.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    list: Rc<Vec<Endpoint>>,
    /// Number of changes of `list`; 0 before the first fetch.
    version: u64,
    /// Ids changed by each recent version, the newest last; at most [`HISTORY_LIMIT`] versions.
    history: VecDeque<BTreeSet<String>>,
    /// When the newest fetch started, or when the platform was last found not to provide its list, whichever is
    /// later; `None` before either.
    current_as_of: Option<Micros>,
    /// A list of an earlier epoch that subscribers may have.
    predecessor: Option<Predecessor>,
}

/// The list that this process had as a subscriber when it was elected.
#[derive(Clone, Debug)]
struct Predecessor {
    version: DirectoryVersion,
    list: Rc<Vec<Endpoint>>,
    /// Difference from `list` to the current list.
    update: DirectoryUpdate,
}

impl Directory {
    /// A directory before its first fetch, in a process that has `list` from an earlier epoch. A version with 0
    /// changes denotes a list that the process fetched itself; no subscriber has the same list, so it is ignored.
    #[must_use]
    pub fn succeeding(version: DirectoryVersion, list: Rc<Vec<Endpoint>>) -> Directory {
        let update = DirectoryUpdate::Delta { changed: Vec::new(), removed: Vec::new() };
        let predecessor = (version.changes > 0).then_some(Predecessor { version, list, update });
        Directory { predecessor, ..Directory::default() }
    }

    /// The list as of the newest fetch; empty before the first.
    #[must_use]
    pub fn list(&self) -> &Rc<Vec<Endpoint>> {
        &self.list
    }

    /// Version of the list within this epoch; 0 before the first fetch.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the list was the newest that the platform provided at some time in the last `max_age`.
    #[must_use]
    pub fn is_current(&self, max_age: Duration, now: Micros) -> bool {
        self.current_as_of
            .is_some_and(|current_as_of| now.saturating_sub(current_as_of) <= max_age.as_micros() as Micros)
    }

    /// Records that the platform does not provide its list now because it is down, slow or unreachable. No newer list
    /// is available, so the present one counts as current.
    pub fn note_unavailable(&mut self, now: Micros) {
        self.current_as_of = self.current_as_of.max(Some(now));
    }

    /// Replaces the list with the result of a fetch that started at `started_at`; returns whether anything changed.
    /// The first fetch always counts as a change.
    pub fn replace(&mut self, list: Vec<Endpoint>, started_at: Micros) -> bool {
        self.current_as_of = self.current_as_of.max(Some(started_at));
        let changed = changed_ids(&self.list, &list);
        if changed.is_empty() && self.version > 0 {
            return false;
        }
        if let Some(predecessor) = &mut self.predecessor {
            let ids = changed_ids(&predecessor.list, &list);
            predecessor.update = difference(&ids, &list);
        }
        self.list = Rc::new(list);
        self.version += 1;
        self.history.push_back(changed);
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
        true
    }

    /// The update for a subscriber that has version `known_version` of this epoch; `None` if that is the current
    /// version or later.
    #[must_use]
    pub fn update_since(&self, known_version: u64) -> Option<DirectoryUpdate> {
        if known_version >= self.version {
            return None;
        }
        let missing = (self.version - known_version) as usize;
        if known_version == 0 || missing > self.history.len() {
            return Some(DirectoryUpdate::Full((*self.list).clone()));
        }
        let ids: BTreeSet<String> = self.history.iter().rev().take(missing).flatten().cloned().collect();
        Some(difference(&ids, &self.list))
    }

    /// The update for a subscriber that has version `subscriber_version` of another epoch; `None` before the first
    /// fetch. It is a difference if the subscriber has the list that this process had when it was elected, else the
    /// full list.
    #[must_use]
    pub fn update_since_predecessor(&self, subscriber_version: DirectoryVersion) -> Option<DirectoryUpdate> {
        let predecessor =
            self.predecessor.as_ref().filter(|predecessor| predecessor.version == subscriber_version);
        match predecessor {
            Some(predecessor) if self.version > 0 => Some(predecessor.update.clone()),
            _ => self.update_since(0),
        }
    }
}

/// The update to a new list for a subscriber to whose list entries with these ids were added, changed or removed.
fn difference(ids: &BTreeSet<String>, list: &[Endpoint]) -> DirectoryUpdate {
    let current = by_id(list);
    let changed = ids.iter().filter_map(|id| current.get(id.as_str()).map(|endpoint| (*endpoint).clone()));
    let removed = ids.iter().filter(|id| !current.contains_key(id.as_str())).cloned();
    DirectoryUpdate::Delta { changed: changed.collect(), removed: removed.collect() }
}

/// Applies an update to the list of a subscriber; the result is ordered by id if the update is a difference.
#[must_use]
pub fn apply_update(list: &[Endpoint], update: DirectoryUpdate) -> Vec<Endpoint> {
    match update {
        DirectoryUpdate::Full(list) => list,
        DirectoryUpdate::Delta { changed, removed } => {
            let mut endpoints: BTreeMap<String, Endpoint> =
                list.iter().map(|endpoint| (endpoint.id.clone(), endpoint.clone())).collect();
            for id in &removed {
                endpoints.remove(id);
            }
            endpoints.extend(changed.into_iter().map(|endpoint| (endpoint.id.clone(), endpoint)));
            endpoints.into_values().collect()
        }
    }
}

/// Ids that were added, removed or changed between two fetches.
fn changed_ids(old: &[Endpoint], new: &[Endpoint]) -> BTreeSet<String> {
    let before = by_id(old);
    let after = by_id(new);
    let changed = new
        .iter()
        .filter(|endpoint| {
            before.get(endpoint.id.as_str()).is_none_or(|old| differs_for_couriers(old, endpoint))
        })
        .map(|endpoint| endpoint.id.clone());
    let removed = before.keys().filter(|id| !after.contains_key(*id)).map(|id| (*id).to_owned());
    changed.chain(removed).collect()
}

fn by_id(list: &[Endpoint]) -> BTreeMap<&str, &Endpoint> {
    list.iter().map(|endpoint| (endpoint.id.as_str(), endpoint)).collect()
}

/// Whether two entries differ in a property that couriers use. They use whether an endpoint is warming up, but not
/// how many milliseconds of its warm-up are left.
fn differs_for_couriers(one: &Endpoint, other: &Endpoint) -> bool {
    let without_countdown = |endpoint: &Endpoint| Endpoint {
        warmup_left_ms: if endpoint.warmup_left_ms > 0.0 { 1.0 } else { 0.0 },
        ..endpoint.clone()
    };
    without_countdown(one) != without_countdown(other)
}
