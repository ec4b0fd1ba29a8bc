//! The sockets of a streamed submission: one task reads the client's body, another writes it to an endpoint, and
//! both go by the same [`Flow`].

use super::endpoints::{self, CallSignals, read, read_remaining, tick};
use super::handle::Handle;
use crate::fleet::budget::ConnectionPermit;
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use quillmount_core::call::Call;
use quillmount_core::flow::{BodySource, Cut, Flow, FlowSide, Pace};
use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use quillmount_core::router::StreamEnd;
use quillmount_core::turns::Turns;
use quillmount_core::{CallEnd, DeliveryCall, StreamHead};
use quillmount_policy::{Micros, MsgId};
use quillmount_protocol::delivery::{self, ANSWER_MAX};
use quillmount_protocol::stream::{self, Body, Digest, Next};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Bytes of a body that are read, or written, at once.
const READ: usize = 64 * 1024;
/// Pieces of a body that one write takes along.
const SLICES: usize = 16;
/// An endpoint that says nothing to `Expect: 100-continue` gets the body after this: it may not know the header.
const CONTINUE: Micros = 300_000;
/// A client waits 400 ms for a word: by then its stream has begun, or is turned away.
pub const ADMIT: Duration = Duration::from_millis(300);

/// What may be streamed, and how.
#[derive(Clone, Debug)]
pub struct StreamRules {
    /// None: every class.
    pub classes: Vec<String>,
    pub largest: u64,
    pub longest: Micros,
    pub window: u64,
    pub turn: u64,
    pub client: Pace,
    pub endpoint: Pace,
}

impl StreamRules {
    /// Whether a class may stream.
    pub fn allow(&self, class: &str) -> bool {
        self.classes.is_empty() || self.classes.iter().any(|c| c == class)
    }
}

/// What the streams of a courier share.
pub struct Streams {
    turns: RefCell<Turns>,
    turn_pending: Cell<bool>,
    turned: Notify,
}

/// Whoever keeps the turn, until its task goes on or is gone.
struct TurnGuard<'a>(&'a Streams);

impl Drop for TurnGuard<'_> {
    fn drop(&mut self) {
        self.0.turn_pending.set(false);
        self.0.turned.notify_waiters();
    }
}

impl Streams {
    /// `quantum`: bytes that all of them may move in one turn of the loop.
    pub fn new(quantum: u64) -> Self {
        Streams {
            turns: RefCell::new(Turns::new(quantum)),
            turn_pending: Cell::new(false),
            turned: Notify::new(),
        }
    }

    /// Waits for a turn in which something may be moved.
    async fn turn(&self) {
        while !self.turns.borrow().may() {
            if self.turn_pending.replace(true) {
                self.turned.notified().await;
            } else {
                let guard = TurnGuard(self);
                // All else that is ready runs first.
                tokio::task::yield_now().await;
                self.turns.borrow_mut().next();
                drop(guard);
            }
        }
    }

    fn spend(&self, bytes: usize) {
        self.turns.borrow_mut().spend(bytes as u64);
    }
}

/// One body between its two tasks.
pub struct Pipe {
    pub msg: MsgId,
    pub head: StreamHead,
    streams: Rc<Streams>,
    flow: RefCell<Flow>,
    /// The bytes from the flow's base on.
    parts: RefCell<VecDeque<Bytes>>,
    begun: Cell<bool>,
    end: Cell<Option<StreamEnd>>,
    /// The client's side may go on; so may the endpoint's.
    client_wake: Notify,
    endpoint_wake: Notify,
}

impl Pipe {
    pub fn new(msg: MsgId, head: StreamHead, flow: Flow, streams: Rc<Streams>) -> Rc<Self> {
        Rc::new(Pipe {
            msg,
            head,
            streams,
            flow: RefCell::new(flow),
            parts: RefCell::default(),
            begun: Cell::new(false),
            end: Cell::new(None),
            client_wake: Notify::new(),
            endpoint_wake: Notify::new(),
        })
    }

    /// The final answer is known.
    pub fn ends(&self, end: StreamEnd) {
        self.end.set(Some(end));
        self.client_wake.notify_one();
    }

    /// Its body will never be whole.
    pub fn cut(&self, why: Cut, now: Micros) {
        self.change(|flow| flow.cut(why, now));
        self.endpoint_wake.notify_one();
    }

