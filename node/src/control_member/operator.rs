//! The operator's interface.

use super::register::{ChangeError, Core};
use crate::http::{Answer, Request};
use crate::node::Node;
use miniserde::{Serialize, json};
use quillmount_control::{Order, OrderKind, Retirement, Verdict};
use std::rc::Rc;

/// Status of an error, as JSON.
#[derive(Serialize)]
struct Problem {
    #[serde(rename = "Error")]
    error: String,
}

#[derive(Serialize)]
struct Progress {
    #[serde(rename = "Phase")]
    phase: String,
}

#[derive(Serialize)]
struct InForce {
    #[serde(rename = "Gen")]
    version: u64,
}

fn problem(status: u16, error: impl std::fmt::Display) -> Answer {
    Answer::json(status, json::to_string(&Problem { error: error.to_string() }))
}

/// Answers a request of the operator; `None` where the outcome is uncertain.
pub async fn answer(node: Rc<Node>, core: Option<Rc<Core>>, request: Request) -> Option<Answer> {
    match core.filter(|core| core.serving().is_some()) {
        Some(core) => serve(&core, &request).await,
        None => Some(redirect(&node, &request)),
    }
}

/// Sends the caller to the primary.
fn redirect(node: &Node, request: &Request) -> Answer {
    match node.primary_admin().filter(|admin| Some(admin) != node.settings.sockets.admin.as_ref()) {
        Some(admin) => {
            let location = format!("http://{admin}{}", request.head.target);
            Answer::text(307, "the primary is elsewhere").with("Location", location)
        }
        None => unavailable(),
    }
}

fn unavailable() -> Answer {
    problem(503, "no primary of the core is known here: come again").with("Retry-After", "0.2".to_owned())
}

async fn serve(core: &Rc<Core>, request: &Request) -> Option<Answer> {
    let method = request.head.method.as_str();
    let path = request.head.target.split('?').next().unwrap_or_default();
    let words: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (method, words.as_slice()) {
        ("POST", ["-", "config", "put"]) => order(core, OrderKind::Put, request).await,
        ("POST", ["-", "config", "patch"]) => order(core, OrderKind::Patch, request).await,
        ("GET", ["-", "config", "get"]) => read(core).await,
        ("POST", ["-", "retire", store, "start"]) => retire(core, store).await,
        ("GET", ["-", "retire", store, "get"]) => Some(retirement(core, store).await),
        _ => Some(problem(404, "there is no such call")),
    }
}

async fn order(core: &Core, kind: OrderKind, request: &Request) -> Option<Answer> {
    let base = match request.head.headers.get("Base-Version").map(|base| base.trim().parse()) {
        Some(Ok(base)) => base,
        None => 0,
        Some(Err(_)) => return Some(problem(400, "Base-Version is no number")),
    };
    let Ok(body) = String::from_utf8(request.body.clone()) else {
        return Some(problem(400, "the body is not UTF-8"));
    };
    let order = Order { kind, base, body };
    match core.change(|state| state.order(&order)).await {
        Ok(Verdict::Taken { version }) => Some(Answer::json(200, json::to_string(&InForce { version }))),
        Ok(Verdict::OtherVersion { current }) => {
            Some(problem(412, format!("version {current} is in place, not {base}")))
        }
        Ok(Verdict::Invalid(error)) => Some(problem(400, error)),
        // It may have been taken long ago: neither yes nor no would be certain.
        Ok(Verdict::Forgotten) => None,
        Err(ChangeError::NotPrimary) => Some(unavailable()),
        Err(ChangeError::Uncertain) => None,
    }
}

async fn read(core: &Core) -> Option<Answer> {
    if core.confirm().await.is_err() {
        return Some(unavailable());
    }
    let state = core.committed()?;
    Some(match state.version {
        0 => unavailable(),
        _ => Answer::json(200, state.configuration.clone()),
    })
}

async fn retire(core: &Core, store: &str) -> Option<Answer> {
    let survivable = core.node.settings.survive.boxes;
    match core.change(|state| state.retire(store, survivable)).await {
        Ok(Retirement::Unknown) => Some(problem(404, "there is no such store")),
        Ok(Retirement::TooFew) => Some(problem(409, "too few stores would be left")),
        Ok(Retirement::Serving | Retirement::Done) => Some(phase("serving")),
        Err(ChangeError::NotPrimary) => Some(unavailable()),
        Err(ChangeError::Uncertain) => None,
    }
}

fn phase(phase: &str) -> Answer {
    Answer::json(200, json::to_string(&Progress { phase: phase.to_owned() }))
}

async fn retirement(core: &Core, store: &str) -> Answer {
    if core.confirm().await.is_err() {
        return unavailable();
    }
    match core.committed().map(|state| state.retirement(store)) {
        Some(Retirement::Done) => phase("done"),
        Some(Retirement::Serving | Retirement::TooFew) => phase("serving"),
        Some(Retirement::Unknown) => problem(404, "there is no such store"),
        None => unavailable(),
    }
}
