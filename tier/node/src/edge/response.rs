//! Responses of the courier itself, and what they mean for the connection.

use crate::http::{Connection, HttpResponse};
use crate::node::Node;

/// How long a rejected client should wait before it retries, seconds.
pub(super) const RETRY_AFTER_S: f64 = 0.1;

/// What serving a request means for its connection.
pub(super) enum ServeOutcome {
    /// It may carry another request.
    KeepAlive,
    /// The last response was written; it has to be closed.
    Close,
    /// It broke, or has to be dropped so that the client recognizes an incomplete response.
    Abort,
}

impl ServeOutcome {
    /// The outcome after the end of a response was written.
    pub(super) fn after_write(written: std::io::Result<()>, keep_alive: bool) -> ServeOutcome {
        match written {
            Err(_) => ServeOutcome::Abort,
            Ok(()) if keep_alive => ServeOutcome::KeepAlive,
            Ok(()) => ServeOutcome::Close,
        }
    }
}

/// Writes a response of the courier itself. The connection is closed after it without `keep_alive` or if the process stops.
pub(super) async fn respond(
    node: &Node,
    connection: &mut Connection,
    keep_alive: bool,
    response: &HttpResponse,
) -> ServeOutcome {
    let keep_alive = keep_alive && !node.stopping.get();
    let written = connection.write(&response.encode(keep_alive)).await;
    ServeOutcome::after_write(written, keep_alive)
}

/// A rejection with status 503, which promises that the request has not run.
pub(super) fn refusal(text: &str) -> HttpResponse {
    HttpResponse::text(503, text).with_header("Retry-After", format!("{RETRY_AFTER_S}"))
}
