//! Replication of a courier's journal to other couriers.
//!
//! A replica is a byte-for-byte copy of the owner's journal. A write is acknowledged once every replica of the
//! committed set has it, so each of them has all acknowledged records. Compaction of a journal begins a new
//! generation. A replica replaces the previous generation atomically once it has the new one completely.
//!
//! The owner's side is [`JournalReplicator`], which tracks the progress of each replica and sends pages. The replica's
//! side is [`JournalReplica`], which appends the pages to a store until the journal is sealed.

mod progress;
mod replica;
mod replicator;

pub use replica::{JournalReplica, MAX_REPLICA_BYTES, ReplicaAcknowledgement, ReplicaPage};
pub use replicator::JournalReplicator;
