//! Room that batch work may take at endpoints, and the share of it that one of several senders has.
//!
//! Senders do not talk to each other: each knows how many items the others have, as the core last heard it. In one order of all
//! senders each has an interval of the whole as long as its share; an endpoint's places are dealt to the intervals with an
//! offset of its own, so that all senders together have each place once, and shares below one place come out right over all
//! endpoints.

use crate::endpoint_state::PREFILL_TOKENS_PER_MS;
use crate::rank::rank;
use quillmount_window::Micros;
use quillmount_wire::messages::Endpoint;

/// Time that an endpoint may need for reading the prompts of batch work that has not begun, all senders together,
/// milliseconds: live requests wait behind them.
const PREFILL_MS: f64 = 30.0;
/// Part of all places that stays free of live requests and batch work: for what the next moments bring.
const SPARE_FRACTION: f64 = 0.2;
/// Places kept for each place that live requests need now.
const LIVE_HEADROOM: f64 = 1.25;
/// Least and largest part of the places that batch work may fill.
const MIN_FRACTION: f64 = 0.35;
const MAX_FRACTION: f64 = 0.75;
/// Part of the room that is dealt evenly among senders that have items, so that new items begin before the others know of them.
const EVEN_FRACTION: f64 = 0.2;
/// Part of the places with which a sender begins, before it was told what live requests need.
const INITIAL_FRACTION: f64 = 0.1;
/// How fast that part may grow, a second.
const GROWTH_PER_S: f64 = 0.15;
/// Key of the offset with which an endpoint's places are dealt.
const OFFSET_KEY: u64 = 0x6f66_6673_6574;

/// Items that one sender has, waiting or running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderItems {
    pub sender: u64,
    pub items: u32,
}

/// The part of a service's places that batch work may fill, followed over time: it falls at once and grows slowly, so that
/// after an outage, when all clients come again at the same moment, items do not take the places first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchCapacity {
    fraction: f64,
    /// When it was last worked out.
    at: Micros,
}

impl BatchCapacity {
    pub fn new(now: Micros) -> BatchCapacity {
        BatchCapacity { fraction: INITIAL_FRACTION, at: now }
    }

    /// Takes the part that live requests leave now, as far as it is known; returns the part in force.
    pub fn update(&mut self, now: Micros, left: Option<f64>) -> f64 {
        let grown = self.fraction + GROWTH_PER_S * now.saturating_sub(self.at) as f64 / 1e6;
        self.at = now;
        if let Some(left) = left {
            self.fraction = left.min(grown);
        }
        self.fraction
    }
}

/// Part of the places of a service that batch work of all senders may fill: what live requests leave.
pub fn batch_fraction(live_places: f64, capacity: u32) -> f64 {
    let live = live_places / f64::from(capacity.max(1));
    (1.0 - SPARE_FRACTION - live * LIVE_HEADROOM).clamp(MIN_FRACTION, MAX_FRACTION)
}

/// How many items one sender may have at each endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchShare {
    /// Part of an endpoint's places for the batch work of all senders.
    fraction: f64,
    /// This sender's interval of the whole.
    from: f64,
    to: f64,
}

impl BatchShare {
    /// The share of `me`, which has at least one item. What `senders` say of it is passed over, and so are those without items.
    pub fn new(me: SenderItems, senders: &[SenderItems], fraction: f64) -> BatchShare {
        let me = SenderItems { items: me.items.max(1), ..me };
        let others = senders.iter().copied().filter(|other| other.items > 0 && other.sender != me.sender);
        let mut active: Vec<SenderItems> = others.chain([me]).collect();
        active.sort_by_key(|sender| sender.sender);
        let total: f64 = active.iter().map(|sender| f64::from(sender.items)).sum();
        let even = EVEN_FRACTION / active.len() as f64;
        let share = |sender: &SenderItems| even + (1.0 - EVEN_FRACTION) * f64::from(sender.items) / total;
        let from: f64 = active.iter().take_while(|sender| sender.sender != me.sender).map(share).sum();
        let last = active.last() == Some(&me);
        BatchShare { fraction, from, to: if last { 1.0 } else { from + share(&me) } }
    }

    /// Items that may be at this endpoint at once.
    pub(crate) fn max_in_flight(&self, endpoint: &Endpoint) -> u32 {
        let all = (f64::from(endpoint.capacity) * self.fraction).floor().max(1.0);
        let offset = (rank(OFFSET_KEY, &endpoint.id) >> 11) as f64 / (1u64 << 53) as f64;
        let dealt = |fraction: f64| (all * fraction + offset).floor();
        (dealt(self.to) - dealt(self.from)).max(0.0) as u32
    }

    /// Prompt tokens that this sender's items may leave to be read at one endpoint; one item may always be there.
    pub(crate) fn pending_prefill_tokens(&self) -> f64 {
        PREFILL_MS * PREFILL_TOKENS_PER_MS * (self.to - self.from)
    }
}
