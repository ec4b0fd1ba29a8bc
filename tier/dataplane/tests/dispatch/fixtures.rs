//! Dispatchers with endpoints of the service `s`, for the tests of this target.

use quillmount_dataplane::dispatch::{Dispatcher, ServiceShare};
use quillmount_window::Parameters;
use quillmount_wire::messages::Endpoint;
use std::collections::HashMap;

/// An endpoint of the service `s` with `capacity` slots.
pub fn endpoint(id: &str, capacity: u32) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: format!("10.0.0.1:{id}"),
        zone: "z".to_owned(),
        capacity,
        draining: false,
        warmup_left_ms: 0.0,
        models: Vec::new(),
    }
}

/// A dispatcher with one endpoint of 16 slots for each id, and the seed 1.
pub fn dispatcher(ids: &[&str]) -> Dispatcher {
    seeded_dispatcher(1, ids)
}

/// A dispatcher with one endpoint of 16 slots for each id, and a seed for its random choices.
pub fn seeded_dispatcher(seed: u64, ids: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(seed, "z", Parameters::default());
    let list: Vec<Endpoint> = ids.iter().map(|id| endpoint(id, 16)).collect();
    dispatcher
        .update(&list, HashMap::from([("s".to_owned(), ServiceShare { slots: 16, cache_tokens: 100_000 })]));
    dispatcher
}
