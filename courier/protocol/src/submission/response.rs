//! Encodes the responses to submissions, and the other responses of the client-facing server.

use super::Malformed;
use crate::time::MICROS_PER_MILLI;
use actix_http::header::{self, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use quillmount_core::router::Intake;
use quillmount_policy::Micros;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Returns the response to a submission, by the decision of the router.
pub fn answer(intake: Intake) -> Response<Bytes> {
    let (status, text) = match intake {
        Intake::Accepted => (StatusCode::ACCEPTED, "taken on\n"),
        Intake::Delivered => (StatusCode::OK, "delivered\n"),
        Intake::Rejected { .. } => (StatusCode::SERVICE_UNAVAILABLE, "come again\n"),
        Intake::Failed => (StatusCode::CONFLICT, "ended, perhaps with an effect\n"),
        Intake::Open => (StatusCode::CONFLICT, "an invocation with this id is open\n"),
        Intake::UnknownClass => (StatusCode::NOT_FOUND, "no such class\n"),
        Intake::UnknownDest => (StatusCode::NOT_FOUND, "no such destination\n"),
    };
    let mut response = plain(status, text);
    if let Intake::Rejected { after } = intake {
        set_retry_after(&mut response, after);
    }
    response
}

/// Returns a response with this status and plain text. `after`, in microseconds, is sent as `Retry-After`.
pub fn answer_with(status: StatusCode, text: &str, after: Option<Micros>) -> Response<Bytes> {
    let mut response = plain(status, text);
    if let Some(after) = after {
        set_retry_after(&mut response, after);
    }
    response
}

/// Sets `Retry-After` in decimal seconds. `after`, in microseconds, is rounded up to whole milliseconds.
pub(crate) fn set_retry_after(response: &mut Response<Bytes>, after: Micros) {
    let seconds = after.div_ceil(MICROS_PER_MILLI) as f64 / MILLIS_PER_SECOND;
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Returns the response to a malformed request: its status code, and the reason as plain text.
pub fn refuse(malformed: Malformed) -> Response<Bytes> {
    plain(malformed.status(), &format!("{malformed}\n"))
}

/// Returns a response with this status and a body of type `text/plain`.
pub fn plain(status: StatusCode, text: &str) -> Response<Bytes> {
    let mut response = Response::with_body(status, Bytes::copy_from_slice(text.as_bytes()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
