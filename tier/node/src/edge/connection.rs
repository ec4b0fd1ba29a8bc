//! Connections of clients.

use super::{batch_api, forward};
use crate::clock;
use crate::http::{Connection, HttpRequest, HttpResponse};
use crate::node::{Node, TableSnapshot};
use quillmount_dataplane::routes::{Access, RouteMode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Descriptors kept for endpoints, other couriers, and the disk.
const RESERVED_FRACTION: f64 = 0.5;
/// What a refusal tells a client to wait, seconds.
const RETRY_AFTER_S: f64 = 0.1;
/// How long a start of the whole system takes until requests are served, seconds.
const START_S: f64 = 0.9;
/// Requests wait for the first configuration until the process has run for so long, seconds: most starts take less.
const FIRST_WAIT_S: f64 = 0.4;

/// Connections of clients that are open.
pub struct ClientConnections {
    open: Cell<usize>,
    limit: usize,
    closing: Cell<bool>,
    close: Notify,
    refusing: Cell<bool>,
    refuse: Notify,
}

impl ClientConnections {
    pub fn new(node: &Node) -> ClientConnections {
        let limit = (node.settings.limits.open_files as f64 * RESERVED_FRACTION) as usize;
        ClientConnections {
            open: Cell::new(0),
            limit,
            closing: Cell::new(false),
            close: Notify::new(),
            refusing: Cell::new(false),
            refuse: Notify::new(),
        }
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes all that rest, now and later.
    pub fn close_idle(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
    }

    /// Takes nothing more, neither connections nor requests.
    pub fn refuse_all(&self) {
        self.refusing.set(true);
        self.refuse.notify_waiters();
    }

    /// Waits until nothing more is taken.
    async fn refusing(&self) {
        let notified = self.refuse.notified();
        if !self.refusing.get() {
            notified.await;
        }
    }

    /// Waits until resting connections are to be closed.
    async fn closing(&self) {
        let notified = self.close.notified();
        if !self.closing.get() {
            notified.await;
        }
    }
}

/// How a request ended.
pub enum ServeOutcome {
    /// The connection may carry another.
    KeepAlive,
    /// A last answer was written.
    Close,
    /// The connection can't be used, or must look broken.
    Abort,
}

/// Accepts clients until nothing more is taken; later ones find the address closed and go elsewhere.
pub async fn accept(node: Rc<Node>, connections: Rc<ClientConnections>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connections.refusing() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if connections.open.get() >= connections.limit {
            // Closed without having been read: the client may come again anywhere.
            continue;
        }
        let _ = stream.set_nodelay(true);
        connections.open.set(connections.open.get() + 1);
        let (node, connections) = (node.clone(), connections.clone());
        tokio::task::spawn_local(async move {
            run(&node, &connections, Connection::new(stream)).await;
            connections.open.set(connections.open.get() - 1);
        });
    }
}

async fn run(node: &Rc<Node>, connections: &ClientConnections, mut connection: Connection) {
    loop {
        let limits = node.tables().routes.limits.clone();
        let waited = tokio::select! {
            waited = tokio::time::timeout(clock::millis(limits.idle_ms), connection.wait_for_input()) => waited,
            () = connections.closing() => return,
        };
        if !matches!(waited, Ok(Ok(()))) {
            return;
        }
        let Some(request) = connection.next_request(&limits).await else { return };
        if connections.refusing.get() {
            // It would hardly end before the process does.
            let _ = respond(node, &mut connection, false, &refusal("this courier stops")).await;
            return connection.close_lingering().await;
        }
        match serve(node, &mut connection, request).await {
            ServeOutcome::KeepAlive => {}
            ServeOutcome::Close => return connection.close_lingering().await,
            ServeOutcome::Abort => return,
        }
    }
}

/// Writes an answer of this courier's own.
pub async fn respond(
    node: &Node,
    connection: &mut Connection,
    keep_alive: bool,
    answer: &HttpResponse,
) -> ServeOutcome {
    let keep_alive = keep_alive && !node.stopping.get();
    match connection.write(&answer.encode(keep_alive)).await {
        Err(_) => ServeOutcome::Abort,
        Ok(()) if keep_alive => ServeOutcome::KeepAlive,
        Ok(()) => ServeOutcome::Close,
    }
}

/// A refusal that promises that the request has not run.
pub fn refusal(text: &str) -> HttpResponse {
    HttpResponse::text(503, text).with_header("Retry-After", format!("{RETRY_AFTER_S}"))
}

/// The tables in force; at the start of a process they are waited for, for a short time.
async fn first_tables(node: &Node) -> Rc<TableSnapshot> {
    let mut watched = node.watch_tables();
    let left = Duration::from_secs_f64((FIRST_WAIT_S - node.uptime_s()).max(0.0));
    let known = watched.wait_for(|tables| tables.versions.configuration > 0);
    let _ = tokio::time::timeout(left, known).await;
    node.tables()
}

async fn serve(node: &Rc<Node>, connection: &mut Connection, request: HttpRequest) -> ServeOutcome {
    let keep_alive = request.head.keep_alive;
    let tables = first_tables(node).await;
    if tables.versions.configuration == 0 {
        let left = START_S - node.uptime_s();
        let answer = HttpResponse::text(503, "no configuration is known here yet")
            .with_header("Retry-After", format!("{:.2}", left.max(RETRY_AFTER_S)));
        return respond(node, connection, keep_alive, &answer).await;
    }
    let headers = &request.head.headers;
    let host = headers.get("Host").unwrap_or_default();
    let authorization = headers.get("Authorization");
    if batch_api::is_job_call(&request.head.target) {
        let tenant = match tables.routes.access(authorization, false) {
            Access::Tenant(tenant) => tenant,
            // Without tenants all jobs belong to the same one, which has no name.
            Access::Anonymous => Rc::from(""),
            Access::Denied => {
                return respond(node, connection, keep_alive, &HttpResponse::text(401, "the key is unknown"))
                    .await;
            }
        };
        return batch_api::serve(node, connection, &request, &tenant).await;
    }
    let Some(route) = tables.routes.find(host, &request.head.target).cloned() else {
        return respond(node, connection, keep_alive, &HttpResponse::text(404, "no route matches")).await;
    };
    let tenant = match tables.routes.access(authorization, route.route.public.unwrap_or(false)) {
        Access::Denied => {
            return respond(node, connection, keep_alive, &HttpResponse::text(401, "the key is unknown"))
                .await;
        }
        Access::Tenant(tenant) => Some(tenant),
        Access::Anonymous => None,
    };
    if route.mode == RouteMode::Bulk && request.head.method == "POST" {
        return batch_api::submit(node, connection, &request, &route, tenant.as_deref()).await;
    }
    forward::serve(node, connection, request, &route, tenant.as_deref()).await
}