    fn change<T>(&self, act: impl FnOnce(&mut Flow) -> T) -> T {
        let mut flow = self.flow.borrow_mut();
        let done = act(&mut flow);
        // What is dropped of the window is let go here.
        let retained = flow.received() - flow.base();
        let mut parts = self.parts.borrow_mut();
        let mut surplus = parts.iter().map(|part| part.len() as u64).sum::<u64>().saturating_sub(retained);
        while let Some(first) = parts.front_mut().filter(|_| surplus > 0) {
            let gone = (first.len() as u64).min(surplus);
            first.advance(gone as usize);
            surplus -= gone;
            if first.is_empty() {
                parts.pop_front();
            }
        }
        done
    }

    fn receive(&self, part: Bytes, now: Micros) {
        let length = part.len() as u64;
        self.parts.borrow_mut().push_back(part);
        self.change(|flow| flow.receive(length, now));
        self.endpoint_wake.notify_one();
    }

    /// What may leave now, cut from the window: up to so many bytes in a few pieces.
    fn next(&self, most: u64) -> Vec<Bytes> {
        let flow = self.flow.borrow();
        let mut left = flow.sendable().min(most);
        let mut skip = flow.sent() - flow.base();
        let mut chunks = Vec::new();
        for part in self.parts.borrow().iter() {
            if left == 0 || chunks.len() == SLICES {
                break;
            }
            let length = part.len() as u64;
            if skip >= length {
                skip -= length;
                continue;
            }
            let take = (length - skip).min(left);
            chunks.push(part.slice(skip as usize..(skip + take) as usize));
            (left, skip) = (left - take, 0);
        }
        chunks
    }
}

/// Why a stream does not go on.
#[derive(Clone, Copy, Debug)]
pub enum StreamFailure {
    /// Its body will never be whole.
    Cut(Cut),
    /// No call of it has begun in time.
    Unbegun,
}

