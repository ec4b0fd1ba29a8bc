//! Serves the figures of a process over HTTP: what it counted, and its state of the moment.

use crate::clock;
use crate::control_member::ControlMember;
use crate::http::{self, HttpResponse, HttpService};
use crate::metrics::{MetricsAddress, ProcessState, ServiceNumbers};
use crate::node::Node;
use crate::socket;
use std::collections::HashMap;
use std::rc::Rc;

/// Content type of the text.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What a store tells of itself.
pub trait StoreFigures {
    /// Estimated memory of all jobs, bytes.
    fn job_bytes(&self) -> usize;
    /// Segments of the journal that are free.
    fn free_segments(&self) -> usize;
    /// Shards that it serves as primary.
    fn shards_served(&self) -> usize;
    /// Items that wait for an endpoint, by service.
    fn waiting_items(&self) -> HashMap<String, u32>;
}

/// What the figures are taken from.
pub struct MetricsSources {
    /// The process.
    pub node: Rc<Node>,
    /// Its member of the core, if it has one.
    pub core: Option<Rc<ControlMember>>,
    /// Its store, if it is one.
    pub store: Option<Rc<dyn StoreFigures>>,
}

/// Serves the figures from now on. Without the port the role runs all the same: they are for people.
pub fn serve(address: &MetricsAddress, sources: MetricsSources) {
    let bind_address = format!("{}:{}", sources.node.settings.bind_ip, address.port);
    let listener = match socket::listen(&bind_address) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::warn!(%error, address = bind_address, "failed to listen for requests for metrics");
            return;
        }
    };
    let path = address.path.clone();
    let service: HttpService = Rc::new(move |request| {
        let wanted = request.head.method == "GET" && request.head.target == path;
        let response =
            if wanted { sources.figures() } else { HttpResponse::text(404, "there is no such page") };
        Box::pin(async move { Some(response) })
    });
    // Detached: serves until the process ends.
    tokio::task::spawn_local(http::serve(listener, service));
}

impl MetricsSources {
    fn figures(&self) -> HttpResponse {
        match self.node.metrics.encode(&self.process_state(), &self.service_numbers()) {
            Ok(text) => {
                let headers = vec![("Content-Type", CONTENT_TYPE.to_owned())];
                HttpResponse { status: 200, headers, body: text.into_bytes() }
            }
            Err(error) => HttpResponse::text(500, &error.to_string()),
        }
    }

    fn process_state(&self) -> ProcessState {
        let node = &self.node;
        let serving = self.core.as_ref().filter(|core| core.serving().is_some());
        let store = self.store.as_ref();
        ProcessState {
            configuration_version: node.tables().versions.configuration,
            core_silence_ms: node.core_silence() / 1000,
            ready: node.is_ready(),
            live_processes: serving.map_or(0, |core| core.leases.borrow().live_count(clock::now()) as u64),
            job_bytes: store.map_or(0, |store| store.job_bytes() as u64),
            free_segments: store.map_or(0, |store| store.free_segments() as u64),
            shards_served: store.map_or(0, |store| store.shards_served() as u64),
            peer_bytes_sent: node.links.traffic().sent_bytes(),
            peer_bytes_received: node.links.traffic().received_bytes(),
        }
    }

    fn service_numbers(&self) -> ServiceNumbers {
        let endpoints = self.node.dispatcher.borrow().endpoint_counts(clock::now());
        let mut waiting = self.node.waiting_requests();
        if let Some(store) = &self.store {
            for (service, items) in store.waiting_items() {
                *waiting.entry(service).or_default() += items;
            }
        }
        ServiceNumbers { endpoints, waiting }
    }
}
