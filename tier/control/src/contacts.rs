//! Which address of the core a process polls next.
//!
//! The caller polls the address that [`Contacts::next_address`] gives, reports each one that did not answer with
//! [`Contacts::record_failure`], and follows a member's hint to the primary only if [`Contacts::may_follow`] allows.

use quillmount_wire::Micros;
use std::collections::HashMap;

/// An address that did not answer is skipped for this time, as long as there are others; microseconds.
const AVOID_FOR: Micros = 1_500_000;
/// Upper bound on the age of a hint, microseconds: a member names a primary only if it heard from it within this
/// time, the transit of the answer included. A hint to an address that failed longer ago is newer than that failure;
/// a hint to one that failed since may be older than the failure.
const HINT_AGE: Micros = 500_000;

/// A round robin over the core's addresses that skips recent failures.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    /// Index of the address that was given last.
    last_index: usize,
    /// When each address last failed to answer; entries older than [`AVOID_FOR`] are without effect.
    failed: HashMap<String, Micros>,
}

impl Contacts {
    /// Records that an address did not answer.
    pub fn record_failure(&mut self, address: &str, now: Micros) {
        self.failed.retain(|_, at| now.saturating_sub(*at) < AVOID_FOR);
        self.failed.insert(address.to_owned(), now);
    }

    /// Whether a hint to this address is newer than its last failure here.
    #[must_use]
    pub fn may_follow(&self, address: &str, now: Micros) -> bool {
        self.failed.get(address).is_none_or(|at| now.saturating_sub(*at) >= HINT_AGE)
    }

    /// The next address that did not fail recently; if all did, the one whose failure is the oldest. `None` if there
    /// are no addresses.
    pub fn next_address(&mut self, addresses: &[String], now: Micros) -> Option<String> {
        for _ in 0..addresses.len() {
            self.last_index = (self.last_index + 1) % addresses.len();
            let address = &addresses[self.last_index];
            if self.recent_failure(address, now).is_none() {
                return Some(address.clone());
            }
        }
        addresses.iter().min_by_key(|address| self.recent_failure(address, now)).cloned()
    }

    /// When an address failed, if that was less than [`AVOID_FOR`] ago.
    fn recent_failure(&self, address: &str, now: Micros) -> Option<Micros> {
        self.failed.get(address).copied().filter(|at| now.saturating_sub(*at) < AVOID_FOR)
    }
}
