//! Digests of jobs, and of buckets of jobs, by which two members find their differences without sending all jobs.
//!
//! Members of different versions compare these digests: how they are computed is part of the protocol.

use quillmount_wire::messages::{BucketDigest, ItemResult, Job, Phase};

/// Number of buckets of a shard; a job's bucket is given by a hash of its id.
pub const BUCKETS: usize = 64;

/// Offset basis and prime of FNV-1a with 64 bits (Fowler, Noll and Vo).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a over further bytes, from the digest of those before.
fn fnv1a(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Number of the bucket that a job belongs to.
pub fn bucket_of(job: &str) -> u32 {
    (fnv1a(FNV_OFFSET, job.as_bytes()) >> 32) as u32 % BUCKETS as u32
}

/// Digest of a job without results: its id, and ids and bodies of its items.
pub(crate) fn job_digest(job: &Job) -> u64 {
    let digest = fnv1a(FNV_OFFSET, job.id.as_bytes());
    job.items.iter().fold(digest, |digest, item| fnv1a(fnv1a(digest, item.id.as_bytes()), &item.body))
}

/// Digest after one more result.
pub(crate) fn result_digest(digest: u64, result: &ItemResult) -> u64 {
    let phase = match result.phase {
        Phase::Done => 1u8,
        Phase::DeadLetter => 2,
    };
    fnv1a(fnv1a(fnv1a(digest, &result.item.to_le_bytes()), &[phase]), result.text.as_bytes())
}

/// Digest after the end of a job.
pub(crate) fn end_digest(digest: u64) -> u64 {
    fnv1a(digest, b"ended")
}

/// Numbers of the buckets in which two members differ.
pub fn different_buckets(mine: &[BucketDigest], theirs: &[BucketDigest]) -> Vec<u32> {
    let differs = |bucket: &usize| mine.get(*bucket) != theirs.get(*bucket);
    (0..mine.len().max(theirs.len())).filter(differs).map(|bucket| bucket as u32).collect()
}
