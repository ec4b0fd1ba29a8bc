//! Dispatchers with endpoints of the service `s`.

use quillmount_dataplane::dispatch::{Dispatcher, ServiceShare};
use quillmount_window::Parameters;
use quillmount_wire::messages::Endpoint;
use std::collections::HashMap;

/// An endpoint with this id and number of slots.
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

/// A dispatcher with endpoints of 16 slots.
pub fn dispatcher(ids: &[&str]) -> Dispatcher {
    seeded(1, ids)
}

/// The same with the seed of its random choices.
pub fn seeded(seed: u64, ids: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(seed, "z", Parameters::default());
    let list: Vec<Endpoint> = ids.iter().map(|id| endpoint(id, 16)).collect();
    dispatcher
        .update(&list, HashMap::from([("s".to_owned(), ServiceShare { slots: 16, cache_tokens: 100_000 })]));
    dispatcher
}
