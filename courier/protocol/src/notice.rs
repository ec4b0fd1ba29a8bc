//! Notices that tell the platform the outcome of undelivered messages, as one JSON object per line
//! (`docs/courier.md`). The driver of the connection to the platform posts them.

use crate::time::MICROS_PER_MILLI;
use quillmount_core::{Ending, Notice};
use serde::Serialize;

/// The path on the platform to which the driver posts notices.
pub const PATH: &str = "/v2/finals";

#[derive(Serialize)]
struct NoticeLine<'a> {
    id: &'a str,
    status: &'static str,
    #[serde(rename = "again_ms", skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl<'a> NoticeLine<'a> {
    fn new(notice: &'a Notice) -> Self {
        let (status, retry_after) = match notice.ending {
            Ending::Undeliverable => ("undeliverable", None),
            Ending::Deferred(0) => ("deferred", None),
            Ending::Deferred(after) => ("deferred", Some(after)),
        };
        let retry_after_ms = retry_after.map(|micros| micros.div_ceil(MICROS_PER_MILLI));
        NoticeLine { id: &notice.id, status, retry_after_ms }
    }
}

/// Encodes the body of a request that carries `notices`. Retry delays are rounded up to whole milliseconds.
pub fn encode(notices: &[Notice]) -> String {
    let mut body = String::new();
    for notice in notices {
        // Serializing a struct of strings and a number to JSON cannot fail.
        body.push_str(&serde_json::to_string(&NoticeLine::new(notice)).unwrap_or_default());
        body.push('\n');
    }
    body
}
