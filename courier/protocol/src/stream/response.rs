//! Encodes the final response to a streamed submission.

use crate::submission::{plain, set_retry_after};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use quillmount_core::flow::Cut;
use quillmount_core::router::StreamEnd;

/// Returns the final response to a streamed submission. It closes the connection, because unread bytes of the body
/// may still arrive on it.
pub fn answer(end: StreamEnd) -> Response<Bytes> {
    let (status, text) = match end {
        StreamEnd::Delivered => (StatusCode::OK, "delivered\n"),
        StreamEnd::Deferred(_) => (StatusCode::SERVICE_UNAVAILABLE, "come again\n"),
        StreamEnd::Failed => (StatusCode::BAD_GATEWAY, "ended, perhaps with an effect\n"),
        StreamEnd::Cut(Cut::Gone) => (StatusCode::BAD_REQUEST, "the body ended before its end\n"),
        StreamEnd::Cut(Cut::Malformed) => (StatusCode::BAD_REQUEST, "no body as RFC 9112 has it\n"),
        StreamEnd::Cut(Cut::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, "the body is over its limit\n"),
        StreamEnd::Cut(Cut::Digest) => (StatusCode::BAD_REQUEST, "the body has another digest\n"),
        StreamEnd::Cut(Cut::Late(_)) => (StatusCode::REQUEST_TIMEOUT, "the body comes too slowly\n"),
    };
    let mut response = plain(status, text);
    if let StreamEnd::Deferred(after) = end {
        set_retry_after(&mut response, after);
    }
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}
