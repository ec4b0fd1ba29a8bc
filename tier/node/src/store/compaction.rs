//! Compaction of the ring: writes all live jobs once more, then releases the older segments.

use super::state::Store;
use quillmount_batch::StoreRecord;
use std::rc::Rc;

/// Starts a compaction if little of the ring is free and none is running. The task ends with the compaction; one that
/// fails is started again with the next record that is written.
pub fn start_if_due(store: &Rc<Store>) {
    if store.journal.needs_compaction() && !store.compacting.replace(true) {
        let store = store.clone();
        tokio::task::spawn_local(async move {
            compact(&store).await;
            store.compacting.set(false);
        });
    }
}

/// Writes the jobs of every shard once more, after a start marker. Only once all of that is synced are the records before
/// the marker no longer needed, and their segments released.
async fn compact(store: &Rc<Store>) {
    let Ok(start) = store.journal.append(&StoreRecord::RewriteStart).synced().await else { return };
    for shard in &store.shards {
        if !shard.rewrite(store).await {
            tracing::warn!(shard = shard.number, "failed to compact the ring");
            return;
        }
    }
    store.journal.release(start.segment);
}
