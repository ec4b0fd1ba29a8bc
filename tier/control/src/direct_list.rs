//! When a process fetches the endpoint list from the platform itself: while the core does not answer, or answers
//! without a current list.
//!
//! The caller calls [`DirectFetchSchedule::is_due`] often, fetches the list whenever it returns true, and uses the
//! result if [`lacks_current_list`] is still true after the fetch.

use crate::core_contact::CoreContact;
use crate::time_limits::TimeLimits;
use quillmount_wire::Micros;

/// Schedules the direct fetches of one process. The caller passes in the current time.
#[derive(Clone, Copy, Debug)]
pub struct DirectFetchSchedule {
    /// Next scheduled time; one follows every [`TimeLimits::direct_fetch_interval`]. The schedule begins when the
    /// process starts, so when the core stops answering all processes, those that started at different times fetch at
    /// different times.
    next_scheduled_at: Micros,
    /// When the last fetch started; 0 before the first.
    last_started_at: Micros,
}

impl DirectFetchSchedule {
    /// A schedule without a fetch yet, for a process that starts at `now`.
    #[must_use]
    pub fn new(limits: &TimeLimits, now: Micros) -> DirectFetchSchedule {
        DirectFetchSchedule {
            next_scheduled_at: now + limits.direct_fetch_interval.as_micros() as Micros,
            last_started_at: 0,
        }
    }

    /// Whether to start a fetch now. A silent core leads to a fetch only at scheduled times; a list that is too old
    /// leads to one as soon as one interval has passed since the last fetch.
    pub fn is_due(&mut self, contact: &CoreContact, limits: &TimeLimits, now: Micros) -> bool {
        let interval = limits.direct_fetch_interval.as_micros() as Micros;
        let is_scheduled = now >= self.next_scheduled_at;
        if is_scheduled {
            self.next_scheduled_at = now + interval;
        }
        let has_stale_list = has_stale_list(contact, limits, now) && now >= self.last_started_at + interval;
        // A process that the core has never answered has no list that could be too old.
        let is_due = contact.has_ever_answered()
            && (has_stale_list || (is_scheduled && is_core_silent(contact, limits, now)));
        if is_due {
            self.last_started_at = now;
        }
        is_due
    }
}

/// Whether a process uses the list that it fetched itself: the core is silent, or has had no current list for too long.
#[must_use]
pub fn lacks_current_list(contact: &CoreContact, limits: &TimeLimits, now: Micros) -> bool {
    is_core_silent(contact, limits, now) || has_stale_list(contact, limits, now)
}

fn is_core_silent(contact: &CoreContact, limits: &TimeLimits, now: Micros) -> bool {
    u128::from(contact.silence(now)) > limits.core_silence.as_micros()
}

fn has_stale_list(contact: &CoreContact, limits: &TimeLimits, now: Micros) -> bool {
    u128::from(contact.list_age(now)) > limits.max_current_list_age.as_micros()
}
