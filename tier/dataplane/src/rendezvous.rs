//! Rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996): processes agree on
//! an order of the endpoints for each key without communication.

/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// The fractional part of the golden ratio as a 64-bit fraction; makes the hash seeds of small keys differ in many bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// Shift and multiplier of a finalization step from SplitMix64, because FNV alone mixes the last bytes poorly.
const FINAL_SHIFT: u32 = 29;
const FINAL_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// Weight of an endpoint for a key, the same in every process. The endpoint with the highest weight is preferred.
pub(crate) fn weight(key: u64, endpoint: &str) -> u64 {
    let seed = key ^ GOLDEN_RATIO;
    let mixed = endpoint.bytes().fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    (mixed ^ (mixed >> FINAL_SHIFT)).wrapping_mul(FINAL_MULTIPLIER)
}

/// Weight of an endpoint for a key as a fraction, 0 or more and less than 1.
pub(crate) fn unit_fraction(key: u64, endpoint: &str) -> f64 {
    // The upper 53 bits, which is the size of the significand of an f64.
    (weight(key, endpoint) >> 11) as f64 / (1u64 << 53) as f64
}
