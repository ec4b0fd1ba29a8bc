//! Admission of core members and stores, which are identified by their disk.
//!
//! A disk gets a random identity when it is first used. A node that returns with another disk has lost its stored
//! data: it replaces the former node but counts as empty.

use crate::state::ControlState;
use quillmount_wire::messages::{DiskId, NodeInfo};
use std::collections::BTreeSet;

/// Maximum number of core members.
const CORE_LIMIT: usize = 15;
/// Maximum number of stores.
const STORE_LIMIT: usize = 256;

/// Outcome of a node's request to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The node was admitted before; nothing changed.
    Known,
    /// The node was admitted or its entry updated; the state changed.
    Admitted,
    /// The limit is reached; nothing changed.
    Rejected,
}

impl ControlState {
    /// Admits a core member.
    ///
    /// It replaces a member with the same name or address but another disk, else one of the `silent` members; if there is
    /// neither, it is added.
    pub fn admit_core_member(&mut self, node: &NodeInfo, silent: &BTreeSet<DiskId>) -> Admission {
        let admission = admit_to_core(&mut self.placement.core, node, silent);
        self.conclude_admission(admission)
    }

    /// Removes silent core members if at least `2 * tolerated_failures + 1` others remain; returns whether any was
    /// removed.
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

    /// Admits a store. It replaces stores with the same name or address but another disk; their data is lost.
    pub fn admit_store(&mut self, node: &NodeInfo) -> Admission {
        let admission = admit_to_stores(&mut self.placement.stores, node);
        self.conclude_admission(admission)
    }

    /// Disks of the core members, in the order of the placement.
    #[must_use]
    pub fn core_disks(&self) -> Vec<DiskId> {
        self.placement.core.iter().map(|node| node.disk).collect()
    }

    fn conclude_admission(&mut self, admission: Admission) -> Admission {
        if admission == Admission::Admitted {
            self.placement_changed();
        }
        admission
    }
}

fn admit_to_core(core: &mut Vec<NodeInfo>, node: &NodeInfo, silent: &BTreeSet<DiskId>) -> Admission {
    if let Some(admission) = update_existing(core, node) {
        return admission;
    }
    let replaced = core
        .iter()
        .position(|existing| is_same_machine(existing, node))
        .or_else(|| core.iter().position(|existing| silent.contains(&existing.disk)));
    match replaced {
        Some(index) => core[index] = node.clone(),
        None if core.len() < CORE_LIMIT => core.push(node.clone()),
        None => return Admission::Rejected,
    }
    Admission::Admitted
}

fn admit_to_stores(stores: &mut Vec<NodeInfo>, node: &NodeInfo) -> Admission {
    if let Some(admission) = update_existing(stores, node) {
        return admission;
    }
    stores.retain(|existing| !is_same_machine(existing, node));
    if stores.len() >= STORE_LIMIT {
        return Admission::Rejected;
    }
    stores.push(node.clone());
    Admission::Admitted
}

/// Updates the existing entry for the node's disk; `None` if there is none.
fn update_existing(nodes: &mut [NodeInfo], node: &NodeInfo) -> Option<Admission> {
    let existing = nodes.iter_mut().find(|existing| existing.disk == node.disk)?;
    if existing == node {
        return Some(Admission::Known);
    }
    *existing = node.clone();
    Some(Admission::Admitted)
}

fn is_same_machine(existing: &NodeInfo, node: &NodeInfo) -> bool {
    existing.name == node.name || existing.internal == node.internal
}
