//! The wiring: what happens on sockets goes to the router, and the router's steps to the sockets.

use super::clock::Clock;
use super::folder::Folder;
use super::providers::{self, Words};
use actix_rt::net::TcpStream;
use quillmount_core::counters::Counters;
use quillmount_core::hub::{Do, Hub};
use quillmount_core::note::{Level, Note};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router};
use quillmount_core::{CallId, Invocation, InvokerCall, Notice, ProviderList};
use spurshore::Micros;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tracing::Instrument;

/// Between two looks for connections that are dead or too old.
const SWEEP: Duration = Duration::from_secs(1);

pub struct Courier {
    pub clock: Clock,
    /// How long a connection to a provider may take to come up.
    pub connect: Duration,
    hub: RefCell<Hub<Folder, TcpStream>>,
    /// What calls that are out are told.
    words: RefCell<HashMap<CallId, Rc<Words>>>,
    serving: Cell<bool>,
    /// The router's next wake-up may have moved.
    moved: Notify,
    notices: Notify,
}

impl Courier {
    pub fn new(clock: Clock, connect: Duration, router: Router<Folder>, pool: Pool<TcpStream>) -> Rc<Self> {
        Rc::new(Courier {
            clock,
            connect,
            hub: RefCell::new(Hub::new(router, pool)),
            words: RefCell::default(),
            serving: Cell::new(false),
            moved: Notify::new(),
            notices: Notify::new(),
        })
    }

    /// Counts what the router does not see.
    pub fn count(&self, one: impl FnOnce(&mut Counters)) {
        one(&mut self.hub.borrow_mut().router.counters);
    }

    pub fn is_serving(&self) -> bool {
        self.serving.get()
    }

    pub fn set_serving(&self, serving: bool) {
        self.serving.set(serving);
    }

    /// The connections to the providers.
    pub fn pool<T>(&self, act: impl FnOnce(&mut Pool<TcpStream>) -> T) -> T {
        act(&mut self.hub.borrow_mut().pool)
    }

    pub fn take_on(self: &Rc<Self>, invocation: Invocation) -> Intake {
        let (intake, todo) = self.hub.borrow_mut().take_on(invocation, self.clock.now());
        self.carry_out(todo);
        intake
    }

    pub fn list(self: &Rc<Self>, list: ProviderList) {
        self.count(|c| c.list_changes += 1);
        let (version, lines) = (list.version, list.providers.len());
        let todo = self.hub.borrow_mut().list(list, self.clock.now());
        tracing::info!("discovery: version {version} with {lines} lines");
        self.carry_out(todo);
    }

    pub fn list_version(&self) -> u64 {
        self.hub.borrow().router.version()
    }

    pub fn stop(self: &Rc<Self>, at: Micros) {
        self.serving.set(false);
        let todo = self.hub.borrow_mut().stop(self.clock.now(), at);
        self.carry_out(todo);
    }

    pub fn notices(&self, most: usize) -> Vec<Notice> {
        self.hub.borrow().router.notices(most)
    }

    pub async fn notices_wanted(&self) {
        self.notices.notified().await;
    }

    pub fn told(self: &Rc<Self>, notices: &[Notice]) {
        let todo = self.hub.borrow_mut().told(notices, self.clock.now());
        self.carry_out(todo);
    }

    /// Nothing is out and nothing waits to be told.
    pub fn is_quiet(&self) -> bool {
        self.hub.borrow().is_quiet()
    }

    pub fn report(&self) -> String {
        let router = &self.hub.borrow().router;
        let (owed, out) = router.load();
        format!("{} owed={owed} calls_out={out} journal_bytes={}", router.counters, router.disk())
    }

    /// The first steps of a router that has read its journal.
    pub fn begin(self: &Rc<Self>, steps: Vec<quillmount_core::router::Step>) {
        let todo = self.hub.borrow_mut().carry_out(steps, self.clock.now());
        self.carry_out(todo);
    }

    /// Wakes the router whenever it wants to.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = self.hub.borrow().router.wake_at();
            let moved = self.moved.notified();
            match wake {
                None => moved.await,
                Some(at) => {
                    tokio::select! {
                        () = actix_rt::time::sleep(self.clock.until(at)) => {}
                        () = moved => {}
                    }
                }
            }
            if wake.is_some_and(|at| at <= self.clock.now()) {
                let todo = self.hub.borrow_mut().tick(self.clock.now());
                self.carry_out(todo);
            }
        }
    }

    /// Frees the descriptors of connections to providers that will not be used again.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SWEEP).await;
            drop(self.pool(|pool| pool.sweep(self.clock.now(), providers::is_quiet)));
        }
    }

    fn carry_out(self: &Rc<Self>, todo: Vec<Do<TcpStream>>) {
        for one in todo {
            match one {
                Do::Begin(call) => self.call(call),
                Do::Tell(call, input) => {
                    // The call may have ended in this very moment.
                    if let Some(words) = self.words.borrow().get(&call) {
                        words.say(input);
                    }
                }
                Do::Close(gone) => drop(gone),
                Do::Notify => self.notices.notify_one(),
                Do::Note(note) => say(&note),
            }
        }
        self.moved.notify_one();
    }

    fn call(self: &Rc<Self>, call: InvokerCall) {
        tracing::debug!("call: {:?} to {}, {} us", call.call, call.addr, call.timeout);
        let words = Rc::new(Words::default());
        self.words.borrow_mut().insert(call.call, words.clone());
        let this = self.clone();
        let span = tracing::debug_span!(
            "call",
            id = call.invocation.id.as_str(),
            dest = call.dest,
            attempt = call.call.attempt
        );
        let made = async move {
            let (id, addr) = (call.call, call.addr);
            let end = providers::call(&this, call, &words).await;
            this.words.borrow_mut().remove(&id);
            let todo = this.hub.borrow_mut().call_ended(id, end, this.clock.now());
            tracing::debug!("call ended: {id:?} to {addr}: {end:?}");
            this.carry_out(todo);
        };
        // A span that nobody hears costs a call still.
        match span.is_disabled() {
            true => drop(actix_rt::spawn(made)),
            false => drop(actix_rt::spawn(made.instrument(span))),
        }
    }
}

fn say(note: &Note) {
    match note.level() {
        Level::Debug => tracing::debug!("{note}"),
        Level::Info => tracing::info!("{note}"),
        Level::Warn => tracing::warn!("{note}"),
        Level::Error => tracing::error!("{note}"),
    }
}
