//! The wiring: what happens on sockets goes to the router, and the router's steps to the sockets.

use super::clock::Clock;
use super::endpoints::{self, CallOutcome, CallSignals};
use super::gate::Gate;
use super::handle::{Handle, HandoverPart, Parts};
use super::journal_file::JournalFile;
use super::streams::{self, Pipe, StreamFailure, StreamRules, Streams};
use crate::fleet::budget::{Budgets, Conn};
use actix_http::Response;
use actix_rt::net::TcpStream;
use bytes::Bytes;
use quillmount_core::call::{self, Call};
use quillmount_core::counters::Counters;
use quillmount_core::disabled::DisableError;
use quillmount_core::flow::{Cut, Flow};
use quillmount_core::hub::{self, DriverAction, Hub};
use quillmount_core::journal::{End, JournalEntry, JournalError, JournalRecord, Settlements, Source};
use quillmount_core::machine::attempt::AttemptInput;
use quillmount_core::note::{Level, Note};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router, UnknownId};
use quillmount_core::{
    AnswerReport, CallEnd, CallId, DeliveryCall, Ending, EndpointList, Notice, StreamHead, Submission,
};
use quillmount_policy::{Micros, MsgId};
use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tracing::Instrument;

/// Between two looks for connections that are dead or too old.
const SWEEP: Duration = Duration::from_secs(1);

/// The answer to a message of a settlement, once its home has given its word.
pub type HandIn = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

/// Takes what a client hands in, with all of its `X-Addressing`; `None`: it is of no settlement.
pub type Front = Box<dyn Fn(&Submission, &str) -> Option<HandIn>>;
/// Hears that a message that is watched has ended.
pub type Watcher = Box<dyn Fn(&str, End)>;

/// Whoever keeps settlements, where any are carried.
pub struct SettlementHooks {
    pub hand_in: Front,
    ended: Watcher,
}

pub struct Courier {
    pub clock: Clock,
    /// What its tasks know of it.
    pub handle: Rc<Handle>,
    /// What calls that are out are told.
    signals: RefCell<HashMap<CallId, Rc<CallSignals>>>,
    /// What may be streamed, where anything may, and what is.
    pub rules: Option<StreamRules>,
    streams: Rc<Streams>,
    pipes: RefCell<HashMap<MsgId, Rc<Pipe>>>,
    /// The router's next wake-up may have moved.
    moved: Notify,
    notices: Notify,
    /// Where the courier is one of a fleet: what is written counts once others have it too.
    pub gate: Option<Rc<Gate>>,
    settlement_hooks: OnceCell<SettlementHooks>,
    /// Where partners let the fleet have so many connections.
    budgets: Option<Rc<Budgets>>,
}

impl Courier {
    pub fn new(
        clock: Clock,
        connect: Duration,
        router: Router<JournalFile>,
        pool: Pool<Conn>,
        rules: Option<StreamRules>,
        gate: Option<Rc<Gate>>,
        budgets: Option<Rc<Budgets>>,
    ) -> Rc<Self> {
        Rc::new(Courier {
            streams: Rc::new(Streams::new(rules.as_ref().map_or(0, |rules| rules.turn))),
            rules,
            pipes: RefCell::default(),
            handle: Rc::new(Handle::new(clock.clone(), connect, Hub::new(router, pool))),
            clock,
            signals: RefCell::default(),
            moved: Notify::new(),
            notices: Notify::new(),
            gate,
            settlement_hooks: OnceCell::new(),
            budgets,
        })
    }

    /// From now on messages of settlements go this way.
    pub fn settle_with(&self, hand_in: Front, ended: Watcher) {
        // The first stands: there is one fleet.
        let _ = self.settlement_hooks.set(SettlementHooks { hand_in, ended });
    }

    pub fn settlement_hooks(&self) -> Option<&SettlementHooks> {
        self.settlement_hooks.get()
    }

    /// See [`Router::refuses`].
    pub fn refuses(&self, submission: &Submission) -> Option<Intake> {
        self.handle.hub.borrow().router.refuses(&submission.class, submission.dest)
    }

    /// See [`Router::fate`].
    ///
    /// # Errors
    /// No message of this id is known.
    pub fn fate(&self, id: &str) -> Result<Option<End>, UnknownId> {
        self.handle.hub.borrow().router.fate(id)
    }

    /// See [`Router::watch`].
    ///
    /// # Errors
    /// No message of this id is known yet.
    pub fn watch(&self, id: &str) -> Result<Option<End>, UnknownId> {
        self.handle.hub.borrow_mut().router.watch(id)
    }

