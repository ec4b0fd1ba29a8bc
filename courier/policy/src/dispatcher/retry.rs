//! Decides whether and where a message may be retried, so that it does not take effect twice.

use super::message::PendingMessage;
use super::state::Dispatcher;
use crate::breaks::{self, Break};
use crate::ids::Micros;
use crate::settings::Effect;

/// Margin before the end of a deduplication span, microseconds; covers the network latency to the receiver.
pub const DEDUPLICATION_MARGIN: Micros = 100_000;
/// First back-off after consecutive refusals or failures, microseconds.
const BACKOFF_FIRST: f64 = 0.4 * 1e6;
/// Maximum back-off, microseconds.
const BACKOFF_MAX: f64 = 1.5 * 1e6;
/// Growth factor of the back-off with each further refusal or failure.
const BACKOFF_GROWTH: f64 = 1.5;

/// Returns the back-off after a failure that follows `earlier_failures` consecutive ones, microseconds.
pub fn backoff(earlier_failures: u32, jitter: f64) -> Micros {
    let delay = BACKOFF_FIRST * BACKOFF_GROWTH.powi(earlier_failures.min(20) as i32);
    (delay.min(BACKOFF_MAX) * jitter) as Micros
}

impl Dispatcher {
    /// Whether the message may be rejected. A rejection tells the client that it may safely submit the message again.
    pub(super) fn may_reject(&self, message: &PendingMessage) -> bool {
        let effect = self.settings.classes[message.class].effect;
        let is_repeatable =
            matches!(effect, Effect::Idempotent | Effect::Deduplicated { by_zone: false, .. });
        is_repeatable || message.first_possible_run().is_none() || breaks::is_enabled(Break::RefuseDebit)
    }

    /// Whether the attempts so far allow another one. [`Dispatcher::bound_zone`] restricts its zone.
    pub(super) fn may_send(&self, message: &PendingMessage) -> bool {
        let max_attempts = self.settings.max_attempts + u32::from(breaks::is_enabled(Break::AttemptTooMany));
        if message.attempts.len() as u32 >= max_attempts {
            return false;
        }
        let Some(first) = message.first_possible_run() else {
            return true;
        };
        match self.settings.classes[message.class].effect {
            Effect::Idempotent => true,
            Effect::Deduplicated { span, .. } if breaks::is_enabled(Break::RetryAtSpanEnd) => {
                self.now <= first.sent + span + 1
            }
            Effect::Deduplicated { span, .. } => self.now + DEDUPLICATION_MARGIN <= first.sent + span,
            Effect::NonIdempotent => false,
        }
    }

    /// The only zone that drops repeats of the message, since an earlier attempt may have run there. `None` if any
    /// zone is allowed.
    pub(super) fn bound_zone(&self, message: &PendingMessage) -> Option<u32> {
        let effect = self.settings.classes[message.class].effect;
        let by_zone = matches!(effect, Effect::Deduplicated { by_zone: true, .. });
        message.first_possible_run().filter(|_| by_zone).map(|first| first.zone)
    }

    /// Time from which no byte of a further attempt may be sent, since the receiver no longer drops a repeat then.
    ///
    /// A host that is still connecting or writing at that time abandons the call. Half of [`DEDUPLICATION_MARGIN`] is
    /// left for the network latency.
    pub(super) fn send_before(&self, message: &PendingMessage) -> Micros {
        let is_broken =
            breaks::is_enabled(Break::RetryAfterSpan) || breaks::is_enabled(Break::RetryAtSpanEnd);
        match (self.settings.classes[message.class].effect, message.first_possible_run()) {
            _ if is_broken => Micros::MAX,
            (Effect::Deduplicated { span, .. }, Some(first)) => first.sent + span - DEDUPLICATION_MARGIN / 2,
            _ => Micros::MAX,
        }
    }
}
