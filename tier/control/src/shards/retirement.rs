//! Retirement of a store: the operator orders it to be emptied, and the planner moves its replicas elsewhere.

use super::view::has_replica;
use crate::state::ControlState;
use quillmount_wire::messages::DiskId;

/// Progress of a store's retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// There is no store of that name.
    Unknown,
    /// The order was rejected: too few stores would remain.
    TooFew,
    /// The store still has replicas, or was not ordered to retire.
    Serving,
    /// The store is retiring and has no replica: it may be switched off.
    Done,
}

impl ControlState {
    /// Orders a store to be emptied. Rejected if no more than `tolerated_failures` others would remain.
    pub fn retire(&mut self, name: &str, tolerated_failures: usize) -> Retirement {
        let Some(disk) = self.store_disk(name) else { return Retirement::Unknown };
        if self.retiring.contains(&disk) {
            return self.retirement(name);
        }
        let stores = self.placement.stores.iter().map(|store| store.disk);
        let remaining = stores.filter(|other| *other != disk && !self.retiring.contains(other)).count();
        if remaining <= tolerated_failures {
            return Retirement::TooFew;
        }
        self.retiring.push(disk);
        self.placement_changed();
        Retirement::Serving
    }

    /// Progress of a store's retirement: done once no shard has a replica there.
    #[must_use]
    pub fn retirement(&self, name: &str) -> Retirement {
        let Some(disk) = self.store_disk(name) else { return Retirement::Unknown };
        let empty = !self.placement.shards.iter().any(|view| has_replica(view, disk));
        if empty && self.retiring.contains(&disk) { Retirement::Done } else { Retirement::Serving }
    }

    fn store_disk(&self, name: &str) -> Option<DiskId> {
        self.placement.stores.iter().find(|store| store.name == name).map(|store| store.disk)
    }
}
