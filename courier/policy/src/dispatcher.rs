//! The decisions of a sender. Each module decides one thing, on the one state in [`state`]:
//!
//! | module | decides or records |
//! |---|---|
//! | [`endpoint_list`] | which endpoints, routes and destinations there are |
//! | [`queue`] | submission, restore, the messages that wait and the end of one |
//! | [`key_order`] | the order of messages with the same key |
//! | [`value`], [`expiry`], [`shedding`] | a message's value as it ages, when it ends unserved, which is rejected under load |
//! | [`retry`] | whether a message may be sent once more and where to, and the back-off |
//! | [`window`], [`pacing`], [`slow_start`] | when a route may take a call |
//! | [`choice`], [`send`], [`dispatch`] | which message goes next and to which endpoint, the call and its time-out |
//! | [`outcomes`], [`connections`], [`health`] | what the end of a call changes |
//! | [`visit`] | shows the state, for explorations and on-call staff |
//!
//! A route (a destination or, where its kind has separate routes, one of its endpoints) has a smoothed latency CAL and a
//! window of calls, after Gulati and Ahmad; DEPARTURE marks where the code departs from them (`docs/design.md`).

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

/// The least time-out, as a fraction of the shortest deduplication span: leaves time for a retry.
const MIN_TIMEOUT_SHARE: f64 = 2.0 / 3.0;
/// Deduplication span that stands for the shortest one where no class has any, microseconds.
const DEFAULT_DEDUPLICATION_SPAN: Micros = 5 * SECOND;

impl Dispatcher {
    /// A fresh instance. It knows nothing of an earlier process's messages until they are restored.
    ///
    /// # Errors
    /// No instance can run under the settings.
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

    /// Takes one batch of events that happened by `clock` and returns what to do, in order.
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
        let wake = self.resubscribe_at.min(self.expire_due()).min(self.dispatch());
        self.shed();
        if wake < self.timer_at {
            self.timer_at = wake.max(self.now + 1);
            self.actions.push(DispatchAction::Timer { after: self.timer_at - self.now, tag: 0 });
        }
        std::mem::take(&mut self.actions)
    }

    fn on_event(&mut self, event: &DispatchEvent) {
        match event {
            DispatchEvent::List { kind, entries } => self.on_list(*kind, entries),
            DispatchEvent::Submit(message) => self.on_submit(message, None),
            DispatchEvent::Restore { message, past } => self.on_submit(message, Some(past)),
            DispatchEvent::Stop { at } => self.stop_at = Some(*at),
            DispatchEvent::Completed(completion) => self.on_completed(completion),
            DispatchEvent::Written { msg, attempt } => self.on_written(*msg, *attempt),
            DispatchEvent::Hangup { msg } => self.finish(*msg),
            // A timer only triggers the step; health checks are never requested, and nothing depends on peers or headers.
            DispatchEvent::Timer { .. }
            | DispatchEvent::ProbeCompleted { .. }
            | DispatchEvent::Peer { .. }
            | DispatchEvent::Headers { .. } => {}
        }
    }

    /// A random factor around 1 for back-offs.
    fn jitter(&mut self) -> f64 {
        1.0 + JITTER * (2.0 * random_unit(&mut self.rng_state) - 1.0)
    }
}
