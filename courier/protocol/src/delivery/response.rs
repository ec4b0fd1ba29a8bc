//! Decodes the response to a delivery call: whether it is complete, how the call ended, and whether the connection
//! can be reused.

use super::HEAD_MAX;
use super::chunked::scan_chunks;
use super::response_head::{FinalResponse, HeadState, SingleHeader, with_final_response};
use crate::submission::BODY_MAX;
use quillmount_core::machine::attempt::{Answer, Decode};
use quillmount_core::{CallEnd, DeliveryCall};
use quillmount_policy::Micros;

/// The optional response header that reports the destination's load.
const LOAD_HEADER: &str = "x-backend-load";

/// Whether a call carries one message or several; the meaning of the status code depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    /// One message.
    Single,
    /// Several messages.
    Bundle,
}

/// Decodes the response to a call with one message; `ended` means that the endpoint sends no more bytes.
///
/// A status line with 200 means that the message is delivered, whatever follows. Any other status counts only if
/// the response is valid up to its last byte: a rejection in a malformed response may be left over from another
/// response, and the endpoint may have processed the call.
pub fn decode(bytes: &[u8], ended: bool) -> Answer {
    decode_response(bytes, ended, CallKind::Single)
}

/// Decodes the response to a call with several messages. A 200 counts only once its last byte has been received, as
/// the body carries the result of each message.
pub fn decode_bundle(bytes: &[u8], ended: bool) -> Answer {
    decode_response(bytes, ended, CallKind::Bundle)
}

/// Returns the function that decodes the response to `call`.
pub fn decoder(call: &DeliveryCall) -> Decode {
    if call.bundled.is_empty() { decode } else { decode_bundle }
}

/// Parses the load that the destination reports in a complete response, as pairs of metric name and value. Values
/// that are not numbers are omitted.
pub fn load_report(answer: &[u8]) -> Vec<(String, f64)> {
    with_final_response(answer, |response| {
        if !matches!(response.head, HeadState::Complete(_)) {
            return Vec::new();
        }
        let report = response.header(LOAD_HEADER).text().unwrap_or_default();
        report.split(',').filter_map(parse_load_value).collect()
    })
}

fn parse_load_value(text: &str) -> Option<(String, f64)> {
    let (name, value) = text.split_once('=')?;
    Some((name.trim().to_string(), value.trim().parse().ok()?))
}

fn decode_response(bytes: &[u8], ended: bool, kind: CallKind) -> Answer {
    with_final_response(bytes, |response| match response.head {
        HeadState::Complete(length) => decode_body(&response, length, ended, kind),
        HeadState::Partial if !ended && response.bytes.is_empty() => Answer::Awaited,
        HeadState::Partial if !ended && response.bytes.len() <= HEAD_MAX => Answer::Partial,
        HeadState::Partial | HeadState::Invalid => malformed(response.bytes, 0, kind),
    })
}

/// Decodes the body of a response whose head is complete, and with it the end of the call.
fn decode_body(response: &FinalResponse, head_length: usize, ended: bool, kind: CallKind) -> Answer {
    let malformed = || malformed(response.bytes, response.retry_after().unwrap_or(0), kind);
    let body = &response.bytes[head_length..];
    let length = match body_end(response, body, ended) {
        BodyEnd::At(length) => length,
        BodyEnd::Awaited if ended => return malformed(),
        BodyEnd::Awaited => return Answer::Partial,
        BodyEnd::Unknown => return malformed(),
    };
    // A duplicate of the same response does not change the meaning of the first one. Any other trailing bytes may
    // mean that the length is wrong, and then the status cannot be trusted either.
    let trailing_bytes = &body[length..];
    if !trailing_bytes.is_empty() && !response.bytes[..head_length + length].starts_with(trailing_bytes) {
        return malformed();
    }
    let reusable = trailing_bytes.is_empty()
        && has_framing(response)
        && !response.closes_connection()
        && response.minor_version == Some(1);
    Answer::Whole { end: call_end(response, kind), reusable }
}

