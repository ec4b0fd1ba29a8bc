//! Autoscaling: orders endpoints from the platform according to the demand of couriers and stores.
//!
//! The primary of the core computes a desired number for each service from the demand that the leases report, and orders
//! it zone by zone wherever it differs from the last order.

use super::platform::{FENCED, call_as_singleton, may_act};
use crate::clock;
use crate::control_member::ControlMember;
use miniserde::{Serialize, json};
use quillmount_control::{FencedCalls, FencedSubject, Scaler};
use quillmount_wire::configuration::{Configuration, Service};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two evaluations of the demand.
const SCALE_INTERVAL: Duration = Duration::from_millis(500);
/// The name of this role in the settings.
const ROLE: &str = "autoscaler";

/// An order for one service in one zone, as JSON.
#[derive(Serialize)]
struct ScaleBody {
    #[serde(rename = "Backend")]
    service: String,
    #[serde(rename = "Az")]
    zone: String,
    #[serde(rename = "Desired")]
    desired: u32,
}

/// What this member knows and has ordered as primary of one epoch.
#[derive(Default)]
struct ScaleOrders {
    epoch: u64,
    scalers: HashMap<String, Scaler>,
    /// Last number that the platform accepted, by service and zone.
    ordered: BTreeMap<FencedSubject, u32>,
    /// Orders that a later primary has superseded.
    fenced: FencedCalls,
}

/// The endpoints of one service.
struct ServiceEndpoints {
    /// Number of endpoints that are up, by zone; zones where all are draining count 0.
    up_by_zone: BTreeMap<String, u32>,
    /// Calls that one endpoint runs at a time.
    capacity: f64,
}

/// Scales every service whenever this member is primary.
pub async fn scale_services(core: Rc<ControlMember>) {
    let mut orders = ScaleOrders::default();
    loop {
        tokio::time::sleep(SCALE_INTERVAL).await;
        let Some(epoch) = core.serving() else { continue };
        if orders.epoch != epoch {
            orders = ScaleOrders { epoch, ..ScaleOrders::default() };
            orders.fenced.use_token(epoch);
        }
        let configuration =
            core.committed().and_then(|state| Configuration::parse(&state.configuration).ok());
        let Some(configuration) = configuration else { continue };
        for service in &configuration.services {
            scale(&core, &mut orders, service).await;
        }
    }
}

fn count_endpoints(core: &ControlMember, service: &str) -> ServiceEndpoints {
    let mut up_by_zone: BTreeMap<String, u32> = BTreeMap::new();
    let mut capacity = 1.0;
    for endpoint in core.directory.borrow().list().iter() {
        if endpoint.service == service {
            *up_by_zone.entry(endpoint.zone.clone()).or_default() += u32::from(!endpoint.draining);
            capacity = f64::from(endpoint.capacity);
        }
    }
    ServiceEndpoints { up_by_zone, capacity }
}

/// Orders the desired number of endpoints of a service in each of its zones, if it is to be scaled.
async fn scale(core: &Rc<ControlMember>, orders: &mut ScaleOrders, service: &Service) {
    let Some(bounds) = &service.autoscale else { return };
    let ServiceEndpoints { up_by_zone, capacity } = count_endpoints(core, &service.name);
    if up_by_zone.is_empty() {
        return;
    }
    let demand = core.leases.borrow().demand(&service.name, clock::now());
    let scaler = orders.scalers.entry(service.name.clone()).or_default();
    let desired = scaler.desired(clock::now(), demand, capacity, up_by_zone.len(), bounds);
    if !may_act(core, orders.epoch, ROLE) {
        return;
    }
    for (zone, up) in up_by_zone {
        let subject = FencedSubject::Scale { service: service.name.clone(), zone: zone.clone() };
        let current = orders.ordered.get(&subject).copied().unwrap_or(up);
        if current == desired || !orders.fenced.may_call(&subject) {
            continue;
        }
        let body = ScaleBody { service: service.name.clone(), zone, desired };
        let status = call_as_singleton(core, orders.epoch, "/scale", json::to_string(&body)).await;
        match status {
            Some(200) => _ = orders.ordered.insert(subject, desired),
            Some(FENCED) => orders.fenced.record_refusal(subject),
            _ => {}
        }
    }
}
