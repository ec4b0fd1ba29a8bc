//! What the tasks on sockets share with their courier: its clock, its lifecycle, its state and pool, and where they leave
//! their parts for a handover.

use super::clock::Clock;
use super::connection::EndpointStream;
use super::journal_file::JournalFile;
use actix_rt::net::TcpStream;
use quillmount_core::call;
use quillmount_core::counters::Counters;
use quillmount_core::hub::Hub;
use quillmount_core::machine::client;
use quillmount_core::machine::lifecycle::{self, Lifecycle};
use quillmount_core::pool::Pool;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// A part of a handover, which moves with its descriptor if it has one. It is encoded by postcard, by position: variants
/// and fields are never reordered.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverPart {
    /// The listening socket of the clients.
    Listener,
    /// A client's connection, and what has been read of its request.
    Client {
        /// The state of the connection.
        state: client::ClientState,
        /// The bytes of the request that were read.
        bytes: Vec<u8>,
    },
    /// An idle connection to an endpoint.
    IdleConnection {
        /// The number of the endpoint.
        endpoint: u32,
        /// The address that it is connected to.
        addr: SocketAddr,
        /// Since when it is idle.
        since: Micros,
    },
    /// A call in flight.
    Call(Box<call::CallSnapshot>),
}

/// A part with its socket, if it has one: a stream in this process, or a descriptor from another one.
pub struct ReleasedPart<S> {
    /// The part.
    pub part: HandoverPart,
    /// Its socket.
    pub socket: Option<S>,
}

/// What a courier's tasks share with it.
pub struct Handle {
    /// The time that all deadlines are given in.
    pub clock: Clock,
    /// How long a connection to an endpoint may take to come up.
    pub connect_timeout: Duration,
    pub(super) hub: RefCell<Hub<JournalFile, EndpointStream>>,
    lifecycle: Cell<Lifecycle>,
    /// A planned stop begins.
    stop_requested: Notify,
    parts: RefCell<Vec<ReleasedPart<TcpStream>>>,
}

impl Handle {
    /// A handle on this state; `connect_timeout`: how long a connection to an endpoint may take to come up.
    pub fn new(clock: Clock, connect_timeout: Duration, hub: Hub<JournalFile, EndpointStream>) -> Self {
        Handle {
            clock,
            connect_timeout,
            hub: RefCell::new(hub),
            lifecycle: Cell::default(),
            stop_requested: Notify::new(),
            parts: RefCell::default(),
        }
    }

    /// Where the courier is in its lifecycle.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle.get()
    }

    /// Steps the lifecycle; returns what is to be done.
    pub fn step_lifecycle(&self, input: lifecycle::LifecycleInput) -> lifecycle::LifecycleOutput {
        let mut lifecycle = self.lifecycle.get();
        let output = lifecycle.step(input, self.clock.now());
        self.lifecycle.set(lifecycle);
        if lifecycle.stopping_since().is_some() {
            self.stop_requested.notify_one();
        }
        output
    }

    /// Waits for a planned stop; returns the time at which it was requested.
    pub async fn wait_for_stop(&self) -> Micros {
        loop {
            match self.lifecycle().stopping_since() {
                Some(requested_at) => return requested_at,
                None => self.stop_requested.notified().await,
            }
        }
    }

    /// Changes the counters of what the router does not see.
    pub fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.hub.borrow_mut().router.counters);
    }

    /// Uses the pool of connections to endpoints.
    pub fn pool<T>(&self, act: impl FnOnce(&mut Pool<EndpointStream>) -> T) -> T {
        act(&mut self.hub.borrow_mut().pool)
    }

    /// A part of a stream's body has been released: the stream can't be retried.
    pub fn stream_committed(&self, msg: MsgId) {
        self.hub.borrow_mut().router.stream_committed(msg);
    }

    /// A task releases its part for the handover.
    pub fn release(&self, part: HandoverPart, socket: Option<TcpStream>) {
        self.parts.borrow_mut().push(ReleasedPart { part, socket });
    }

    /// The parts that were released so far.
    pub fn take_parts(&self) -> Vec<ReleasedPart<TcpStream>> {
        self.parts.take()
    }
}
