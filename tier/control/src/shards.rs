//! Shards of the batch store: which shard contains a job, and which stores have replicas of a shard.
//!
//! [`partition`] maps jobs to shards. [`planner`] computes the views of the shards from what the primary of the core
//! knows about the stores; [`view`] has the rules for a single view. [`retirement`] moves all replicas off a store.

mod partition;
mod planner;
mod retirement;
mod view;

pub use partition::{SHARDS, shard_of};
pub use planner::ShardPlanInputs;
pub use retirement::Retirement;
