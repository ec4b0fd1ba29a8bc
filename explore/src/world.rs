//! One state of the world: the courier's own code, and what stands around it.

use crate::case::{CLASSES, Case, Event};
use crate::choice::{Answer, Choice, Die, Move, Which, Written};
use crate::monitor::{DRAIN_LATE, Monitor, Property, SLACK, Seen, Taken, Violation, broken};
use quillmount_core::call::{Call, Told};
use quillmount_core::hub::{Do, Hub};
use quillmount_core::journal::Book;
use quillmount_core::machine::attempt::{CLOSING, Input, State};
use quillmount_core::machine::notices::{self, Notices};
use quillmount_core::machine::watch::{self, Watch};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router};
use quillmount_core::store::{Fault, Memory};
use quillmount_core::{CallEnd, CallId, Invocation, Notice, Provider, ProviderList};
use quillmount_protocol::invoker;
use spurshore::{ListState, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Unix time at the world's beginning: far from zero, which stands for never in places.
const BEGIN: Micros = 1_000_000_000_000;
/// A connection that is not up by then counts as failed; the settings' `dial_timeout_ms`.
const DIAL: Micros = 1_000_000;
/// A courier starts again so long after its end.
const DOWN: Micros = 600_000;
/// From SIGTERM until calls are to be over, and until the process ends.
const CALLS_END: Micros = 3_200_000;
const STOP: Micros = 3_400_000;
/// Room on disk that no path fills.
const DISK: u64 = 3_000_000;
const PROVIDERS_MAX: usize = 8;
const MESSAGES_MAX: usize = 8;

/// One line of discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Line {
    port: u16,
    dest: u64,
    state: u8,
    /// The version that brought it.
    version: u64,
}

/// A call that is out, with what the world knows of its time.
#[derive(Clone, Debug)]
struct Out {
    call: Call<u32>,
    message: usize,
    provider: u8,
    deadline: Micros,
    dial: Micros,
    interim: bool,
    /// In the socket, and not read yet.
    arrived: Option<Answer>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Life {
    Up,
    Stopping { end: Micros },
    Down { until: Micros },
}

#[derive(Clone)]
pub struct World {
    case: Arc<Case>,
    now: Micros,
    life: Life,
    lives: u8,
    faults: u32,
    hub: Hub<Memory, u32>,
    calls: BTreeMap<CallId, Out>,
    /// The numbers of messages in the journal, by the order of handing in.
    numbers: BTreeMap<u64, usize>,
    connections: u32,
    /// Connections that their provider has closed.
    closed: BTreeSet<u32>,
    /// Connections on which an answer broke off, or had something behind it.
    spoilt: BTreeSet<u32>,
    notices: Notices,
    told: Vec<Notice>,
    last_told: Vec<Notice>,
    losses: u8,
    watch: Watch,
    list: Vec<Line>,
    version: u64,
    full: bool,
    /// The process dies in what is happening, so that nothing of it gets out.
    dying: bool,
    pub monitor: Monitor,
}

impl World {
    /// # Errors
    /// The case's settings can't be decoded, or the module takes none of them.
    pub fn new(case: &Arc<Case>) -> Result<World, String> {
        let port = |n: u8| 1_000 + u16::from(n);
        let dest = |n: u8| u64::from(n % case.destinations);
        let list: Vec<Line> = (0..case.endpoints)
            .map(|n| Line { port: port(n), dest: dest(n), state: 1, version: 1 })
            .collect();
        let known = told_of(&list, 1, |_| true);
        // It owes nothing yet, so that there is nothing to carry out.
        let (hub, _) = restore(case, Memory::default(), known.clone(), BEGIN)?;
        let mut world = World {
            case: case.clone(),
            now: BEGIN,
            life: Life::Up,
            lives: 1,
            faults: 0,
            hub,
            calls: BTreeMap::new(),
            numbers: BTreeMap::new(),
            connections: 0,
            closed: BTreeSet::new(),
            spoilt: BTreeSet::new(),
            notices: Notices::default(),
            told: Vec::new(),
            last_told: Vec::new(),
            losses: 0,
            watch: Watch::new(BEGIN),
            list,
            version: 1,
            full: false,
            dying: false,
            monitor: Monitor::default(),
        };
        world.watch.step(watch::Input::Answered, BEGIN);
        let todo = world.hub.list(known, BEGIN);
        world.act(todo).map_err(|e| e.to_string())?;
        Ok(world)
    }

    pub fn now(&self) -> Micros {
        self.now - BEGIN
    }

    /// The provider of a call that is out.
    pub fn provider_of(&self, w: Which) -> Option<u8> {
        self.find(w).and_then(|id| self.calls.get(&id)).map(|out| out.provider)
    }

    /// Each provider's number, destination and state in the list.
    pub fn providers(&self) -> impl Iterator<Item = (u8, u64, &'static str)> {
        let lines = self.list.iter().enumerate().filter(|(_, line)| line.state != 0);
        lines.map(|(n, line)| (n as u8, line.dest, if line.state == 1 { "ready" } else { "draining" }))
    }

    pub fn time_left_ms(&self) -> u32 {
        self.case.time_left
    }

    /// Writes to the store since the move began.
    pub fn writes(&self) -> u32 {
        self.hub.router.journal().store().writes()
    }

    /// The process may die in what comes next.
    pub fn may_die(&self) -> bool {
        self.is_up() && self.lives < self.case.lives && !self.full && self.has_faults_left()
    }

    /// Numbers of messages and providers that are in use, in order.
    pub fn names(&self) -> (Vec<u64>, Vec<u32>) {
        let (messages, providers) = self.hub.router.names();
        (messages.collect(), providers.collect())
    }

