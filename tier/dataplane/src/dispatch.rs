//! Endpoints and the choice among them.

use crate::batch_share::BatchShare;
use crate::endpoint_state::{EndpointState, PREFILL_TOKENS_PER_MS};
use crate::rank::rank;
use crate::request_profile::RequestProfile;
use quillmount_window::{Micros, Parameters};
use quillmount_wire::messages::Endpoint;
use std::collections::{BTreeMap, HashMap, HashSet};

pub use crate::endpoint_state::CallOutcome;

/// What a request in flight there costs the next one, in milliseconds of its first event.
const COST_OF_CALL_MS: f64 = 2.0;
/// What an endpoint of another zone costs, milliseconds.
const COST_OF_ZONE_MS: f64 = 1.5;
/// Part of a shared prefix that is taken to be kept where all processes send it first, whoever sent it last.
const PREFERRED_CACHE_FRACTION: f64 = 0.8;
/// By how much chance may move a choice, milliseconds.
const SPREAD_MS: f64 = 2.0;

/// What one process may use of each endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Connections.
    pub slots: u32,
    /// Memory for parts of prompts, tokens.
    pub cache_tokens: u64,
}

impl Default for ServiceShare {
    /// Of a service that the configuration does not know.
    fn default() -> Self {
        ServiceShare { slots: 1, cache_tokens: 0 }
    }
}

/// Endpoints of all services; choices and feedback.
#[derive(Debug, Default)]
pub struct Dispatcher {
    /// Differs between processes, so that they do not all choose the same among equal endpoints.
    seed: u64,
    /// Counts choices.
    calls: u64,
    zone: String,
    parameters: Parameters,
    endpoints: BTreeMap<String, EndpointState>,
    by_service: HashMap<String, Vec<String>>,
    shares: HashMap<String, ServiceShare>,
}

/// A call's hold on an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    pub id: String,
    pub address: String,
    /// Prompt tokens that the endpoint has to read, as far as known.
    pub uncached_tokens: f64,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The service has none that could take it.
    NoEndpoint,
    /// All windows are full, or the endpoints are paused.
    Busy,
}

impl Dispatcher {
    pub fn new(seed: u64, zone: &str, parameters: Parameters) -> Dispatcher {
        Dispatcher { seed, zone: zone.to_owned(), parameters, ..Dispatcher::default() }
    }

    /// Takes a new list of endpoints; what is known of those that stay is kept.
    pub fn update(&mut self, list: &[Endpoint], shares: HashMap<String, ServiceShare>) {
        self.shares = shares;
        let listed: HashSet<&str> = list.iter().map(|endpoint| endpoint.id.as_str()).collect();
        self.endpoints.retain(|id, state| listed.contains(id.as_str()) || state.in_flight > 0);
        for state in self.endpoints.values_mut() {
            state.listed = listed.contains(state.endpoint.id.as_str());
        }
        for endpoint in list {
            let share = self.shares.get(&endpoint.service).copied().unwrap_or_default();
            match self.endpoints.get_mut(&endpoint.id) {
                Some(state) => {
                    // One that leaves never comes back under the same id, whatever an older list says.
                    let draining = state.endpoint.draining || endpoint.draining;
                    state.endpoint = Endpoint { draining, ..endpoint.clone() };
                    state.cache.resize(share.cache_tokens);
                }
                None => {
                    let parameters = self.parameters;
                    let state =
                        EndpointState::new(endpoint.clone(), parameters, share.slots, share.cache_tokens);
                    self.endpoints.insert(endpoint.id.clone(), state);
                }
            }
        }
        self.by_service.clear();
        for (id, state) in &self.endpoints {
            if state.is_open() {
                self.by_service.entry(state.endpoint.service.clone()).or_default().push(id.clone());
            }
        }
    }

    /// Whether an endpoint may still be sent to.
    pub fn is_open(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(EndpointState::is_open)
    }

    fn slots_of(&self, state: &EndpointState) -> u32 {
        self.shares.get(&state.endpoint.service).copied().unwrap_or_default().slots
    }

    fn has_capacity(&self, state: &EndpointState, now: Micros, batch: Option<&BatchShare>) -> bool {
        let window = state.window.size();
        let most = batch.map_or(window, |batch| window.min(batch.max_in_flight(&state.endpoint)));
        let reads = batch.is_none_or(|batch| state.pending_prefill_tokens < batch.pending_prefill_tokens());
        state.in_flight < most && reads && now >= state.backoff_until
    }

