//! The reasons for which the server rejects a request, with their status codes.

use actix_http::StatusCode;

/// Why a request is rejected as malformed. The client receives the `Display` text with a 4xx status; nothing is
/// written to the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The path names no class.
    #[error("no such path")]
    Path,
    /// The method is not POST.
    #[error("invocations are handed in with POST")]
    Method,
    /// `X-Correlation-Id` is missing or is not a valid id.
    #[error("X-Correlation-Id is missing or malformed")]
    Id,
    /// The idempotency key is empty, too long, or not visible ASCII.
    #[error("Idempotency-Key is malformed")]
    Key,
    /// `X-Time-Left` is missing, is not a duration with a unit, or exceeds the limit.
    #[error("X-Time-Left wants a number and a unit, m or u")]
    TimeLeft,
    /// `X-Addressing` has no destination, several, or one that is not a number.
    #[error("X-Addressing wants dest=NUMBER")]
    Dest,
    /// The request is not valid HTTP/1.1.
    #[error("no HTTP/1.1 request as RFC 9112 has it")]
    Unreadable,
    /// The head exceeds the limit of the server, 8 KiB.
    #[error("the head is over 8 KiB")]
    HeadTooLarge,
    /// The length of the body is missing or ambiguous.
    #[error("Content-Length is wanted, once, and no Transfer-Encoding")]
    Length,
    /// The body exceeds [`super::BODY_MAX`].
    #[error("the body is over 64 KiB")]
    TooLarge,
    /// The streamed body exceeds the limit of its class.
    #[error("the body is over the limit of its class")]
    ExceedsClassLimit,
    /// `Content-Digest` is not a list of digests, or has two of SHA-256.
    #[error("Content-Digest is malformed")]
    Digest,
    /// `Expect` has a value other than `100-continue`.
    #[error("Expect knows 100-continue alone")]
    Expect,
    /// The client sent further bytes before it received the response (pipelining).
    #[error("more than one request at a time")]
    Pipelined,
    /// The request was still incomplete at the server's read timeout.
    #[error("the request did not arrive in time")]
    Slow,
}

impl Malformed {
    /// The status code of the response to the client.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Malformed::Path => StatusCode::NOT_FOUND,
            Malformed::Method => StatusCode::METHOD_NOT_ALLOWED,
            Malformed::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Malformed::Length => StatusCode::LENGTH_REQUIRED,
            Malformed::TooLarge | Malformed::ExceedsClassLimit => StatusCode::PAYLOAD_TOO_LARGE,
            Malformed::Slow => StatusCode::REQUEST_TIMEOUT,
            Malformed::Expect => StatusCode::EXPECTATION_FAILED,
            Malformed::Id
            | Malformed::Key
            | Malformed::TimeLeft
            | Malformed::Dest
            | Malformed::Unreadable
            | Malformed::Digest
            | Malformed::Pipelined => StatusCode::BAD_REQUEST,
        }
    }

    /// Whether the server has to close the connection because the start of the next request is unknown or cannot be
    /// trusted.
    pub fn ends_connection(self) -> bool {
        match self {
            Malformed::Unreadable
            | Malformed::HeadTooLarge
            | Malformed::Length
            | Malformed::TooLarge
            | Malformed::ExceedsClassLimit
            | Malformed::Digest
            | Malformed::Expect
            | Malformed::Pipelined
            | Malformed::Slow => true,
            Malformed::Path
            | Malformed::Method
            | Malformed::Id
            | Malformed::Key
            | Malformed::TimeLeft
            | Malformed::Dest => false,
        }
    }
}
