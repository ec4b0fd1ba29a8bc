//! Idle connections to endpoints, kept for the next request.

use super::exchange::OpenConnection;
use crate::clock;
use quillmount_dataplane::head::ResponseHead;
use quillmount_wire::Micros;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use tokio::net::TcpStream;

/// How long a connection is kept idle if the endpoint states nothing, microseconds.
const IDLE_TIMEOUT: Micros = 2_000_000;
/// Subtracted from the time that the endpoint states, microseconds, so that this side closes first.
const IDLE_MARGIN: Micros = 800_000;
/// Longest time for which a connection is kept idle, whatever the endpoint states, seconds.
const MAX_KEEP_ALIVE_S: u64 = 3_600;
/// Largest number of idle connections to one endpoint.
const IDLE_LIMIT: usize = 16;

struct IdleConnection {
    connection: OpenConnection,
    expires_at: Micros,
}

impl IdleConnection {
    fn is_usable(&self, now: Micros) -> bool {
        self.expires_at > now && is_quiet(&self.connection.stream)
    }
}

/// Idle connections by the id of their endpoint.
#[derive(Default)]
pub(super) struct IdlePool {
    by_endpoint: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl IdlePool {
    /// Removes a connection on which a request with this id can be sent: one that carried no other request with it, the one that was
    /// used last first. Those that expired, were closed by the endpoint, or carry unexpected bytes are dropped.
    pub(super) fn checkout(&self, endpoint: &str, request_id: &str) -> Option<OpenConnection> {
        let now = clock::now();
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let connections = by_endpoint.get_mut(endpoint)?;
        loop {
            let position =
                connections.iter().rposition(|idle| !idle.connection.carried.contains(request_id))?;
            let idle = connections.remove(position);
            if idle.is_usable(now) {
                return Some(idle.connection);
            }
        }
    }

    /// Keeps a connection idle after an answer with this head, for as long as the head allows.
    pub(super) fn insert(&self, endpoint: String, connection: OpenConnection, head: &ResponseHead) {
        let stated = head.headers.get("Keep-Alive").and_then(keep_alive_seconds);
        let idle_time = stated.map_or(IDLE_TIMEOUT, |seconds| {
            (seconds.min(MAX_KEEP_ALIVE_S) * 1_000_000).saturating_sub(IDLE_MARGIN)
        });
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let connections = by_endpoint.entry(endpoint).or_default();
        if connections.len() < IDLE_LIMIT {
            connections.push(IdleConnection { connection, expires_at: clock::now() + idle_time });
        }
    }

    /// Closes expired connections, and those to endpoints that are not `open`.
    pub(super) fn close_expired(&self, open: impl Fn(&str) -> bool) {
        let now = clock::now();
        self.by_endpoint.borrow_mut().retain(|endpoint, connections| {
            connections.retain(|connection| connection.expires_at > now);
            !connections.is_empty() && open(endpoint)
        });
    }
}

/// Whether a connection is open and nothing was received on it.
fn is_quiet(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0; 1]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Seconds of a `Keep-Alive` header: a number, alone or after `timeout=`.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let parameter = value
        .split(',')
        .map(str::trim)
        .find_map(|parameter| parameter.strip_prefix("timeout=").or(Some(parameter)))?;
    parameter.parse().ok()
}
