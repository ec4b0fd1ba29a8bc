//! Tasks that drive the replicas: they report the outcomes of writes, ticks of the clock, and new views.

use super::compaction;
use super::journal::PendingWrite;
use super::state::Store;
use quillmount_batch::RETRY_DELAY;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval between two ticks of the replicas whose state may change with time.
const TICK_INTERVAL: Duration = Duration::from_micros(RETRY_DELAY / 2);

/// Reports the outcome of each write to the replica that requested it, in the order of the writes.
pub async fn report_writes(store: Rc<Store>, mut pending: mpsc::UnboundedReceiver<PendingWrite>) {
    while let Some(PendingWrite { shard, write, receipt }) = pending.recv().await {
        let synced = match receipt.synced().await {
            Ok(written) => {
                store.journal.set_free_segments(written.free);
                compaction::start_if_due(&store);
                true
            }
            Err(error) => {
                tracing::error!(%error, shard, "failed to write a record of a shard");
                store.node.metrics.count_failed_write();
                false
            }
        };
        if let Some(shard) = store.shards.get(shard as usize) {
            shard.on_written(&store, write, synced);
        }
    }
}

/// Ticks the replicas whose state may change with time; waits while there are none.
pub async fn tick_replicas(store: Rc<Store>) {
    loop {
        let tick_needed = store.tick_needed.notified();
        let ticked = store.shards.iter().filter(|shard| shard.tick(&store)).count();
        if ticked == 0 {
            tick_needed.await;
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Passes the shards' views to the replicas whenever there are new tables.
pub async fn follow_views(store: Rc<Store>) {
    let mut tables = store.node.watch_tables();
    loop {
        let snapshot = tables.borrow_and_update().clone();
        for (shard, view) in store.shards.iter().zip(&snapshot.placement.shards) {
            shard.follow_view(&store, view);
        }
        if tables.changed().await.is_err() {
            return;
        }
    }
}
