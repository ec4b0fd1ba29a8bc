//! Purposes of writes in flight, and the state of rewrites.

use super::member_calls::RETRY_DELAY;
use crate::ids::RequestId;
use quillmount_wire::Micros;
use quillmount_wire::messages::Response;

/// Largest number of answers that wait for the disk. A replica whose disk is so far behind accepts no further changes; the primary
/// repeats them.
pub(super) const MAX_ANSWERS_IN_FLIGHT: usize = 4;
/// Longest delay between two rewrites after failed writes, microseconds.
const MAX_REWRITE_DELAY: Micros = 1_000_000;
/// Number of times that the delay is doubled; by then it is above [`MAX_REWRITE_DELAY`].
const MAX_DOUBLINGS: u32 = 8;

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
    /// Number of consecutive rewrites that failed.
    failures: u32,
    /// Time before which no further rewrite replaces missing records, microseconds.
    retry_at: Micros,
}

impl RewriteState {
    /// Returns whether the delay after a failed rewrite has passed.
    pub(super) fn may_retry(&self, now: Micros) -> bool {
        self.retry_at <= now
    }

    /// Records the end of a rewrite. The delay doubles with each consecutive failure, because the records of a failed rewrite that
    /// could be written fill the disk further.
    pub(super) fn ended(&mut self, complete: bool, now: Micros) {
        if complete {
            (self.failures, self.retry_at) = (0, 0);
            return;
        }
        let delay = RETRY_DELAY << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + delay.min(MAX_REWRITE_DELAY);
    }
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
