//! A small server for the operator's interface and for readiness checks.

use super::connection::{Connection, HttpRequest};
use super::response::HttpResponse;
use crate::{clock, socket};
use quillmount_wire::configuration::{ClientLimits, MAX_CONFIGURATION_BYTES};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Largest body of a request, bytes. A larger order would result in a configuration above the limit.
const BODY_LIMIT: u64 = MAX_CONFIGURATION_BYTES as u64;

/// Answers a request; `None` closes the connection without a response.
pub type HttpService = Rc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = Option<HttpResponse>>>>>;

/// Accepts connections and answers their requests until the process ends.
pub async fn serve(listener: TcpListener, service: HttpService) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                // Detached: it ends with its connection.
                tokio::task::spawn_local(serve_connection(Connection::new(stream), service.clone()));
            }
            Err(_) => tokio::time::sleep(socket::ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(mut connection: Connection, service: HttpService) {
    let limits = ClientLimits { max_body_bytes: BODY_LIMIT, ..ClientLimits::default() };
    loop {
        let input =
            timeout(clock::duration_from_ms(limits.idle_timeout_ms), connection.wait_for_input()).await;
        if !matches!(input, Ok(Ok(()))) {
            return;
        }
        let Some(request) = connection.next_request(&limits).await else { return };
        let keep_alive = request.head.keep_alive;
        let Some(response) = service(request).await else { return };
        if connection.write(&response.encode(keep_alive)).await.is_err() || !keep_alive {
            return;
        }
    }
}
