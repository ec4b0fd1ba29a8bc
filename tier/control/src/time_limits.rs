//! How long a process waits and for how long it trusts what it knows, derived from the bounds of the deployment.
//!
//! Each limit is a part of the bound that it has to stay within, and has a ceiling of its own: where a deployment allows much
//! time, nothing waits for longer than what was found to serve.

use crate::breaks::{self, Break};
use quillmount_wire::Micros;
use quillmount_wire::settings::Bounds;
use std::time::Duration;

/// A limit: a fraction of a bound, up to a ceiling.
struct Limit {
    fraction: f64,
    /// Milliseconds.
    ceiling_ms: f64,
}

/// A change or read of the control state.
const CHANGE: Limit = Limit { fraction: 0.75, ceiling_ms: 3_000.0 };
/// An answer of the primary.
const RECENT_ANSWER: Limit = Limit { fraction: 0.5, ceiling_ms: 1_500.0 };
/// Silence of the core before a process reads the list of endpoints itself.
const CORE_SILENCE: Limit = Limit { fraction: 0.4, ceiling_ms: 1_200.0 };
/// Age of the list that a primary publishes, counted from when its reading began.
const PUBLISHED_LIST: Limit = Limit { fraction: 0.25, ceiling_ms: 750.0 };
/// Time without a current list of the primary before a process reads the list itself although the core answers.
const CURRENT_LIST: Limit = Limit { fraction: 0.6, ceiling_ms: 1_800.0 };
/// Interval between two such readings.
const LIST_READING: Limit = Limit { fraction: 0.3, ceiling_ms: 900.0 };
/// Age of the configuration by which a request is refused.
const REFUSAL: Limit = Limit { fraction: 0.5, ceiling_ms: 1_500.0 };
/// Silence of an endpoint that runs an item.
const ITEM_SILENCE: Limit = Limit { fraction: 0.4, ceiling_ms: 4_000.0 };

impl Limit {
    fn of_ms(&self, bound_ms: f64) -> Duration {
        let limit_ms = (bound_ms * self.fraction).min(self.ceiling_ms);
        Duration::from_micros((limit_ms * 1000.0) as u64)
    }
}

/// The limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// A change or read of the control state that is not confirmed within this time is reported as uncertain: within `AckMs`, so
    /// that the operator can send it again.
    pub change: Duration,
    /// An answer of the primary counts as recent for this long: within `ContactMs`, in which a machine is in touch.
    pub recent_answer: Duration,
    /// After this silence of the core a process reads the list of endpoints itself: with one interval more, and the list's lag,
    /// within `DrainMs`, in which it has to stop sending to an endpoint that leaves.
    pub core_silence: Duration,
    /// A primary publishes its list for this long after its reading began; then it says that it has none that is current.
    pub published_list: Duration,
    /// A process whose last current list of the primary is older than this ([`CoreContact::list_age`]) reads the list itself: with the
    /// age of that list ([`TimeLimits::published_list`]) within `DrainMs`.
    ///
    /// [`CoreContact::list_age`]: crate::CoreContact::list_age
    pub current_list: Duration,
    /// Interval between two readings by a process that lacks the primary's.
    pub list_reading: Duration,
    /// A process whose newest answer of the primary is older than this refuses no request by its configuration, as a newer one may
    /// allow it: within `ApplyMs`, after which refusals have to follow the newer one, with the time for which a primary trusts its last
    /// contact with a majority.
    pub refusal: Duration,
    /// An endpoint that is silent for this long while it runs an item is given up: well within `CompleteS`, in which the item has
    /// to be listed.
    pub item_silence: Duration,
}

impl TimeLimits {
    /// Whether requests may be refused by the configuration in force: what the primary answered last ([`CoreContact::age`]) is so
    /// recent that a newer one, which may allow them, need not be in force here yet.
    ///
    /// [`CoreContact::age`]: crate::CoreContact::age
    #[must_use]
    pub fn may_refuse(&self, age: Micros) -> bool {
        age < self.refusal.as_micros() as Micros || breaks::is_enabled(Break::RefusesWithoutCore)
    }

    /// The limits under these bounds.
    #[must_use]
    pub fn new(bounds: &Bounds) -> TimeLimits {
        let without_break =
            |limit: Duration| if breaks::is_enabled(Break::NoOwnList) { Duration::MAX } else { limit };
        TimeLimits {
            change: CHANGE.of_ms(bounds.ack_ms),
            recent_answer: RECENT_ANSWER.of_ms(bounds.contact_ms),
            core_silence: without_break(CORE_SILENCE.of_ms(bounds.drain_ms)),
            published_list: PUBLISHED_LIST.of_ms(bounds.drain_ms),
            current_list: without_break(CURRENT_LIST.of_ms(bounds.drain_ms)),
            list_reading: LIST_READING.of_ms(bounds.drain_ms),
            refusal: REFUSAL.of_ms(bounds.apply_ms),
            item_silence: ITEM_SILENCE.of_ms(bounds.complete_s * 1000.0),
        }
    }
}
