//! The link from one courier to another: a relay on loopback whose behaviour a test changes at any moment.
//!
//! A link carries bytes. Of HTTP/1.1 it knows only where a request begins and ends (a head and `Content-Length`), so that a
//! fault can affect a single request at a given byte.
//!
//! - [`LinkMode`] is what a link does with all connections and bytes until it is changed, [`RequestFault`] what it does with
//!   one request, [`LinkEvent`] what it records;
//! - `relay` accepts connections and connects each to the target, `pump` moves the bytes of one direction, `requests` finds
//!   the boundaries of requests, `redelivery` sends a stored request once more.

mod pump;
mod pump_item;
mod redelivery;
mod relay;
mod requests;
mod state;

pub use crate::fault::{LinkEvent, LinkEventKind, LinkMode, RequestFault};

use crate::fault::Fault;
use crate::gate::{AcceptMode, Gate};
use crate::record::Recorder;
use state::LinkState;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

/// The connection number under which the events of [`Link::replay`] are recorded: a replay belongs to no relayed connection.
const REPLAY_CONNECTION: u64 = u64::MAX;

/// No request has been captured that could be replayed.
#[derive(Debug, thiserror::Error)]
#[error("no request has been captured on the link from courier {from} to courier {to}")]
struct NothingCaptured {
    from: usize,
    to: usize,
}

/// The link from one courier to another; dropped, it closes its port and its connections.
pub struct Link {
    shared: Rc<LinkState>,
    addr: SocketAddr,
    accept_mode: watch::Sender<AcceptMode>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.close_connections();
    }
}

impl Link {
    /// Opens a link to `target`, recorded as the one between the couriers `from` and `to`; must run in a `LocalSet`.
    ///
    /// # Errors
    /// The system has no port.
    pub fn open(from: usize, to: usize, target: SocketAddr, recorder: Recorder) -> Result<Link> {
        let gate = Gate::open()?;
        let addr = gate.addr();
        let shared = Rc::new(LinkState::new(from, to, target, recorder));
        let (accept_mode, receiver) = watch::channel(AcceptMode::Open);
        let task = spawn_local(relay::accept_connections(gate, receiver, shared.clone())).abort_handle();
        Ok(Link { shared, addr, accept_mode, task })
    }

    /// The address at which the calling courier reaches the other.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The current mode.
    pub fn mode(&self) -> LinkMode {
        *self.shared.mode.borrow()
    }

    /// Sets the mode, from now on.
    pub fn set(&self, mode: LinkMode) {
        self.record_fault(|from, to| Fault::Link { from, to, mode });
        self.shared.mode.send_replace(mode);
        self.accept_mode.send_replace(match mode {
            LinkMode::Partitioned => AcceptMode::Silent,
            LinkMode::PartitionedRefusing => AcceptMode::Refused,
            _ => AcceptMode::Open,
        });
    }

    fn record_fault(&self, fault: impl FnOnce(usize, usize) -> Fault) {
        self.shared.recorder.record_fault(fault(self.shared.from, self.shared.to));
    }

    /// Applies a fault to the next request that begins, on any connection; several faults apply in order.
    pub fn fault_next_request(&self, what: RequestFault) {
        self.fault_next_request_to("", what);
    }

    /// Applies a fault to the next request whose path starts with `path`.
    pub fn fault_next_request_to(&self, path: &str, what: RequestFault) {
        self.record_fault(|from, to| Fault::Request { from, to, fault: what });
        self.shared.add_request_fault(path, what);
    }

    /// Releases the request that was blocked first.
    pub fn release(&self) {
        self.shared.released.send_modify(|released| *released += 1);
    }

    /// Delivers the request that was captured last once more, and returns the status of its answer.
    ///
    /// # Errors
    /// No request has been captured, or it was not answered.
    pub async fn replay(&self) -> Result<u16> {
        let captured = self.shared.captured.borrow().clone();
        let Some(request) = captured else {
            let (from, to) = (self.shared.from, self.shared.to);
            return Err(Error::other(NothingCaptured { from, to }));
        };
        redelivery::redeliver(self.shared.clone(), REPLAY_CONNECTION, request).await
    }

    /// Closes all connections now, on both sides, with the bytes that they still carry; the link stays open.
    pub fn close(&self) {
        self.record_fault(|from, to| Fault::Close { from, to });
        self.shared.close_connections();
    }
}
