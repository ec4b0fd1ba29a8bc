//! Singleton tasks, which run once in the whole system: at the primary of the core, fenced by its epoch.
//!
//! The primary adapts the placement to the live processes (`shard_planning`), reports usage to the platform (`usage_reports`) and
//! requests endpoints from it (`scaling`). Calls to the platform go through `platform`, which ensures that no two members act in the
//! same role at a time.

mod platform;
mod scaling;
mod shard_planning;
mod usage_reports;

pub use scaling::scale_services;
pub use shard_planning::maintain_placement;
pub use usage_reports::report_usage;
