//! The fraction of a service's slots that the batch work of all senders may use.

use quillmount_wire::Micros;

/// Fraction of all slots that batch work leaves free in addition to those of live requests, as headroom for new requests.
const SPARE_FRACTION: f64 = 0.2;
/// Number of slots reserved for each slot that live requests currently need.
const LIVE_HEADROOM: f64 = 1.25;
/// Lower and upper bound of the fraction of slots for batch work.
const MIN_FRACTION: f64 = 0.35;
const MAX_FRACTION: f64 = 0.75;
/// Fraction in force until the load of live requests is known.
const INITIAL_FRACTION: f64 = 0.1;
/// Maximum increase of the fraction per second.
const GROWTH_PER_S: f64 = 0.15;

/// The fraction of a service's slots that batch work may use, with rate-limited growth.
///
/// The fraction decreases immediately and increases slowly: after an outage all clients retry at the same time, and batch items
/// must not occupy the slots first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchCapacity {
    fraction: f64,
    updated_at: Micros,
}

impl BatchCapacity {
    /// Starts with the initial fraction, 0.1, at the time `now`.
    pub fn new(now: Micros) -> BatchCapacity {
        BatchCapacity { fraction: INITIAL_FRACTION, updated_at: now }
    }

    /// Applies the fraction that live requests currently leave ([`batch_fraction`]), `None` if their load is unknown. Returns the
    /// fraction in force, which does not change while the load is unknown.
    pub fn update(&mut self, now: Micros, available: Option<f64>) -> f64 {
        let grown = self.fraction + GROWTH_PER_S * now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.updated_at = now;
        if let Some(available) = available {
            self.fraction = available.min(grown);
        }
        self.fraction
    }
}

/// The fraction of a service's slots that live requests leave for the batch work of all senders.
///
/// `live_slots` is the number of slots that live requests need, `capacity` the total number of slots of the service.
pub fn batch_fraction(live_slots: f64, capacity: u32) -> f64 {
    let live = live_slots / f64::from(capacity.max(1));
    (1.0 - SPARE_FRACTION - live * LIVE_HEADROOM).clamp(MIN_FRACTION, MAX_FRACTION)
}
