//! One route, with its settings in the form in which requests need them.

use quillmount_wire::configuration::Route;

/// Largest number of attempts of one request.
const MAX_ATTEMPTS: u64 = 16;

/// How the requests of a route are answered, and whether they may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMode {
    /// Requests are idempotent.
    Safe,
    /// Requests have side effects and must not be retried once they may have run.
    Mutating,
    /// Requests are answered by an event stream.
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

/// A route with its settings in the form in which requests need them.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    /// The route as configured.
    pub route: Route,
    /// How requests are answered, and whether they may run more than once.
    pub mode: RouteMode,
    /// Whether a broken stream can be continued behind its last event.
    pub resumable: bool,
    /// Largest number of endpoints that may run one request, 1 to 16.
    pub max_attempts: u32,
    /// Priority of requests whose tenant has none.
    pub priority: i64,
}

impl From<&Route> for CompiledRoute {
    fn from(route: &Route) -> CompiledRoute {
        CompiledRoute {
            mode: RouteMode::from(route),
            resumable: route.resumable.unwrap_or(false),
            max_attempts: route.max_attempts.unwrap_or(1).clamp(1, MAX_ATTEMPTS) as u32,
            priority: route.priority.unwrap_or(0),
            route: route.clone(),
        }
    }
}

impl CompiledRoute {
    /// Whether a request may be retried after an endpoint may have run it.
    pub fn idempotent(&self) -> bool {
        match self.mode {
            RouteMode::Safe | RouteMode::Bulk => true,
            RouteMode::Stream => self.resumable,
            RouteMode::Mutating => false,
        }
    }

    /// The service for a request, chosen by weight. `draw` is a random number, 0 or more and less than 1.
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        let weighted = self.route.services();
        let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * total;
        for (service, weight) in &weighted {
            if left < *weight {
                return Some(service);
            }
            left -= weight;
        }
        // Rounding may leave a rest behind the last weight.
        weighted.iter().rev().find(|(_, weight)| *weight > 0.0).map(|(service, _)| *service)
    }
}
