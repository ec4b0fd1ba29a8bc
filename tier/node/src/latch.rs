//! A flag that is set once, and that tasks can wait for.

use std::cell::Cell;
use tokio::sync::Notify;

/// A flag that stays set once it is set.
#[derive(Debug, Default)]
pub struct Latch {
    set: Cell<bool>,
    changed: Notify,
}

impl Latch {
    /// Sets the flag and wakes all who wait for it.
    pub fn set(&self) {
        self.set.set(true);
        self.changed.notify_waiters();
    }

    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.set.get()
    }

    /// Waits until the flag is set.
    pub async fn wait(&self) {
        // Created before the check, so that no notification is missed.
        let changed = self.changed.notified();
        if !self.is_set() {
            changed.await;
        }
    }
}
