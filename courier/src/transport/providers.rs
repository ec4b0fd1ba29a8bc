//! The client of the providers: one call at a time on a connection, and a pool of idle ones.
//!
//! It stands below awc, which gives the word of an interim answer for that of the call, fails a call
//! whose answer begins with 200 and can't be read to its end, lets go unseen what stands behind an
//! answer, and can't bound the connections of all hosts together (README).

use crate::transport::clock::Clock;
use actix_rt::net::TcpStream;
use actix_rt::time::{Instant, sleep, timeout};
use quillmount_core::{CallEnd, InvokerCall};
use quillmount_protocol::invoker::{self, ANSWER_MAX, Answer};
use spurshore::Micros;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// An answer that has begun comes whole within this; providers write it in one go.
const REST: Duration = Duration::from_millis(100);
/// Between the close of a given-up call's connection and the report: the provider's side frees the
/// slot when it sees the close, and a send that overtakes it is turned away for want of a slot.
const CLOSING: Duration = Duration::from_millis(5);
/// Most answers fit into one read of this.
const READ: usize = 1_024;

struct Idle {
    stream: TcpStream,
    addr: SocketAddr,
    since: Instant,
}

/// What is held for one provider. A new provider at the same address has its own.
#[derive(Default)]
struct Provider {
    /// Calls may not start: it drains or is gone.
    shut: Cell<bool>,
    hold: Cell<Micros>,
    idle: RefCell<Vec<Idle>>,
}

pub struct Providers {
    clock: Clock,
    connect: Duration,
    idle: Duration,
    /// Connections at once, those of calls included.
    most: usize,
    busy: Cell<usize>,
    all: RefCell<HashMap<u32, Rc<Provider>>>,
}

impl Providers {
    /// `idle`: when a provider closes a connection that stands idle.
    pub fn new(clock: Clock, connect: Duration, idle: Duration, most: usize) -> Self {
        // A request that is written as the provider closes is reset: stay clear of that moment.
        let idle = idle.saturating_sub(Duration::from_secs(1)).max(idle / 2);
        Providers { clock, connect, idle, most, busy: Cell::new(0), all: RefCell::default() }
    }

    pub fn gate(&self, provider: u32, open: bool) {
        let provider = self.get(provider);
        provider.shut.set(!open);
        if !open {
            provider.idle.borrow_mut().clear();
        }
    }

    pub fn hold(&self, provider: u32, until: Micros) {
        let provider = self.get(provider);
        provider.hold.set(provider.hold.get().max(until));
    }

    /// Closes the idle connections; a call that is out closes its own when it ends.
    pub fn close_idle(&self, provider: u32) {
        self.get(provider).idle.borrow_mut().clear();
    }

    /// The provider is gone for good; a call that may be out still holds what it needs.
    pub fn forget(&self, provider: u32) {
        self.all.borrow_mut().remove(&provider);
    }

    /// Closes what has stood idle for too long, or was closed from the other side.
    pub fn sweep(&self) {
        for provider in self.all.borrow().values() {
            provider.idle.borrow_mut().retain(|idle| self.is_fresh(idle));
        }
    }

    fn get(&self, provider: u32) -> Rc<Provider> {
        self.all.borrow_mut().entry(provider).or_default().clone()
    }

    fn lets_through(&self, provider: &Provider) -> bool {
        !provider.shut.get() && self.clock.now() >= provider.hold.get()
    }

    /// Nothing has come on it, no end and no bytes either, which would be taken for an answer.
    fn is_fresh(&self, idle: &Idle) -> bool {
        let quiet =
            idle.stream.try_read(&mut [0; 1]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        quiet && idle.since.elapsed() < self.idle
    }

    /// Makes one call, once. `give_up` ends it early; either way its connection is then closed.
    pub async fn call(&self, call: &InvokerCall, give_up: oneshot::Receiver<()>) -> CallEnd {
        let provider = self.get(call.provider);
        if !self.lets_through(&provider) {
            return CallEnd::HeldBack;
        }
        self.busy.set(self.busy.get() + 1);
        let out = Out(&self.busy);
        let end = tokio::select! {
            biased;
            end = self.exchange(&provider, call) => return end,
            Ok(()) = give_up => CallEnd::GivenUp,
            () = sleep(Duration::from_micros(call.timeout)) => CallEnd::TimedOut,
        };
        // The exchange's future is gone, and the connection with it.
        drop(out);
        sleep(CLOSING).await;
        end
    }

    async fn exchange(&self, provider: &Provider, call: &InvokerCall) -> CallEnd {
        let mut stream = match self.take(provider, call.addr) {
            Some(stream) => stream,
            None => match self.open(call.addr).await {
                Some(stream) => stream,
                None => return CallEnd::CouldNotConnect,
            },
        };
        // Connecting may last longer than the leave that the call had.
        if !self.lets_through(provider) {
            return CallEnd::HeldBack;
        }
        // Only a write that failed proves, from here on, that the call never ran.
        if stream.write_all(&invoker::encode(call)).await.is_err() {
            return CallEnd::CouldNotConnect;
        }
        let mut bytes = Vec::with_capacity(READ);
        let mut by = None;
        loop {
            let read = match by {
                None => stream.read_buf(&mut bytes).await,
                Some(by) => timeout_at(by, stream.read_buf(&mut bytes)).await.unwrap_or(Ok(0)),
            };
            let over = !read.is_ok_and(|n| n > 0) || bytes.len() > ANSWER_MAX;
            if bytes.is_empty() {
                return CallEnd::Reset;
            }
            let (end, reusable) = match invoker::decode(&bytes, over) {
                Answer::Awaited => continue,
                Answer::Partial => {
                    by = by.or(Some(Instant::now() + REST));
                    continue;
                }
                Answer::Whole { end, reusable } => (end, reusable),
            };
            if reusable && !provider.shut.get() {
                let idle = Idle { stream, addr: call.addr, since: Instant::now() };
                provider.idle.borrow_mut().push(idle);
            }
            return end;
        }
    }

    /// The connection that was used last: the others come to an age where they can be closed.
    fn take(&self, provider: &Provider, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = provider.idle.borrow_mut();
        while let Some(last) = idle.pop() {
            if last.addr == addr && self.is_fresh(&last) {
                return Some(last.stream);
            }
        }
        None
    }

    async fn open(&self, addr: SocketAddr) -> Option<TcpStream> {
        self.make_room();
        let stream = timeout(self.connect, TcpStream::connect(addr)).await.ok()?.ok()?;
        // Else the last part of a larger call waits for the provider's acknowledgement.
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Of all idle connections the longest idle goes first.
    fn make_room(&self) {
        let all = self.all.borrow();
        let idle: usize = all.values().map(|p| p.idle.borrow().len()).sum();
        if self.busy.get() + idle <= self.most {
            return;
        }
        // The oldest of a pool is its first.
        let since = |p: &Rc<Provider>| p.idle.borrow().first().map(|idle| idle.since);
        let oldest = all.values().filter_map(|p| Some((since(p)?, p))).min_by_key(|(since, _)| *since);
        if let Some((_, provider)) = oldest {
            provider.idle.borrow_mut().remove(0);
        }
    }
}

/// A call that is out, with a connection of its own.
struct Out<'a>(&'a Cell<usize>);

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
