//! Submissions: requests by which clients submit messages, and the responses to them.

use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use quillmount_core::Submission;
use quillmount_core::router::Intake;
use quillmount_policy::Micros;

/// The platform's limit on any body.
pub const BODY_MAX: usize = 64 * 1024;
/// An id or key longer than this is not the platform's.
const NAME_MAX: usize = 256;
/// More time than this is not the platform's either.
const TIME_MAX: Micros = 600_000_000;

/// Why a request is no submission. The client gets the text with a 4xx; nothing is journalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The path names no class.
    #[error("no such path")]
    Path,
    /// The method is not POST.
    #[error("invocations are handed in with POST")]
    Method,
    /// The message has no usable id.
    #[error("X-Correlation-Id is missing or malformed")]
    Id,
    /// The idempotency key is empty, too long or not ASCII.
    #[error("Idempotency-Key is malformed")]
    Key,
    /// There is no usable time limit, or it is too long.
    #[error("X-Time-Left wants a number and a unit, m or u")]
    TimeLeft,
    /// There is no usable destination.
    #[error("X-Addressing wants dest=NUMBER")]
    Dest,
    /// The request can't be parsed.
    #[error("no HTTP/1.1 request as RFC 9112 has it")]
    Unreadable,
    /// The head is too long.
    #[error("the head is over 8 KiB")]
    HeadTooLarge,
    /// The length of the body is missing or ambiguous.
    #[error("Content-Length is wanted, once, and no Transfer-Encoding")]
    Length,
    /// The body is longer than [`BODY_MAX`].
    #[error("the body is over 64 KiB")]
    TooLarge,
    /// The body is longer than its class may stream.
    #[error("the body is over the limit of its class")]
    ExceedsClassLimit,
    /// The announced digest can't be parsed.
    #[error("Content-Digest is malformed")]
    Digest,
    /// `Expect` has another value than `100-continue`.
    #[error("Expect knows 100-continue alone")]
    Expect,
    /// The client has sent more before it had its answer.
    #[error("more than one request at a time")]
    Behind,
    /// The request was incomplete when its time was up.
    #[error("the request did not arrive in time")]
    Slow,
}

impl Malformed {
    fn status(self) -> StatusCode {
        match self {
            Malformed::Path => StatusCode::NOT_FOUND,
            Malformed::Method => StatusCode::METHOD_NOT_ALLOWED,
            Malformed::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Malformed::Length => StatusCode::LENGTH_REQUIRED,
            Malformed::TooLarge | Malformed::ExceedsClassLimit => StatusCode::PAYLOAD_TOO_LARGE,
            Malformed::Slow => StatusCode::REQUEST_TIMEOUT,
            Malformed::Expect => StatusCode::EXPECTATION_FAILED,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Whether the connection has to be closed: where the next request begins is unknown or not to be trusted.
    pub fn ends_connection(self) -> bool {
        use Malformed::*;
        matches!(
            self,
            Unreadable
                | HeadTooLarge
                | Length
                | TooLarge
                | ExceedsClassLimit
                | Behind
                | Slow
                | Digest
                | Expect
        )
    }
}

/// Whether the empty line that ends a head has been received.
pub fn is_whole_head(bytes: &[u8]) -> bool {
    head_end(bytes).is_some()
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|four| four == b"\r\n\r\n")
}

/// A bare LF in a head: some readers take it for the end of a line and others do not, so that they would
/// not agree on what the headers are.
pub fn has_bare_line_end(bytes: &[u8]) -> bool {
    let head = &bytes[..head_end(bytes).map_or(bytes.len(), |end| end + 4)];
    head.iter().enumerate().any(|(at, b)| *b == b'\n' && (at == 0 || head[at - 1] != b'\r'))
}

/// The length of the body in bytes; 0 without `Content-Length`.
///
/// # Errors
/// The length is no number or over [`BODY_MAX`], or there is a `Transfer-Encoding`.
pub fn length(headers: &HeaderMap) -> Result<usize, Malformed> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(Malformed::Length);
    }
    let Some(length) = text(headers, "content-length") else { return Ok(0) };
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
    key: Option<String>,
    dest: u64,
    tenant: Option<String>,
    time_left: Micros,
    /// Bytes of the body; 0 for a stream.
    pub length: usize,
}

