//! The number of open connections of clients, their limit, and the steps of a graceful shutdown.

use crate::latch::Latch;
use crate::node::Node;
use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the file descriptors that clients may use; the others are for endpoints, other processes and the disk.
const CLIENT_FRACTION: f64 = 0.5;

/// All connections of clients.
pub(super) struct ClientConnections {
    open: Cell<usize>,
    limit: usize,
    /// Idle connections are to be closed.
    closing: Latch,
    /// Neither connections nor requests are accepted any more.
    refusing: Latch,
}

impl ClientConnections {
    /// Limits the connections to a fraction of the file descriptors in the settings.
    pub(super) fn new(node: &Node) -> ClientConnections {
        let limit = (node.settings.limits.max_open_files as f64 * CLIENT_FRACTION) as usize;
        ClientConnections { open: Cell::new(0), limit, closing: Latch::default(), refusing: Latch::default() }
    }

    /// Number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Counts a new connection until the guard is dropped; `None` if the limit is reached.
    pub(super) fn admit(self: &Rc<Self>) -> Option<ConnectionGuard> {
        if self.open.get() >= self.limit {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionGuard(self.clone()))
    }

    /// Closes idle connections, now and when they become idle later.
    pub(super) fn close_idle(&self) {
        self.closing.set();
    }

    /// Stops accepting connections and requests.
    pub(super) fn refuse_all(&self) {
        self.refusing.set();
    }

    /// Whether neither connections nor requests are accepted any more.
    pub(super) fn is_refusing(&self) -> bool {
        self.refusing.is_set()
    }

    /// Waits until idle connections are to be closed.
    pub(super) async fn closing(&self) {
        self.closing.wait().await;
    }

    /// Waits until neither connections nor requests are accepted any more.
    pub(super) async fn refusing(&self) {
        self.refusing.wait().await;
    }
}

/// An open connection, counted until this is dropped.
pub(super) struct ConnectionGuard(Rc<ClientConnections>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
