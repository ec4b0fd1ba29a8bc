//! The commands that change the replicated state, and the events that describe the changes.

use super::{Epoch, JournalId, PartitionId};
use crate::NodeId;
use crate::budget;
use crate::config::Name;
use crate::settlement;
use crate::shares::BudgetKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A change of the replicated state. Each command has the conditions under which it is valid, so that a late or
/// duplicated command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// A courier's process has started and requests a registration.
    Join {
        /// The courier's name.
        name: Name,
        /// The courier's id in the consensus group.
        node_id: NodeId,
        /// A random number that identifies the process.
        incarnation: u64,
        /// The lineage of the journal in the courier's folder, if there is one.
        journal: Option<Epoch>,
    },
    /// A courier's lease has expired, or the courier leaves the fleet. Its journal is sealed.
    Deregister {
        /// The courier's name.
        name: Name,
        /// The number of the registration that ends.
        epoch: Epoch,
    },
    /// A journal's owner requests a set of replicas.
    SetReplicas {
        /// The id of the journal.
        journal: JournalId,
        /// The version of the replica set on which the request is based.
        version: u64,
        /// The requested replicas.
        replicas: BTreeSet<Name>,
    },
    /// The courier to which a partition is assigned has the partition's records in its own journal.
    Adopted {
        /// The partition of the sealed journal.
        source: PartitionId,
        /// The adopting courier.
        by: Name,
        /// The epoch of the adopting courier.
        epoch: Epoch,
    },
    /// The adopting courier's journal records the adoption.
    Done {
        /// The partition of the sealed journal.
        source: PartitionId,
        /// The adopting courier.
        by: Name,
        /// The epoch of the adopting courier.
        epoch: Epoch,
    },
    /// A change of a partner's budget.
    Budget(BudgetKind, budget::BudgetCommand),
    /// A change of a settlement.
    Settlement(settlement::SettlementCommand),
}

/// A change that a command has made to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// A courier was registered.
    Joined {
        /// The courier's name.
        name: Name,
        /// The number of the registration.
        epoch: Epoch,
        /// A random number that identifies the courier's process.
        incarnation: u64,
        /// Whether the courier continues the journal in its folder.
        retained: bool,
    },
    /// A courier's registration has ended.
    Deregistered {
        /// The courier's name.
        name: Name,
        /// The number of the registration.
        epoch: Epoch,
    },
    /// A journal has a new epoch, because its owner continues it in a new process.
    Renamed {
        /// The former id of the journal.
        from: JournalId,
        /// The new id of the journal.
        to: JournalId,
    },
    /// A journal was sealed, and its owner must no longer write to it.
    Sealed(JournalId),
    /// The replicas of a journal or their version have changed.
    ReplicasChanged(JournalId),
    /// A partition was assigned to a courier.
    Assigned(PartitionId),
    /// A partition was adopted by this courier under this epoch.
    Adopted(PartitionId, Name, Epoch),
    /// A journal was removed because all of its partitions are done or it never had replicas.
    Retired(JournalId),
    /// A budget or a courier's share of it has changed.
    BudgetsChanged,
    /// The state of a settlement has changed.
    Settlement(settlement::SettlementEvent),
}
