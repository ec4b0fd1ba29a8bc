//! Placement: selects the courier that takes over a settlement by rendezvous hashing (Thaler and Ravishankar, 1998).

use super::command::JournalRef;
use crate::settlement::model::SettlementId;

/// Parameters of the 64-bit FNV-1a hash (Fowler, Noll, Vo).
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Terminates each hashed field, so that the boundaries between fields are part of the hash.
const FIELD_END: u8 = 0xff;
/// Multiplier of the final mix, from SplitMix64 (Steele, Lea, Flood, 2014).
const MIX_FACTOR: u64 = 0xbf58_476d_1ce4_e5b9;

/// Selects the successor for a settlement; `None` if there are no successors. All couriers select the same one, and
/// settlements are distributed evenly over the successors.
pub fn choose_successor<'a>(id: &SettlementId, successors: &'a [JournalRef]) -> Option<&'a JournalRef> {
    successors.iter().max_by_key(|successor| (rendezvous_weight(id, &successor.courier), *successor))
}

/// Computes FNV-1a with a final mix. It is implemented here because couriers of different builds must compute the
/// same weight.
fn rendezvous_weight(id: &SettlementId, courier: &str) -> u64 {
    let fields = [id.tenant.as_bytes(), id.name.as_bytes(), &id.dest.to_le_bytes(), courier.as_bytes()];
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    let hash =
        fields.iter().fold(FNV_OFFSET_BASIS, |hash, field| step(field.iter().fold(hash, step), &FIELD_END));
    // Without the mix the last bytes alone would determine the order, and names often differ only there.
    (hash ^ (hash >> 29)).wrapping_mul(MIX_FACTOR)
}
