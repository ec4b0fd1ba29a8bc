//! The JSON bodies of the batch interface.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use miniserde::{Deserialize, Serialize, json};
use quillmount_dataplane::head::{is_header_name, is_header_value, is_request_target};
use quillmount_wire::messages::{Item, ItemOutcome, Phase};
use quillmount_wire::ranges::{ITEM_TOKENS, OutOfRange};
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

/// Why the body of a submission is no batch job. The texts are answers to clients.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SubmissionError {
    /// The body is not JSON with a list of requests, or a field of one is missing or of another type.
    #[error("the body is no batch job")]
    Unreadable,
    /// There are too many items.
    #[error("Requests: {0} items, {ITEM_LIMIT} at most")]
    TooManyItems(usize),
    /// Two items have the same id.
    #[error("Requests[{0}].Id is there twice")]
    DuplicateId(String),
    /// The path of an item can't be the target of a request.
    #[error("Requests[{0}].Path is no path: a slash and visible ASCII characters")]
    Path(String),
    /// The id of an item can't be the value of a header.
    #[error("Requests[{0}].Id is empty or has control characters")]
    Id(String),
    /// An item has a header whose name or value can't be sent.
    #[error("Requests[{item}].Headers[{name}] has characters that a header can't have")]
    Header {
        /// Id of the item.
        item: String,
        /// Name of the header.
        name: String,
    },
    /// The body of an item is not base64.
    #[error("Requests[{0}].Body is not base64")]
    BodyEncoding(String),
    /// The tokens of an item are no possible number.
    #[error(transparent)]
    Tokens(#[from] OutOfRange),
}

/// Parses the items of a submitted job.
///
/// # Errors
/// [`SubmissionError`], by the first fault.
pub(super) fn parse_submission(body: &[u8]) -> Result<Vec<Item>, SubmissionError> {
    let text = std::str::from_utf8(body).map_err(|_| SubmissionError::Unreadable)?;
    let submission: SubmissionBody = json::from_str(text).map_err(|_| SubmissionError::Unreadable)?;
    if submission.requests.len() > ITEM_LIMIT {
        return Err(SubmissionError::TooManyItems(submission.requests.len()));
    }
    let mut ids = BTreeSet::new();
    let item = |item: SubmittedItem| {
        if !ids.insert(item.id.clone()) {
            return Err(SubmissionError::DuplicateId(item.id));
        }
        parse_item(item)
    };
    submission.requests.into_iter().map(item).collect()
}

fn parse_item(item: SubmittedItem) -> Result<Item, SubmissionError> {
    let tokens = item.tokens.unwrap_or(0.0);
    ITEM_TOKENS.check(&format!("Requests[{}].Tokens", item.id), tokens)?;
    let Ok(body) = STANDARD.decode(item.body.unwrap_or_default()) else {
        return Err(SubmissionError::BodyEncoding(item.id));
    };
    if item.id.is_empty() || !is_header_value(&item.id) {
        return Err(SubmissionError::Id(item.id));
    }
    if !is_request_target(&item.path) {
        return Err(SubmissionError::Path(item.id));
    }
    let headers: Vec<(String, String)> = item.headers.into_iter().flatten().collect();
    let is_invalid = |(name, value): &&(String, String)| !is_header_name(name) || !is_header_value(value);
    if let Some((name, _)) = headers.iter().find(is_invalid) {
        return Err(SubmissionError::Header { item: item.id, name: name.clone() });
    }
    Ok(Item { id: item.id, path: item.path, headers, body, tokens: tokens as u64 })
}

/// Encodes results. `total` counts all items of the job, `start_after` the results before the first of `results`.
pub(super) fn encode_results(start_after: u64, total: u64, results: Vec<ItemOutcome>) -> String {
    let next = start_after.saturating_add(results.len() as u64);
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
