//! Gauges by service: endpoints, calls in flight, requests that wait.

use super::labels::ServiceLabels;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use quillmount_dataplane::dispatch::EndpointCounts;
use std::collections::HashMap;

type ServiceGauge = Family<ServiceLabels, Gauge>;

/// Gauges by service.
#[derive(Default)]
pub(super) struct EndpointGauges {
    open: ServiceGauge,
    in_backoff: ServiceGauge,
    in_flight: ServiceGauge,
    waiting: ServiceGauge,
}

/// Numbers by service, of this moment.
#[derive(Clone, Debug, Default)]
pub struct ServiceNumbers {
    /// Endpoints and calls in flight.
    pub endpoints: HashMap<String, EndpointCounts>,
    /// Requests and batch items that wait for a slot.
    pub waiting: HashMap<String, u32>,
}

impl EndpointGauges {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("open_endpoints", "Endpoints that take calls", self.open.clone());
        let help = "Endpoints that get no calls for a while after failures";
        registry.register("endpoints_in_backoff", help, self.in_backoff.clone());
        registry.register("calls_in_flight", "Calls to endpoints in flight", self.in_flight.clone());
        let help = "Requests and batch items that wait for a slot";
        registry.register("waiting", help, self.waiting.clone());
    }

    /// Replaces all numbers; services that are gone are dropped.
    pub(super) fn set(&self, numbers: &ServiceNumbers) {
        replace(&self.open, &numbers.endpoints, |counts| counts.open);
        replace(&self.in_backoff, &numbers.endpoints, |counts| counts.in_backoff);
        replace(&self.in_flight, &numbers.endpoints, |counts| counts.in_flight);
        replace(&self.waiting, &numbers.waiting, |waiting| *waiting);
    }
}

fn replace<Counts>(gauge: &ServiceGauge, by_service: &HashMap<String, Counts>, number: fn(&Counts) -> u32) {
    gauge.clear();
    for (service, counts) in by_service {
        gauge.get_or_create(&ServiceLabels { service: service.clone() }).set(i64::from(number(counts)));
    }
}
