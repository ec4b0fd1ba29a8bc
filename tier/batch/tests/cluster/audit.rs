//! What clients were promised, and checks that the promises are kept.

use quillmount_batch::ShardJobs;
use quillmount_wire::messages::{ItemResult, ShardOperation};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct Auditor {
    /// Jobs whose submission was acknowledged.
    pub acknowledged: BTreeSet<String>,
    /// Results that clients have read, by job.
    positions: BTreeMap<String, Vec<ItemResult>>,
    pub reads: usize,
    pub commits: usize,
}

impl Auditor {
    /// Number of results of a job that were read.
    pub fn listed(&self, job: &str) -> usize {
        self.positions.get(job).map_or(0, Vec::len)
    }

    /// A confirmed read; `must_exist` and `at_least` give what the client knew when it requested the read.
    pub fn read(&mut self, job: &str, found: Option<Vec<ItemResult>>, must_exist: bool, at_least: usize) {
        self.reads += 1;
        let Some(found) = found else {
            assert!(!must_exist, "LOST: job {job} was acknowledged and is not found");
            return;
        };
        assert!(found.len() >= at_least, "LOST: job {job} shows {} positions after {at_least}", found.len());
        let known = self.positions.entry(job.to_owned()).or_default();
        for (position, (new, old)) in found.iter().zip(known.iter()).enumerate() {
            assert_eq!(new, old, "TWICE: job {job}: position {position} holds another result than before");
        }
        if found.len() > known.len() {
            *known = found;
        }
    }

    /// A committed operation is on so many disks.
    pub fn copies(&mut self, change: &ShardOperation, copies: usize, needed: usize) {
        self.commits += 1;
        assert!(copies >= needed, "COPIES: {copies} of {needed} of {change:?}");
    }

    /// Recovery of the disk gives the jobs in memory.
    pub fn disk_agrees(&self, store: u32, disk: &ShardJobs, memory: &ShardJobs) {
        assert_eq!(disk.buckets(), memory.buckets(), "DISK: store {store} would start with other jobs");
        assert_eq!(disk.next, memory.next, "DISK: store {store} would start with another number");
    }

    /// Caught-up members have the same jobs.
    pub fn members_agree(&self, first: &ShardJobs, second: &ShardJobs) {
        assert_eq!(first.buckets(), second.buckets(), "MEMBERS: level members differ");
    }
}
