//! One client request: sent to endpoints, its answer passed on.

mod buffered;
mod stream;

use super::admission;
use super::connection::{ServeOutcome, refusal, respond};
use crate::clock;
use crate::http::{Connection, HttpRequest, HttpResponse, reason_phrase};
use crate::node::Node;
use crate::upstream::{UpstreamAnswer, UpstreamError, UpstreamRequest};
use quillmount_dataplane::dispatch::{CallOutcome, Reservation, ReserveError};
use quillmount_dataplane::head::{ResponseHead, is_connection_header};
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_dataplane::routes::CompiledRoute;
use std::rc::Rc;
use std::time::Duration;

/// Largest answer that is not a stream, bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Refusals and failed connections of one request after which it is given up.
const MAX_MISSES: usize = 6;
/// A resumable stream whose endpoint is silent for so long goes on elsewhere.
const RESUME_AFTER: Duration = Duration::from_millis(900);
/// Statuses that promise to a client that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 3] = [408, 429, 503];
/// Headers that are set here, whatever the client sent.
const OWN_HEADERS: [&str; 6] =
    ["authorization", "tenant", "deadline", "expect-endpoint", "last-event-id", "expect-version"];

/// A request on its way.
struct Forward<'a> {
    node: &'a Rc<Node>,
    request: HttpRequest,
    route: &'a CompiledRoute,
    tenant: Option<&'a str>,
    service: String,
    profile: RequestProfile,
    /// Steady clock.
    deadline: u64,
    tried: Vec<String>,
    /// Endpoints that may have run it.
    runs: u32,
    /// Refusals and failed connections.
    misses: usize,
    /// Id of the last event passed on.
    last_event: Option<u64>,
    /// The head was passed on.
    begun: bool,
    /// The request is counted for usage.
    counted: bool,
}

/// What one endpoint made of it.
enum AttemptOutcome {
    /// Passed on to its end.
    Done(ServeOutcome),
    /// Try another endpoint; a final answer if there is none.
    Retry(HttpResponse),
}

/// Serves one request.
pub async fn serve(
    node: &Rc<Node>,
    connection: &mut Connection,
    request: HttpRequest,
    route: &Rc<CompiledRoute>,
    tenant: Option<&str>,
) -> ServeOutcome {
    let headers = &request.head.headers;
    let stated: f64 = headers.get("Deadline").and_then(|value| value.trim().parse().ok()).unwrap_or(f64::MAX);
    let span = stated.min(route.route.deadline_ms).clamp(0.0, 3_600_000.0);
    let deadline = request.arrived + clock::millis(span).as_micros() as u64;
    let profile = RequestProfile::parse(headers.get("Token-Count"), headers.get("Prompt-Prefix"));
    let draw = (clock::random_id() % 10_000) as f64 / 10_000.0;
    let service = route.pick_service(draw).unwrap_or_default().to_owned();
    let last_event = headers.get("Last-Event-Id").and_then(|value| value.trim().parse().ok());
    let mut forward = Forward {
        node,
        request,
        route,
        tenant,
        service,
        profile,
        deadline,
        tried: Vec::new(),
        runs: 0,
        misses: 0,
        last_event,
        begun: false,
        counted: false,
    };
    forward.run(connection).await
}

