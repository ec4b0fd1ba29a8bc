//! Purposes of writes in flight, and the state of rewrites.

use crate::ids::RequestId;
use quillmount_wire::messages::Response;

/// Purpose of a record that is being written.
pub(super) enum WritePurpose {
    /// The answer to a call of another store is sent once the record is durable.
    Answer { request: RequestId, response: Box<Response> },
    /// The operations of the primary's current batch.
    Batch,
    /// The start of this replica's term as primary.
    TermStart,
    /// One record of a rewrite.
    Rewrite,
}

/// State of the running rewrite and of requested ones.
#[derive(Default)]
pub(super) struct RewriteState {
    pub(super) running: Option<Rewrite>,
    /// Whether another rewrite has to start as soon as possible.
    pub(super) due: bool,
    /// Requests that the next rewrite completes.
    pub(super) requests: Vec<RequestId>,
}

/// A rewrite whose records are being written.
pub(super) struct Rewrite {
    /// Number of its records whose writes have not ended.
    pub(super) remaining: usize,
    /// Whether one of its records could not be written.
    pub(super) failed: bool,
    /// Requests that were made before it started.
    pub(super) requests: Vec<RequestId>,
    /// Whether it started after a failed write with no other write in flight, so that it replaces everything that
    /// the disk lacks.
    pub(super) after_failure: bool,
}
