//! Gauges by service: endpoints, calls in flight, requests that wait.

use super::labels::ServiceLabels;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
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
    /// Endpoints that take calls.
    pub open: HashMap<String, u32>,
    /// Of these, endpoints that get none for a while after failures.
    pub in_backoff: HashMap<String, u32>,
    /// Calls in flight.
    pub in_flight: HashMap<String, u32>,
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
        replace(&self.open, &numbers.open);
        replace(&self.in_backoff, &numbers.in_backoff);
        replace(&self.in_flight, &numbers.in_flight);
        replace(&self.waiting, &numbers.waiting);
    }
}

fn replace(gauge: &ServiceGauge, numbers: &HashMap<String, u32>) {
    gauge.clear();
    for (service, number) in numbers {
        gauge.get_or_create(&ServiceLabels { service: service.clone() }).set(i64::from(*number));
    }
}
