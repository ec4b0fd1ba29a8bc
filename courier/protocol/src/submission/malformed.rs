//! Why a request is not a submission.

use actix_http::StatusCode;

/// Why a request is not a submission. The client gets the text with a 4xx; nothing is journalled.
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
    /// The body is longer than [`super::BODY_MAX`].
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
    /// The client has sent more before it received its response (pipelining).
    #[error("more than one request at a time")]
    Pipelined,
    /// The request was incomplete when its time was up.
    #[error("the request did not arrive in time")]
    Slow,
}

impl Malformed {
    /// The status of the response.
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

    /// Whether the connection has to be closed: where the next request begins is unknown or not to be trusted.
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
