//! Orders endpoints as the demand of couriers and stores asks for.

use super::register::ControlMember;
use super::singletons::{may_act, singleton_call};
use crate::clock;
use miniserde::{Serialize, json};
use quillmount_control::Scaler;
use quillmount_wire::configuration::{Configuration, Service};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Pause between two looks at the demand.
const SCALE_INTERVAL: Duration = Duration::from_millis(500);
/// The name of this role in the settings.
const ROLE: &str = "autoscaler";

#[derive(Serialize)]
struct ScaleBody {
    #[serde(rename = "Backend")]
    service: String,
    #[serde(rename = "Az")]
    zone: String,
    #[serde(rename = "Desired")]
    desired: u32,
}

/// What this holder knows and has ordered in one epoch.
#[derive(Default)]
struct ScaleOrders {
    epoch: u64,
    scalers: HashMap<String, Scaler>,
    /// By service and zone.
    ordered: HashMap<(String, String), u32>,
}

/// Follows the demand whenever this member holds the role.
pub async fn run(core: Rc<ControlMember>) {
    let mut orders = ScaleOrders::default();
    loop {
        tokio::time::sleep(SCALE_INTERVAL).await;
        let Some(epoch) = core.serving() else { continue };
        if orders.epoch != epoch {
            orders = ScaleOrders { epoch, ..ScaleOrders::default() };
        }
        let configuration = core.committed().and_then(|state| Configuration::read(&state.configuration).ok());
        let Some(configuration) = configuration else { continue };
        for service in &configuration.services {
            scale(&core, &mut orders, service).await;
        }
    }
}

/// Endpoints of a service that are up, by zone, and the places of one.
fn count_endpoints(core: &ControlMember, service: &str) -> (BTreeMap<String, u32>, f64) {
    let mut zones: BTreeMap<String, u32> = BTreeMap::new();
    let mut capacity = 1.0;
    for endpoint in core.directory.borrow().list().iter() {
        if endpoint.service == service {
            *zones.entry(endpoint.zone.clone()).or_default() += u32::from(!endpoint.draining);
            capacity = f64::from(endpoint.capacity);
        }
    }
    (zones, capacity)
}

async fn scale(core: &Rc<ControlMember>, orders: &mut ScaleOrders, service: &Service) {
    let Some(bounds) = &service.autoscale else { return };
    let (zones, capacity) = count_endpoints(core, &service.name);
    if zones.is_empty() {
        return;
    }
    let demand = core.leases.borrow().demand(&service.name);
    let scaler = orders.scalers.entry(service.name.clone()).or_default();
    let desired = scaler.desired(clock::micros(), demand, capacity, zones.len(), bounds);
    if !may_act(core, orders.epoch, ROLE) {
        return;
    }
    for (zone, up) in zones {
        let subject = (service.name.clone(), zone.clone());
        let current = orders.ordered.get(&subject).copied().unwrap_or(up);
        if current == desired {
            continue;
        }
        let body = ScaleBody { service: service.name.clone(), zone, desired };
        let status = singleton_call(core, orders.epoch, "/scale", json::to_string(&body)).await;
        if status == Some(200) {
            orders.ordered.insert(subject, desired);
        }
    }
}
