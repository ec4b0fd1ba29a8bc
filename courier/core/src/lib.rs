//! The decisions of a courier, without its transport: which messages still need an outcome, and how each gets one.
//!
//! A message is *owed* from its acceptance until its end (delivered, undeliverable or deferred) is reported.
//!
//! [`hub::Hub`] connects the parts for a driver that performs the I/O, provides the time and writes the log:
//! [`router::Router`] with the [`journal`] and the policy, the connection [`pool`], and a [`call::Call`] for each
//! delivery call in flight. The state machines of attempts, connections and the process itself are in [`machine`].
//!
//! Nothing here depends on HTTP: another front end that submits the same values gets the same decisions.

pub mod admission;
pub mod call;
pub mod counters;
mod delivery;
pub mod disabled;
pub mod ended;
pub mod flow;
pub mod hub;
pub mod journal;
mod listing;
pub mod machine;
pub mod note;
pub mod pool;
pub mod router;
pub mod store;
mod submission;
pub mod turns;

pub use delivery::{AnswerReport, BundledMessage, CallEnd, CallId, DeliveryCall, MessagePayload};
pub use listing::{EndpointList, EndpointListing};
pub use submission::{Ending, Notice, StreamHead, Submission};
