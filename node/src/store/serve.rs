//! Calls of couriers at the primary of a shard.

use super::Store;
use super::quota::{self, ClaimError};
use super::reign::Reign;
use super::shard::CommitError;
use crate::clock;
use quillmount_batch::JobEntry;
use quillmount_wire::messages::{Epoch, Job, Phase, Request, Response, ShardOperation};
use std::rc::Rc;
use std::time::Duration;

/// Bytes of results in one answer, about; at least one result is given.
const RESULT_BYTES: usize = 900_000;
/// How long a read may wait for its confirmation, microseconds.
const CONFIRM_TIME: u64 = 900_000;

/// Answers any call.
pub async fn answer(store: &Rc<Store>, request: Request) -> Response {
    match request {
        Request::Member { to, shard, epoch, message } => {
            let mine = to == store.node.info.disk;
            match store.shards.get(shard as usize).filter(|_| mine).cloned() {
                Some(shard) => shard.answer(store, epoch, message).await,
                None => Response::WrongEpoch,
            }
        }
        Request::Submit { shard, epoch, job } => match serving(store, shard, epoch) {
            Some(reign) => submit(store, &reign, job).await,
            None => Response::WrongEpoch,
        },
        Request::Read { shard, epoch, job, tenant, start_after, wait_ms } => {
            match serving(store, shard, epoch) {
                Some(reign) => {
                    let reader = Reader { store, reign: &reign, job: &job, tenant: &tenant };
                    reader.results(start_after, wait_ms).await
                }
                None => Response::WrongEpoch,
            }
        }
        Request::Body { shard, epoch, job, tenant, item } => match serving(store, shard, epoch) {
            Some(reign) => Reader { store, reign: &reign, job: &job, tenant: &tenant }.body(&item).await,
            None => Response::WrongEpoch,
        },
        Request::End { shard, epoch, job, tenant } => match serving(store, shard, epoch) {
            Some(reign) => Reader { store, reign: &reign, job: &job, tenant: &tenant }.end().await,
            None => Response::WrongEpoch,
        },
        Request::Claim(claim) => quota::answer(store, &claim),
        Request::Statements(statements) => {
            quota::take_statements(store, &statements);
            Response::Done
        }
        Request::Announce { .. } | Request::Primary { .. } | Request::Poll(_) | Request::Replica { .. } => {
            Response::WrongEpoch
        }
    }
}

fn serving(store: &Store, shard: u32, epoch: Epoch) -> Option<Rc<Reign>> {
    let reign = store.shards.get(shard as usize)?.serving(epoch)?;
    // Without a configuration the routes of items are unknown.
    (store.node.tables().versions.configuration > 0).then_some(reign)
}

async fn submit(store: &Rc<Store>, reign: &Rc<Reign>, job: Job) -> Response {
    let shard = &reign.shard;
    let known = shard.replica().jobs().jobs.contains_key(&job.id);
    if known {
        let until = clock::micros() + CONFIRM_TIME;
        return if shard.confirm(store, until).await { Response::Done } else { Response::Uncertain };
    }
    if !shard.replica().is_pending(&job.id) && !store.has_room() {
        return Response::Full;
    }
    if shard.replica().is_pending(&job.id) {
        return committed(shard.commit(store, ShardOperation::Submit(job)).await);
    }
    // Held until the outcome is there: until then the claim counts beside what is committed.
    let claimed = match quota::claim(store, reign, &job).await {
        Ok(claimed) => claimed,
        Err(ClaimError::Exceeded) => return Response::Full,
        Err(ClaimError::Unsure) => return Response::WrongEpoch,
    };
    let outcome = shard.commit(store, ShardOperation::Submit(job)).await;
    drop(claimed);
    committed(outcome)
}

fn committed(outcome: Result<(), CommitError>) -> Response {
    match outcome {
        Ok(()) => Response::Done,
        Err(CommitError::NotBegun) => Response::WrongEpoch,
        Err(CommitError::Uncertain) => Response::Uncertain,
    }
}

/// A call that names a job.
struct Reader<'a> {
    store: &'a Rc<Store>,
    reign: &'a Reign,
    job: &'a str,
    tenant: &'a str,
}

impl Reader<'_> {
    /// Looks at the job, if it is there and the tenant's.
    fn with_job<T>(&self, look: impl FnOnce(&JobEntry) -> T) -> Option<T> {
        let replica = self.reign.shard.replica();
        replica.jobs().jobs.get(self.job).filter(|entry| entry.job.tenant == self.tenant).map(look)
    }

    /// Gives an answer only if this store may still give one.
    async fn confirmed(&self, response: Response) -> Response {
        let shard = &self.reign.shard;
        let pending = shard.replica().is_pending(self.job);
        let certain = !pending && shard.confirm(self.store, clock::micros() + CONFIRM_TIME).await;
        if certain { response } else { Response::Uncertain }
    }

    async fn results(&self, start_after: u64, wait_ms: u64) -> Response {
        let held_until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let news = self.reign.news.notified();
            let more = self.with_job(|entry| entry.results.len() as u64 > start_after || entry.ended);
            let waiting = more == Some(false) && tokio::time::Instant::now() < held_until;
            if !waiting || !self.reign.is_serving() {
                break;
            }
            let _ = tokio::time::timeout_at(held_until, news).await;
        }
        let response = self.with_job(|entry| listed(entry, start_after)).unwrap_or(Response::NotFound);
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
                committed(self.reign.shard.commit(self.store, change).await)
            }
        }
    }
}

fn listed(entry: &JobEntry, start_after: u64) -> Response {
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
