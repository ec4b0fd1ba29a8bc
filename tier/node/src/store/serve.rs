//! Calls of couriers at the primary of a shard.

use super::Store;
use super::quota::{self, ClaimError};
use super::shard::CommitError;
use super::term::PrimaryTerm;
use crate::clock;
use quillmount_batch::JobEntry;
use quillmount_wire::messages::{Epoch, Job, Phase, Request, Response, ShardOperation};
use std::rc::Rc;
use std::time::Duration;

/// Bytes of results in one answer, about; at least one result is given.
const RESULT_BYTES: usize = 900_000;
/// How long a read may wait for its confirmation, microseconds.
const CONFIRM_TIMEOUT: u64 = 900_000;

/// Answers any call.
pub async fn answer(store: &Rc<Store>, request: Request) -> Response {
    match request {
        Request::Shard { to, shard, epoch, message } => {
            let mine = to == store.node.info.disk;
            match store.shards.get(shard as usize).filter(|_| mine).cloned() {
                Some(shard) => shard.answer(store, epoch, message).await,
                None => Response::WrongEpoch,
            }
        }
        Request::Submit { shard, epoch, job } => match serving(store, shard, epoch) {
            Some(term) => submit(store, &term, job).await,
            None => Response::WrongEpoch,
        },
        Request::Read { shard, epoch, job, tenant, start_after, wait_ms } => {
            match serving(store, shard, epoch) {
                Some(term) => {
                    let job_reader = JobReader { store, term: &term, job: &job, tenant: &tenant };
                    job_reader.results(start_after, wait_ms).await
                }
                None => Response::WrongEpoch,
            }
        }
        Request::Body { shard, epoch, job, tenant, item } => match serving(store, shard, epoch) {
            Some(term) => JobReader { store, term: &term, job: &job, tenant: &tenant }.body(&item).await,
            None => Response::WrongEpoch,
        },
        Request::End { shard, epoch, job, tenant } => match serving(store, shard, epoch) {
            Some(term) => JobReader { store, term: &term, job: &job, tenant: &tenant }.end().await,
            None => Response::WrongEpoch,
        },
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

fn serving(store: &Store, shard: u32, epoch: Epoch) -> Option<Rc<PrimaryTerm>> {
    let term = store.shards.get(shard as usize)?.serving(epoch)?;
    // Without a configuration the routes of items are unknown.
    (store.node.tables().versions.configuration > 0).then_some(term)
}

async fn submit(store: &Rc<Store>, term: &Rc<PrimaryTerm>, job: Job) -> Response {
    let shard = &term.shard;
    let known = shard.replica().jobs().jobs.contains_key(&job.id);
    if known {
        let until = clock::micros() + CONFIRM_TIMEOUT;
        return if shard.confirm(store, until).await { Response::Done } else { Response::Uncertain };
    }
    if !shard.replica().is_pending(&job.id) && !store.has_capacity() {
        return Response::Full;
    }
    if shard.replica().is_pending(&job.id) {
        return commit_response(shard.commit(store, ShardOperation::Submit(job)).await);
    }
    // Held until the outcome is there: until then the claim counts beside what is committed.
    let claimed = match quota::claim(store, term, &job).await {
        Ok(claimed) => claimed,
        Err(ClaimError::Exceeded) => return Response::Full,
        Err(ClaimError::Unknown) => return Response::WrongEpoch,
    };
    let outcome = shard.commit(store, ShardOperation::Submit(job)).await;
    drop(claimed);
    commit_response(outcome)
}

fn commit_response(outcome: Result<(), CommitError>) -> Response {
    match outcome {
        Ok(()) => Response::Done,
        Err(CommitError::NotStarted) => Response::WrongEpoch,
        Err(CommitError::Uncertain) => Response::Uncertain,
    }
}

/// A call that names a job.
struct JobReader<'a> {
    store: &'a Rc<Store>,
    term: &'a PrimaryTerm,
    job: &'a str,
    tenant: &'a str,
}

impl JobReader<'_> {
    /// Looks at the job, if it is there and the tenant's.
    fn with_job<T>(&self, inspect: impl FnOnce(&JobEntry) -> T) -> Option<T> {
        let replica = self.term.shard.replica();
        replica.jobs().jobs.get(self.job).filter(|entry| entry.job.tenant == self.tenant).map(inspect)
    }

    /// Gives an answer only if this store may still give one.
    async fn confirmed(&self, response: Response) -> Response {
        let shard = &self.term.shard;
        let pending = shard.replica().is_pending(self.job);
        let certain = !pending && shard.confirm(self.store, clock::micros() + CONFIRM_TIMEOUT).await;
        if certain { response } else { Response::Uncertain }
    }

    async fn results(&self, start_after: u64, wait_ms: u64) -> Response {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let updates = self.term.updates.notified();
            let more = self.with_job(|entry| entry.results.len() as u64 > start_after || entry.ended);
            let waiting = more == Some(false) && tokio::time::Instant::now() < deadline;
            if !waiting || !self.term.is_serving() {
                break;
            }
            let _ = tokio::time::timeout_at(deadline, updates).await;
        }
        let response =
            self.with_job(|entry| results_response(entry, start_after)).unwrap_or(Response::NotFound);
        self.confirmed(response).await
    }

    async fn body(&self, item: &str) -> Response {
        let body = self.with_job(|entry| entry.item(item).map(|item| item.body.clone())).flatten();
        self.confirmed(body.map_or(Response::NotFound, Response::Body)).await
    }

    async fn end(&self) -> Response {
        match self.with_job(|entry| entry.ended) {
            None => self.confirmed(Response::NotFound).await,
            Some(true) => self.confirmed(Response::Done).await,
            Some(false) => {
                let change = ShardOperation::End { job: self.job.to_owned() };
                commit_response(self.term.shard.commit(self.store, change).await)
            }
        }
    }
}

fn results_response(entry: &JobEntry, start_after: u64) -> Response {
    let mut bytes = 0;
    let mut results: Vec<(String, Phase, String)> = Vec::new();
    for result in entry.results.iter().skip(start_after as usize) {
        if bytes + result.text.len() > RESULT_BYTES && !results.is_empty() {
            break;
        }
        bytes += result.text.len() + 128;
        let id = entry.job.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
        results.push((id, result.phase, result.text.clone()));
    }
    Response::Results { total: entry.job.items.len() as u64, results }
}
