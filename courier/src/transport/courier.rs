//! The wiring: what happens on sockets goes to the router, and the router's steps to the sockets.

use super::clock::Clock;
use super::folder::Folder;
use super::gate::Gate;
use super::handle::{Handle, Part, Parts};
use super::providers::{self, Came, Words};
use super::streams::{self, Fails, Pipe, Rules, Streams};
use crate::fleet::budget::{Budgets, Conn};
use actix_http::Response;
use actix_rt::net::TcpStream;
use bytes::Bytes;
use quillmount_core::call::{self, Call};
use quillmount_core::counters::Counters;
use quillmount_core::flow::{Cut, Flow};
use quillmount_core::holds::HoldError;
use quillmount_core::hub::{self, Do, Hub};
use quillmount_core::journal::{End, Entry, JournalError, Record, Settlements, Source};
use quillmount_core::machine::attempt::Input;
use quillmount_core::note::{Level, Note};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router, UnknownId};
use quillmount_core::{
    CallEnd, CallId, Ending, Invocation, InvokerCall, Notice, ProviderList, Said, StreamHead,
};
use spurshore::{Micros, MsgId};
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

/// Takes what a consumer hands in, with all of its `X-Addressing`; `None`: it is of no settlement.
pub type Front = Box<dyn Fn(&Invocation, &str) -> Option<HandIn>>;
/// Hears that a message that is watched has ended.
pub type Watcher = Box<dyn Fn(&str, End)>;

/// Whoever keeps settlements, where any are carried.
pub struct Settles {
    pub hand_in: Front,
    ended: Watcher,
}

pub struct Courier {
    pub clock: Clock,
    /// What its tasks know of it.
    pub handle: Rc<Handle>,
    /// What calls that are out are told.
    words: RefCell<HashMap<CallId, Rc<Words>>>,
    /// What may be streamed, where anything may, and what is.
    pub rules: Option<Rules>,
    streams: Rc<Streams>,
    pipes: RefCell<HashMap<MsgId, Rc<Pipe>>>,
    /// The router's next wake-up may have moved.
    moved: Notify,
    notices: Notify,
    /// Where the courier is one of a fleet: what is written counts once others have it too.
    pub gate: Option<Rc<Gate>>,
    settles: OnceCell<Settles>,
    /// Where partners let the fleet have so many connections.
    budgets: Option<Rc<Budgets>>,
}

impl Courier {
    pub fn new(
        clock: Clock,
        connect: Duration,
        router: Router<Folder>,
        pool: Pool<Conn>,
        rules: Option<Rules>,
        gate: Option<Rc<Gate>>,
        budgets: Option<Rc<Budgets>>,
    ) -> Rc<Self> {
        Rc::new(Courier {
            streams: Rc::new(Streams::new(rules.as_ref().map_or(0, |rules| rules.turn))),
            rules,
            pipes: RefCell::default(),
            handle: Rc::new(Handle::new(clock.clone(), connect, Hub::new(router, pool))),
            clock,
            words: RefCell::default(),
            moved: Notify::new(),
            notices: Notify::new(),
            gate,
            settles: OnceCell::new(),
            budgets,
        })
    }

    /// From now on messages of settlements go this way.
    pub fn settle_with(&self, hand_in: Front, ended: Watcher) {
        // The first stands: there is one fleet.
        let _ = self.settles.set(Settles { hand_in, ended });
    }

    pub fn settles(&self) -> Option<&Settles> {
        self.settles.get()
    }

