//! A replicated snapshot: primary-backup with epochs, without I/O, clocks or threads.
//!
//! [`Group`] is what the primary of a shard knows of its members; views are decided by the core. [`Replica`] is one member
//! of the core itself. It is handed messages and the time of a steady clock, and returns [`Output`]s. What must
//! be on disk before something is said stands inside [`Output::Persist`].

mod breaks;
mod group;
pub mod quorum;
mod replica;

pub use group::Group;
pub use replica::{Micros, Output, Replica, Role, Timing};
