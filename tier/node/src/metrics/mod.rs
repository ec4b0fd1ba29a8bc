//! Figures of this process for operators, as text in the OpenMetrics form.
//!
//! [`Metrics`] counts what happens, and is given the state of the moment when its text is asked for (`metrics_server`).
//! `docs/operating.md` explains each figure.

mod address;
mod endpoint;
mod labels;

pub use address::MetricsAddress;
pub use endpoint::ServiceNumbers;
pub use labels::{PollResult, RequestOutcome, TableKind};

use endpoint::EndpointGauges;
use labels::{
    CallKind, CallLabels, GiveUpLabels, ItemLabels, PollLabels, RequestLabels, StatusLabels, TableLabels,
};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use quillmount_dataplane::batch_item::GiveUpReason;
use quillmount_dataplane::dispatch::CallOutcome;
use quillmount_wire::messages::Phase;
use std::time::Duration;

/// The figures of a process.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    items: Family<ItemLabels, Counter>,
    given_up_items: Family<GiveUpLabels, Counter>,
    polls: Family<PollLabels, Counter>,
    platform_calls: Family<StatusLabels, Counter>,
    elections: Counter,
    failed_writes: Counter,
    tables_sent: Family<TableLabels, Counter>,
    stalled_ms: Counter,
    endpoints: EndpointGauges,
    configuration_version: Gauge,
    core_silence_ms: Gauge,
    ready: Gauge,
    live_processes: Gauge,
    job_bytes: Gauge,
    free_segments: Gauge,
    shards_served: Gauge,
    peer_bytes_sent: Gauge,
    peer_bytes_received: Gauge,
}

/// State of a process at one moment, beyond what its dispatcher knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessState {
    /// Version of the configuration in force; 0 for none.
    pub configuration_version: u64,
    /// Time since the primary of the core last answered, milliseconds.
    pub core_silence_ms: u64,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Processes with a lease, as the primary of the core counts them; 0 elsewhere.
    pub live_processes: u64,
    /// Estimated memory of batch jobs, bytes.
    pub job_bytes: u64,
    /// Segments of the store's ring that can still be opened.
    pub free_segments: u64,
    /// Shards that this store serves as primary.
    pub shards_served: u64,
    /// Bytes sent to other processes of the tier since the start.
    pub peer_bytes_sent: u64,
    /// Bytes received from other processes of the tier since the start.
    pub peer_bytes_received: u64,
}

impl Metrics {
    /// Figures of a process that starts.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("quillmount"),
            requests: Family::default(),
            calls: Family::default(),
            items: Family::default(),
            given_up_items: Family::default(),
            polls: Family::default(),
            platform_calls: Family::default(),
            elections: Counter::default(),
            failed_writes: Counter::default(),
            tables_sent: Family::default(),
            stalled_ms: Counter::default(),
            endpoints: EndpointGauges::default(),
            configuration_version: Gauge::default(),
            core_silence_ms: Gauge::default(),
            ready: Gauge::default(),
            live_processes: Gauge::default(),
            job_bytes: Gauge::default(),
            free_segments: Gauge::default(),
            shards_served: Gauge::default(),
            peer_bytes_sent: Gauge::default(),
            peer_bytes_received: Gauge::default(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests of clients by how they ended", self.requests.clone());
        registry.register("calls", "Calls to endpoints by how they ended", self.calls.clone());
        registry.register("items", "Results of batch items by phase", self.items.clone());
        let help = "Batch items that were given up, by reason";
        registry.register("given_up_items", help, self.given_up_items.clone());
        registry.register("polls", "Polls of the core by their answer", self.polls.clone());
        let help = "Calls to the platform in a singleton role by status, 0 without an answer";
        registry.register("platform_calls", help, self.platform_calls.clone());
        registry.register("elections", "Elections that this member won", self.elections.clone());
        registry.register("failed_writes", "Records that the disk did not take", self.failed_writes.clone());
        let help = "Tables that answers to polls held, by kind";
        registry.register("tables_sent", help, self.tables_sent.clone());
        let help = "Time for which this process did not run though it was due, milliseconds";
        registry.register("stalled_ms", help, self.stalled_ms.clone());
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        self.endpoints.register(registry);
        let version = &self.configuration_version;
        registry.register("configuration_version", "Version of the configuration in force", version.clone());
        let help = "Time since the primary of the core last answered";
        registry.register("core_silence_ms", help, self.core_silence_ms.clone());
        registry.register("ready", "Whether requests are accepted", self.ready.clone());
        let help = "Processes with a lease, at the primary of the core";
        registry.register("live_processes", help, self.live_processes.clone());
        registry.register("job_bytes", "Estimated memory of batch jobs", self.job_bytes.clone());
        let help = "Segments of the ring that can still be opened";
        registry.register("free_segments", help, self.free_segments.clone());
        registry.register("shards_served", "Shards served as primary", self.shards_served.clone());
        let help = "Bytes sent to other processes of the tier";
        registry.register("peer_bytes_sent", help, self.peer_bytes_sent.clone());
        let help = "Bytes received from other processes of the tier";
        registry.register("peer_bytes_received", help, self.peer_bytes_received.clone());
    }

