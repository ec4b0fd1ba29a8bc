//! The request of a delivery call.

use super::{BUNDLE_PATH, PATH};
use crate::time::MICROS_PER_MILLI;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use quillmount_core::{DeliveryCall, MessagePayload};
use serde::Serialize;

/// A message of a call with several.
#[derive(Serialize)]
struct BundledMessageJson<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    /// In Base64.
    body: String,
}

impl<'a> BundledMessageJson<'a> {
    fn new(payload: &'a MessagePayload) -> Self {
        BundledMessageJson {
            id: &payload.id,
            key: payload.key.as_deref(),
            body: STANDARD.encode(&payload.body),
        }
    }
}

/// The bytes of a call's request. Id, key and body are those of the submission; bodies are in Base64 where there are several.
pub fn encode(call: &DeliveryCall) -> Vec<u8> {
    if call.bundled.is_empty() { encode_single(call) } else { encode_bundle(call) }
}

fn encode_single(call: &DeliveryCall) -> Vec<u8> {
    let addr = call.addr;
    let MessagePayload { id, key, body, .. } = &*call.payload;
    let key_line = key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    let time_left = call.timeout.div_ceil(MICROS_PER_MILLI);
    let length = body.len();
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nHost: {addr}\r\nX-Correlation-Id: {id}\r\n{key_line}X-Time-Left: {time_left}m\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn encode_bundle(call: &DeliveryCall) -> Vec<u8> {
    let addr = call.addr;
    let messages: Vec<BundledMessageJson> = call.payloads().map(BundledMessageJson::new).collect();
    // Strings alone: nothing in them can fail to be written.
    let body = serde_json::to_vec(&messages).unwrap_or_default();
    let time_left = call.time_left.div_ceil(MICROS_PER_MILLI);
    let length = body.len();
    let head = format!(
        "POST {BUNDLE_PATH} HTTP/1.1\r\nHost: {addr}\r\nX-Time-Left: {time_left}m\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), &body].concat()
}
