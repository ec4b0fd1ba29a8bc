//! Timeouts and maximum ages of cached data, derived from the bounds of the deployment.
//!
//! Each limit is a fraction of the bound that it has to stay within, up to a ceiling of its own. The ceiling keeps
//! waits at values that have proved sufficient, even if a deployment allows more time.

use crate::breaks::{self, Break};
use quillmount_wire::Micros;
use quillmount_wire::settings::SloSettings;
use std::time::Duration;

/// Rule that derives a limit: a fraction of a bound, up to a ceiling.
struct Limit {
    fraction: f64,
    ceiling_ms: f64,
}

/// Time after which an unconfirmed change or read of the control state is uncertain; fraction of `AckMs`.
const CHANGE_TIMEOUT: Limit = Limit { fraction: 0.75, ceiling_ms: 3_000.0 };
/// Time for which an answer of the primary counts as recent; fraction of `ContactMs`.
const RECENT_ANSWER: Limit = Limit { fraction: 0.5, ceiling_ms: 1_500.0 };
/// Silence of the core after which a process fetches the endpoint list itself; fraction of `DrainMs`.
const CORE_SILENCE: Limit = Limit { fraction: 0.4, ceiling_ms: 1_200.0 };
/// Maximum age of the list that a primary publishes, counted from the start of its fetch; fraction of `DrainMs`.
const MAX_PUBLISHED_LIST_AGE: Limit = Limit { fraction: 0.25, ceiling_ms: 750.0 };
/// Time without a current list of the primary after which a process fetches the list itself although the core
/// answers; fraction of `DrainMs`.
const MAX_CURRENT_LIST_AGE: Limit = Limit { fraction: 0.6, ceiling_ms: 1_800.0 };
/// Interval between two direct fetches of the list; fraction of `DrainMs`.
const DIRECT_FETCH_INTERVAL: Limit = Limit { fraction: 0.3, ceiling_ms: 900.0 };
/// Maximum age of a configuration that may cause a request to be refused; fraction of `ApplyMs`.
const MAX_REFUSAL_AGE: Limit = Limit { fraction: 0.5, ceiling_ms: 1_500.0 };
/// Silence of an endpoint after which the item that it runs is given up; fraction of `CompleteS`.
const ITEM_SILENCE: Limit = Limit { fraction: 0.4, ceiling_ms: 4_000.0 };

impl Limit {
    fn of_ms(&self, bound_ms: f64) -> Duration {
        let limit_ms = (bound_ms * self.fraction).min(self.ceiling_ms);
        Duration::from_micros((limit_ms * 1000.0) as u64)
    }
}

/// Timeouts and maximum ages of cached data that a process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// Time after which a change or read of the control state that is not confirmed is reported as uncertain. It is
    /// within `AckMs`, so that the operator can retry.
    pub change_timeout: Duration,
    /// Time for which an answer of the primary counts as recent. It is within `ContactMs`, the bound on the time in
    /// which a machine has to be in contact with the core.
    pub recent_answer: Duration,
    /// Silence of the core after which a process fetches the endpoint list itself. Together with one fetch interval
    /// and the lag of the platform's list it is within `DrainMs`, the time in which a process has to stop sending to
    /// an endpoint that is draining.
    pub core_silence: Duration,
    /// Time after the start of a fetch for which a primary publishes the fetched list. After that it answers that it
    /// has no current list.
    pub max_published_list_age: Duration,
    /// Maximum age of a process's last current list from the primary ([`CoreContact::list_age`]) before the process
    /// fetches the list itself. Together with the age of that list when it was published
    /// ([`TimeLimits::max_published_list_age`]) it is within `DrainMs`.
    ///
    /// [`CoreContact::list_age`]: crate::CoreContact::list_age
    pub max_current_list_age: Duration,
    /// Interval between two fetches of the list by a process that has no current list from the primary.
    pub direct_fetch_interval: Duration,
    /// Maximum age of the primary's newest answer at which a process still refuses requests based on its
    /// configuration; a newer configuration may allow them. Together with the time for which a primary serves its
    /// state without contact with a majority it is within `ApplyMs`, after which refusals have to follow the newer
    /// configuration.
    pub max_refusal_age: Duration,
    /// Silence of an endpoint after which the item that it runs is given up there. It is well within `CompleteS`, the
    /// time in which a completed item has to be listed.
    pub item_silence: Duration,
}

impl TimeLimits {
    /// Whether requests may be refused based on the configuration of this process. `age` is that of the primary's
    /// last answer ([`CoreContact::configuration_age`]), microseconds; if it is small enough, a newer configuration that allows the
    /// requests need not be applied here yet.
    ///
    /// [`CoreContact::configuration_age`]: crate::CoreContact::configuration_age
    #[must_use]
    pub fn may_refuse(&self, age: Micros) -> bool {
        age < self.max_refusal_age.as_micros() as Micros || breaks::is_enabled(Break::RefusesWithoutCore)
    }

    /// Derives the limits from the bounds of the deployment.
    #[must_use]
    pub fn new(bounds: &SloSettings) -> TimeLimits {
        let unless_disabled =
            |limit: Duration| if breaks::is_enabled(Break::NoOwnList) { Duration::MAX } else { limit };
        TimeLimits {
            change_timeout: CHANGE_TIMEOUT.of_ms(bounds.ack_ms),
            recent_answer: RECENT_ANSWER.of_ms(bounds.contact_ms),
            core_silence: unless_disabled(CORE_SILENCE.of_ms(bounds.drain_ms)),
            max_published_list_age: MAX_PUBLISHED_LIST_AGE.of_ms(bounds.drain_ms),
            max_current_list_age: unless_disabled(MAX_CURRENT_LIST_AGE.of_ms(bounds.drain_ms)),
            direct_fetch_interval: DIRECT_FETCH_INTERVAL.of_ms(bounds.drain_ms),
            max_refusal_age: MAX_REFUSAL_AGE.of_ms(bounds.apply_ms),
            item_silence: ITEM_SILENCE.of_ms(bounds.complete_s * 1000.0),
        }
    }
}
