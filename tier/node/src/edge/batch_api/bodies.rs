//! The JSON bodies of the batch interface.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use miniserde::{Deserialize, Serialize, json};
use quillmount_wire::messages::{Item, ItemOutcome, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of items of one job.
const ITEM_LIMIT: usize = 200;

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
    /// Base64.
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

/// Parses the items of a submitted job; `None` if the body is malformed, has too many items, or repeats an id.
pub(super) fn parse_submission(body: &[u8]) -> Option<Vec<Item>> {
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

/// Encodes results. `total` counts all items of the job, `start_after` the results before the first of `results`.
pub(super) fn encode_results(start_after: u64, total: u64, results: Vec<ItemOutcome>) -> String {
    let next = start_after + results.len() as u64;
    let outputs = results
        .into_iter()
        .map(|ItemOutcome { id, phase, text }| ResultBody { id, phase: phase_name(phase).to_owned(), text })
        .collect();
    json::to_string(&ResultsBody { total, next, outputs })
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Done => "done",
        Phase::DeadLetter => "dead_letter",
    }
}
