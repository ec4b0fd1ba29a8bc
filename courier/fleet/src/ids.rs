//! Ids of registrations, journals and their partitions.

use crate::config::{Name, rendezvous_weight};
use quillmount_core::journal;
use serde::{Deserialize, Serialize};

/// Number of a registration. Each registration of any courier gets a higher one. The epoch serves as a fencing token: a
/// process with an older epoch of the same courier has been replaced.
pub type Epoch = u64;

/// Number of partitions into which a sealed journal is split by destination for its takeover. With 16 partitions a
/// dozen couriers can share the load of a lost one, and the agreed state stays small.
pub const PARTITIONS: usize = 16;

/// The number of the partition that contains the messages to a destination.
pub fn partition_of(dest: u64) -> usize {
    (rendezvous_weight(&dest.to_le_bytes(), "") % PARTITIONS as u64) as usize
}

/// Identifies a journal by its owner and the owner's registration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JournalId {
    /// The courier that writes the journal.
    pub owner: Name,
    /// The epoch under which the owner writes the journal.
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
    /// Index of the partition, less than [`PARTITIONS`].
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
