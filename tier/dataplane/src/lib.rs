//! Decisions and codecs of the data plane: which route a request belongs to, whether its key is good, which endpoint
//! takes it, and how HTTP/1 heads, bodies and event streams are read. No I/O, no clock.

pub mod batch_share;
pub mod body;
pub mod dispatch;
mod endpoint_state;
pub mod events;
pub mod head;
pub mod prefix_cache;
mod rank;
pub mod request_profile;
pub mod routes;
