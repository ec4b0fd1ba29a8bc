//! Auditor of a run: the outcomes of calls that clients have seen, and checks that nothing contradicts them.

use quillmount_batch::ShardJobs;
use quillmount_wire::messages::{ItemResult, ShardOperation};
use std::collections::{BTreeMap, BTreeSet};

/// Outcomes that clients have seen, and the number of checks.
#[derive(Default)]
pub struct Auditor {
    /// Jobs whose submission was acknowledged.
    pub acknowledged: BTreeSet<String>,
    /// Results that clients have read, by job.
    results: BTreeMap<String, Vec<ItemResult>>,
    /// Number of reads that were checked.
    pub reads: usize,
    /// Number of commits that were checked.
    pub commits: usize,
}

impl Auditor {
    /// Returns the number of results of a job that clients have read.
    pub fn results_read(&self, job: &str) -> usize {
        self.results.get(job).map_or(0, Vec::len)
    }

    /// Checks a confirmed read. `must_exist` and `min_results` give what the client had seen when it requested the
    /// read.
    pub fn check_read(
        &mut self,
        job: &str,
        found: Option<Vec<ItemResult>>,
        must_exist: bool,
        min_results: usize,
    ) {
        self.reads += 1;
        let Some(found) = found else {
            assert!(!must_exist, "LOST: job {job} was acknowledged and is not found");
            return;
        };
        assert!(
            found.len() >= min_results,
            "LOST: job {job} has {} results, but {min_results} were read before",
            found.len()
        );
        let read_results = self.results.entry(job.to_owned()).or_default();
        for (position, (new, old)) in found.iter().zip(read_results.iter()).enumerate() {
            assert_eq!(new, old, "TWICE: job {job}: position {position} has another result than before");
        }
        if found.len() > read_results.len() {
            *read_results = found;
        }
    }

    /// Checks that a committed operation is on enough disks.
    pub fn check_copies(&mut self, change: &ShardOperation, copies: usize, required: usize) {
        self.commits += 1;
        assert!(copies >= required, "COPIES: {copies} of {required} required disks have {change:?}");
    }

    /// Checks that recovery from the disk gives the jobs in memory.
    pub fn check_disk(&self, store: u32, disk: &ShardJobs, memory: &ShardJobs) {
        assert_eq!(
            disk.buckets(),
            memory.buckets(),
            "DISK: store {store} would recover other jobs than it has in memory"
        );
        assert_eq!(
            disk.next_operation, memory.next_operation,
            "DISK: store {store} would recover another operation number than it has in memory"
        );
    }

    /// Checks that caught-up members have the same jobs.
    pub fn check_members(&self, first: &ShardJobs, second: &ShardJobs) {
        assert_eq!(first.buckets(), second.buckets(), "MEMBERS: caught-up members differ");
    }
}
