//! The head of a submission: its form, and its headers.

use super::{BODY_MAX, Malformed};
use crate::time;
use actix_http::Method;
use actix_http::header::{self, HeaderMap};
use bytes::Bytes;
use quillmount_core::Submission;
use quillmount_policy::Micros;

/// Bytes of an id, key or account at most; the platform's are shorter.
const NAME_MAX: usize = 256;
/// The longest time left of a submission with a small body; the platform's are shorter.
const TIME_LEFT_MAX: Micros = 600_000_000;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Whether the empty line that ends a head has been received.
pub fn has_complete_head(bytes: &[u8]) -> bool {
    head_length(bytes).is_some()
}

/// The length of a complete head in bytes, the empty line included.
fn head_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(end + HEAD_END.len())
}

/// Whether there is a bare LF in a head: some readers take it for the end of a line and others do not, so that they would
/// not agree on what the headers are.
pub fn has_bare_line_end(bytes: &[u8]) -> bool {
    let head = &bytes[..head_length(bytes).unwrap_or(bytes.len())];
    head.iter().enumerate().any(|(index, byte)| *byte == b'\n' && (index == 0 || head[index - 1] != b'\r'))
}

/// The length of the body in bytes; 0 without `Content-Length`.
///
/// # Errors
/// The length is not a number or over [`BODY_MAX`], or there is a `Transfer-Encoding`.
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

/// The head of a submission; its body follows.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    id: String,
    class: String,
    /// The idempotency key.
    key: Option<String>,
    /// The destination.
    dest: u64,
    tenant: Option<String>,
    /// Time until the deadline, microseconds.
    time_left: Micros,
    /// Bytes of the body; 0 for a stream.
    pub length: usize,
}

impl Head {
    /// Decodes the head of a submission with a small body.
    ///
    /// # Errors
    /// It is not the head of one.
    pub fn decode(method: &Method, path: &str, headers: &HeaderMap) -> Result<Head, Malformed> {
        let length = length(headers)?;
        let head = Head::decode_parts(method, path, headers, length, TIME_LEFT_MAX)?;
        // Without a length the body is empty, and what follows is no part of it.
        if !headers.contains_key(header::CONTENT_LENGTH) {
            return Err(Malformed::Length);
        }
        Ok(head)
    }

    /// Decodes the head of a submission whose body is forwarded while it arrives ([`crate::stream`]), and whose time left is
    /// `longest` microseconds at most. [`crate::stream::framing`] reads where the body ends.
    ///
    /// # Errors
    /// It is not the head of one.
    pub fn decode_stream(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        longest: Micros,
    ) -> Result<Head, Malformed> {
        Head::decode_parts(method, path, headers, 0, longest)
    }

    /// The message's class, the first part of the path.
    pub fn class(&self) -> &str {
        &self.class
    }

    fn decode_parts(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        length: usize,
        longest: Micros,
    ) -> Result<Head, Malformed> {
        let class = class_of_path(path).ok_or(Malformed::Path)?.to_string();
        if method != Method::POST {
            return Err(Malformed::Method);
        }
        let id = header_name(headers, "x-correlation-id").ok_or(Malformed::Id)?;
        let key = if headers.contains_key("idempotency-key") {
            Some(header_name(headers, "idempotency-key").ok_or(Malformed::Key)?)
        } else {
            None
        };
        let time_left = header_text(headers, "x-time-left").and_then(time::parse_with_unit);
        let time_left = time_left.filter(|time_left| *time_left <= longest).ok_or(Malformed::TimeLeft)?;
        let dest = parse_dest(addressing(headers)).ok_or(Malformed::Dest)?;
        // A missing or invalid account is no tenant that the settings know.
        let tenant = header_name(headers, "x-account");
        Ok(Head { id, class, key, dest, tenant, time_left, length })
    }

    /// The submission with its complete body.
    pub fn with_body(self, body: Bytes) -> Submission {
        let Head { id, class, key, dest, tenant, time_left, .. } = self;
        Submission { id, class, key, dest, tenant, time_left, body }
    }
}

/// The complete value of `X-Addressing`; empty if there is none.
pub fn addressing(headers: &HeaderMap) -> &str {
    header_text(headers, "x-addressing").unwrap_or_default()
}

/// The first part of a path. `/-/` has the paths of the courier itself.
fn class_of_path(path: &str) -> Option<&str> {
    let class = path.strip_prefix('/')?.split('/').next()?;
    (!class.is_empty() && class != "-").then_some(class)
}

fn header_text<'a>(headers: &'a HeaderMap, header: &str) -> Option<&'a str> {
    headers.get(header)?.to_str().ok()
}

/// An id, key or account.
fn header_name(headers: &HeaderMap, header: &str) -> Option<String> {
    let value = header_text(headers, header)?.trim();
    let is_name =
        !value.is_empty() && value.len() <= NAME_MAX && value.bytes().all(|byte| byte.is_ascii_graphic());
    is_name.then(|| value.to_string())
}

/// `dest=7`, perhaps among other pairs between commas or semicolons; none if it occurs more than once.
fn parse_dest(addressing: &str) -> Option<u64> {
    let pairs = addressing.split([',', ';']).filter_map(|pair| pair.trim().split_once('='));
    let mut dests = pairs.filter(|(name, _)| name.trim() == "dest").map(|(_, value)| value.trim());
    let dest = dests.next()?;
    if dests.next().is_some() || !dest.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    dest.parse().ok()
}
