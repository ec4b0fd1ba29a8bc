//! Helpers for the tests of this package: a courier without sockets, classes, endpoints, and the calls that are started.
#![allow(dead_code)]

use quillmount_core::hub::{DriverAction, Hub};
use quillmount_core::router::RouterOptions;
use quillmount_core::store::Memory;
use quillmount_core::{DeliveryCall, EndpointListing};
use quillmount_policy::{EndpointState, Micros, StateVisitor};
use quillmount_settings::{Category, SenderSettings};

pub const NOW: Micros = 1_000_000_000;

pub type World = Hub<Memory, u32>;

/// The options of a router that accepts no streams.
pub fn options(settings: &SenderSettings, journal_limit: u64) -> RouterOptions<'_> {
    RouterOptions { settings, streams: None, seed: 7, journal_limit }
}

/// A message class with a deadline of 16 s.
pub fn class(name: &str, effect: &str) -> Category {
    Category {
        name: name.into(),
        effect: Some(effect.into()),
        deadline_ms: 16_000.0,
        latency_target_ms: 3_000.0,
        ..Category::default()
    }
}

/// An endpoint of a destination, whose kind the settings lack.
pub fn endpoint(id: &str, dest: u64, state: EndpointState) -> EndpointListing {
    let (addr, zone) = ("127.0.0.1:1".parse().ok(), String::new());
    EndpointListing { id: id.into(), addr, dest, kind: String::new(), zone, weight: 9.0, state }
}

pub fn calls(actions: Vec<DriverAction<u32>>) -> Vec<DeliveryCall> {
    actions
        .into_iter()
        .filter_map(|action| if let DriverAction::Begin(call) = action { Some(call) } else { None })
        .collect()
}

/// The store that remains after a crash and that the next process reads.
pub fn store_after_crash(hub: &World) -> Memory {
    Memory::from_bytes(hub.router.journal().store().bytes().to_vec())
}

/// Collects all values that are passed to a visitor, in order.
#[derive(Default, PartialEq, Debug)]
pub struct VisitedValues(Vec<u64>);

impl StateVisitor for VisitedValues {
    fn visit_u64(&mut self, value: u64) {
        self.0.push(value);
    }
    fn visit_time(&mut self, at: Micros) {
        self.0.push(at);
    }
    fn visit_message(&mut self, id: u64) {
        self.0.push(id);
    }
    fn visit_endpoint(&mut self, id: u32) {
        self.0.push(id.into());
    }
}

/// The values that the router passes to a visitor.
pub fn visited_values(hub: &World) -> VisitedValues {
    let mut values = VisitedValues::default();
    hub.router.visit_state(&mut values);
    values
}
