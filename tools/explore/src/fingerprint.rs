//! Fingerprints of states: 128 bits over all that matters for what comes next.

use quillmount_policy::{EndpointId, Micros, MsgId, StateVisitor};
use std::hash::{Hash, Hasher};

/// Where the first mix begins, and what it adds at each step: 2^64 divided by the golden ratio.
const FIRST_SEED: u64 = 0x9E37_79B9_7F4A_7C15;
/// Where the second mix begins.
const SECOND_SEED: u64 = 0x2545_F491_4F6C_DD1D;
/// What the second mix multiplies by at each step.
const SECOND_FACTOR: u64 = 0x9FB2_1C65_1E98_DF25;
/// The present among relative times, far from 0 and from the end of the clock, which stand for "never".
const RELATIVE_TIME_ZERO: u64 = 1 << 62;
/// Added to ids that have no rank, so that they are none of the ranks.
const UNRANKED: u64 = 1 << 40;

/// Numbers of messages and of endpoints that are in use, both in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActiveIds {
    /// Numbers of messages.
    pub messages: Vec<MsgId>,
    /// Numbers of endpoints.
    pub endpoints: Vec<EndpointId>,
}

/// A hasher of states: two independent 64-bit mixes (the finalizer of MurmurHash3 over a running sum, with other constants
/// for each).
pub struct Fingerprint {
    first: u64,
    second: u64,
    /// The present, where times are relative to it.
    now: Micros,
    /// With the reduction: an id is hashed as its rank among these.
    ids: Option<ActiveIds>,
}

/// The finalizer of MurmurHash3.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

impl Fingerprint {
    /// Ids and times as they are.
    pub fn exact() -> Self {
        Fingerprint { first: FIRST_SEED, second: SECOND_SEED, now: 0, ids: None }
    }

    /// Ids by rank among the active ones, and times relative to the present.
    pub fn canonical(ids: ActiveIds) -> Self {
        Fingerprint { ids: Some(ids), ..Fingerprint::exact() }
    }

    /// Sets the present; hashes it, unless times are relative to it.
    pub fn start_at(&mut self, now: Micros) {
        if self.ids.is_some() {
            self.now = now;
        } else {
            self.visit_u64(now);
        }
    }

    /// Hashes the number that the next message gets, unless ids count by their ranks: it is above all others in any case.
    pub fn visit_next_number(&mut self, number: MsgId) {
        if self.ids.is_none() {
            self.visit_u64(number);
        }
    }

    /// Hashes a value by its `Hash`.
    pub fn hash(&mut self, value: &impl Hash) {
        value.hash(self);
    }

    /// The fingerprint of all that was hashed.
    pub fn digest(&self) -> u128 {
        u128::from(mix(self.first)) << 64 | u128::from(mix(self.second))
    }
}

impl StateVisitor for Fingerprint {
    fn visit_u64(&mut self, value: u64) {
        self.first = mix(self.first ^ value).wrapping_add(FIRST_SEED);
        let mixed = (self.second.rotate_left(23) ^ value).wrapping_mul(SECOND_FACTOR);
        self.second = mixed.rotate_left(31) ^ self.first;
    }

    fn visit_time(&mut self, at: Micros) {
        match at {
            0 | Micros::MAX => self.visit_u64(at),
            _ => self.visit_u64(at.wrapping_sub(self.now).wrapping_add(RELATIVE_TIME_ZERO)),
        }
    }

    fn visit_message(&mut self, id: MsgId) {
        let rank = self.ids.as_ref().and_then(|ids| ids.messages.binary_search(&id).ok());
        self.visit_u64(rank.map_or(id.wrapping_add(UNRANKED), |rank| rank as u64));
    }

    fn visit_endpoint(&mut self, id: EndpointId) {
        let rank = self.ids.as_ref().and_then(|ids| ids.endpoints.binary_search(&id).ok());
        self.visit_u64(rank.map_or(u64::from(id) + UNRANKED, |rank| rank as u64));
    }
}

impl Hasher for Fingerprint {
    fn finish(&self) -> u64 {
        mix(self.first)
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut buffer = [0; 8];
            buffer[..chunk.len()].copy_from_slice(chunk);
            self.visit_u64(u64::from_le_bytes(buffer));
        }
        self.visit_u64(bytes.len() as u64);
    }

    fn write_u8(&mut self, n: u8) {
        self.visit_u64(n.into());
    }
    fn write_u32(&mut self, n: u32) {
        self.visit_u64(n.into());
    }
    fn write_u64(&mut self, n: u64) {
        self.visit_u64(n);
    }
    fn write_usize(&mut self, n: usize) {
        self.visit_u64(n as u64);
    }
    fn write_isize(&mut self, n: isize) {
        self.visit_u64(n as u64);
    }
}
