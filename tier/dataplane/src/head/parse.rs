//! Heads and their parsers, on top of `httparse`.

use super::framing::{AmbiguousFraming, Framing};
use super::headers::Headers;

/// Largest number of headers in one head.
pub const HEADER_LIMIT: usize = 100;
/// Status of a request that reached a server for which it is not meant (RFC 9110, section 15.5.20).
pub const MISDIRECTED_REQUEST: u16 = 421;

/// Why bytes are not a valid head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The syntax is invalid, or a value is not UTF-8.
    #[error("not a head of HTTP/1.1")]
    Malformed,
    /// It has more than [`HEADER_LIMIT`] headers.
    #[error("more than {HEADER_LIMIT} header lines")]
    TooManyHeaders,
    /// Two recipients could understand the length of the body differently (request smuggling; RFC 9112, section 11.2).
    #[error("the length of the body is ambiguous")]
    Ambiguous,
}

impl From<AmbiguousFraming> for HeadError {
    fn from(_: AmbiguousFraming) -> Self {
        HeadError::Ambiguous
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, case-sensitive.
    pub method: String,
    /// Path and query, unaltered.
    pub target: String,
    /// Headers, including those that apply to the connection only.
    pub headers: Headers,
    /// How the length of the body is determined.
    pub framing: Framing,
    /// Whether the client keeps the connection open for another request.
    pub keep_alive: bool,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase, often empty.
    pub reason: String,
    /// Headers, including those that apply to the connection only.
    pub headers: Headers,
    /// How the length of the body is determined.
    pub framing: Framing,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Whether the endpoint promises that the request has not run: it states so in a `Not-Run` header, or it is not the endpoint
    /// that the request names.
    pub fn promises_not_run(&self) -> bool {
        self.status == MISDIRECTED_REQUEST || self.headers.get("Not-Run").is_some()
    }

    /// Whether the body is an event stream ([`crate::events`]).
    pub fn is_event_stream(&self) -> bool {
        self.headers.get("Content-Type").is_some_and(|kind| kind.starts_with("text/event-stream"))
    }
}

/// Parses the head of a request and returns it with its length in bytes; `None` if it is incomplete.
///
/// # Errors
/// The head is malformed or too large, or its framing is ambiguous.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut parsed = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut request = httparse::Request::new(&mut parsed);
    let length = match request.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let headers = copy_headers(request.headers)?;
    let framing = Framing::from_headers(&headers, Framing::Empty)?;
    let http11 = request.version == Some(1);
    let keep_alive = if http11 {
        !headers.has_token("Connection", "close")
    } else {
        headers.has_token("Connection", "keep-alive")
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        headers,
        framing,
        keep_alive,
    };
    Ok(Some((head, length)))
}

/// Parses the head of a response and returns it with its length in bytes; `None` if it is incomplete. `to_head`: it answers a
/// `HEAD` request, so there is no body.
///
/// # Errors
/// The head is malformed or too large, or its framing is ambiguous.
pub fn parse_response(bytes: &[u8], to_head: bool) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut parsed = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut response = httparse::Response::new(&mut parsed);
    let length = match response.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let status = response.code.ok_or(HeadError::Malformed)?;
    let headers = copy_headers(response.headers)?;
    let framing = match status {
        _ if to_head => Framing::Empty,
        100..=199 | 204 | 304 => Framing::Empty,
        _ => Framing::from_headers(&headers, Framing::UntilClose)?,
    };
    let http11 = response.version == Some(1);
    let keep_alive = framing != Framing::UntilClose && http11 && !headers.has_token("Connection", "close");
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        headers,
        framing,
        keep_alive,
    };
    Ok(Some((head, length)))
}

fn copy_headers(parsed: &[httparse::Header<'_>]) -> Result<Headers, HeadError> {
    let copy = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).map_err(|_| HeadError::Malformed)?;
        Ok((header.name.to_owned(), value.trim().to_owned()))
    };
    parsed.iter().map(copy).collect::<Result<_, _>>().map(Headers)
}

fn parse_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyHeaders,
        _ => HeadError::Malformed,
    }
}
