//! The actions that the router requests from its driver, and its answers to submissions.

use super::stream::StreamEnd;
use crate::note::Note;
use crate::{CallId, DeliveryCall};
use quillmount_policy::{Micros, MsgId};

/// An action for the transport. Actions are executed in the order in which they are returned.
#[derive(Debug)]
pub enum RouterAction {
    /// Start this delivery call.
    Call(DeliveryCall),
    /// The call's record could not be written, so the call must not start; report it as
    /// [`CallEnd::HeldBack`](crate::CallEnd::HeldBack).
    NotWritten(CallId),
    /// Cancel this delivery call.
    CancelCall(CallId),
    /// A message of this call has ended: do not send the part of the call that is still unsent.
    Ended(CallId),
    /// Close the idle connections to this endpoint.
    CloseIdle(u32),
    /// The endpoint is permanently gone: drop all of its state.
    Forget(u32),
    /// Allow or block new calls to an endpoint.
    Gate {
        /// The number of the endpoint.
        endpoint: u32,
        /// Whether calls may start.
        open: bool,
    },
    /// Start no calls to an endpoint during its backoff.
    BackOff {
        /// The number of the endpoint.
        endpoint: u32,
        /// Time from which calls may start again, in Unix microseconds.
        until: Micros,
    },
    /// Send the pending notices to the platform; see [`Router::notices`](super::Router::notices).
    Notify,
    /// Send the final answer of a stream on its client's connection, and report through
    /// [`Router::answered`](super::Router::answered) whether the client received it.
    Answer {
        /// The number of the streamed message.
        msg: MsgId,
        /// The message's end, as its client is told.
        end: StreamEnd,
    },
    /// Write this record to the log.
    Note(Note),
}

/// The answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// The message was accepted, and its end will be reported.
    Accepted,
    /// A message with this id has already been delivered.
    Delivered,
    /// The message was not accepted and had no effect, so that it can safely be submitted again.
    Rejected {
        /// Delay before the next submission, in microseconds.
        after: Micros,
    },
    /// A message with this id has already ended without a delivery and may have had an effect.
    Failed,
    /// A message with this id is still being processed.
    Open,
    /// The settings lack the message's class.
    UnknownClass,
    /// The endpoint list contains no endpoint of the message's destination.
    UnknownDest,
}
