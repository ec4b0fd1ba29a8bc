//! Answers the calls of couriers and of other stores.
//!
//! Calls about jobs are answered only by the primary of the job's shard, in the epoch that the caller names. A positive
//! answer, and every read, is first confirmed with the other replicas: it shows the newest committed state.

use super::quota::{self, ClaimError};
use super::shard::{CommitError, ServedShard};
use super::state::Store;
use crate::clock;
use quillmount_batch::JobEntry;
use quillmount_wire::Micros;
use quillmount_wire::messages::{
    DiskId, Epoch, ItemOutcome, Job, Request, Response, ShardMessage, ShardOperation,
};
use std::rc::Rc;
use std::time::Duration;

/// Largest size of the results in one answer, bytes; a single larger result is sent on its own.
const RESULT_BYTES: usize = 900_000;
/// Bytes that a result takes in an answer in addition to its text, approximately.
const RESULT_OVERHEAD: usize = 128;
/// Longest time for which a read waits for its confirmation, microseconds.
const CONFIRM_TIMEOUT: Micros = 900_000;

/// Answers any call.
pub async fn answer(store: &Rc<Store>, request: Request) -> Response {
    match request {
        Request::Shard { to, shard, epoch, message } => replicate(store, to, shard, epoch, message).await,
        Request::Submit { shard, epoch, job } => {
            let Some(served) = serving(store, shard, epoch) else { return Response::WrongEpoch };
            submit(store, &served, job).await
        }
        Request::Read { shard, epoch, job, tenant, start_after, wait_ms } => {
            let Some(served) = serving(store, shard, epoch) else { return Response::WrongEpoch };
            let job = TenantJob { store, served: &served, job: &job, tenant: &tenant };
            job.results(start_after, wait_ms).await
        }
        Request::Body { shard, epoch, job, tenant, item } => {
            let Some(served) = serving(store, shard, epoch) else { return Response::WrongEpoch };
            TenantJob { store, served: &served, job: &job, tenant: &tenant }.body(&item).await
        }
        Request::End { shard, epoch, job, tenant } => {
            let Some(served) = serving(store, shard, epoch) else { return Response::WrongEpoch };
            TenantJob { store, served: &served, job: &job, tenant: &tenant }.end().await
        }
        Request::Claim(claim) => quota::answer(store, &claim),
        Request::Statements(statements) => {
            quota::apply_statements(store, &statements);
            Response::Done
        }
        Request::Announce { .. }
        | Request::PrimaryHint { .. }
        | Request::Poll(_)
        | Request::Register { .. } => Response::WrongEpoch,
    }
}

/// Passes a message of a shard's primary to the replica here. One to another disk id was meant for a disk that this machine
/// had before.
async fn replicate(
    store: &Rc<Store>,
    to: DiskId,
    shard: u32,
    epoch: Epoch,
    message: ShardMessage,
) -> Response {
    let mine = to == store.node.info.disk;
    match store.shards.get(shard as usize).filter(|_| mine).cloned() {
        Some(shard) => shard.answer(store, epoch, message).await,
        None => Response::WrongEpoch,
    }
}

/// The shard, if this store serves it in this epoch.
fn serving(store: &Store, shard: u32, epoch: Epoch) -> Option<ServedShard> {
    let served = store.shards.get(shard as usize)?.serving(epoch)?;
    // Without a configuration the routes of items are unknown.
    (store.node.tables().versions.configuration > 0).then_some(served)
}

async fn submit(store: &Rc<Store>, served: &ServedShard, job: Job) -> Response {
    let shard = &served.shard;
    let known = shard.replica().jobs().jobs.contains_key(&job.id);
    if known {
        let until = clock::now() + CONFIRM_TIMEOUT;
        return if shard.confirm(store, until).await { Response::Done } else { Response::Uncertain };
    }
    let pending = shard.replica().is_pending(&job.id);
    if pending {
        // A retry waits for the same outcome as the first submission: its tokens are claimed already.
        return commit_response(shard.commit(store, ShardOperation::Submit(job)).await);
    }
    if !store.has_capacity() {
        return Response::Full;
    }
    // The claim counts until the outcome is known: from then on the committed job does.
    let claim = match quota::claim(store, served, &job).await {
        Ok(claim) => claim,
        Err(ClaimError::Exceeded) => return Response::Full,
        Err(ClaimError::Unknown) => return Response::WrongEpoch,
    };
    let outcome = shard.commit(store, ShardOperation::Submit(job)).await;
    drop(claim);
    commit_response(outcome)
}

