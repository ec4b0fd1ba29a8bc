//! Encodes the request of a delivery call.

use super::{BUNDLE_PATH, PATH};
use crate::time::MICROS_PER_MILLI;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use quillmount_core::{DeliveryCall, MessagePayload};
use serde::Serialize;

/// The JSON form of one message in a call with several.
#[derive(Serialize)]
struct BundledMessageJson<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    /// Base64, standard alphabet with padding.
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

/// Encodes the request of a call, head and body. Id, key and body are the ones that the client submitted; a call
/// with several messages carries their bodies in Base64.
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
    // Serializing a list of strings to JSON cannot fail.
    let body = serde_json::to_vec(&messages).unwrap_or_default();
    let time_left = call.time_left.div_ceil(MICROS_PER_MILLI);
    let length = body.len();
    let head = format!(
        "POST {BUNDLE_PATH} HTTP/1.1\r\nHost: {addr}\r\nX-Time-Left: {time_left}m\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), &body].concat()
}
