//! What the response to a delivery call means: whether it is complete, how the call ended, and whether the connection can carry
//! another one.

use super::HEAD_MAX;
use super::chunked::scan_chunks;
use super::response_head::{FinalResponse, HeadState, SingleHeader, with_final_response};
use crate::submission::BODY_MAX;
use quillmount_core::machine::attempt::{Answer, Decode};
use quillmount_core::{CallEnd, DeliveryCall};
use quillmount_policy::Micros;

/// The header in which a response may report the destination's load.
const LOAD_HEADER: &str = "x-backend-load";

/// How many messages a call carries, on which the meaning of its response depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    /// One.
    Single,
    /// Several.
    Bundle,
}

/// Reads the response to a call with one message; `ended`: no more of it will be received.
///
/// A status line with 200 means that the message is delivered, whatever follows. Any other status counts
/// only if the response is valid to its last byte: a rejection in a damaged response may be the rest of something else,
/// and the call may have run.
pub fn decode(bytes: &[u8], ended: bool) -> Answer {
    decode_response(bytes, ended, CallKind::Single)
}

/// Reads the response to a call with several messages; a 200 means nothing before its last byte.
pub fn decode_bundle(bytes: &[u8], ended: bool) -> Answer {
    decode_response(bytes, ended, CallKind::Bundle)
}

/// The function that reads a call's responses.
pub fn decoder(call: &DeliveryCall) -> Decode {
    if call.bundled.is_empty() { decode } else { decode_bundle }
}

/// The destination's load as a complete response reports it, by name; values that are not numbers are left out.
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
        HeadState::Partial | HeadState::Invalid => damaged(response.bytes, 0, kind),
    })
}

/// Reads a response from the end of its head on.
fn decode_body(response: &FinalResponse, head_length: usize, ended: bool, kind: CallKind) -> Answer {
    let damaged = || damaged(response.bytes, response.retry_after().unwrap_or(0), kind);
    let body = &response.bytes[head_length..];
    let length = match body_end(response, body, ended) {
        BodyEnd::At(length) => length,
        BodyEnd::Awaited if ended => return damaged(),
        BodyEnd::Awaited => return Answer::Partial,
        BodyEnd::Unknown => return damaged(),
    };
    // A repetition of the same response does not affect the first; other bytes may mean that the length is wrong, and with it
    // the rest.
    let surplus = &body[length..];
    if !surplus.is_empty() && !response.bytes[..head_length + length].starts_with(surplus) {
        return damaged();
    }
    let reusable = surplus.is_empty()
        && has_framing(response)
        && !response.closes_connection()
        && response.minor_version == Some(1);
    Answer::Whole { end: call_end(response, kind), reusable }
}

/// Where the body of a response ends.
enum BodyEnd {
    /// After so many bytes, which have all been received.
    At(usize),
    /// In bytes that are still to come.
    Awaited,
    /// The headers or the chunks leave it open.
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

/// Without length and coding, a body ends with its connection (RFC 9112, section 6.3). Where the endpoint does not announce that
/// it closes the connection, and where the status says all, nothing is awaited.
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

/// Whether headers say where the body ends. Otherwise it lasts until the end of its connection, and more of it may come at any
/// moment until then.
fn has_framing(response: &FinalResponse) -> bool {
    response.header("content-length") != SingleHeader::Absent
        || response.header("transfer-encoding") != SingleHeader::Absent
}

/// How a call ended, by a complete response.
fn call_end(response: &FinalResponse, kind: CallKind) -> CallEnd {
    match (response.code, kind) {
        (200, CallKind::Single) => CallEnd::Delivered,
        (200, CallKind::Bundle) => CallEnd::Each,
        // Too many messages, or unreadable ones: none of them has run.
        (400 | 413, CallKind::Bundle) => CallEnd::NoSlot,
        (429, _) => response.retry_after().map_or(CallEnd::Error, CallEnd::Full),
        (503, _) if response.header("x-over-slots").text() == Some("1") => CallEnd::NoSlot,
        (503, _) => CallEnd::Full(0),
        (504, _) => CallEnd::Exhausted,
        (410, _) => CallEnd::Gone,
        // Anything else says no more than an error does: it may have run.
        _ => CallEnd::Error,
    }
}

/// What a response that can't be read to its end still means: a message on its own is delivered if the status line says so.
fn damaged(bytes: &[u8], retry_after: Micros, kind: CallKind) -> Answer {
    let has_status_200 = [&b"HTTP/1.1 200"[..], b"HTTP/1.0 200"].iter().any(|line| {
        // A further digit makes another number of it.
        bytes.strip_prefix(*line).is_some_and(|rest| !rest.first().is_some_and(u8::is_ascii_digit))
    });
    let is_delivered = has_status_200 && kind == CallKind::Single;
    let end = if is_delivered { CallEnd::Delivered } else { CallEnd::Spoilt(retry_after) };
    Answer::Whole { end, reusable: false }
}
