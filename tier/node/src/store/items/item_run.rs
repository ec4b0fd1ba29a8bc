//! State of a batch item until it has a result.

use super::failed_attempts::FailedAttempts;
use crate::clock;
use crate::node::Node;
use crate::store::shard::ServedShard;
use crate::store::term::TrackedJob;
use quillmount_dataplane::batch_item::{GiveUpReason, ItemDecision, ItemProgress, decide};
use quillmount_dataplane::dispatch::{Misdirection, Reservation};
use quillmount_dataplane::head::{is_header_name, is_header_value, is_request_target};
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_dataplane::routes::{CompiledRoute, RouteTable};
use quillmount_wire::Micros;
use quillmount_wire::messages::{Item, Job};
use std::rc::Rc;

/// Time after which an item is due if its route sets none or is not known yet, milliseconds.
const DEFAULT_DUE_MS: f64 = 60_000.0;
/// Header with which an item asks for a version of the weights.
const EXPECT_VERSION: &str = "Expect-Version";
/// Headers of an item that are not forwarded, because the request sets them itself or they apply to one connection only.
const REPLACED_HEADERS: [&str; 6] =
    ["host", "request-id", "tenant", "content-length", "connection", "transfer-encoding"];

/// An item that has to run, with the state that earlier attempts left.
pub struct ItemRun {
    /// Shard of the job, with the term in which the item runs.
    pub served: ServedShard,
    /// State of the job in this term, including its cancellation.
    pub tracked: TrackedJob,
    /// Job that the item belongs to.
    pub job: Rc<Job>,
    /// Index of the item in its job; always valid.
    pub item: u32,
    /// Data of the events received so far.
    pub text: Vec<String>,
    /// Number of the last received event, after which the next attempt resumes.
    pub last_event: Option<u64>,
    /// Attempts that an endpoint answered with status 500.
    pub failed_attempts: FailedAttempts,
    /// Ids of the endpoints tried since the last progress.
    pub tried_endpoints: Vec<String>,
    /// Time by which the result is due.
    pub due_at: Micros,
    /// Version of the configuration that was in force here when the item was first queued.
    pub known_version: u64,
}

/// Decision about a waiting item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Reserve an endpoint for the item.
    Reserve,
    /// Don't run the item now.
    Stop(StopReason),
}

/// Why an item does not run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job or the term has ended: the item is dropped.
    Ended,
    /// It is given up, with a dead-letter result.
    GivenUp(GiveUpReason),
    /// It is decided again once a newer configuration may be in force.
    Undecided,
}

impl ItemRun {
    /// Returns the item as it was submitted.
    pub fn item(&self) -> &Item {
        &self.job.items[self.item as usize]
    }

    /// Returns the route of the item's job; `None` if it has ended or is not known yet.
    pub fn route<'a>(&self, routes: &'a RouteTable) -> Option<&'a CompiledRoute> {
        routes.of_job(&self.job.route, &self.job.host, &self.job.path).map(|route| &**route)
    }

    /// Decides whether the item runs, according to the current configuration.
    pub fn next_step(&self, node: &Node) -> NextStep {
        if self.tracked.cancelled.is_set() || !self.served.term.is_serving() {
            return NextStep::Stop(StopReason::Ended);
        }
        let item = self.item();
        // Earlier releases accepted any text; it must not reach an endpoint as a request of its own.
        if !is_request_target(&item.path) || !is_header_value(&item.id) {
            return NextStep::Stop(StopReason::GivenUp(GiveUpReason::Malformed));
        }
        let tables = node.tables();
        let route = self.route(&tables.routes);
        let progress = ItemProgress {
            age: clock::now().saturating_sub(self.tracked.known_since),
            failures: self.failed_attempts.count(),
            has_configuration_of_job: node.has_configurations_of(self.tracked.known_since),
        };
        match decide(route, progress) {
            ItemDecision::Run(_) => NextStep::Reserve,
            ItemDecision::GiveUp(reason) => NextStep::Stop(StopReason::GivenUp(reason)),
            ItemDecision::Defer => NextStep::Stop(StopReason::Undecided),
        }
    }

    /// Chooses a service of the item's route at random by weight, among those for which `is_candidate` returns true. `None` if
    /// there is no such service.
    pub fn pick_service(&self, node: &Node, is_candidate: impl Fn(&str) -> bool) -> Option<String> {
        let tables = node.tables();
        let route = self.route(&tables.routes)?;
        route.pick_service_among(clock::random_fraction(), is_candidate).map(str::to_owned)
    }

    /// Returns the size of the result so far, of which each event is a line, bytes.
    pub fn result_bytes(&self) -> usize {
        self.text.iter().map(|line| line.len() + 1).sum()
    }

    /// Returns what a 421 response to the item may say.
    pub fn misdirection(&self) -> Misdirection {
        match self.header(EXPECT_VERSION) {
            Some(_) => Misdirection::OfEndpointOrVersion,
            None => Misdirection::OfEndpoint,
        }
    }

    /// Returns the properties of the item that the choice of an endpoint depends on.
    pub fn profile(&self) -> RequestProfile {
        RequestProfile::parse(self.header("Token-Count"), self.header("Prompt-Prefix"))
    }

    /// Sets the time by which the result is due from the route of the job, as far as that is known.
    pub fn update_due_time(&mut self, routes: &RouteTable) {
        let route = self.route(routes);
        let due_ms = route.and_then(|route| route.route.due_ms).unwrap_or(DEFAULT_DUE_MS);
        self.due_at = self.tracked.known_since + clock::micros_from_ms(due_ms);
    }

    /// Creates the HTTP request, head and body, for the reserved endpoint.
    pub fn request(&self, reservation: &Reservation) -> Vec<u8> {
        let item = self.item();
        let mut head =
            format!("POST {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\n", item.path, self.job.host, item.id);
        for (name, value) in &item.headers {
            if is_header_name(name) && is_header_value(value) && !is_replaced_header(name) {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        head.push_str(&format!("Expect-Endpoint: {}\r\nTenant: {}\r\n", reservation.id, self.job.tenant));
        if let Some(last) = self.last_event {
            head.push_str(&format!("Last-Event-Id: {last}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", item.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&item.body);
        bytes
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.item().headers.iter();
        headers
            .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

fn is_replaced_header(name: &str) -> bool {
    REPLACED_HEADERS.iter().any(|replaced| name.eq_ignore_ascii_case(replaced))
}
