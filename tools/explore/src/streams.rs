//! Streamed bodies, in a world of their own: every order of what a client, an endpoint, the platform and a kill do to a
//! body of a few units in a window for fewer, or to two bodies for one destination. Hub, module, journal, attempt and
//! flow are the courier's; the driver's few lines (`courier/program/src/transport/streams.rs`) are played here. The properties
//! are checked by the bytes that an endpoint has received, and by the answers and notices of client and platform.

use crate::case::{CLASSES, Case};
use crate::fingerprint::Fingerprint;
use crate::monitor::{Property, Violation, violated};
use quillmount_core::call::{Call, StepOutcome};
use quillmount_core::flow::{BodySource, Cut, Flow, Pace};
use quillmount_core::hub::{DriverAction, Hub};
use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router, RouterLoad, RouterOptions, StreamEnd, StreamLimits};
use quillmount_core::store::Memory;
use quillmount_core::{CallEnd, CallId, Ending, EndpointList, EndpointListing, Notice, Submission};
use quillmount_policy::{EndpointState, Micros, MsgId};
use quillmount_protocol::delivery;
use std::collections::{BTreeMap, HashSet, VecDeque};

const START: Micros = 1_000_000_000_000;
const TIME_LEFT: Micros = 4_000_000;
/// Time until a call has to begin, of the 400 ms that a client waits for its answer to the head; in microseconds.
const ADMISSION_TIME: Micros = 300_000;
/// The wait that an endpoint asks for, in microseconds.
const WAIT_TIME: Micros = 700_000;
/// Streams that may be on their way to their last byte at once: half of the first window, and one at least.
const STREAM_SHARE: usize = 1;

/// What is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// 0: a debit; 1: a notice, which is dropped by its key when repeated.
    pub class: u8,
    /// The body comes in chunks, without a length.
    pub chunked: bool,
    /// Attempts for a message at most.
    pub attempts: u32,
    /// The process may be killed once.
    pub kills: bool,
    /// 1, or 2: then both are for one destination, shorter, and meet fewer events.
    pub bodies: u8,
}

impl Size {
    /// A body, and the window for it, in units of a byte.
    fn length(&self) -> u64 {
        if self.bodies > 1 { 2 } else { 3 }
    }

    fn window(&self) -> u64 {
        self.length() - 1
    }
}

/// One event, and the body that it happens to.
pub type BodyEvent = (usize, StreamEvent);

/// One event of the client, of the endpoint, of the platform or of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamEvent {
    /// The client submits the head of the message.
    HandIn,
    /// The client sends a unit of the body.
    Arrives,
    /// The client has sent all of the body.
    IsWhole,
    /// The digest of the body is wrong.
    Digest,
    /// The client disconnects before the end of its body.
    Gone,
    /// The connection to the endpoint is established.
    Up,
    /// The connection to the endpoint is refused.
    Refused,
    /// The driver writes a unit of the body.
    Writes,
    /// The driver writes the end of the body.
    Finishes,
    /// The driver can't write.
    WriteFails,
    /// The endpoint answers 200, at whatever time.
    Ok,
    /// The endpoint answers 500.
    Error,
    /// The endpoint answers 503: the call never ran.
    Full,
    /// The endpoint answers 429, with a wait.
    Wait,
    /// The endpoint resets the connection.
    Breaks,
    /// The endpoint stalls, or does not answer.
    TimeUp,
    /// A timer of the attempt expires.
    CallTick,
    /// The wait that the destination asked for has ended, and the driver goes on.
    Resumes,
    /// No call has begun within the time for admission.
    Unbegun,
    /// The clock goes on to the next timer.
    Wake,
    /// The client receives its answer.
    Hears,
    /// The client has disconnected before its answer.
    Deaf,
    /// The platform receives and confirms the notices.
    Confirmed,
    /// SIGKILL, and a new start.
    Kill,
}

