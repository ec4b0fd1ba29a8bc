//! Answers the requests of couriers and of other stores.
//!
//! Requests about jobs are answered only by the primary of the job's shard, in the epoch that the caller states. Each positive
//! answer and each read is first confirmed with the other replicas, so that it reflects the newest committed state.

use super::quota::{self, ClaimError};
use super::shard::{CommitError, ServedShard};
use super::state::Store;
use crate::clock;
use quillmount_batch::{JobEntry, MAX_JOB_BYTES, job_bytes};
use quillmount_wire::Micros;
use quillmount_wire::messages::{
    DiskId, Epoch, ItemOutcome, Job, Request, Response, ShardMessage, ShardOperation,
};
use std::rc::Rc;
use std::time::Duration;

/// Largest total size of the results in one answer, bytes; a single larger result is sent alone.
const MAX_RESULTS_BYTES: usize = 900_000;
/// Approximate size of a result in an answer in addition to its text, bytes.
const RESULT_OVERHEAD_BYTES: usize = 128;
/// Timeout of the confirmation by the other replicas, microseconds.
const CONFIRM_TIMEOUT: Micros = 900_000;

/// Answers a request; requests that a store does not serve are answered with [`Response::WrongEpoch`].
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

/// Passes a message of a shard's primary to the local replica. A message with another disk id was meant for a previous disk of this
/// machine and is rejected.
async fn replicate(
    store: &Rc<Store>,
    to: DiskId,
    shard: u32,
    epoch: Epoch,
    message: ShardMessage,
) -> Response {
    let is_own_disk = to == store.node.info.disk;
    match store.shards.get(shard as usize).filter(|_| is_own_disk).cloned() {
        Some(shard) => shard.answer(store, epoch, message).await,
        None => Response::WrongEpoch,
    }
}

/// Returns the shard if this store is its primary in this epoch.
fn serving(store: &Store, shard: u32, epoch: Epoch) -> Option<ServedShard> {
    let served = store.shards.get(shard as usize)?.serving(epoch)?;
    // Without a configuration, the routes of the items are unknown.
    (store.node.tables().versions.configuration > 0).then_some(served)
}

async fn submit(store: &Rc<Store>, served: &ServedShard, job: Job) -> Response {
    if is_known(served, &job.id) {
        return outcome_of_submission(store, served, &job.id).await;
    }
    // A courier rejects a job of such a size by itself.
    let is_too_large = job_bytes(&job) > MAX_JOB_BYTES;
    if is_too_large || !store.has_capacity() {
        return Response::Full;
    }
    // The claim is held until the outcome is known, because from then on the tokens of the committed job count.
    let claim_guard = match quota::claim(store, served, &job).await {
        Ok(claim_guard) => claim_guard,
        Err(ClaimError::Exceeded) => return Response::Full,
        Err(ClaimError::Unknown) => return Response::WrongEpoch,
    };
    // Other submissions may have been started during the claim: of the same job, or of so many that no capacity is left.
    if is_known(served, &job.id) {
        drop(claim_guard);
        return outcome_of_submission(store, served, &job.id).await;
    }
    if !store.has_capacity() {
        return Response::Full;
    }
    let outcome = served.shard.commit(store, ShardOperation::Submit(job)).await;
    drop(claim_guard);
    commit_response(outcome)
}

/// Returns whether a job is committed, or its submission is waiting for its commit.
fn is_known(served: &ServedShard, job: &str) -> bool {
    let replica = served.shard.replica();
    replica.jobs().jobs.contains_key(job) || replica.is_pending(job)
}

/// Waits for the outcome of an earlier submission of a job; a repeated one is not proposed again.
async fn outcome_of_submission(store: &Rc<Store>, served: &ServedShard, job: &str) -> Response {
    loop {
        // The waiter is registered before the state is read, so that no update in between is missed.
        let updates = served.term.updates.notified();
        let is_pending = served.shard.replica().is_pending(job);
        if !is_pending || !served.term.is_serving() {
            break;
        }
        updates.await;
    }
    let is_committed = served.shard.replica().jobs().jobs.contains_key(job);
    let deadline = clock::now() + CONFIRM_TIMEOUT;
    if is_committed && served.shard.confirm(store, deadline).await {
        Response::Done
    } else {
        Response::Uncertain
    }
}

fn commit_response(outcome: Result<(), CommitError>) -> Response {
    match outcome {
        Ok(()) => Response::Done,
        Err(CommitError::NotStarted) => Response::WrongEpoch,
        Err(CommitError::Uncertain) => Response::Uncertain,
    }
}

/// A job as visible to one tenant; a job of another tenant is treated as missing.
struct TenantJob<'a> {
    store: &'a Rc<Store>,
    served: &'a ServedShard,
    job: &'a str,
    tenant: &'a str,
}

impl TenantJob<'_> {
    /// Answers with the results after the first `start_after`. Waits up to `wait_ms` milliseconds while there are none and the job
    /// has not ended.
    async fn results(&self, start_after: u64, wait_ms: u64) -> Response {
        let term = &self.served.term;
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            // The waiter is registered before the job is read, so that no update in between is missed.
            let updates = term.updates.notified();
            let has_more = self.inspect(|entry| entry.results.len() as u64 > start_after || entry.ended);
            let must_wait = has_more == Some(false) && tokio::time::Instant::now() < deadline;
            if !must_wait || !term.is_serving() {
                break;
            }
            // The timeout needs no handling: the loop condition checks the deadline.
            let _ = tokio::time::timeout_at(deadline, updates).await;
        }
        let response =
            self.inspect(|entry| results_response(entry, start_after)).unwrap_or(Response::NotFound);
        self.confirmed(response).await
    }

    /// Answers with the body of an item as it was submitted.
    async fn body(&self, item: &str) -> Response {
        let body = self.inspect(|entry| entry.item(item).map(|item| item.body.clone())).flatten();
        self.confirmed(body.map_or(Response::NotFound, Response::Body)).await
    }

    /// Ends the job. Items that have no result yet do not run any more.
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

    /// Applies a function to the job; `None` if the job does not exist or belongs to another tenant.
    fn inspect<T>(&self, inspect: impl FnOnce(&JobEntry) -> T) -> Option<T> {
        let replica = self.served.shard.replica();
        replica.jobs().jobs.get(self.job).filter(|entry| entry.job.tenant == self.tenant).map(inspect)
    }

    /// Returns the response if the other replicas confirm that it was read from the newest committed state, otherwise
    /// [`Response::Uncertain`].
    async fn confirmed(&self, response: Response) -> Response {
        let shard = &self.served.shard;
        let is_pending = shard.replica().is_pending(self.job);
        let is_confirmed = !is_pending && shard.confirm(self.store, clock::now() + CONFIRM_TIMEOUT).await;
        if is_confirmed { response } else { Response::Uncertain }
    }
}

/// Creates a response with as many of the results after the first `start_after` as fit into one answer, and at least one if there
/// is any.
fn results_response(entry: &JobEntry, start_after: u64) -> Response {
    let mut bytes = 0;
    let mut results: Vec<ItemOutcome> = Vec::new();
    for result in entry.results.iter().skip(start_after as usize) {
        if bytes + result.text.len() > MAX_RESULTS_BYTES && !results.is_empty() {
            break;
        }
        bytes += result.text.len() + RESULT_OVERHEAD_BYTES;
        let id = entry.job.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
        results.push(ItemOutcome { id, phase: result.phase, text: result.text.clone() });
    }
    Response::Results { total: entry.job.items.len() as u64, results }
}
