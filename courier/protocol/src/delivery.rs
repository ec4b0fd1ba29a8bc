//! Delivery calls: the request that an endpoint is sent, and what its response means for the messages in it.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use httparse::{EMPTY_HEADER, Header, Response, Status};
use quillmount_core::machine::attempt::{Answer, Decode};
use quillmount_core::{CallEnd, DeliveryCall, MessagePayload};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

use super::submission::BODY_MAX;

/// The path of a call with one message.
pub(crate) const PATH: &str = "/events";
/// The path of a call with several messages, for endpoints of the kinds that the settings name.
pub(crate) const BUNDLE_PATH: &str = "/events/bundle";
/// The header in which a response may report the destination's load.
const LOAD_HEADER: &str = "x-backend-load";
/// Bytes of a response's head at most; the platform's have some 200.
const HEAD_MAX: usize = 8 * 1024;
const HEADERS_MAX: usize = 64;
/// Bytes of a response that are read at most.
pub const ANSWER_MAX: usize = HEAD_MAX + BODY_MAX;

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

/// The result of one message of a call with several.
#[derive(Deserialize)]
struct MessageResult {
    id: String,
    state: String,
}

/// The bytes of a call's request. Id, key and body are those of the submission; bodies are in Base64 where there are several.
pub fn encode(call: &DeliveryCall) -> Vec<u8> {
    if !call.bundled.is_empty() {
        let (addr, left) = (call.addr, call.time_left.div_ceil(1_000));
        // Strings alone: nothing in them can fail to be written.
        let body = serde_json::to_vec(&call.payloads().map(BundledMessageJson::new).collect::<Vec<_>>())
            .unwrap_or_default();
        let head = format!(
            "POST {BUNDLE_PATH} HTTP/1.1\r\nHost: {addr}\r\nX-Time-Left: {left}m\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        return [head.as_bytes(), &body].concat();
    }
    let payload = &call.payload;
    let key = payload.key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n"));
    let (id, key, left) = (&payload.id, key.unwrap_or_default(), call.timeout.div_ceil(1_000));
    let (addr, length) = (call.addr, payload.body.len());
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nHost: {addr}\r\nX-Correlation-Id: {id}\r\n{key}X-Time-Left: {left}m\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), &payload.body].concat()
}

/// Reads the response to a call with one message; `ended`: no more of it will come.
///
/// A status line with 200 means that the message is delivered, whatever follows. Any other status counts
/// only if the response is valid to its last byte: a rejection in a damaged response may be the rest of something else,
/// and the call may have run.
pub fn decode(bytes: &[u8], ended: bool) -> Answer {
    decoded(bytes, ended, false)
}

/// Reads the response to a call with several messages; a 200 means nothing before its last byte.
pub fn decode_each(bytes: &[u8], ended: bool) -> Answer {
    decoded(bytes, ended, true)
}

/// The function that reads a call's responses.
pub fn decoder(call: &DeliveryCall) -> Decode {
    if call.bundled.is_empty() { decode } else { decode_each }
}

fn decoded(bytes: &[u8], ended: bool, each: bool) -> Answer {
    past_interim(bytes, |rest, parsed, head| match parsed {
        Ok(Status::Complete(end)) => whole(head, rest, end, ended, each),
        Ok(Status::Partial) if !ended && rest.is_empty() => Answer::Awaited,
        Ok(Status::Partial) if !ended && rest.len() <= HEAD_MAX => Answer::Partial,
        _ => spoilt(rest, 0, each),
    })
}

/// Skips interim (1xx) responses and passes the final one to `read`: its bytes, how far its head
/// could be parsed, and the head.
fn past_interim<T>(bytes: &[u8], read: impl FnOnce(&[u8], httparse::Result<usize>, &Response) -> T) -> T {
    let mut rest = bytes;
    loop {
        let mut headers = [EMPTY_HEADER; HEADERS_MAX];
        let mut head = Response::new(&mut headers);
        match head.parse(rest) {
            // 101 is the last answer in this protocol: what follows it is in another.
            Ok(Status::Complete(end)) if matches!(head.code, Some(100 | 102..=199)) => rest = &rest[end..],
            parsed => return read(rest, parsed, &head),
        }
    }
}

