//! What the router knows of a streamed message.

use crate::Ending;
use crate::flow::Cut;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// The advice with a rejection for lack of capacity, in microseconds; the policy gives the same for a message that it
/// sheds.
pub const OVERLOAD_RETRY_AFTER: Micros = 2_000_000;

/// The final answer to a streamed submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamEnd {
    /// The message was delivered.
    Delivered,
    /// The message had no effect; the client may submit it again after this, in microseconds.
    Deferred(Micros),
    /// The message was not delivered, and may have had an effect.
    Failed,
    /// The client did not send the whole body.
    Cut(Cut),
}

/// The state of a message whose body is forwarded as it arrives. Encoded by position in a
/// [`RouterState`](super::RouterState).
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct Stream {
    /// A part of its body was dropped: no further attempt can have the whole body.
    pub(super) committed: bool,
    /// An attempt may have had an effect, or may have one yet.
    pub(super) may_have_run: bool,
    /// Why the body will never be complete, if that is so.
    pub(super) cut: Option<Cut>,
    /// No further attempt is wanted: the body is lost, or the process ends.
    pub(super) finished: bool,
    /// Its client can't be answered any more, so that the platform gets a notice instead.
    pub(super) unanswerable: bool,
}

impl Stream {
    /// A stream that another process accepted: its client and its body are lost.
    pub(super) fn of_another_process(may_have_run: bool) -> Self {
        Stream { committed: true, may_have_run, unanswerable: true, ..Stream::default() }
    }

    /// How the message ends if it is not delivered.
    pub(super) fn ending(&self) -> Ending {
        if self.may_have_run { Ending::Undeliverable } else { Ending::Deferred(OVERLOAD_RETRY_AFTER) }
    }
}
