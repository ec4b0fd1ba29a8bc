//! Removes finished jobs after their retention time.

use super::shard::{ServedShard, Shard};
use super::state::Store;
use crate::clock;
use quillmount_wire::Micros;
use quillmount_wire::messages::ShardOperation;
use std::rc::Rc;

/// Time for which a finished job is retained in addition to the promised time, microseconds.
const RETENTION_MARGIN: Micros = 30_000_000;

/// Removes the finished jobs of a shard whose retention time has passed, if this store is the primary of the shard.
pub fn remove_old_jobs(store: &Rc<Store>, shard: &Rc<Shard>) {
    let Some(served) = shard.served() else { return };
    for job in expired_jobs(store, &served) {
        let (store, shard) = (store.clone(), shard.clone());
        // The task ends with the operation. An operation that is not committed is proposed again in the next round.
        tokio::task::spawn_local(async move {
            let _ = shard.commit(&store, ShardOperation::Forget { job }).await;
        });
    }
}

/// Returns the finished jobs that this primary has known for longer than the retention time.
fn expired_jobs(store: &Store, served: &ServedShard) -> Vec<String> {
    let retention = clock::micros_from_ms(store.node.settings.slo.poll_s * 1000.0) + RETENTION_MARGIN;
    let now = clock::now();
    let replica = served.shard.replica();
    let finished = replica.jobs().jobs.iter().filter(|(_, entry)| entry.ended || entry.is_complete());
    finished
        .map(|(id, _)| id.clone())
        .filter(|id| now.saturating_sub(served.term.track(id).known_since) > retention)
        .collect()
}
