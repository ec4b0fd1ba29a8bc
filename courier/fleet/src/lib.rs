//! Couriers as one fleet under failure: who is a member, what all agree on, whose book is where, and who takes over what.
//! State machines without I/O: values in, values out, the time handed in (`docs/fleet-design.md`).

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
