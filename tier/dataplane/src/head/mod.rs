//! Heads of HTTP/1.1 requests and responses: the first line and the headers (RFC 9112, sections 2 to 6).
//!
//! [`parse_request`] and [`parse_response`] parse the head at the front of the received bytes and determine the [`Framing`] of
//! the body that follows, which [`crate::body`] reads.

mod framing;
mod headers;
mod parse;
mod text;

pub use framing::Framing;
pub use headers::{Headers, is_connection_header};
pub use parse::{
    HeadError, MAX_HEADERS, MISDIRECTED_REQUEST, RequestHead, ResponseHead, parse_request, parse_response,
};
pub use text::{is_header_name, is_header_value, is_request_target};
