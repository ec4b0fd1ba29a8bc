//! The batch interface: checks calls about batch jobs and passes them to the store that leads the job's shard.
//!
//! [`submit`] answers the requests of routes with mode `bulk`, [`answer`] the calls that name a job. `bodies` has their JSON
//! forms, `primary_call` finds the store.

mod bodies;
mod primary_call;

use crate::clock;
use crate::http::{HttpRequest, HttpResponse};
use crate::node::Node;
use primary_call::{Unanswered, call_primary};
use quillmount_batch::{MAX_JOB_BYTES, job_bytes};
use quillmount_dataplane::head::RequestHead;
use quillmount_dataplane::routes::CompiledRoute;
use quillmount_wire::Micros;
use quillmount_wire::messages::{Job, Request as StoreRequest, Response};
use std::time::Duration;

/// Longest time for which a client may let a read wait for results, milliseconds.
const WAIT_LIMIT_MS: u64 = 5_000;
/// How long the primary is looked for, microseconds.
const SEARCH_TIME: Micros = 2_500_000;
/// The same for reads that wait for a shorter time, microseconds. Clients repeat reads anyway.
const READ_SEARCH_TIME: Micros = 800_000;
/// The same for submissions, as a multiple of the route's latency target.
const SUBMIT_SEARCH_TARGETS: u64 = 2;
/// Latency target of a route that states none, milliseconds.
const DEFAULT_TARGET_MS: f64 = 1_000.0;

/// Prefixes of targets that name a job; the job's id follows. These paths are part of the public interface.
const JOBS_PREFIX: &str = "/-/lots/";
const ITEMS_PREFIX: &str = "/-/items/";

