//! Forgets jobs whose results need not be retained any longer.

use super::shard::{ServedShard, Shard};
use super::state::Store;
use crate::clock;
use quillmount_wire::Micros;
use quillmount_wire::messages::ShardOperation;
use std::rc::Rc;

/// Time for which a finished job is retained beyond the promised time, microseconds.
const MARGIN: Micros = 30_000_000;

/// Forgets the old jobs of a shard, if it is served here.
pub fn forget_old_jobs(store: &Rc<Store>, shard: &Rc<Shard>) {
    let Some(served) = shard.served() else { return };
    for job in old_jobs(store, &served) {
        let (store, shard) = (store.clone(), shard.clone());
        // Ends with the operation. One that is not committed is proposed again in the next round.
        tokio::task::spawn_local(async move {
            let _ = shard.commit(&store, ShardOperation::Forget { job }).await;
        });
    }
}

/// Finished jobs that this primary first saw longer ago than they are retained.
fn old_jobs(store: &Store, served: &ServedShard) -> Vec<String> {
    let retention = clock::micros_from_ms(store.node.settings.slo.poll_s * 1000.0) + MARGIN;
    let now = clock::now();
    let replica = served.shard.replica();
    let finished = replica.jobs().jobs.iter().filter(|(_, entry)| entry.ended || entry.is_complete());
    finished
        .map(|(id, _)| id.clone())
        .filter(|id| now.saturating_sub(served.term.track(id).first_seen) > retention)
        .collect()
}
