//! State of one endpoint in one process: its window, calls in flight, cached prompts, and the backoff after failures.

use super::outcome::CallOutcome;
use crate::batch_share::BatchShare;
use crate::breaks::{self, Break};
use crate::prefill::normalized_latency;
use crate::prefix_cache::PrefixCache;
use crate::request_profile::RequestProfile;
use quillmount_window::{Parameters, Window};
use quillmount_wire::Micros;
use quillmount_wire::messages::Endpoint;

/// Shortest and longest backoff after consecutive failures, microseconds.
const INITIAL_BACKOFF: Micros = 200_000;
const MAX_BACKOFF: Micros = 3_200_000;
/// Maximum number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Number of consecutive errors that starts the backoff; a lost connection or a timeout starts it immediately.
const ERRORS_BEFORE_BACKOFF: u32 = 3;

/// State of one endpoint from the view of this process.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) endpoint: Endpoint,
    /// Whether the newest endpoint list contains this endpoint.
    pub(super) listed: bool,
    pub(super) in_flight: u32,
    /// Uncached prompt tokens of calls in flight whose first event has not arrived.
    pub(super) pending_prefill_tokens: f64,
    pub(super) cache: PrefixCache,
    window: Window,
    /// Number of consecutive failures; sets the length of the backoff.
    consecutive_failures: u32,
    backoff_until: Micros,
}

impl EndpointState {
    /// Initial state of an endpoint that appears in the list. `slots` is the number of connections, and `cache_tokens` the
    /// prompt memory, that this process may use at the endpoint.
    pub(super) fn new(
        endpoint: Endpoint,
        parameters: Parameters,
        slots: u32,
        cache_tokens: u64,
    ) -> EndpointState {
        EndpointState {
            endpoint,
            listed: true,
            in_flight: 0,
            pending_prefill_tokens: 0.0,
            cache: PrefixCache::new(cache_tokens),
            window: Window::new(parameters, slots),
            consecutive_failures: 0,
            backoff_until: 0,
        }
    }

    /// Whether new calls may be sent to this endpoint.
    pub(super) fn is_open(&self) -> bool {
        self.listed && (!self.endpoint.draining || breaks::is_enabled(Break::DrainingEndpointOpen))
    }

    /// Whether another call can start now. A batch item must fit in its sender's share as well as in the window.
    pub(super) fn has_capacity(&self, now: Micros, batch: Option<&BatchShare>) -> bool {
        let window = self.window.size();
        let limit = batch.map_or(window, |batch| window.min(batch.max_in_flight(&self.endpoint)));
        let prefill_fits =
            batch.is_none_or(|batch| self.pending_prefill_tokens < batch.max_pending_prefill_tokens());
        self.in_flight < limit && prefill_fits && !self.is_in_backoff(now)
    }

    /// Whether new calls are suspended after failures.
    pub(super) fn is_in_backoff(&self, now: Micros) -> bool {
        now < self.backoff_until
    }

    /// Estimated prompt tokens that the endpoint has to process for a request.
    pub(super) fn uncached_tokens(&self, profile: &RequestProfile) -> f64 {
        f64::from(profile.total_prompt_tokens().saturating_sub(self.cache.cached_tokens(&profile.segments)))
    }

    /// Replaces the listed properties of the endpoint and the prompt memory that this process may use at it.
    pub(super) fn update(&mut self, listed: &Endpoint, cache_tokens: u64) {
        // A draining endpoint never becomes open again under the same id, even if an older list arrives later.
        let draining = self.endpoint.draining || listed.draining;
        self.endpoint = Endpoint { draining, ..listed.clone() };
        self.cache.resize(cache_tokens);
    }

    /// Records the start of a call.
    pub(super) fn begin(&mut self, profile: &RequestProfile, uncached_tokens: f64) {
        self.in_flight += 1;
        self.pending_prefill_tokens += uncached_tokens;
        self.cache.record(&profile.segments);
    }

    /// Records that the endpoint has processed the prompt of a call with this number of uncached tokens.
    pub(super) fn prefill_done(&mut self, uncached_tokens: f64) {
        self.pending_prefill_tokens = (self.pending_prefill_tokens - uncached_tokens).max(0.0);
    }

    /// Records the end of a call that had this number of uncached prompt tokens.
    pub(super) fn finish(&mut self, outcome: CallOutcome, uncached_tokens: f64, slots: u32, now: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::FirstEvent(latency) => {
                self.consecutive_failures = 0;
                self.window.record_latency(now, normalized_latency(latency, uncached_tokens), slots);
            }
            CallOutcome::TimedOut(silent_time) => {
                self.window.record_latency(now, silent_time as f64, slots);
                self.back_off(now);
            }
            CallOutcome::Refused => self.window.record_refusal(slots),
            CallOutcome::Replaced => self.endpoint.draining = true,
            CallOutcome::Lost => self.back_off(now),
            CallOutcome::Error => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= ERRORS_BEFORE_BACKOFF {
                    self.back_off(now);
                }
            }
            CallOutcome::Resumed => self.consecutive_failures = 0,
            CallOutcome::Abandoned => {}
        }
    }

    /// Suspends new calls for a time that doubles with each failure. Clears the cache estimate, because the endpoint may have
    /// restarted with an empty cache.
    fn back_off(&mut self, now: Micros) {
        self.consecutive_failures += 1;
        let backoff = INITIAL_BACKOFF << self.consecutive_failures.saturating_sub(1).min(MAX_DOUBLINGS);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.cache.clear();
    }
}