/// A call that names a job by its id.
enum JobCall<'a> {
    /// Read results.
    ReadResults { job: &'a str },
    /// Drop the items that have no result.
    End { job: &'a str },
    /// Read the body of an item.
    ReadItemBody { job: &'a str },
}

impl<'a> JobCall<'a> {
    /// The call that a method and target stand for, if there is one.
    fn parse(head: &'a RequestHead) -> Option<JobCall<'a>> {
        let path = head.target.split('?').next()?;
        if let Some(job) = path.strip_prefix(JOBS_PREFIX) {
            return match head.method.as_str() {
                "GET" => Some(JobCall::ReadResults { job }),
                "DELETE" => Some(JobCall::End { job }),
                _ => None,
            };
        }
        let job = path.strip_prefix(ITEMS_PREFIX)?;
        (head.method == "GET").then_some(JobCall::ReadItemBody { job })
    }
}

/// Whether a target names a job rather than a route.
pub(super) fn is_job_call(target: &str) -> bool {
    target.starts_with(JOBS_PREFIX) || target.starts_with(ITEMS_PREFIX)
}

/// Submits a job: 202 once the stores have it on disk.
pub(super) async fn submit(
    node: &Node,
    request: &HttpRequest,
    route: &CompiledRoute,
    tenant: Option<&str>,
) -> HttpResponse {
    let id = request.head.headers.get("Request-Id").unwrap_or_default();
    if id.is_empty() {
        return HttpResponse::text(400, "Request-Id is missing: it is the id of the batch job");
    }
    let items = match bodies::parse_submission(&request.body) {
        Ok(items) => items,
        Err(error) => return HttpResponse::text(400, &error.to_string()),
    };
    let job = Job {
        id: id.to_owned(),
        tenant: tenant.unwrap_or_default().to_owned(),
        route: route.route.name.clone(),
        host: route.route.host.clone(),
        path: request.head.target.clone(),
        items,
    };
    if job_bytes(&job) > MAX_JOB_BYTES {
        return HttpResponse::text(413, &format!("the items of the batch job exceed {MAX_JOB_BYTES} bytes"));
    }
    let target = clock::micros_from_ms(route.route.target_ms.unwrap_or(DEFAULT_TARGET_MS));
    let until = request.arrived + target * SUBMIT_SEARCH_TARGETS;
    let submission = |shard, epoch| StoreRequest::Submit { shard, epoch, job: job.clone() };
    match call_primary(node, id, until, Duration::ZERO, submission).await {
        Ok(Response::Done) => {
            let (route, items) = (&job.route, job.items.len());
            let version = node.tables().versions.configuration;
            tracing::debug!(job = id, route, items, version, "accepted a batch job");
            HttpResponse::text(202, "taken")
        }
        Ok(Response::Full) => {
            HttpResponse::text(429, "the stores are full").with_header("Retry-After", "1".to_owned())
        }
        Err(Unanswered::Unreached) => {
            HttpResponse::text(503, "no store could be reached").with_header("Retry-After", "0.3".to_owned())
        }
        // A store may have it, so nothing is promised.
        _ => HttpResponse::text(504, "it may have been taken"),
    }
}

/// Answers a call that names a job of a tenant.
pub(super) async fn answer(node: &Node, request: &HttpRequest, tenant: &str) -> HttpResponse {
    match JobCall::parse(&request.head) {
        Some(JobCall::ReadResults { job }) => read_results(node, request, job, tenant).await,
        Some(JobCall::End { job }) => end_job(node, request, job, tenant).await,
        Some(JobCall::ReadItemBody { job }) => read_item_body(node, request, job, tenant).await,
        None => HttpResponse::text(405, "there is no such call"),
    }
}

/// Reads the results after the number of them that the query parameter `StartAfter` gives; waits for some as long as the header
/// `Wait` (milliseconds) allows.
async fn read_results(node: &Node, request: &HttpRequest, job: &str, tenant: &str) -> HttpResponse {
    let start_after =
        query_parameter(&request.head.target, "StartAfter").and_then(|value| value.parse().ok()).unwrap_or(0);
    let wait = request.head.headers.get("Wait").and_then(|value| value.trim().parse().ok()).unwrap_or(0);
    let wait_ms = u64::min(wait, WAIT_LIMIT_MS);
    let read = |shard, epoch| StoreRequest::Read {
        shard,
        epoch,
        job: job.to_owned(),
        tenant: tenant.to_owned(),
        start_after,
        wait_ms,
    };
    let max_wait = Duration::from_millis(wait_ms);
    let until = request.arrived + Micros::max(max_wait.as_micros() as Micros, READ_SEARCH_TIME);
    match call_primary(node, job, until, max_wait, read).await {
        Ok(Response::Results { total, results }) => {
            HttpResponse::json(200, bodies::encode_results(start_after, total, results))
        }
        Ok(Response::NotFound) => HttpResponse::text(404, "there is no such job"),
        _ => unavailable(),
    }
}

/// Ends a job: its remaining items are dropped.
async fn end_job(node: &Node, request: &HttpRequest, job: &str, tenant: &str) -> HttpResponse {
    let end =
        |shard, epoch| StoreRequest::End { shard, epoch, job: job.to_owned(), tenant: tenant.to_owned() };
    match call_primary(node, job, request.arrived + SEARCH_TIME, Duration::ZERO, end).await {
        Ok(Response::Done) => HttpResponse::text(200, "ended"),
        Ok(Response::NotFound) => HttpResponse::text(404, "there is no such job"),
        _ => HttpResponse::text(504, "it may have been ended"),
    }
}

/// Reads the body of the item that the query parameter `Id` names.
async fn read_item_body(node: &Node, request: &HttpRequest, job: &str, tenant: &str) -> HttpResponse {
    let item = query_parameter(&request.head.target, "Id").unwrap_or_default();
    let read = |shard, epoch| StoreRequest::Body {
        shard,
        epoch,
        job: job.to_owned(),
        tenant: tenant.to_owned(),
        item: item.to_owned(),
    };
    match call_primary(node, job, request.arrived + SEARCH_TIME, Duration::ZERO, read).await {
        Ok(Response::Body(bytes)) => {
            let headers = vec![("Content-Type", "application/octet-stream".to_owned())];
            HttpResponse { status: 200, headers, body: bytes }
        }
        Ok(Response::NotFound) => HttpResponse::text(404, "there is no such item"),
        _ => unavailable(),
    }
}

/// The first value of a parameter in the query of a target.
fn query_parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// No store answered a read, which has no effect in any case.
fn unavailable() -> HttpResponse {
    HttpResponse::text(503, "the job's store can't be asked now").with_header("Retry-After", "0.2".to_owned())
}
