//! Replication without I/O, clocks or threads: the register of the core, and the in-sync sets of the shards.
//!
//! [`RegisterReplica`] is one member of the core. The core agrees on a single value, the encoded control state, which
//! an elected primary replaces as a whole: Paxos with a stable leader (Lamport, "Paxos Made Simple", 2001) with the
//! extensions of Raft for elections, reads and changes of members (Ongaro, "Consensus: Bridging Theory and
//! Practice", 2014). An [epoch](quillmount_wire::messages::Epoch) is Paxos' proposal number and Raft's term. The
//! caller hands in messages and the time, and carries out the [`RegisterAction`]s that it gets.
//!
//! [`ReplicaGroup`] is what the primary of a shard knows of the shard's members: it decides which of them have to
//! sync a batch of operations before that is committed. The core decides which stores are members.

mod group;
mod quorum;
mod replica;

pub use group::ReplicaGroup;
pub use replica::{ReadId, RegisterAction, RegisterReplica, Timing};
