//! Digests by range, so that two members find what differs without sending all of it.

use quillmount_wire::messages::{BucketDigest, ItemResult, Job, Phase};

/// Ranges of job digests in a shard.
pub const BUCKETS: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a, going on from `digest`.
fn fnv1a(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The range that a job belongs to.
pub fn bucket_of(job: &str) -> u32 {
    (fnv1a(FNV_OFFSET, job.as_bytes()) >> 32) as u32 % BUCKETS as u32
}

/// Digest of a job as it was submitted.
pub fn job_digest(job: &Job) -> u64 {
    let digest = fnv1a(FNV_OFFSET, job.id.as_bytes());
    job.items.iter().fold(digest, |digest, item| fnv1a(fnv1a(digest, item.id.as_bytes()), &item.body))
}

/// Digest after one more result.
pub fn result_digest(digest: u64, result: &ItemResult) -> u64 {
    let phase = match result.phase {
        Phase::Done => 1u8,
        Phase::DeadLetter => 2,
    };
    fnv1a(fnv1a(fnv1a(digest, &result.item.to_le_bytes()), &[phase]), result.text.as_bytes())
}

/// Digest after the end of a job.
pub fn end_digest(digest: u64) -> u64 {
    fnv1a(digest, b"ended")
}

/// Numbers of the buckets in which two members differ.
pub fn different_buckets(mine: &[BucketDigest], theirs: &[BucketDigest]) -> Vec<u32> {
    let differs = |bucket: &usize| mine.get(*bucket) != theirs.get(*bucket);
    (0..mine.len().max(theirs.len())).filter(differs).map(|bucket| bucket as u32).collect()
}
