//! The endpoint list with its recent changes, so that a subscriber with an earlier version gets only the difference.
//!
//! The primary of the core replaces the list with each reading ([`Directory::replace`]) and sends each subscriber
//! what [`Directory::update_since`] gives; the subscriber applies it with [`apply_update`].
//!
//! A list is current for a limited time after its reading began ([`Directory::is_current`]). A primary that stood still, or was
//! elected just now, has none until its next reading has ended.

use quillmount_wire::Micros;
use quillmount_wire::messages::{DirectoryUpdate, DirectoryVersion, Endpoint};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Interval between the starts of two readings of the list by the primary.
pub const READ_INTERVAL: Duration = Duration::from_millis(600);

/// Number of versions of which the changes are remembered; a subscriber with an older one gets the full list.
const HISTORY_LIMIT: usize = 64;

/// The endpoint list as one primary has read it, from its first reading on.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    list: Rc<Vec<Endpoint>>,
    /// Counts the changes of `list`; 0 before the first reading.
    version: u64,
    /// Ids that changed with each of the last versions, the newest last; at most [`HISTORY_LIMIT`].
    history: VecDeque<BTreeSet<String>>,
    /// When the newest reading began, or the platform was last found not to give its list, whichever is later; `None` before.
    current_at: Option<Micros>,
    /// The list of an earlier epoch that subscribers may have.
    predecessor: Option<Predecessor>,
}

/// The list that this process had as a subscriber when it was elected.
#[derive(Clone, Debug)]
struct Predecessor {
    version: DirectoryVersion,
    list: Rc<Vec<Endpoint>>,
    /// The changes from `list` to the current list.
    update: DirectoryUpdate,
}

impl Directory {
    /// A directory without a reading, at a process that has this list of an earlier epoch. A list without changes counted is one that
    /// the process has read itself: no other has the same.
    #[must_use]
    pub fn succeeding(version: DirectoryVersion, list: Rc<Vec<Endpoint>>) -> Directory {
        let update = DirectoryUpdate::Delta { changed: Vec::new(), removed: Vec::new() };
        let predecessor = (version.changes > 0).then_some(Predecessor { version, list, update });
        Directory { predecessor, ..Directory::default() }
    }

    /// The current list.
    #[must_use]
    pub fn list(&self) -> &Rc<Vec<Endpoint>> {
        &self.list
    }

    /// Version of the current list; 0 before the first reading.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the list is as new as the platform allowed at most `max_age` ago.
    #[must_use]
    pub fn is_current(&self, max_age: Duration, now: Micros) -> bool {
        self.current_at.is_some_and(|at| now.saturating_sub(at) <= max_age.as_micros() as Micros)
    }

    /// Notes that the platform does not give its list at this time, as it is down, slow or cut off: the list is as new as can be.
    pub fn note_unavailable(&mut self, now: Micros) {
        self.current_at = self.current_at.max(Some(now));
    }

    /// Replaces the list by a reading that began at `began`; returns whether anything changed. The first reading always counts
    /// as a change.
    pub fn replace(&mut self, list: Vec<Endpoint>, began: Micros) -> bool {
        self.current_at = self.current_at.max(Some(began));
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

    /// The update for a subscriber that has version `known_version`; `None` if that is the current one or a later one.
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

    /// The update for a subscriber that has a list of another epoch; `None` before the first reading.
    #[must_use]
    pub fn update_since_predecessor(&self, known: DirectoryVersion) -> Option<DirectoryUpdate> {
        let same_list = self.predecessor.as_ref().filter(|predecessor| predecessor.version == known);
        match same_list {
            Some(predecessor) if self.version > 0 => Some(predecessor.update.clone()),
            _ => self.update_since(0),
        }
    }
}

/// The update that leads to a list, for a subscriber to whom entries with these ids are new, changed or gone.
fn difference(ids: &BTreeSet<String>, list: &[Endpoint]) -> DirectoryUpdate {
    let current = by_id(list);
    let changed = ids.iter().filter_map(|id| current.get(id.as_str()).map(|endpoint| (*endpoint).clone()));
    let removed = ids.iter().filter(|id| !current.contains_key(id.as_str())).cloned();
    DirectoryUpdate::Delta { changed: changed.collect(), removed: removed.collect() }
}

/// The list of a subscriber after an update; ordered by id if the update is a difference.
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

/// Ids that were added, removed or changed between two readings.
fn changed_ids(old: &[Endpoint], new: &[Endpoint]) -> BTreeSet<String> {
    let before = by_id(old);
    let after = by_id(new);
    let changed = new
        .iter()
        .filter(|endpoint| before.get(endpoint.id.as_str()).is_none_or(|old| differs(old, endpoint)))
        .map(|endpoint| endpoint.id.clone());
    let removed = before.keys().filter(|id| !after.contains_key(*id)).map(|id| (*id).to_owned());
    changed.chain(removed).collect()
}

fn by_id(list: &[Endpoint]) -> BTreeMap<&str, &Endpoint> {
    list.iter().map(|endpoint| (endpoint.id.as_str(), endpoint)).collect()
}

/// Whether two entries differ in what couriers act on. They act on whether an endpoint is warming up, not on how many
/// milliseconds of that are left.
fn differs(one: &Endpoint, other: &Endpoint) -> bool {
    let without_countdown = |endpoint: &Endpoint| Endpoint {
        warmup_left_ms: if endpoint.warmup_left_ms > 0.0 { 1.0 } else { 0.0 },
        ..endpoint.clone()
    };
    without_countdown(one) != without_countdown(other)
}