fn commit_response(outcome: Result<(), CommitError>) -> Response {
    match outcome {
        Ok(()) => Response::Done,
        Err(CommitError::NotStarted) => Response::WrongEpoch,
        Err(CommitError::Uncertain) => Response::Uncertain,
    }
}

/// A job in the view of one tenant: a job of another tenant does not exist for it.
struct TenantJob<'a> {
    store: &'a Rc<Store>,
    served: &'a ServedShard,
    job: &'a str,
    tenant: &'a str,
}

impl TenantJob<'_> {
    /// Answers with results from `start_after` on; waits up to `wait_ms` while there are none and the job runs.
    async fn results(&self, start_after: u64, wait_ms: u64) -> Response {
        let term = &self.served.term;
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            // Registered before the job is read, so that no update in between is missed.
            let updates = term.updates.notified();
            let more = self.inspect(|entry| entry.results.len() as u64 > start_after || entry.ended);
            let waiting = more == Some(false) && tokio::time::Instant::now() < deadline;
            if !waiting || !term.is_serving() {
                break;
            }
            // A timeout is handled by the deadline above.
            let _ = tokio::time::timeout_at(deadline, updates).await;
        }
        let response =
            self.inspect(|entry| results_response(entry, start_after)).unwrap_or(Response::NotFound);
        self.confirmed(response).await
    }

    /// Answers with the body of an item.
    async fn body(&self, item: &str) -> Response {
        let body = self.inspect(|entry| entry.item(item).map(|item| item.body.clone())).flatten();
        self.confirmed(body.map_or(Response::NotFound, Response::Body)).await
    }

    /// Ends the job: items that have no result yet do not run any more.
    async fn end(&self) -> Response {
        match self.inspect(|entry| entry.ended) {
            None => self.confirmed(Response::NotFound).await,
            Some(true) => self.confirmed(Response::Done).await,
            Some(false) => {
                let operation = ShardOperation::End { job: self.job.to_owned() };
                commit_response(self.served.shard.commit(self.store, operation).await)
            }
        }
    }

    /// Evaluates a function on the job; `None` if it does not exist or is another tenant's.
    fn inspect<T>(&self, inspect: impl FnOnce(&JobEntry) -> T) -> Option<T> {
        let replica = self.served.shard.replica();
        replica.jobs().jobs.get(self.job).filter(|entry| entry.job.tenant == self.tenant).map(inspect)
    }

    /// Returns the response only if what it was read from is confirmed to be the newest committed state.
    async fn confirmed(&self, response: Response) -> Response {
        let shard = &self.served.shard;
        let pending = shard.replica().is_pending(self.job);
        let certain = !pending && shard.confirm(self.store, clock::now() + CONFIRM_TIMEOUT).await;
        if certain { response } else { Response::Uncertain }
    }
}

/// As many results after the first `start_after` as fit into one answer, at least one if there is any.
fn results_response(entry: &JobEntry, start_after: u64) -> Response {
    let mut bytes = 0;
    let mut results: Vec<ItemOutcome> = Vec::new();
    for result in entry.results.iter().skip(start_after as usize) {
        if bytes + result.text.len() > RESULT_BYTES && !results.is_empty() {
            break;
        }
        bytes += result.text.len() + RESULT_OVERHEAD;
        let id = entry.job.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
        results.push(ItemOutcome { id, phase: result.phase, text: result.text.clone() });
    }
    Response::Results { total: entry.job.items.len() as u64, results }
}
