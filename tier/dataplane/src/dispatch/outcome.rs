//! Outcomes of calls to endpoints.

use crate::head::{MISDIRECTED_REQUEST, ResponseHead};
use quillmount_wire::Micros;

/// The outcome of a call, which adjusts the concurrency window and the backoff of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The call succeeded; the value is the time to its first event, microseconds.
    FirstEvent(Micros),
    /// The call timed out after the endpoint sent nothing for this time, microseconds.
    TimedOut(Micros),
    /// The endpoint rejected the call because it is at capacity; the request was not executed.
    Refused,
    /// A different endpoint answered at the address: the endpoint of the call no longer exists.
    Replaced,
    /// The endpoint could not be reached, or the connection broke.
    Lost,
    /// The endpoint answered with a server error.
    Error,
    /// The call succeeded in continuing a stream that an earlier call began. The endpoint skips the events already delivered
    /// before it sends the first one, so the latency is no measure of its load.
    Resumed,
    /// The caller ended the call, or the endpoint rejected it for a reason that lies in the request: the outcome does not affect the
    /// endpoint's state.
    Abandoned,
}

/// What a 421 response may say, by the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misdirection {
    /// The request names only the endpoint: a different one answered.
    OfEndpoint,
    /// The request also names a version (`Expect-Version`), which the endpoint may not have.
    OfEndpointOrVersion,
}

impl CallOutcome {
    /// The outcome of a call whose response guarantees that the request was not executed; `None` for any other response. What may
    /// lie in the one request alone says nothing about the endpoint.
    #[must_use]
    pub fn from_rejection(head: &ResponseHead, misdirection: Misdirection) -> Option<CallOutcome> {
        if head.status == MISDIRECTED_REQUEST {
            return Some(match misdirection {
                Misdirection::OfEndpoint => CallOutcome::Replaced,
                Misdirection::OfEndpointOrVersion => CallOutcome::Abandoned,
            });
        }
        head.guarantees_not_run().then_some(CallOutcome::Refused)
    }

    /// The outcome of a call whose stream was read without error, to its end or until the caller ended the call.
    ///
    /// `first_event` is the time to the first event, `None` if there was none; `resumed` says whether the call continued a stream
    /// that an earlier call began.
    #[must_use]
    pub fn from_stream_end(first_event: Option<Micros>, resumed: bool) -> CallOutcome {
        match first_event {
            Some(_) if resumed => CallOutcome::Resumed,
            Some(latency) => CallOutcome::FirstEvent(latency),
            None => CallOutcome::Abandoned,
        }
    }
}
