//! Endpoint selection over the endpoints of all services.

use super::endpoint_state::EndpointState;
use super::outcome::CallOutcome;
use crate::batch_share::BatchShare;
use crate::prefill::PREFILL_TOKENS_PER_MS;
use crate::rendezvous;
use crate::request_profile::RequestProfile;
use quillmount_window::Parameters;
use quillmount_wire::Micros;
use quillmount_wire::messages::Endpoint;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Expected delay of the first event of a call for each other call in flight at the endpoint, milliseconds.
const CALL_COST_MS: f64 = 2.0;
/// Extra cost of an endpoint in another zone, milliseconds.
const REMOTE_ZONE_COST_MS: f64 = 1.5;
/// Fraction of a shared prefix that is assumed to be cached at its preferred endpoint, because all processes prefer the same one.
const PREFERRED_CACHE_FRACTION: f64 = 0.8;
/// Upper bound of the random part of a cost, milliseconds.
const JITTER_MS: f64 = 2.0;
/// Number of distinct values of the random part.
const JITTER_STEPS: u64 = 1000;

/// The resources of each endpoint of a service that one process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Maximum number of connections to the endpoint.
    pub slots: u32,
    /// Endpoint memory for cached prompt segments, tokens.
    pub cache_tokens: u64,
}

impl Default for ServiceShare {
    /// The share of a service that the configuration does not define.
    fn default() -> Self {
        ServiceShare { slots: 1, cache_tokens: 0 }
    }
}

/// Counts of endpoints and calls of a service from the view of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints that accept new calls: listed and not draining.
    pub open: u32,
    /// Open endpoints that are in backoff after failures.
    pub in_backoff: u32,
    /// Calls of this process in flight.
    pub in_flight: u32,
}

/// A slot at an endpoint that is reserved for one call until [`Dispatcher::finish`].
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Id of the endpoint.
    pub id: String,
    /// Address of the endpoint, host and port.
    pub address: String,
    /// Estimated prompt tokens that the endpoint does not have cached.
    pub uncached_tokens: f64,
}

/// The reason why no endpoint was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReserveError {
    /// The service has no open endpoint except those already tried.
    #[error("failed to reserve an endpoint: the service has no open endpoint that was not tried")]
    NoEndpoint,
    /// Each remaining endpoint is at its concurrency limit or in backoff.
    #[error("failed to reserve an endpoint: all are at their concurrency limit or in backoff; retry later")]
    Busy,
}

/// The endpoints of all services with their load, from the view of one process.
#[derive(Debug, Default)]
pub struct Dispatcher {
    /// Seed that differs between processes, so that they choose different endpoints among those of equal cost.
    seed: u64,
    /// Number of calls to [`Dispatcher::reserve`].
    reserve_calls: u64,
    zone: String,
    parameters: Parameters,
    endpoints: BTreeMap<String, EndpointState>,
    /// Ids of the open endpoints of each service, in ascending order.
    by_service: HashMap<String, Vec<String>>,
    shares: HashMap<String, ServiceShare>,
}

impl Dispatcher {
    /// A dispatcher without endpoints for a process in `zone`. `seed` should differ between processes.
    pub fn new(seed: u64, zone: &str, parameters: Parameters) -> Dispatcher {
        Dispatcher { seed, zone: zone.to_owned(), parameters, ..Dispatcher::default() }
    }

    /// Replaces the endpoint list and the shares of the services. Endpoints in both the old and the new list keep their state;
    /// the state of a removed endpoint is dropped once its last call has ended.
    pub fn update(&mut self, listed_endpoints: &[Endpoint], shares: HashMap<String, ServiceShare>) {
        self.shares = shares;
        let listed: HashSet<&str> = listed_endpoints.iter().map(|endpoint| endpoint.id.as_str()).collect();
        self.endpoints.retain(|id, state| listed.contains(id.as_str()) || state.in_flight > 0);
        for state in self.endpoints.values_mut() {
            state.listed = listed.contains(state.endpoint.id.as_str());
        }
        for endpoint in listed_endpoints {
            self.insert_or_update(endpoint);
        }
        self.index_open_endpoints();
    }

    /// Whether new calls may be sent to an endpoint.
    pub fn is_open(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(EndpointState::is_open)
    }

    /// Reserves a slot at the endpoint of the service that has the lowest expected time to the first event.
    ///
    /// Endpoints in `tried` are excluded. For a batch item, `batch` is its sender's share, which limits the calls in flight in
    /// addition to the endpoint's window.
    ///
    /// # Errors
    /// [`ReserveError`]: no endpoint can accept the call now.
    pub fn reserve(
        &mut self,
        service: &str,
        profile: &RequestProfile,
        batch: Option<&BatchShare>,
        tried: &[String],
        now: Micros,
    ) -> Result<Reservation, ReserveError> {
        self.reserve_calls += 1;
        let candidates = self.candidates(service, tried)?;
        let preferred = preferred_endpoint(&candidates, profile);
        let best = candidates
            .iter()
            .filter(|state| state.has_capacity(now, batch))
            .map(|state| (self.cost(state, profile, preferred), state))
            .min_by(|(first, _), (second, _)| first.total_cmp(second))
            .map(|(_, state)| (state.endpoint.id.clone(), state.uncached_tokens(profile)));
        let (id, uncached_tokens) = best.ok_or(ReserveError::Busy)?;

        let state = self.endpoints.get_mut(&id).ok_or(ReserveError::NoEndpoint)?;
        state.begin(profile, uncached_tokens);
        Ok(Reservation { id, address: state.endpoint.address.clone(), uncached_tokens })
    }

