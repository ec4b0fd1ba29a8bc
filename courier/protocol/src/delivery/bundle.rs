//! Extracts the result of each message of a bundle from the response to its call.

use super::chunked::scan_chunks;
use super::response_head::{FinalResponse, HeadState, with_final_response};
use quillmount_core::{CallEnd, DeliveryCall};
use quillmount_policy::Micros;
use serde::Deserialize;
use std::collections::HashMap;

/// The results of a call with several messages, one for each message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleResults {
    /// How the call ended for each of its messages, in the order of the request.
    pub ends: Vec<CallEnd>,
    /// The delay in `Retry-After`, in microseconds; 0 if the header is missing or invalid.
    pub retry_after: Micros,
}

/// The JSON form of one message's result.
#[derive(Deserialize)]
struct MessageResult {
    id: String,
    state: String,
}

impl MessageResult {
    fn end(&self) -> CallEnd {
        match self.state.as_str() {
            "ok" => CallEnd::Delivered,
            "error" => CallEnd::Error,
            "later" => CallEnd::Full(0),
            "gone" => CallEnd::Gone,
            "exhausted" => CallEnd::Exhausted,
            _ => MAY_HAVE_RUN,
        }
    }
}

/// The result of a message for which the response has no unambiguous result: the endpoint may have processed it.
const MAY_HAVE_RUN: CallEnd = CallEnd::Spoilt(0);

/// Extracts the result of each message from a complete response ([`super::decode_bundle`] decides when it is
/// complete) to a call with several. A message that is missing, has two different results, or has an unknown result
/// may have run.
pub fn bundle_results(answer: &[u8], call: &DeliveryCall) -> BundleResults {
    let (retry_after, body) = with_final_response(answer, |response| match response.head {
        HeadState::Complete(length) => {
            (response.retry_after().unwrap_or(0), content(&response, &response.bytes[length..]))
        }
        HeadState::Partial | HeadState::Invalid => (0, Vec::new()),
    });
    let results: Vec<MessageResult> = serde_json::from_slice(&body).unwrap_or_default();
    let end_by_id = end_by_id(&results);
    let end = |id: &str| end_by_id.get(id).copied().unwrap_or(MAY_HAVE_RUN);
    BundleResults { ends: call.payloads().map(|payload| end(&payload.id)).collect(), retry_after }
}

fn end_by_id(results: &[MessageResult]) -> HashMap<&str, CallEnd> {
    let mut ends: HashMap<&str, CallEnd> = HashMap::new();
    for result in results {
        let end = result.end();
        let recorded = ends.entry(&result.id).or_insert(end);
        if *recorded != end {
            *recorded = MAY_HAVE_RUN;
        }
    }
    ends
}

/// Returns the content of a response body without its chunk framing.
fn content(response: &FinalResponse, body: &[u8]) -> Vec<u8> {
    let length = response.header("content-length").text().and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        return body.get(..length).unwrap_or(body).to_vec();
    }
    if response.header("transfer-encoding").text().is_none() {
        return body.to_vec();
    }
    let mut content = Vec::new();
    // The response was decoded before, so its chunks are valid. If one is not, the content before it is truncated
    // JSON, which the caller rejects.
    let _ = scan_chunks(body, |chunk| content.extend_from_slice(chunk));
    content
}
