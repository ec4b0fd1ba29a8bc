//! Reads the platform's list of endpoints over HTTP, page by page.
//!
//! Normally only the primary of the core reads it and distributes it (`control_member::directory`). A process that has
//! lost the core reads it itself (`subscription::direct_list`).

use crate::http::{self, ClientRequest};
use crate::node::Node;
use miniserde::{Deserialize, json};
use quillmount_wire::messages::Endpoint;
use std::time::Duration;

/// A page that has not come after this long has failed.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Most pages of one reading.
const PAGE_LIMIT: usize = 1000;
/// Phase of an endpoint that takes requests; in any other it is draining.
const PHASE_UP: &str = "up";

/// A page of the platform's list, as JSON.
#[derive(Deserialize)]
struct Page {
    #[serde(rename = "Endpoints")]
    endpoints: Vec<ListedEndpoint>,
    /// Token of the next page; absent on the last one.
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
            draining: listed.phase.as_deref() != Some(PHASE_UP),
            warmup_left_ms: listed.warmup_left_ms.unwrap_or(0.0),
            models: listed.models.into_iter().flatten().map(model).collect(),
        }
    }
}

/// Reads the complete list, sorted by endpoint id. `None` if a page failed, there are too many pages, or the settings
/// name no platform.
pub async fn read(node: &Node) -> Option<Vec<Endpoint>> {
    let platform = &node.settings.cloud_api.as_ref()?.address;
    let mut list = Vec::new();
    let mut target = "/endpoints".to_owned();
    for _ in 0..PAGE_LIMIT {
        let page = read_page(platform, &target).await?;
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

async fn read_page(platform: &str, target: &str) -> Option<Page> {
    let response = http::call(platform, ClientRequest::get(target), PAGE_TIMEOUT).await?;
    if response.status != 200 {
        return None;
    }
    json::from_str(std::str::from_utf8(&response.body).ok()?).ok()
}