    pub fn is_up(&self) -> bool {
        !matches!(self.life, Life::Down { .. })
    }

    // ---- What may happen next. ----

    /// Every choice of the world, in a fixed order.
    pub fn choices(&self) -> Vec<Choice> {
        let mut all = Vec::new();
        if let Life::Down { until } = self.life {
            let to = until - BEGIN;
            all.push(if self.now >= until { Choice::Start } else { Choice::Pass { to } });
            self.lists(&mut all);
            return all;
        }
        let may = |event| self.may(event);
        // The driver writes at once what a connection that is up may carry: nothing comes in between.
        for out in self.calls.values() {
            if let State::Writing { written: 0 } = out.call.state() {
                let which = which(out);
                all.push(Choice::Write(which, Written::Whole));
                all.extend(may(Event::Part).then_some(Choice::Write(which, Written::Part)));
                all.extend(may(Event::Break).then_some(Choice::Write(which, Written::Broken)));
                return all;
            }
        }
        let mut urgent = false;
        let mut waits = false;
        for out in self.calls.values() {
            let (which, state) = (which(out), out.call.state());
            if !matches!(state, State::Closing { .. }) && self.now >= out.deadline {
                all.push(Choice::Deadline(which));
                urgent = true;
            }
            if out.call.attempt().wake_at().is_some_and(|at| self.now >= at) {
                all.push(Choice::CallTick(which));
                urgent = true;
            }
            match state {
                State::Connecting => {
                    all.push(Choice::Up(which));
                    let late = self.now >= out.dial;
                    all.extend((late || may(Event::Refuse)).then_some(Choice::Refused(which)));
                    urgent |= late;
                    waits |= !may(Event::Never);
                }
                State::Writing { .. } => {
                    all.push(Choice::Write(which, Written::Whole));
                    all.extend(may(Event::Break).then_some(Choice::Write(which, Written::Broken)));
                }
                State::Awaiting | State::Closing { .. } if out.arrived.is_some() => {
                    all.push(Choice::Read(which));
                    urgent = true;
                }
                State::Awaiting => {
                    let answers = [
                        (Answer::Ok, None),
                        (Answer::Error, Some(Event::Error)),
                        (Answer::Full, Some(Event::Full)),
                        (Answer::Wait, Some(Event::Wait)),
                        (Answer::Slots, Some(Event::Slots)),
                        (Answer::Exhausted, Some(Event::Exhausted)),
                        (Answer::Over, Some(Event::Over)),
                        (Answer::CutOk, Some(Event::Spoilt)),
                        (Answer::CutFull, Some(Event::Spoilt)),
                        (Answer::Interim, Some(Event::Interim)),
                        (Answer::Copy, Some(Event::Copy)),
                    ];
                    let open = answers.into_iter().filter(|(answer, event)| {
                        event.is_none_or(may) && !(out.interim && *answer == Answer::Interim)
                    });
                    all.extend(open.map(|(answer, _)| Choice::Answer(which, answer)));
                    all.extend(may(Event::Reset).then_some(Choice::Reset(which)));
                    self.arrivals(which, &mut all);
                    waits |= !may(Event::Timeout);
                }
                State::Reading { .. } => {
                    all.push(Choice::End(which));
                }
                // What the provider says crosses with the word that the call is given up; it says nothing more
                // once it has seen that.
                State::Closing { until, .. }
                    if self.now + CLOSING == until && out.call.connection().is_some() =>
                {
                    self.arrivals(which, &mut all);
                }
                State::New | State::Closing { .. } | State::Over => {}
            }
        }
        if self.hub.router.wake_at().is_some_and(|at| self.now >= at) {
            all.push(Choice::Tick);
            urgent = true;
        }
        self.notice_choices(&mut all, &mut urgent);
        self.hand_ins(&mut all);
        if matches!(self.watch.state(), watch::State::Pausing { until } if self.now >= until) {
            all.push(Choice::WatchTick);
            urgent = true;
        }
        let following = matches!(self.watch.state(), watch::State::Following { .. });
        all.extend((may(Event::Watch) && following).then_some(Choice::WatchBreak));
        self.lists(&mut all);
        if may(Event::Idle) {
            let resting: BTreeSet<u32> = self
                .hub
                .pool
                .resting()
                .filter(|(_, c, _)| !self.closed.contains(c))
                .map(|(n, ..)| n)
                .collect();
            all.extend(resting.into_iter().map(Choice::Idle));
        }
        if self.full {
            all.push(Choice::DiskFree);
        } else if may(Event::Disk) {
            all.push(Choice::DiskFull);
        }
        let again = self.lives < self.case.lives;
        match self.life {
            Life::Stopping { end } => {
                all.extend((self.now >= end || self.hub.is_quiet()).then_some(Choice::Exit));
                urgent |= self.now >= end;
            }
            _ => all.extend((again && may(Event::Term)).then_some(Choice::Term)),
        }
        all.extend((again && may(Event::Kill)).then_some(Choice::Kill));
        let first = self.case.at_once && self.monitor.messages.len() < self.case.messages as usize;
        if !urgent && !waits && !first {
            all.extend(self.next_stop().map(|to| Choice::Pass { to: to - BEGIN }));
        }
        all
    }

    /// A move that changes nothing but a value that no other move open here reads or writes, and that no
    /// property sees: the end of the notices' rest. It commutes with all of them.
    pub fn is_apart(&self, choice: Choice) -> bool {
        choice == Choice::NoticeTick && matches!(self.notices.state(), notices::State::Resting { .. })
    }

    /// Events that are not kind are open as long as there are any left.
    fn may(&self, event: Event) -> bool {
        self.case.may(event) && self.has_faults_left()
    }