impl Head {
    /// A submission with a small body.
    ///
    /// # Errors
    /// It is none.
    pub fn decode(method: &Method, path: &str, headers: &HeaderMap) -> Result<Head, Malformed> {
        let length = length(headers)?;
        let head = Head::decode_parts(method, path, headers, length, TIME_MAX)?;
        // Without one the body is empty, and whatever else comes no part of it.
        if !headers.contains_key(header::CONTENT_LENGTH) {
            return Err(Malformed::Length);
        }
        Ok(head)
    }

    /// A submission whose body is passed on as it comes, and may take `longest`; its framing is read apart.
    ///
    /// # Errors
    /// It is none.
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
        let class = path.strip_prefix('/').and_then(|p| p.split('/').next()).filter(|c| !c.is_empty());
        let class = class.filter(|c| *c != "-").ok_or(Malformed::Path)?.to_string();
        if method != Method::POST {
            return Err(Malformed::Method);
        }
        let id = name(headers, "x-correlation-id").ok_or(Malformed::Id)?;
        let key = match headers.contains_key("idempotency-key") {
            true => Some(name(headers, "idempotency-key").ok_or(Malformed::Key)?),
            false => None,
        };
        let time_left = text(headers, "x-time-left").and_then(super::span).filter(|t| *t <= longest);
        let time_left = time_left.ok_or(Malformed::TimeLeft)?;
        let dest = text(headers, "x-addressing").and_then(dest).ok_or(Malformed::Dest)?;
        // Who is not named, or by no name, is nobody that the settings know.
        let tenant = name(headers, "x-account");
        Ok(Head { id, class, key, dest, tenant, time_left, length })
    }

    /// The submission with its complete body.
    pub fn with_body(self, body: Bytes) -> Submission {
        let Head { id, class, key, dest, tenant, time_left, .. } = self;
        Submission { id, class, key, dest, tenant, time_left, body }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn name(headers: &HeaderMap, header: &str) -> Option<String> {
    let value = text(headers, header)?.trim();
    let sound = !value.is_empty() && value.len() <= NAME_MAX && value.bytes().all(|b| b.is_ascii_graphic());
    sound.then(|| value.to_string())
}

/// `dest=7`, perhaps among others divided by commas or semicolons.
fn dest(addressing: &str) -> Option<u64> {
    let parts = addressing.split([',', ';']).filter_map(|part| part.trim().split_once('='));
    let mut dests = parts.filter(|(name, _)| name.trim() == "dest").map(|(_, value)| value.trim());
    let dest = dests.next().filter(|d| d.bytes().all(|b| b.is_ascii_digit()))?.parse().ok();
    dest.filter(|_| dests.next().is_none())
}

/// The response to a submission.
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

/// A response with its own status and text; `after` becomes `Retry-After`.
pub fn answer_with(status: StatusCode, text: &str, after: Option<Micros>) -> Response<Bytes> {
    let mut response = plain(status, text);
    after.into_iter().for_each(|after| set_retry_after(&mut response, after));
    response
}

/// The complete value of `X-Addressing`; empty if there is none.
pub fn addressing(headers: &HeaderMap) -> &str {
    text(headers, "x-addressing").unwrap_or_default()
}

/// Sets `Retry-After`, in seconds rounded up to whole milliseconds.
pub(crate) fn set_retry_after(response: &mut Response<Bytes>, after: Micros) {
    let seconds = after.div_ceil(1_000) as f64 / 1_000.0;
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// The response to a request that is no submission.
pub fn refuse(malformed: Malformed) -> Response<Bytes> {
    plain(malformed.status(), &format!("{malformed}\n"))
}

/// A response with a plain text.
pub fn plain(status: StatusCode, text: &str) -> Response<Bytes> {
    let mut response = Response::with_body(status, Bytes::copy_from_slice(text.as_bytes()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
