//! Clients: requests on routes that are lasting, new or gone, at any courier, and what the courier decides.

use crate::duties::WINDOW;
use crate::machine::{Machine, MachineId};
use crate::operators::{LASTING_ROUTES, route_name};
use crate::platform::SERVICE;
use crate::world::World;
use quillmount_dataplane::dispatch::CallOutcome;
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_test_support::simulation::{Simulation, Time};
use quillmount_wire::messages::NodeRole;

/// Time to the first event of every call.
const LATENCY: Time = 20_000;

/// What a courier makes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to this endpoint.
    Sent { endpoint: String },
    /// 404: no route matches.
    Denied,
    /// 503.
    Refused,
}

/// A request and what became of it.
pub struct DecidedRequest {
    pub courier: MachineId,
    pub route: String,
    pub at: Time,
    pub decision: Decision,
    /// Version of the configuration that it was decided by.
    pub version: u64,
}

impl World {
    /// Sends a request to some machine.
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
        let at = self.now();
        if let Decision::Sent { endpoint } = &decision {
            self.check_drain(courier, endpoint);
        }
        let state = &mut self.machines[courier].state;
        let version = state.tables.versions.configuration;
        assert!(version >= state.decided_by, "CONFIG: machine {courier} went back to version {version}");
        state.decided_by = version;
        let calm = self.calm_since();
        self.audit.decided(&DecidedRequest { courier, route, at, decision, version }, calm);
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
            let age = state.contact.age(now);
            return if machine.limits.may_refuse(age) { Decision::Denied } else { Decision::Refused };
        }
        let profile = RequestProfile::default();
        let Ok(reservation) = state.dispatcher.reserve(SERVICE, &profile, None, &[], now) else {
            return Decision::Refused;
        };
        state.dispatcher.finish(&reservation, CallOutcome::FirstEvent(LATENCY), false, now);
        *state.usage.entry(window).or_default() += 1;
        self.audit.request_sent(window);
        Decision::Sent { endpoint: reservation.id }
    }

    /// An endpoint that the platform shows as draining gets no request later than `DrainMs` after that, whether the core answers or
    /// not, from a process that has run for that time and reaches the platform.
    fn check_drain(&self, courier: MachineId, endpoint: &str) {
        const DRAIN: Time = 3_000_000;
        let now = self.now();
        let Some(shown_at) = self.platform.drain_shown_at(endpoint) else { return };
        let machine = &self.machines[courier];
        let ran = now - machine.started_at > DRAIN && now > self.audit.frozen_until(courier) + DRAIN;
        assert!(
            !ran || now <= shown_at + DRAIN,
            "DRAIN: machine {courier} sent to {endpoint} {} ms after the list showed that it drains",
            (now - shown_at) / 1_000
        );
    }
}
