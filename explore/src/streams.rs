//! Streamed bodies, in a world of their own: every order of what a consumer, a provider, the platform and a kill do to a
//! body of a few units in a window for fewer. Hub, module, journal, attempt and flow are the courier's; the driver's
//! few lines (`courier/src/transport/streams.rs`) are played here. What is judged is judged by the bytes that a provider
//! has had and by the words that consumer and platform have heard.

use crate::case::{CLASSES, Case};
use crate::finger::Finger;
use crate::monitor::{Property, Violation, broken};
use quillmount_core::call::{Call, Told};
use quillmount_core::flow::{Cut, Flow, Pace, Source};
use quillmount_core::hub::{Do, Hub};
use quillmount_core::machine::attempt::{Input, State};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router, StreamEnd, StreamLimits};
use quillmount_core::store::Memory;
use quillmount_core::{CallEnd, CallId, Ending, Invocation, Notice, Provider, ProviderList};
use quillmount_protocol::invoker;
use spurshore::{ListState, Micros, MsgId};
use std::collections::{BTreeMap, HashSet, VecDeque};

const BEGIN: Micros = 1_000_000_000_000;
/// The body, and the window for it, in units of a byte.
const LENGTH: u64 = 3;
const WINDOW: u64 = 2;
const TIME_LEFT: Micros = 4_000_000;
/// What a consumer's 400 ms leave for a call to begin.
const ADMIT: Micros = 300_000;

/// What is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// 0: a debit; 1: a notice, which is dropped by its key when repeated.
    pub class: u8,
    pub chunked: bool,
    pub attempts: u32,
    /// The process may be killed once.
    pub kills: bool,
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    HandIn,
    /// A unit of the body comes; its end; it never will.
    Arrives,
    IsWhole,
    Digest,
    Gone,
    Up,
    Refused,
    /// The driver writes a unit; the body's end; it can't.
    Writes,
    Finishes,
    WriteFails,
    /// What the provider says, at whatever time.
    Ok,
    Error,
    Full,
    Wait,
    Breaks,
    /// The provider stalls, or does not answer.
    TimeUp,
    /// What a call waits for has come.
    CallTick,
    /// No call has begun in time.
    Unbegun,
    /// The module is woken, at its time.
    Wake,
    /// The consumer hears its answer, or has gone.
    Hears,
    Deaf,
    Confirmed,
    Kill,
}

/// What a provider has had of one attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Had {
    units: u64,
    whole: bool,
    /// A refusal, or a connection that never came up, proves that it never ran.
    never: bool,
}

#[derive(Clone, Debug)]
struct World {
    size: Size,
    now: Micros,
    hub: Hub<Memory, u32>,
    msg: Option<MsgId>,
    flow: Option<Flow>,
    begun: bool,
    deadline: Micros,
    out: BTreeMap<CallId, Call<u32>>,
    /// When each call that is wholly written is over.
    by: BTreeMap<CallId, Micros>,
    had: BTreeMap<u32, Had>,
    /// The consumer sent all of it, and it was what its digest said.
    sound: bool,
    connected: bool,
    /// The answer that waits to be written, and the ends that were heard.
    answer: Option<StreamEnd>,
    ends: Vec<StreamEnd>,
    killed: bool,
    connection: u32,
}

/// What came of a search.
#[derive(Clone, Debug)]
pub struct Found {
    pub states: usize,
    pub depth: usize,
    pub broken: Option<(Vec<Event>, Violation)>,
}

/// Explores every order of events, breadth first.
///
/// # Errors
/// The settings make no courier.
pub fn explore(size: Size) -> Result<Found, String> {
    let root = World::new(size)?;
    let mut known = HashSet::from([root.key()]);
    let mut queue = VecDeque::from([(root, Vec::<Event>::new())]);
    let mut depth = 0;
    while let Some((world, path)) = queue.pop_front() {
        depth = depth.max(path.len());
        let events = world.events();
        // A kill is no way to end well.
        if events.iter().all(|event| *event == Event::Kill)
            && let Err(violation) = world.at_rest()
        {
            return Ok(Found { states: known.len(), depth, broken: Some((path, violation)) });
        }
        for event in events {
            let mut next = world.clone();
            let mut path = path.clone();
            path.push(event);
            let judged = next.happens(event).and_then(|()| next.holds());
            if let Err(violation) = judged {
                return Ok(Found { states: known.len(), depth, broken: Some((path, violation)) });
            }
            if known.insert(next.key()) {
                queue.push_back((next, path));
            }
        }
    }
    Ok(Found { states: known.len(), depth, broken: None })
}