/// What an endpoint has received of one attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ReceivedBody {
    units: u64,
    whole: bool,
    /// A refusal, or a connection that never came up, proves that it never ran.
    never: bool,
}

/// One streamed message, from its client to its endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Body {
    msg: Option<MsgId>,
    flow: Option<Flow>,
    begun: bool,
    /// Until when its driver writes nothing, as the destination asked for a wait.
    paused_until: Option<Micros>,
    received: BTreeMap<u32, ReceivedBody>,
    /// The client has sent all of it, and its digest was right.
    intact: bool,
    connected: bool,
    /// The answer that is to be written.
    answer: Option<StreamEnd>,
    /// Ends that client or platform have received.
    ends: Vec<StreamEnd>,
}

#[derive(Clone, Debug)]
struct StreamWorld {
    size: Size,
    now: Micros,
    hub: Hub<Memory, u32>,
    bodies: Vec<Body>,
    outstanding: BTreeMap<CallId, Call<u32>>,
    /// When each call that is written to its end times out.
    answer_deadlines: BTreeMap<CallId, Micros>,
    /// Until when the destination accepts no byte of a call.
    wait_until: Micros,
    killed: bool,
    connection: u32,
}

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct StreamSearch {
    /// Different states visited.
    pub states: usize,
    /// Events of the longest path.
    pub depth: usize,
    /// States in which a body waits, sent in part, as its destination asked another stream for a wait.
    pub paused_states: usize,
    /// A shortest path to a violation, if there is one.
    pub counterexample: Option<(Vec<BodyEvent>, Violation)>,
}

/// Explores every order of events, breadth first.
///
/// # Errors
/// The router rejects the settings.
pub fn explore(size: Size) -> Result<StreamSearch, String> {
    let root = StreamWorld::new(size)?;
    let mut known = HashSet::from([root.key()]);
    let mut queue = VecDeque::from([(root, Vec::<BodyEvent>::new())]);
    let (mut depth, mut paused_states) = (0, 0);
    while let Some((world, path)) = queue.pop_front() {
        depth = depth.max(path.len());
        let events = world.events();
        // A state from which only a kill leads on has to be quiescent.
        if events.iter().all(|(_, event)| *event == StreamEvent::Kill)
            && let Err(violation) = world.check_quiescent()
        {
            return Ok(StreamSearch {
                states: known.len(),
                depth,
                paused_states,
                counterexample: Some((path, violation)),
            });
        }
        for event in events {
            let mut next = world.clone();
            let mut path = path.clone();
            path.push(event);
            let outcome = next.perform(event).and_then(|()| next.check_invariants());
            if let Err(violation) = outcome {
                return Ok(StreamSearch {
                    states: known.len(),
                    depth,
                    paused_states,
                    counterexample: Some((path, violation)),
                });
            }
            if known.insert(next.key()) {
                paused_states += usize::from(next.bodies.iter().any(|body| body.paused_until.is_some()));
                queue.push_back((next, path));
            }
        }
    }
    Ok(StreamSearch { states: known.len(), depth, paused_states, counterexample: None })
}

/// A courier, and what it is to do first.
type Opened = (Hub<Memory, u32>, Vec<DriverAction<u32>>);

fn open(size: Size, store: Memory, now: Micros) -> Result<Opened, String> {
    // A destination's first window is three eighths of the slots: room for one call, and for two.
    let (time_left, slots) = ((TIME_LEFT / 1_000) as u32, if size.bodies > 1 { 8 } else { 4 });
    let case = Case { attempts: size.attempts, time_left, slots, ..Case::default() };
    let env = case.env().map_err(|e| e.to_string())?;
    let endpoint = EndpointListing {
        id: "p0".into(),
        addr: Some(([127, 0, 0, 1], 1).into()),
        dest: 0,
        kind: "bank".into(),
        zone: "a".into(),
        weight: 50.0,
        state: EndpointState::Ready,
    };
    let list = EndpointList { version: 1, full: true, endpoints: vec![endpoint] };
    let limits = Some(StreamLimits { most: 2, share_of_slots: 0.5, share_of_window: 0.5 });
    let options = RouterOptions { settings: &env, streams: limits, seed: 1, journal_limit: 3_000_000 };
    let (router, steps) = Router::open(&options, list.clone(), store, now).map_err(|e| e.to_string())?;
    let mut hub = Hub::new(router, Pool::new(15_000_000, 100));
    let mut todo = hub.carry_out(steps, now);
    todo.extend(hub.list(list, now));
    Ok((hub, todo))
}