    fn has_faults_left(&self) -> bool {
        self.case.faults.is_none_or(|most| self.faults < most)
    }

    /// Answers that may stand in the socket unread.
    fn arrivals(&self, which: Which, all: &mut Vec<Choice>) {
        if self.may(Event::Race) {
            all.push(Choice::Arrives(which, Answer::Ok));
            all.extend(self.may(Event::Wait).then_some(Choice::Arrives(which, Answer::Wait)));
        }
    }

    fn notice_choices(&self, all: &mut Vec<Choice>, urgent: &mut bool) {
        match self.notices.state() {
            notices::State::Quiet => {
                if !self.hub.router.notices(1).is_empty() {
                    all.push(Choice::SendNotices);
                    *urgent = true;
                }
            }
            notices::State::Sent { until, .. } => {
                all.push(Choice::Confirmed);
                // The platform takes notices at once; twice in a row it fails nobody.
                let may_lose = self.may(Event::Lose) && self.losses == 0;
                if may_lose {
                    all.extend([Choice::Lost { got: true }, Choice::Lost { got: false }]);
                    all.extend((self.now >= until).then_some(Choice::NoticeTick));
                }
                *urgent |= !may_lose || self.now >= until;
            }
            notices::State::Resting { until } => {
                if self.now >= until {
                    all.push(Choice::NoticeTick);
                    *urgent = true;
                }
            }
        }
        if self.may(Event::Twice) && !self.last_told.is_empty() {
            all.push(Choice::Twice);
        }
    }

    fn hand_ins(&self, all: &mut Vec<Choice>) {
        let handed = self.monitor.messages.len();
        let more = handed < self.case.messages as usize;
        if more {
            // Destinations that differ in name only are one: the next new one, or one that was used.
            let used = self.monitor.messages.iter().map(|m| m.dest + 1).max().unwrap_or(0);
            for dest in 0..u64::from(self.case.destinations).min(used + 1) {
                all.extend((0..CLASSES.len() as u8).map(|class| Choice::HandIn { class, dest }));
            }
        }
        for message in 0..handed as u64 {
            // Later its time is up, and nobody asks again.
            let open = self.now < self.monitor.messages[message as usize].deadline;
            all.extend((open && self.may(Event::Again)).then_some(Choice::Again { message }));
            let keyed = self.monitor.messages[message as usize].class == 1;
            all.extend((more && keyed && self.may(Event::Key)).then_some(Choice::SameKey { message }));
        }
    }

    fn lists(&self, all: &mut Vec<Choice>) {
        for (n, line) in self.list.iter().enumerate() {
            let n8 = n as u8;
            all.extend((line.state == 1 && self.may(Event::Drain)).then_some(Choice::Drain(n8)));
            all.extend((line.state != 0 && self.may(Event::Gone)).then_some(Choice::Gone(n8)));
            all.extend((line.state != 1 && self.may(Event::Ready)).then_some(Choice::Ready(n8)));
            let free =
                !self.list.iter().enumerate().any(|(m, l)| m != n && l.port == line.port && l.state != 0);
            let room = self.list.len() < PROVIDERS_MAX;
            let replace = line.state == 0 && free && room && self.may(Event::Replace);
            all.extend(replace.then_some(Choice::Replace(n8)));
        }
        let follows = self.is_up() && matches!(self.watch.state(), watch::State::Following { .. });
        all.extend((follows && self.may(Event::Whole)).then_some(Choice::Whole));
    }

    /// The next moment at which something may turn out another way.
    fn next_stop(&self) -> Option<Micros> {
        let mut hard: Vec<Micros> = Vec::new();
        hard.extend(self.hub.router.wake_at());
        hard.extend(self.notices.wake_at());
        if let watch::State::Pausing { until } = self.watch.state() {
            hard.push(until);
        }
        if let Life::Stopping { end } = self.life {
            hard.push(end);
        }
        for out in self.calls.values() {
            hard.extend(out.call.attempt().wake_at());
            if !matches!(out.call.state(), State::Closing { .. }) {
                hard.push(out.deadline);
            }
            if out.call.state() == State::Connecting {
                hard.push(out.dial);
                hard.extend(self.monitor.drains.get(&out.provider).map(|told| told + DRAIN_LATE));
            }
        }
        let pending = self.monitor.messages.iter().filter(|m| m.taken != Taken::No && !m.is_final());
        for m in pending {
            hard.extend([m.deadline, self.monitor.overdue(m) + 1]);
            if m.class == 1 {
                hard.extend(m.first_maybe().map(|s| s.first + self.case.span()));
            }
        }
        let owed = self.hub.router.load().0 > 0;
        if owed || self.monitor.messages.len() < self.case.messages as usize {
            hard.extend(self.hub.pool.gates().into_iter().map(|(.., hold)| hold));
            hard.extend(self.monitor.drains.values().map(|told| told + DRAIN_LATE));
        }
        let edges = |at: Micros| [at - 1, at, at + 1];
        let stops = hard.into_iter().filter(|at| (BEGIN..BEGIN + (1 << 40)).contains(at));
        let stops = stops.flat_map(|at| if self.case.edges { edges(at) } else { [at; 3] });
        stops.filter(|at| *at > self.now).min()
    }

    // ---- What happens. ----