/// A courier, and what it is to do first.
type Opened = (Hub<Memory, u32>, Vec<Do<u32>>);

fn open(size: Size, store: Memory, now: Micros) -> Result<Opened, String> {
    let case = Case { attempts: size.attempts, time_left: (TIME_LEFT / 1_000) as u32, ..Case::default() };
    let env = case.env().map_err(|e| e.to_string())?;
    let provider = Provider {
        id: "p0".into(),
        addr: Some(([127, 0, 0, 1], 1).into()),
        dest: 0,
        kind: "bank".into(),
        zone: "a".into(),
        weight: 50.0,
        state: ListState::Ready,
    };
    let list = ProviderList { version: 1, full: true, providers: vec![provider] };
    let limits = Some(StreamLimits { most: 2, part_of_slots: 0.5, part_of_window: 0.5 });
    let (router, steps) =
        Router::open_with(&env, limits, 1, list.clone(), store, 3_000_000, now).map_err(|e| e.to_string())?;
    let mut hub = Hub::new(router, Pool::new(15_000_000, 100));
    let mut todo = hub.carry_out(steps, now);
    todo.extend(hub.list(list, now));
    Ok((hub, todo))
}

impl World {
    fn new(size: Size) -> Result<World, String> {
        let (hub, _) = open(size, Memory::default(), BEGIN)?;
        Ok(World {
            size,
            now: BEGIN,
            hub,
            msg: None,
            flow: None,
            begun: false,
            deadline: 0,
            out: BTreeMap::new(),
            by: BTreeMap::new(),
            had: BTreeMap::new(),
            sound: false,
            connected: false,
            answer: None,
            ends: Vec::new(),
            killed: false,
            connection: 0,
        })
    }

    fn call(&self) -> Option<(CallId, &Call<u32>)> {
        self.out.iter().next().map(|(id, call)| (*id, call))
    }

    fn key(&self) -> u128 {
        let mut eye = Finger::plain();
        eye.begin(self.now);
        self.hub.router.see(&mut eye);
        eye.hash(&(&self.flow, self.begun, &self.by, &self.had, self.sound, self.connected, self.answer));
        eye.hash(&(&self.ends, self.killed, self.msg));
        for (id, call) in &self.out {
            eye.hash(&(id, format!("{:?}", call.state()), call.attempt().answer(), call.connection()));
        }
        eye.hash(&(self.hub.pool.load(), self.hub.pool.gates()));
        eye.done()
    }

    /// What may happen now. Time goes on only where nothing is left to do at this moment.
    fn events(&self) -> Vec<Event> {
        use Event::*;
        let mut events = Vec::new();
        let over = !self.ends.is_empty();
        if self.msg.is_none() && !self.killed {
            return vec![HandIn];
        }
        if self.answer.is_some() && self.connected {
            return vec![Hears, Deaf];
        }
        if !self.hub.router.notices(1).is_empty() {
            return vec![Confirmed];
        }
        let (mut timed, call) = (Vec::new(), self.call());
        if let Some(flow) = self.flow.as_ref().filter(|_| self.connected && !over) {
            let coming = flow.source() == Source::Coming;
            if coming && self.begun && flow.room() > 0 && flow.received() < LENGTH {
                events.push(Arrives);
            }
            if coming && flow.received() == LENGTH {
                events.extend([IsWhole, Digest]);
            }
            if coming {
                events.push(Gone);
            }
            if !self.begun && self.now >= BEGIN + ADMIT {
                timed.push(Unbegun);
            }
        }
        if let Some((id, call)) = call {
            let flow = self.flow.as_ref();
            match call.state() {
                State::Connecting => events.extend([Up, Refused]),
                State::Writing { .. } => {
                    if flow.is_some_and(|flow| flow.sendable() > 0) {
                        events.extend([Writes, WriteFails]);
                    }
                    if flow.is_some_and(Flow::may_finish) {
                        events.push(Finishes);
                    }
                    events.extend([Ok, Error, Full, Wait, Breaks, TimeUp]);
                }
                State::Awaiting => {
                    events.extend([Ok, Error, Full, Wait, Breaks]);
                    if self.by.get(&id).is_some_and(|by| self.now >= *by) {
                        events.push(TimeUp);
                    }
                }
                _ if call.attempt().wake_at().is_some_and(|at| at <= self.now) => events.push(CallTick),
                _ => {}
            }
        }
        if self.size.kills && !self.killed && self.msg.is_some() {
            events.push(Kill);
        }
        if self.next_time().is_some() {
            events.push(Wake);
        }
        events.extend(timed);
        events
    }

