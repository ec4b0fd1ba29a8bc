//! The table of the clients' connections: which are admitted, which are asked to close so that others can be, and how many
//! bytes of bodies they may have in flight together.
//!
//! [`Admission`] decides; this module carries out what it says on the connections' tasks.

use super::LOG_TARGET;
use crate::transport::clock::Clock;
use actix_rt::time::Instant;
use bytes::BytesMut;
use quillmount_core::admission::{Admission, Decision};
use quillmount_core::machine::client::{ClientConnection, ClientState};
use quillmount_protocol::submission::Malformed;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// All malformed requests, and all accepts that failed, within this time share one log line.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The task of a connection, and the signal that asks it to close or to hand over.
struct ConnectionTask {
    task: JoinHandle<()>,
    leave: Rc<Notify>,
}

/// A connection as another process has handed it over.
pub struct ResumedClient {
    /// The state of the connection.
    pub state: ClientState,
    /// The bytes of the request that were read.
    pub bytes: BytesMut,
}

impl Default for ResumedClient {
    /// A new connection.
    fn default() -> Self {
        ResumedClient { state: ClientConnection::default().state(), bytes: BytesMut::new() }
    }
}

/// Malformed requests that no log line has counted yet.
#[derive(Clone, Copy, Default)]
struct MalformedLog {
    unreported: u64,
    last_logged: Option<Instant>,
}

/// The clients' connections, by number.
pub struct Connections {
    clock: Clock,
    admission: RefCell<Admission>,
    tasks: RefCell<HashMap<u64, ConnectionTask>>,
    /// Bytes that unfinished bodies may have in flight together.
    bodies_max: u64,
    /// Bytes that unfinished bodies have reserved.
    bodies_in_flight: Cell<u64>,
    closing: Cell<bool>,
    /// Another process accepts from here on, or the planned stop has begun.
    accept_interrupted: Notify,
    malformed: Cell<MalformedLog>,
    /// When a failed accept was last logged.
    accept_error_logged: Cell<Option<Instant>>,
    /// A connection has ended, or its state has changed.
    changed: Notify,
}

