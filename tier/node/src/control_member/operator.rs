//! The operator's HTTP interface: reads and changes the configuration, and retires stores.
//!
//! Only the primary of the core answers; other couriers redirect to it. If the outcome of a change is unknown, the connection
//! is closed without an answer, because neither success nor failure can be reported.

use super::member::{ChangeError, ControlMember};
use crate::http::{HttpRequest, HttpResponse};
use crate::node::Node;
use miniserde::{Serialize, json};
use quillmount_control::{Order, OrderKind, OrderOutcome, Retirement};
use quillmount_wire::configuration::ConfigurationError;
use std::rc::Rc;

/// JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody {
    #[serde(rename = "Error")]
    error: String,
}

/// Phase of a store's retirement.
#[derive(Serialize)]
enum RetirementPhase {
    /// The store still has shards, or its retirement was not started.
    #[serde(rename = "serving")]
    Serving,
    /// The store has no shards left and can be stopped.
    #[serde(rename = "done")]
    Done,
}

/// JSON body with the phase of a retirement.
#[derive(Serialize)]
struct PhaseBody {
    #[serde(rename = "Phase")]
    phase: RetirementPhase,
}

/// JSON body with the version that a change of the configuration has produced.
#[derive(Serialize)]
struct VersionBody {
    #[serde(rename = "Gen")]
    version: u64,
}

/// Answers a request of the operator; `None` if the outcome is unknown. `core` is this machine's member, if it has one.
pub async fn answer(
    node: Rc<Node>,
    core: Option<Rc<ControlMember>>,
    request: HttpRequest,
) -> Option<HttpResponse> {
    match core.filter(|core| core.serving().is_some()) {
        Some(core) => serve(&core, &request).await,
        None => Some(redirect(&node, &request)),
    }
}

/// Redirects the client to the primary, if the primary's address is known and is another machine's.
fn redirect(node: &Node, request: &HttpRequest) -> HttpResponse {
    match node.primary_admin().filter(|admin| Some(admin) != node.settings.sockets.admin.as_ref()) {
        Some(admin) => {
            let location = format!("http://{admin}{}", request.head.target);
            HttpResponse::text(307, "the primary is elsewhere").with_header("Location", location)
        }
        None => unavailable(),
    }
}

/// Answers a request at the primary.
async fn serve(core: &Rc<ControlMember>, request: &HttpRequest) -> Option<HttpResponse> {
    let method = request.head.method.as_str();
    let path = request.head.target.split('?').next().unwrap_or_default();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (method, segments.as_slice()) {
        ("POST", ["-", "config", "put"]) => change_configuration(core, OrderKind::Put, request).await,
        ("POST", ["-", "config", "patch"]) => change_configuration(core, OrderKind::Patch, request).await,
        ("GET", ["-", "config", "get"]) => read_configuration(core).await,
        ("POST", ["-", "retire", store, "start"]) => start_retirement(core, store).await,
        ("GET", ["-", "retire", store, "get"]) => Some(retirement_status(core, store).await),
        _ => Some(error_response(404, "there is no such call")),
    }
}

/// Applies a put or patch of the configuration.
async fn change_configuration(
    core: &ControlMember,
    kind: OrderKind,
    request: &HttpRequest,
) -> Option<HttpResponse> {
    let base = match request.head.headers.get("Base-Version").map(|base| base.trim().parse()) {
        Some(Ok(version)) => version,
        None => 0,
        Some(Err(_)) => return Some(error_response(400, "Base-Version is no number")),
    };
    let Ok(body) = String::from_utf8(request.body.clone()) else {
        return Some(error_response(400, "the body is not UTF-8"));
    };
    let order = Order { kind, base, body };
    match core.change(|state| state.apply_order(&order)).await {
        Ok(OrderOutcome::Applied { version }) => {
            tracing::info!(version, "configuration committed");
            Some(HttpResponse::json(200, json::to_string(&VersionBody { version })))
        }
        Ok(OrderOutcome::VersionMismatch { current }) => {
            Some(error_response(412, format!("version {current} is in place, not {base}")))
        }
        Ok(OrderOutcome::Invalid(error)) => {
            let is_too_large = matches!(error, ConfigurationError::TooLarge { .. });
            Some(error_response(if is_too_large { 413 } else { 400 }, error))
        }
        // The same order may have been applied earlier, so neither success nor failure can be reported.
        Ok(OrderOutcome::Expired) => None,
        Err(ChangeError::NotPrimary) => Some(unavailable()),
        Err(ChangeError::TooLarge(rejected)) => Some(error_response(413, rejected)),
        Err(ChangeError::Uncertain) => {
            tracing::info!(base, "the outcome of a configuration change is unknown");
            None
        }
    }
}

/// Returns the configuration in force, confirmed by a majority.
async fn read_configuration(core: &ControlMember) -> Option<HttpResponse> {
    if core.confirm().await.is_err() {
        return Some(unavailable());
    }
    let state = core.committed()?;
    Some(match state.version {
        0 => unavailable(),
        _ => HttpResponse::json(200, state.configuration.clone()),
    })
}

/// Starts to move all shards away from a store.
async fn start_retirement(core: &ControlMember, store: &str) -> Option<HttpResponse> {
    let tolerated_failures = core.node.settings.fault_tolerance.machines;
    match core.change(|state| state.retire(store, tolerated_failures)).await {
        Ok(Retirement::Unknown) => Some(error_response(404, "there is no such store")),
        Ok(Retirement::TooFew) => Some(error_response(409, "too few stores would be left")),
        Ok(Retirement::Serving | Retirement::Done) => Some(phase_response(RetirementPhase::Serving)),
        Err(ChangeError::NotPrimary) => Some(unavailable()),
        Err(ChangeError::TooLarge(rejected)) => Some(error_response(413, rejected)),
        Err(ChangeError::Uncertain) => None,
    }
}

/// Answers with the phase of a store's retirement.
async fn retirement_status(core: &ControlMember, store: &str) -> HttpResponse {
    if core.confirm().await.is_err() {
        return unavailable();
    }
    match core.committed().map(|state| state.retirement(store)) {
        Some(Retirement::Done) => phase_response(RetirementPhase::Done),
        Some(Retirement::Serving | Retirement::TooFew) => phase_response(RetirementPhase::Serving),
        Some(Retirement::Unknown) => error_response(404, "there is no such store"),
        None => unavailable(),
    }
}

/// Response if no primary is known, or if this member is no longer primary.
fn unavailable() -> HttpResponse {
    error_response(503, "no primary of the core is known here: come again")
        .with_header("Retry-After", "0.2".to_owned())
}

fn phase_response(phase: RetirementPhase) -> HttpResponse {
    HttpResponse::json(200, json::to_string(&PhaseBody { phase }))
}

fn error_response(status: u16, error: impl std::fmt::Display) -> HttpResponse {
    HttpResponse::json(status, json::to_string(&ErrorBody { error: error.to_string() }))
}