    /// The next moment that anything waits for.
    fn next_time(&self) -> Option<Micros> {
        let calls = self.out.values().filter_map(|call| call.attempt().wake_at());
        let by = self.by.values().copied();
        let admit = (!self.begun && self.connected).then_some(BEGIN + ADMIT);
        let all = self.hub.router.wake_at().into_iter().chain(calls).chain(by).chain(admit);
        let all = all.chain(self.hub.router.wake_at().map(|at| at.max(self.now + 1)));
        all.filter(|at| *at > self.now && *at <= BEGIN + 2 * TIME_LEFT).min()
    }

    fn happens(&mut self, event: Event) -> Result<(), Violation> {
        use Event::*;
        let now = self.now;
        match event {
            HandIn => self.hand_in(),
            Arrives => {
                self.flow_mut(|flow| flow.receive(1, now));
                Result::Ok(())
            }
            IsWhole => {
                self.sound = true;
                self.flow_mut(|flow| flow.is_whole(now));
                Result::Ok(())
            }
            Digest => self.cut(Cut::Digest),
            Gone => {
                self.connected = false;
                self.cut(Cut::Gone)?;
                self.answered(false)
            }
            Up => {
                self.connection += 1;
                let connection = self.connection;
                self.step(|call, pool| call.connected(pool, connection, now))
            }
            Refused => self.input(Input::Refused),
            Writes => {
                self.writes()?;
                self.input(Input::Wrote { bytes: 1, left: 1 })
            }
            Finishes => {
                if let Some((id, _)) = self.call() {
                    self.had.entry(id.attempt).or_default().whole = true;
                }
                self.input(Input::Wrote { bytes: 0, left: 0 })
            }
            WriteFails => self.input(Input::WriteFailed),
            Event::Ok => self.says("200 OK", false),
            Error => self.says("500 Internal Server Error", false),
            Full => self.says("503 Service Unavailable", true),
            Wait => self.says("429 Too Many Requests\r\nRetry-After: 0.7", true),
            Breaks => self.input(Input::Reset),
            TimeUp => self.input(Input::Deadline),
            CallTick => self.input(Input::Tick),
            Unbegun => {
                let Some(msg) = self.msg else { return Result::Ok(()) };
                let todo = self.hub.stream(|router| router.stream_unbegun(msg, now), now);
                // Asked once; where a call is out, it begins or is over.
                self.begun = true;
                self.act(todo)
            }
            Wake => {
                self.now = self.next_time().unwrap_or(now);
                let todo = self.hub.tick(self.now);
                self.act(todo)
            }
            Hears => {
                let end = self.answer.take();
                self.ends.extend(end);
                self.connected = false;
                self.answered(true)
            }
            Deaf => {
                let delivered = self.answer.take() == Some(StreamEnd::Delivered);
                // Nothing more is owed for what was delivered.
                self.ends.extend(delivered.then_some(StreamEnd::Delivered));
                self.connected = false;
                self.answered(false)
            }
            Confirmed => {
                let notices = self.hub.router.notices(9);
                for Notice { ending, .. } in &notices {
                    self.ends.push(match ending {
                        Ending::Undeliverable => StreamEnd::Failed,
                        Ending::Deferred(after) => StreamEnd::Deferred(*after),
                    });
                }
                let todo = self.hub.told(&notices, now);
                self.act(todo)
            }
            Kill => self.kill(),
        }
    }

    fn flow_mut(&mut self, act: impl FnOnce(&mut Flow)) {
        if let Some(flow) = &mut self.flow {
            act(flow);
        }
        let replayable = self.flow.as_ref().is_none_or(Flow::is_replayable);
        if let Some(msg) = self.msg.filter(|_| !replayable) {
            self.hub.router.stream_committed(msg);
        }
    }

