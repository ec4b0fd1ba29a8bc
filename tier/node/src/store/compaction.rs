//! Frees the ring: writes all that is kept once more, then lets older segments go.

use super::Store;
use quillmount_batch::StoreRecord;
use std::rc::Rc;

/// Part of the segments that is free when a compaction begins: what is kept fits into it, with room for what is written
/// meanwhile.
const DUE_FRACTION: f64 = 0.5;

/// Starts a compaction if little is free and none runs.
pub fn start_if_due(store: &Rc<Store>) {
    let due = (store.free_segments.get() as f64) < store.segments as f64 * DUE_FRACTION;
    if due && !store.compacting.replace(true) {
        let store = store.clone();
        tokio::task::spawn_local(async move {
            compact(&store).await;
            store.compacting.set(false);
        });
    }
}

/// Writes every shard once more. Older segments go only once all of it is synced: what stands before the marker is of no
/// use from then on.
async fn compact(store: &Rc<Store>) {
    let Ok(start) = store.disk.append(StoreRecord::RewriteStart.encode()).synced().await else { return };
    for shard in &store.shards {
        if !shard.rewrite(store).await {
            tracing::warn!(shard = shard.number, "the ring can't be compacted now");
            return;
        }
    }
    store.disk.release(start.segment);
}