    /// Chooses an endpoint and takes a place there; batch work keeps to its share as well as to the window.
    pub fn reserve(
        &mut self,
        service: &str,
        profile: &RequestProfile,
        batch: Option<&BatchShare>,
        tried: &[String],
        now: Micros,
    ) -> Result<Reservation, ReserveError> {
        self.calls += 1;
        let ids = self.by_service.get(service).ok_or(ReserveError::NoEndpoint)?;
        let fresh = ids.iter().filter(|id| !tried.contains(id));
        let candidates: Vec<&EndpointState> = fresh.filter_map(|id| self.endpoints.get(id)).collect();
        if candidates.is_empty() {
            return Err(ReserveError::NoEndpoint);
        }
        let preferred = profile.affinity().and_then(|segment| {
            candidates
                .iter()
                .max_by_key(|state| rank(segment, &state.endpoint.id))
                .map(|state| state.endpoint.id.clone())
        });
        let open = candidates.iter().filter(|state| self.has_capacity(state, now, batch));
        let best = open
            .map(|state| (self.cost(state, profile, preferred.as_deref()), state))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, state)| (state.endpoint.id.clone(), state.uncached_tokens(profile)));
        let Some((id, uncached_tokens)) = best else { return Err(ReserveError::Busy) };
        let state = self.endpoints.get_mut(&id).ok_or(ReserveError::NoEndpoint)?;
        state.begin(profile, uncached_tokens);
        Ok(Reservation { id, address: state.endpoint.address.clone(), uncached_tokens })
    }

    /// Expected time to the first event there, milliseconds.
    fn cost(&self, state: &EndpointState, profile: &RequestProfile, preferred: Option<&str>) -> f64 {
        let mut tokens = state.uncached_tokens(profile);
        if preferred == Some(state.endpoint.id.as_str()) {
            // The others send such requests there too.
            let shared: f64 = profile.shared().iter().map(|segment| f64::from(segment.tokens)).sum();
            tokens = tokens.min(f64::from(profile.tokens()) - shared * PREFERRED_CACHE_FRACTION);
        }
        let prefill_time = (state.pending_prefill_tokens + tokens) / PREFILL_TOKENS_PER_MS;
        let zone = if state.endpoint.zone == self.zone { 0.0 } else { COST_OF_ZONE_MS };
        let load = f64::from(state.in_flight) * COST_OF_CALL_MS;
        let warm_up = if state.endpoint.warmup_left_ms > 0.0 { COST_OF_CALL_MS } else { 0.0 };
        let draw = rank(self.seed.wrapping_add(self.calls), &state.endpoint.id) % 1000;
        let spread = draw as f64 / 1000.0 * SPREAD_MS;
        prefill_time + zone + load + warm_up + spread
    }

    /// The endpoint has sent its first event: its prompt is read.
    pub fn first_event(&mut self, reservation: &Reservation) {
        if let Some(state) = self.endpoints.get_mut(&reservation.id) {
            state.pending_prefill_tokens =
                (state.pending_prefill_tokens - reservation.uncached_tokens).max(0.0);
        }
    }

    /// Ends a call. `begun`: [`Dispatcher::first_event`] was told before.
    pub fn finish(&mut self, reservation: &Reservation, end: CallOutcome, begun: bool, now: Micros) {
        if !begun {
            self.first_event(reservation);
        }
        let Some(state) = self.endpoints.get(&reservation.id) else { return };
        let slots = self.slots_of(state);
        if end == CallOutcome::Replaced
            && let Some(ids) = self.by_service.get_mut(&state.endpoint.service)
        {
            ids.retain(|id| *id != reservation.id);
        }
        let Some(state) = self.endpoints.get_mut(&reservation.id) else { return };
        state.end(end, reservation.uncached_tokens, slots, now);
    }

    /// Places of all endpoints of a service that may be sent to.
    pub fn capacity(&self, service: &str) -> u32 {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id)).map(|state| state.endpoint.capacity).sum()
    }

    /// Calls in flight from here, by service.
    pub fn in_flight(&self) -> HashMap<String, u32> {
        let mut all = HashMap::new();
        for state in self.endpoints.values() {
            *all.entry(state.endpoint.service.clone()).or_default() += state.in_flight;
        }
        all
    }
}
