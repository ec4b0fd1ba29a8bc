//! One attempt: the request is sent to an endpoint, and the head of the answer decides what follows.

use super::head::request_head;
use super::request::{Attempt, AttemptOutcome, ForwardedRequest, unless_disconnected};
use super::{buffered, stream};
use crate::clock;
use crate::edge::response::{ServeOutcome, refusal};
use crate::http::{Connection, HttpResponse};
use crate::upstream::{UpstreamAnswer, UpstreamError, UpstreamRequest};
use quillmount_dataplane::dispatch::{CallOutcome, Misdirection, Reservation};
use std::time::Duration;
use tokio::time::timeout;

/// Largest rejection of an endpoint that is read to its end, bytes.
const REJECTION_LIMIT: usize = 16 << 20;
/// Time for which the rest of a rejection is waited for, so that its connection can be used again.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Statuses that promise to a client that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 3] = [408, 429, 503];

/// Sends a request to the reserved endpoint and forwards the answer.
pub(super) async fn run(
    request: &mut ForwardedRequest<'_>,
    connection: &mut Connection,
    reservation: &Reservation,
) -> AttemptOutcome {
    let attempt = Attempt { reservation, started_at: clock::now() };
    let mut bytes = request_head(request, &reservation.id, request.time_left());
    bytes.extend_from_slice(&request.client_request.body);
    request.runs += 1;
    let upstream_request = UpstreamRequest {
        endpoint: &reservation.id,
        address: &reservation.address,
        request_id: request.client_request.head.headers.get("Request-Id").unwrap_or_default(),
        bytes: &bytes,
    };
    let sending = request.node.upstreams.send(upstream_request, request.silence_limit());
    let Some(sent) = unless_disconnected(connection, sending).await else {
        return request.abandon(&attempt);
    };
    match sent {
        Ok(answer) => forward_answer(request, connection, &attempt, answer).await,
        Err(error) => failed(request, &attempt, error),
    }
}

async fn forward_answer(
    request: &mut ForwardedRequest<'_>,
    connection: &mut Connection,
    attempt: &Attempt<'_>,
    answer: UpstreamAnswer,
) -> AttemptOutcome {
    if let Some(rejection) = CallOutcome::from_rejection(&answer.head, Misdirection::OfEndpoint) {
        return rejected(request, connection, attempt, answer, rejection).await;
    }
    if NOT_RUN_STATUSES.contains(&answer.head.status) {
        // Forwarded, it would promise to the client that the request has not run, which the endpoint does not say.
        return failed(request, attempt, UpstreamError::Broken);
    }
    if answer.head.status / 100 == 2 && answer.head.is_event_stream() {
        return stream::forward(request, connection, attempt, answer).await;
    }
    buffered::forward(request, connection, attempt, answer).await
}

/// The endpoint sent no usable answer.
fn failed(request: &mut ForwardedRequest<'_>, attempt: &Attempt<'_>, error: UpstreamError) -> AttemptOutcome {
    let elapsed = attempt.elapsed();
    match error {
        UpstreamError::NotSent => {
            request.runs -= 1;
            request.misses += 1;
            request.finish(attempt, CallOutcome::Lost, false);
            AttemptOutcome::Retry(refusal("no endpoint could be reached"))
        }
        UpstreamError::Broken => {
            request.finish(attempt, CallOutcome::Lost, false);
            AttemptOutcome::broken()
        }
        UpstreamError::Silent => {
            request.finish(attempt, CallOutcome::TimedOut(elapsed), false);
            AttemptOutcome::Retry(HttpResponse::text(504, "the endpoint did not answer in time"))
        }
    }
}

/// The endpoint has not run the request and says so.
async fn rejected(
    request: &mut ForwardedRequest<'_>,
    connection: &mut Connection,
    attempt: &Attempt<'_>,
    mut answer: UpstreamAnswer,
    rejection: CallOutcome,
) -> AttemptOutcome {
    request.runs -= 1;
    request.misses += 1;
    request.finish(attempt, rejection, false);
    let reading = timeout(REJECTION_TIMEOUT, answer.read_all(REJECTION_LIMIT));
    let Some(read) = unless_disconnected(connection, reading).await else {
        return AttemptOutcome::Done(ServeOutcome::Abort);
    };
    if matches!(read, Ok(Some(_))) {
        answer.release(&request.node.upstreams);
    }
    AttemptOutcome::Retry(refusal("endpoints are full"))
}