impl Connections {
    /// A table of at most `limit` connections, whose unfinished bodies take at most `bodies_max` bytes.
    pub fn new(clock: Clock, limit: usize, bodies_max: u64) -> Self {
        Connections {
            clock,
            admission: RefCell::new(Admission::new(limit)),
            tasks: RefCell::default(),
            bodies_max,
            bodies_in_flight: Cell::new(0),
            closing: Cell::new(false),
            accept_interrupted: Notify::new(),
            malformed: Cell::default(),
            accept_error_logged: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// With `true`, every answer from now on ends its connection, and no connection stays idle; `false` ends that.
    pub fn close_after_answers(&self, closing: bool) {
        self.closing.set(closing);
    }

    /// Whether every answer ends its connection.
    pub(super) fn closes_after_answers(&self) -> bool {
        self.closing.get()
    }

    /// Asks idle connections to close; true if any connection remains.
    pub fn close_idle(&self) -> bool {
        let idle = self.admission.borrow_mut().close_all_idle();
        idle.into_iter().for_each(|number| self.request_close(number));
        !self.admission.borrow().is_empty()
    }

    /// The planned stop has begun: the accept loop is to end.
    pub fn stop_accepting(&self) {
        self.accept_interrupted.notify_one();
    }

    /// Asks all connections, and the accept loop, to release their parts to another process.
    pub fn release(&self) {
        self.accept_interrupted.notify_one();
        self.tasks.borrow().values().for_each(|connection| connection.leave.notify_one());
    }

    /// Waits until the accept loop has to check whether it ends.
    pub(super) async fn accept_interrupted(&self) {
        self.accept_interrupted.notified().await;
    }

    /// Connections whose parts are not released yet, without those that are closing.
    pub fn handover_pending(&self) -> usize {
        self.admission.borrow().handover_pending()
    }

    /// Counts one more connection, and returns its number.
    pub(super) fn enter(&self, state: ClientState) -> u64 {
        let number = self.admission.borrow_mut().add(self.clock.now());
        self.set_state(number, state);
        number
    }

    /// Keeps the task of a connection, with the signal that asks it to close or to hand over.
    pub(super) fn add_task(&self, number: u64, task: JoinHandle<()>, leave: Rc<Notify>) {
        self.tasks.borrow_mut().insert(number, ConnectionTask { task, leave });
    }

    fn request_close(&self, number: u64) {
        if let Some(connection) = self.tasks.borrow().get(&number) {
            connection.leave.notify_one();
        }
    }

    /// Waits until one more connection is allowed; where one that is open may be closed for it, it is.
    pub(super) async fn wait_for_capacity(&self) {
        loop {
            let decision = self.admission.borrow_mut().decide(self.clock.now());
            match decision {
                Decision::Admit => return,
                Decision::RequestClose(number) => return self.request_close(number),
                Decision::Evict(number) => return self.end(number).await,
                // Those that were asked to close do so within 5 ms, or answer.
                Decision::Wait => self.changed.notified().await,
            }
        }
    }

    /// Ends a connection, and waits until its descriptor is free: a flood would otherwise exceed the limit.
    async fn end(&self, number: u64) {
        let connection = self.tasks.borrow_mut().remove(&number);
        if let Some(ConnectionTask { task, .. }) = connection {
            task.abort();
            // The result says only that the task was aborted.
            let _ = task.await;
        }
    }

    /// Closes a silent connection, even below the limit, since the process has no descriptor left; false if none can be
    /// closed.
    pub(super) async fn reclaim_descriptor(&self) -> bool {
        let decision = self.admission.borrow_mut().reclaim_descriptor(self.clock.now());
        match decision {
            Decision::RequestClose(number) => self.request_close(number),
            Decision::Evict(number) => self.end(number).await,
            Decision::Admit => return false,
            Decision::Wait => {}
        }
        true
    }

    /// Reports a connection's state to the admission control.
    pub(super) fn set_state(&self, number: u64, state: ClientState) {
        self.admission.borrow_mut().set_state(number, state, self.clock.now());
        // A connection that was asked to close may have stayed.
        self.changed.notify_one();
    }

    /// Whether this connection was asked to close so that another can be admitted.
    pub(super) fn is_asked_to_close(&self, number: u64) -> bool {
        self.admission.borrow().is_close_requested(number)
    }

    /// This connection passes a stream on from now on.
    pub(super) fn mark_streaming(&self, number: u64) {
        self.admission.borrow_mut().mark_streaming(number);
    }

    /// Reserves memory for a body of `length` bytes until the guard is dropped; `None` if it would exceed the limit.
    pub(super) fn reserve(&self, length: u64) -> Option<BodyReservation<'_>> {
        let in_flight = self.bodies_in_flight.get() + length;
        if in_flight > self.bodies_max {
            return None;
        }
        self.bodies_in_flight.set(in_flight);
        Some(BodyReservation { connections: self, length })
    }

    /// Logs that an accept failed, at most once in [`LOG_INTERVAL`]: it fails for as long as descriptors are short.
    pub(super) fn log_accept_error(&self, error: &io::Error) {
        if is_due(self.accept_error_logged.get()) {
            tracing::warn!(target: LOG_TARGET, "server: accept: {error}");
            self.accept_error_logged.set(Some(Instant::now()));
        }
    }

    /// Counts a malformed request; a log line for each would cost more than its answer.
    pub(super) fn log_malformed(&self, why: Malformed) {
        let log = self.malformed.get();
        if !is_due(log.last_logged) {
            self.malformed.set(MalformedLog { unreported: log.unreported + 1, ..log });
            return;
        }
        tracing::info!(
            target: LOG_TARGET,
            "malformed: {} requests, the last of them: {why}",
            log.unreported + 1
        );
        self.malformed.set(MalformedLog { unreported: 0, last_logged: Some(Instant::now()) });
    }
}

/// Whether a line that is limited to one in [`LOG_INTERVAL`] may be written.
fn is_due(last_logged: Option<Instant>) -> bool {
    last_logged.is_none_or(|logged| logged.elapsed() >= LOG_INTERVAL)
}

/// Memory that is reserved for a request's body; released on drop.
pub(super) struct BodyReservation<'a> {
    connections: &'a Connections,
    length: u64,
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        let in_flight = &self.connections.bodies_in_flight;
        in_flight.set(in_flight.get() - self.length);
    }
}

/// A connection's entry in the table; removed on drop, however its task ends.
pub(super) struct Registration {
    pub(super) connections: Rc<Connections>,
    pub(super) number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.admission.borrow_mut().remove(self.number);
        self.connections.tasks.borrow_mut().remove(&self.number);
        self.connections.changed.notify_one();
    }
}