/// Reads a client's body into the pipe, and returns the final answer once there is one.
pub async fn receive(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    handle: &Handle,
    pipe: &Pipe,
    (mut body, mut digest): (Body, Option<Digest>),
    expects: bool,
    fails: impl Fn(StreamFailure),
) -> StreamEnd {
    let clock = &handle.clock;
    let (mut asked, admit) = (!expects, actix_rt::time::Instant::now() + ADMIT);
    // Whether a call is out, or one is still hoped for, is asked at that time, and after each that fails.
    let mut admits = true;
    loop {
        while pipe.flow.borrow().source() == BodySource::Coming {
            let capacity = pipe.flow.borrow().capacity();
            match body.next(buf) {
                Next::Body(n) => {
                    let n = n.min(usize::try_from(capacity).unwrap_or(usize::MAX));
                    if n == 0 {
                        break;
                    }
                    let part = buf.split_to(n).freeze();
                    if let Some(digest) = &mut digest {
                        digest.update(&part);
                    }
                    body.took(n as u64);
                    pipe.receive(part, clock.now());
                }
                Next::End if digest.take().is_none_or(Digest::matches) => {
                    pipe.change(|flow| flow.complete(clock.now()));
                    pipe.endpoint_wake.notify_one();
                }
                Next::End => fails(StreamFailure::Cut(Cut::Digest)),
                Next::Bad(why) => fails(StreamFailure::Cut(why)),
            }
        }
        if let Some(end) = pipe.end.get() {
            return end;
        }
        let begun = pipe.begun.get();
        if begun && !asked {
            asked = true;
            // Where it can't be told, the next read says that it has gone.
            let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let (capacity, source, late) = {
            let flow = pipe.flow.borrow();
            (
                flow.capacity(),
                flow.source(),
                flow.late_at(FlowSide::Client).map(|(at, _)| at).filter(|_| begun),
            )
        };
        let reads = begun && capacity > 0 && source == BodySource::Coming;
        if reads {
            pipe.streams.turn().await;
            buf.reserve(READ);
        }
        let most = READ.min(buf.capacity() - buf.len());
        tokio::select! {
            biased;
            () = pipe.client_wake.notified() => admits = true,
            () = tokio::time::sleep_until(admit), if !begun && admits => {
                admits = false;
                fails(StreamFailure::Unbegun);
            }
            n = async { stream.read_buf(&mut (&mut *buf).limit(most)).await }, if reads => match n {
                Ok(n) if n > 0 => {
                    handle.count(|c| c.stream_bytes += n as u64);
                    pipe.streams.spend(n);
                }
                _ => fails(StreamFailure::Cut(Cut::Gone)),
            },
            _ = tick(clock, late) => {
                let late = pipe.flow.borrow().late(FlowSide::Client, clock.now());
                if let Some(late) = late {
                    fails(StreamFailure::Cut(Cut::Late(late)));
                }
            }
        }
    }
}

/// One piece on its way to an endpoint, and whether it is the body's.
type OutgoingChunk = (Bytes, bool);

/// Writes some of these pieces; returns how many bytes of the body were among it.
async fn write(
    to: &mut (impl AsyncWriteExt + Unpin),
    out: &mut VecDeque<OutgoingChunk>,
) -> std::io::Result<u64> {
    let slices: Vec<IoSlice<'_>> = out.iter().map(|(chunk, _)| IoSlice::new(chunk)).collect();
    let mut wrote = to.write_vectored(&slices).await?;
    if wrote == 0 {
        return Err(std::io::ErrorKind::WriteZero.into());
    }
    let mut of_body = 0;
    while let Some((chunk, body)) = out.front_mut() {
        let some = wrote.min(chunk.len());
        if some == 0 && !chunk.is_empty() {
            break;
        }
        chunk.advance(some);
        wrote -= some;
        of_body += if *body { some as u64 } else { 0 };
        if !chunk.is_empty() {
            break;
        }
        out.pop_front();
    }
    Ok(of_body)
}

/// What a call of a stream has written, and waits for.
#[derive(Default)]
struct SendProgress {
    out: VecDeque<OutgoingChunk>,
    headed: bool,
    /// The last chunk is written, or on its way.
    closed: bool,
    /// The body is not sent before then, unless the endpoint asks for it.
    body_at: Option<Micros>,
    backoff_until: Option<Micros>,
}

/// Makes one call of a stream, once; `written` is told when its last byte has left.
pub async fn call(
    handle: &Handle,
    order: DeliveryCall,
    signals: &CallSignals,
    pipe: &Pipe,
    permit: Option<&mut ConnectionPermit>,
    written: impl Fn(),
) -> CallEnd {
    let end = run_call(handle, order, signals, pipe, permit, written).await;
    pipe.change(|flow| flow.end(handle.clock.now()));
    pipe.client_wake.notify_one();
    end
}

async fn run_call(
    handle: &Handle,
    order: DeliveryCall,
    signals: &CallSignals,
    pipe: &Pipe,
    mut permit: Option<&mut ConnectionPermit>,
    written: impl Fn(),
) -> CallEnd {
    let (clock, addr, endpoint) = (&handle.clock, order.addr, order.endpoint);
    let answer_within = order.timeout;
    let mut by = None;
    let mut call = Call::streamed(order, delivery::decode, ANSWER_MAX);
    let mut progress = SendProgress::default();
    let mut outcome = endpoints::start(handle, &mut call, permit.as_deref_mut());
    loop {
        drop(outcome.to_close);
        if let Some(end) = outcome.end {
            return end;
        }
        if outcome.finish
            && let Some((stream, _)) = call.parts()
        {
            let _ = stream.stream_mut().shutdown().await;
        }
        let (state, rest) = (call.state(), call.attempt().wake_at());
        if matches!(state, AttemptState::Writing { .. }) && !progress.headed {
            signals.clear_backoff();
            if !pipe.change(|flow| flow.begin(clock.now())) {
                outcome = handle.pool(|pool| call.step(pool, AttemptInput::GiveUp, clock.now()));
                continue;
            }
            let head = stream::encode_head(&call.order, &pipe.head);
            progress = SendProgress {
                headed: true,
                body_at: Some(clock.now() + CONTINUE),
                ..SendProgress::default()
            };
            progress.out.push_back((Bytes::from(head), false));
            pipe.begun.set(true);
            pipe.client_wake.notify_one();
        }
        if state == AttemptState::Awaiting && by.is_none() {
            // From here on it is the destination's time.
            by = Some(clock.now() + answer_within);
            written();
        }
        let asked = call.attempt().is_asked();
        let input = match (state, call.parts()) {
            (AttemptState::Connecting, _) => tokio::select! {
                biased;
                signal = signals.next_for_stream(state) => signal,
                stream = timeout(handle.connect, endpoints::connect(addr, permit.as_deref_mut())) => match stream.ok().flatten() {
                    Some(stream) => {
                        outcome = handle.pool(|pool| call.connected(pool, stream, clock.now()));
                        continue;
                    }
                    None => AttemptInput::Refused,
                },
                tick = tick(clock, rest) => tick,
            },
            (AttemptState::Writing { .. }, Some((stream, answer))) => {
                // Before it is looked at what may be written: time passes here.
                if !progress.out.is_empty() {
                    pipe.streams.turn().await;
                }
                let now = clock.now();
                if progress.backoff_until.is_some_and(|until| until <= now) {
                    progress.backoff_until = None;
                    pipe.change(|flow| flow.set_paused(false, now));
                }
                if asked || progress.body_at.is_some_and(|at| at <= now) {
                    progress.body_at = None;
                }
                if progress.out.is_empty() && progress.body_at.is_none() {
                    fill_chunks(pipe, &mut progress);
                }
                let finished = progress.out.is_empty() && progress.body_at.is_none() && progress.closed;
                let (late, cut) = {
                    let flow = pipe.flow.borrow();
                    (
                        flow.late_at(FlowSide::Endpoint).map(|(at, _)| at),
                        matches!(flow.source(), BodySource::Cut(_)),
                    )
                };
                if finished {
                    AttemptInput::Wrote { bytes: 0, left: 0 }
                } else if late.is_some_and(|at| at <= now) {
                    AttemptInput::Deadline
                } else if rest.is_some_and(|by| by <= now) {
                    AttemptInput::Tick
                } else {
                    let wake =
                        [rest, late, progress.backoff_until, progress.body_at].into_iter().flatten().min();
                    let writes = !progress.out.is_empty() && progress.backoff_until.is_none() && !cut;
                    let (mut from, mut to) = stream.stream_mut().split();
                    tokio::select! {
                        biased;
                        signal = signals.next_for_stream(state) => signal,
                        read = read(&mut from, answer) => read,
                        wrote = write(&mut to, &mut progress.out), if writes => match wrote {
                            Ok(bytes) => {
                                pipe.streams.spend(bytes as usize);
                                pipe.change(|flow| flow.send(bytes, clock.now()));
                                pipe.client_wake.notify_one();
                                AttemptInput::Wrote { bytes: bytes as usize, left: 1 }
                            }
                            Err(_) => AttemptInput::WriteFailed,
                        },
                        () = pipe.endpoint_wake.notified(), if !writes => AttemptInput::Tick,
                        tick = tick(clock, wake) => tick,
                    }
                }
            }
            (AttemptState::Awaiting | AttemptState::Reading { .. }, Some((stream, answer))) => {
                tokio::select! {
                    biased;
                    read = read(stream.stream_mut(), answer) => read,
                    signal = signals.next_for_stream(state) => signal,
                    _ = tick(clock, by) => AttemptInput::Deadline,
                    tick = tick(clock, rest) => tick,
                }
            }
            (AttemptState::Closing { .. }, parts) => read_remaining(parts, clock, rest).await,
            _ => AttemptInput::GiveUp,
        };
        if !pipe.flow.borrow().is_replayable() {
            handle.stream_committed(pipe.msg);
        }
        outcome = handle.pool(|pool| call.step(pool, input, clock.now()));
        if input == AttemptInput::BackOff && matches!(call.state(), AttemptState::Writing { .. }) {
            let until = handle.pool(|pool| pool.backoff_until(endpoint));
            progress.backoff_until = Some(until);
            pipe.change(|flow| flow.set_paused(true, clock.now()));
        }
    }
}

/// Takes what may leave next, framed as the body is.
fn fill_chunks(pipe: &Pipe, progress: &mut SendProgress) {
    let chunks = pipe.next(READ as u64 * 2);
    let bytes: u64 = chunks.iter().map(|chunk| chunk.len() as u64).sum();
    let chunked = pipe.head.length.is_none();
    if bytes > 0 {
        progress.out.extend(chunked.then(|| (stream::chunk_line(bytes), false)));
        progress.out.extend(chunks.into_iter().map(|chunk| (chunk, true)));
        progress.out.extend(chunked.then_some((stream::CHUNK_END, false)));
    } else if !progress.closed && pipe.flow.borrow().may_finish() {
        progress.closed = true;
        progress.out.extend(chunked.then_some((stream::LAST_CHUNK, false)));
    }
}
