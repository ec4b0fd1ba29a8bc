//! Rendezvous hashing: an order of endpoints that all processes agree on without talking.

/// Rank of an endpoint for a key, the same at every process.
pub(crate) fn rank(key: u64, endpoint: &str) -> u64 {
    let seed = key ^ 0x9e37_79b9_7f4a_7c15;
    let mixed = endpoint
        .bytes()
        .fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3));
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
