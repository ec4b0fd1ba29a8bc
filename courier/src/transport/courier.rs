//! The wiring: what happens on sockets goes to the router, and the router's steps to the sockets.

use super::clock::Clock;
use super::folder::Folder;
use super::providers::Providers;
use quillmount_core::counters::Counters;
use quillmount_core::note::{Level, Note};
use quillmount_core::router::{Intake, Router, Step};
use quillmount_core::{CallEnd, CallId, Invocation, InvokerCall, Notice, ProviderList};
use spurshore::Micros;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// Between two looks for connections that are dead or too old.
const SWEEP: std::time::Duration = std::time::Duration::from_secs(1);

pub struct Courier {
    clock: Clock,
    router: RefCell<Router<Folder>>,
    providers: Providers,
    /// Calls that are out; a word on the channel gives one up.
    calls: RefCell<HashMap<CallId, oneshot::Sender<()>>>,
    serving: Cell<bool>,
    /// The router's next wake-up may have moved.
    moved: Notify,
    notices: Notify,
}

impl Courier {
    pub fn new(clock: Clock, router: Router<Folder>, providers: Providers) -> Rc<Self> {
        Rc::new(Courier {
            clock,
            router: RefCell::new(router),
            providers,
            calls: RefCell::default(),
            serving: Cell::new(false),
            moved: Notify::new(),
            notices: Notify::new(),
        })
    }

    /// Counts what the router does not see.
    pub fn count(&self, one: impl FnOnce(&mut Counters)) {
        one(&mut self.router.borrow_mut().counters);
    }

    pub fn is_serving(&self) -> bool {
        self.serving.get()
    }

    pub fn set_serving(&self, serving: bool) {
        self.serving.set(serving);
    }

    pub fn take_on(self: &Rc<Self>, invocation: Invocation) -> Intake {
        let (intake, steps) = self.router.borrow_mut().take_on(invocation, self.clock.now());
        self.carry_out(steps);
        intake
    }

    pub fn list(self: &Rc<Self>, list: ProviderList) {
        self.count(|c| c.list_changes += 1);
        let (version, lines) = (list.version, list.providers.len());
        let steps = self.router.borrow_mut().list(list, self.clock.now());
        log::info!("discovery: version {version} with {lines} lines");
        self.carry_out(steps);
    }

    pub fn list_version(&self) -> u64 {
        self.router.borrow().version()
    }

    pub fn stop(self: &Rc<Self>, at: Micros) {
        self.serving.set(false);
        let steps = self.router.borrow_mut().stop(self.clock.now(), at);
        self.carry_out(steps);
    }

    pub fn notices(&self, most: usize) -> Vec<Notice> {
        self.router.borrow().notices(most)
    }

    pub async fn notices_wanted(&self) {
        self.notices.notified().await;
    }

    pub fn told(self: &Rc<Self>, notices: &[Notice]) {
        let steps = self.router.borrow_mut().told(notices, self.clock.now());
        self.carry_out(steps);
    }

    /// Nothing is out and nothing waits to be told.
    pub fn is_quiet(&self) -> bool {
        self.calls.borrow().is_empty() && self.notices(1).is_empty()
    }

    pub fn report(&self) -> String {
        let router = self.router.borrow();
        let (owed, out) = router.load();
        format!("{} owed={owed} calls_out={out} journal_bytes={}", router.counters, router.disk())
    }

    /// Wakes the router whenever it wants to.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = self.router.borrow().wake_at();
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
                let steps = self.router.borrow_mut().tick(self.clock.now());
                self.carry_out(steps);
            }
        }
    }

    /// Frees the descriptors of connections to providers that will not be used again.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SWEEP).await;
            self.providers.sweep();
        }
    }

    pub fn carry_out(self: &Rc<Self>, steps: Vec<Step>) {
        let mut steps = std::collections::VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Call(call) => self.call(call),
                Step::NotWritten(call) => {
                    let more = self.router.borrow_mut().call_ended(call, CallEnd::HeldBack, self.clock.now());
                    steps.extend(more);
                }
                Step::GiveUp(call) => {
                    if let Some(word) = self.calls.borrow_mut().remove(&call) {
                        // The call may have ended in this very moment; then nobody listens.
                        let _ = word.send(());
                    }
                }
                Step::Forget(provider) => self.providers.forget(provider),
                Step::CloseIdle(provider) => self.providers.close_idle(provider),
                Step::Gate { provider, open } => self.providers.gate(provider, open),
                Step::Hold { provider, until } => self.providers.hold(provider, until),
                Step::Notify => self.notices.notify_one(),
                Step::Note(note) => say(&note),
            }
        }
        self.moved.notify_one();
    }

    fn call(self: &Rc<Self>, call: InvokerCall) {
        log::debug!("call: {:?} to {}, {} us", call.call, call.addr, call.timeout);
        let (word, give_up) = oneshot::channel();
        self.calls.borrow_mut().insert(call.call, word);
        let this = self.clone();
        actix_rt::spawn(async move {
            let end = this.providers.call(&call, give_up).await;
            this.calls.borrow_mut().remove(&call.call);
            let steps = this.router.borrow_mut().call_ended(call.call, end, this.clock.now());
            log::debug!("call ended: {:?} to {}: {end:?}", call.call, call.addr);
            this.carry_out(steps);
        });
    }
}

fn say(note: &Note) {
    let level = match note.level() {
        Level::Debug => log::Level::Debug,
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(level, "{note}");
}
