//! The length of a body, as the headers state it.

use super::headers::Headers;

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

/// Two recipients could understand the length of the body differently (request smuggling; RFC 9112, section 11.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AmbiguousFraming;

impl Framing {
    /// The framing that headers state, `default` if they state none.
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
    // Digits only: the integer parser would accept a sign.
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| digits).ok_or(AmbiguousFraming)?;
    Ok(if length == 0 { Framing::Empty } else { Framing::Length(length) })
}