impl StreamWorld {
    fn new(size: Size) -> Result<StreamWorld, String> {
        let (hub, _) = open(size, Memory::default(), START)?;
        Ok(StreamWorld {
            size,
            now: START,
            hub,
            bodies: vec![Body::default(); usize::from(size.bodies)],
            outstanding: BTreeMap::new(),
            answer_deadlines: BTreeMap::new(),
            wait_until: 0,
            killed: false,
            connection: 0,
        })
    }

    /// A body's call, if one is out.
    fn call(&self, n: usize) -> Option<(CallId, &Call<u32>)> {
        let msg = self.bodies[n].msg?;
        self.outstanding.iter().find(|(id, _)| id.msg == msg).map(|(id, call)| (*id, call))
    }

    fn body_of(&self, msg: MsgId) -> Option<usize> {
        self.bodies.iter().position(|body| body.msg == Some(msg))
    }

    fn key(&self) -> u128 {
        let mut hasher = Fingerprint::exact();
        hasher.start_at(self.now);
        self.hub.router.visit_state(&mut hasher);
        hasher.hash(&(&self.bodies, &self.answer_deadlines, self.wait_until.max(self.now), self.killed));
        for (id, call) in &self.outstanding {
            hasher.hash(&(id, format!("{:?}", call.state()), call.attempt().answer(), call.connection()));
        }
        hasher.hash(&(self.hub.pool.load(), self.hub.pool.gates()));
        hasher.digest()
    }

    /// What may happen now. Time goes on only where nothing is left to do at this moment.
    fn events(&self) -> Vec<BodyEvent> {
        let all = || 0..self.bodies.len();
        // What waits for no one is done first.
        if let Some(n) = all().find(|n| self.bodies[*n].msg.is_none() && !self.killed) {
            return vec![(n, StreamEvent::HandIn)];
        }
        if let Some(n) = all().find(|n| self.bodies[*n].answer.is_some() && self.bodies[*n].connected) {
            return vec![(n, StreamEvent::Hears), (n, StreamEvent::Deaf)];
        }
        if !self.hub.router.notices(1).is_empty() {
            return vec![(0, StreamEvent::Confirmed)];
        }
        let mut events: Vec<BodyEvent> =
            all().flat_map(|n| self.events_of(n).into_iter().map(move |e| (n, e))).collect();
        if self.size.kills && !self.killed {
            events.push((0, StreamEvent::Kill));
        }
        if self.next_time().is_some() {
            events.push((0, StreamEvent::Wake));
        }
        events
    }

