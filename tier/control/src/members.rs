//! Members of the core and stores: admission by the identity of their disk.

use crate::state::ControlState;
use quillmount_wire::messages::{DiskId, NodeInfo};
use std::collections::BTreeSet;

/// Core members at most.
pub const CORE_LIMIT: usize = 15;
/// Stores at most.
pub const STORE_LIMIT: usize = 256;

/// What a node's request to take part came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Already there, unchanged.
    Known,
    /// The state was changed.
    Admitted,
    /// There is no room.
    Rejected,
}

impl ControlState {
    /// Admits a core member; one of the same name or address with another disk is replaced, and so is one silent member.
    pub fn admit_core_member(&mut self, node: &NodeInfo, silent: &BTreeSet<DiskId>) -> Admission {
        let core = &mut self.placement.core;
        if let Some(known) = core.iter_mut().find(|known| known.disk == node.disk) {
            if known == node {
                return Admission::Known;
            }
            *known = node.clone();
            self.placement_changed();
            return Admission::Admitted;
        }
        let same_machine = |known: &NodeInfo| known.name == node.name || known.internal == node.internal;
        let replaced = core
            .iter()
            .position(same_machine)
            .or_else(|| core.iter().position(|known| silent.contains(&known.disk)));
        match replaced {
            Some(index) => core[index] = node.clone(),
            None if core.len() < CORE_LIMIT => core.push(node.clone()),
            None => return Admission::Rejected,
        }
        self.placement_changed();
        Admission::Admitted
    }

    /// Takes silent members out, as long as enough others stay to lose as many as may be lost; whether any went.
    pub fn remove_silent_core_members(
        &mut self,
        silent: &BTreeSet<DiskId>,
        tolerated_failures: usize,
    ) -> bool {
        let needed = 2 * tolerated_failures + 1;
        let live = self.placement.core.iter().filter(|node| !silent.contains(&node.disk)).count();
        if live < needed || live == self.placement.core.len() {
            return false;
        }
        self.placement.core.retain(|node| !silent.contains(&node.disk));
        self.placement_changed();
        true
    }

    /// Admits a store; one of the same name with another disk is replaced: what it held is gone.
    pub fn admit_store(&mut self, node: &NodeInfo) -> Admission {
        let stores = &mut self.placement.stores;
        if let Some(known) = stores.iter_mut().find(|known| known.disk == node.disk) {
            if known == node {
                return Admission::Known;
            }
            *known = node.clone();
            self.placement_changed();
            return Admission::Admitted;
        }
        let same_machine = |known: &NodeInfo| known.name == node.name || known.internal == node.internal;
        stores.retain(|known| !same_machine(known));
        if stores.len() >= STORE_LIMIT {
            return Admission::Rejected;
        }
        stores.push(node.clone());
        self.placement_changed();
        Admission::Admitted
    }

    /// Disks of the core's members.
    pub fn core_disks(&self) -> Vec<DiskId> {
        self.placement.core.iter().map(|node| node.disk).collect()
    }
}
