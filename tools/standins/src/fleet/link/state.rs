//! What the connections of a link share.

use crate::fault::{LinkEvent, LinkEventKind, LinkMode, RequestFault};
use crate::record::Recorder;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// A fault that waits for its request.
struct PendingFault {
    /// It applies to the next request whose path starts with this text.
    path_prefix: String,
    fault: RequestFault,
}

/// What a [`Link`](super::Link) and its connections share.
pub(super) struct LinkState {
    /// The courier that calls.
    pub from: usize,
    /// The courier that is called.
    pub to: usize,
    /// The address of the courier that is called.
    pub target: SocketAddr,
    pub recorder: Recorder,
    pub mode: watch::Sender<LinkMode>,
    /// The request that was captured last.
    pub captured: RefCell<Option<Bytes>>,
    /// Number of requests that were released.
    pub released: watch::Sender<u64>,
    /// All connections are closed when this changes.
    pub close: watch::Sender<u64>,
    pending_faults: RefCell<VecDeque<PendingFault>>,
    /// Number of requests that were blocked.
    blocked: Cell<u64>,
    /// Number of connections that were accepted.
    connections: Cell<u64>,
}

impl LinkState {
    pub fn new(from: usize, to: usize, target: SocketAddr, recorder: Recorder) -> LinkState {
        LinkState {
            from,
            to,
            target,
            recorder,
            mode: watch::Sender::default(),
            captured: RefCell::default(),
            released: watch::Sender::default(),
            close: watch::Sender::default(),
            pending_faults: RefCell::default(),
            blocked: Cell::default(),
            connections: Cell::default(),
        }
    }

    pub fn record_event(&self, connection: u64, what: LinkEventKind) {
        let (from, to) = (self.from, self.to);
        self.recorder
            .write(|record, when| record.link_events.push(LinkEvent { when, from, to, connection, what }));
    }

    /// The number of a new connection.
    pub fn next_connection(&self) -> u64 {
        self.connections.replace(self.connections.get() + 1)
    }

    /// The number of a request that is blocked from now on: it continues when more requests than this were released.
    pub fn next_blocked(&self) -> u64 {
        self.blocked.replace(self.blocked.get() + 1)
    }

    pub fn add_request_fault(&self, path_prefix: &str, fault: RequestFault) {
        let pending = PendingFault { path_prefix: path_prefix.into(), fault };
        self.pending_faults.borrow_mut().push_back(pending);
    }

    /// Removes and returns the first pending fault that applies to a request with this path.
    pub fn take_request_fault(&self, path: &str) -> Option<RequestFault> {
        let mut pending = self.pending_faults.borrow_mut();
        let index = pending.iter().position(|pending| path.starts_with(&pending.path_prefix))?;
        pending.remove(index).map(|pending| pending.fault)
    }

    pub fn close_connections(&self) {
        self.close.send_modify(|count| *count += 1);
    }
}

/// What the two directions of a connection share.
pub(super) struct ConnectionState {
    /// The number of the connection on its link, from 0.
    pub number: u64,
    pub shared: Rc<LinkState>,
    /// The connection is closed when the first byte of an answer arrives.
    pub drop_answer: Cell<bool>,
    /// A request has been sent, and no byte of its answer has been written back.
    pub awaiting_answer: Cell<bool>,
}

impl ConnectionState {
    pub fn new(number: u64, shared: Rc<LinkState>) -> ConnectionState {
        ConnectionState { number, shared, drop_answer: Cell::new(false), awaiting_answer: Cell::new(false) }
    }

    pub fn record_event(&self, what: LinkEventKind) {
        self.shared.record_event(self.number, what);
    }
}
