//! Decisions and codecs of the data plane, without I/O and without a clock.
//!
//! - [`tables`] keeps the tables that a process uses, as the core last sent them.
//! - [`routes`] compiles a configuration for looking up the route and the tenant of a request.
//! - [`dispatch`] chooses an endpoint for a request and tracks the load and the failures of each endpoint.
//! - [`batch_item`] decides whether a batch item runs or is given up.
//! - [`item_queue`] orders the batch items that wait for capacity.
//! - [`batch_share`] limits the endpoint slots that batch work may occupy.
//! - [`request_profile`] and [`prefix_cache`] estimate how much of a prompt an endpoint still has to process.
//! - [`head`], [`body`] and [`events`] read and write HTTP/1.1 heads, bodies and event streams; [`event_sequence`] checks the
//!   order of the events of a stream.
//!
//! The caller passes in the current time (microseconds of a monotonic clock) and carries out the decisions.

pub mod batch_item;
pub mod batch_share;
pub mod body;
pub mod breaks;
pub mod dispatch;
pub mod event_sequence;
pub mod events;
pub mod head;
pub mod item_queue;
mod prefill;
pub mod prefix_cache;
mod rendezvous;
pub mod request_profile;
pub mod routes;
pub mod tables;
