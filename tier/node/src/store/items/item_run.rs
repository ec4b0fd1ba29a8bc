//! An item of a batch job on its way to a result.

use crate::clock;
use crate::store::shard::ServedShard;
use crate::store::term::TrackedJob;
use quillmount_dataplane::dispatch::Reservation;
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_dataplane::routes::RouteTable;
use quillmount_wire::Micros;
use quillmount_wire::messages::{Item, Job};
use std::rc::Rc;

/// An item that is due sooner than this counts as late, microseconds: about the time that an item takes.
const LATE_MARGIN: Micros = 700_000;
/// Attempts of an item whose route is gone.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
/// Headers of an item that the request sets itself, or that concern one connection only.
const REPLACED_HEADERS: [&str; 6] =
    ["host", "request-id", "tenant", "content-length", "connection", "transfer-encoding"];

/// An item that is to run, with what earlier attempts left.
pub struct ItemRun {
    /// The job's shard, and the term in which the item runs.
    pub served: ServedShard,
    /// The job's deadline and cancellation.
    pub tracked: TrackedJob,
    /// The job.
    pub job: Rc<Job>,
    /// Index of the item in its job, always a valid one.
    pub item: u32,
    /// Data of the events received so far.
    pub text: Vec<String>,
    /// Number of the last event received, from which an attempt resumes.
    pub last_event: Option<u64>,
    /// Number of attempts that the endpoint answered with status 500.
    pub failures: u32,
    /// Endpoints tried since the last progress.
    pub tried: Vec<String>,
    /// When the result is due.
    pub due: Micros,
}

/// What is to be done with an item before it runs.
pub enum NextStep {
    /// Drop it: the job or the term has ended.
    Drop,
    /// Give it up, with a result that says so.
    DeadLetter,
    /// Reserve an endpoint of the service for it.
    Reserve {
        /// Name of the service.
        service: String,
        /// What the choice of an endpoint depends on.
        profile: RequestProfile,
    },
}

impl ItemRun {
    /// Whether the item can no longer be done before it is due.
    pub fn is_late(&self) -> bool {
        clock::now() + LATE_MARGIN > self.due
    }

    /// The item as it was submitted.
    pub fn item(&self) -> &Item {
        &self.job.items[self.item as usize]
    }

    /// Decides whether and where the item runs, by the routes in force. Draws the service at random where a route has several.
    pub fn next_step(&self, routes: &RouteTable) -> NextStep {
        if self.tracked.cancelled.is_set() || !self.served.term.is_serving() {
            return NextStep::Drop;
        }
        let Some(route) = routes.by_name(&self.job.route) else { return NextStep::DeadLetter };
        let age = clock::now().saturating_sub(self.tracked.first_seen);
        let retain = route.route.retain_s.map(|span| clock::micros_from_ms(span * 1000.0));
        if retain.is_some_and(|retain| age > retain) {
            return NextStep::DeadLetter;
        }
        let profile = RequestProfile::parse(self.header("Token-Count"), self.header("Prompt-Prefix"));
        let service = route.pick_service(clock::random_fraction()).unwrap_or_default().to_owned();
        NextStep::Reserve { service, profile }
    }

    /// Most attempts that may fail before the item is given up.
    pub fn max_attempts(&self, routes: &RouteTable) -> u32 {
        routes.by_name(&self.job.route).map_or(DEFAULT_MAX_ATTEMPTS, |route| route.max_attempts)
    }

    /// The HTTP request, head and body, for the endpoint that is reserved.
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
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// Whether a header can be sent without changing the meaning of the head around it.
fn is_valid_header(name: &str, value: &str) -> bool {
    !name.is_empty() && !name.contains([':', '\r', '\n', ' ']) && !value.contains(['\r', '\n'])
}

fn is_replaced_header(name: &str) -> bool {
    REPLACED_HEADERS.iter().any(|replaced| name.eq_ignore_ascii_case(replaced))
}
