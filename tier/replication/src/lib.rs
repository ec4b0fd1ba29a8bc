//! A replicated snapshot: primary-backup with epochs, without I/O, clocks or threads.
//!
//! [`ReplicaGroup`] is what the primary of a shard knows of its members; views are decided by the core. [`RegisterReplica`] is one member
//! of the core itself. It is handed messages and the time of a steady clock, and returns [`RegisterAction`]s. What must
//! be on disk before something is said stands inside [`RegisterAction::Persist`].

mod breaks;
mod group;
pub mod quorum;
mod replica;

pub use group::ReplicaGroup;
pub use replica::{Micros, RegisterAction, RegisterReplica, Role, Timing};
