//! Forwards an answer that is no stream, once it is complete.

use super::head::response_head;
use super::request::{Attempt, AttemptOutcome, ForwardedRequest, unless_disconnected};
use crate::edge::response::ServeOutcome;
use crate::http::{Connection, HttpResponse};
use crate::upstream::UpstreamAnswer;
use quillmount_dataplane::dispatch::CallOutcome;
use tokio::time::timeout;

/// Largest answer, bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Reads the complete answer and forwards it, or retries an error of the endpoint if the route allows that.
pub(super) async fn forward(
    request: &mut ForwardedRequest<'_>,
    connection: &mut Connection,
    attempt: &Attempt<'_>,
    mut answer: UpstreamAnswer,
) -> AttemptOutcome {
    let reading = timeout(request.time_left(), answer.read_all(ANSWER_LIMIT));
    let Some(read) = unless_disconnected(connection, reading).await else {
        return request.abandon(attempt);
    };
    let elapsed = attempt.elapsed();
    let Some(body) = read.ok().flatten() else {
        request.finish(attempt, CallOutcome::Lost, false);
        return AttemptOutcome::broken();
    };
    let status = answer.head.status;
    let failed = status >= 500;
    let outcome = if failed { CallOutcome::Error } else { CallOutcome::FirstEvent(elapsed) };
    request.finish(attempt, outcome, false);
    let head = answer.head.clone();
    answer.release(&request.node.upstreams);

    if failed && request.may_rerun() && request.is_in_time() {
        return AttemptOutcome::Retry(HttpResponse::text(502, "the endpoint failed"));
    }
    if request.head_sent {
        // The client has the beginning of a stream, which this answer does not continue.
        return AttemptOutcome::Done(ServeOutcome::Abort);
    }
    if status / 100 == 2 {
        request.count_usage();
    }
    let keep_alive = request.keep_alive() && !request.node.stopping.get();
    let mut bytes = response_head(&head, keep_alive);
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(&body);
    let written = connection.write(&bytes).await;
    AttemptOutcome::Done(ServeOutcome::after_write(written, keep_alive))
}
