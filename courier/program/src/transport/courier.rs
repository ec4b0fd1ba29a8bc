//! The courier: passes what happens on sockets to the router, and carries out the router's actions on the sockets.
//!
//! All decisions are made by [`Hub`] and its [`Router`]; every method here that reports something to them carries out the
//! actions that they return. This file has intake, the endpoint list, notices and the clock, `calls` the delivery
//! calls, `streams` the streamed submissions, `fleet` what is particular to a courier of a fleet, `handover` the courier's part of
//! an upgrade.

mod calls;
mod fleet;
mod handover;
mod streams;

pub use fleet::SettlementAnswer;

use super::clock::Clock;
use super::connection::EndpointStream;
use super::connection_budget::ConnectionBudget;
use super::endpoints;
use super::gate::Gate;
use super::handle::Handle;
use super::journal_file::JournalFile;
use super::signals::CallSignals;
use super::streams::{Pipe, StreamRules, Streams};
use fleet::SettlementHooks;
use quillmount_core::counters::Counters;
use quillmount_core::disabled::DisableError;
use quillmount_core::hub::{DriverAction, Hub};
use quillmount_core::note::{Level, Note};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router, RouterAction, RouterLoad};
use quillmount_core::{CallId, EndpointList, Notice, Submission};
use quillmount_policy::{Micros, MsgId};
use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The interval at which connections to endpoints are checked that are dead or too old.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What a [`Courier`] is made of.
pub struct CourierSetup {
    /// The time that all deadlines are given in.
    pub clock: Clock,
    /// How long a connection to an endpoint may take to come up.
    pub connect_timeout: Duration,
    /// The router, which decides.
    pub router: Router<JournalFile>,
    /// The pool of connections to endpoints.
    pub pool: Pool<EndpointStream>,
    /// What may be streamed, where streams are enabled.
    pub rules: Option<StreamRules>,
    /// Where the courier is one of a fleet: records count once they are replicated.
    pub gate: Option<Rc<Gate>>,
    /// Where the connections to some destinations are limited for the fleet.
    pub budgets: Option<Rc<dyn ConnectionBudget>>,
}

/// A courier on the sockets of one process.
pub struct Courier {
    /// The time that all deadlines are given in.
    pub clock: Clock,
    /// What the tasks on sockets share with their courier.
    pub handle: Rc<Handle>,
    /// The signals of the calls in flight.
    signals: RefCell<HashMap<CallId, Rc<CallSignals>>>,
    /// What may be streamed, where streams are enabled.
    pub rules: Option<StreamRules>,
    streams: Rc<Streams>,
    /// The bodies of streams, until their clients are answered.
    pipes: RefCell<HashMap<MsgId, Rc<Pipe>>>,
    /// The router's next wake-up may have moved.
    wake_moved: Notify,
    /// There may be new notices to send.
    notices: Notify,
    /// Where the courier is one of a fleet: records count once they are replicated.
    pub gate: Option<Rc<Gate>>,
    settlement_hooks: OnceCell<SettlementHooks>,
    /// Where the connections to some destinations are limited for the fleet.
    budgets: Option<Rc<dyn ConnectionBudget>>,
}

impl Courier {
    /// A courier that has not begun to work.
    pub fn new(setup: CourierSetup) -> Rc<Self> {
        let CourierSetup { clock, connect_timeout, router, pool, rules, gate, budgets } = setup;
        let bytes_per_turn = rules.as_ref().map_or(0, |rules| rules.turn);
        Rc::new(Courier {
            streams: Rc::new(Streams::new(bytes_per_turn)),
            rules,
            pipes: RefCell::default(),
            handle: Rc::new(Handle::new(clock.clone(), connect_timeout, Hub::new(router, pool))),
            clock,
            signals: RefCell::default(),
            wake_moved: Notify::new(),
            notices: Notify::new(),
            gate,
            settlement_hooks: OnceCell::new(),
            budgets,
        })
    }

    /// Counts what the router does not see.
    pub fn count(&self, one: impl FnOnce(&mut Counters)) {
        self.handle.count(one);
    }

    /// Whether the load balancer may send clients here.
    pub fn accepts_clients(&self) -> bool {
        self.handle.lifecycle().accepts_clients()
            && self.gate.as_ref().is_none_or(|gate| gate.check_open().is_ok())
    }

    /// Submits a client's message, where the gate and the budgets allow it.
    pub fn submit(self: &Rc<Self>, submission: Submission) -> Intake {
        if let Some(rejected) = self.reject_by_gate() {
            return rejected;
        }
        let retry_after = self.budgets.as_ref().and_then(|budgets| budgets.rejects(&submission));
        // A repeated message is answered like the first one.
        if let Some(after) = retry_after.filter(|_| !self.handle.hub.borrow().router.is_known(&submission.id))
        {
            self.count(|counters| counters.rejected += 1);
            return Intake::Rejected { after };
        }
        let (intake, actions) = self.handle.hub.borrow_mut().submit(submission, self.clock.now());
        self.carry_out(actions);
        intake
    }

