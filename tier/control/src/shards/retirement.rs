//! Retirement of a store: after the operator's request, the planner moves all replicas of the store to other stores.

use super::view::has_replica;
use crate::state::ControlState;
use quillmount_wire::messages::DiskId;

/// Progress of a store's retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// No store has this name.
    Unknown,
    /// The request was rejected because too few stores would remain.
    TooFew,
    /// The store still has replicas, or its retirement was not requested.
    Serving,
    /// The store is retiring and has no replicas left; it may be shut down.
    Done,
}

impl ControlState {
    /// Starts the retirement of a store. Rejected unless more than `tolerated_failures` other stores remain that are
    /// not retiring.
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

    /// Progress of a store's retirement; it is done once no shard has a replica on the store.
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
