//! The endpoints' list with the changes that led to it, so that those who have an earlier version get these only.

use quillmount_wire::messages::{DirectoryUpdate, Endpoint};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Earlier versions that are remembered; who has an older one gets the whole list.
const HISTORY_LIMIT: usize = 64;

/// The list of one reader, from its first reading on.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    list: Rc<Vec<Endpoint>>,
    /// Counts the versions; 0 before the first.
    version: u64,
    /// Ids that changed with each of the last versions, the newest last.
    history: VecDeque<BTreeSet<String>>,
}

/// Whether two entries differ in what couriers act on: not in how many milliseconds of a cold start are left.
fn differs(one: &Endpoint, other: &Endpoint) -> bool {
    let plain = |endpoint: &Endpoint| Endpoint {
        warmup_left_ms: if endpoint.warmup_left_ms > 0.0 { 1.0 } else { 0.0 },
        ..endpoint.clone()
    };
    plain(one) != plain(other)
}

impl Directory {
    pub fn list(&self) -> &Rc<Vec<Endpoint>> {
        &self.list
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a reading; whether anything changed. The first always counts as a change.
    pub fn replace(&mut self, list: Vec<Endpoint>) -> bool {
        let changed = changed_ids(&self.list, &list);
        if changed.is_empty() && self.version > 0 {
            return false;
        }
        self.list = Rc::new(list);
        self.version += 1;
        self.history.push_back(changed);
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
        true
    }

    /// News for one who has version `known_version`; nothing if that is this one.
    pub fn update_since(&self, known_version: u64) -> Option<DirectoryUpdate> {
        if known_version >= self.version {
            return None;
        }
        let missing = (self.version - known_version) as usize;
        if known_version == 0 || missing > self.history.len() {
            return Some(DirectoryUpdate::Full((*self.list).clone()));
        }
        let ids: BTreeSet<&String> = self.history.iter().rev().take(missing).flatten().collect();
        let known: BTreeMap<&str, &Endpoint> =
            self.list.iter().map(|endpoint| (endpoint.id.as_str(), endpoint)).collect();
        let changed = ids.iter().filter_map(|id| known.get(id.as_str()).map(|endpoint| (*endpoint).clone()));
        let removed = ids.iter().filter(|id| !known.contains_key(id.as_str())).map(|id| (*id).clone());
        Some(DirectoryUpdate::Delta { changed: changed.collect(), removed: removed.collect() })
    }
}

fn changed_ids(old: &[Endpoint], new: &[Endpoint]) -> BTreeSet<String> {
    let before: BTreeMap<&str, &Endpoint> =
        old.iter().map(|endpoint| (endpoint.id.as_str(), endpoint)).collect();
    let after: BTreeSet<&str> = new.iter().map(|endpoint| endpoint.id.as_str()).collect();
    let changed = new
        .iter()
        .filter(|endpoint| before.get(endpoint.id.as_str()).is_none_or(|old| differs(old, endpoint)));
    let removed = before.keys().filter(|id| !after.contains(*id)).map(|id| (*id).to_owned());
    changed.map(|endpoint| endpoint.id.clone()).chain(removed).collect()
}

/// The list after news, ordered by id.
pub fn apply_update(list: &[Endpoint], update: DirectoryUpdate) -> Vec<Endpoint> {
    match update {
        DirectoryUpdate::Full(list) => list,
        DirectoryUpdate::Delta { changed, removed } => {
            let mut all: BTreeMap<String, Endpoint> =
                list.iter().map(|endpoint| (endpoint.id.clone(), endpoint.clone())).collect();
            removed.iter().for_each(|id| {
                all.remove(id);
            });
            all.extend(changed.into_iter().map(|endpoint| (endpoint.id.clone(), endpoint)));
            all.into_values().collect()
        }
    }
}
