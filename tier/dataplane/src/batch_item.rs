//! Decides whether a batch item runs or is given up.
//!
//! A result can't be taken back, so an item is given up only by a configuration that is at least as new as the one under which its
//! job was accepted. The process that accepted the job may know a newer configuration than the store that runs its items, and a
//! store that takes over a shard may know an older one than its predecessor. Until its own configuration is new enough
//! (`CoreContact::has_configurations_of` in `quillmount_control`), a store defers the decision.

use crate::breaks::{self, Break};
use crate::routes::CompiledRoute;
use quillmount_wire::Micros;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// What the decision about an item depends on, beside its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemProgress {
    /// Time since the store first knew the item's job, microseconds; never more than the time since the submission.
    pub age: Micros,
    /// Number of attempts that an endpoint answered with status 500.
    pub failures: u32,
    /// Whether the store's configuration is at least as new as the one under which the job was accepted.
    pub has_configuration_of_job: bool,
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The route of its job no longer exists.
    RouteEnded,
    /// The retention time of its route has passed.
    Expired,
    /// Endpoints failed it as often as its route allows.
    Failed,
    /// An endpoint answered that it can't be processed anywhere.
    Unprocessable,
    /// Its path or id can't be part of a request.
    Malformed,
}

/// What is to happen to an item.
#[derive(Clone, Copy, Debug)]
pub enum ItemDecision<'a> {
    /// It runs on the route of its job.
    Run(&'a CompiledRoute),
    /// It is given up for good.
    GiveUp(GiveUpReason),
    /// By the present configuration it would be given up, but a newer one may decide otherwise.
    Defer,
}

/// Decides about an item. `route` is the route of its job in the present configuration, `None` if that has no such route.
#[must_use]
pub fn decide(route: Option<&CompiledRoute>, progress: ItemProgress) -> ItemDecision<'_> {
    let reason = match route {
        None => GiveUpReason::RouteEnded,
        Some(route) if is_expired(route, progress.age) => GiveUpReason::Expired,
        Some(route) if progress.failures >= route.max_attempts => GiveUpReason::Failed,
        Some(route) => return ItemDecision::Run(route),
    };
    if progress.has_configuration_of_job || breaks::is_enabled(Break::GivesUpByOldConfiguration) {
        ItemDecision::GiveUp(reason)
    } else {
        ItemDecision::Defer
    }
}

fn is_expired(route: &CompiledRoute, age: Micros) -> bool {
    route.route.retain_s.is_some_and(|retain_s| age as f64 > retain_s * MICROS_PER_SECOND)
}
