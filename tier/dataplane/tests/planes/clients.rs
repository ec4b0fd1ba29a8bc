//! Clients: requests to random couriers on lasting, added and removed routes, and the decisions of the couriers.

use crate::duties::WINDOW;
use crate::machine::{Machine, MachineId};
use crate::operators::{LASTING_ROUTES, route_name};
use crate::platform::SERVICE;
use crate::world::World;
use quillmount_dataplane::dispatch::CallOutcome;
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_test_support::simulation::{Simulation, Time};
use quillmount_wire::messages::NodeRole;

/// Time to the first event of every call, microseconds.
const LATENCY: Time = 20_000;

/// The decision of a courier on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to this endpoint.
    Sent { endpoint: String },
    /// Rejected with status 404: no route matches.
    Denied,
    /// Rejected with status 503: the courier has no current configuration or no free endpoint.
    Refused,
}

/// A request and the decision on it.
pub struct DecidedRequest {
    pub courier: MachineId,
    pub route: String,
    pub decided_at: Time,
    pub decision: Decision,
    /// Version of the configuration in force at the decision.
    pub version: u64,
}

impl World {
    /// Sends a request on a random route to a random courier.
    pub fn send_requests(&mut self) {
        let is_courier = |machine: &&Machine| machine.role != NodeRole::Store;
        let couriers: Vec<MachineId> =
            self.machines.iter().filter(is_courier).map(|machine| machine.id).collect();
        let courier = couriers[self.random.index(couriers.len())];
        if !self.is_running(courier) {
            return;
        }
        let route = self.draw_route();
        let decision = self.decide(courier, &route);
        let decided_at = self.now();
        if let Decision::Sent { endpoint } = &decision {
            self.check_drain(courier, endpoint);
            self.accept_job(courier, &route);
        }
        let state = &mut self.machines[courier].state;
        let version = state.tables.versions.configuration;
        assert!(
            version >= state.decided_by,
            "CONFIG: machine {courier} went back to configuration version {version}"
        );
        state.decided_by = version;
        let calm_since = self.calm_since();
        self.audit
            .check_decision(&DecidedRequest { courier, route, decided_at, decision, version }, calm_since);
    }

    fn draw_route(&mut self) -> String {
        match self.random.below(4) {
            0 | 1 => route_name(self.random.below(LASTING_ROUTES)),
            2 => format!("n{}", self.audit.draw_version(&mut self.random)),
            _ => format!("d{}", self.audit.draw_version(&mut self.random)),
        }
    }

    fn decide(&mut self, courier: MachineId, route: &str) -> Decision {
        let now = self.now();
        let window = self.wall_clock(courier) / WINDOW;
        let machine = &mut self.machines[courier];
        let state = &mut machine.state;
        if state.tables.versions.configuration == 0 {
            return Decision::Refused;
        }
        if state.tables.routes.find("h", &format!("/{route}/x")).is_none() {
            let age = state.contact.configuration_age(now);
            return if machine.limits.may_refuse(age) { Decision::Denied } else { Decision::Refused };
        }
        let profile = RequestProfile::default();
        let Ok(reservation) = state.dispatcher.reserve(SERVICE, &profile, None, &[], now) else {
            return Decision::Refused;
        };
        state.dispatcher.finish(&reservation, CallOutcome::FirstEvent(LATENCY), false, now);
        *state.usage.entry(window).or_default() += 1;
        self.audit.record_request(window);
        Decision::Sent { endpoint: reservation.id }
    }

    /// Checks that an endpoint receives no request later than `DrainMs` after the platform lists it as draining, whether or not the core
    /// answers. Processes that have started or were frozen within this time are exempt.
    fn check_drain(&self, courier: MachineId, endpoint: &str) {
        const DRAIN_LIMIT: Time = 3_000_000;
        let now = self.now();
        let Some(shown_at) = self.platform.drain_shown_at(endpoint) else { return };
        let machine = &self.machines[courier];
        let has_run =
            now - machine.started_at > DRAIN_LIMIT && now > self.audit.frozen_until(courier) + DRAIN_LIMIT;
        assert!(
            !has_run || now <= shown_at + DRAIN_LIMIT,
            "DRAIN: machine {courier} sent to {endpoint} {} ms after the list showed that it drains",
            (now - shown_at) / 1_000
        );
    }
}
