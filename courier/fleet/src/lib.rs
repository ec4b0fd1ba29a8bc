//! Couriers as one fleet under failure: membership, the agreed state, the replication of each courier's journal, and the
//! takeover of what a lost courier owned.
//!
//! All are state machines without I/O: inputs and the time are arguments, outputs are returned for the caller to carry
//! out (`docs/fleet-design.md`).

pub mod agreement;
pub mod breaks;
pub mod budget;
pub mod config;
pub mod lease;
pub mod member;
pub mod message;
pub mod replication;
pub mod settlement;
pub mod shares;
pub mod state;

/// A courier's number in the agreement: drawn at random when its folder is new, and kept there. A folder that is lost means a
/// new one, so that none votes twice.
pub type NodeId = u64;
