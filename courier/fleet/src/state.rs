//! The replicated state of the fleet: the members with their epochs, the journals with their replicas, and the
//! takeover of the journals of lost couriers.
//!
//! Every courier applies the same committed commands in the same order ([`FleetState::apply`]), so all couriers have
//! the same state. It doesn't depend on the time. The state is stored and sent in postcard encoding, which depends on
//! the order of fields and variants, so that must not change.

mod apply;
mod command;

pub use crate::ids::{Epoch, JournalId, PARTITIONS, PartitionId, partition_of};
pub use command::{FleetCommand, FleetEvent};

use crate::NodeId;
use crate::config::Name;
use crate::settlement;
use crate::shares::SharedBudgets;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of journals, sealed ones included. Beyond it no member is registered until takeovers are complete,
/// as each lost courier adds a sealed journal.
pub const MAX_JOURNALS: usize = 4_096;

/// The latest registration of a courier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The courier's id in the consensus group.
    pub node_id: NodeId,
    /// A random number that identifies the courier's process.
    pub incarnation: u64,
    /// The number of the registration.
    pub epoch: Epoch,
    /// Whether the courier is a member: its lease has not expired, and it has not left.
    pub serving: bool,
}

/// The takeover state of one partition of a sealed journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionState {
    /// No serving courier could be assigned.
    Unassigned,
    /// The courier, under this epoch, has to copy the partition into its own journal.
    Assigned(Name, Epoch),
    /// The courier has the partition in its own journal and processes its messages.
    Adopted(Name, Epoch),
    /// The adopting courier's journal records the adoption, so this state no longer needs to.
    Done,
}

/// A journal and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedJournal {
    /// The epoch under which the journal was created. It stays the same as long as its owner continues the journal.
    pub lineage: Epoch,
    /// The couriers that need to have a record before it is acknowledged.
    pub replicas: BTreeSet<Name>,
    /// Incremented with each change of `replicas`, and whenever a folder with a replica may have been lost. While it
    /// is 0, no record of the journal is acknowledged.
    pub version: u64,
    /// The takeover state of each partition; `None` while the journal isn't sealed and its owner writes it.
    pub sealed: Option<Vec<PartitionState>>,
}

impl ReplicatedJournal {
    /// Whether the journal is sealed and all of its partitions are done.
    fn is_complete(&self) -> bool {
        let sealed = self.sealed.as_ref();
        sealed.is_some_and(|partitions| partitions.iter().all(|state| *state == PartitionState::Done))
    }
}

/// The replicated state of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// The epoch of the latest registration.
    pub epoch: Epoch,
    /// The latest registration of each courier that has ever been a member.
    pub members: BTreeMap<Name, Registration>,
    /// All journals that are in use or whose takeover isn't complete.
    pub journals: BTreeMap<JournalId, ReplicatedJournal>,
    /// Partners' budgets, and the couriers' shares of them.
    pub shared: SharedBudgets,
    /// The owners of settlements, and the verdicts of finished ones.
    pub settlements: settlement::SettlementRegistry,
}

impl FleetState {
    /// The names of the couriers that are currently members.
    pub fn serving(&self) -> BTreeSet<Name> {
        self.serving_members().map(|(name, _)| name.clone()).collect()
    }

    /// The registrations of the couriers that are currently members.
    pub(crate) fn serving_members(&self) -> impl Iterator<Item = (&Name, &Registration)> {
        self.members.iter().filter(|(_, member)| member.serving)
    }

    /// The epoch of a courier's registration; `None` if it isn't currently a member.
    pub fn epoch_of(&self, name: &str) -> Option<Epoch> {
        self.members.get(name).filter(|m| m.serving).map(|m| m.epoch)
    }

    /// The takeover state of a partition; `None` if the journal doesn't exist or isn't sealed.
    pub fn partition(&self, source: &PartitionId) -> Option<&PartitionState> {
        self.journals.get(&source.journal)?.sealed.as_ref()?.get(source.partition)
    }

    /// The partitions that a courier has to take over: those assigned to it under this epoch.
    pub fn assigned_to<'a>(&'a self, name: &'a str, epoch: Epoch) -> impl Iterator<Item = PartitionId> + 'a {
        self.partitions_where(move |partition| {
            matches!(partition, PartitionState::Assigned(courier, at_epoch) if courier == name && *at_epoch == epoch)
        })
    }

    /// The partitions that a courier has adopted under this epoch and that are not done yet.
    pub fn adopted_by<'a>(&'a self, name: &'a str, epoch: Epoch) -> impl Iterator<Item = PartitionId> + 'a {
        self.partitions_where(move |partition| {
            matches!(partition, PartitionState::Adopted(courier, at_epoch) if courier == name && *at_epoch == epoch)
        })
    }

    fn partitions_where<'a>(
        &'a self,
        matches_state: impl Fn(&PartitionState) -> bool + Copy + 'a,
    ) -> impl Iterator<Item = PartitionId> + 'a {
        self.journals.iter().flat_map(move |(id, journal)| {
            let partitions = journal.sealed.iter().flatten().enumerate();
            partitions
                .filter(move |(_, partition)| matches_state(partition))
                .map(move |(partition, _)| PartitionId { journal: id.clone(), partition })
        })
    }
}
