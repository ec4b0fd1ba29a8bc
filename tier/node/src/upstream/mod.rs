//! Calls to endpoints over HTTP/1.1, with one request at a time on each connection.
//!
//! [`Upstreams::send`] sends a request on an idle or a new connection and returns once the head of the answer is read. The
//! caller reads the body from the [`UpstreamAnswer`] and gives the connection back with [`UpstreamAnswer::release`]. A connection
//! carries no two requests with the same id (`carried_requests`).

mod answer;
mod carried_requests;
mod client;
mod exchange;
mod pool;

pub use answer::{BodyProgress, UpstreamAnswer};
pub use client::{UpstreamError, Upstreams};
pub use exchange::UpstreamRequest;
