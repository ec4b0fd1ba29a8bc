//! Encodes the request to an endpoint: the head of a call with a streamed body, and the framing of the body.

use crate::delivery::PATH;
use crate::time::MICROS_PER_MILLI;
use bytes::Bytes;
use quillmount_core::{DeliveryCall, MessagePayload, StreamHead};

/// Encodes the head of a call with a streamed body. The body follows with `Content-Length` if `head` has a length,
/// and in chunks otherwise. `Expect: 100-continue` lets the endpoint reject the call before any byte of the body is
/// sent.
pub fn encode_head(call: &DeliveryCall, head: &StreamHead) -> String {
    let MessagePayload { id, key, .. } = &*call.payload;
    let key_line = key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    let digest = head.digest.as_ref();
    let digest_line = digest.map(|digest| format!("Content-Digest: {digest}\r\n")).unwrap_or_default();
    let framing = match head.length {
        Some(length) => format!("Content-Length: {length}"),
        None => "Transfer-Encoding: chunked".to_string(),
    };
    let addr = call.addr;
    let time_left = call.timeout.div_ceil(MICROS_PER_MILLI);
    format!(
        "POST {PATH} HTTP/1.1\r\nHost: {addr}\r\nX-Correlation-Id: {id}\r\n{key_line}X-Time-Left: {time_left}m\r\n\
         {digest_line}Expect: 100-continue\r\n{framing}\r\n\r\n"
    )
}

/// The size line of a chunk of `bytes` bytes.
pub fn chunk_line(bytes: u64) -> Bytes {
    Bytes::from(format!("{bytes:x}\r\n"))
}

/// The line end after a chunk's content.
pub const CHUNK_END: Bytes = Bytes::from_static(b"\r\n");
/// The last chunk, of size zero, with the empty line that ends the body.
pub const LAST_CHUNK: Bytes = Bytes::from_static(b"0\r\n\r\n");