    /// Counts a request of a client that has ended.
    pub fn count_request(&self, outcome: RequestOutcome) {
        self.requests.get_or_create(&RequestLabels { outcome }).inc();
    }

    /// Counts a call to an endpoint that has ended.
    pub fn count_call(&self, outcome: CallOutcome) {
        self.calls.get_or_create(&CallLabels { outcome: CallKind::from(outcome) }).inc();
    }

    /// Counts an item of a batch job that has its result.
    pub fn count_item(&self, phase: Phase) {
        self.items.get_or_create(&ItemLabels::from(phase)).inc();
    }

    /// Counts an item of a batch job that was given up.
    pub fn count_given_up_item(&self, reason: GiveUpReason) {
        self.given_up_items.get_or_create(&GiveUpLabels { reason: reason.into() }).inc();
    }

    /// Counts a poll of the core.
    pub fn count_poll(&self, result: PollResult) {
        self.polls.get_or_create(&PollLabels { result }).inc();
    }

    /// Counts a call to the platform in a singleton role.
    pub fn count_platform_call(&self, status: Option<u16>) {
        self.platform_calls.get_or_create(&StatusLabels { status: status.unwrap_or(0) }).inc();
    }

    /// Counts an election that this member won.
    pub fn count_election(&self) {
        self.elections.inc();
    }

    /// Counts a record that the disk did not take.
    pub fn count_failed_write(&self) {
        self.failed_writes.inc();
    }

    /// Counts a table that an answer to a poll holds.
    pub fn count_table(&self, kind: TableKind) {
        self.tables_sent.get_or_create(&TableLabels { kind }).inc();
    }

    /// Counts time for which the process did not run though it was due.
    pub fn count_stall(&self, duration: Duration) {
        self.stalled_ms.inc_by(duration.as_millis() as u64);
    }

    /// The figures as text, with the state of this moment.
    ///
    /// # Errors
    /// A figure can't be written.
    pub fn encode(&self, state: &ProcessState, services: &ServiceNumbers) -> Result<String, std::fmt::Error> {
        self.set_state(state);
        self.endpoints.set(services);
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn set_state(&self, state: &ProcessState) {
        let gauges = [
            (&self.configuration_version, state.configuration_version),
            (&self.core_silence_ms, state.core_silence_ms),
            (&self.ready, u64::from(state.ready)),
            (&self.live_processes, state.live_processes),
            (&self.job_bytes, state.job_bytes),
            (&self.free_segments, state.free_segments),
            (&self.shards_served, state.shards_served),
            (&self.peer_bytes_sent, state.peer_bytes_sent),
            (&self.peer_bytes_received, state.peer_bytes_received),
        ];
        for (gauge, value) in gauges {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }
}
