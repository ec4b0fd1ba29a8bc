//! Calls concerning batch jobs: checked here, answered by the store that leads the job's shard.

use super::connection::{ServeOutcome, respond};
use crate::clock;
use crate::http::{Connection, HttpRequest, HttpResponse};
use crate::node::Node;
use crate::rpc::CallError;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use miniserde::{Deserialize, Serialize, json};
use quillmount_control::shard_of;
use quillmount_dataplane::routes::CompiledRoute;
use quillmount_wire::messages::{Epoch, Item, Job, Phase, Request as StoreRequest, Response};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Items of one job at most.
const ITEM_LIMIT: usize = 200;
/// Longest time a read may be held, ms.
const WAIT_LIMIT_MS: u64 = 5_000;
/// A store's answer, beyond what it may hold the call, is waited for so long.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause before another store is asked.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// How long a store that leads the shard is looked for, microseconds.
const SEARCH_TIME: u64 = 2_500_000;
/// Objective of a route that states none, ms.
const DEFAULT_TARGET_MS: f64 = 1_000.0;

#[derive(Deserialize)]
struct SubmissionBody {
    #[serde(rename = "Requests")]
    requests: Vec<SubmittedItem>,
}

#[derive(Deserialize)]
struct SubmittedItem {
    #[serde(rename = "Id")]
    id: String,
    #[serde(rename = "Path")]
    path: String,
    #[serde(rename = "Headers")]
    headers: Option<BTreeMap<String, String>>,
    #[serde(rename = "Body")]
    body: Option<String>,
    #[serde(rename = "Tokens")]
    tokens: Option<f64>,
}

#[derive(Serialize)]
struct ResultsBody {
    #[serde(rename = "Total")]
    total: u64,
    #[serde(rename = "NextCursor")]
    next: u64,
    #[serde(rename = "Outputs")]
    outputs: Vec<ResultBody>,
}

#[derive(Serialize)]
struct ResultBody {
    #[serde(rename = "Id")]
    id: String,
    #[serde(rename = "Phase")]
    phase: String,
    #[serde(rename = "Text")]
    text: String,
}

const JOBS_PREFIX: &str = "/-/lots/";
const ITEMS_PREFIX: &str = "/-/items/";

/// Whether a target names a job rather than a route.
pub fn is_job_call(target: &str) -> bool {
    target.starts_with(JOBS_PREFIX) || target.starts_with(ITEMS_PREFIX)
}

/// Why the store that leads a shard gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unanswered {
    /// No store was reached: nothing happened.
    Unreached,
    /// A store may have acted on it.
    Uncertain,
}

