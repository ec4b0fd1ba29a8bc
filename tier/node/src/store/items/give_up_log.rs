//! The log line of an item that is given up, with all that the decision rests on.

use super::item_run::ItemRun;
use crate::clock;
use crate::node::Node;
use quillmount_dataplane::batch_item::GiveUpReason;
use quillmount_wire::Micros;

/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1_000;

/// Writes the line of an item that is given up.
pub fn write(node: &Node, run: &ItemRun, reason: GiveUpReason) {
    let tables = node.tables();
    let route = run.route(&tables.routes);
    let now = clock::now();
    let age = now.saturating_sub(run.tracked.known_since);
    let configuration_age = node.core_contact.borrow().configuration_age(now);
    tracing::info!(
        job = run.job.id,
        item = run.item().id,
        ?reason,
        age_ms = age / MICROS_PER_MS,
        route = run.job.route,
        retain_s = route.and_then(|route| route.route.retain_s),
        max_attempts = route.map(|route| route.max_attempts),
        failures = run.failed_attempts.count(),
        failed_at = ?run.failed_attempts.endpoints(),
        version = tables.versions.configuration,
        known_version = run.known_version,
        configuration_age_ms = configuration_age / MICROS_PER_MS,
        shard = run.served.shard.number,
        epoch = run.served.shard.replica().serving(),
        "gave up an item of a batch job"
    );
}
