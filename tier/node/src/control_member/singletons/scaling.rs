//! Autoscaling: requests endpoints from the platform according to the demand of couriers and stores.
//!
//! The primary of the core computes the desired number of endpoints per zone for each service from the demand reported with the
//! leases. It sends the number to the platform for each zone in which it differs from the last accepted one. Each service and zone
//! has a call of its own, so that a slow answer for one delays no other.

use super::platform::{STATUS_FENCED, call_as_singleton, may_act};
use crate::clock;
use crate::control_member::ControlMember;
use miniserde::{Serialize, json};
use quillmount_control::{FencedCalls, FencedSubject, Scaler};
use quillmount_wire::configuration::{Configuration, Service};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two evaluations of the demand.
const SCALE_INTERVAL: Duration = Duration::from_millis(500);
/// Name of this singleton role in the settings.
const ROLE: &str = "autoscaler";

/// JSON body of a scaling request for one service in one zone.
#[derive(Clone, Debug, Serialize)]
struct ScaleBody {
    #[serde(rename = "Backend")]
    service: String,
    #[serde(rename = "Az")]
    zone: String,
    #[serde(rename = "Desired")]
    desired: u32,
}

/// Scaling state of this member as primary of one epoch.
#[derive(Default)]
struct ScalingState {
    epoch: u64,
    scalers: HashMap<String, Scaler>,
    /// Last number of endpoints that the platform accepted, by service and zone.
    accepted: BTreeMap<FencedSubject, u32>,
    /// Services and zones for which a later primary has fenced off this one.
    fenced_calls: FencedCalls,
    /// Services and zones whose call has not ended: at most one call at a time for each.
    in_flight: BTreeSet<FencedSubject>,
}

impl ScalingState {
    fn new(epoch: u64) -> ScalingState {
        let mut state = ScalingState { epoch, ..ScalingState::default() };
        state.fenced_calls.use_token(epoch);
        state
    }

    /// Records the end of a call with the status of its response.
    fn call_ended(&mut self, subject: FencedSubject, desired: u32, status: Option<u16>) {
        self.in_flight.remove(&subject);
        match status {
            Some(200) => _ = self.accepted.insert(subject, desired),
            Some(STATUS_FENCED) => self.fenced_calls.record_refusal(subject),
            _ => {}
        }
    }
}

/// Endpoints of one service.
struct ServiceEndpoints {
    /// Number of endpoints that are not draining, by zone; 0 for a zone in which all endpoints are draining.
    up_by_zone: BTreeMap<String, u32>,
    /// Number of calls that one endpoint runs concurrently.
    capacity: f64,
}

/// Scales the services while this member is primary, until the process ends.
pub async fn scale_services(core: Rc<ControlMember>) {
    let mut state = Rc::new(RefCell::new(ScalingState::default()));
    loop {
        tokio::time::sleep(SCALE_INTERVAL).await;
        let Some(epoch) = core.serving() else { continue };
        if state.borrow().epoch != epoch {
            // Calls of the earlier epoch report to the state that they belong to.
            state = Rc::new(RefCell::new(ScalingState::new(epoch)));
        }
        let configuration =
            core.committed().and_then(|state| Configuration::parse(&state.configuration).ok());
        let Some(configuration) = configuration else { continue };
        for service in &configuration.services {
            scale(&core, &state, service);
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

/// Requests the desired number of endpoints in each zone of a service, if the configuration has bounds for autoscaling.
fn scale(core: &Rc<ControlMember>, state: &Rc<RefCell<ScalingState>>, service: &Service) {
    let Some(bounds) = &service.autoscale else { return };
    let ServiceEndpoints { up_by_zone, capacity } = count_endpoints(core, &service.name);
    if up_by_zone.is_empty() {
        return;
    }
    let demand = core.leases.borrow().demand(&service.name, clock::now());
    let mut scaling = state.borrow_mut();
    let scaler = scaling.scalers.entry(service.name.clone()).or_default();
    let desired = scaler.desired(clock::now(), demand, capacity, up_by_zone.len(), bounds);
    if !may_act(core, scaling.epoch, ROLE) {
        return;
    }
    for (zone, up) in up_by_zone {
        let subject = FencedSubject::Scale { service: service.name.clone(), zone: zone.clone() };
        let current = scaling.accepted.get(&subject).copied().unwrap_or(up);
        let may_call = current != desired && scaling.fenced_calls.may_call(&subject);
        if may_call && scaling.in_flight.insert(subject.clone()) {
            let body = ScaleBody { service: service.name.clone(), zone, desired };
            // The task ends with the call, which has a timeout.
            tokio::task::spawn_local(request_endpoints(core.clone(), state.clone(), subject, body));
        }
    }
}

async fn request_endpoints(
    core: Rc<ControlMember>,
    state: Rc<RefCell<ScalingState>>,
    subject: FencedSubject,
    body: ScaleBody,
) {
    let epoch = state.borrow().epoch;
    let status = call_as_singleton(&core, epoch, "/scale", json::to_string(&body)).await;
    state.borrow_mut().call_ended(subject, body.desired, status);
}