    pub fn unwatch(&self, id: &str) {
        self.handle.hub.borrow_mut().router.unwatch(id);
    }

    /// Takes on what this courier has promised an end already.
    pub fn submit_promised(self: &Rc<Self>, submission: Submission) -> Intake {
        let (intake, todo) = self.handle.hub.borrow_mut().submit(submission, self.clock.now());
        self.carry_out(todo);
        intake
    }

    /// See [`Router::end_unsent`].
    ///
    /// # Errors
    /// The store refused the records: nothing has changed.
    pub fn end_unsent(self: &Rc<Self>, submission: Submission, ending: Ending) -> Result<(), JournalError> {
        let todo = self.handle.hub.borrow_mut().end_unsent(submission, ending, self.clock.now())?;
        self.carry_out(todo);
        Ok(())
    }

    /// See [`Router::write_settlement`].
    ///
    /// # Errors
    /// There is no room, or the store refused them: nothing of them is there.
    pub fn write_settlement(&self, records: &[JournalRecord], may_wait: bool) -> Result<(), JournalError> {
        self.handle.hub.borrow_mut().router.write_settlement(records, may_wait, self.clock.now())
    }

    /// Counts what the router does not see.
    pub fn count(&self, one: impl FnOnce(&mut Counters)) {
        self.handle.count(one);
    }

    /// Whether the front may send clients here.
    pub fn accepts_clients(&self) -> bool {
        self.handle.lifecycle().accepts_clients()
            && self.gate.as_ref().is_none_or(|gate| gate.takes_on().is_ok())
    }

    /// Asks all calls to give their parts up; streams end as at a planned stop.
    pub fn release(self: &Rc<Self>) {
        self.end_streams();
        self.signals.borrow().values().for_each(|signals| signals.release());
    }

    /// Calls whose parts are still to be given up.
    pub fn handover_pending(&self) -> usize {
        self.signals.borrow().len()
    }

    /// All state, and all parts, once nothing is decided any more.
    pub fn frozen(&self, settings: u32) -> (hub::HubState, Parts<TcpStream>) {
        let mut parts = self.handle.take_parts();
        let resting = self.handle.pool(Pool::take_all_idle);
        parts.extend(resting.into_iter().map(|(endpoint, addr, since, conn)| {
            (HandoverPart::IdleConnection { endpoint, addr, since }, conn.into_stream())
        }));
        (self.handle.hub.borrow().state(settings), parts)
    }

    /// Takes up a call of another process, or of this one before it froze.
    pub fn resume_call(self: &Rc<Self>, part: call::CallSnapshot, stream: Option<TcpStream>) {
        let (dest, id, addr) = (part.order.dest, part.order.call, part.order.addr);
        let call = endpoints::resume(&self.handle, part, stream);
        tracing::debug!("call: {id:?} to {addr}, destination {dest}, goes on");
        self.run_call(id, addr, call, None, tracing::Span::none());
    }

    /// Takes up a connection that rests.
    pub fn add_idle(&self, endpoint: u32, addr: SocketAddr, since: Micros, stream: TcpStream) {
        drop(self.handle.pool(|pool| pool.add_idle(endpoint, addr, since, Conn::Plain(stream))));
    }

    /// Calls that are out by the state of another process, and came without their parts: they may have run.
    pub fn calls_lost(self: &Rc<Self>) {
        let out = self.handle.hub.borrow().router.calls_out();
        for call in out.into_iter().filter(|call| !self.signals.borrow().contains_key(call)) {
            tracing::warn!("upgrade: call {call:?} did not come over");
            let todo = self.handle.hub.borrow_mut().call_ended(call, CallEnd::Reset, self.clock.now());
            self.carry_out(todo);
        }
    }

    /// The first steps of a state that another process had.
    pub fn resume(
        self: &Rc<Self>,
        backoffs: &[(u32, Micros)],
        steps: Vec<quillmount_core::router::RouterAction>,
    ) {
        let todo = self.handle.hub.borrow_mut().resume(backoffs, steps, self.clock.now());
        self.carry_out(todo);
    }

