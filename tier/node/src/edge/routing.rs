//! Finds the route and the tenant of a request, and passes it to the module that serves it.

use super::response::{RETRY_AFTER_S, ServeOutcome, respond};
use super::{batch_api, forward};
use crate::http::{Connection, HttpRequest, HttpResponse};
use crate::metrics::RequestOutcome;
use crate::node::Node;
use quillmount_dataplane::routes::{Access, CompiledRoute, RouteMode, RouteTable};
use quillmount_dataplane::tables::TableSnapshot;
use std::rc::Rc;
use std::time::Duration;

/// Time from the start of a process until it usually serves requests, if the whole system starts, seconds.
const SYSTEM_START_S: f64 = 0.9;
/// Requests wait for the first configuration until the process has run for this time, seconds. Most starts take less.
const FIRST_CONFIGURATION_WAIT_S: f64 = 0.4;

/// What serves a request.
enum Destination {
    /// The store of the batch job that the target names.
    Job {
        /// Name of the tenant that the job has to belong to; empty where there are no tenants.
        tenant: Rc<str>,
    },
    /// A route.
    Route {
        /// The route.
        route: Rc<CompiledRoute>,
        /// Name of the tenant, if the request has one.
        tenant: Option<Rc<str>>,
    },
}

/// Serves one request.
pub(super) async fn serve(
    node: &Rc<Node>,
    connection: &mut Connection,
    request: HttpRequest,
) -> ServeOutcome {
    let keep_alive = request.head.keep_alive;
    let tables = first_tables(node).await;
    if tables.versions.configuration == 0 {
        return respond_here(node, connection, keep_alive, &not_configured(node)).await;
    }
    let response = match destination(&tables.routes, &request) {
        Err(refusal) if node.may_refuse() => refusal,
        Err(_) => refusal_uncertain(),
        Ok(Destination::Job { tenant }) => batch_api::answer(node, &request, &tenant).await,
        Ok(Destination::Route { route, tenant }) => {
            let tenant = tenant.as_deref();
            if route.mode != RouteMode::Bulk || request.head.method != "POST" {
                return forward::serve(node, connection, request, &route, tenant).await;
            }
            batch_api::submit(node, &request, &route, tenant).await
        }
    };
    respond_here(node, connection, keep_alive, &response).await
}

/// Writes a response that is not an endpoint's, and counts it.
async fn respond_here(
    node: &Node,
    connection: &mut Connection,
    keep_alive: bool,
    response: &HttpResponse,
) -> ServeOutcome {
    node.metrics.count_request(RequestOutcome::of_own_answer(response.status));
    respond(node, connection, keep_alive, response).await
}

/// The tables in force. Shortly after the start of the process this waits for the first ones.
async fn first_tables(node: &Node) -> Rc<TableSnapshot> {
    let mut updates = node.watch_tables();
    let time_left = Duration::from_secs_f64((FIRST_CONFIGURATION_WAIT_S - node.uptime_s()).max(0.0));
    let configured = updates.wait_for(|tables| tables.versions.configuration > 0);
    let _ = tokio::time::timeout(time_left, configured).await;
    node.tables()
}

fn not_configured(node: &Node) -> HttpResponse {
    let time_left = SYSTEM_START_S - node.uptime_s();
    HttpResponse::text(503, "no configuration is known here yet")
        .with_header("Retry-After", format!("{:.2}", time_left.max(RETRY_AFTER_S)))
}

/// Answers a request that the configuration known here does not allow, while a newer one may be in force elsewhere.
fn refusal_uncertain() -> HttpResponse {
    HttpResponse::text(503, "the newest configuration is not known here")
        .with_header("Retry-After", format!("{RETRY_AFTER_S:.2}"))
}

/// What serves a request, or the response that rejects it.
fn destination(routes: &RouteTable, request: &HttpRequest) -> Result<Destination, HttpResponse> {
    let target = &request.head.target;
    let authorization = request.head.headers.get("Authorization");
    if batch_api::is_job_call(target) {
        return match routes.authenticate(authorization, false) {
            Access::Tenant(tenant) => Ok(Destination::Job { tenant }),
            // Without tenants all jobs belong to the same one, which has no name.
            Access::Anonymous => Ok(Destination::Job { tenant: Rc::from("") }),
            Access::Denied => Err(unknown_key()),
        };
    }
    let host = request.head.headers.get("Host").unwrap_or_default();
    let route = routes.find(host, target).ok_or_else(|| HttpResponse::text(404, "no route matches"))?;
    match routes.authenticate(authorization, route.route.public.unwrap_or(false)) {
        Access::Tenant(tenant) => Ok(Destination::Route { route: route.clone(), tenant: Some(tenant) }),
        Access::Anonymous => Ok(Destination::Route { route: route.clone(), tenant: None }),
        Access::Denied => Err(unknown_key()),
    }
}

fn unknown_key() -> HttpResponse {
    HttpResponse::text(401, "the key is unknown")
}