    fn events_of(&self, n: usize) -> Vec<StreamEvent> {
        use StreamEvent::*;
        let (mut events, body, alone) = (Vec::new(), &self.bodies[n], self.size.bodies == 1);
        if let Some(flow) = body.flow.as_ref().filter(|_| body.connected && body.ends.is_empty()) {
            let coming = flow.source() == BodySource::Coming;
            if coming && body.begun && flow.capacity() > 0 && flow.received() < self.size.length() {
                events.push(Arrives);
            }
            if coming && flow.received() == self.size.length() {
                events.push(IsWhole);
                events.extend(alone.then_some(Digest));
            }
            if coming && (alone || body.begun) {
                events.push(Gone);
            }
            if !body.begun && self.now >= START + ADMISSION_TIME {
                events.push(Unbegun);
            }
        }
        let Some((id, call)) = self.call(n) else { return events };
        let flow = body.flow.as_ref();
        match call.state() {
            AttemptState::Connecting => events.extend([Up, Refused]),
            AttemptState::Writing { .. } => {
                if body.paused_until.is_some_and(|paused_until| self.now >= paused_until) {
                    events.push(Resumes);
                }
                if flow.is_some_and(|flow| flow.sendable() > 0) {
                    events.push(Writes);
                    events.extend(alone.then_some(WriteFails));
                }
                if flow.is_some_and(Flow::may_finish) {
                    events.push(Finishes);
                }
                events.extend([Wait, Breaks, TimeUp]);
                events.extend(if alone { &[Ok, Error, Full][..] } else { &[] });
            }
            AttemptState::Awaiting => {
                events.extend([Ok, Wait, Breaks]);
                events.extend(if alone { &[Error, Full][..] } else { &[] });
                if self.answer_deadlines.get(&id).is_some_and(|by| self.now >= *by) {
                    events.push(TimeUp);
                }
            }
            _ if call.attempt().wake_at().is_some_and(|at| at <= self.now) => events.push(CallTick),
            _ => {}
        }
        events
    }

    /// The next moment that anything waits for.
    fn next_time(&self) -> Option<Micros> {
        let calls = self.outstanding.values().filter_map(|call| call.attempt().wake_at());
        let by = self
            .answer_deadlines
            .values()
            .copied()
            .chain(self.bodies.iter().filter_map(|body| body.paused_until));
        let admit =
            self.bodies.iter().any(|body| !body.begun && body.connected).then_some(START + ADMISSION_TIME);
        let all = self.hub.router.wake_at().into_iter().chain(calls).chain(by).chain(admit);
        let all = all.chain(self.hub.router.wake_at().map(|at| at.max(self.now + 1)));
        all.filter(|at| *at > self.now && *at <= START + 2 * TIME_LEFT).min()
    }

    fn perform(&mut self, (n, event): BodyEvent) -> Result<(), Violation> {
        use StreamEvent::*;
        let now = self.now;
        match event {
            HandIn => self.submit(n),
            Arrives => {
                self.flow_mut(n, |flow| flow.receive(1, now));
                Result::Ok(())
            }
            IsWhole => self.complete_body(n),
            Digest => self.cut(n, Cut::Digest),
            Gone => {
                self.bodies[n].connected = false;
                self.cut(n, Cut::Gone)?;
                self.answered(n, false)
            }
            Up => {
                self.connection += 1;
                let connection = self.connection;
                self.step(n, |call, pool| call.connected(pool, connection, now))
            }
            Refused => self.input(n, AttemptInput::Refused),
            Writes => {
                self.write_unit(n)?;
                self.input(n, AttemptInput::Wrote { bytes: 1, left: 1 })
            }
            Finishes => {
                self.may_write()?;
                self.update_received(n, |received| received.whole = true);
                self.input(n, AttemptInput::Wrote { bytes: 0, left: 0 })
            }
            WriteFails => self.input(n, AttemptInput::WriteFailed),
            StreamEvent::Ok => self.answer_call(n, "200 OK", false),
            Error => self.answer_call(n, "500 Internal Server Error", false),
            Full => self.answer_call(n, "503 Service Unavailable", true),
            Wait => {
                self.wait_until = self.wait_until.max(now + WAIT_TIME);
                self.answer_call(n, "429 Too Many Requests\r\nRetry-After: 0.7", true)
            }
            Breaks => self.input(n, AttemptInput::Reset),
            TimeUp => self.input(n, AttemptInput::Deadline),
            CallTick => self.input(n, AttemptInput::Tick),
            Resumes => self.resume(n),
            Unbegun => self.expire_admission(n),
            Wake => {
                self.now = self.next_time().unwrap_or(now);
                let todo = self.hub.tick(self.now);
                self.execute(todo)
            }
            Hears => self.hear_answer(n),
            Deaf => self.miss_answer(n),
            Confirmed => self.confirm_notices(),
            Kill => self.kill(),
        }
    }

