//! Services whose endpoints had no capacity for a batch item when they were last asked.

use quillmount_wire::Micros;
use std::cell::RefCell;
use std::collections::HashMap;

/// Time after which a service is asked again even if no attempt at it has ended, microseconds. Its endpoints or the share of this
/// store may have changed.
const RECHECK_AFTER: Micros = 25_000;

/// Services without capacity, each with the time at which it was asked. Bounded by the services of the configurations.
#[derive(Default)]
pub struct FullServices {
    asked_at: RefCell<HashMap<String, Micros>>,
}

impl FullServices {
    /// Records that a service has no capacity.
    pub fn insert(&self, service: String, now: Micros) {
        self.asked_at.borrow_mut().insert(service, now);
    }

    /// Forgets a service at which capacity has become free.
    pub fn remove(&self, service: &str) {
        self.asked_at.borrow_mut().remove(service);
    }

    /// Returns whether a service has had no capacity within [`RECHECK_AFTER`].
    pub fn contains(&self, service: &str, now: Micros) -> bool {
        let asked_at = self.asked_at.borrow();
        asked_at.get(service).is_some_and(|asked_at| now.saturating_sub(*asked_at) < RECHECK_AFTER)
    }
}
