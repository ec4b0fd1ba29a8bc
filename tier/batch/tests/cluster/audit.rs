//! What clients learned of the outcomes of their calls, and checks that nothing contradicts it.

use quillmount_batch::ShardJobs;
use quillmount_wire::messages::{ItemResult, ShardOperation};
use std::collections::{BTreeMap, BTreeSet};

/// What clients know, and how much was checked.
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
    /// Number of results of a job that were read.
    pub fn listed(&self, job: &str) -> usize {
        self.results.get(job).map_or(0, Vec::len)
    }

    /// Checks a confirmed read; `must_exist` and `at_least` give what the client knew when it requested the read.
    pub fn read(&mut self, job: &str, found: Option<Vec<ItemResult>>, must_exist: bool, at_least: usize) {
        self.reads += 1;
        let Some(found) = found else {
            assert!(!must_exist, "LOST: job {job} was acknowledged and is not found");
            return;
        };
        assert!(found.len() >= at_least, "LOST: job {job} shows {} positions after {at_least}", found.len());
        let known = self.results.entry(job.to_owned()).or_default();
        for (position, (new, old)) in found.iter().zip(known.iter()).enumerate() {
            assert_eq!(new, old, "TWICE: job {job}: position {position} holds another result than before");
        }
        if found.len() > known.len() {
            *known = found;
        }
    }

    /// Checks that a committed operation is on so many disks.
    pub fn copies(&mut self, change: &ShardOperation, copies: usize, needed: usize) {
        self.commits += 1;
        assert!(copies >= needed, "COPIES: {copies} of {needed} of {change:?}");
    }

    /// Checks that recovery of the disk gives the jobs in memory.
    pub fn disk_agrees(&self, store: u32, disk: &ShardJobs, memory: &ShardJobs) {
        assert_eq!(disk.buckets(), memory.buckets(), "DISK: store {store} would start with other jobs");
        assert_eq!(
            disk.next_operation, memory.next_operation,
            "DISK: store {store} would start with another number"
        );
    }

    /// Checks that caught-up members have the same jobs.
    pub fn members_agree(&self, first: &ShardJobs, second: &ShardJobs) {
        assert_eq!(first.buckets(), second.buckets(), "MEMBERS: caught-up members differ");
    }
}