    /// The client has sent the body to its end, with the digest that it promised.
    fn complete_body(&mut self, n: usize) -> Result<(), Violation> {
        let now = self.now;
        self.bodies[n].intact = true;
        self.flow_mut(n, |flow| flow.complete(now));
        Ok(())
    }

    /// The pause that the destination asked for has ended.
    fn resume(&mut self, n: usize) -> Result<(), Violation> {
        let now = self.now;
        self.bodies[n].paused_until = None;
        self.flow_mut(n, |flow| flow.set_paused(false, now));
        Ok(())
    }

    /// No call has begun within the time for admission.
    fn expire_admission(&mut self, n: usize) -> Result<(), Violation> {
        let now = self.now;
        let Some(msg) = self.bodies[n].msg else { return Ok(()) };
        let todo = self.hub.stream(|router| router.stream_unbegun(msg, now), now);
        // This happens once: a call in flight begins the body, or has ended.
        self.bodies[n].begun = true;
        self.execute(todo)
    }

    /// The client receives its answer.
    fn hear_answer(&mut self, n: usize) -> Result<(), Violation> {
        let end = self.bodies[n].answer.take();
        self.bodies[n].ends.extend(end);
        self.bodies[n].connected = false;
        self.answered(n, true)
    }

    /// The client has disconnected before its answer could be written.
    fn miss_answer(&mut self, n: usize) -> Result<(), Violation> {
        let body = &mut self.bodies[n];
        let delivered = body.answer.take() == Some(StreamEnd::Delivered);
        // Nothing more is owed for what was delivered.
        body.ends.extend(delivered.then_some(StreamEnd::Delivered));
        body.connected = false;
        self.answered(n, false)
    }

    /// The platform receives all notices, and confirms them.
    fn confirm_notices(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let notices = self.hub.router.notices(9);
        for Notice { ending, id, .. } in &notices {
            let body = id.strip_prefix('m').and_then(|n| n.parse::<usize>().ok());
            let Some(body) = body.and_then(|n| self.bodies.get_mut(n)) else {
                return violated(Property::FinalAnswer, format!("an end of {id:?}, which nobody handed in"));
            };
            body.ends.push(match ending {
                Ending::Undeliverable => StreamEnd::Failed,
                Ending::Deferred(after) => StreamEnd::Deferred(*after),
            });
        }
        let todo = self.hub.notices_confirmed(&notices, now);
        self.execute(todo)
    }

    /// Changes a flow, and notifies the router once it can't be replayed from its beginning any more.
    fn flow_mut(&mut self, n: usize, act: impl FnOnce(&mut Flow)) {
        let body = &mut self.bodies[n];
        if let Some(flow) = &mut body.flow {
            act(flow);
        }
        let replayable = body.flow.as_ref().is_none_or(Flow::is_replayable);
        if let Some(msg) = body.msg.filter(|_| !replayable) {
            self.hub.router.stream_committed(msg);
        }
    }

    /// Changes what the endpoint has received of the call in flight.
    fn update_received(&mut self, n: usize, change: impl FnOnce(&mut ReceivedBody)) {
        if let Some((id, _)) = self.call(n) {
            change(self.bodies[n].received.entry(id.attempt).or_default());
        }
    }