/// Where the body of a response ends.
enum BodyEnd {
    /// After this many bytes, all of which have been received.
    At(usize),
    /// At a position that has not been received.
    Awaited,
    /// The headers or the chunks are invalid, so the end cannot be determined.
    Unknown,
}

fn body_end(response: &FinalResponse, body: &[u8], ended: bool) -> BodyEnd {
    match (response.header("content-length"), response.header("transfer-encoding")) {
        (SingleHeader::Absent, SingleHeader::Absent) => unframed_body_end(response, body, ended),
        (SingleHeader::One(length), SingleHeader::Absent) => match parse_length(length) {
            Some(length) if length <= body.len() => BodyEnd::At(length),
            Some(_) => BodyEnd::Awaited,
            None => BodyEnd::Unknown,
        },
        (SingleHeader::Absent, SingleHeader::One(coding)) if coding.eq_ignore_ascii_case("chunked") => {
            match scan_chunks(body, |_| {}) {
                Ok(Some(length)) => BodyEnd::At(length),
                Ok(None) if body.len() <= BODY_MAX => BodyEnd::Awaited,
                Ok(None) | Err(_) => BodyEnd::Unknown,
            }
        }
        _ => BodyEnd::Unknown,
    }
}

/// Determines the end of a body that has neither a length nor a transfer coding: it lasts until the connection
/// closes (RFC 9112, section 6.3). The decoder does not wait for that if the endpoint does not announce
/// `Connection: close`, or if the status is 200.
fn unframed_body_end(response: &FinalResponse, body: &[u8], ended: bool) -> BodyEnd {
    match response.closes_connection() {
        true if ended => BodyEnd::At(body.len()),
        true if response.code != 200 => BodyEnd::Awaited,
        _ => BodyEnd::At(0),
    }
}

fn parse_length(text: &str) -> Option<usize> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { text.parse().ok().filter(|length| *length <= BODY_MAX) } else { None }
}

/// Whether a header delimits the body. Otherwise the body lasts until the connection closes, and more of it may
/// arrive at any time, so the connection cannot be reused.
fn has_framing(response: &FinalResponse) -> bool {
    response.header("content-length") != SingleHeader::Absent
        || response.header("transfer-encoding") != SingleHeader::Absent
}

/// Maps the status of a complete response to the end of the call.
fn call_end(response: &FinalResponse, kind: CallKind) -> CallEnd {
    match (response.code, kind) {
        (200, CallKind::Single) => CallEnd::Delivered,
        (200, CallKind::Bundle) => CallEnd::Each,
        // The endpoint rejected the bundle as too large or malformed, so none of its messages has run.
        (400 | 413, CallKind::Bundle) => CallEnd::NoSlot,
        (429, _) => response.retry_after().map_or(CallEnd::Error, CallEnd::Full),
        (503, _) if response.header("x-over-slots").text() == Some("1") => CallEnd::NoSlot,
        (503, _) => CallEnd::Full(0),
        (504, _) => CallEnd::Exhausted,
        (410, _) => CallEnd::Gone,
        // Any other status counts as an error, after which the call may have run.
        _ => CallEnd::Error,
    }
}

/// Returns the end of a call whose response is malformed or truncated. A call with one message still counts as
/// delivered if the status line has 200.
fn malformed(bytes: &[u8], retry_after: Micros, kind: CallKind) -> Answer {
    let has_status_200 = [&b"HTTP/1.1 200"[..], b"HTTP/1.0 200"].iter().any(|line| {
        // With a fourth digit the status is another number.
        bytes.strip_prefix(*line).is_some_and(|rest| !rest.first().is_some_and(u8::is_ascii_digit))
    });
    let is_delivered = has_status_200 && kind == CallKind::Single;
    let end = if is_delivered { CallEnd::Delivered } else { CallEnd::Spoilt(retry_after) };
    Answer::Whole { end, reusable: false }
}
