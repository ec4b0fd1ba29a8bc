//! The router's answers to submissions, and the actions for its driver.

use super::stream::StreamEnd;
use crate::note::Note;
use crate::{CallId, DeliveryCall};
use quillmount_policy::{Micros, MsgId};

/// What the transport is to do; actions are carried out in the order in which they are returned.
#[derive(Debug)]
pub enum RouterAction {
    /// Begin this delivery call.
    Call(DeliveryCall),
    /// The call's record could not be written, so the call must not begin; report it as held back.
    NotWritten(CallId),
    /// Cancel this call.
    GiveUp(CallId),
    /// A message of this call has its end: what has not been sent of the call is not to be sent.
    Ended(CallId),
    /// Close the idle connections to this endpoint.
    CloseIdle(u32),
    /// The endpoint is permanently gone: drop all state of it.
    Forget(u32),
    /// Calls to an endpoint may start, or may not any more.
    Gate {
        /// The endpoint.
        endpoint: u32,
        /// Calls may start.
        open: bool,
    },
    /// No call to an endpoint may start for a while.
    BackOff {
        /// The endpoint.
        endpoint: u32,
        /// When calls may start again.
        until: Micros,
    },
    /// There are notices to send; see [`Router::notices`](super::Router::notices).
    Notify,
    /// Send the final answer of a stream on its client's connection, and report through
    /// [`Router::answered`](super::Router::answered) whether the client received it.
    Answer {
        /// The message.
        msg: MsgId,
        /// How it ended.
        end: StreamEnd,
    },
    /// Write this to the log.
    Note(Note),
}

/// The answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// The message was accepted; it will have an end.
    Accepted,
    /// A message with this id was delivered before.
    Delivered,
    /// The message was not accepted, and can be submitted again without risk.
    Rejected {
        /// After so long, in microseconds.
        after: Micros,
    },
    /// A message with this id ended before, and may have had an effect.
    Failed,
    /// A message with this id is still owed its end.
    Open,
    /// The settings lack the message's class.
    UnknownClass,
    /// The endpoint list lacks the message's destination.
    UnknownDest,
}