    fn hand_in(&mut self) -> Result<(), Violation> {
        let class = CLASSES[usize::from(self.size.class)].to_string();
        let key = (self.size.class == 1).then(|| "k".to_string());
        let (id, body) = ("m0".to_string(), Default::default());
        let invocation = Invocation { id, class, key, dest: 0, time_left: TIME_LEFT, body };
        let (intake, msg, todo) = self.hub.take_on_stream(invocation, self.now);
        if intake != Intake::TakenOn {
            return broken(Property::FinalAnswer, format!("it is not taken on: {intake:?}"));
        }
        let pace = Pace { stall: 1_000_000, span: 60_000_000, least: 0 };
        let length = (!self.size.chunked).then_some(LENGTH);
        self.flow = Some(Flow::new(WINDOW, length, pace, pace, self.now));
        (self.msg, self.connected, self.deadline) = (Some(msg), true, self.now + TIME_LEFT);
        self.act(todo)
    }

    fn cut(&mut self, why: Cut) -> Result<(), Violation> {
        let now = self.now;
        self.flow_mut(|flow| flow.cut(why, now));
        let Some(msg) = self.msg else { return Ok(()) };
        let todo = self.hub.stream(|router| router.stream_cut(msg, Some(why), now), now);
        self.act(todo)
    }

    fn answered(&mut self, heard: bool) -> Result<(), Violation> {
        let Some(msg) = self.msg else { return Ok(()) };
        let now = self.now;
        let todo = self.hub.stream(|router| router.answered(msg, heard, now), now);
        self.act(todo)
    }

    /// A unit leaves: the one that stands next in the window.
    fn writes(&mut self) -> Result<(), Violation> {
        let now = self.now;
        if let Some(flow) = self.flow.as_ref().filter(|flow| flow.sent() < flow.base()) {
            return broken(Property::Unchanged, format!("unit {} is to leave, and is gone", flow.sent()));
        }
        self.flow_mut(|flow| flow.send(1, now));
        if let Some((id, _)) = self.call() {
            self.had.entry(id.attempt).or_default().units += 1;
        }
        Ok(())
    }

    fn says(&mut self, text: &str, never: bool) -> Result<(), Violation> {
        if let Some((id, _)) = self.call().filter(|_| never) {
            self.had.entry(id.attempt).or_default().never = true;
        }
        let answer = format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n");
        if let Some(call) = self.out.values_mut().next()
            && let Some((_, bytes)) = call.parts()
        {
            bytes.extend_from_slice(answer.as_bytes());
        }
        self.input(Input::Read)
    }

    fn input(&mut self, input: Input) -> Result<(), Violation> {
        let now = self.now;
        self.step(|call, pool| call.step(pool, input, now))
    }

