//! Parses the head of a response, and looks up headers that may occur at most once.

use crate::time;
use httparse::{EMPTY_HEADER, Header, Response, Status};
use quillmount_policy::Micros;

/// Maximum number of headers of a response; a response with more is invalid.
pub(super) const HEADERS_MAX: usize = 64;

/// How much of a head has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadState {
    /// The whole head, of this length in bytes.
    Complete(usize),
    /// The empty line that ends the head has not been received.
    Partial,
    /// The bytes are not an HTTP/1 response head.
    Invalid,
}

/// The final response, after all interim ones. `code`, `minor_version` and the headers are valid only if `head` is
/// complete.
pub(super) struct FinalResponse<'a> {
    /// The bytes received so far, without those of interim responses.
    pub bytes: &'a [u8],
    pub head: HeadState,
    pub code: u16,
    /// The minor version of HTTP: 0 in HTTP/1.0, 1 in HTTP/1.1.
    pub minor_version: Option<u8>,
    headers: &'a [Header<'a>],
}

impl<'a> FinalResponse<'a> {
    /// Looks up a header; its name is compared without regard to case.
    pub fn header(&self, name: &str) -> SingleHeader<'a> {
        SingleHeader::find(self.headers, name)
    }

    /// The delay in `Retry-After`, in microseconds, if the header is valid.
    pub fn retry_after(&self) -> Option<Micros> {
        self.header("retry-after").text().and_then(time::parse_seconds)
    }

    /// Whether the endpoint closes the connection after this response.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").text().is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// Skips interim (1xx) responses and calls `read` with the final one.
pub(super) fn with_final_response<T>(bytes: &[u8], read: impl FnOnce(FinalResponse) -> T) -> T {
    let mut rest = bytes;
    loop {
        let mut headers = [EMPTY_HEADER; HEADERS_MAX];
        let mut response = Response::new(&mut headers);
        let head = match response.parse(rest) {
            Ok(Status::Complete(length)) if is_interim(response.code) => {
                rest = &rest[length..];
                continue;
            }
            Ok(Status::Complete(length)) => HeadState::Complete(length),
            Ok(Status::Partial) => HeadState::Partial,
            Err(_) => HeadState::Invalid,
        };
        return read(FinalResponse {
            bytes: rest,
            head,
            code: response.code.unwrap_or_default(),
            minor_version: response.version,
            headers: response.headers,
        });
    }
}

/// Whether the status is an interim one. 101 is not: it ends HTTP/1.1 on the connection, and what follows is in
/// another protocol.
fn is_interim(code: Option<u16>) -> bool {
    matches!(code, Some(100 | 102..=199))
}

/// The value of a header that may occur at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SingleHeader<'a> {
    Absent,
    One(&'a str),
    /// The header occurs more than once, is empty, or is not UTF-8.
    Invalid,
}

impl<'a> SingleHeader<'a> {
    fn find(headers: &[Header<'a>], name: &str) -> Self {
        let mut values = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
        match (values.next().map(std::str::from_utf8), values.next()) {
            (None, _) => SingleHeader::Absent,
            (Some(Ok(value)), None) if !value.trim().is_empty() => SingleHeader::One(value.trim()),
            _ => SingleHeader::Invalid,
        }
    }

    /// The value of a valid header, without surrounding white space.
    pub fn text(self) -> Option<&'a str> {
        match self {
            SingleHeader::One(value) => Some(value),
            SingleHeader::Absent | SingleHeader::Invalid => None,
        }
    }
}
