//! Decisions and codecs of the data plane, without I/O and without a clock.
//!
//! - [`tables`] has what a process works with, as the core last sent it.
//! - [`routes`] compiles a configuration: which route a request belongs to, and what its key allows.
//! - [`dispatch`] chooses an endpoint for a request and follows the load and the failures of each endpoint.
//! - [`batch_share`] limits what batch work may use of the endpoints.
//! - [`request_profile`] and [`prefix_cache`] estimate how much of a prompt an endpoint still has to process.
//! - [`head`], [`body`] and [`events`] read and write HTTP/1.1 heads, bodies and event streams; [`event_sequence`] keeps the
//!   events of a stream in their order.
//!
//! The caller passes the time in (microseconds of a steady clock) and carries out what is decided here.

pub mod batch_share;
pub mod body;
pub mod breaks;
pub mod dispatch;
pub mod event_sequence;
pub mod events;
pub mod head;
mod prefill;
pub mod prefix_cache;
mod rendezvous;
pub mod request_profile;
pub mod routes;
pub mod tables;
