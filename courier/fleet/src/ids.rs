//! Ids of registrations, journals and their partitions.

use crate::config::{Name, rendezvous_weight};
use quillmount_core::journal;
use serde::{Deserialize, Serialize};

/// Number of a registration. It grows with each registration of any courier, and serves as a fencing token: a process
/// with an older epoch of the same courier has been replaced.
pub type Epoch = u64;

/// Number of partitions, by destination, in which a sealed journal is taken over: a dozen couriers can share the load
/// of a lost one, and the state stays small.
pub const PARTITIONS: usize = 16;

/// The partition of a journal that has the messages to a destination.
pub fn partition_of(dest: u64) -> usize {
    (rendezvous_weight(&dest.to_le_bytes(), "") % PARTITIONS as u64) as usize
}

/// Identifies a journal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JournalId {
    /// The courier that writes it.
    pub owner: Name,
    /// The epoch under which the owner writes it.
    pub epoch: Epoch,
}

impl std::fmt::Display for JournalId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.owner, self.epoch)
    }
}

/// Identifies a partition of a sealed journal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionId {
    /// The sealed journal.
    pub journal: JournalId,
    /// Number of the partition, less than [`PARTITIONS`].
    pub partition: usize,
}

impl std::fmt::Display for PartitionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} part {}", self.journal, self.partition)
    }
}

impl From<&PartitionId> for journal::Source {
    fn from(source: &PartitionId) -> Self {
        journal::Source {
            owner: source.journal.owner.clone(),
            epoch: source.journal.epoch,
            part: source.partition as u32,
        }
    }
}

impl From<&journal::Source> for PartitionId {
    fn from(source: &journal::Source) -> Self {
        let journal = JournalId { owner: source.owner.clone(), epoch: source.epoch };
        PartitionId { journal, partition: source.part as usize }
    }
}