    pub fn submit(self: &Rc<Self>, submission: Submission) -> Intake {
        if let Some(Err(after)) = self.gate.as_ref().map(|gate| gate.takes_on()) {
            self.count(|c| c.rejected += 1);
            return Intake::Rejected { after };
        }
        let late = self.budgets.as_ref().and_then(|budgets| budgets.rejects(&submission));
        // One that is owed is answered as what it is.
        if let Some(after) = late.filter(|_| !self.handle.hub.borrow().router.knows(&submission.id)) {
            self.count(|c| c.rejected += 1);
            return Intake::Rejected { after };
        }
        let (intake, todo) = self.handle.hub.borrow_mut().submit(submission, self.clock.now());
        self.carry_out(todo);
        intake
    }

    /// What is written by now is where it has to be: at once, but in a fleet.
    pub async fn copied(&self) {
        if let Some(gate) = &self.gate {
            gate.copied().await;
        }
    }

    /// The courier may act on what is written by now: at once, but in a fleet.
    pub async fn may_act(&self) {
        if let Some(gate) = &self.gate {
            gate.pass(gate.written(), Micros::MAX).await;
        }
    }

    /// Takes over what another courier's book owes; see [`Router::adopt`].
    ///
    /// # Errors
    /// The journal has no room, or its store refused the records: then nothing is taken over.
    pub fn adopt(
        self: &Rc<Self>,
        entries: Vec<JournalEntry>,
        lines: &Settlements,
    ) -> Result<(), JournalError> {
        let todo = self.handle.hub.borrow_mut().adopt(entries, lines, self.clock.now())?;
        self.carry_out(todo);
        Ok(())
    }

    /// Sources whose messages wait for the fleet's word.
    pub fn unsettled(&self) -> Vec<Source> {
        self.handle.hub.borrow().router.unsettled().cloned().collect()
    }

    /// The fleet has said whose the messages of a source are; see [`Router::settle_from`].
    ///
    /// # Errors
    /// The store refused the record: they go on to wait.
    pub fn settle_from(self: &Rc<Self>, source: &Source, accepted: bool) -> Result<(), JournalError> {
        let todo = self.handle.hub.borrow_mut().settle_source(source, accepted, self.clock.now())?;
        self.carry_out(todo);
        Ok(())
    }

    /// A stream's head has come; its body is read once a call has begun.
    ///
    /// # Errors
    /// It is not taken on.
    pub fn submit_stream(
        self: &Rc<Self>,
        submission: Submission,
        head: StreamHead,
        rules: &StreamRules,
    ) -> Result<Rc<Pipe>, Intake> {
        let now = self.clock.now();
        let (intake, msg, todo) = self.handle.hub.borrow_mut().submit_stream(submission, now);
        let flow = Flow::new(rules.window, head.length, rules.client, rules.endpoint, now);
        let pipe = Pipe::new(msg, head, flow, self.streams.clone());
        if intake == Intake::Accepted {
            self.pipes.borrow_mut().insert(msg, pipe.clone());
        }
        self.carry_out(todo);
        if intake == Intake::Accepted { Ok(pipe) } else { Err(intake) }
    }

    /// A stream does not go on.
    pub fn stream_fails(self: &Rc<Self>, pipe: &Pipe, why: StreamFailure) {
        match why {
            StreamFailure::Cut(why) => self.stream_cut(pipe, why),
            StreamFailure::Unbegun => self.stream(|router| router.stream_unbegun(pipe.msg, self.clock.now())),
        }
    }

    /// A stream's body will never be whole.
    fn stream_cut(self: &Rc<Self>, pipe: &Pipe, why: Cut) {
        let now = self.clock.now();
        pipe.cut(why, now);
        self.stream(|router| router.stream_cut(pipe.msg, Some(why), now));
    }

    /// The process ends: streams that are on their way get the end that is true of them by now.
    pub fn end_streams(self: &Rc<Self>) {
        let now = self.clock.now();
        let pipes: Vec<_> = self.pipes.borrow().values().cloned().collect();
        for pipe in pipes {
            pipe.cut(Cut::Gone, now);
            self.stream(|router| router.stream_cut(pipe.msg, None, now));
        }
    }

    /// The process ends: what has not left of a call stays here, and the next life knows that it never ran.
    pub fn keep_unsent(&self) {
        self.signals.borrow().values().for_each(|signals| signals.signal(AttemptInput::MessageEnded));
    }

    /// The last byte of its call has left.
    fn stream_written(self: &Rc<Self>, call: CallId) {
        let now = self.clock.now();
        self.stream(|router| router.stream_written(call, now));
    }

    /// Its client was answered, or can't be.
    pub fn stream_answered(self: &Rc<Self>, msg: MsgId, heard: bool) {
        let now = self.clock.now();
        self.pipes.borrow_mut().remove(&msg);
        self.stream(|router| router.answered(msg, heard, now));
    }

