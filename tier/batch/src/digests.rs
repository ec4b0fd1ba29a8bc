//! Digests of jobs and of buckets of jobs. Two members compare them to find the jobs in which they differ without
//! sending all jobs.
//!
//! Members that run different versions compare these digests, so their computation is part of the protocol.

use quillmount_wire::messages::{BucketDigest, ItemResult, Job, Phase};

/// Number of buckets of a shard; a hash of a job's id selects its bucket.
pub const BUCKETS: usize = 64;

/// Offset basis and prime of 64-bit FNV-1a (Fowler, Noll and Vo).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Continues an FNV-1a hash with further bytes.
fn fnv1a(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the number of the bucket that a job belongs to.
pub fn bucket_of(job: &str) -> u32 {
    (fnv1a(FNV_OFFSET, job.as_bytes()) >> 32) as u32 % BUCKETS as u32
}

/// Returns the digest of a job without results: its id, and the ids and bodies of its items.
pub(crate) fn job_digest(job: &Job) -> u64 {
    let digest = fnv1a(FNV_OFFSET, job.id.as_bytes());
    job.items.iter().fold(digest, |digest, item| fnv1a(fnv1a(digest, item.id.as_bytes()), &item.body))
}

/// Returns the digest of a job after a result is appended.
pub(crate) fn result_digest(digest: u64, result: &ItemResult) -> u64 {
    let phase = match result.phase {
        Phase::Done => 1u8,
        Phase::DeadLetter => 2,
    };
    fnv1a(fnv1a(fnv1a(digest, &result.item.to_le_bytes()), &[phase]), result.text.as_bytes())
}

/// Returns the digest of a job after its end.
pub(crate) fn end_digest(digest: u64) -> u64 {
    fnv1a(digest, b"ended")
}

/// Returns the numbers of the buckets whose digests differ between two members.
pub fn different_buckets(local: &[BucketDigest], remote: &[BucketDigest]) -> Vec<u32> {
    let differs = |bucket: &usize| local.get(*bucket) != remote.get(*bucket);
    (0..local.len().max(remote.len())).filter(differs).map(|bucket| bucket as u32).collect()
}
