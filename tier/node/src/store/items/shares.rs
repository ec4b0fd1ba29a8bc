//! This store's shares of the endpoints, computed again when they are too old.

use quillmount_dataplane::batch_share::{BatchCapacity, BatchShare};
use quillmount_wire::Micros;
use std::cell::RefCell;
use std::collections::HashMap;

/// A share is used for this long before it is computed again, microseconds.
const SHARE_TTL: Micros = 50_000;

/// A share of a service's endpoints, as it was last computed.
#[derive(Clone, Copy)]
struct CachedShare {
    /// Moment of the computation.
    computed_at: Micros,
    share: BatchShare,
    batch_capacity: BatchCapacity,
}

/// Shares of the endpoints, by service.
#[derive(Default)]
pub struct BatchShares {
    shares: RefCell<HashMap<String, CachedShare>>,
}

impl BatchShares {
    /// The share of a service's endpoints at `now`. If the last one is too old, `compute`
    /// makes a new one from the capacity for batch items, which it updates.
    pub fn get(
        &self,
        service: &str,
        now: Micros,
        compute: impl FnOnce(&mut BatchCapacity) -> BatchShare,
    ) -> BatchShare {
        let known = self.shares.borrow().get(service).copied();
        if let Some(known) = known.filter(|known| now.saturating_sub(known.computed_at) < SHARE_TTL) {
            return known.share;
        }
        let mut batch_capacity = known.map_or_else(|| BatchCapacity::new(now), |known| known.batch_capacity);
        let share = compute(&mut batch_capacity);
        let cached = CachedShare { computed_at: now, share, batch_capacity };
        self.shares.borrow_mut().insert(service.to_owned(), cached);
        share
    }
}