    /// Its connection has ended before its answer.
    pub fn stream_lost(self: &Rc<Self>, msg: MsgId) {
        if self.handle.lifecycle().has_ended() {
            return;
        }
        let pipe = self.pipes.borrow().get(&msg).cloned();
        if let Some(pipe) = pipe {
            self.stream_cut(&pipe, Cut::Gone);
        }
        self.stream_answered(msg, false);
    }

    fn stream(
        self: &Rc<Self>,
        act: impl FnOnce(&mut Router<JournalFile>) -> Vec<quillmount_core::router::RouterAction>,
    ) {
        let todo = self.handle.hub.borrow_mut().stream(act, self.clock.now());
        self.carry_out(todo);
    }

    pub fn list(self: &Rc<Self>, list: EndpointList) {
        if self.handle.lifecycle().is_frozen() {
            // Whoever decides next watches from the version that is known.
            return;
        }
        self.count(|c| c.list_changes += 1);
        let (version, lines) = (list.version, list.endpoints.len());
        let todo = self.handle.hub.borrow_mut().list(list, self.clock.now());
        tracing::info!("discovery: version {version} with {lines} lines");
        self.carry_out(todo);
    }

    /// Operators take an endpoint out or put it back.
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn set_disabled(self: &Rc<Self>, id: &str, disabled: bool) -> Result<(), DisableError> {
        let todo = self.handle.hub.borrow_mut().set_disabled(id, disabled, self.clock.now())?;
        self.carry_out(todo);
        Ok(())
    }

    pub fn list_version(&self) -> u64 {
        self.handle.hub.borrow().router.version()
    }

    /// The process ends at `at`.
    pub fn stop(self: &Rc<Self>, at: Micros) {
        let todo = self.handle.hub.borrow_mut().stop(self.clock.now(), at);
        self.carry_out(todo);
    }

    pub fn notices(&self, most: usize) -> Vec<Notice> {
        self.handle.hub.borrow().router.notices(most)
    }

    pub async fn notices_wanted(&self) {
        self.notices.notified().await;
    }

    pub fn notices_confirmed(self: &Rc<Self>, notices: &[Notice]) {
        if self.handle.lifecycle().is_frozen() {
            // Told twice does no harm.
            return;
        }
        let todo = self.handle.hub.borrow_mut().notices_confirmed(notices, self.clock.now());
        self.carry_out(todo);
    }

    /// Nothing is owed, and no call is out.
    pub fn is_quiet(&self) -> bool {
        self.handle.hub.borrow().is_quiet()
    }

    pub fn has_calls_out(&self) -> bool {
        self.handle.hub.borrow().router.load().1 > 0
    }

    pub fn report(&self) -> String {
        let router = &self.handle.hub.borrow().router;
        let (owed, out) = router.load();
        let own = format!("{} owed={owed} calls_out={out} journal_bytes={}", router.counters, router.disk());
        match &self.gate {
            Some(gate) => format!("{own} {}", gate.report()),
            None => own,
        }
    }

    /// The first steps of a router that has read its journal.
    pub fn begin(self: &Rc<Self>, steps: Vec<quillmount_core::router::RouterAction>) {
        let todo = self.handle.hub.borrow_mut().carry_out(steps, self.clock.now());
        self.carry_out(todo);
    }

