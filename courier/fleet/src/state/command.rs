//! The commands that change the replicated state, and the events that say what they have changed.

use super::{Epoch, JournalId, PartitionId};
use crate::NodeId;
use crate::budget;
use crate::config::Name;
use crate::settlement;
use crate::shares::BudgetKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A change of the replicated state. Each names the conditions under which it is valid, so that a late or repeated one
/// changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// A courier's process has started and wants to be registered.
    Join {
        /// The courier.
        name: Name,
        /// Its id in the agreement.
        node_id: NodeId,
        /// Random number of the process.
        incarnation: u64,
        /// Lineage of the journal in its folder, if there is one.
        journal: Option<Epoch>,
    },
    /// A courier's lease has expired, or it leaves: its journal is sealed.
    Deregister {
        /// The courier.
        name: Name,
        /// The registration that ends.
        epoch: Epoch,
    },
    /// A journal's owner wants these replicas.
    SetReplicas {
        /// The journal.
        journal: JournalId,
        /// The version that the owner knows.
        version: u64,
        /// The wanted replicas.
        replicas: BTreeSet<Name>,
    },
    /// A partition's records are in the journal of the courier that it is assigned to.
    Adopted {
        /// The partition.
        source: PartitionId,
        /// The courier.
        by: Name,
        /// The courier's registration.
        epoch: Epoch,
    },
    /// The adopting courier's journal records the adoption.
    Done {
        /// The partition.
        source: PartitionId,
        /// The courier.
        by: Name,
        /// The courier's registration.
        epoch: Epoch,
    },
    /// A change of a partner's budget.
    Budget(BudgetKind, budget::BudgetCommand),
    /// A change of a settlement.
    Settlement(settlement::SettlementCommand),
}

/// What a command has changed in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// A courier is registered.
    Joined {
        /// The courier.
        name: Name,
        /// Number of the registration.
        epoch: Epoch,
        /// Random number of its process.
        incarnation: u64,
        /// Whether the journal in its folder is still its own.
        retained: bool,
    },
    /// A courier's registration has ended.
    Deregistered {
        /// The courier.
        name: Name,
        /// Number of the registration.
        epoch: Epoch,
    },
    /// A journal has a new epoch, as its owner goes on with it in a new process.
    Renamed {
        /// Its former id.
        from: JournalId,
        /// Its id now.
        to: JournalId,
    },
    /// A journal is sealed: its owner may not write it any more.
    Sealed(JournalId),
    /// A journal has other replicas, or another version.
    ReplicasChanged(JournalId),
    /// A partition is assigned to another courier, or to the first one.
    Assigned(PartitionId),
    /// A partition is adopted by this courier under this epoch.
    Adopted(PartitionId, Name, Epoch),
    /// A journal is forgotten: all of its partitions are done, or it never had replicas.
    Retired(JournalId),
    /// Couriers' shares of partners' budgets have changed.
    BudgetsChanged,
    /// A settlement has changed.
    Settlement(settlement::SettlementEvent),
}
