//! A compiled route: its settings with defaults applied and values clamped.

use quillmount_wire::configuration::Route;

/// Upper bound of the attempts of one request, whatever is configured. It does not apply to batch items: an item must not be given up
/// before it failed as often as its route says.
const MAX_REQUEST_ATTEMPTS: u64 = 16;

/// How the requests of a route are answered, and whether they may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMode {
    /// Requests are idempotent and may be retried.
    Safe,
    /// Requests have side effects and must not be retried once an endpoint may have executed them.
    Mutating,
    /// Requests are answered with an event stream.
    Stream,
    /// Requests submit batch jobs.
    Bulk,
}

impl From<&Route> for RouteMode {
    /// An unknown or missing mode counts as [`RouteMode::Mutating`], the most restrictive one.
    fn from(route: &Route) -> RouteMode {
        match route.mode.as_deref() {
            Some("stream") => RouteMode::Stream,
            Some("bulk") => RouteMode::Bulk,
            Some("safe") => RouteMode::Safe,
            _ => RouteMode::Mutating,
        }
    }
}

/// A route with defaults applied and values clamped.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    /// The route as configured.
    pub route: Route,
    /// How requests are answered, and whether they may be executed more than once.
    pub mode: RouteMode,
    /// Whether an interrupted stream can be resumed after its last event.
    pub resumable: bool,
    /// Maximum number of endpoints that may execute one request, 1 to 16; on routes for batch jobs, number of failed attempts
    /// after which an item is given up, at least 1.
    pub max_attempts: u32,
    /// Default priority, for requests whose tenant has none.
    pub priority: i64,
}

impl From<&Route> for CompiledRoute {
    fn from(route: &Route) -> CompiledRoute {
        let mode = RouteMode::from(route);
        let upper_bound = if mode == RouteMode::Bulk { u64::from(u32::MAX) } else { MAX_REQUEST_ATTEMPTS };
        CompiledRoute {
            mode,
            resumable: route.resumable.unwrap_or(false),
            max_attempts: route.max_attempts.unwrap_or(1).clamp(1, upper_bound) as u32,
            priority: route.priority.unwrap_or(0),
            route: route.clone(),
        }
    }
}

impl CompiledRoute {
    /// Whether a request may be retried after an endpoint may have executed it.
    pub fn is_idempotent(&self) -> bool {
        match self.mode {
            RouteMode::Safe | RouteMode::Bulk => true,
            RouteMode::Stream => self.resumable,
            RouteMode::Mutating => false,
        }
    }

    /// Chooses the service for a request by weight; `None` if no service has a weight above 0. `draw` is a random number, 0 or more and
    /// less than 1.
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        self.pick_service_among(draw, |_| true)
    }

    /// Like [`CompiledRoute::pick_service`], but chooses only among the services for which `is_candidate` returns true.
    pub fn pick_service_among(&self, draw: f64, is_candidate: impl Fn(&str) -> bool) -> Option<&str> {
        let mut weighted = self.route.weighted_services();
        weighted.retain(|(service, _)| is_candidate(service));
        let total_weight: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * total_weight;
        for (service, weight) in &weighted {
            if remaining < *weight {
                return Some(service);
            }
            remaining -= weight;
        }
        // Because of rounding, `draw` can lie beyond the sum of all weights.
        weighted.iter().rev().find(|(_, weight)| *weight > 0.0).map(|(service, _)| *service)
    }
}
