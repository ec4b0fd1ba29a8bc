//! The signals that a call in flight gets from its courier.

use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use std::cell::Cell;
use tokio::sync::Notify;

/// The signals to one call in flight; each stays set until the call has acted on it.
#[derive(Default)]
pub struct CallSignals {
    give_up: Cell<bool>,
    back_off: Cell<bool>,
    ended: Cell<bool>,
    expired: Cell<bool>,
    changed: Notify,
    /// Another process is to resume the call.
    handover: Notify,
}

impl CallSignals {
    /// Passes an input of the router on. A drain does not reach a call whose first byte may have left, and the others
    /// check at the gate.
    pub fn signal(&self, input: AttemptInput) {
        match input {
            AttemptInput::GiveUp => self.give_up.set(true),
            AttemptInput::BackOff => self.back_off.set(true),
            AttemptInput::MessageEnded => self.ended.set(true),
            _ => return,
        }
        self.changed.notify_one();
    }

    /// The call's time on its connection is over.
    pub fn expire(&self) {
        self.expired.set(true);
        self.changed.notify_one();
    }

    /// The call is to be released to another process.
    pub fn release(&self) {
        self.handover.notify_one();
    }

    /// Waits until the call is to be released to another process.
    pub async fn released(&self) {
        self.handover.notified().await;
    }

    /// Forgets a backoff from before the call's first byte: it is meant only for calls that have begun.
    pub fn clear_backoff(&self) {
        self.back_off.set(false);
    }

    /// Waits for the next signal that matters to a stream's attempt. The time of a stream's call counts from its last
    /// byte, which may be later than its message's time allows: it ends with its message.
    pub async fn next_for_stream(&self, state: AttemptState) -> AttemptInput {
        loop {
            if self.ended.get() && !matches!(state, AttemptState::Connecting | AttemptState::Writing { .. }) {
                return AttemptInput::Deadline;
            }
            if let Some(signal) = self.pending(state) {
                return signal;
            }
            self.changed.notified().await;
        }
    }

    /// Waits for the next signal that matters to an attempt in this state.
    pub async fn next(&self, state: AttemptState) -> AttemptInput {
        loop {
            if let Some(signal) = self.pending(state) {
                return signal;
            }
            self.changed.notified().await;
        }
    }

    fn pending(&self, state: AttemptState) -> Option<AttemptInput> {
        let unsent = matches!(state, AttemptState::Connecting | AttemptState::Writing { .. });
        match state {
            _ if self.give_up.get() => Some(AttemptInput::GiveUp),
            _ if unsent && self.ended.get() => Some(AttemptInput::MessageEnded),
            _ if self.expired.get() => Some(AttemptInput::Deadline),
            AttemptState::Writing { .. } if self.back_off.take() => Some(AttemptInput::BackOff),
            _ => None,
        }
    }
}
