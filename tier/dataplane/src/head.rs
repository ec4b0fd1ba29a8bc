//! Heads of HTTP/1.1 requests and answers.

use std::fmt;

/// Header lines of one head at most.
pub const HEADER_LIMIT: usize = 100;

/// Why bytes are no head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    Malformed,
    TooManyHeaders,
    /// Framing that two readers could read in two ways.
    Ambiguous,
}

impl fmt::Display for HeadError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadError::Malformed => write!(out, "not a head of HTTP/1.1"),
            HeadError::TooManyHeaders => write!(out, "more than {HEADER_LIMIT} header lines"),
            HeadError::Ambiguous => write!(out, "the length of the body is ambiguous"),
        }
    }
}

impl std::error::Error for HeadError {}

/// How long a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Empty,
    Length(u64),
    Chunked,
    /// Until the connection ends; answers only.
    UntilClose,
}

/// Header lines in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether a list header holds a word.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|value| value.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    fn framing(&self, rest: Framing) -> Result<Framing, HeadError> {
        let mut lengths = self.all("Content-Length");
        let length = lengths.next();
        let repeated = lengths.next().is_some();
        let mut codings = self.all("Transfer-Encoding");
        let coding = codings.next();
        if repeated || codings.next().is_some() || (length.is_some() && coding.is_some()) {
            return Err(HeadError::Ambiguous);
        }
        match (length, coding) {
            (_, Some(coding)) if coding.trim().eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            (_, Some(_)) => Err(HeadError::Ambiguous),
            (Some(length), None) => {
                let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
                let length = length.parse().ok().filter(|_| digits).ok_or(HeadError::Ambiguous)?;
                Ok(if length == 0 { Framing::Empty } else { Framing::Length(length) })
            }
            (None, None) => Ok(rest),
        }
    }
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Whether a header belongs to a connection and is not passed on.
pub fn is_connection_header(name: &str, headers: &Headers) -> bool {
    CONNECTION_HEADERS.iter().any(|known| name.eq_ignore_ascii_case(known))
        || headers.has_token("Connection", name)
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query, unaltered.
    pub target: String,
    pub headers: Headers,
    pub framing: Framing,
    pub keep_alive: bool,
}

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub reason: String,
    pub headers: Headers,
    pub framing: Framing,
    pub keep_alive: bool,
}

fn headers_of(parsed: &[httparse::Header<'_>]) -> Result<Headers, HeadError> {
    let header = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).map_err(|_| HeadError::Malformed)?;
        Ok((header.name.to_owned(), value.trim().to_owned()))
    };
    parsed.iter().map(header).collect::<Result<_, _>>().map(Headers)
}

fn parse_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyHeaders,
        _ => HeadError::Malformed,
    }
}

/// Reads the head of a request; `None` while it is not whole. Returns its length as well.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut request = httparse::Request::new(&mut lines);
    let length = match request.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let headers = headers_of(request.headers)?;
    let framing = headers.framing(Framing::Empty)?;
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

/// Reads the head of an answer; `None` while it is not whole. Returns its length as well.
pub fn parse_response(bytes: &[u8], to_head: bool) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut response = httparse::Response::new(&mut lines);
    let length = match response.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let status = response.code.ok_or(HeadError::Malformed)?;
    let headers = headers_of(response.headers)?;
    let framing = match status {
        _ if to_head => Framing::Empty,
        100..=199 | 204 | 304 => Framing::Empty,
        _ => headers.framing(Framing::UntilClose)?,
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
