//! What the tasks on sockets know of their courier: its time, its life, its tables, and where they leave their
//! parts.

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

/// What moves with a descriptor, or without where none is held.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverPart {
    /// The listening socket of the clients.
    Listener,
    /// A client's connection, and what has been read of its request.
    Client { state: client::ClientState, bytes: Vec<u8> },
    /// A connection to an endpoint, at rest.
    IdleConnection { endpoint: u32, addr: SocketAddr, since: Micros },
    /// A call that is out.
    Call(Box<call::CallSnapshot>),
}

/// Parts with the sockets that they have: as this process holds them, or as they come from another.
pub type Parts<S> = Vec<(HandoverPart, Option<S>)>;

/// What a courier's tasks share.
pub struct Handle {
    pub clock: Clock,
    /// How long a connection to an endpoint may take to come up.
    pub connect: Duration,
    pub(super) hub: RefCell<Hub<JournalFile, EndpointStream>>,
    lifecycle: Cell<Lifecycle>,
    /// A planned stop begins.
    stops: Notify,
    parts: RefCell<Parts<TcpStream>>,
}

impl Handle {
    pub fn new(clock: Clock, connect: Duration, hub: Hub<JournalFile, EndpointStream>) -> Self {
        Handle {
            clock,
            connect,
            hub: RefCell::new(hub),
            lifecycle: Cell::default(),
            stops: Notify::new(),
            parts: RefCell::default(),
        }
    }

    /// Where the courier is in its life.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle.get()
    }

    /// Something happened to its life; what is to be done.
    pub fn step_lifecycle(&self, input: lifecycle::LifecycleInput) -> lifecycle::LifecycleOutput {
        let mut lifecycle = self.lifecycle.get();
        let output = lifecycle.step(input, self.clock.now());
        self.lifecycle.set(lifecycle);
        if lifecycle.stopping().is_some() {
            self.stops.notify_one();
        }
        output
    }

    /// Waits for a planned stop; when it was asked for.
    pub async fn stops(&self) -> Micros {
        loop {
            match self.lifecycle().stopping() {
                Some(asked) => return asked,
                None => self.stops.notified().await,
            }
        }
    }

    /// Counts what the router does not see.
    pub fn count(&self, one: impl FnOnce(&mut Counters)) {
        one(&mut self.hub.borrow_mut().router.counters);
    }

    /// The connections to the endpoints.
    pub fn pool<T>(&self, act: impl FnOnce(&mut Pool<EndpointStream>) -> T) -> T {
        act(&mut self.hub.borrow_mut().pool)
    }

    /// A part of a stream's body is gone.
    pub fn stream_committed(&self, msg: MsgId) {
        self.hub.borrow_mut().router.stream_committed(msg);
    }

    /// A task gives its part up.
    pub fn release(&self, part: HandoverPart, stream: Option<TcpStream>) {
        self.parts.borrow_mut().push((part, stream));
    }

    /// The parts that were given up so far.
    pub fn take_parts(&self) -> Parts<TcpStream> {
        self.parts.take()
    }
}
