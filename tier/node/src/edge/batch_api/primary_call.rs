//! Calls to the store that leads a job's shard.

use crate::clock;
use crate::node::Node;
use crate::rpc::CallError;
use quillmount_control::shard_of;
use quillmount_wire::Micros;
use quillmount_wire::messages::{Epoch, Request as StoreRequest, Response};
use std::time::Duration;

/// Time that a store has for its answer, in addition to the time for which the call lets it wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before the next store is called.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Why no primary answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Unanswered {
    /// No store was reached: the call has no effect.
    #[error("no store was reached")]
    Unreached,
    /// A store may have carried out the call.
    #[error("a store may have carried out the call")]
    Uncertain,
}

/// Calls the primary of a job's shard and retries until `until`, following changes of the primary.
///
/// `request` builds the request for a shard and its epoch. `max_wait` is the time for which the store may delay its answer.
pub(super) async fn call_primary(
    node: &Node,
    job: &str,
    until: Micros,
    max_wait: Duration,
    request: impl Fn(u32, Epoch) -> StoreRequest,
) -> Result<Response, Unanswered> {
    let mut uncertain = false;
    loop {
        let tables = node.tables();
        let shards = &tables.placement.shards;
        let shard = shard_of(job, shards.len());
        let view = shards.get(shard as usize);
        let primary =
            view.and_then(|view| tables.placement.stores.iter().find(|store| store.disk == view.primary));
        if let (Some(view), Some(primary)) = (view, primary) {
            let time_left = Duration::from_micros(until.saturating_sub(clock::now()));
            let time_limit = max_wait + ANSWER_TIMEOUT.min(time_left.max(RETRY_DELAY));
            match node.links.call(&primary.internal, &request(shard, view.epoch), time_limit).await {
                Ok(Response::WrongEpoch) | Err(CallError::NotSent) => {}
                Ok(Response::Uncertain) | Err(CallError::Lost) => uncertain = true,
                // A previous call may have been carried out, so a rejection now would promise too much.
                Ok(Response::Full) if uncertain => return Err(Unanswered::Uncertain),
                Ok(response) => return Ok(response),
            }
        }
        if clock::now() >= until {
            return Err(if uncertain { Unanswered::Uncertain } else { Unanswered::Unreached });
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
