//! The state of a request that is forwarded, and the rules for its attempts.

use crate::clock;
use crate::edge::admission;
use crate::edge::response::ServeOutcome;
use crate::http::{Connection, HttpRequest, HttpResponse};
use crate::node::Node;
use quillmount_dataplane::dispatch::{CallOutcome, Reservation};
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_dataplane::routes::CompiledRoute;
use quillmount_wire::Micros;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Rejections and failed connections after which a request is given up.
const MAX_MISSES: usize = 6;
/// Longest deadline that a client or a route can ask for, milliseconds.
const MAX_DEADLINE_MS: f64 = 3_600_000.0;
/// Time after which a resumable stream is continued at another endpoint if its endpoint is silent.
const RESUME_AFTER: Duration = Duration::from_millis(900);

/// A request with the progress of its attempts.
pub(super) struct ForwardedRequest<'a> {
    /// The process that forwards it.
    pub(super) node: &'a Rc<Node>,
    /// The request as the client sent it.
    pub(super) client_request: HttpRequest,
    /// Its route.
    pub(super) route: &'a CompiledRoute,
    /// Name of its tenant, if it has one.
    pub(super) tenant: Option<&'a str>,
    /// The service of the route that was drawn for it.
    pub(super) service: String,
    /// The load that it puts on an endpoint.
    pub(super) profile: RequestProfile,
    /// After this moment no further attempt begins, and the endpoint's answer is no longer waited for.
    pub(super) deadline: Micros,
    /// Ids of the endpoints that were tried.
    pub(super) tried: Vec<String>,
    /// Number of attempts in which an endpoint may have run it.
    pub(super) runs: u32,
    /// Number of rejections and failed connections.
    pub(super) misses: usize,
    /// Id of the last event that the client has.
    pub(super) last_event: Option<u64>,
    /// Whether the head of a response was sent to the client.
    pub(super) head_sent: bool,
    /// Whether it is counted in the tenant's usage.
    usage_counted: bool,
}

/// How one attempt ended.
pub(super) enum AttemptOutcome {
    /// Nothing more can be done for the request.
    Done(ServeOutcome),
    /// Another endpoint may be tried; the answer is for the client if there is none.
    Retry(HttpResponse),
}

impl AttemptOutcome {
    /// The endpoint's connection broke, or its answer is unusable.
    pub(super) fn broken() -> AttemptOutcome {
        AttemptOutcome::Retry(HttpResponse::text(502, "the endpoint broke off"))
    }
}

/// One attempt at one endpoint.
pub(super) struct Attempt<'a> {
    /// The reserved slot.
    pub(super) reservation: &'a Reservation,
    /// When it began.
    pub(super) started_at: Micros,
}

impl Attempt<'_> {
    /// Time since it began.
    pub(super) fn elapsed(&self) -> Micros {
        clock::now().saturating_sub(self.started_at)
    }
}

impl<'a> ForwardedRequest<'a> {
    /// A request without attempts. Draws the service.
    pub(super) fn new(
        node: &'a Rc<Node>,
        client_request: HttpRequest,
        route: &'a CompiledRoute,
        tenant: Option<&'a str>,
    ) -> ForwardedRequest<'a> {
        let headers = &client_request.head.headers;
        let stated_ms: f64 =
            headers.get("Deadline").and_then(|value| value.trim().parse().ok()).unwrap_or(f64::MAX);
        let time_limit_ms = stated_ms.min(route.route.deadline_ms).clamp(0.0, MAX_DEADLINE_MS);
        let deadline = client_request.arrived + clock::micros_from_ms(time_limit_ms);
        let profile = RequestProfile::parse(headers.get("Token-Count"), headers.get("Prompt-Prefix"));
        let draw = node.service_draws.borrow_mut().next(&route.route.name);
        let service = route.pick_service(draw).unwrap_or_default().to_owned();
        let last_event = headers.get("Last-Event-Id").and_then(|value| value.trim().parse().ok());
        ForwardedRequest {
            node,
            client_request,
            route,
            tenant,
            service,
            profile,
            deadline,
            tried: Vec::new(),
            runs: 0,
            misses: 0,
            last_event,
            head_sent: false,
            usage_counted: false,
        }
    }

    /// Whether the client keeps the connection open for another request.
    pub(super) fn keep_alive(&self) -> bool {
        self.client_request.head.keep_alive
    }

    /// Whether another endpoint may be tried.
    pub(super) fn may_attempt(&self) -> bool {
        let retryable = self.runs == 0 || self.may_rerun();
        retryable && self.misses < MAX_MISSES && self.is_in_time()
    }

    /// Whether the route allows another run after an endpoint may have run the request.
    pub(super) fn may_rerun(&self) -> bool {
        self.route.is_idempotent() && self.runs < self.route.max_attempts
    }

    /// Whether the deadline has not passed.
    pub(super) fn is_in_time(&self) -> bool {
        clock::now() < self.deadline
    }

    /// Until when the request waits for a slot. A retry waits until the deadline.
    pub(super) fn reserve_until(&self) -> Micros {
        if self.runs > 0 {
            return self.deadline;
        }
        admission::wait_until(self.client_request.arrived, self.route.route.target_ms, self.deadline)
    }

    /// Time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        Duration::from_micros(self.deadline.saturating_sub(clock::now()))
    }

    /// How long an endpoint may be silent before its attempt is given up.
    pub(super) fn silence_limit(&self) -> Duration {
        let time_left = self.time_left();
        if self.route.resumable && self.runs < self.route.max_attempts {
            time_left.min(RESUME_AFTER)
        } else {
            time_left
        }
    }

    /// Reports the end of an attempt to the dispatcher and wakes requests that wait for its slot.
    pub(super) fn finish(&self, attempt: &Attempt<'_>, outcome: CallOutcome, has_first_event: bool) {
        self.node.metrics.count_call(outcome);
        let mut dispatcher = self.node.dispatcher.borrow_mut();
        dispatcher.finish(attempt.reservation, outcome, has_first_event, clock::now());
        self.node.capacity_freed.notify_waiters();
    }

    /// Ends the request after its client has disconnected.
    pub(super) fn abandon(&self, attempt: &Attempt<'_>) -> AttemptOutcome {
        self.finish(attempt, CallOutcome::Abandoned, false);
        AttemptOutcome::Done(ServeOutcome::Abort)
    }

    /// Counts the request in the tenant's usage, once.
    pub(super) fn count_usage(&mut self) {
        if !self.usage_counted {
            self.usage_counted = true;
            self.node.count_usage(self.tenant.unwrap_or_default());
        }
    }
}

/// Runs an operation unless the client disconnects first; then `None`.
pub(super) async fn unless_disconnected<T>(
    connection: &mut Connection,
    operation: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        result = operation => Some(result),
        () = connection.client_disconnected() => None,
    }
}
