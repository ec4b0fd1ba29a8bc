//! Request and response heads, parsed with `httparse`.

use super::framing::{AmbiguousFraming, Framing};
use super::headers::Headers;

/// Maximum number of headers in one head.
pub const MAX_HEADERS: usize = 100;
/// Status for a request that reached a server that is not responsible for its target (RFC 9110, section 15.5.20).
pub const MISDIRECTED_REQUEST: u16 = 421;

/// The reason why bytes are not a valid head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The syntax is invalid, or a value is not UTF-8.
    #[error("failed to parse the HTTP/1.1 head: invalid syntax, or a header value that is not UTF-8")]
    Malformed,
    /// The head has more than [`MAX_HEADERS`] headers.
    #[error("failed to parse the HTTP/1.1 head: more than {MAX_HEADERS} headers")]
    TooManyHeaders,
    /// Two recipients could interpret the body length differently (request smuggling; RFC 9112, section 11.2).
    #[error("failed to parse the HTTP/1.1 head: ambiguous body length (Content-Length, Transfer-Encoding)")]
    Ambiguous,
}

impl From<AmbiguousFraming> for HeadError {
    fn from(_: AmbiguousFraming) -> Self {
        HeadError::Ambiguous
    }
}

/// Request line and headers of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method, case-sensitive.
    pub method: String,
    /// Path and query, unaltered.
    pub target: String,
    /// All headers, including connection-specific ones.
    pub headers: Headers,
    /// Framing of the body that follows the head.
    pub framing: Framing,
    /// Whether the client expects to reuse the connection for another request.
    pub keep_alive: bool,
}

/// Status line and headers of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code, three digits.
    pub status: u16,
    /// Reason phrase, often empty.
    pub reason: String,
    /// All headers, including connection-specific ones.
    pub headers: Headers,
    /// Framing of the body that follows the head.
    pub framing: Framing,
    /// Whether the connection may be reused for another request.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Whether the endpoint guarantees that it has not executed the request: the response has a `Not-Run` header, or its status
    /// is [`MISDIRECTED_REQUEST`], so that it is not the endpoint that the request names.
    pub fn guarantees_not_run(&self) -> bool {
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
/// The head is malformed or has too many headers, or its framing is ambiguous.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut parsed);
    let length = match request.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let headers = copy_headers(request.headers)?;
    let framing = Framing::from_headers(&headers, Framing::Empty)?;
    let is_http11 = request.version == Some(1);
    let keep_alive = if is_http11 {
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

/// Parses the head of a response and returns it with its length in bytes; `None` if it is incomplete. `answers_head_request`
/// says that the request method was `HEAD`, so that the response has no body.
///
/// # Errors
/// The head is malformed or has too many headers, or its framing is ambiguous.
pub fn parse_response(
    bytes: &[u8],
    answers_head_request: bool,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut parsed);
    let length = match response.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let status = response.code.ok_or(HeadError::Malformed)?;
    let headers = copy_headers(response.headers)?;
    let framing = match status {
        _ if answers_head_request => Framing::Empty,
        100..=199 | 204 | 304 => Framing::Empty,
        _ => Framing::from_headers(&headers, Framing::UntilClose)?,
    };
    let is_http11 = response.version == Some(1);
    let keep_alive = framing != Framing::UntilClose && is_http11 && !headers.has_token("Connection", "close");
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
