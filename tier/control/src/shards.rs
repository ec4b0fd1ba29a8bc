//! Shards of the batch store: which shard keeps a job, and which stores keep a shard.
//!
//! [`partition`] maps jobs to shards. [`planner`] decides the views of the shards from what the primary of the core
//! knows of the stores, with the rules for one view in [`view`]. [`retirement`] empties a store.

mod partition;
mod planner;
mod retirement;
mod view;

pub use partition::{SHARDS, shard_of};
pub use planner::ShardPlanInputs;
pub use retirement::Retirement;
