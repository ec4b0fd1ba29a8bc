//! The states that a search has visited, by their fingerprints.

use crate::fingerprint::Fingerprint;
use crate::world::World;
use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Mutex;

/// Shards of the table of states, so that threads seldom wait for each other.
const SHARDS: usize = 256;
/// Why the locks of the table can't be poisoned.
const NO_PANIC: &str = "no thread panics with it";

/// The hash of a fingerprint: its lower half, as a fingerprint is a hash already.
#[derive(Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.0 = self.0.rotate_left(8) ^ u64::from(*byte));
    }
    fn write_u128(&mut self, fingerprint: u128) {
        self.0 = fingerprint as u64;
    }
}

type Shard = HashSet<u128, BuildHasherDefault<IdentityHasher>>;

/// The fingerprints of all states visited, in shards by their upper bits.
pub(super) struct VisitedStates(Vec<Mutex<Shard>>);

impl VisitedStates {
    pub(super) fn new() -> Self {
        VisitedStates((0..SHARDS).map(|_| Mutex::default()).collect())
    }

    /// Adds a state; returns whether it is new.
    pub(super) fn insert(&self, state: u128) -> bool {
        let shard = &self.0[(state >> 120) as usize % SHARDS];
        shard.lock().expect(NO_PANIC).insert(state)
    }
}

/// The fingerprint of a state; with the reduction, of all states that count as one with it.
pub fn fingerprint(world: &World, reduction: bool) -> u128 {
    let mut fingerprint =
        if reduction { Fingerprint::canonical(world.active_ids()) } else { Fingerprint::exact() };
    world.hash_into(&mut fingerprint);
    fingerprint.digest()
}