    /// Carries out one move of the world, and judges what comes of it.
    ///
    /// # Errors
    /// A property that does not hold any more.
    pub fn take(&mut self, m: Move) -> Result<(), Violation> {
        self.hub.router.reseed(self.case.seed);
        let fault = match m.die {
            Some(Die { after, torn }) => Fault::Die { after, bytes: if torn { 5 } else { 0 } },
            None if self.full => Fault::Full { after: 0 },
            None => Fault::None,
        };
        self.hub.router.journal_mut().store_mut().fail(fault);
        self.dying = m.die.is_some();
        if !is_kind(m.choice) || m.die.is_some() {
            self.faults += 1;
        }
        self.happens(m.choice)?;
        if self.dying {
            self.die();
        }
        self.sweep_names();
        self.monitor.check(self.now)?;
        self.holds()
    }

    fn happens(&mut self, choice: Choice) -> Result<(), Violation> {
        match choice {
            Choice::HandIn { class, dest } => {
                let key = self.monitor.messages.len() as u64;
                self.hand_in(class, dest, key)
            }
            Choice::SameKey { message } => {
                let Seen { class, dest, key, .. } = self.monitor.messages[message as usize];
                self.hand_in(class, dest, key)
            }
            Choice::Again { message } => self.again(message as usize),
            Choice::Up(w) => {
                let connection = self.connections;
                self.connections += 1;
                self.step(w, |call, pool, now| call.connected(pool, connection, now))
            }
            Choice::Refused(w) => self.input(w, Input::Refused),
            Choice::Write(w, how) => self.write(w, how),
            Choice::Answer(w, answer) => self.answer(w, answer),
            Choice::Arrives(w, answer) => {
                self.arrives(w, answer);
                Ok(())
            }
            Choice::Read(w) => self.read(w),
            Choice::End(w) => self.input(w, Input::End),
            Choice::Reset(w) => self.input(w, Input::Reset),
            Choice::Deadline(w) => self.input(w, Input::Deadline),
            Choice::CallTick(w) => self.input(w, Input::Tick),
            Choice::Tick => {
                let todo = self.hub.tick(self.now);
                self.act(todo)
            }
            Choice::Drain(n) => self.change(n, 2),
            Choice::Gone(n) => self.change(n, 0),
            Choice::Ready(n) => self.change(n, 1),
            Choice::Replace(n) => {
                let Line { port, dest, .. } = self.list[n as usize];
                self.list.push(Line { port, dest, state: 1, version: 0 });
                self.change(self.list.len() as u8 - 1, 1)
            }
            Choice::Whole => self.tell(true),
            Choice::WatchBreak => {
                self.watch.step(watch::Input::Broken { moved: false }, self.now);
                Ok(())
            }
            Choice::WatchTick => {
                self.watch.step(watch::Input::Tick { moved: false }, self.now);
                self.watch.step(watch::Input::Answered, self.now);
                self.tell(false)
            }
            Choice::SendNotices => self.send_notices(),
            Choice::Confirmed => {
                self.platform_gets()?;
                self.losses = 0;
                if self.notices.step(notices::Input::Confirmed, self.now) == notices::Output::Told {
                    self.last_told = std::mem::take(&mut self.told);
                    let todo = self.hub.told(&self.last_told, self.now);
                    self.act(todo)?;
                }
                Ok(())
            }
            Choice::Lost { got } => {
                if got {
                    self.platform_gets()?;
                }
                self.losses += 1;
                let word = self.notices.step(notices::Input::Lost, self.now);
                let told = std::mem::take(&mut self.told);
                if word == notices::Output::LetGo {
                    let todo = self.hub.told(&told, self.now);
                    self.act(todo)?;
                }
                Ok(())
            }
            Choice::NoticeTick => {
                if matches!(self.notices.state(), notices::State::Sent { .. }) {
                    (self.losses, self.faults) = (self.losses + 1, self.faults + 1);
                }
                self.notices.step(notices::Input::Tick, self.now);
                Ok(())
            }
            Choice::Twice => {
                let twice = std::mem::take(&mut self.last_told);
                let todo = self.hub.told(&twice, self.now);
                self.act(todo)
            }
            Choice::Idle(n) => {
                let first = self.hub.pool.resting().find(|(p, c, _)| *p == n && !self.closed.contains(c));
                self.closed.extend(first.map(|(_, c, _)| *c));
                Ok(())
            }
            Choice::DiskFull => {
                self.full = true;
                Ok(())
            }
            Choice::DiskFree => {
                self.full = false;
                Ok(())
            }
            Choice::Term => {
                self.life = Life::Stopping { end: self.now + STOP };
                // Until it is ready again nothing is overdue.
                self.monitor.excused = Micros::MAX / 2;
                let todo = self.hub.stop(self.now, self.now + CALLS_END);
                self.act(todo)
            }
            Choice::Exit | Choice::Kill => {
                self.die();
                Ok(())
            }
            Choice::Start => self.start(),
            Choice::Pass { to } => {
                self.now = BEGIN + to;
                Ok(())
            }
        }
    }

    fn act(&mut self, todo: Vec<Do<u32>>) -> Result<(), Violation> {
        if self.dying {
            return Ok(());
        }
        for one in todo {
            match one {
                Do::Begin(order) => {
                    let message = self.numbers.get(&order.call.msg).copied();
                    let provider = self.hub.router.provider_name(order.provider);
                    let provider = provider.strip_prefix('p').and_then(|n| n.parse().ok());
                    let (Some(message), Some(provider)) = (message, provider) else {
                        return broken(Property::Unchanged, format!("a call for nobody: {:?}", order.call));
                    };
                    let (id, deadline) = (order.call, self.now + order.timeout);
                    let call = Call::new(order, invoker::decode, invoker::ANSWER_MAX);
                    let dial = self.now + DIAL;
                    self.calls.insert(
                        id,
                        Out { call, message, provider, deadline, dial, interim: false, arrived: None },
                    );
                    let closed = self.closed.clone();
                    let quiet = |c: &u32| !closed.contains(c);
                    self.step_id(id, |call, pool, now| call.start(pool, now, quiet))?;
                }
                Do::Tell(id, input) => {
                    if self.calls.contains_key(&id) {
                        self.step_id(id, |call, pool, now| call.step(pool, input, now))?;
                    }
                }
                // No stream is handed in here; `streams.rs` is their world.
                Do::Close(_) | Do::Notify | Do::Note(_) | Do::Answer(..) => {}
            }
        }
        Ok(())
    }

