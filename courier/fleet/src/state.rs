//! The replicated state of the fleet: who is a member under which epoch, which journals exist, where their replicas
//! are, and who takes over what of them.
//!
//! Every courier applies the same committed commands in the same order ([`FleetState::apply`]), so that all have the
//! same state. Nothing here depends on the time. The state is stored and sent in postcard's encoding, which goes by
//! position: fields and variants must not be reordered.

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
    /// The courier's id in the agreement.
    pub node_id: NodeId,
    /// Random number of its process.
    pub incarnation: u64,
    /// Number of the registration.
    pub epoch: Epoch,
    /// Whether it is a member: its lease has not expired, and it has not left.
    pub serving: bool,
}

/// Whose a partition of a sealed journal is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionState {
    /// No courier serves that could take it over.
    Unassigned,
    /// This courier, under this epoch, is to copy it into its own journal.
    Assigned(Name, Epoch),
    /// It is in this courier's journal, and this courier acts on it.
    Adopted(Name, Epoch),
    /// That journal itself records the adoption, so that nothing has to be known here.
    Done,
}

/// A journal and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedJournal {
    /// The epoch under which it was begun. It stays the same as long as its owner goes on with it.
    pub lineage: Epoch,
    /// The couriers that have to have a record before it counts as written.
    pub replicas: BTreeSet<Name>,
    /// Grows with each change of `replicas`, and with each folder that may have been lost with a replica. While it is
    /// 0, nothing that was written to the journal counts.
    pub version: u64,
    /// The owner of each partition; `None`: the journal is not sealed, and its owner writes it.
    pub sealed: Option<Vec<PartitionState>>,
}

impl ReplicatedJournal {
    /// Whether it is sealed and all of its partitions are done.
    fn is_complete(&self) -> bool {
        let sealed = self.sealed.as_ref();
        sealed.is_some_and(|partitions| partitions.iter().all(|state| *state == PartitionState::Done))
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// The epoch of the latest registration.
    pub epoch: Epoch,
    /// The latest registration of each courier that ever was a member.
    pub members: BTreeMap<Name, Registration>,
    /// All journals of which something is still to be known.
    pub journals: BTreeMap<JournalId, ReplicatedJournal>,
    /// Partners' budgets, and the couriers' shares of them.
    pub shared: SharedBudgets,
    /// The owners of settlements, and the verdicts of finished ones.
    pub settlements: settlement::SettlementRegistry,
}

impl FleetState {
    /// The couriers that serve.
    pub fn serving(&self) -> BTreeSet<Name> {
        self.serving_members().map(|(name, _)| name.clone()).collect()
    }

    /// The registrations of the couriers that serve.
    pub(crate) fn serving_members(&self) -> impl Iterator<Item = (&Name, &Registration)> {
        self.members.iter().filter(|(_, member)| member.serving)
    }

    /// The epoch under which a courier serves, if it does.
    pub fn epoch_of(&self, name: &str) -> Option<Epoch> {
        self.members.get(name).filter(|m| m.serving).map(|m| m.epoch)
    }

    /// Whose a partition is; `None`: there is no such journal, or it is not sealed.
    pub fn partition(&self, source: &PartitionId) -> Option<&PartitionState> {
        self.journals.get(&source.journal)?.sealed.as_ref()?.get(source.partition)
    }

    /// The partitions that a courier is to take over: those that are assigned to it under this epoch.
    pub fn assigned_to<'a>(&'a self, name: &'a str, epoch: Epoch) -> impl Iterator<Item = PartitionId> + 'a {
        self.partitions_where(move |partition| {
            matches!(partition, PartitionState::Assigned(to, at) if to == name && *at == epoch)
        })
    }

    /// The partitions that a courier has adopted under this epoch, and that are not done.
    pub fn adopted_by<'a>(&'a self, name: &'a str, epoch: Epoch) -> impl Iterator<Item = PartitionId> + 'a {
        self.partitions_where(move |partition| {
            matches!(partition, PartitionState::Adopted(by, at) if by == name && *at == epoch)
        })
    }

    fn partitions_where<'a>(
        &'a self,
        is_wanted: impl Fn(&PartitionState) -> bool + Copy + 'a,
    ) -> impl Iterator<Item = PartitionId> + 'a {
        self.journals.iter().flat_map(move |(id, journal)| {
            let partitions = journal.sealed.iter().flatten().enumerate();
            partitions
                .filter(move |(_, partition)| is_wanted(partition))
                .map(move |(partition, _)| PartitionId { journal: id.clone(), partition })
        })
    }
}
