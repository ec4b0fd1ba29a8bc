//! Submissions: the requests with which clients submit messages, and the responses to them (`docs/courier.md`).
//!
//! The server checks the bytes of a head with [`has_complete_head`] and [`has_bare_lf`], decodes its headers with
//! [`Head`], adds the body, and responds with [`answer`] or [`refuse`].

mod head;
mod malformed;
mod response;

pub use head::{Head, addressing, has_bare_lf, has_complete_head, length};
pub use malformed::Malformed;
pub(crate) use response::set_retry_after;
pub use response::{answer, answer_with, plain, refuse};

/// Maximum length in bytes of a body that is not streamed, in either direction, as the platform specifies.
pub const BODY_MAX: usize = 64 * 1024;