    fn input(&mut self, w: Which, input: Input) -> Result<(), Violation> {
        self.step(w, |call, pool, now| call.step(pool, input, now))
    }

    fn step(
        &mut self,
        w: Which,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>, Micros) -> Told<u32>,
    ) -> Result<(), Violation> {
        match self.find(w) {
            Some(id) => self.step_id(id, step),
            None => broken(Property::Unchanged, format!("{w} is not out")),
        }
    }

    fn find(&self, w: Which) -> Option<CallId> {
        let is = |(id, out): &(&CallId, &Out)| out.message as u64 == w.message && id.attempt == w.attempt;
        self.calls.iter().find(is).map(|(id, _)| *id)
    }

    fn step_id(
        &mut self,
        id: CallId,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>, Micros) -> Told<u32>,
    ) -> Result<(), Violation> {
        let Some(out) = self.calls.get_mut(&id) else { return Ok(()) };
        let told = step(&mut out.call, &mut self.hub.pool, self.now);
        let message = out.message;
        let gone = out.call.connection().is_none() && out.call.state() != State::Connecting;
        if gone || told.finish {
            // Its connection is closed, or rests, or sends nothing more: for its provider the call is over.
            self.monitor.over(message, id.attempt, false);
        }
        if let Some(end) = told.end {
            self.calls.remove(&id);
            let todo = self.hub.call_ended(id, end, self.now);
            // A delivery about the end of its message's time may count or not: its end is told too.
            let in_time = self.now.saturating_add(SLACK) < self.monitor.messages[message].deadline;
            if (end == CallEnd::Over || end == CallEnd::Delivered && in_time) && !self.dying {
                self.monitor.messages[message].settled = true;
            }
            self.act(todo)?;
        }
        Ok(())
    }

    fn write(&mut self, w: Which, how: Written) -> Result<(), Violation> {
        let Some(id) = self.find(w) else { return Ok(()) };
        let out = &self.calls[&id];
        let (message, provider) = (out.message, out.provider);
        let request = invoker::encode(&out.call.order);
        let State::Writing { written } = out.call.state() else { return Ok(()) };
        if how == Written::Broken {
            return self.input(w, Input::WriteFailed);
        }
        if written == 0 && out.call.connection().is_some_and(|c| self.spoilt.contains(c)) {
            return broken(Property::Unchanged, format!("{w} goes out behind an answer that broke off"));
        }
        if written == 0 {
            self.is_unchanged(id, message, provider, &request)?;
            self.monitor.first_byte(&self.case, self.now, message, id.attempt, provider)?;
        }
        let left = request.len() - written;
        let bytes = if how == Written::Part { left / 2 } else { left };
        if bytes == left {
            self.monitor.last_byte(&self.case, self.now, message, id.attempt)?;
        }
        self.input(w, Input::Wrote { bytes, left: left - bytes })
    }

    /// The request says what was handed in, and goes where it may.
    fn is_unchanged(
        &self,
        id: CallId,
        message: usize,
        provider: u8,
        request: &[u8],
    ) -> Result<(), Violation> {
        let text = String::from_utf8_lossy(request);
        let m = &self.monitor.messages[message];
        let line = &self.list[provider as usize];
        let key = (m.class == 1).then(|| format!("\r\nIdempotency-Key: k{}\r\n", m.key));
        let wanted = [format!("\r\nX-Correlation-Id: m{message}\r\n"), format!("\r\n\r\nbody of m{message}")];
        let same = text.starts_with("POST /events HTTP/1.1\r\n")
            && wanted.iter().all(|part| text.contains(part.as_str()))
            && key.as_ref().map_or(!text.contains("Idempotency-Key"), |key| text.contains(key.as_str()));
        let there = self.calls[&id].call.order.addr.port() == line.port && line.dest == m.dest;
        // Once its end is chosen nothing of it may go out any more.
        let name = format!("m{message}");
        let owed = self.hub.router.owed().find(|(id, ..)| *id == name);
        match (same, there, owed) {
            (false, ..) => broken(Property::Unchanged, format!("m{message} goes out as {text:?}")),
            (_, false, _) => broken(Property::Unchanged, format!("m{message} goes to provider {provider}")),
            (.., None) => broken(Property::FinalAnswer, format!("m{message} is sent after its end")),
            (.., Some((.., Some(end)))) => {
                broken(Property::FinalAnswer, format!("m{message} is sent after it has ended as {end:?}"))
            }
            _ => Ok(()),
        }
    }

    fn answer(&mut self, w: Which, answer: Answer) -> Result<(), Violation> {
        self.arrives(w, answer);
        self.read(w)
    }

    /// A provider has written its answer.
    fn arrives(&mut self, w: Which, answer: Answer) {
        let Some(out) = self.find(w).and_then(|id| self.calls.get_mut(&id)) else { return };
        let message = out.message;
        out.arrived = Some(answer);
        if answer == Answer::Interim {
            out.interim = true;
        } else {
            self.monitor.over(message, w.attempt, answer.never_ran());
        }
        let m = &mut self.monitor.messages[message];
        // Later it counts for nobody but the provider.
        m.delivered |= answer.delivers() && self.now < m.deadline;
        m.over |= answer == Answer::Over;
        if answer == Answer::Wait {
            let until = self.now + Answer::WAIT_MS * 1_000;
            let wait = self.monitor.waits.entry(m.dest).or_insert((self.now, until));
            // A wait that goes on is one that began with the first.
            *wait = if self.now < wait.1 { (wait.0, wait.1.max(until)) } else { (self.now, until) };
        }
    }

    fn read(&mut self, w: Which) -> Result<(), Violation> {
        let Some(out) = self.find(w).and_then(|id| self.calls.get_mut(&id)) else { return Ok(()) };
        let Some(answer) = out.arrived.take() else { return Ok(()) };
        if let Some((connection, bytes)) = out.call.parts() {
            if matches!(answer, Answer::CutOk | Answer::CutFull | Answer::Copy) {
                self.spoilt.insert(*connection);
            }
            bytes.extend_from_slice(answer.bytes());
        }
        self.input(w, Input::Read)
    }

    fn hand_in(&mut self, class: u8, dest: u64, key: u64) -> Result<(), Violation> {
        let message = self.monitor.messages.len();
        let deadline = self.now + self.case.time_left();
        let taken = Taken::No;
        let fresh = Seen {
            class,
            dest,
            key,
            deadline,
            taken,
            sent: Vec::new(),
            notice: None,
            delivered: false,
            over: false,
            settled: false,
        };
        self.monitor.messages.push(fresh);
        let next = self.hub.router.next_number();
        self.numbers.insert(next, message);
        let (intake, todo) = self.hub.take_on(self.invocation(message), self.now);
        let in_store = self.in_store(message);
        let m = &mut self.monitor.messages[message];
        m.taken = match intake {
            // Whatever the answer would have been, nobody heard it.
            _ if self.dying && in_store => Taken::Unheard,
            Intake::TakenOn if !self.dying => Taken::Heard,
            _ => Taken::No,
        };
        if m.taken == Taken::Heard && !in_store {
            return broken(Property::Kept, format!("m{message} is answered 202 and is not in the store"));
        }
        self.act(todo)
    }

    fn invocation(&self, message: usize) -> Invocation {
        let m = &self.monitor.messages[message];
        Invocation {
            id: format!("m{message}"),
            class: CLASSES[m.class as usize].into(),
            key: (m.class == 1).then(|| format!("k{}", m.key)),
            dest: m.dest,
            tenant: None,
            time_left: m.deadline.saturating_sub(self.now),
            body: format!("body of m{message}").into_bytes().into(),
        }
    }

    fn in_store(&self, message: usize) -> bool {
        let name = format!("m{message}");
        self.book().owed.values().any(|entry| entry.taken.id == name)
    }

    fn book(&self) -> Book {
        Book::read(self.hub.router.journal().store().bytes()).0
    }

    /// The same id once more: it must not be taken on twice.
    fn again(&mut self, message: usize) -> Result<(), Violation> {
        let next = self.hub.router.next_number();
        let (intake, todo) = self.hub.take_on(self.invocation(message), self.now);
        let m = &self.monitor.messages[message];
        let known = m.taken != Taken::No && self.now < m.deadline;
        if intake == Intake::TakenOn {
            if known {
                return broken(Property::FinalAnswer, format!("m{message} is taken on twice"));
            }
            self.numbers.insert(next, message);
            let (deadline, in_store) = (self.now + self.case.time_left(), self.in_store(message));
            let m = &mut self.monitor.messages[message];
            m.taken =
                if self.dying { if in_store { Taken::Unheard } else { Taken::No } } else { Taken::Heard };
            m.deadline = deadline.min(m.deadline.max(self.now));
        }
        if intake == Intake::Delivered && !m_delivered(&self.monitor, message) {
            return broken(Property::FinalAnswer, format!("m{message} is told to be delivered, and is not"));
        }
        self.act(todo)
    }

    fn change(&mut self, n: u8, state: u8) -> Result<(), Violation> {
        self.version += 1;
        let line = &mut self.list[n as usize];
        (line.state, line.version) = (state, self.version);
        let follows = matches!(self.watch.state(), watch::State::Following { .. });
        if self.is_up() && follows { self.tell(false) } else { Ok(()) }
    }

    /// Discovery tells what has changed since the version that the courier has, or all.
    fn tell(&mut self, full: bool) -> Result<(), Violation> {
        let heard = self.hub.router.version();
        let told = |line: &Line| if full { line.state != 0 } else { line.version > heard };
        let list = ProviderList { full, ..told_of(&self.list, self.version, told) };
        for (n, line) in self.list.iter().enumerate() {
            if line.state == 1 {
                self.monitor.drains.remove(&(n as u8));
            } else {
                self.monitor.drains.entry(n as u8).or_insert(self.now);
            }
        }
        let todo = self.hub.list(list, self.now);
        self.act(todo)
    }

    fn send_notices(&mut self) -> Result<(), Violation> {
        let notices = self.hub.router.notices(self.notices.most());
        let wanted = notices::Input::Wanted(notices.len());
        if let notices::Output::Send(_) = self.notices.step(wanted, self.now) {
            for notice in &notices {
                let settled = message_of(&notice.id)
                    .and_then(|n| self.monitor.messages.get(n))
                    .is_some_and(|m| m.settled);
                if settled {
                    return broken(
                        Property::FinalAnswer,
                        format!("{} was over, and is ended again", notice.id),
                    );
                }
            }
            self.told = notices;
        }
        Ok(())
    }

    fn platform_gets(&mut self) -> Result<(), Violation> {
        for Notice { id, ending, .. } in &self.told {
            match message_of(id).filter(|n| *n < self.monitor.messages.len()) {
                Some(n) => self.monitor.notice(n, *ending)?,
                None => return broken(Property::FinalAnswer, format!("a notice for {id:?}")),
            }
        }
        Ok(())
    }

    fn die(&mut self) {
        self.dying = false;
        self.monitor.died();
        self.monitor.excused = Micros::MAX / 2;
        self.calls.clear();
        self.closed.clear();
        self.told.clear();
        self.last_told.clear();
        self.losses = 0;
        self.notices = Notices::default();
        let until = self.now + DOWN;
        // A killed process may have left a planned stop unfinished; it starts again all the same.
        self.life = Life::Down { until };
        let bytes = self.hub.router.journal().store().bytes().to_vec();
        *self.hub.router.journal_mut().store_mut() = Memory::of(bytes);
        self.lives += 1;
        // What the disk refused to note is not known to the next life.
        let book = self.book();
        for (n, m) in self.monitor.messages.iter_mut().enumerate() {
            let name = format!("m{n}");
            m.settled &= !book.owed.values().any(|entry| entry.taken.id == name);
        }
    }

    fn start(&mut self) -> Result<(), Violation> {
        let store = self.hub.router.journal().store().clone();
        // What the last life was told of the list is what the configuration knows.
        let heard = self.hub.router.version();
        let known = told_of(&self.list, heard, |line| line.version <= heard);
        let before = self.book();
        let (hub, steps) = match restore(&self.case, store, known, self.now) {
            Ok(restored) => restored,
            Err(e) => return broken(Property::Kept, format!("the store can't be read back: {e}")),
        };
        self.hub = hub;
        let after = self.book();
        // What follows from it is written at once, but nothing of it is gone.
        let same = |(n, entry): (&u64, &quillmount_core::journal::Entry)| {
            after
                .owed
                .get(n)
                .is_some_and(|now| now.taken == entry.taken && now.calls.starts_with(&entry.calls))
        };
        if !before.owed.iter().all(same) {
            return broken(Property::Kept, "the store tells something else after the start".into());
        }
        self.numbers = before.owed.iter().filter_map(|(n, e)| Some((*n, message_of(&e.taken.id)?))).collect();
        self.life = Life::Up;
        self.monitor.excused = 0;
        self.monitor.ready(self.now);
        self.watch = Watch::new(self.now);
        self.watch.step(watch::Input::Answered, self.now);
        let todo = self.hub.carry_out(steps, self.now);
        self.act(todo)?;
        self.tell(false)
    }

    fn sweep_names(&mut self) {
        let resting: BTreeSet<u32> = self.hub.pool.resting().map(|(_, c, _)| *c).collect();
        self.closed.retain(|c| resting.contains(c));
        self.spoilt
            .retain(|c| resting.contains(c) || self.calls.values().any(|o| o.call.connection() == Some(c)));
    }

    /// What must hold in every state, beyond what the outside sees.
    fn holds(&self) -> Result<(), Violation> {
        if !self.is_up() {
            return Ok(());
        }
        let held = self.hub.router.owed().filter(|(.., end)| end.is_none()).count();
        if held > self.case.open_cap as usize {
            return broken(Property::Unchanged, format!("{held} messages are held"));
        }
        let (calls, _) = self.hub.pool.load();
        let counted = self
            .calls
            .values()
            .filter(|o| o.call.connection().is_some() || o.call.state() == State::Connecting)
            .count();
        if calls != counted {
            return broken(Property::Unchanged, format!("the pool counts {calls} calls of {counted}"));
        }
        Ok(())
    }

    /// Where nothing can happen any more: everything is over and every table is empty.
    ///
    /// # Errors
    /// Something is left.
    pub fn at_rest(&self) -> Result<(), Violation> {
        let (owed, out) = self.hub.router.load();
        let open = self.monitor.messages.iter().position(|m| m.taken == Taken::Heard && !m.is_final());
        if let Some(n) = open {
            return broken(Property::Liveness, format!("m{n} has no end, and nothing can happen any more"));
        }
        let (calls, _) = self.hub.pool.load();
        let left = [("owed", owed), ("calls", out), ("attempts", self.calls.len()), ("pool", calls)];
        match left.into_iter().find(|(_, n)| *n > 0) {
            Some((what, n)) => broken(Property::Liveness, format!("{n} left in the table of {what} at rest")),
            None => Ok(()),
        }
    }

    /// All that matters for what comes next.
    pub fn see(&self, eye: &mut crate::finger::Finger) {
        use spurshore::Eye;
        eye.begin(self.now);
        self.hub.router.see(eye);
        eye.hash(&(
            self.life_left(),
            self.lives,
            self.case.faults.map(|_| self.faults),
            self.full,
            self.losses,
        ));
        let heard = self.hub.router.version();
        for line in &self.list {
            eye.hash(&(line.port, line.dest, line.state, line.version > heard));
        }
        eye.hash(&(self.notices.state().kind(), self.notices.most(), self.told.len()));
        eye.time(self.notices.wake_at().unwrap_or(0));
        for n in &self.told {
            eye.hash(&(&n.id, n.ending));
        }
        for n in &self.last_told {
            eye.hash(&(&n.id, n.ending));
        }
        if let watch::State::Pausing { until } = self.watch.state() {
            eye.time(until);
        }
        for (id, out) in &self.calls {
            eye.hash(&(id, out.message, out.provider, out.interim, out.arrived, out.call.attempt().answer()));
            match out.call.state() {
                State::Reading { by } => eye.time(by),
                State::Closing { end, until } => {
                    eye.hash(&end);
                    eye.time(until);
                }
                State::Writing { written } => eye.hash(&(1u8, written)),
                State::Connecting => {
                    eye.word(2);
                    eye.time(out.dial);
                }
                State::New => eye.word(3),
                State::Awaiting => eye.word(4),
                State::Over => eye.word(5),
            }
            eye.time(out.deadline);
        }
        for (n, open, hold) in self.hub.pool.gates() {
            eye.hash(&(n, open));
            eye.time(hold.max(self.now));
        }
        for (n, c, since) in self.hub.pool.resting() {
            eye.hash(&(n, self.closed.contains(c), self.spoilt.contains(c)));
            eye.time(since);
        }
        if self.case.lives > 1 {
            for (n, entry) in &self.book().owed {
                eye.hash(&(n, &entry.taken.id, entry.calls.len()));
                for call in &entry.calls {
                    eye.time(call.sent);
                    eye.hash(&call.never_ran);
                }
                eye.hash(&entry.end.map(|e| format!("{e:?}")));
            }
        }
        for m in &self.monitor.messages {
            eye.hash(&(m.class, m.dest, m.key, m.taken, m.notice, m.delivered, m.over, m.settled));
            eye.time(m.deadline);
            for s in &m.sent {
                eye.hash(&(s.life, s.attempt, s.never, s.open, s.last.is_some()));
                eye.time(s.first);
            }
        }
        for (n, told) in &self.monitor.drains {
            eye.hash(n);
            // Past the limit a drain is one that holds.
            eye.time((*told).max(self.now.saturating_sub(DRAIN_LATE + 1)));
        }
        for (dest, (from, until)) in self.monitor.waits.iter().filter(|(_, (_, until))| *until > self.now) {
            eye.hash(dest);
            eye.time(*from);
            eye.time(*until);
        }
        eye.time(if self.monitor.excused > self.now { self.monitor.excused } else { 0 });
    }

    fn life_left(&self) -> (u8, Micros) {
        match self.life {
            Life::Up => (0, 0),
            Life::Stopping { end } => (1, end - self.now),
            Life::Down { until } => (2, until - self.now),
        }
    }

    /// The state in a few lines, for a story.
    pub fn describe(&self) -> Vec<String> {
        let mut lines = Vec::new();
        let at = |t: Micros| format!("{:.6} s", (t.saturating_sub(BEGIN)) as f64 / 1e6);
        for (n, m) in self.monitor.messages.iter().enumerate() {
            let sent: Vec<String> = m
                .sent
                .iter()
                .map(|s| {
                    let last = s.last.map_or("not whole".into(), |t| format!("whole at {}", at(t)));
                    let fate = if s.open {
                        "open"
                    } else if s.never {
                        "never ran"
                    } else {
                        "over"
                    };
                    format!("call {} from {}, {last}, {fate}", s.attempt, at(s.first))
                })
                .collect();
            let end = match (m.delivered, m.over, m.notice) {
                (true, ..) => "delivered".to_string(),
                (_, true, _) => "over".to_string(),
                (.., Some(end)) => format!("{end:?}"),
                _ => "open".to_string(),
            };
            lines.push(format!(
                "m{n}: {}, {:?}, until {}; {}; {end}",
                CLASSES[m.class as usize],
                m.taken,
                at(m.deadline),
                if sent.is_empty() { "not sent".into() } else { sent.join("; ") }
            ));
        }
        let out = self.calls.values();
        lines.extend(out.map(|o| format!("{}: {:?}, to provider {}", which(o), o.call.state(), o.provider)));
        lines
    }
}

