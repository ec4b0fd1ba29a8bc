//! Choice of an endpoint for each request.
//!
//! The caller passes the endpoint list to the [`Dispatcher`], reserves a slot for each call with [`Dispatcher::reserve`],
//! reports the first event with [`Dispatcher::first_event`], and ends the call with [`Dispatcher::finish`]. The outcome of the
//! call adjusts the concurrency window of the endpoint (`quillmount_window`) and its backoff.

mod dispatcher;
mod endpoint_state;
mod outcome;

pub use dispatcher::{Dispatcher, EndpointCounts, Reservation, ReserveError, ServiceShare};
pub use outcome::{CallOutcome, Misdirection};
