//! Delivery calls: the request that an endpoint is sent, and what its response means for the messages in it.
//!
//! The driver of a call writes [`encode`]'s bytes and passes all bytes of the response so far to [`decoder`]'s function after each
//! read, until that says that the response is complete. The results of a bundle come from [`bundle_results`].

mod bundle;
mod chunked;
mod request;
mod response;
mod response_head;

pub use bundle::{BundleResults, bundle_results};
pub use request::encode;
pub use response::{decode, decode_bundle, decoder, load_report};

use crate::submission::BODY_MAX;

/// The path of a call with one message.
pub(crate) const PATH: &str = "/events";
/// The path of a call with several messages, for endpoints of the kinds that the settings name.
const BUNDLE_PATH: &str = "/events/bundle";
/// Bytes of a response's head at most; the platform's have some 200.
const HEAD_MAX: usize = 8 * 1024;
/// Bytes of a response that are read at most.
pub const ANSWER_MAX: usize = HEAD_MAX + BODY_MAX;