fn m_delivered(monitor: &Monitor, message: usize) -> bool {
    let m = &monitor.messages[message];
    m.delivered || m.over
}

fn message_of(id: &str) -> Option<usize> {
    id.strip_prefix('m').and_then(|n| n.parse().ok()).filter(|n| *n < MESSAGES_MAX)
}

fn which(out: &Out) -> Which {
    Which { message: out.message as u64, attempt: out.call.order.call.attempt }
}

/// What a kind world does.
pub fn is_kind(choice: Choice) -> bool {
    matches!(
        choice,
        Choice::HandIn { .. }
            | Choice::Up(_)
            | Choice::Write(_, Written::Whole)
            | Choice::Answer(_, Answer::Ok)
            | Choice::Read(_)
            | Choice::End(_)
            | Choice::Deadline(_)
            | Choice::CallTick(_)
            | Choice::Tick
            | Choice::WatchTick
            | Choice::SendNotices
            | Choice::Confirmed
            | Choice::NoticeTick
            | Choice::DiskFree
            | Choice::Exit
            | Choice::Start
            | Choice::Pass { .. }
    )
}

/// The list at a version, whole but for the lines that are left out.
fn told_of(list: &[Line], version: u64, told: impl Fn(&Line) -> bool) -> ProviderList {
    let lines = list.iter().enumerate().filter(|(_, line)| told(line));
    let providers = lines.map(|(n, line)| Provider {
        id: format!("p{n}"),
        addr: Some(SocketAddr::from(([127, 0, 0, 1], line.port))),
        dest: line.dest,
        kind: "bank".into(),
        zone: "a".into(),
        weight: 50.0,
        state: match line.state {
            0 => ListState::Gone,
            1 => ListState::Ready,
            _ => ListState::Draining,
        },
    });
    ProviderList { version, full: true, providers: providers.collect() }
}

type Restored = (Hub<Memory, u32>, Vec<quillmount_core::router::Step>);

fn restore(case: &Case, store: Memory, known: ProviderList, now: Micros) -> Result<Restored, String> {
    let env = case.env().map_err(|e| e.to_string())?;
    let (router, steps) =
        Router::open(&env, case.seed, known, store, DISK, now).map_err(|e| e.to_string())?;
    Ok((Hub::new(router, Pool::new(15_000_000, 100)), steps))
}
