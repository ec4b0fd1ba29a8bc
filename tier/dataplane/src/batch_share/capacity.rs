//! The fraction of a service's slots that the batch work of all senders may occupy.

use quillmount_wire::Micros;

/// Fraction of all slots that neither live requests nor batch work fill: headroom for requests that arrive next.
const SPARE_FRACTION: f64 = 0.2;
/// Slots reserved for each slot that live requests need now.
const LIVE_HEADROOM: f64 = 1.25;
/// Smallest and largest fraction of the slots that batch work may fill.
const MIN_FRACTION: f64 = 0.35;
const MAX_FRACTION: f64 = 0.75;
/// Fraction that applies before the load of live requests is known.
const INITIAL_FRACTION: f64 = 0.1;
/// Largest growth of the fraction in one second.
const GROWTH_PER_S: f64 = 0.15;

/// The fraction of a service's slots that batch work may fill, followed over time.
///
/// It falls at once and grows slowly: after an outage all clients retry at the same moment, and batch items must not take the
/// slots before them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchCapacity {
    fraction: f64,
    updated_at: Micros,
}

impl BatchCapacity {
    /// Starts with a small fraction at the time `now`.
    pub fn new(now: Micros) -> BatchCapacity {
        BatchCapacity { fraction: INITIAL_FRACTION, updated_at: now }
    }

    /// Applies the fraction that live requests leave now ([`batch_fraction`]), `None` if their load is unknown. Returns the
    /// fraction in force.
    pub fn update(&mut self, now: Micros, available: Option<f64>) -> f64 {
        let grown = self.fraction + GROWTH_PER_S * now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.updated_at = now;
        if let Some(available) = available {
            self.fraction = available.min(grown);
        }
        self.fraction
    }
}

/// Fraction of a service's slots that live requests leave to the batch work of all senders.
///
/// `live_slots` are the slots that live requests need, `capacity` all slots of the service's endpoints.
pub fn batch_fraction(live_slots: f64, capacity: u32) -> f64 {
    let live = live_slots / f64::from(capacity.max(1));
    (1.0 - SPARE_FRACTION - live * LIVE_HEADROOM).clamp(MIN_FRACTION, MAX_FRACTION)
}
