//! The replicated state of the fleet: the members and their epochs, the journals, their replicas, and the takeovers of
//! their partitions.
//!
//! Every courier applies the same committed commands in the same order ([`FleetState::apply`]), so all couriers have
//! the same state. The state does not depend on the time. It is stored and sent in postcard's encoding, which
//! identifies fields and variants by position: they must not be reordered.

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

/// Maximum number of journals, including sealed ones. At this limit no member is registered until takeovers complete,
/// as each lost courier adds a sealed journal.
pub const MAX_JOURNALS: usize = 4_096;

/// The latest registration of a courier as a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The courier's id in the Raft group.
    pub node_id: NodeId,
    /// Random number of the registered process.
    pub incarnation: u64,
    /// Number of the registration, which is the fencing token of the process.
    pub epoch: Epoch,
    /// Whether the courier is a member: its lease has not expired, and it has not left.
    pub serving: bool,
}

/// The progress of the takeover of one partition of a sealed journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionState {
    /// No serving courier can take the partition over.
    Unassigned,
    /// The courier, under this epoch, has to copy the partition into its own journal.
    Assigned(Name, Epoch),
    /// The courier has the partition's records in its own journal and processes them.
    Adopted(Name, Epoch),
    /// The adopting courier's journal records the adoption, so the state does not have to track the partition.
    Done,
}

/// A journal, its replicas, and the progress of its takeover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedJournal {
    /// The epoch under which the journal was created. It stays the same while the owner continues the journal.
    pub lineage: Epoch,
    /// The couriers that must have a record before it counts as replicated.
    pub replicas: BTreeSet<Name>,
    /// Grows with each change of `replicas`, and whenever a data directory with a replica may have been lost. While the
    /// version is 0, no record of the journal counts as replicated.
    pub version: u64,
    /// The state of each partition; `None` if the journal is not sealed, so that its owner may append to it.
    pub sealed: Option<Vec<PartitionState>>,
}

impl ReplicatedJournal {
    /// Whether the journal is sealed and all of its partitions are done.
    fn is_complete(&self) -> bool {
        let sealed = self.sealed.as_ref();
        sealed.is_some_and(|partitions| partitions.iter().all(|state| *state == PartitionState::Done))
    }
}

/// The replicated state of the fleet, which results from the committed commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// The epoch of the latest registration.
    pub epoch: Epoch,
    /// The latest registration of each courier that was ever a member.
    pub members: BTreeMap<Name, Registration>,
    /// All journals that are in use or whose takeover is not complete.
    pub journals: BTreeMap<JournalId, ReplicatedJournal>,
    /// Partners' budgets and the couriers' shares of them.
    pub shared: SharedBudgets,
    /// The owners of settlements and the verdicts of finished ones.
    pub settlements: settlement::SettlementRegistry,
}

impl FleetState {
    /// The names of the couriers that are members.
    pub fn serving(&self) -> BTreeSet<Name> {
        self.serving_members().map(|(name, _)| name.clone()).collect()
    }

    /// The registrations of the couriers that are members.
    pub(crate) fn serving_members(&self) -> impl Iterator<Item = (&Name, &Registration)> {
        self.members.iter().filter(|(_, member)| member.serving)
    }

    /// The epoch of a courier's registration; `None` if the courier is not a member.
    pub fn epoch_of(&self, name: &str) -> Option<Epoch> {
        self.members.get(name).filter(|m| m.serving).map(|m| m.epoch)
    }

    /// The state of a partition; `None` if the journal does not exist or is not sealed.
    pub fn partition(&self, source: &PartitionId) -> Option<&PartitionState> {
        self.journals.get(&source.journal)?.sealed.as_ref()?.get(source.partition)
    }

    /// The partitions that a courier has to take over: those assigned to it under this epoch.
    pub fn assigned_to<'a>(&'a self, name: &'a str, epoch: Epoch) -> impl Iterator<Item = PartitionId> + 'a {
        self.partitions_where(move |partition| {
            matches!(
                partition,
                PartitionState::Assigned(assignee, assigned_epoch)
                    if assignee == name && *assigned_epoch == epoch
            )
        })
    }

    /// The partitions that a courier has adopted under this epoch and that are not done.
    pub fn adopted_by<'a>(&'a self, name: &'a str, epoch: Epoch) -> impl Iterator<Item = PartitionId> + 'a {
        self.partitions_where(move |partition| {
            matches!(
                partition,
                PartitionState::Adopted(adopter, adopted_epoch)
                    if adopter == name && *adopted_epoch == epoch
            )
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