/// The result of each message from the complete response to a call with several, and its `Retry-After` in microseconds
/// (0: none). A message that is missing, is there twice with two results, or has an unknown one may have run.
pub fn each(answer: &[u8], call: &DeliveryCall) -> (Vec<CallEnd>, Micros) {
    let (retry_after, body) = past_interim(answer, |rest, parsed, head| {
        let Ok(Status::Complete(end)) = parsed else { return (0, Vec::new()) };
        let header = |name| Lookup::find(head.headers, name);
        let retry_after = header("retry-after").text().and_then(super::seconds).unwrap_or(0);
        let body = &rest[end..];
        let body = match header("content-length").text().and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => body.get(..length).unwrap_or(body).to_vec(),
            None if header("transfer-encoding").text().is_some() => {
                let mut all = Vec::new();
                // `decode_each` has found it complete before.
                let _ = chunked(body, |part| all.extend_from_slice(part));
                all
            }
            None => body.to_vec(),
        };
        (retry_after, body)
    });
    let results: Vec<MessageResult> = serde_json::from_slice(&body).unwrap_or_default();
    let mut ends: HashMap<&str, CallEnd> = HashMap::new();
    for one in &results {
        let end = match one.state.as_str() {
            "ok" => CallEnd::Delivered,
            "error" => CallEnd::Error,
            "later" => CallEnd::Full(0),
            "gone" => CallEnd::Gone,
            "exhausted" => CallEnd::Exhausted,
            _ => CallEnd::Spoilt(0),
        };
        ends.entry(&one.id)
            .and_modify(|known| {
                if *known != end {
                    *known = CallEnd::Spoilt(0)
                }
            })
            .or_insert(end);
    }
    (
        call.payloads().map(|p| ends.get(p.id.as_str()).copied().unwrap_or(CallEnd::Spoilt(0))).collect(),
        retry_after,
    )
}

/// The destination's load as a complete response reports it, by name; values that are no numbers are left out.
pub fn load(answer: &[u8]) -> Vec<(String, f64)> {
    past_interim(answer, |_, parsed, head| {
        let Ok(Status::Complete(_)) = parsed else { return Vec::new() };
        let report = Lookup::find(head.headers, LOAD_HEADER).text().unwrap_or_default();
        let values = report.split(',').filter_map(|value| {
            let (name, value) = value.split_once('=')?;
            Some((name.trim().to_string(), value.trim().parse().ok()?))
        });
        values.collect()
    })
}

