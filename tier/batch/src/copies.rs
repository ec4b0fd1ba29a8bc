//! Copies of jobs to other members and to the log, in messages and records of bounded size.
//!
//! A job that is too large to be copied whole is copied in parts ([`JobPart`]): the job as it was submitted first, then its results in
//! order. The receiver collects the parts and replaces the job once it has the last one, so that a copy that is broken off changes
//! nothing.

use crate::job::{JobEntry, job_bytes, result_bytes};
use crate::record::PartOrigin;
use quillmount_wire::messages::{JobPart, JobState};

/// Largest job that may be submitted, bytes as estimated by [`job_bytes`].
pub const MAX_JOB_BYTES: usize = 5 << 20;
/// Largest text of a result, bytes.
pub const MAX_RESULT_BYTES: usize = 4 << 20;
/// Approximate size at which no further job, operation or result is added to a record, bytes.
pub const RECORD_TARGET_BYTES: usize = 2 << 20;
/// Size of a record beside its jobs, operations or results, bytes: an upper bound.
const RECORD_OVERHEAD_BYTES: usize = 64 << 10;
/// Largest size of a record, bytes: the last job, operation or result that is added to it may be as large as any.
pub const MAX_RECORD_BYTES: usize = RECORD_TARGET_BYTES + MAX_JOB_BYTES + RECORD_OVERHEAD_BYTES;

/// Sizes that decide how jobs are copied.
#[derive(Clone, Copy, Debug)]
pub struct CopySizes {
    /// A job above this size is copied in parts, bytes.
    pub whole_job_bytes: usize,
    /// Approximate size at which no further job or result is added to a message, bytes.
    pub message_bytes: usize,
    /// Approximate size at which no further job or result is added to a record, bytes.
    pub record_bytes: usize,
}

impl Default for CopySizes {
    fn default() -> CopySizes {
        // Messages are smaller than records because many repairs may share a network link, and messages of other shards queue
        // behind them.
        CopySizes {
            whole_job_bytes: MAX_RESULT_BYTES,
            message_bytes: 256 << 10,
            record_bytes: RECORD_TARGET_BYTES,
        }
    }
}

/// How much of a job was copied in parts: the number of results that follow the job in the parts before; `None` before the first part.
pub(crate) type CopiedResults = Option<usize>;

/// Returns the part of a job that follows what was copied, of about `target_bytes`.
pub(crate) fn next_part(entry: &JobEntry, copied: CopiedResults, target_bytes: usize) -> JobPart {
    let first = copied.unwrap_or(0);
    let job = copied.is_none().then(|| (*entry.job).clone());
    let mut bytes = job.as_ref().map_or(0, job_bytes);
    let mut results = Vec::new();
    for result in entry.results.iter().skip(first) {
        if bytes >= target_bytes {
            break;
        }
        bytes += result_bytes(result);
        results.push(result.clone());
    }
    let is_last = first + results.len() == entry.results.len();
    JobPart {
        job_id: entry.job.id.clone(),
        job,
        first_result: first as u64,
        results,
        ended: is_last.then_some(entry.ended),
    }
}

/// Returns what was copied once a part was; `None` if the part was the last one.
pub(crate) fn copied_with(part: &JobPart) -> Option<usize> {
    part.ended.is_none().then(|| part.first_result as usize + part.results.len())
}

/// Returns all parts of a job, each of about `target_bytes`.
pub(crate) fn all_parts(entry: &JobEntry, target_bytes: usize) -> Vec<JobPart> {
    let mut parts = Vec::new();
    let mut copied = None;
    loop {
        let part = next_part(entry, copied, target_bytes);
        copied = copied_with(&part);
        parts.push(part);
        if copied.is_none() {
            return parts;
        }
    }
}

/// The parts that were received so far: of at most one job from each origin.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedParts {
    repair: Option<JobState>,
    rewrite: Option<JobState>,
}

impl ReceivedParts {
    /// Returns whether a part of a repair follows those received before. The first part of a job always does.
    pub(crate) fn follows_repair(&self, part: &JobPart) -> bool {
        part.job.is_some() || self.repair.as_ref().is_some_and(|before| is_followed_by(before, part))
    }

    /// Adds a part, and returns the job if that was its last one. The first part of a job replaces the parts of any other. A part that
    /// does not follow those received before is dropped with them.
    pub(crate) fn add(&mut self, origin: PartOrigin, part: JobPart) -> Option<JobState> {
        let received = match origin {
            PartOrigin::Repair => &mut self.repair,
            PartOrigin::Rewrite => &mut self.rewrite,
        };
        let mut state = match received.take().filter(|before| is_followed_by(before, &part)) {
            Some(before) => before,
            None => JobState { job: part.job?, results: Vec::new(), ended: false },
        };
        state.results.extend(part.results);
        let Some(ended) = part.ended else {
            *received = Some(state);
            return None;
        };
        state.ended = ended;
        Some(state)
    }

    /// Drops the parts of a repair; returns whether there were any.
    pub(crate) fn drop_repair(&mut self) -> bool {
        self.repair.take().is_some()
    }
}

fn is_followed_by(before: &JobState, part: &JobPart) -> bool {
    part.job.is_none() && before.job.id == part.job_id && before.results.len() as u64 == part.first_result
}
