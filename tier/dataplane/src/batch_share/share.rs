//! Division of the batch capacity among senders that do not communicate with each other.
//!
//! Each sender knows how many items the others have, as the core last reported it. Ordered by their ids, the senders divide the
//! interval from 0 to 1 in proportion to their items. The batch slots of an endpoint are spread over the same interval, shifted
//! by an offset that depends on the endpoint. So all senders together use each slot exactly once, and shares of less than one
//! slot come out right on average over all endpoints.

use crate::prefill::PREFILL_TOKENS_PER_MS;
use crate::rendezvous;
use quillmount_wire::messages::Endpoint;

/// Prefill time of the batch items of all senders that may be pending at one endpoint, milliseconds. Live requests queue behind
/// them.
const PENDING_PREFILL_MS: f64 = 30.0;
/// Fraction of the capacity that is divided evenly among the senders with items, so that new items can start before the other
/// senders know of them.
const EVEN_FRACTION: f64 = 0.2;
/// Key of an endpoint's offset ("offset" in ASCII).
const OFFSET_KEY: u64 = 0x6f66_6673_6574;

/// The number of batch items of one sender, queued or running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderItems {
    /// Id of the sender.
    pub sender: u64,
    /// Number of its items.
    pub items: u32,
}

/// How many batch items one sender may have in flight at each endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchShare {
    /// Fraction of an endpoint's slots for the batch work of all senders.
    fraction: f64,
    /// Bounds of this sender's interval, between 0 and 1.
    start: f64,
    end: f64,
}

impl BatchShare {
    /// The share of the sender `own`, which counts as having at least one item.
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
        // Exactly 1 for the last sender, so that rounding loses no slot.
        let end = if active.last() == Some(&own) { 1.0 } else { start + share(&own) };
        BatchShare { fraction, start, end }
    }

    /// Items of this sender that may be in flight at an endpoint.
    pub(crate) fn max_in_flight(&self, endpoint: &Endpoint) -> u32 {
        let batch_slots = (f64::from(endpoint.capacity) * self.fraction).floor().max(1.0);
        let offset = rendezvous::unit_fraction(OFFSET_KEY, &endpoint.id);
        let slots_below = |bound: f64| (batch_slots * bound + offset).floor();
        (slots_below(self.end) - slots_below(self.start)).max(0.0) as u32
    }

    /// Prompt tokens that may be pending at an endpoint before this sender sends another item there.
    pub(crate) fn pending_prefill_tokens(&self) -> f64 {
        PENDING_PREFILL_MS * PREFILL_TOKENS_PER_MS * (self.end - self.start)
    }
}
