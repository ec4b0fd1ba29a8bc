//! What the tasks on sockets know of their courier: its time, its life, its tables, and where they leave their
//! parts.

use super::clock::Clock;
use super::folder::Folder;
use crate::fleet::budget::Conn;
use actix_rt::net::TcpStream;
use quillmount_core::call;
use quillmount_core::counters::Counters;
use quillmount_core::hub::Hub;
use quillmount_core::machine::consumer;
use quillmount_core::machine::life::{self, Life};
use quillmount_core::pool::Pool;
use serde::{Deserialize, Serialize};
use spurshore::{Micros, MsgId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// What moves with a descriptor, or without where none is held.
#[derive(Debug, Serialize, Deserialize)]
pub enum Part {
    /// The listening socket of the consumers.
    Listener,
    /// A consumer's connection, and what has been read of its request.
    Consumer { state: consumer::State, bytes: Vec<u8> },
    /// A connection to a provider, at rest.
    Resting { provider: u32, addr: SocketAddr, since: Micros },
    /// A call that is out.
    Call(Box<call::Part>),
}

/// Parts with the sockets that they have: as this process holds them, or as they come from another.
pub type Parts<S> = Vec<(Part, Option<S>)>;

/// What a courier's tasks share.
pub struct Handle {
    pub clock: Clock,
    /// How long a connection to a provider may take to come up.
    pub connect: Duration,
    pub(super) hub: RefCell<Hub<Folder, Conn>>,
    life: Cell<Life>,
    /// A planned stop begins.
    stops: Notify,
    parts: RefCell<Parts<TcpStream>>,
}

impl Handle {
    pub fn new(clock: Clock, connect: Duration, hub: Hub<Folder, Conn>) -> Self {
        Handle {
            clock,
            connect,
            hub: RefCell::new(hub),
            life: Cell::default(),
            stops: Notify::new(),
            parts: RefCell::default(),
        }
    }

    /// Where the courier is in its life.
    pub fn life(&self) -> Life {
        self.life.get()
    }

    /// Something happened to its life; what is to be done.
    pub fn live(&self, input: life::Input) -> life::Output {
        self.live_from(input, self.clock.now())
    }

    /// The same, with what happened then.
    pub fn live_from(&self, input: life::Input, when: Micros) -> life::Output {
        let mut life = self.life.get();
        let output = life.step(input, when);
        self.life.set(life);
        if life.stopping().is_some() {
            self.stops.notify_one();
        }
        output
    }

    /// Waits for a planned stop; when it was asked for.
    pub async fn stops(&self) -> Micros {
        loop {
            match self.life().stopping() {
                Some(asked) => return asked,
                None => self.stops.notified().await,
            }
        }
    }

    /// Counts what the router does not see.
    pub fn count(&self, one: impl FnOnce(&mut Counters)) {
        one(&mut self.hub.borrow_mut().router.counters);
    }

    /// The connections to the providers.
    pub fn pool<T>(&self, act: impl FnOnce(&mut Pool<Conn>) -> T) -> T {
        act(&mut self.hub.borrow_mut().pool)
    }

    /// A part of a stream's body is gone.
    pub fn stream_committed(&self, msg: MsgId) {
        self.hub.borrow_mut().router.stream_committed(msg);
    }

    /// A task gives its part up.
    pub fn give(&self, part: Part, stream: Option<TcpStream>) {
        self.parts.borrow_mut().push((part, stream));
    }

    /// The parts that were given up so far.
    pub fn given(&self) -> Parts<TcpStream> {
        self.parts.take()
    }
}