impl Forward<'_> {
    async fn run(&mut self, connection: &mut Connection) -> ServeOutcome {
        let keep_alive = self.request.head.keep_alive;
        let mut last = refusal("no endpoint has room");
        loop {
            if !self.may_attempt() {
                return self.give_up(connection, last).await;
            }
            let until = self.wait_until();
            let (tried, node) = (self.tried.clone(), self.node);
            let reserved = tokio::select! {
                reserved = admission::reserve(node, &self.service, &self.profile, &tried, until) => reserved,
                () = connection.client_disconnected() => return ServeOutcome::Abort,
            };
            let reservation = match reserved {
                Ok(reservation) => reservation,
                Err(ReserveError::NoEndpoint) if !self.tried.is_empty() && self.runs == 0 => {
                    // All were tried without a run: those that refused may have room by now.
                    self.tried.clear();
                    self.misses += 1;
                    continue;
                }
                Err(_) => return self.give_up(connection, last).await,
            };
            match self.attempt(connection, &reservation, keep_alive).await {
                AttemptOutcome::Done(served) => return served,
                AttemptOutcome::Retry(answer) => last = answer,
            }
            self.tried.push(reservation.id);
        }
    }

    fn may_attempt(&self) -> bool {
        let retryable = self.runs == 0 || (self.route.idempotent() && self.runs < self.route.max_attempts);
        retryable && self.misses < MAX_MISSES && clock::micros() < self.deadline
    }

    fn wait_until(&self) -> u64 {
        if self.runs > 0 {
            return self.deadline;
        }
        admission::wait_until(self.request.arrived, self.route.route.target_ms, self.deadline)
    }

    /// The final answer where no endpoint is left: a promise only if none may have run it.
    async fn give_up(&self, connection: &mut Connection, last: HttpResponse) -> ServeOutcome {
        if self.begun {
            return ServeOutcome::Abort;
        }
        let keep_alive = self.request.head.keep_alive;
        let answer = if self.runs == 0 { refusal("no endpoint has room") } else { last };
        respond(self.node, connection, keep_alive, &answer).await
    }

    fn head_bytes(&self, reservation: &Reservation) -> Vec<u8> {
        let head = &self.request.head;
        let mut out = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
        for (name, value) in &head.headers.0 {
            let own = OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own));
            if !own && !is_connection_header(name, &head.headers) {
                out.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        let left = self.deadline.saturating_sub(clock::micros()) / 1000;
        out.push_str(&format!("Deadline: {left}\r\nExpect-Endpoint: {}\r\n", reservation.id));
        if let Some(tenant) = self.tenant {
            out.push_str(&format!("Tenant: {tenant}\r\n"));
        }
        if let Some(last) = self.last_event {
            out.push_str(&format!("Last-Event-Id: {last}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", self.request.body.len()));
        out.into_bytes()
    }

    /// How long the first sign of an answer is waited for.
    fn first_byte_timeout(&self) -> Duration {
        let left = Duration::from_micros(self.deadline.saturating_sub(clock::micros()));
        if self.route.resumable && self.runs < self.route.max_attempts {
            left.min(RESUME_AFTER)
        } else {
            left
        }
    }

    async fn attempt(
        &mut self,
        connection: &mut Connection,
        reservation: &Reservation,
        keep_alive: bool,
    ) -> AttemptOutcome {
        let node = self.node;
        let sent = clock::micros();
        let mut bytes = self.head_bytes(reservation);
        bytes.extend_from_slice(&self.request.body);
        self.runs += 1;
        let request_id = self.request.head.headers.get("Request-Id").unwrap_or_default().to_owned();
        let upstream = UpstreamRequest {
            endpoint: &reservation.id,
            address: &reservation.address,
            request_id: &request_id,
            bytes: &bytes,
        };
        let answer = tokio::select! {
            answer = node.upstreams.send(upstream, self.first_byte_timeout()) => answer,
            () = connection.client_disconnected() => {
                self.finish(reservation, CallOutcome::Abandoned, false);
                return AttemptOutcome::Done(ServeOutcome::Abort);
            }
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => return self.failed(reservation, error, sent),
        };
        let not_run = answer.head.headers.get("Not-Run").is_some() || answer.head.status == 421;
        if not_run {
            return self.refused(reservation, answer).await;
        }
        if NOT_RUN_STATUSES.contains(&answer.head.status) {
            // Passed on it would promise that the request has not run; the endpoint does not say so.
            return self.failed(reservation, UpstreamError::Broken, sent);
        }
        let stream =
            answer.head.headers.get("Content-Type").is_some_and(|kind| kind.starts_with("text/event-stream"));
        if answer.head.status / 100 == 2 && stream {
            return self.forward_stream(connection, reservation, answer, sent, keep_alive).await;
        }
        self.forward_buffered(connection, reservation, answer, sent, keep_alive).await
    }

    fn finish(&self, reservation: &Reservation, end: CallOutcome, begun: bool) {
        self.node.dispatcher.borrow_mut().finish(reservation, end, begun, clock::micros());
        self.node.capacity_freed.notify_waiters();
    }

    fn failed(&mut self, reservation: &Reservation, error: UpstreamError, sent: u64) -> AttemptOutcome {
        let spent = clock::micros().saturating_sub(sent);
        match error {
            UpstreamError::NotSent => {
                self.runs -= 1;
                self.misses += 1;
                self.finish(reservation, CallOutcome::Lost, false);
                AttemptOutcome::Retry(refusal("no endpoint could be reached"))
            }
            UpstreamError::Broken => {
                self.finish(reservation, CallOutcome::Lost, false);
                AttemptOutcome::Retry(HttpResponse::text(502, "the endpoint broke off"))
            }
            UpstreamError::Silent => {
                self.finish(reservation, CallOutcome::TimedOut(spent), false);
                AttemptOutcome::Retry(HttpResponse::text(504, "the endpoint did not answer in time"))
            }
        }
    }

    /// The endpoint has not run it and says so.
    async fn refused(&mut self, reservation: &Reservation, mut answer: UpstreamAnswer) -> AttemptOutcome {
        self.runs -= 1;
        self.misses += 1;
        let end = if answer.head.status == 421 { CallOutcome::Replaced } else { CallOutcome::Refused };
        self.finish(reservation, end, false);
        if answer.read_all(ANSWER_LIMIT).await.is_some() {
            answer.release(&self.node.upstreams);
        }
        AttemptOutcome::Retry(refusal("endpoints are full"))
    }

    fn count(&mut self) {
        if !self.counted {
            self.counted = true;
            self.node.count_usage(self.tenant.unwrap_or_default());
        }
    }
}

/// The endpoint's head for the client, without the framing of the body.
fn response_head(head: &ResponseHead, keep_alive: bool) -> Vec<u8> {
    let phrase = if head.reason.is_empty() { reason_phrase(head.status) } else { &head.reason };
    let mut out = format!("HTTP/1.1 {} {}\r\n", head.status, phrase);
    for (name, value) in &head.headers.0 {
        if !is_connection_header(name, &head.headers) {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    if !keep_alive {
        out.push_str("Connection: close\r\n");
    }
    out.into_bytes()
}
