//! The router's state of a streamed message.

use crate::Ending;
use crate::flow::Cut;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// The retry delay in a rejection for lack of capacity, in microseconds. The policy uses the same delay for a
/// message that it sheds.
pub const OVERLOAD_RETRY_AFTER: Micros = 2_000_000;

/// The final answer to the client of a streamed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamEnd {
    /// The message was delivered.
    Delivered,
    /// The message had no effect; the client may submit it again after this many microseconds.
    Deferred(Micros),
    /// The message was not delivered and may have had an effect.
    Failed,
    /// The client did not send the whole body.
    Cut(Cut),
}

/// The state of a message whose body is forwarded while it arrives. It is encoded by position in a
/// [`RouterState`](super::RouterState).
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct Stream {
    /// Part of the body was dropped from memory, so no further attempt can send the whole body.
    pub(super) committed: bool,
    /// An attempt may have had an effect or may still have one.
    pub(super) may_have_run: bool,
    /// The reason why the body will never be complete, if that is the case.
    pub(super) cut: Option<Cut>,
    /// No further attempt is made, because the body is lost or the process is shutting down.
    pub(super) finished: bool,
    /// The client can't be answered any more, so the platform gets a notice instead.
    pub(super) unanswerable: bool,
}

impl Stream {
    /// The state of a stream that another process accepted; its client connection and its body are lost.
    pub(super) fn of_another_process(may_have_run: bool) -> Self {
        Stream { committed: true, may_have_run, unanswerable: true, ..Stream::default() }
    }

    /// The end of the message if it is not delivered.
    pub(super) fn ending(&self) -> Ending {
        if self.may_have_run { Ending::Undeliverable } else { Ending::Deferred(OVERLOAD_RETRY_AFTER) }
    }
}
