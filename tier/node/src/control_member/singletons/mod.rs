//! Tasks that run once in the whole system: at the primary of the core, fenced by its epoch.
//!
//! The primary keeps the shards' views in line with the live stores (`shard_planning`) and reports usage to the platform
//! (`usage_reports`). Calls to the platform go through `platform`, which makes sure that no two members act in one role.

mod platform;
mod shard_planning;
mod usage_reports;

pub use platform::{call_as_singleton, may_act};
pub use shard_planning::plan_shards;
pub use usage_reports::report_usage;
