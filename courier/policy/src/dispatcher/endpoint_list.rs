//! Applies the endpoint list: adds and removes endpoints, routes and destinations, and schedules a new subscription.

use super::route::{Endpoint, Route};
use super::state::Dispatcher;
use super::time::{NEVER, SECOND};
use super::window::BASELINE_SPAN;
use crate::breaks::{self, Break};
use crate::events::{EndpointEntry, EndpointState, ListUpdate};
use crate::ids::Micros;

/// First back-off before a new subscription after discovery failed, microseconds; it doubles with each failure.
pub const RESUBSCRIBE_FIRST: Micros = SECOND / 2;
/// Maximum back-off before a new subscription, microseconds.
const RESUBSCRIBE_MAX: Micros = 4 * SECOND;

impl Dispatcher {
    /// Applies a complete endpoint list, changes to it, or a failure of discovery.
    pub(super) fn on_list(&mut self, kind: ListUpdate, entries: &[EndpointEntry]) {
        if kind == ListUpdate::Failed {
            self.schedule_resubscription();
            return;
        }
        self.resubscribe_delay = RESUBSCRIBE_FIRST;
        if kind == ListUpdate::Full {
            for endpoint in self.endpoints.values_mut() {
                endpoint.listed = false;
            }
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        // DEPARTURE: a destination whose endpoint operators enable again counts as returning from an outage, although
        // no call failed.
        for entry in entries.iter().filter(|entry| entry.returning && entry.state == EndpointState::Ready) {
            self.record_failure(self.endpoints[&entry.endpoint].route, true);
        }
        self.remove_unused();
        self.ready_destinations.extend(&self.waiting_destinations);
    }

    fn schedule_resubscription(&mut self) {
        if self.resubscribe_at == NEVER {
            self.resubscribe_at = self.now + (self.resubscribe_delay as f64 * self.jitter()) as Micros;
            self.resubscribe_delay = (self.resubscribe_delay * 2).min(RESUBSCRIBE_MAX);
        }
    }

    /// Updates an endpoint from its entry. An unknown endpoint is added if it is ready.
    fn apply_entry(&mut self, entry: &EndpointEntry) {
        let ready = entry.state == EndpointState::Ready
            || (breaks::is_enabled(Break::IgnoreDrain) && entry.state == EndpointState::Draining);
        let weight_is_rate = self.settings.weight_is_rate;
        let rate = if weight_is_rate && entry.weight.is_finite() { entry.weight } else { 0.0 };
        if let Some(endpoint) = self.endpoints.get_mut(&entry.endpoint) {
            endpoint.listed = ready && endpoint.dest == entry.dest;
            endpoint.rate = if weight_is_rate { rate } else { endpoint.rate };
        } else if ready {
            self.add_endpoint(entry, rate);
        }
    }

    fn add_endpoint(&mut self, entry: &EndpointEntry, rate: f64) {
        let tie_break = (self.jitter() - 1.0).abs();
        let route = self.route_for(entry);
        let endpoint = Endpoint {
            dest: entry.dest,
            route,
            zone: entry.zone,
            rate,
            listed: true,
            tie_break,
            ..Endpoint::default()
        };
        self.endpoints.insert(entry.endpoint, endpoint);
        self.routes[route].endpoints.push(entry.endpoint);
    }

    /// Returns the route for a new endpoint: that of its destination or, if the kind has separate routes, a new one.
    fn route_for(&mut self, entry: &EndpointEntry) -> usize {
        let separate_routes = self.settings.kinds.get(entry.kind).is_some_and(|kind| kind.separate_routes);
        let destination = self.destinations.entry(entry.dest).or_default();
        destination.kind = entry.kind;
        if let Some(route) = destination.routes.last().filter(|_| !separate_routes) {
            return *route;
        }
        let route = self.free_routes.pop().unwrap_or(self.routes.len());
        self.routes.resize_with(self.routes.len().max(route + 1), Route::default);
        self.routes[route] = Route { dest: entry.dest, ..Route::new(self.settings.slots) };
        destination.routes.push(route);
        route
    }

    /// Removes endpoints that are no longer listed and have no call in flight, and their routes a minute after the
    /// last call. An endpoint or route stays while the receiver's wait or the slow-start guard still applies to it.
    fn remove_unused(&mut self) {
        let now = self.now;
        let routes = &mut self.routes;
        let endpoints = &mut self.endpoints;
        let free_routes = &mut self.free_routes;
        endpoints.retain(|_, endpoint| {
            let route = &routes[endpoint.route];
            endpoint.listed || endpoint.calls > 0 || route.keep_until.max(route.wait_until) > now
        });
        self.destinations.retain(|_, destination| {
            destination.routes.retain(|index| {
                let route = &mut routes[*index];
                route.endpoints.retain(|endpoint| endpoints.contains_key(endpoint));
                let used_until = route.wait_until.max(route.keep_until).max(route.last_sent + BASELINE_SPAN);
                let is_used = used_until > now || !route.endpoints.is_empty();
                if !is_used {
                    free_routes.push(*index);
                }
                is_used
            });
            !destination.routes.is_empty() || !destination.waiting.is_empty()
        });
    }
}