    fn submit(&mut self, n: usize) -> Result<(), Violation> {
        let class = CLASSES[usize::from(self.size.class)].to_string();
        let key = (self.size.class == 1).then(|| format!("k{n}"));
        let (id, body) = (format!("m{n}"), Default::default());
        let submission = Submission { id, class, key, dest: 0, tenant: None, time_left: TIME_LEFT, body };
        let (intake, msg, todo) = self.hub.submit_stream(submission, self.now);
        if intake != Intake::Accepted {
            return violated(Property::FinalAnswer, format!("it is not taken on: {intake:?}"));
        }
        let pace = Pace { stall: 1_000_000, span: 60_000_000, least: 0 };
        let length = (!self.size.chunked).then_some(self.size.length());
        let flow = Flow::new(self.size.window(), length, pace, pace, self.now);
        self.bodies[n] = Body { msg: Some(msg), flow: Some(flow), connected: true, ..Body::default() };
        self.execute(todo)
    }

    fn cut(&mut self, n: usize, why: Cut) -> Result<(), Violation> {
        let now = self.now;
        self.flow_mut(n, |flow| flow.cut(why, now));
        let Some(msg) = self.bodies[n].msg else { return Ok(()) };
        let todo = self.hub.stream(|router| router.stream_cut(msg, Some(why), now), now);
        self.execute(todo)
    }

    fn answered(&mut self, n: usize, delivered_to_client: bool) -> Result<(), Violation> {
        let Some(msg) = self.bodies[n].msg else { return Ok(()) };
        let now = self.now;
        let todo = self.hub.stream(|router| router.answered(msg, delivered_to_client, now), now);
        self.execute(todo)
    }

    /// Checks that a byte may leave: not during a wait that the destination asked for.
    fn may_write(&self) -> Result<(), Violation> {
        if self.now < self.wait_until {
            return violated(
                Property::Wait,
                format!("a byte leaves {} us before the wait is over", self.wait_until - self.now),
            );
        }
        Ok(())
    }

    /// A unit leaves: the one that stands next in the window.
    fn write_unit(&mut self, n: usize) -> Result<(), Violation> {
        let now = self.now;
        self.may_write()?;
        if let Some(flow) = self.bodies[n].flow.as_ref().filter(|flow| flow.sent() < flow.base()) {
            return violated(Property::Unchanged, format!("unit {} is to leave, and is gone", flow.sent()));
        }
        self.flow_mut(n, |flow| flow.send(1, now));
        self.update_received(n, |received| received.units += 1);
        Ok(())
    }

    fn answer_call(&mut self, n: usize, text: &str, never: bool) -> Result<(), Violation> {
        self.update_received(n, |received| received.never |= never);
        let answer = format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n");
        let id = self.call(n).map(|(id, _)| id);
        if let Some(call) = id.and_then(|id| self.outstanding.get_mut(&id))
            && let Some((_, bytes)) = call.parts()
        {
            bytes.extend_from_slice(answer.as_bytes());
        }
        self.input(n, AttemptInput::Read)
    }

    fn input(&mut self, n: usize, input: AttemptInput) -> Result<(), Violation> {
        let now = self.now;
        self.step(n, |call, pool| call.step(pool, input, now))
    }

