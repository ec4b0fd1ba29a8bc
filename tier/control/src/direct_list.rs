//! When a process reads the platform's list of endpoints itself: while the core is silent, or answers without a current list.
//!
//! The caller asks [`DirectReadings::is_due`] often, reads the list whenever that says so, and uses what it read if
//! [`lacks_current_list`] still holds then.

use crate::core_contact::CoreContact;
use crate::time_limits::TimeLimits;
use quillmount_wire::Micros;

/// The readings of one process. The caller passes the time in.
#[derive(Clone, Copy, Debug)]
pub struct DirectReadings {
    /// Turns come at [`TimeLimits::list_reading`]: those of processes that started at different times are spread when the core falls
    /// silent for all of them.
    next_turn: Micros,
    /// When the last reading began.
    began: Micros,
}

impl DirectReadings {
    /// No reading yet, in a process that starts now.
    #[must_use]
    pub fn new(limits: &TimeLimits, now: Micros) -> DirectReadings {
        DirectReadings { next_turn: now + limits.list_reading.as_micros() as Micros, began: 0 }
    }

    /// Whether a reading is to begin now. A silent core is looked at in each turn; a list that is too old does not wait for one.
    pub fn is_due(&mut self, contact: &CoreContact, limits: &TimeLimits, now: Micros) -> bool {
        let interval = limits.list_reading.as_micros() as Micros;
        let is_turn = now >= self.next_turn;
        if is_turn {
            self.next_turn = now + interval;
        }
        let has_old_list = has_old_list(contact, limits, now) && now >= self.began + interval;
        // A process that the core never answered has no list that could be too old.
        let is_due = contact.has_ever_answered()
            && (has_old_list || (is_turn && is_core_silent(contact, limits, now)));
        if is_due {
            self.began = now;
        }
        is_due
    }
}

/// Whether a process relies on its own reading of the list: the core is silent, or has had no current list for too long.
#[must_use]
pub fn lacks_current_list(contact: &CoreContact, limits: &TimeLimits, now: Micros) -> bool {
    is_core_silent(contact, limits, now) || has_old_list(contact, limits, now)
}

fn is_core_silent(contact: &CoreContact, limits: &TimeLimits, now: Micros) -> bool {
    u128::from(contact.silence(now)) > limits.core_silence.as_micros()
}

fn has_old_list(contact: &CoreContact, limits: &TimeLimits, now: Micros) -> bool {
    u128::from(contact.list_age(now)) > limits.current_list.as_micros()
}
