//! Compaction of the ring: writes all live jobs again at its end, then releases the older segments.

use super::state::Store;
use quillmount_batch::StoreRecord;
use std::rc::Rc;
use std::time::Duration;

/// Time after a failed compaction until the next one may start. What a failed one could write fills the ring further.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Starts a compaction if little of the ring is free and none is running. The task ends with the compaction. After a failed
/// compaction, the next one is started when a record is written after [`RETRY_DELAY`].
pub fn start_if_due(store: &Rc<Store>) {
    if store.journal.needs_compaction() && !store.compacting.replace(true) {
        let store = store.clone();
        tokio::task::spawn_local(async move {
            if !compact(&store).await {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            store.compacting.set(false);
        });
    }
}

/// Writes the jobs of every shard again, after a start marker. The records before the marker are needed until all of them are synced;
/// only then are their segments released. Returns whether that succeeded.
async fn compact(store: &Rc<Store>) -> bool {
    let Ok(start_marker) = store.journal.append(&StoreRecord::RewriteStart).synced().await else {
        return false;
    };
    for shard in &store.shards {
        if !shard.rewrite(store).await {
            tracing::warn!(shard = shard.number, "failed to compact the ring");
            return false;
        }
    }
    store.journal.release(start_marker.segment);
    true
}
