//! Placement: which of several couriers a settlement goes to, by rendezvous hashing (Thaler and Ravishankar, 1998).

use super::command::JournalRef;
use crate::settlement::model::SettlementId;

/// The parameters of FNV-1a with 64 bits (Fowler, Noll, Vo).
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Ends each field, so that fields don't run into each other.
const FIELD_END: u8 = 0xff;
/// The factor of the final mix, from SplitMix64 (Steele, Lea, Flood, 2014).
const MIX_FACTOR: u64 = 0xbf58_476d_1ce4_e5b9;

/// The courier that this settlement goes to: the same at every courier, and spread evenly over all successors.
pub fn successor<'a>(id: &SettlementId, successors: &'a [JournalRef]) -> Option<&'a JournalRef> {
    successors.iter().max_by_key(|successor| (rendezvous_weight(id, &successor.courier), *successor))
}

/// FNV-1a with a final mix, implemented here because couriers of different builds have to
/// agree on it.
fn rendezvous_weight(id: &SettlementId, courier: &str) -> u64 {
    let fields = [id.tenant.as_bytes(), id.name.as_bytes(), &id.dest.to_le_bytes(), courier.as_bytes()];
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    let hash =
        fields.iter().fold(FNV_OFFSET_BASIS, |hash, field| step(field.iter().fold(hash, step), &FIELD_END));
    // Without the mix the last bytes alone would decide, and names often differ only there.
    (hash ^ (hash >> 29)).wrapping_mul(MIX_FACTOR)
}