    fn step(
        &mut self,
        n: usize,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>) -> StepOutcome<u32>,
    ) -> Result<(), Violation> {
        let Some((id, _)) = self.call(n) else { return Ok(()) };
        self.step_id(id, step)
    }

    fn step_id(
        &mut self,
        id: CallId,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>) -> StepOutcome<u32>,
    ) -> Result<(), Violation> {
        let Some(n) = self.body_of(id.msg) else { return Ok(()) };
        let Some(call) = self.outstanding.get_mut(&id) else { return Ok(()) };
        let before = call.state();
        let result = step(call, &mut self.hub.pool);
        let (state, patience) = (call.state(), call.order.timeout);
        let now = self.now;
        if matches!(state, AttemptState::Writing { .. }) && !matches!(before, AttemptState::Writing { .. }) {
            // The driver begins the body with the connection.
            let mut whole = true;
            self.flow_mut(n, |flow| whole = flow.begin(now));
            if !whole {
                return violated(Property::Unchanged, format!("call {} can't have all of it", id.attempt));
            }
            let body = &mut self.bodies[n];
            body.received.entry(id.attempt).or_default();
            (body.begun, body.paused_until) = (true, None);
        }
        if state == AttemptState::Awaiting && before != AttemptState::Awaiting && result.end.is_none() {
            self.answer_deadlines.insert(id, now + patience);
            let todo = self.hub.stream(|router| router.stream_written(id, now), now);
            self.execute(todo)?;
        }
        match result.end {
            Some(end) => self.finish_call(id, end),
            None => Ok(()),
        }
    }

    fn finish_call(&mut self, id: CallId, end: CallEnd) -> Result<(), Violation> {
        let now = self.now;
        self.outstanding.remove(&id);
        self.answer_deadlines.remove(&id);
        if let Some(n) = self.body_of(id.msg) {
            self.flow_mut(n, |flow| flow.end(now));
            self.bodies[n].paused_until = None;
        }
        let todo = self.hub.call_ended(id, end, now);
        self.execute(todo)
    }

    /// Passes an input to an attempt; where it is to back off and goes on writing, its driver pauses.
    fn deliver_input(&mut self, id: CallId, input: AttemptInput) -> Result<(), Violation> {
        let now = self.now;
        self.step_id(id, |call, pool| call.step(pool, input, now))?;
        let writing =
            self.outstanding.get(&id).filter(|call| matches!(call.state(), AttemptState::Writing { .. }));
        if let (AttemptInput::BackOff, Some(call), Some(n)) = (input, writing, self.body_of(id.msg)) {
            self.bodies[n].paused_until = Some(self.hub.pool.backoff_until(call.order.endpoint));
            self.flow_mut(n, |flow| flow.set_paused(true, now));
        }
        Ok(())
    }

    fn execute(&mut self, todo: Vec<DriverAction<u32>>) -> Result<(), Violation> {
        let now = self.now;
        for one in todo {
            match one {
                DriverAction::Begin(order) => {
                    let id = order.call;
                    let n = self.body_of(id.msg);
                    if n.is_none_or(|n| !self.bodies[n].connected) {
                        self.finish_call(id, CallEnd::HeldBack)?;
                        continue;
                    }
                    self.outstanding
                        .insert(id, Call::streamed(order, delivery::decode, delivery::ANSWER_MAX));
                    self.step_id(id, |call, pool| call.start(pool, now, |_| true))?;
                }
                DriverAction::Signal(id, input) => self.deliver_input(id, input)?,
                DriverAction::Answer(msg, end) => {
                    let Some(n) = self.body_of(msg) else {
                        return violated(Property::FinalAnswer, format!("an answer to nobody: {end:?}"));
                    };
                    let body = &mut self.bodies[n];
                    if body.answer.is_some() || !body.ends.is_empty() {
                        return violated(Property::FinalAnswer, format!("a second answer: {end:?}"));
                    }
                    body.answer = Some(end);
                }
                DriverAction::Close(_) | DriverAction::Notify | DriverAction::Note(_) => {}
            }
        }
        Ok(())
    }

    fn kill(&mut self) -> Result<(), Violation> {
        self.killed = true;
        let bytes = self.hub.router.journal().store().bytes().to_vec();
        for body in &mut self.bodies {
            let (received, ends) = (std::mem::take(&mut body.received), std::mem::take(&mut body.ends));
            *body = Body { received, ends, intact: body.intact, ..Body::default() };
        }
        self.outstanding.clear();
        self.answer_deadlines.clear();
        match open(self.size, Memory::of(bytes), self.now) {
            Ok((hub, todo)) => {
                self.hub = hub;
                self.execute(todo)
            }
            Err(e) => violated(Property::Durability, e),
        }
    }

    /// Properties of every state, by what endpoint, client and platform have seen.
    fn check_invariants(&self) -> Result<(), Violation> {
        let flows = |call: &&Call<u32>| {
            matches!(call.state(), AttemptState::Connecting | AttemptState::Writing { .. })
        };
        let flowing = self.outstanding.values().filter(flows).count();
        if flowing > STREAM_SHARE {
            return violated(
                Property::Unchanged,
                format!("{flowing} streams are on their way, over their share"),
            );
        }
        self.bodies.iter().try_for_each(|body| self.check_body(body))
    }

    fn check_body(&self, body: &Body) -> Result<(), Violation> {
        let length = self.size.length();
        for (attempt, received) in &body.received {
            let whole = received.whole || (!self.size.chunked && received.units == length);
            if whole && !(body.intact && received.units == length) {
                return violated(
                    Property::Unchanged,
                    format!("{} units look whole to call {attempt}, and are not", received.units),
                );
            }
        }
        let mut ran = body.received.iter().filter(|(_, received)| received.units > 0 && !received.never);
        let first = ran.next();
        let retry = first.and_then(|(n, _)| body.received.keys().find(|m| *m > n));
        if let (Some((n, _)), Some(m), 0) = (first, retry, self.size.class)
            && body.received[m].units > 0
        {
            return violated(
                Property::NoRepeat,
                format!("call {m} of a debit that call {n} has had a part of"),
            );
        }
        let deferred = body.ends.iter().any(|end| matches!(end, StreamEnd::Deferred(_)));
        if let (Some((n, _)), true, 0) = (first, deferred, self.size.class) {
            return violated(Property::NoRepeat, format!("deferred, and call {n} has had a part of it"));
        }
        if body.ends.len() > 1 {
            return violated(Property::FinalAnswer, format!("more ends than one: {:?}", body.ends));
        }
        let late = body.msg.is_some() && body.ends.is_empty() && body.answer.is_none();
        let deadline = START + TIME_LEFT;
        if late && self.now > deadline + 300_000 && self.hub.router.notices(1).is_empty() {
            return violated(Property::FinalAnswer, "no end by its time".into());
        }
        Ok(())
    }

    fn check_quiescent(&self) -> Result<(), Violation> {
        let RouterLoad { owed, in_flight: outstanding } = self.hub.router.load();
        let calls = self.hub.pool.load().calls;
        match (owed, outstanding, calls, self.bodies.iter().all(|body| body.ends.len() == 1)) {
            (0, 0, 0, true) => Ok(()),
            left => violated(Property::Liveness, format!("owed, out, in the pool, one end each: {left:?}")),
        }
    }
}

