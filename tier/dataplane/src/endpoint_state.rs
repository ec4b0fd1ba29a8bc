//! What one process knows of one endpoint: its window, calls in flight, memory of prompts, and pauses after failures.

use crate::prefix_cache::PrefixCache;
use crate::request_profile::RequestProfile;
use quillmount_window::{Micros, Parameters, Window};
use quillmount_wire::messages::Endpoint;

/// Tokens that an endpoint is taken to read in a millisecond until it is known better.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 128.0;
/// First event of a call whose prompt need not be read, milliseconds.
const REFERENCE_MS: f64 = 20.0;
/// Pauses after failures in a row, microseconds: first and longest.
const INITIAL_BACKOFF: Micros = 200_000;
const MAX_BACKOFF: Micros = 3_200_000;
/// Failures in a row after which a pause begins, if they are errors and not losses.
const MAX_CONSECUTIVE_ERRORS: u32 = 3;

/// How a call ended, for the window of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// Time to the first event, microseconds.
    FirstEvent(Micros),
    /// Nothing came for this long, microseconds.
    TimedOut(Micros),
    /// Refused as full: it has not run.
    Refused,
    /// Another endpoint has its address: it is gone for good.
    Replaced,
    /// It could not be reached, or its connection broke.
    Lost,
    /// It answered with an error of its own.
    Error,
    /// It went on with a stream where another call left it: its first event comes after those that are passed over, and
    /// tells nothing of the load.
    Resumed,
    /// Ended from this side; tells nothing.
    Abandoned,
}

/// State of one endpoint as this process sees it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    /// Whether the newest list names it.
    pub(crate) listed: bool,
    pub(crate) window: Window,
    pub(crate) in_flight: u32,
    /// Prompt tokens sent there whose first event has not come.
    pub(crate) pending_prefill_tokens: f64,
    pub(crate) cache: PrefixCache,
    failures: u32,
    pub(crate) backoff_until: Micros,
}

impl EndpointState {
    /// An endpoint that the list names for the first time. `slots`: connections; `cache_tokens`: memory for parts of prompts.
    pub(crate) fn new(
        endpoint: Endpoint,
        parameters: Parameters,
        slots: u32,
        cache_tokens: u64,
    ) -> EndpointState {
        EndpointState {
            endpoint,
            listed: true,
            window: Window::new(parameters, slots),
            in_flight: 0,
            pending_prefill_tokens: 0.0,
            cache: PrefixCache::new(cache_tokens),
            failures: 0,
            backoff_until: 0,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.listed && !self.endpoint.draining
    }

    /// Prompt tokens that the endpoint has to read.
    pub(crate) fn uncached_tokens(&self, profile: &RequestProfile) -> f64 {
        f64::from(profile.tokens().saturating_sub(self.cache.cached_tokens(&profile.segments)))
    }

    /// Begins a call.
    pub(crate) fn begin(&mut self, profile: &RequestProfile, uncached_tokens: f64) {
        self.in_flight += 1;
        self.pending_prefill_tokens += uncached_tokens;
        self.cache.record(&profile.segments);
    }

    /// Ends a call that left so many tokens to be read.
    pub(crate) fn end(&mut self, end: CallOutcome, uncached_tokens: f64, slots: u32, now: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            CallOutcome::FirstEvent(latency) => {
                self.failures = 0;
                let prefill_time = (uncached_tokens / PREFILL_TOKENS_PER_MS * 1000.0) as Micros;
                self.window.sample(now, relative_latency(latency, prefill_time), slots);
            }
            CallOutcome::TimedOut(length) => {
                self.window.sample(now, length as f64, slots);
                self.back_off(now);
            }
            CallOutcome::Refused => self.window.refused(slots),
            CallOutcome::Replaced => self.endpoint.draining = true,
            CallOutcome::Lost => self.back_off(now),
            CallOutcome::Error => {
                self.failures += 1;
                if self.failures >= MAX_CONSECUTIVE_ERRORS {
                    self.back_off(now);
                }
            }
            CallOutcome::Resumed => self.failures = 0,
            CallOutcome::Abandoned => {}
        }
    }

    fn back_off(&mut self, now: Micros) {
        self.failures += 1;
        let doubled = INITIAL_BACKOFF << self.failures.saturating_sub(1).min(4);
        self.backoff_until = now + doubled.min(MAX_BACKOFF);
        self.cache.clear();
    }
}

/// What counts as the latency of a streamed call, microseconds: the time to its first event as a multiple of what the
/// reading of its prompt should take, for a prompt that is read in no time.
fn relative_latency(first_event: Micros, prefill_time: Micros) -> f64 {
    let reference = REFERENCE_MS * 1000.0;
    first_event as f64 * reference / (reference + prefill_time as f64)
}
