//! Heads of HTTP/1.1 requests and responses: the first line and the headers (RFC 9112, sections 2 to 6).

/// Largest number of headers in one head.
pub const HEADER_LIMIT: usize = 100;

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

/// How the length of a body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// `Content-Length`, bytes; not 0.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// Until the connection closes; responses only.
    UntilClose,
}

/// Names and values of headers, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// Whether a header with a comma-separated list contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// All values of a header, in their order.
    fn get_all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The framing that the headers state, `default` if they state none.
    fn framing(&self, default: Framing) -> Result<Framing, HeadError> {
        let mut lengths = self.get_all("Content-Length");
        let length = lengths.next();
        let repeated = lengths.next().is_some();
        let mut codings = self.get_all("Transfer-Encoding");
        let coding = codings.next();
        if repeated || codings.next().is_some() || (length.is_some() && coding.is_some()) {
            return Err(HeadError::Ambiguous);
        }
        match (length, coding) {
            (_, Some(coding)) if coding.trim().eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            (_, Some(_)) => Err(HeadError::Ambiguous),
            (Some(length), None) => parse_content_length(length),
            (None, None) => Ok(default),
        }
    }
}

fn parse_content_length(value: &str) -> Result<Framing, HeadError> {
    // Digits only: the integer parser would accept a sign.
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| digits).ok_or(HeadError::Ambiguous)?;
    Ok(if length == 0 { Framing::Empty } else { Framing::Length(length) })
}

/// Headers that apply to one connection only (RFC 9110, section 7.6.1), or that an intermediary writes anew.
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

/// Whether a header applies to one connection only and must not be forwarded. `headers` is the head that contains it.
pub fn is_connection_header(name: &str, headers: &Headers) -> bool {
    CONNECTION_HEADERS.iter().any(|known| name.eq_ignore_ascii_case(known))
        || headers.has_token("Connection", name)
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

/// Status of a request that reached a server for which it is not meant (RFC 9110, section 15.5.20).
pub const MISDIRECTED_REQUEST: u16 = 421;

impl ResponseHead {
    /// Whether the endpoint promises that the request has not run: it states so in a `Not-Run` header, or is not the endpoint that
    /// the request names.
    pub fn promises_not_run(&self) -> bool {
        self.status == MISDIRECTED_REQUEST || self.headers.get("Not-Run").is_some()
    }

    /// Whether the body is an event stream ([`crate::events`]).
    pub fn is_event_stream(&self) -> bool {
        self.headers.get("Content-Type").is_some_and(|kind| kind.starts_with("text/event-stream"))
    }
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

/// Parses the head of a request and returns it with its length in bytes; `None` if it is incomplete.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut parsed = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut request = httparse::Request::new(&mut parsed);
    let length = match request.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let headers = copy_headers(request.headers)?;
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

/// Parses the head of a response and returns it with its length in bytes; `None` if it is incomplete. `to_head`: it answers a
/// `HEAD` request, so there is no body.
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
