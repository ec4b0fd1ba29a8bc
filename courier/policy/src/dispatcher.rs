//! The decisions of a sender. Each module makes one kind of decision on the shared state in [`state`]:
//!
//! | module | decides or records |
//! |---|---|
//! | [`endpoint_list`] | which endpoints, routes and destinations there are |
//! | [`queue`] | submission, restore, waiting messages and the end of a message |
//! | [`key_order`] | the order of messages with the same key |
//! | [`value`], [`expiry`], [`shedding`] | a message's value by its age, when it expires undelivered, which one is rejected under load |
//! | [`retry`] | whether and where a message may be retried, and the back-off |
//! | [`window`], [`pacing`], [`slow_start`] | when a route may take a call |
//! | [`choice`], [`send`], [`dispatch`] | which message is sent next and to which endpoint, the call and its time-out |
//! | [`outcomes`], [`connections`], [`health`] | what the end of a call changes |
//! | [`visit`] | exposes the state for state-space exploration and for on-call staff |
//!
//! A route (a destination or, where its kind has separate routes, one of its endpoints) has a smoothed latency (CAL)
//! and a window of calls in flight, as in the algorithm of Gulati and Ahmad; DEPARTURE marks where the code deviates
//! from it (`docs/design.md`).

mod choice;
mod connections;
mod dispatch;
mod endpoint_list;
mod expiry;
mod health;
mod key_order;
mod message;
mod outcomes;
mod pacing;
mod queue;
mod retry;
mod route;
mod send;
mod shedding;
mod slow_start;
mod state;
mod time;
mod value;
mod visit;
mod window;

pub use state::Dispatcher;

use crate::actions::DispatchAction;
use crate::events::DispatchEvent;
use crate::ids::Micros;
use crate::settings::{Effect, Settings, SettingsError};
use endpoint_list::RESUBSCRIBE_FIRST;
use health::JITTER;
use quillmount_containers::random_unit;
use state::TenantShare;
use std::sync::Arc;
use time::{NEVER, SECOND};

/// Minimum time-out, as a fraction of the shortest deduplication span. The rest of the span leaves time for a retry.
const MIN_TIMEOUT_SHARE: f64 = 2.0 / 3.0;
/// Deduplication span from which the minimum time-out derives where no class has one, microseconds.
const DEFAULT_DEDUPLICATION_SPAN: Micros = 5 * SECOND;

impl Dispatcher {
    /// Creates an instance without messages; [`DispatchEvent::Restore`] adds those of an earlier process. `seed`
    /// initializes the random number generator.
    ///
    /// # Errors
    /// [`Settings::check`] rejects the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let spans = settings.classes.iter().filter_map(|class| match class.effect {
            Effect::Deduplicated { span, .. } => Some(span),
            _ => None,
        });
        let min_timeout = MIN_TIMEOUT_SHARE * spans.min().unwrap_or(DEFAULT_DEDUPLICATION_SPAN) as f64;
        let full_share = TenantShare { tokens: f64::MAX, counted_at: 0 };
        let tenant_shares = vec![full_share; settings.tenants.len()];
        let resubscribe_at = if settings.subscription_required { 0 } else { NEVER };
        Ok(Dispatcher {
            settings: Arc::new(settings),
            rng_state: seed,
            min_timeout,
            tenant_shares,
            timer_at: NEVER,
            resubscribe_at,
            resubscribe_delay: RESUBSCRIBE_FIRST,
            ..Self::default()
        })
    }

    /// Processes one batch of events that happened by `clock` (microseconds) and returns the actions to perform, in
    /// order.
    pub fn step(&mut self, clock: Micros, events: &[DispatchEvent]) -> Vec<DispatchAction> {
        self.now = self.now.max(clock);
        if self.timer_at <= self.now {
            self.timer_at = NEVER;
        }
        for event in events {
            self.on_event(event);
        }
        if self.resubscribe_at <= self.now {
            self.actions.push(DispatchAction::Subscribe);
            self.resubscribe_at = NEVER;
        }
        let wake_at = self.resubscribe_at.min(self.expire_due()).min(self.dispatch());
        self.shed();
        if wake_at < self.timer_at {
            self.timer_at = wake_at.max(self.now + 1);
            self.actions.push(DispatchAction::Timer { after: self.timer_at - self.now, tag: 0 });
        }
        std::mem::take(&mut self.actions)
    }

    fn on_event(&mut self, event: &DispatchEvent) {
        match event {
            DispatchEvent::List { kind, entries } => self.on_list(*kind, entries),
            DispatchEvent::Submit(message) => self.on_submit(message, None),
            DispatchEvent::Restore { message, past } => self.on_submit(message, Some(past)),
            DispatchEvent::Stop { stop_at } => self.stop_at = Some(*stop_at),
            DispatchEvent::Completed(completion) => self.on_completed(completion),
            DispatchEvent::Written { msg, attempt } => self.on_written(*msg, *attempt),
            DispatchEvent::Hangup { msg } => self.finish(*msg),
            // A timer only triggers the step. Health checks are never requested, and no decision depends on peers or
            // headers.
            DispatchEvent::Timer { .. }
            | DispatchEvent::ProbeCompleted { .. }
            | DispatchEvent::Peer { .. }
            | DispatchEvent::Headers { .. } => {}
        }
    }

    /// Draws a random factor around 1 for back-offs.
    fn jitter(&mut self) -> f64 {
        1.0 + JITTER * (2.0 * random_unit(&mut self.rng_state) - 1.0)
    }
}
