//! How a call at an endpoint ended.

use crate::head::{MISDIRECTED_REQUEST, ResponseHead};
use quillmount_wire::Micros;

/// How a call ended, for the window and the backoff of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// It succeeded; the time to its first event, microseconds.
    FirstEvent(Micros),
    /// The endpoint sent nothing for this time, microseconds.
    TimedOut(Micros),
    /// The endpoint rejected it because it is full; the request has not run.
    Refused,
    /// Another endpoint answered at the address: this endpoint is gone for good.
    Replaced,
    /// The endpoint could not be reached, or the connection broke.
    Lost,
    /// The endpoint answered with an error of its own.
    Error,
    /// It continued a stream that another call began. Its first event comes after those that the endpoint skips, so its latency
    /// says nothing about the load.
    Resumed,
    /// The caller ended it; this says nothing about the endpoint.
    Abandoned,
}

impl CallOutcome {
    /// The outcome of a call whose answer promises that the request has not run; `None` for any other answer.
    #[must_use]
    pub fn of_rejection(head: &ResponseHead) -> Option<CallOutcome> {
        if head.status == MISDIRECTED_REQUEST {
            return Some(CallOutcome::Replaced);
        }
        head.promises_not_run().then_some(CallOutcome::Refused)
    }

    /// The outcome of a call whose events were read to the end of the stream, or until the caller ended it.
    ///
    /// `first_event` is the time to the first event, `None` if there was none; `resumed` says whether the call continued a stream
    /// that another one began.
    #[must_use]
    pub fn without_fault(first_event: Option<Micros>, resumed: bool) -> CallOutcome {
        match first_event {
            Some(_) if resumed => CallOutcome::Resumed,
            Some(latency) => CallOutcome::FirstEvent(latency),
            None => CallOutcome::Abandoned,
        }
    }
}
