//! The platform's list of endpoints, read by the primary of the core.

use super::register::ControlMember;
use crate::clock;
use crate::http;
use crate::node::Node;
use miniserde::{Deserialize, json};
use quillmount_wire::messages::Endpoint;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two readings.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Pause after a reading that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// A page without an answer for so long has failed.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pages of one reading at most.
const PAGE_LIMIT: usize = 1000;

#[derive(Deserialize)]
struct Page {
    #[serde(rename = "Endpoints")]
    endpoints: Vec<ListedEndpoint>,
    #[serde(rename = "NextCursor")]
    next: Option<String>,
}

#[derive(Deserialize)]
struct ListedEndpoint {
    #[serde(rename = "Id")]
    id: String,
    #[serde(rename = "Backend")]
    service: String,
    #[serde(rename = "Address")]
    address: String,
    #[serde(rename = "Az")]
    zone: Option<String>,
    #[serde(rename = "Capacity")]
    capacity: Option<f64>,
    #[serde(rename = "Phase")]
    phase: Option<String>,
    #[serde(rename = "ColdLeftMs")]
    warmup_left_ms: Option<f64>,
    #[serde(rename = "Models")]
    models: Option<Vec<ListedModel>>,
}

#[derive(Deserialize)]
struct ListedModel {
    #[serde(rename = "Name")]
    name: String,
    #[serde(rename = "Gen")]
    generation: Option<f64>,
}

impl From<ListedEndpoint> for Endpoint {
    fn from(listed: ListedEndpoint) -> Endpoint {
        let model = |model: ListedModel| (model.name, model.generation.unwrap_or(0.0) as u64);
        Endpoint {
            id: listed.id,
            service: listed.service,
            address: listed.address,
            zone: listed.zone.unwrap_or_default(),
            capacity: listed.capacity.unwrap_or(1.0) as u32,
            draining: listed.phase.as_deref() != Some("up"),
            warmup_left_ms: listed.warmup_left_ms.unwrap_or(0.0),
            models: listed.models.into_iter().flatten().map(model).collect(),
        }
    }
}

/// Reads the whole list; `None` if a page failed.
pub async fn read_list(node: &Node) -> Option<Vec<Endpoint>> {
    let address = &node.settings.cloud_api.as_ref()?.address;
    let mut list = Vec::new();
    let mut target = "/endpoints".to_owned();
    for _ in 0..PAGE_LIMIT {
        let (status, body) = http::call(address, "GET", &target, &[], &[], PAGE_TIMEOUT).await?;
        if status != 200 {
            return None;
        }
        let page: Page = json::from_str(std::str::from_utf8(&body).ok()?).ok()?;
        list.extend(page.endpoints.into_iter().map(Endpoint::from));
        match page.next {
            Some(token) => target = format!("/endpoints?PageToken={token}"),
            None => {
                list.sort_by(|one, other| one.id.cmp(&other.id));
                return Some(list);
            }
        }
    }
    None
}

/// Reads the list for as long as the process lives, whenever this member is primary.
pub async fn run(core: Rc<ControlMember>) {
    loop {
        let Some(epoch) = core.serving() else {
            tokio::time::sleep(RETRY_DELAY / 10).await;
            continue;
        };
        let began = clock::micros();
        let list = read_list(&core.node).await;
        if core.serving() != Some(epoch) {
            continue;
        }
        let Some(list) = list else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        publish(&core, list);
        let spent = Duration::from_micros(clock::micros().saturating_sub(began));
        tokio::time::sleep(READ_INTERVAL.saturating_sub(spent)).await;
    }
}

fn publish(core: &ControlMember, list: Vec<Endpoint>) {
    if core.directory.borrow_mut().replace(list) {
        core.changed.notify_waiters();
    }
}
