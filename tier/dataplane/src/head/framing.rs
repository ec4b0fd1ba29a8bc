//! Body framing as determined by the headers.

use super::headers::Headers;

/// How the length of a body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// `Content-Length`, bytes; never 0.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// The body ends when the connection closes; responses only.
    UntilClose,
}

/// Two recipients could interpret the body length differently (request smuggling; RFC 9112, section 11.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AmbiguousFraming;

impl Framing {
    /// Returns the framing that the headers specify, `default` if they specify none.
    pub(super) fn from_headers(headers: &Headers, default: Framing) -> Result<Framing, AmbiguousFraming> {
        let mut lengths = headers.get_all("Content-Length");
        let length = lengths.next();
        let repeated = lengths.next().is_some();
        let mut codings = headers.get_all("Transfer-Encoding");
        let coding = codings.next();
        if repeated || codings.next().is_some() || (length.is_some() && coding.is_some()) {
            return Err(AmbiguousFraming);
        }
        match (length, coding) {
            (_, Some(coding)) if coding.trim().eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            (_, Some(_)) => Err(AmbiguousFraming),
            (Some(length), None) => parse_content_length(length),
            (None, None) => Ok(default),
        }
    }
}

fn parse_content_length(value: &str) -> Result<Framing, AmbiguousFraming> {
    // Only digits are accepted: the integer parser would also accept a sign.
    let is_all_digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| is_all_digits).ok_or(AmbiguousFraming)?;
    Ok(if length == 0 { Framing::Empty } else { Framing::Length(length) })
}
