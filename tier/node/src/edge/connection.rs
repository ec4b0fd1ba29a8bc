//! The loop of each connection of a client: requests are read and served one after the other.

use super::client_connections::ClientConnections;
use super::response::{ServeOutcome, refusal, respond};
use super::routing;
use crate::http::Connection;
use crate::node::Node;
use crate::{clock, socket};
use std::rc::Rc;
use tokio::net::TcpListener;

/// Accepts clients until a graceful shutdown stops that. Later clients find the port closed and try another courier.
pub(super) async fn accept(node: Rc<Node>, connections: Rc<ClientConnections>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connections.refusing() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(socket::ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Over the limit a connection is closed unread, so the client may safely retry anywhere.
        let Some(guard) = connections.admit() else { continue };
        let _ = stream.set_nodelay(true);
        let (node, connections) = (node.clone(), connections.clone());
        // Detached: the graceful shutdown waits for the number of open connections.
        tokio::task::spawn_local(async move {
            run(&node, &connections, Connection::new(stream)).await;
            drop(guard);
        });
    }
}

async fn run(node: &Rc<Node>, connections: &ClientConnections, mut connection: Connection) {
    loop {
        let limits = node.tables().routes.limits.clone();
        let idle_timeout = clock::duration_from_ms(limits.idle_timeout_ms);
        let input = tokio::select! {
            input = tokio::time::timeout(idle_timeout, connection.wait_for_input()) => input,
            () = connections.closing() => return,
        };
        if !matches!(input, Ok(Ok(()))) {
            return;
        }
        let Some(request) = connection.next_request(&limits).await else { return };
        if connections.is_refusing() {
            // It would probably not end before the process does.
            let _ = respond(node, &mut connection, false, &refusal("this courier stops")).await;
            return connection.close_lingering().await;
        }
        match routing::serve(node, &mut connection, request).await {
            ServeOutcome::KeepAlive => {}
            ServeOutcome::Close => return connection.close_lingering().await,
            ServeOutcome::Abort => return,
        }
    }
}