    /// Wakes the router whenever it wants to.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = self.handle.hub.borrow().router.wake_at();
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
            if self.handle.lifecycle().is_frozen() {
                return;
            }
            if wake.is_some_and(|at| at <= self.clock.now()) {
                let todo = self.handle.hub.borrow_mut().tick(self.clock.now());
                self.carry_out(todo);
            }
        }
    }

    /// A call's connection has been used for as long as any may be.
    pub fn cut(&self, call: CallId) {
        if let Some(signals) = self.signals.borrow().get(&call) {
            signals.cut();
        }
    }

    /// Frees the descriptors of connections to endpoints that will not be used again.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SWEEP).await;
            drop(self.handle.pool(|pool| pool.sweep(self.clock.now(), endpoints::is_quiet)));
        }
    }

    fn carry_out(self: &Rc<Self>, todo: Vec<DriverAction<Conn>>) {
        for action in todo {
            match action {
                DriverAction::Begin(call) => self.call(call),
                DriverAction::Signal(call, input) => {
                    // The call may have ended in this very moment.
                    if let Some(signals) = self.signals.borrow().get(&call) {
                        signals.signal(input);
                    }
                }
                DriverAction::Close(gone) => drop(gone),
                DriverAction::Notify => self.notices.notify_one(),
                DriverAction::Answer(msg, end) => {
                    // A client that has gone was told of already.
                    if let Some(pipe) = self.pipes.borrow().get(&msg) {
                        pipe.ends(end);
                    }
                }
                DriverAction::Note(note) => log_note(&note),
            }
        }
        if let Some(settlement_hooks) = self.settlement_hooks.get() {
            let ends = self.handle.hub.borrow_mut().router.ends();
            ends.iter().for_each(|(id, end)| (settlement_hooks.ended)(id, *end));
        }
        self.moved.notify_one();
    }

    fn call(self: &Rc<Self>, mut call: DeliveryCall) {
        tracing::debug!("call: {:?} to {}, {} us", call.call, call.addr, call.timeout);
        // Of no other span: a call that another's end began would carry that one's along, and so on all day.
        let span = tracing::debug_span!(
            parent: None,
            "call",
            id = call.payload.id.as_str(),
            dest = call.dest,
            attempt = call.call.attempt
        );
        let (id, addr) = (call.call, call.addr);
        let passes = self.gate.as_ref().map(|gate| {
            call.send_before = call.send_before.min(gate.latest(self.clock.now()));
            (gate.clone(), gate.written(), call.send_before)
        });
        let mut call = endpoints::begin(call, self.clock.now());
        call.0.full_closes = self.handle.hub.borrow().router.reads_load_reports();
        self.run_call(id, addr, call, passes, span);
    }

    /// Makes a call, from where it stands; one that is to pass the gate does so before its first byte.
    fn run_call(
        self: &Rc<Self>,
        id: CallId,
        addr: SocketAddr,
        mut call: (Call<Conn>, Micros),
        passes: Option<(Rc<Gate>, u64, Micros)>,
        span: tracing::Span,
    ) {
        let signals = Rc::new(CallSignals::default());
        self.signals.borrow_mut().insert(id, signals.clone());
        let this = self.clone();
        let made = async move {
            // On the heap: without a fleet no call would have to carry the room for it.
            let passed = match passes {
                None => true,
                Some((gate, mark, by)) => Box::pin(async move { gate.pass(mark, by).await }).await,
            };
            let counted = this.budgets.as_ref().filter(|b| passed && b.is_budgeted(call.0.order.dest));
            let mut permit = match counted {
                Some(budgets) => Box::pin(budgets.acquire(&this.handle, &mut call, &signals)).await,
                None => None,
            };
            let outcome = if !passed || (counted.is_some() && permit.is_none()) {
                CallOutcome::Ended(CallEnd::HeldBack, AnswerReport::default())
            } else if call.0.order.stream {
                let pipe = this.pipes.borrow().get(&id.msg).cloned();
                let end = match pipe {
                    // On the heap: every other call would carry the room for it along.
                    Some(pipe) => {
                        let written = || this.stream_written(id);
                        Box::pin(streams::call(
                            &this.handle,
                            call.0.order,
                            &signals,
                            &pipe,
                            permit.as_deref_mut(),
                            written,
                        ))
                        .await
                    }
                    // Its client has gone: its body with it.
                    None => CallEnd::HeldBack,
                };
                CallOutcome::Ended(end, AnswerReport::default())
            } else {
                endpoints::call(&this.handle, call, &signals, permit.as_deref_mut()).await
            };
            this.signals.borrow_mut().remove(&id);
            if let (Some(budgets), Some(permit)) = (counted, permit) {
                budgets.release(*permit);
            }
            let (end, each, said) = match outcome {
                CallOutcome::Ended(end, said) => (end, None, said),
                CallOutcome::Each(ends, said) => (CallEnd::Each, Some(ends), said),
                CallOutcome::Released(part, stream) => {
                    return this.handle.release(HandoverPart::Call(part), stream);
                }
            };
            let now = this.clock.now();
            let todo = match &each {
                None => this.handle.hub.borrow_mut().call_ended_with_report(id, end, &said, now),
                Some(ends) => this.handle.hub.borrow_mut().call_ended_each(id, ends, &said, now),
            };
            tracing::debug!("call ended: {id:?} to {addr}: {end:?} {:?} {said:?}", each.unwrap_or_default());
            this.carry_out(todo);
        };
        // A span that nobody hears costs a call still.
        match span.is_disabled() {
            true => drop(actix_rt::spawn(made)),
            false => drop(actix_rt::spawn(made.instrument(span))),
        }
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
