//! Selection of the core address that a process polls next.
//!
//! The caller polls the address that [`Contacts::next_address`] returns, reports each one that did not answer to
//! [`Contacts::record_failure`], and follows a member's hint to the primary only if [`Contacts::may_follow`] allows it.

use quillmount_wire::Micros;
use std::collections::HashMap;

/// Time for which an address that did not answer is skipped if there are others, microseconds.
const FAILURE_COOLDOWN: Micros = 1_500_000;
/// Upper bound on the age of a hint, including the transit of the answer, microseconds. A member names a primary only if
/// it recently received a message from it. A hint is therefore newer than a failure that is older than this, but may be
/// older than a more recent failure.
const MAX_HINT_AGE: Micros = 500_000;

/// Round-robin selection among the addresses of the core that skips recently failed ones.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    /// Index of the address that was returned last.
    last_returned: usize,
    /// When each address last failed to answer; entries older than [`FAILURE_COOLDOWN`] have no effect.
    failed_at: HashMap<String, Micros>,
}

impl Contacts {
    /// Records that a poll of this address failed or got no answer.
    pub fn record_failure(&mut self, address: &str, now: Micros) {
        self.failed_at.retain(|_, failed_at| now.saturating_sub(*failed_at) < FAILURE_COOLDOWN);
        self.failed_at.insert(address.to_owned(), now);
    }

    /// Whether a hint to this address is newer than the last failure of the address.
    #[must_use]
    pub fn may_follow(&self, address: &str, now: Micros) -> bool {
        self.failed_at.get(address).is_none_or(|failed_at| now.saturating_sub(*failed_at) >= MAX_HINT_AGE)
    }

    /// The next address without a recent failure; if all failed recently, the one that failed first. `None` if
    /// `addresses` is empty.
    pub fn next_address(&mut self, addresses: &[String], now: Micros) -> Option<String> {
        for _ in 0..addresses.len() {
            self.last_returned = (self.last_returned + 1) % addresses.len();
            let address = &addresses[self.last_returned];
            if self.recent_failure(address, now).is_none() {
                return Some(address.clone());
            }
        }
        addresses.iter().min_by_key(|address| self.recent_failure(address, now)).cloned()
    }

    /// When an address last failed; `None` if that was [`FAILURE_COOLDOWN`] ago or longer.
    fn recent_failure(&self, address: &str, now: Micros) -> Option<Micros> {
        self.failed_at
            .get(address)
            .copied()
            .filter(|failed_at| now.saturating_sub(*failed_at) < FAILURE_COOLDOWN)
    }
}
