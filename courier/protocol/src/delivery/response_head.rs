//! The head of a response, and the headers that may occur once.

use crate::time;
use httparse::{EMPTY_HEADER, Header, Response, Status};
use quillmount_policy::Micros;

/// Headers of a response at most; one with more is invalid.
pub(super) const HEADERS_MAX: usize = 64;

/// How much of a head has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadState {
    /// All of it, and its length in bytes.
    Complete(usize),
    /// Its end is still to come.
    Partial,
    /// It is not HTTP/1.
    Invalid,
}

/// The final response, after all interim ones. Code, version and headers are valid if its head is complete.
pub(super) struct FinalResponse<'a> {
    /// Its bytes so far.
    pub bytes: &'a [u8],
    pub head: HeadState,
    pub code: u16,
    /// The minor version of HTTP/1.
    pub minor_version: Option<u8>,
    headers: &'a [Header<'a>],
}

impl<'a> FinalResponse<'a> {
    /// The header with this name, in any case.
    pub fn header(&self, name: &str) -> SingleHeader<'a> {
        SingleHeader::find(self.headers, name)
    }

    /// The time of `Retry-After`.
    pub fn retry_after(&self) -> Option<Micros> {
        self.header("retry-after").text().and_then(time::parse_seconds)
    }

    /// Whether the endpoint closes the connection after this response.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").text().is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// Skips interim (1xx) responses and passes the final one to `read`.
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

/// 101 is the last response in this protocol: what follows it is in another.
fn is_interim(code: Option<u16>) -> bool {
    matches!(code, Some(100 | 102..=199))
}

/// A header that may occur once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SingleHeader<'a> {
    Absent,
    One(&'a str),
    /// It occurs more than once, is empty, or is not UTF-8.
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

    /// Its value, without white space around it.
    pub fn text(self) -> Option<&'a str> {
        match self {
            SingleHeader::One(value) => Some(value),
            SingleHeader::Absent | SingleHeader::Invalid => None,
        }
    }
}