    /// See [`Router::refuses`].
    pub fn refuses(&self, invocation: &Invocation) -> Option<Intake> {
        self.handle.hub.borrow().router.refuses(&invocation.class, invocation.dest)
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
    pub fn take_on_promised(self: &Rc<Self>, invocation: Invocation) -> Intake {
        let (intake, todo) = self.handle.hub.borrow_mut().take_on(invocation, self.clock.now());
        self.carry_out(todo);
        intake
    }

    /// See [`Router::end_unsent`].
    ///
    /// # Errors
    /// The store refused the records: nothing has changed.
    pub fn end_unsent(self: &Rc<Self>, invocation: Invocation, ending: Ending) -> Result<(), JournalError> {
        let todo = self.handle.hub.borrow_mut().end_unsent(invocation, ending, self.clock.now())?;
        self.carry_out(todo);
        Ok(())
    }

    /// See [`Router::write_settlement`].
    ///
    /// # Errors
    /// There is no room, or the store refused them: nothing of them is there.
    pub fn write_settlement(&self, records: &[Record], may_wait: bool) -> Result<(), JournalError> {
        self.handle.hub.borrow_mut().router.write_settlement(records, may_wait, self.clock.now())
    }

    /// Counts what the router does not see.
    pub fn count(&self, one: impl FnOnce(&mut Counters)) {
        self.handle.count(one);
    }

    /// Whether the front may send consumers here.
    pub fn wants_consumers(&self) -> bool {
        self.handle.life().wants_consumers() && self.gate.as_ref().is_none_or(|gate| gate.takes_on().is_ok())
    }

    /// Asks all calls to give their parts up; streams end as at a planned stop.
    pub fn hand_over(self: &Rc<Self>) {
        self.end_streams();
        self.words.borrow().values().for_each(|words| words.give());
    }

    /// Calls whose parts are still to be given up.
    pub fn to_give(&self) -> usize {
        self.words.borrow().len()
    }

    /// All state, and all parts, once nothing is decided any more.
    pub fn frozen(&self, settings: u32) -> (hub::State, Parts<TcpStream>) {
        let mut parts = self.handle.given();
        let resting = self.handle.pool(Pool::take_resting);
        parts.extend(resting.into_iter().map(|(provider, addr, since, conn)| {
            (Part::Resting { provider, addr, since }, conn.into_stream())
        }));
        (self.handle.hub.borrow().state(settings), parts)
    }

    /// Takes up a call of another process, or of this one before it froze.
    pub fn go_on(self: &Rc<Self>, part: call::Part, stream: Option<TcpStream>) {
        let (dest, id, addr) = (part.order.dest, part.order.call, part.order.addr);
        let call = providers::go_on(&self.handle, part, stream);
        tracing::debug!("call: {id:?} to {addr}, destination {dest}, goes on");
        self.make(id, addr, call, None, tracing::Span::none());
    }

    /// Takes up a connection that rests.
    pub fn rest(&self, provider: u32, addr: SocketAddr, since: Micros, stream: TcpStream) {
        drop(self.handle.pool(|pool| pool.rest(provider, addr, since, Conn::Plain(stream))));
    }

    /// Calls that are out by the state of another process, and came without their parts: they may have run.
    pub fn calls_lost(self: &Rc<Self>) {
        let out = self.handle.hub.borrow().router.calls_out();
        for call in out.into_iter().filter(|call| !self.words.borrow().contains_key(call)) {
            tracing::warn!("upgrade: call {call:?} did not come over");
            let todo = self.handle.hub.borrow_mut().call_ended(call, CallEnd::Reset, self.clock.now());
            self.carry_out(todo);
        }
    }

    /// The first steps of a state that another process had.
    pub fn resume(self: &Rc<Self>, holds: &[(u32, Micros)], steps: Vec<quillmount_core::router::Step>) {
        let todo = self.handle.hub.borrow_mut().resume(holds, steps, self.clock.now());
        self.carry_out(todo);
    }

    pub fn take_on(self: &Rc<Self>, invocation: Invocation) -> Intake {
        if let Some(Err(after)) = self.gate.as_ref().map(|gate| gate.takes_on()) {
            self.count(|c| c.rejected += 1);
            return Intake::Rejected { after };
        }
        let late = self.budgets.as_ref().and_then(|budgets| budgets.refuses(&invocation));
        // One that is owed is answered as what it is.
        if let Some(after) = late.filter(|_| !self.handle.hub.borrow().router.knows(&invocation.id)) {
            self.count(|c| c.rejected += 1);
            return Intake::Rejected { after };
        }
        let (intake, todo) = self.handle.hub.borrow_mut().take_on(invocation, self.clock.now());
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
    pub fn adopt(self: &Rc<Self>, entries: Vec<Entry>, lines: &Settlements) -> Result<(), JournalError> {
        let todo = self.handle.hub.borrow_mut().adopt_with(entries, lines, self.clock.now())?;
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
    pub fn settle_from(self: &Rc<Self>, source: &Source, kept: bool) -> Result<(), JournalError> {
        let todo = self.handle.hub.borrow_mut().settle(source, kept, self.clock.now())?;
        self.carry_out(todo);
        Ok(())
    }

    /// A stream's head has come; its body is read once a call has begun.
    ///
    /// # Errors
    /// It is not taken on.
    pub fn take_on_stream(
        self: &Rc<Self>,
        invocation: Invocation,
        head: StreamHead,
        rules: &Rules,
    ) -> Result<Rc<Pipe>, Intake> {
        let now = self.clock.now();
        let (intake, msg, todo) = self.handle.hub.borrow_mut().take_on_stream(invocation, now);
        let flow = Flow::new(rules.window, head.length, rules.consumer, rules.provider, now);
        let pipe = Pipe::new(msg, head, flow, self.streams.clone());
        if intake == Intake::TakenOn {
            self.pipes.borrow_mut().insert(msg, pipe.clone());
        }
        self.carry_out(todo);
        if intake == Intake::TakenOn { Ok(pipe) } else { Err(intake) }
    }

    /// A stream does not go on.
    pub fn stream_fails(self: &Rc<Self>, pipe: &Pipe, why: Fails) {
        match why {
            Fails::Cut(why) => self.stream_cut(pipe, why),
            Fails::Unbegun => self.stream(|router| router.stream_unbegun(pipe.msg, self.clock.now())),
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
        self.words.borrow().values().for_each(|words| words.say(Input::Ended));
    }

    /// The last byte of its call has left.
    fn stream_written(self: &Rc<Self>, call: CallId) {
        let now = self.clock.now();
        self.stream(|router| router.stream_written(call, now));
    }

    /// Its consumer was answered, or can't be.
    pub fn stream_answered(self: &Rc<Self>, msg: MsgId, heard: bool) {
        let now = self.clock.now();
        self.pipes.borrow_mut().remove(&msg);
        self.stream(|router| router.answered(msg, heard, now));
    }

    /// Its connection has ended before its answer.
    pub fn stream_lost(self: &Rc<Self>, msg: MsgId) {
        if self.handle.life().has_ended() {
            return;
        }
        let pipe = self.pipes.borrow().get(&msg).cloned();
        if let Some(pipe) = pipe {
            self.stream_cut(&pipe, Cut::Gone);
        }
        self.stream_answered(msg, false);
    }

    fn stream(self: &Rc<Self>, act: impl FnOnce(&mut Router<Folder>) -> Vec<quillmount_core::router::Step>) {
        let todo = self.handle.hub.borrow_mut().stream(act, self.clock.now());
        self.carry_out(todo);
    }

    pub fn list(self: &Rc<Self>, list: ProviderList) {
        if self.handle.life().is_frozen() {
            // Whoever decides next watches from the version that is known.
            return;
        }
        self.count(|c| c.list_changes += 1);
        let (version, lines) = (list.version, list.providers.len());
        let todo = self.handle.hub.borrow_mut().list(list, self.clock.now());
        tracing::info!("discovery: version {version} with {lines} lines");
        self.carry_out(todo);
    }

    /// Operators take an endpoint out or put it back.
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn hold(self: &Rc<Self>, id: &str, held: bool) -> Result<(), HoldError> {
        let todo = self.handle.hub.borrow_mut().hold(id, held, self.clock.now())?;
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

    pub fn told(self: &Rc<Self>, notices: &[Notice]) {
        if self.handle.life().is_frozen() {
            // Told twice does no harm.
            return;
        }
        let todo = self.handle.hub.borrow_mut().told(notices, self.clock.now());
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
    pub fn begin(self: &Rc<Self>, steps: Vec<quillmount_core::router::Step>) {
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
            if self.handle.life().is_frozen() {
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
        if let Some(words) = self.words.borrow().get(&call) {
            words.cut();
        }
    }

    /// Frees the descriptors of connections to providers that will not be used again.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SWEEP).await;
            drop(self.handle.pool(|pool| pool.sweep(self.clock.now(), providers::is_quiet)));
        }
    }

    fn carry_out(self: &Rc<Self>, todo: Vec<Do<Conn>>) {
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
                Do::Answer(msg, end) => {
                    // A consumer that has gone was told of already.
                    if let Some(pipe) = self.pipes.borrow().get(&msg) {
                        pipe.ends(end);
                    }
                }
                Do::Note(note) => say(&note),
            }
        }
        if let Some(settles) = self.settles.get() {
            let ends = self.handle.hub.borrow_mut().router.ends();
            ends.iter().for_each(|(id, end)| (settles.ended)(id, *end));
        }
        self.moved.notify_one();
    }

    fn call(self: &Rc<Self>, mut call: InvokerCall) {
        tracing::debug!("call: {:?} to {}, {} us", call.call, call.addr, call.timeout);
        // Of no other span: a call that another's end began would carry that one's along, and so on all day.
        let span = tracing::debug_span!(
            parent: None,
            "call",
            id = call.invocation.id.as_str(),
            dest = call.dest,
            attempt = call.call.attempt
        );
        let (id, addr) = (call.call, call.addr);
        let passes = self.gate.as_ref().map(|gate| {
            call.by = call.by.min(gate.latest(self.clock.now()));
            (gate.clone(), gate.written(), call.by)
        });
        let mut call = providers::begin(call, self.clock.now());
        call.0.full_closes = self.handle.hub.borrow().router.hears_load();
        self.make(id, addr, call, passes, span);
    }

    /// Makes a call, from where it stands; one that is to pass the gate does so before its first byte.
    fn make(
        self: &Rc<Self>,
        id: CallId,
        addr: SocketAddr,
        mut call: (Call<Conn>, Micros),
        passes: Option<(Rc<Gate>, u64, Micros)>,
        span: tracing::Span,
    ) {
        let words = Rc::new(Words::default());
        self.words.borrow_mut().insert(id, words.clone());
        let this = self.clone();
        let made = async move {
            // On the heap: without a fleet no call would have to carry the room for it.
            let passed = match passes {
                None => true,
                Some((gate, mark, by)) => Box::pin(async move { gate.pass(mark, by).await }).await,
            };
            let counted = this.budgets.as_ref().filter(|b| passed && b.counts(call.0.order.dest));
            let mut leave = match counted {
                Some(budgets) => Box::pin(budgets.ask(&this.handle, &mut call, &words)).await,
                None => None,
            };
            let came = if !passed || (counted.is_some() && leave.is_none()) {
                Came::Ended(CallEnd::HeldBack, Said::default())
            } else if call.0.order.stream {
                let pipe = this.pipes.borrow().get(&id.msg).cloned();
                let end = match pipe {
                    // On the heap: every other call would carry the room for it along.
                    Some(pipe) => {
                        let written = || this.stream_written(id);
                        Box::pin(streams::call(
                            &this.handle,
                            call.0.order,
                            &words,
                            &pipe,
                            leave.as_deref_mut(),
                            written,
                        ))
                        .await
                    }
                    // Its consumer has gone: its body with it.
                    None => CallEnd::HeldBack,
                };
                Came::Ended(end, Said::default())
            } else {
                providers::call(&this.handle, call, &words, leave.as_deref_mut()).await
            };
            this.words.borrow_mut().remove(&id);
            if let (Some(budgets), Some(leave)) = (counted, leave) {
                budgets.over(*leave);
            }
            let (end, each, said) = match came {
                Came::Ended(end, said) => (end, None, said),
                Came::Each(ends, said) => (CallEnd::Each, Some(ends), said),
                Came::Given(part, stream) => return this.handle.give(Part::Call(part), stream),
            };
            let now = this.clock.now();
            let todo = match &each {
                None => this.handle.hub.borrow_mut().call_ended_saying(id, end, &said, now),
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

fn say(note: &Note) {
    match note.level() {
        Level::Debug => tracing::debug!("{note}"),
        Level::Info => tracing::info!("{note}"),
        Level::Warn => tracing::warn!("{note}"),
        Level::Error => tracing::error!("{note}"),
    }
}
