//! Admission of core members and stores, which are identified by their disk.
//!
//! A disk has an identity that was drawn when it was empty. A node that comes back with another disk has lost what it
//! had stored: it takes the place of the former node but none of its data.

use crate::state::ControlState;
use quillmount_wire::messages::{DiskId, NodeInfo};
use std::collections::BTreeSet;

/// Upper bound on core members.
const CORE_LIMIT: usize = 15;
/// Upper bound on stores.
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
    /// It replaces a member of the same name or address with another disk, or else one of the `silent` members.
    pub fn admit_core_member(&mut self, node: &NodeInfo, silent: &BTreeSet<DiskId>) -> Admission {
        let admission = admit_to_core(&mut self.placement.core, node, silent);
        self.conclude_admission(admission)
    }

    /// Removes silent core members if at least `2 * tolerated_failures + 1` others stay; returns whether any was
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

    /// Admits a store. It replaces stores of the same name or address with another disk, whose data is lost.
    pub fn admit_store(&mut self, node: &NodeInfo) -> Admission {
        let admission = admit_to_stores(&mut self.placement.stores, node);
        self.conclude_admission(admission)
    }

    /// Disks of the core members.
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
    if let Some(admission) = update_known(core, node) {
        return admission;
    }
    let replaced = core
        .iter()
        .position(|known| is_same_machine(known, node))
        .or_else(|| core.iter().position(|known| silent.contains(&known.disk)));
    match replaced {
        Some(index) => core[index] = node.clone(),
        None if core.len() < CORE_LIMIT => core.push(node.clone()),
        None => return Admission::Rejected,
    }
    Admission::Admitted
}

fn admit_to_stores(stores: &mut Vec<NodeInfo>, node: &NodeInfo) -> Admission {
    if let Some(admission) = update_known(stores, node) {
        return admission;
    }
    stores.retain(|known| !is_same_machine(known, node));
    if stores.len() >= STORE_LIMIT {
        return Admission::Rejected;
    }
    stores.push(node.clone());
    Admission::Admitted
}

/// Updates the entry with the node's disk; `None` if there is none.
fn update_known(nodes: &mut [NodeInfo], node: &NodeInfo) -> Option<Admission> {
    let known = nodes.iter_mut().find(|known| known.disk == node.disk)?;
    if known == node {
        return Some(Admission::Known);
    }
    *known = node.clone();
    Some(Admission::Admitted)
}

fn is_same_machine(known: &NodeInfo, node: &NodeInfo) -> bool {
    known.name == node.name || known.internal == node.internal
}