    fn step(
        &mut self,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>) -> Told<u32>,
    ) -> Result<(), Violation> {
        let Some(id) = self.out.keys().next().copied() else { return Ok(()) };
        self.step_id(id, step)
    }

    fn step_id(
        &mut self,
        id: CallId,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>) -> Told<u32>,
    ) -> Result<(), Violation> {
        let Some(call) = self.out.get_mut(&id) else { return Ok(()) };
        let before = call.state();
        let told = step(call, &mut self.hub.pool);
        let (state, patience) = (call.state(), call.order.timeout);
        let now = self.now;
        if matches!(state, State::Writing { .. }) && !matches!(before, State::Writing { .. }) {
            // The driver begins the body with the connection.
            let mut whole = true;
            self.flow_mut(|flow| whole = flow.begin(now));
            if !whole {
                return broken(Property::Unchanged, format!("call {} can't have all of it", id.attempt));
            }
            self.had.entry(id.attempt).or_default();
            self.begun = true;
        }
        if state == State::Awaiting && before != State::Awaiting && told.end.is_none() {
            self.by.insert(id, now + patience);
            let todo = self.hub.stream(|router| router.stream_written(id, now), now);
            self.act(todo)?;
        }
        match told.end {
            Some(end) => self.ended(id, end),
            None => Ok(()),
        }
    }

    fn ended(&mut self, id: CallId, end: CallEnd) -> Result<(), Violation> {
        let now = self.now;
        self.out.remove(&id);
        self.by.remove(&id);
        self.flow_mut(|flow| flow.end(now));
        let todo = self.hub.call_ended(id, end, now);
        self.act(todo)
    }

    fn act(&mut self, todo: Vec<Do<u32>>) -> Result<(), Violation> {
        let now = self.now;
        for one in todo {
            match one {
                Do::Begin(order) if !self.connected => self.ended(order.call, CallEnd::HeldBack)?,
                Do::Begin(order) => {
                    let id = order.call;
                    self.out.insert(id, Call::streamed(order, invoker::decode, invoker::ANSWER_MAX));
                    self.step_id(id, |call, pool| call.start(pool, now, |_| true))?;
                }
                Do::Tell(id, input) => self.step_id(id, |call, pool| call.step(pool, input, now))?,
                Do::Answer(_, end) => {
                    if self.answer.is_some() || !self.ends.is_empty() {
                        return broken(Property::FinalAnswer, format!("a second answer: {end:?}"));
                    }
                    self.answer = Some(end);
                }
                Do::Close(_) | Do::Notify | Do::Note(_) => {}
            }
        }
        Ok(())
    }

    fn kill(&mut self) -> Result<(), Violation> {
        self.killed = true;
        let bytes = self.hub.router.journal().store().bytes().to_vec();
        (self.msg, self.flow, self.connected, self.answer) = (None, None, false, None);
        self.out.clear();
        self.by.clear();
        match open(self.size, Memory::of(bytes), self.now) {
            Ok((hub, todo)) => {
                self.hub = hub;
                self.act(todo)
            }
            Err(e) => broken(Property::Kept, e),
        }
    }

    /// What must hold in every state, by what provider, consumer and platform know.
    fn holds(&self) -> Result<(), Violation> {
        for (attempt, had) in &self.had {
            let whole = had.whole || (!self.size.chunked && had.units == LENGTH);
            if whole && !(self.sound && had.units == LENGTH) {
                return broken(
                    Property::Unchanged,
                    format!("{} units look whole to call {attempt}, and are not", had.units),
                );
            }
        }
        let mut ran = self.had.iter().filter(|(_, had)| had.units > 0 && !had.never);
        let first = ran.next();
        let again = first.and_then(|(n, _)| self.had.keys().find(|m| *m > n));
        if let (Some((n, _)), Some(m), 0) = (first, again, self.size.class)
            && self.had[m].units > 0
        {
            return broken(
                Property::NoRepeat,
                format!("call {m} of a debit that call {n} has had a part of"),
            );
        }
        let deferred = self.ends.iter().any(|end| matches!(end, StreamEnd::Deferred(_)));
        if let (Some((n, _)), true, 0) = (first, deferred, self.size.class) {
            return broken(Property::NoRepeat, format!("deferred, and call {n} has had a part of it"));
        }
        if self.ends.len() > 1 {
            return broken(Property::FinalAnswer, format!("more ends than one: {:?}", self.ends));
        }
        let late = self.msg.is_some() && self.ends.is_empty() && self.answer.is_none();
        if late && self.now > self.deadline + 300_000 && self.hub.router.notices(1).is_empty() {
            return broken(Property::FinalAnswer, "no end by its time".into());
        }
        Ok(())
    }

    fn at_rest(&self) -> Result<(), Violation> {
        let (owed, out) = self.hub.router.load();
        let (calls, _) = self.hub.pool.load();
        match (owed, out, calls, self.ends.len()) {
            (0, 0, 0, 1) => Ok(()),
            left => broken(Property::Liveness, format!("owed, out, in the pool, ends: {left:?}")),
        }
    }
}

/// The sizes that are explored, and hold.
pub const HOLDS: &[Size] = &[
    Size { class: 0, chunked: false, attempts: 2, kills: true },
    Size { class: 0, chunked: true, attempts: 2, kills: true },
    Size { class: 1, chunked: false, attempts: 2, kills: false },
    Size { class: 1, chunked: true, attempts: 2, kills: true },
];

/// Breaks that are found here, and the property that each one breaks.
pub const BREAKS: &[(&str, Property)] = &[
    ("last-byte-early", Property::Unchanged),
    ("deaf-forgotten", Property::Liveness),
    ("half-sent-never-ran", Property::NoRepeat),
    ("committed-again", Property::Unchanged),
];

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_order_makes_a_short_body_whole_or_sends_half_a_debit_twice() {
        let found = explore(Size { attempts: 1, kills: false, ..HOLDS[0] }).unwrap();
        assert!(found.broken.is_none(), "{found:?}");
        assert!(found.states > 1_000, "{found:?}");
    }
}
