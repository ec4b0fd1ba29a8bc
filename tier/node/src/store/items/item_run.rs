//! State of a batch item until it has a result.

use crate::clock;
use crate::node::Node;
use crate::store::shard::ServedShard;
use crate::store::term::TrackedJob;
use quillmount_dataplane::batch_item::{GiveUpReason, ItemDecision, ItemProgress, decide};
use quillmount_dataplane::dispatch::Reservation;
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_dataplane::routes::{CompiledRoute, RouteTable};
use quillmount_wire::Micros;
use quillmount_wire::messages::{Item, Job};
use std::rc::Rc;

/// An item that is due within this time counts as late, microseconds. This is about the time that an item takes to run.
const LATE_MARGIN: Micros = 700_000;
/// Time after which an item is due if its route sets none or is not known yet, milliseconds.
const DEFAULT_DUE_MS: f64 = 60_000.0;
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
    /// Number of attempts that an endpoint answered with status 500.
    pub failures: u32,
    /// Ids of the endpoints tried since the last progress.
    pub tried_endpoints: Vec<String>,
    /// Time by which the result is due.
    pub due_at: Micros,
}

/// Decision about a waiting item.
pub enum NextStep {
    /// Drop the item, because its job or the term has ended.
    Drop,
    /// Give the item up, with a dead-letter result.
    GiveUp(GiveUpReason),
    /// Decide again once a newer configuration may be in force.
    Defer,
    /// Reserve an endpoint of the service for the item.
    Reserve {
        /// Name of the service.
        service: String,
        /// Properties of the request that the choice of an endpoint depends on.
        profile: RequestProfile,
    },
}

impl ItemRun {
    /// Returns whether the item can probably not complete before it is due.
    pub fn is_late(&self) -> bool {
        clock::now() + LATE_MARGIN > self.due_at
    }

    /// Returns the item as it was submitted.
    pub fn item(&self) -> &Item {
        &self.job.items[self.item as usize]
    }

    /// Decides whether and at which service the item runs, according to the current configuration. If the route has several services,
    /// one is chosen at random by weight.
    pub fn next_step(&self, node: &Node) -> NextStep {
        if self.tracked.cancelled.is_set() || !self.served.term.is_serving() {
            return NextStep::Drop;
        }
        let tables = node.tables();
        let route = tables.routes.by_name(&self.job.route).map(|route| &**route);
        let progress = ItemProgress {
            age: clock::now().saturating_sub(self.tracked.known_since),
            failures: self.failures,
            has_configuration_of_job: node.has_configurations_of(self.tracked.known_since),
        };
        match decide(route, progress) {
            ItemDecision::Run(route) => self.reserve_step(route),
            ItemDecision::GiveUp(reason) => NextStep::GiveUp(reason),
            ItemDecision::Defer => NextStep::Defer,
        }
    }

    fn reserve_step(&self, route: &CompiledRoute) -> NextStep {
        let profile = RequestProfile::parse(self.header("Token-Count"), self.header("Prompt-Prefix"));
        let service = route.pick_service(clock::random_fraction()).unwrap_or_default().to_owned();
        NextStep::Reserve { service, profile }
    }

    /// Sets the time by which the result is due from the route of the job, as far as that is known.
    pub fn update_due_time(&mut self, routes: &RouteTable) {
        let route = routes.by_name(&self.job.route);
        let due_ms = route.and_then(|route| route.route.due_ms).unwrap_or(DEFAULT_DUE_MS);
        self.due_at = self.tracked.known_since + clock::micros_from_ms(due_ms);
    }

    /// Creates the HTTP request, head and body, for the reserved endpoint.
    pub fn request(&self, reservation: &Reservation) -> Vec<u8> {
        let item = self.item();
        let mut head =
            format!("POST {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\n", item.path, self.job.host, item.id);
        for (name, value) in &item.headers {
            if is_valid_header(name, value) && !is_replaced_header(name) {
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

/// Returns whether a header can be sent without corrupting the request head.
fn is_valid_header(name: &str, value: &str) -> bool {
    !name.is_empty() && !name.contains([':', '\r', '\n', ' ']) && !value.contains(['\r', '\n'])
}

fn is_replaced_header(name: &str) -> bool {
    REPLACED_HEADERS.iter().any(|replaced| name.eq_ignore_ascii_case(replaced))
}
