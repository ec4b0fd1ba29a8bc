//! Fingerprints of states: 128 bits over all that matters for what comes next.

use quillmount_policy::{EndpointId, Micros, MsgId, StateVisitor};
use std::hash::{Hash, Hasher};

/// A hasher of states: two independent 64-bit mixes (the finalizer of MurmurHash3 over a running sum, with other constants
/// for each).
pub struct Fingerprint {
    one: u64,
    two: u64,
    now: Micros,
    /// Numbers that are in use, in order: with the reduction a name is its rank.
    ids: Option<(Vec<MsgId>, Vec<EndpointId>)>,
}

fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    z = (z ^ (z >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    z ^ (z >> 33)
}

impl Fingerprint {
    /// Names and times as they are.
    pub fn exact() -> Self {
        Fingerprint { one: 0x9E37_79B9_7F4A_7C15, two: 0x2545_F491_4F6C_DD1D, now: 0, ids: None }
    }

    /// Names by rank among these, which are in ascending order, and times relative to the present.
    pub fn canonical(messages: Vec<MsgId>, endpoints: Vec<EndpointId>) -> Self {
        Fingerprint { ids: Some((messages, endpoints)), ..Fingerprint::exact() }
    }

    /// Sets the present; hashes it, unless times are relative to it.
    pub fn start_at(&mut self, now: Micros) {
        if self.ids.is_some() {
            self.now = now;
        } else {
            self.visit_u64(now);
        }
    }

    /// Hashes a value by its `Hash`.
    pub fn hash(&mut self, value: &impl Hash) {
        value.hash(self);
    }

    /// The fingerprint of all that was hashed.
    pub fn digest(&self) -> u128 {
        u128::from(mix(self.one)) << 64 | u128::from(mix(self.two))
    }
}

impl StateVisitor for Fingerprint {
    fn visit_u64(&mut self, value: u64) {
        self.one = mix(self.one ^ value).wrapping_add(0x9E37_79B9_7F4A_7C15);
        self.two =
            (self.two.rotate_left(23) ^ value).wrapping_mul(0x9FB2_1C65_1E98_DF25).rotate_left(31) ^ self.one;
    }

    fn visit_time(&mut self, at: Micros) {
        match at {
            0 | Micros::MAX => self.visit_u64(at),
            _ => self.visit_u64(at.wrapping_sub(self.now).wrapping_add(1 << 62)),
        }
    }

    fn visit_message(&mut self, id: MsgId) {
        let rank = self.ids.as_ref().and_then(|(m, _)| m.binary_search(&id).ok());
        self.visit_u64(rank.map_or(id.wrapping_add(1 << 40), |n| n as u64));
    }

    fn visit_endpoint(&mut self, id: EndpointId) {
        let rank = self.ids.as_ref().and_then(|(_, e)| e.binary_search(&id).ok());
        self.visit_u64(rank.map_or(u64::from(id) + (1 << 40), |n| n as u64));
    }
}

impl Hasher for Fingerprint {
    fn finish(&self) -> u64 {
        mix(self.one)
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
