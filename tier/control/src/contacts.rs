//! Whom a process asks next for the tables: addresses in turn, those that answer first.

use std::collections::HashMap;

/// Microseconds of a steady clock.
pub type Micros = u64;

/// An address that did not answer is passed over for so long, while there are others.
const AVOID_FOR: Micros = 1_500_000;
/// A member names a primary only if it heard it within this time, the way of the answer included: a hint about an address
/// that failed before then is news of it, one about an address that failed since may be older than its loss.
const HINT_AGE: Micros = 500_000;

/// Addresses in turn, and when each last did not answer.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    next: usize,
    failed: HashMap<String, Micros>,
}

impl Contacts {
    /// An address did not answer.
    pub fn record_failure(&mut self, address: &str, now: Micros) {
        self.failed.retain(|_, at| now.saturating_sub(*at) < AVOID_FOR);
        self.failed.insert(address.to_owned(), now);
    }

    /// Whether a hint to this address is newer than what is known of it here.
    pub fn may_follow(&self, address: &str, now: Micros) -> bool {
        self.failed.get(address).is_none_or(|at| now.saturating_sub(*at) >= HINT_AGE)
    }

    /// The next address that did not fail lately; where all did, the one that failed first.
    pub fn next_address(&mut self, addresses: &[String], now: Micros) -> Option<String> {
        for _ in 0..addresses.len() {
            self.next = (self.next + 1) % addresses.len();
            if self.recent_failure(&addresses[self.next], now).is_none() {
                return Some(addresses[self.next].clone());
            }
        }
        addresses.iter().min_by_key(|address| self.recent_failure(address, now)).cloned()
    }

    /// When an address failed, if that is not long ago.
    fn recent_failure(&self, address: &str, now: Micros) -> Option<Micros> {
        self.failed.get(address).copied().filter(|at| now.saturating_sub(*at) < AVOID_FOR)
    }
}
