//! Delivery calls: encodes the request to an endpoint, and decodes the response into the result of each message.
//!
//! The driver of a call writes the bytes from [`encode`]. After each read it passes all bytes of the response so
//! far to the function from [`decoder`], until this reports a complete response. [`bundle_results`] extracts the
//! results of a bundle.

mod bundle;
mod chunked;
mod request;
mod response;
mod response_head;

pub use bundle::{BundleResults, bundle_results};
pub use request::encode;
pub use response::{decode, decode_bundle, decoder, load_report};

use crate::submission::BODY_MAX;

/// The request path of a call with one message.
pub(crate) const PATH: &str = "/events";
/// The request path of a call with several messages. Only endpoints of the kinds named in the settings get such
/// calls.
const BUNDLE_PATH: &str = "/events/bundle";
/// Maximum length of a response head in bytes; those of the platform have about 200.
const HEAD_MAX: usize = 8 * 1024;
/// Maximum length of a response in bytes, head and body; the driver of the call reads no more.
pub const RESPONSE_MAX: usize = HEAD_MAX + BODY_MAX;
