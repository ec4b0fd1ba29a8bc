//! Notices to the platform of how messages ended, for those that were not delivered: one JSON object on each line.

use quillmount_core::{Ending, Notice};
use serde::Serialize;

/// The path to which notices are posted.
pub const PATH: &str = "/v2/finals";

#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    status: &'static str,
    #[serde(rename = "again_ms", skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The body of a request with these notices. Waits are rounded up to whole milliseconds.
pub fn encode(notices: &[Notice]) -> String {
    let mut body = String::new();
    for Notice { id, ending, .. } in notices {
        let line = match ending {
            Ending::Undeliverable => Line { id, status: "undeliverable", retry_after_ms: None },
            Ending::Deferred(0) => Line { id, status: "deferred", retry_after_ms: None },
            Ending::Deferred(after) => {
                Line { id, status: "deferred", retry_after_ms: Some(after.div_ceil(1_000)) }
            }
        };
        // A struct of text and a number always has a JSON form.
        body.push_str(&serde_json::to_string(&line).unwrap_or_default());
        body.push('\n');
    }
    body
}
