//! Validates and decodes the head of a submission.

use super::{BODY_MAX, Malformed};
use crate::time;
use actix_http::Method;
use actix_http::header::{self, HeaderMap};
use bytes::Bytes;
use quillmount_core::Submission;
use quillmount_policy::Micros;

/// Maximum length of an id, key or account in bytes; those of the platform are shorter.
const IDENTIFIER_MAX: usize = 256;
/// Maximum `X-Time-Left` of a submission that is not streamed, in microseconds; those of the platform are shorter.
const TIME_LEFT_MAX: Micros = 600_000_000;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Whether `bytes` contains the empty line that ends a head.
pub fn has_complete_head(bytes: &[u8]) -> bool {
    head_length(bytes).is_some()
}

/// The length of a complete head in bytes, including the empty line that ends it.
fn head_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(end + HEAD_END.len())
}

/// Whether a head contains a bare LF, without a CR before it. Some implementations accept it as the end of a line
/// and others do not, so they would disagree on what the headers are.
pub fn has_bare_lf(bytes: &[u8]) -> bool {
    let head = &bytes[..head_length(bytes).unwrap_or(bytes.len())];
    head.iter().enumerate().any(|(index, byte)| *byte == b'\n' && (index == 0 || head[index - 1] != b'\r'))
}

/// Returns the length of the body in bytes; 0 without `Content-Length`.
///
/// # Errors
/// The length is not a number or exceeds [`BODY_MAX`], or `Transfer-Encoding` is present.
pub fn length(headers: &HeaderMap) -> Result<usize, Malformed> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(Malformed::Length);
    }
    let Some(length) = header_text(headers, "content-length") else { return Ok(0) };
    match length.trim().parse::<u64>() {
        Ok(length) if length <= BODY_MAX as u64 => Ok(length as usize),
        Ok(_) => Err(Malformed::TooLarge),
        Err(_) => Err(Malformed::Length),
    }
}

/// The decoded head of a submission.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    id: String,
    class: String,
    key: Option<String>,
    /// The id of the destination.
    dest: u64,
    tenant: Option<String>,
    /// Time until the deadline, in microseconds.
    time_left: Micros,
    /// Length of the body in bytes, from `Content-Length`; 0 for a streamed submission.
    pub length: usize,
}

impl Head {
    /// Decodes the head of a submission that is not streamed.
    ///
    /// # Errors
    /// The path, the method or a header is missing or invalid.
    pub fn decode(method: &Method, path: &str, headers: &HeaderMap) -> Result<Head, Malformed> {
        let length = length(headers)?;
        let head = Head::decode_parts(method, path, headers, length, TIME_LEFT_MAX)?;
        // Without `Content-Length` the body is empty, and the bytes after the head would not belong to it.
        if !headers.contains_key(header::CONTENT_LENGTH) {
            return Err(Malformed::Length);
        }
        Ok(head)
    }

    /// Decodes the head of a streamed submission ([`crate::stream`]): its body is forwarded while it arrives.
    /// `X-Time-Left` may be at most `max_time_left` microseconds. [`crate::stream::framing`] determines where the
    /// body ends.
    ///
    /// # Errors
    /// The path, the method or a header is missing or invalid.
    pub fn decode_stream(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        max_time_left: Micros,
    ) -> Result<Head, Malformed> {
        Head::decode_parts(method, path, headers, 0, max_time_left)
    }

    /// The message's class, the first segment of the request path.
    pub fn class(&self) -> &str {
        &self.class
    }

    fn decode_parts(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        length: usize,
        max_time_left: Micros,
    ) -> Result<Head, Malformed> {
        let class = class_of_path(path).ok_or(Malformed::Path)?.to_string();
        if method != Method::POST {
            return Err(Malformed::Method);
        }
        let id = header_identifier(headers, "x-correlation-id").ok_or(Malformed::Id)?;
        let key = if headers.contains_key("idempotency-key") {
            Some(header_identifier(headers, "idempotency-key").ok_or(Malformed::Key)?)
        } else {
            None
        };
        let time_left = header_text(headers, "x-time-left").and_then(time::parse_with_unit);
        let time_left =
            time_left.filter(|time_left| *time_left <= max_time_left).ok_or(Malformed::TimeLeft)?;
        let dest = parse_dest(addressing(headers)).ok_or(Malformed::Dest)?;
        // A missing or invalid account never matches a tenant in the settings.
        let tenant = header_identifier(headers, "x-account");
        Ok(Head { id, class, key, dest, tenant, time_left, length })
    }

    /// Combines the head with the complete body.
    pub fn with_body(self, body: Bytes) -> Submission {
        let Head { id, class, key, dest, tenant, time_left, .. } = self;
        Submission { id, class, key, dest, tenant, time_left, body }
    }
}

/// The whole value of `X-Addressing`, or an empty string without the header.
pub fn addressing(headers: &HeaderMap) -> &str {
    header_text(headers, "x-addressing").unwrap_or_default()
}

/// The first segment of a path, which names the class. Paths under `/-/` are reserved for the courier itself.
fn class_of_path(path: &str) -> Option<&str> {
    let class = path.strip_prefix('/')?.split('/').next()?;
    (!class.is_empty() && class != "-").then_some(class)
}

fn header_text<'a>(headers: &'a HeaderMap, header: &str) -> Option<&'a str> {
    headers.get(header)?.to_str().ok()
}

/// The value of a header with an id, key or account, if it is valid: 1 to [`IDENTIFIER_MAX`] visible ASCII
/// characters.
fn header_identifier(headers: &HeaderMap, header: &str) -> Option<String> {
    let value = header_text(headers, header)?.trim();
    let is_identifier = !value.is_empty()
        && value.len() <= IDENTIFIER_MAX
        && value.bytes().all(|byte| byte.is_ascii_graphic());
    is_identifier.then(|| value.to_string())
}

/// Parses the destination from a list of pairs such as `zone=z1; dest=7`, separated by commas or semicolons. `None`
/// if `dest` is missing, repeated or not a number.
fn parse_dest(addressing: &str) -> Option<u64> {
    let pairs = addressing.split([',', ';']).filter_map(|pair| pair.trim().split_once('='));
    let mut dests = pairs.filter(|(name, _)| name.trim() == "dest").map(|(_, value)| value.trim());
    let dest = dests.next()?;
    if dests.next().is_some() || !dest.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    dest.parse().ok()
}
