//! Replication of a courier's journal to other couriers.
//!
//! The replicated bytes are the owner's journal, byte for byte. A write counts once it is at every replica of the agreed
//! set, so that each of them has all that counts. A journal that is compacted begins a new generation; a replica puts it
//! in the place of the one before in one step, when it is complete.
//!
//! The owner's side is [`JournalReplicator`], which knows each replica's progress and sends pages; the other side is
//! [`JournalReplica`], which appends the pages to a store until the journal is sealed.

mod progress;
mod replica;
mod replicator;

pub use replica::{JournalReplica, MAX_REPLICA_BYTES, ReplicaAcknowledgement, ReplicaPage};
pub use replicator::JournalReplicator;
