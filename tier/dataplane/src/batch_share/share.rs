//! Division of the batch capacity among senders that do not communicate with each other.
//!
//! The core reports to each sender how many items the others have. The senders, ordered by id, divide the interval from 0 to 1 in
//! proportion to their items. The batch slots of an endpoint are spread over the same interval, shifted by an offset that depends
//! on the endpoint. Each slot therefore belongs to exactly one sender, and a share of less than one slot per endpoint is correct on
//! average over all endpoints.

use crate::prefill::PREFILL_TOKENS_PER_MS;
use crate::rendezvous;
use quillmount_wire::messages::Endpoint;

/// Maximum prefill time of pending batch items of all senders at one endpoint, milliseconds. Live requests queue behind these
/// items.
const MAX_PENDING_PREFILL_MS: f64 = 30.0;
/// Fraction of the capacity that is divided evenly among the senders with items, so that a sender can start new items before the
/// core has reported them to the others.
const EVEN_FRACTION: f64 = 0.2;
/// Hash key for the offset of an endpoint ("offset" in ASCII).
const OFFSET_KEY: u64 = 0x6f66_6673_6574;

/// The number of batch items of one sender, queued or running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderItems {
    /// Id of the sender; its rank determines the sender's interval.
    pub sender: u64,
    /// Number of queued and running items.
    pub items: u32,
}

/// Limit on the batch items that one sender may have in flight at each endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchShare {
    /// Fraction of an endpoint's slots for the batch work of all senders, between 0 and 1.
    fraction: f64,
    /// Bounds of this sender's interval, between 0 and 1.
    start: f64,
    end: f64,
}

impl BatchShare {
    /// Computes the share of the sender `own`, which counts as having at least one item.
    ///
    /// `senders` are the reported senders; a report about `own` itself and senders without items are ignored. `fraction` is the
    /// fraction of the slots for the batch work of all senders ([`BatchCapacity`](super::BatchCapacity)).
    pub fn new(own: SenderItems, senders: &[SenderItems], fraction: f64) -> BatchShare {
        let own = SenderItems { items: own.items.max(1), ..own };
        let others = senders.iter().copied().filter(|other| other.items > 0 && other.sender != own.sender);
        let mut active: Vec<SenderItems> = others.chain([own]).collect();
        active.sort_by_key(|sender| sender.sender);

        let total: f64 = active.iter().map(|sender| f64::from(sender.items)).sum();
        let even = EVEN_FRACTION / active.len() as f64;
        let share = |sender: &SenderItems| even + (1.0 - EVEN_FRACTION) * f64::from(sender.items) / total;
        let start: f64 = active.iter().take_while(|sender| sender.sender != own.sender).map(share).sum();
        // Exactly 1 for the last sender, so that no slot is lost by rounding.
        let end = if active.last() == Some(&own) { 1.0 } else { start + share(&own) };
        BatchShare { fraction, start, end }
    }

    /// Maximum number of items of this sender in flight at an endpoint.
    pub(crate) fn max_in_flight(&self, endpoint: &Endpoint) -> u32 {
        let batch_slots = (f64::from(endpoint.capacity) * self.fraction).floor().max(1.0);
        let offset = rendezvous::unit_fraction(OFFSET_KEY, &endpoint.id);
        let slots_below = |bound: f64| (batch_slots * bound + offset).floor();
        (slots_below(self.end) - slots_below(self.start)).max(0.0) as u32
    }

    /// Number of pending prompt tokens at an endpoint from which on this sender sends no further item to it.
    pub(crate) fn max_pending_prefill_tokens(&self) -> f64 {
        MAX_PENDING_PREFILL_MS * PREFILL_TOKENS_PER_MS * (self.end - self.start)
    }
}
