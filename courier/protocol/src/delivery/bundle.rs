//! The results of the messages of a bundle, from the response to their call.

use super::chunked::scan_chunks;
use super::response_head::{FinalResponse, HeadState, with_final_response};
use quillmount_core::{CallEnd, DeliveryCall};
use quillmount_policy::Micros;
use serde::Deserialize;
use std::collections::HashMap;

/// The results of a call with several messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleResults {
    /// How the call ended for each of its messages, in their order.
    pub ends: Vec<CallEnd>,
    /// The wait that the endpoint asks for in `Retry-After`, microseconds; 0: none.
    pub retry_after: Micros,
}

/// The result of one message.
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

/// The result of a message of which the response says nothing certain.
const MAY_HAVE_RUN: CallEnd = CallEnd::Spoilt(0);

/// The result of each message from the complete response to a call with several ([`super::decode_bundle`] has found it
/// complete). A message that is missing, is there twice with two results, or has an unknown one may have run.
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
        let known = ends.entry(&result.id).or_insert(end);
        if *known != end {
            *known = MAY_HAVE_RUN;
        }
    }
    ends
}

/// The content of a response, without its framing.
fn content(response: &FinalResponse, body: &[u8]) -> Vec<u8> {
    let length = response.header("content-length").text().and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        return body.get(..length).unwrap_or(body).to_vec();
    }
    if response.header("transfer-encoding").text().is_none() {
        return body.to_vec();
    }
    let mut content = Vec::new();
    // Chunks that are invalid were found so before; what stands before them is no JSON then.
    let _ = scan_chunks(body, |chunk| content.extend_from_slice(chunk));
    content
}
