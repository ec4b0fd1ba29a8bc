//! Cache of this store's shares of the batch capacity of the endpoints.

use quillmount_dataplane::batch_share::{BatchCapacity, BatchShare};
use quillmount_wire::Micros;
use std::cell::RefCell;
use std::collections::HashMap;

/// Time for which a cached share is used before it is recomputed, microseconds.
const SHARE_TTL: Micros = 50_000;

/// The last computed share of a service's endpoints.
#[derive(Clone, Copy)]
struct CachedShare {
    /// Time of the computation.
    computed_at: Micros,
    share: BatchShare,
    batch_capacity: BatchCapacity,
}

/// Cached shares of the endpoints, by service.
#[derive(Default)]
pub struct BatchShares {
    shares: RefCell<HashMap<String, CachedShare>>,
}

impl BatchShares {
    /// Returns the share of a service's endpoints. If the cached share is older than [`SHARE_TTL`], `compute` derives a new share
    /// from the batch capacity, which it updates.
    pub fn get(
        &self,
        service: &str,
        now: Micros,
        compute: impl FnOnce(&mut BatchCapacity) -> BatchShare,
    ) -> BatchShare {
        let last_share = self.shares.borrow().get(service).copied();
        if let Some(cached) = last_share.filter(|cached| now.saturating_sub(cached.computed_at) < SHARE_TTL) {
            return cached.share;
        }
        let mut batch_capacity =
            last_share.map_or_else(|| BatchCapacity::new(now), |cached| cached.batch_capacity);
        let share = compute(&mut batch_capacity);
        let cached = CachedShare { computed_at: now, share, batch_capacity };
        self.shares.borrow_mut().insert(service.to_owned(), cached);
        share
    }
}
