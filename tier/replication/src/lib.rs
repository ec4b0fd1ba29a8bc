//! Replication without I/O, clocks or threads: the replicated register of the core, and the in-sync sets of the
//! shards.
//!
//! [`RegisterReplica`] is one member of the core. The core agrees on a single value, the encoded control state,
//! which an elected primary replaces as a whole: Paxos with a stable leader (Lamport, "Paxos Made Simple", 2001)
//! with the extensions of Raft for elections, reads and membership changes (Ongaro, "Consensus: Bridging Theory and
//! Practice", 2014). An [epoch](quillmount_wire::messages::Epoch) corresponds to the proposal number of Paxos and
//! the term of Raft. The caller passes in messages and the time, and performs the [`RegisterAction`]s returned.
//!
//! [`ReplicaGroup`] is the state that the primary of a shard keeps about the shard's members: it decides which of
//! them have to sync a batch of operations before the batch is committed. The core decides which stores are
//! members.

mod group;
mod quorum;
mod replica;

pub use group::ReplicaGroup;
pub use replica::{
    MAX_PAYLOAD_BYTES, MAX_PUBLISHED_STATE_AGE, Position, ReadId, RegisterAction, RegisterReplica, Timing,
};
