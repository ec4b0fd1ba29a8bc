//! The mapping of jobs to shards. It must never change, because it is used to find stored jobs.

/// Number of shards of a deployment; fixed because stored jobs are located by it.
pub const SHARDS: usize = 16;

/// Offset basis of the 64-bit FNV-1a hash (Fowler-Noll-Vo).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The shard that contains a job, in the range `0..shards`: the 64-bit FNV-1a hash of the job's id modulo `shards`.
#[must_use]
pub fn shard_of(job: &str, shards: usize) -> u32 {
    let digest =
        job.bytes().fold(FNV_OFFSET, |digest, byte| (digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    (digest % shards.max(1) as u64) as u32
}
