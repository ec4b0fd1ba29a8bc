//! The courier without its transport: which messages are owed an end, and how each reaches it.
//!
//! [`hub::Hub`] wires the parts together for a driver that moves the bytes, provides the time and writes the log:
//! [`router::Router`] with the [`journal`] and the policy, the connection [`pool`], and a [`call::Call`] for each delivery
//! call in flight. The state machines of attempts, connections and the process itself are in [`machine`].
//!
//! Nothing here depends on HTTP: another front end can submit the same values and gets the same decisions.

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