fn whole(head: &Response, bytes: &[u8], end: usize, ended: bool, each: bool) -> Answer {
    let header = |name| Lookup::find(head.headers, name);
    let (code, wait) = (head.code.unwrap_or_default(), header("retry-after"));
    let retry_after = wait.text().and_then(super::seconds).unwrap_or(0);
    let closes = header("connection").text().is_some_and(|v| v.to_ascii_lowercase().contains("close"));
    let body = &bytes[end..];
    let length = match (header("content-length"), header("transfer-encoding")) {
        (Lookup::None, Lookup::None) if closes && ended => Some(body.len()),
        (Lookup::None, Lookup::None) if closes && code != 200 => return Answer::Partial,
        (Lookup::None, Lookup::None) => Some(0),
        (Lookup::One(length), Lookup::None) if length.bytes().all(|b| b.is_ascii_digit()) => {
            length.parse().ok().filter(|length| *length <= BODY_MAX)
        }
        (Lookup::None, Lookup::One(coding)) if coding.eq_ignore_ascii_case("chunked") => {
            match chunked(body, |_| {}) {
                Ok(Some(length)) => Some(length),
                Ok(None) if body.len() <= BODY_MAX => Some(body.len() + 1),
                _ => None,
            }
        }
        _ => None,
    };
    let Some(length) = length else { return spoilt(bytes, retry_after, each) };
    if body.len() < length {
        return if ended { spoilt(bytes, retry_after, each) } else { Answer::Partial };
    }
    // A repetition of the same response takes nothing from the first; other bytes may mean that the
    // length is wrong, and with it the rest.
    let behind = &body[length..];
    if !behind.is_empty() && !bytes[..end + length].starts_with(behind) {
        return spoilt(bytes, retry_after, each);
    }
    let one = |name, value| header(name).text() == Some(value);
    // With neither, a body lasts until the end of its connection, and may come at any moment until then.
    let ends =
        !matches!((header("content-length"), header("transfer-encoding")), (Lookup::None, Lookup::None));
    let end = match code {
        200 if each => CallEnd::Each,
        // Too many, or unreadable: none of them has run.
        400 | 413 if each => CallEnd::NoSlot,
        200 => CallEnd::Delivered,
        429 if retry_after > 0 || wait.text().is_some_and(|v| super::seconds(v).is_some()) => {
            CallEnd::Full(retry_after)
        }
        503 if one("x-over-slots", "1") => CallEnd::NoSlot,
        503 => CallEnd::Full(0),
        504 => CallEnd::Exhausted,
        410 => CallEnd::Gone,
        // Anything else says no more than an error does: it may have run.
        _ => CallEnd::Error,
    };
    Answer::Whole { end, reusable: ends && behind.is_empty() && !closes && head.version == Some(1) }
}

/// What a response that can't be read to its end still means.
fn spoilt(bytes: &[u8], retry_after: Micros, each: bool) -> Answer {
    let ok = [&b"HTTP/1.1 200"[..], b"HTTP/1.0 200"].iter().any(|ok| bytes.starts_with(ok));
    let ok = ok && !each && !bytes.get(12).is_some_and(u8::is_ascii_digit);
    Answer::Whole { end: if ok { CallEnd::Delivered } else { CallEnd::Spoilt(retry_after) }, reusable: false }
}

/// Bytes up to the end of a chunked body, its trailer included, if that has come; `part` is shown what each chunk carries.
fn chunked(bytes: &[u8], mut part: impl FnMut(&[u8])) -> Result<Option<usize>, httparse::InvalidChunkSize> {
    let mut at = 0;
    loop {
        let Status::Complete((head, size)) = httparse::parse_chunk_size(&bytes[at..])? else {
            return Ok(None);
        };
        if size == 0 {
            // Fields may stand behind the last chunk, and an empty line does behind them.
            let mut trailer = [EMPTY_HEADER; HEADERS_MAX];
            return match httparse::parse_headers(&bytes[at + head..], &mut trailer) {
                Ok(Status::Complete((length, _))) => Ok(Some(at + head + length)),
                Ok(Status::Partial) => Ok(None),
                Err(_) => Err(httparse::InvalidChunkSize),
            };
        }
        // Each chunk has a line end behind it.
        let end = at as u64 + head as u64 + size.min(BODY_MAX as u64 + 1);
        let Some(line_end) = bytes.get(end as usize..end as usize + 2) else { return Ok(None) };
        if line_end != b"\r\n" {
            return Err(httparse::InvalidChunkSize);
        }
        part(&bytes[at + head..end as usize]);
        at = end as usize + 2;
    }
}

/// A header that may stand once.
enum Lookup<'a> {
    None,
    One(&'a str),
    Odd,
}

impl<'a> Lookup<'a> {
    fn find(headers: &[Header<'a>], name: &str) -> Self {
        let mut values = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
        match (values.next().map(std::str::from_utf8), values.next()) {
            (None, _) => Lookup::None,
            (Some(Ok(value)), None) if !value.trim().is_empty() => Lookup::One(value.trim()),
            _ => Lookup::Odd,
        }
    }

    fn text(&self) -> Option<&'a str> {
        match self {
            Lookup::One(value) => Some(value),
            _ => None,
        }
    }
}
