//! What the records being written are for, and the state of rewrites.

use crate::ids::RequestId;
use quillmount_wire::messages::Response;

/// What a record being written is for.
pub(super) enum WritePurpose {
    /// The answer to a call of another store waits for it.
    Answer { request: RequestId, response: Box<Response> },
    /// The operations of the primary's batch.
    Batch,
    /// The start of a term of this store as primary.
    TermStart,
    /// A part of a rewrite.
    Rewrite,
}

/// Rewrites requested and running.
#[derive(Default)]
pub(super) struct RewriteState {
    /// The running rewrite.
    pub(super) running: Option<Rewrite>,
    /// Another rewrite has to start, as soon as that is possible.
    pub(super) due: bool,
    /// Requests for the next rewrite.
    pub(super) requests: Vec<RequestId>,
}

/// A running rewrite.
pub(super) struct Rewrite {
    /// Number of its records that are not yet written.
    pub(super) remaining: usize,
    /// A record could not be written.
    pub(super) failed: bool,
    /// Requests made before it started.
    pub(super) requests: Vec<RequestId>,
    /// It started after a failed write, with no other write in flight, so that it supplies everything the disk lacks.
    pub(super) after_failure: bool,
}
