//! Streamed submissions: the framing and verification of their bodies, the request to the endpoint, and the final
//! response to the client (`docs/streaming-design.md`). Their heads have the form of other submissions
//! ([`crate::submission::Head`]).
//!
//! The server determines with [`framing`] how a body ends, extracts its content with [`BodyDecoder`], and verifies
//! it with a [`Digest`]. The driver of the call to the endpoint writes the head from [`encode_head`] and frames the
//! body again.

mod body;
mod digest;
mod request;
mod response;

pub use body::{BodyDecoder, BodyEvent, Framing, framing};
pub use digest::{Digest, digest_text};
pub use request::{CHUNK_END, LAST_CHUNK, chunk_line, encode_head};
pub use response::answer;