    /// Records the first event of a call: the endpoint has processed the prompt.
    pub fn first_event(&mut self, reservation: &Reservation) {
        if let Some(state) = self.endpoints.get_mut(&reservation.id) {
            state.prefill_done(reservation.uncached_tokens);
        }
    }

    /// Ends a call and releases its slot. `has_first_event` says whether [`Dispatcher::first_event`] was called for it.
    pub fn finish(
        &mut self,
        reservation: &Reservation,
        outcome: CallOutcome,
        has_first_event: bool,
        now: Micros,
    ) {
        if !has_first_event {
            self.first_event(reservation);
        }
        let Some(state) = self.endpoints.get_mut(&reservation.id) else { return };
        let slots = self.shares.get(&state.endpoint.service).copied().unwrap_or_default().slots;
        if outcome == CallOutcome::Replaced
            && let Some(ids) = self.by_service.get_mut(&state.endpoint.service)
        {
            ids.retain(|id| *id != reservation.id);
        }
        state.finish(outcome, reservation.uncached_tokens, slots, now);
    }

    /// Total number of slots of all open endpoints of a service.
    pub fn capacity(&self, service: &str) -> u32 {
        let ids = self.by_service.get(service).into_iter().flatten();
        let open = ids.filter_map(|id| self.endpoints.get(id));
        open.map(|state| state.endpoint.capacity).fold(0, u32::saturating_add)
    }

    /// Counts of endpoints and of calls in flight for each service.
    pub fn endpoint_counts(&self, now: Micros) -> HashMap<String, EndpointCounts> {
        let mut by_service: HashMap<String, EndpointCounts> = HashMap::new();
        for state in self.endpoints.values() {
            let counts = by_service.entry(state.endpoint.service.clone()).or_default();
            counts.open += u32::from(state.is_open());
            counts.in_backoff += u32::from(state.is_open() && state.is_in_backoff(now));
            counts.in_flight += state.in_flight;
        }
        by_service
    }

    /// Number of calls of this process in flight for each service.
    pub fn in_flight(&self) -> HashMap<String, u32> {
        let mut by_service = HashMap::new();
        for state in self.endpoints.values() {
            *by_service.entry(state.endpoint.service.clone()).or_default() += state.in_flight;
        }
        by_service
    }

    fn insert_or_update(&mut self, endpoint: &Endpoint) {
        let share = self.shares.get(&endpoint.service).copied().unwrap_or_default();
        match self.endpoints.get_mut(&endpoint.id) {
            Some(state) => state.update(endpoint, share.cache_tokens),
            None => {
                let state =
                    EndpointState::new(endpoint.clone(), self.parameters, share.slots, share.cache_tokens);
                self.endpoints.insert(endpoint.id.clone(), state);
            }
        }
    }

    fn index_open_endpoints(&mut self) {
        self.by_service.clear();
        for (id, state) in &self.endpoints {
            if state.is_open() {
                self.by_service.entry(state.endpoint.service.clone()).or_default().push(id.clone());
            }
        }
    }

    /// Returns the open endpoints of a service that are not in `tried`, at least one.
    fn candidates(&self, service: &str, tried: &[String]) -> Result<Vec<&EndpointState>, ReserveError> {
        let ids = self.by_service.get(service).ok_or(ReserveError::NoEndpoint)?;
        let untried = ids.iter().filter(|id| !tried.contains(id));
        let candidates: Vec<&EndpointState> = untried.filter_map(|id| self.endpoints.get(id)).collect();
        if candidates.is_empty() { Err(ReserveError::NoEndpoint) } else { Ok(candidates) }
    }

    /// Expected time to the first event at an endpoint, milliseconds, plus a random part that spreads the load.
    fn cost(&self, state: &EndpointState, profile: &RequestProfile, preferred: Option<&str>) -> f64 {
        let mut tokens = state.uncached_tokens(profile);
        if preferred == Some(state.endpoint.id.as_str()) {
            // Requests of other processes with this prefix also fill the cache of this endpoint.
            let shared: f64 = profile.shared_segments().iter().map(|segment| f64::from(segment.tokens)).sum();
            tokens = tokens.min(f64::from(profile.total_prompt_tokens()) - shared * PREFERRED_CACHE_FRACTION);
        }
        let prefill = (state.pending_prefill_tokens + tokens) / PREFILL_TOKENS_PER_MS;
        let zone = if state.endpoint.zone == self.zone { 0.0 } else { REMOTE_ZONE_COST_MS };
        let load = f64::from(state.in_flight) * CALL_COST_MS;
        let warm_up = if state.endpoint.warmup_left_ms > 0.0 { CALL_COST_MS } else { 0.0 };
        prefill + zone + load + warm_up + self.jitter(&state.endpoint.id)
    }

    /// The random part of an endpoint's cost in the current call of [`Dispatcher::reserve`], milliseconds.
    fn jitter(&self, endpoint: &str) -> f64 {
        let step = rendezvous::weight(self.seed.wrapping_add(self.reserve_calls), endpoint) % JITTER_STEPS;
        step as f64 / JITTER_STEPS as f64 * JITTER_MS
    }
}

/// The endpoint that all processes prefer for requests with this request's shared prefix; `None` if it has none.
fn preferred_endpoint<'a>(candidates: &[&'a EndpointState], profile: &RequestProfile) -> Option<&'a str> {
    let segment = profile.affinity_segment()?;
    candidates
        .iter()
        .max_by_key(|state| rendezvous::weight(segment, &state.endpoint.id))
        .map(|state| state.endpoint.id.as_str())
}
