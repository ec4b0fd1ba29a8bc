//! Streamed submissions: how their bodies are framed and checked, what an endpoint is sent, and what the client is answered
//! at the end (`docs/streaming-design.md`). Their heads are those of other submissions ([`crate::submission::Head`]).
//!
//! The server decides by [`framing`] how a body ends, and takes the body out of the bytes that it reads with [`BodyDecoder`]; a
//! [`Digest`] checks it. The driver of the call to the endpoint writes [`encode_head`] and frames the body again.

mod body;
mod digest;
mod request;
mod response;

pub use body::{BodyDecoder, BodyEvent, Framing, framing};
pub use digest::{Digest, digest_text};
pub use request::{CHUNK_END, LAST_CHUNK, chunk_line, encode_head};
pub use response::answer;