/// The sizes that are explored, for which every property holds.
pub const VERIFIED_SIZES: &[Size] = &[
    FIXED_LENGTH,
    CHUNKED,
    Size { class: 1, chunked: false, attempts: 2, kills: false, bodies: 1 },
    Size { class: 1, chunked: true, attempts: 2, kills: true, bodies: 1 },
    TWO_BODIES,
];
/// A debit of a stated length.
const FIXED_LENGTH: Size = Size { class: 0, chunked: false, attempts: 2, kills: true, bodies: 1 };
/// A debit in chunks.
const CHUNKED: Size = Size { chunked: true, ..FIXED_LENGTH };
/// Two debits for one destination.
const TWO_BODIES: Size = Size { attempts: 1, kills: false, bodies: 2, ..FIXED_LENGTH };

/// Deliberate breaks that are found here, the size that finds each, and the property that it violates.
pub const BREAKS: &[(&str, Size, Property)] = &[
    ("last-byte-early", FIXED_LENGTH, Property::Unchanged),
    ("deaf-forgotten", FIXED_LENGTH, Property::Liveness),
    ("half-sent-never-ran", FIXED_LENGTH, Property::NoRepeat),
    ("committed-again", FIXED_LENGTH, Property::Unchanged),
    ("pause-ignored", TWO_BODIES, Property::Wait),
    ("share-ignored", TWO_BODIES, Property::Unchanged),
];
