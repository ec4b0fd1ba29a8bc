//! Forwards a request to endpoints, one attempt after the other, and passes the answer on to the client.
//!
//! An attempt reserves a slot at an endpoint, sends the request and forwards the answer. A request is retried at another
//! endpoint if it has certainly not run, or if its route allows it to run twice (`request` has the rules). `attempt` sends it
//! and judges the answer; `stream` and `buffered` forward the two kinds of bodies; `head` writes the heads.

mod attempt;
mod buffered;
mod head;
mod request;
mod stream;

use super::admission;
use super::response::{ServeOutcome, refusal, respond};
use crate::http::{Connection, HttpRequest, HttpResponse};
use crate::metrics::RequestOutcome;
use crate::node::Node;
use quillmount_dataplane::dispatch::ReserveError;
use quillmount_dataplane::routes::CompiledRoute;
use request::{AttemptOutcome, ForwardedRequest, unless_disconnected};
use std::rc::Rc;

/// Serves one request of a route.
pub(super) async fn serve(
    node: &Rc<Node>,
    connection: &mut Connection,
    request: HttpRequest,
    route: &CompiledRoute,
    tenant: Option<&str>,
) -> ServeOutcome {
    let mut request = ForwardedRequest::new(node, request, route, tenant);
    let mut last_answer = refusal("no endpoint has room");
    while request.may_attempt() {
        let reserving = admission::reserve(
            node,
            &request.service,
            &request.profile,
            &request.tried,
            request.reserve_until(),
        );
        let Some(reserved) = unless_disconnected(connection, reserving).await else {
            node.metrics.count_request(RequestOutcome::Abandoned);
            return ServeOutcome::Abort;
        };
        let reservation = match reserved {
            Ok(reservation) => reservation,
            Err(ReserveError::NoEndpoint) if !request.tried.is_empty() && request.runs == 0 => {
                // No endpoint has run it: those that rejected it may have a free slot by now.
                request.tried.clear();
                request.misses += 1;
                continue;
            }
            Err(_) => break,
        };
        match attempt::run(&mut request, connection, &reservation).await {
            AttemptOutcome::Done(outcome) => {
                node.metrics.count_request(outcome_of(&outcome));
                return outcome;
            }
            AttemptOutcome::Retry(answer) => last_answer = answer,
        }
        request.tried.push(reservation.id);
    }
    give_up(&request, connection, last_answer).await
}

/// The outcome of a request whose last attempt decided it.
fn outcome_of(served: &ServeOutcome) -> RequestOutcome {
    match served {
        ServeOutcome::KeepAlive | ServeOutcome::Close => RequestOutcome::Answered,
        ServeOutcome::Abort => RequestOutcome::Abandoned,
    }
}

/// Answers a request for which no endpoint is left. Only if none can have run it, the answer promises that it has not run.
async fn give_up(
    request: &ForwardedRequest<'_>,
    connection: &mut Connection,
    last_answer: HttpResponse,
) -> ServeOutcome {
    let may_have_run = request.head_sent || request.runs > 0;
    let outcome = if may_have_run { RequestOutcome::Failed } else { RequestOutcome::Refused };
    request.node.metrics.count_request(outcome);
    if request.head_sent {
        return ServeOutcome::Abort;
    }
    let answer = if request.runs == 0 { refusal("no endpoint has room") } else { last_answer };
    respond(request.node, connection, request.keep_alive(), &answer).await
}
