//! Commits the results of items to their jobs, and ends items that do not run.

use super::give_up_log;
use super::item_run::{ItemRun, StopReason};
use crate::store::state::Store;
use quillmount_dataplane::batch_item::GiveUpReason;
use quillmount_wire::messages::{ItemResult, Phase, ShardOperation};
use std::rc::Rc;

/// Commits the result of an item in a separate task, which ends with the operation. If the result is not committed, the next
/// primary of the shard runs the item again.
pub fn append_result(store: &Rc<Store>, run: ItemRun, phase: Phase, text: String) {
    if !run.served.term.is_serving() {
        return;
    }
    store.node.metrics.count_item(phase);
    if phase == Phase::Done {
        store.result_sizes.borrow_mut().record(&run.job.route, text.len());
    }
    let result = ItemResult { item: run.item, phase, text };
    let operation = ShardOperation::Append { job: run.job.id.clone(), result };
    let store = store.clone();
    tokio::task::spawn_local(async move {
        let _ = run.served.shard.commit(&store, operation).await;
    });
}

/// Commits a dead-letter result for an item that is given up.
pub fn give_up(store: &Rc<Store>, run: ItemRun, reason: GiveUpReason) {
    give_up_log::write(&store.node, &run, reason);
    store.node.metrics.count_given_up_item(reason);
    append_result(store, run, Phase::DeadLetter, String::new());
}

/// Ends an item that does not run now, or sets it aside until it can be decided about.
pub fn stop(store: &Rc<Store>, run: ItemRun, reason: StopReason) {
    match reason {
        StopReason::Ended => {}
        StopReason::GivenUp(reason) => give_up(store, run, reason),
        StopReason::Undecided => store.waiting_items.defer(run),
    }
}