/// Calls the leader of a job's shard, following changes of the view, until a time of the steady clock.
async fn call_primary(
    node: &Node,
    job: &str,
    until: u64,
    max_wait: Duration,
    call: impl Fn(u32, Epoch) -> StoreRequest,
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
            let left = Duration::from_micros(until.saturating_sub(clock::micros()));
            let time = max_wait + ANSWER_TIMEOUT.min(left.max(RETRY_DELAY));
            match node.links.call(&primary.internal, &call(shard, view.epoch), time).await {
                Ok(Response::WrongEpoch) | Err(CallError::NotSent) => {}
                Ok(Response::Uncertain) | Err(CallError::Lost) => uncertain = true,
                // An earlier call may have been acted on: a refusal now would promise too much.
                Ok(Response::Full) if uncertain => return Err(Unanswered::Uncertain),
                Ok(response) => return Ok(response),
            }
        }
        if clock::micros() >= until {
            return Err(if uncertain { Unanswered::Uncertain } else { Unanswered::Unreached });
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn read_items(body: &[u8]) -> Option<Vec<Item>> {
    let submission: SubmissionBody = json::from_str(std::str::from_utf8(body).ok()?).ok()?;
    if submission.requests.len() > ITEM_LIMIT {
        return None;
    }
    let mut ids = BTreeSet::new();
    let item = |item: SubmittedItem| {
        ids.insert(item.id.clone()).then_some(())?;
        Some(Item {
            id: item.id,
            path: item.path,
            headers: item.headers.into_iter().flatten().collect(),
            body: STANDARD.decode(item.body.unwrap_or_default()).ok()?,
            tokens: item.tokens.unwrap_or(0.0) as u64,
        })
    };
    submission.requests.into_iter().map(item).collect()
}

/// Takes a job: 202 once the stores keep it.
pub async fn submit(
    node: &Rc<Node>,
    connection: &mut Connection,
    request: &HttpRequest,
    route: &CompiledRoute,
    tenant: Option<&str>,
) -> ServeOutcome {
    let keep_alive = request.head.keep_alive;
    let headers = &request.head.headers;
    let id = headers.get("Request-Id").unwrap_or_default().to_owned();
    let items = read_items(&request.body);
    let Some(items) = items.filter(|_| !id.is_empty()) else {
        return respond(node, connection, keep_alive, &HttpResponse::text(400, "the body is no batch job"))
            .await;
    };
    let job = Job {
        id: id.clone(),
        tenant: tenant.unwrap_or_default().to_owned(),
        route: route.route.name.clone(),
        host: route.route.host.clone(),
        path: request.head.target.clone(),
        items,
    };
    let target = route.route.target_ms.unwrap_or(DEFAULT_TARGET_MS);
    let until = request.arrived + clock::millis(target).as_micros() as u64 * 2;
    let call = |shard, epoch| StoreRequest::Submit { shard, epoch, job: job.clone() };
    match call_primary(node, &id, until, Duration::ZERO, call).await {
        Ok(Response::Done) => respond(node, connection, keep_alive, &HttpResponse::text(202, "taken")).await,
        Ok(Response::Full) => {
            let answer =
                HttpResponse::text(429, "the stores are full").with_header("Retry-After", "1".to_owned());
            respond(node, connection, keep_alive, &answer).await
        }
        Err(Unanswered::Unreached) => {
            let answer = HttpResponse::text(503, "no store could be reached")
                .with_header("Retry-After", "0.3".to_owned());
            respond(node, connection, keep_alive, &answer).await
        }
        // It may be kept: nothing is promised.
        _ => respond(node, connection, keep_alive, &HttpResponse::text(504, "it may have been taken")).await,
    }
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn unavailable() -> HttpResponse {
    HttpResponse::text(503, "the job's store can't be asked now").with_header("Retry-After", "0.2".to_owned())
}

/// Answers a call that names a job.
pub async fn serve(
    node: &Rc<Node>,
    connection: &mut Connection,
    request: &HttpRequest,
    tenant: &str,
) -> ServeOutcome {
    let target = request.head.target.as_str();
    let path = target.split('?').next().unwrap_or_default();
    let tenant = tenant.to_owned();
    let answer =
        match (request.head.method.as_str(), path.strip_prefix(JOBS_PREFIX), path.strip_prefix(ITEMS_PREFIX))
        {
            ("GET", Some(job), _) => read(node, request, job, tenant).await,
            ("DELETE", Some(job), _) => end(node, request, job, tenant).await,
            ("GET", _, Some(job)) => body(node, request, job, tenant).await,
            _ => HttpResponse::text(405, "there is no such call"),
        };
    respond(node, connection, request.head.keep_alive, &answer).await
}

async fn read(node: &Node, request: &HttpRequest, job: &str, tenant: String) -> HttpResponse {
    let start_after =
        query(&request.head.target, "StartAfter").and_then(|value| value.parse().ok()).unwrap_or(0);
    let wait = request.head.headers.get("Wait").and_then(|value| value.trim().parse().ok()).unwrap_or(0);
    let wait_ms = u64::min(wait, WAIT_LIMIT_MS);
    let call = |shard, epoch| StoreRequest::Read {
        shard,
        epoch,
        job: job.to_owned(),
        tenant: tenant.clone(),
        start_after,
        wait_ms,
    };
    let max_wait = Duration::from_millis(wait_ms);
    let until = request.arrived + u64::max(max_wait.as_micros() as u64, 800_000);
    match call_primary(node, job, until, max_wait, call).await {
        Ok(Response::Results { total, results }) => {
            let next = start_after + results.len() as u64;
            let outputs = results.into_iter().map(|(id, phase, text)| ResultBody {
                id,
                phase: phase_name(phase),
                text,
            });
            HttpResponse::json(200, json::to_string(&ResultsBody { total, next, outputs: outputs.collect() }))
        }
        Ok(Response::NotFound) => HttpResponse::text(404, "there is no such job"),
        _ => unavailable(),
    }
}

fn phase_name(phase: Phase) -> String {
    match phase {
        Phase::Done => "done",
        Phase::DeadLetter => "dead_letter",
    }
    .to_owned()
}

async fn end(node: &Node, request: &HttpRequest, job: &str, tenant: String) -> HttpResponse {
    let call = |shard, epoch| StoreRequest::End { shard, epoch, job: job.to_owned(), tenant: tenant.clone() };
    match call_primary(node, job, request.arrived + SEARCH_TIME, Duration::ZERO, call).await {
        Ok(Response::Done) => HttpResponse::text(200, "ended"),
        Ok(Response::NotFound) => HttpResponse::text(404, "there is no such job"),
        _ => HttpResponse::text(504, "it may have been ended"),
    }
}

async fn body(node: &Node, request: &HttpRequest, job: &str, tenant: String) -> HttpResponse {
    let item = query(&request.head.target, "Id").unwrap_or_default().to_owned();
    let call = |shard, epoch| StoreRequest::Body {
        shard,
        epoch,
        job: job.to_owned(),
        tenant: tenant.clone(),
        item: item.clone(),
    };
    match call_primary(node, job, request.arrived + SEARCH_TIME, Duration::ZERO, call).await {
        Ok(Response::Body(bytes)) => {
            let headers = vec![("Content-Type", "application/octet-stream".to_owned())];
            HttpResponse { status: 200, headers, body: bytes }
        }
        Ok(Response::NotFound) => HttpResponse::text(404, "there is no such item"),
        _ => unavailable(),
    }
}