    /// Applies a new endpoint list of discovery.
    pub fn list(self: &Rc<Self>, list: EndpointList) {
        if self.handle.lifecycle().is_frozen() {
            // The next process watches from the version that this one knew.
            return;
        }
        self.count(|counters| counters.list_changes += 1);
        let (version, lines) = (list.version, list.endpoints.len());
        let actions = self.handle.hub.borrow_mut().list(list, self.clock.now());
        tracing::info!("discovery: version {version} with {lines} lines");
        self.carry_out(actions);
    }

    /// Disables an endpoint, as an operator asked for, or enables it again.
    ///
    /// # Errors
    /// No endpoint has the id, or the record could not be written: nothing has changed.
    pub fn set_disabled(self: &Rc<Self>, id: &str, disabled: bool) -> Result<(), DisableError> {
        let actions = self.handle.hub.borrow_mut().set_disabled(id, disabled, self.clock.now())?;
        self.carry_out(actions);
        Ok(())
    }

    /// The version of the endpoint list that is in force.
    pub fn list_version(&self) -> u64 {
        self.handle.hub.borrow().router.version()
    }

    /// Begins the planned stop of a process that ends at `at`.
    pub fn stop(self: &Rc<Self>, at: Micros) {
        let actions = self.handle.hub.borrow_mut().stop(self.clock.now(), at);
        self.carry_out(actions);
    }

    /// The oldest notices that the platform has not confirmed, at most `most`.
    pub fn notices(&self, most: usize) -> Vec<Notice> {
        self.handle.hub.borrow().router.notices(most)
    }

    /// Waits until there may be new notices.
    pub async fn wait_for_notices(&self) {
        self.notices.notified().await;
    }

    /// The platform has confirmed these notices.
    pub fn notices_confirmed(self: &Rc<Self>, notices: &[Notice]) {
        if self.handle.lifecycle().is_frozen() {
            // The next process sends them again, which is harmless.
            return;
        }
        let actions = self.handle.hub.borrow_mut().notices_confirmed(notices, self.clock.now());
        self.carry_out(actions);
    }

    /// Whether no message is open, and no call in flight.
    pub fn is_quiet(&self) -> bool {
        self.handle.hub.borrow().is_idle()
    }

    /// Whether any call is in flight.
    pub fn has_calls_out(&self) -> bool {
        self.handle.hub.borrow().router.load().in_flight > 0
    }

    /// The counters, as one line for the log.
    pub fn report(&self) -> String {
        let router = &self.handle.hub.borrow().router;
        let RouterLoad { owed, in_flight } = router.load();
        let own =
            format!("{} owed={owed} calls_out={in_flight} journal_bytes={}", router.counters, router.disk());
        match &self.gate {
            Some(gate) => format!("{own} {}", gate.report()),
            None => own,
        }
    }

    /// Carries out the first actions of a router that has read its journal.
    pub fn begin(self: &Rc<Self>, first: Vec<RouterAction>) {
        let actions = self.handle.hub.borrow_mut().carry_out(first, self.clock.now());
        self.carry_out(actions);
    }

    /// Wakes the router at the times that it asks for; returns once another process decides.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = self.handle.hub.borrow().router.wake_at();
            let wake_moved = self.wake_moved.notified();
            tokio::select! {
                () = self.clock.sleep_until(wake) => {}
                () = wake_moved => {}
            }
            if self.handle.lifecycle().is_frozen() {
                return;
            }
            if wake.is_some_and(|at| at <= self.clock.now()) {
                let actions = self.handle.hub.borrow_mut().tick(self.clock.now());
                self.carry_out(actions);
            }
        }
    }

    /// Closes connections to endpoints that will not be used again, at regular intervals; never returns.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SWEEP_INTERVAL).await;
            drop(self.handle.pool(|pool| pool.sweep(self.clock.now(), endpoints::is_quiet)));
        }
    }

    /// Carries out what the decisions ask for.
    fn carry_out(self: &Rc<Self>, actions: Vec<DriverAction<EndpointStream>>) {
        for action in actions {
            match action {
                DriverAction::Begin(call) => self.begin_call(call),
                DriverAction::Signal(call, input) => {
                    // The call may have ended in this very moment.
                    if let Some(signals) = self.signals.borrow().get(&call) {
                        signals.signal(input);
                    }
                }
                DriverAction::Close(gone) => drop(gone),
                DriverAction::Notify => self.notices.notify_one(),
                DriverAction::Answer(msg, end) => {
                    // The end of a stream whose client has disconnected is reported already.
                    if let Some(pipe) = self.pipes.borrow().get(&msg) {
                        pipe.finish(end);
                    }
                }
                DriverAction::Note(note) => log_note(&note),
            }
        }
        if let Some(hooks) = self.settlement_hooks.get() {
            let ends = self.handle.hub.borrow_mut().router.take_watched_ends();
            ends.iter().for_each(|(id, end)| (hooks.message_ended)(id, *end));
        }
        self.wake_moved.notify_one();
    }
}

fn log_note(note: &Note) {
    match note.level() {
        Level::Debug => tracing::debug!("{note}"),
        Level::Info => tracing::info!("{note}"),
        Level::Warn => tracing::warn!("{note}"),
        Level::Error => tracing::error!("{note}"),
    }
}
