//! The sockets of a streamed invocation: one task reads the consumer's body, another writes it to a provider, and
//! both go by the same [`Flow`].

use super::handle::Handle;
use super::providers::{self, Words, last_words, read, tick};
use crate::fleet::budget::Leave;
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use quillmount_core::call::Call;
use quillmount_core::flow::{Cut, Flow, Pace, Source, Who};
use quillmount_core::machine::attempt::{Input, State};
use quillmount_core::router::StreamEnd;
use quillmount_core::turns::Turns;
use quillmount_core::{CallEnd, InvokerCall, StreamHead};
use quillmount_protocol::invoker::{self, ANSWER_MAX};
use quillmount_protocol::stream::{self, Body, Digest, Next};
use spurshore::{Micros, MsgId};
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
/// A provider that says nothing to `Expect: 100-continue` gets the body after this: it may not know the header.
const CONTINUE: Micros = 300_000;
/// A consumer waits 400 ms for a word: by then its stream has begun, or is turned away.
pub const ADMIT: Duration = Duration::from_millis(300);

/// What may be streamed, and how.
#[derive(Clone, Debug)]
pub struct Rules {
    /// None: every class.
    pub classes: Vec<String>,
    pub largest: u64,
    pub longest: Micros,
    pub window: u64,
    pub turn: u64,
    pub consumer: Pace,
    pub provider: Pace,
}

impl Rules {
    /// Whether a class may stream.
    pub fn allow(&self, class: &str) -> bool {
        self.classes.is_empty() || self.classes.iter().any(|c| c == class)
    }
}

/// What the streams of a courier share.
pub struct Streams {
    turns: RefCell<Turns>,
    keeping: Cell<bool>,
    turned: Notify,
}

/// Whoever keeps the turn, until its task goes on or is gone.
struct Keeper<'a>(&'a Streams);

impl Drop for Keeper<'_> {
    fn drop(&mut self) {
        self.0.keeping.set(false);
        self.0.turned.notify_waiters();
    }
}

impl Streams {
    /// `quantum`: bytes that all of them may move in one turn of the loop.
    pub fn new(quantum: u64) -> Self {
        Streams { turns: RefCell::new(Turns::new(quantum)), keeping: Cell::new(false), turned: Notify::new() }
    }

    /// Waits for a turn in which something may be moved.
    async fn turn(&self) {
        while !self.turns.borrow().may() {
            if self.keeping.replace(true) {
                self.turned.notified().await;
            } else {
                let keeper = Keeper(self);
                // All else that is ready runs first.
                tokio::task::yield_now().await;
                self.turns.borrow_mut().next();
                drop(keeper);
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
    /// The consumer's side may go on; so may the provider's.
    room: Notify,
    bytes: Notify,
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
            room: Notify::new(),
            bytes: Notify::new(),
        })
    }

    /// The final answer is known.
    pub fn ends(&self, end: StreamEnd) {
        self.end.set(Some(end));
        self.room.notify_one();
    }

    /// Its body will never be whole.
    pub fn cut(&self, why: Cut, now: Micros) {
        self.change(|flow| flow.cut(why, now));
        self.bytes.notify_one();
    }

    fn change<T>(&self, act: impl FnOnce(&mut Flow) -> T) -> T {
        let mut flow = self.flow.borrow_mut();
        let done = act(&mut flow);
        // What is dropped of the window is let go here.
        let kept = flow.received() - flow.base();
        let mut parts = self.parts.borrow_mut();
        let mut surplus = parts.iter().map(|p| p.len() as u64).sum::<u64>().saturating_sub(kept);
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
        self.bytes.notify_one();
    }

    /// What may leave now, cut from the window: up to so many bytes in a few pieces.
    fn next(&self, most: u64) -> Vec<Bytes> {
        let flow = self.flow.borrow();
        let mut left = flow.sendable().min(most);
        let mut skip = flow.sent() - flow.base();
        let mut pieces = Vec::new();
        for part in self.parts.borrow().iter() {
            if left == 0 || pieces.len() == SLICES {
                break;
            }
            let length = part.len() as u64;
            if skip >= length {
                skip -= length;
                continue;
            }
            let take = (length - skip).min(left);
            pieces.push(part.slice(skip as usize..(skip + take) as usize));
            (left, skip) = (left - take, 0);
        }
        pieces
    }
}

/// Why a stream does not go on.
#[derive(Clone, Copy, Debug)]
pub enum Fails {
    /// Its body will never be whole.
    Cut(Cut),
    /// No call of it has begun in time.
    Unbegun,
}

/// Reads a consumer's body into the pipe, and returns the final answer once there is one.
pub async fn take(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    handle: &Handle,
    pipe: &Pipe,
    (mut body, mut digest): (Body, Option<Digest>),
    expects: bool,
    fails: impl Fn(Fails),
) -> StreamEnd {
    let clock = &handle.clock;
    let (mut asked, admit) = (!expects, actix_rt::time::Instant::now() + ADMIT);
    // Whether a call is out, or one is still hoped for, is asked at that time, and after each that fails.
    let mut admits = true;
    loop {
        while pipe.flow.borrow().source() == Source::Coming {
            let room = pipe.flow.borrow().room();
            match body.next(buf) {
                Next::Body(n) => {
                    let n = n.min(usize::try_from(room).unwrap_or(usize::MAX));
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
                Next::End if digest.take().is_none_or(Digest::holds) => {
                    pipe.change(|flow| flow.is_whole(clock.now()));
                    pipe.bytes.notify_one();
                }
                Next::End => fails(Fails::Cut(Cut::Digest)),
                Next::Bad(why) => fails(Fails::Cut(why)),
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
        let (room, source, late) = {
            let flow = pipe.flow.borrow();
            (flow.room(), flow.source(), flow.late_at(Who::Consumer).map(|(at, _)| at).filter(|_| begun))
        };
        let reads = begun && room > 0 && source == Source::Coming;
        if reads {
            pipe.streams.turn().await;
            buf.reserve(READ);
        }
        let most = READ.min(buf.capacity() - buf.len());
        tokio::select! {
            biased;
            () = pipe.room.notified() => admits = true,
            () = tokio::time::sleep_until(admit), if !begun && admits => {
                admits = false;
                fails(Fails::Unbegun);
            }
            n = async { stream.read_buf(&mut (&mut *buf).limit(most)).await }, if reads => match n {
                Ok(n) if n > 0 => {
                    handle.count(|c| c.stream_bytes += n as u64);
                    pipe.streams.spend(n);
                }
                _ => fails(Fails::Cut(Cut::Gone)),
            },
            _ = tick(clock, late) => {
                let late = pipe.flow.borrow().late(Who::Consumer, clock.now());
                if let Some(late) = late {
                    fails(Fails::Cut(Cut::Late(late)));
                }
            }
        }
    }
}

/// One piece on its way to a provider, and whether it is the body's.
type Piece = (Bytes, bool);

/// Writes some of these pieces; returns how many bytes of the body were among it.
async fn write(to: &mut (impl AsyncWriteExt + Unpin), out: &mut VecDeque<Piece>) -> std::io::Result<u64> {
    let slices: Vec<IoSlice<'_>> = out.iter().map(|(piece, _)| IoSlice::new(piece)).collect();
    let mut wrote = to.write_vectored(&slices).await?;
    if wrote == 0 {
        return Err(std::io::ErrorKind::WriteZero.into());
    }
    let mut of_body = 0;
    while let Some((piece, body)) = out.front_mut() {
        let some = wrote.min(piece.len());
        if some == 0 && !piece.is_empty() {
            break;
        }
        piece.advance(some);
        wrote -= some;
        of_body += if *body { some as u64 } else { 0 };
        if !piece.is_empty() {
            break;
        }
        out.pop_front();
    }
    Ok(of_body)
}

/// What a call of a stream has written, and waits for.
#[derive(Default)]
struct Progress {
    out: VecDeque<Piece>,
    headed: bool,
    /// The last chunk is written, or on its way.
    closed: bool,
    /// The body is not sent before then, unless the provider asks for it.
    body_at: Option<Micros>,
    hold: Option<Micros>,
}

/// Makes one call of a stream, once; `written` is told when its last byte has left.
pub async fn call(
    handle: &Handle,
    order: InvokerCall,
    words: &Words,
    pipe: &Pipe,
    leave: Option<&mut Leave>,
    written: impl Fn(),
) -> CallEnd {
    let end = make(handle, order, words, pipe, leave, written).await;
    pipe.change(|flow| flow.end(handle.clock.now()));
    pipe.room.notify_one();
    end
}

async fn make(
    handle: &Handle,
    order: InvokerCall,
    words: &Words,
    pipe: &Pipe,
    mut leave: Option<&mut Leave>,
    written: impl Fn(),
) -> CallEnd {
    let (clock, addr, provider) = (&handle.clock, order.addr, order.provider);
    let answer_within = order.timeout;
    let mut by = None;
    let mut call = Call::streamed(order, invoker::decode, ANSWER_MAX);
    let mut p = Progress::default();
    let mut told = providers::start(handle, &mut call, leave.as_deref_mut());
    loop {
        drop(told.gone);
        if let Some(end) = told.end {
            return end;
        }
        if told.finish
            && let Some((stream, _)) = call.parts()
        {
            let _ = stream.stream_mut().shutdown().await;
        }
        let (state, rest) = (call.state(), call.attempt().wake_at());
        if matches!(state, State::Writing { .. }) && !p.headed {
            words.forget_hold();
            if !pipe.change(|flow| flow.begin(clock.now())) {
                told = handle.pool(|pool| call.step(pool, Input::GiveUp, clock.now()));
                continue;
            }
            let head = stream::encode_head(&call.order, &pipe.head);
            p = Progress { headed: true, body_at: Some(clock.now() + CONTINUE), ..Progress::default() };
            p.out.push_back((Bytes::from(head), false));
            pipe.begun.set(true);
            pipe.room.notify_one();
        }
        if state == State::Awaiting && by.is_none() {
            // From here on it is the destination's time.
            by = Some(clock.now() + answer_within);
            written();
        }
        let asked = call.attempt().is_asked();
        let input = match (state, call.parts()) {
            (State::Connecting, _) => tokio::select! {
                biased;
                word = words.heard_by_stream(state) => word,
                stream = timeout(handle.connect, providers::connect(addr, leave.as_deref_mut())) => match stream.ok().flatten() {
                    Some(stream) => {
                        told = handle.pool(|pool| call.connected(pool, stream, clock.now()));
                        continue;
                    }
                    None => Input::Refused,
                },
                tick = tick(clock, rest) => tick,
            },
            (State::Writing { .. }, Some((stream, answer))) => {
                // Before it is looked at what may be written: time passes here.
                if !p.out.is_empty() {
                    pipe.streams.turn().await;
                }
                let now = clock.now();
                if p.hold.is_some_and(|hold| hold <= now) {
                    p.hold = None;
                    pipe.change(|flow| flow.pause(false, now));
                }
                if asked || p.body_at.is_some_and(|at| at <= now) {
                    p.body_at = None;
                }
                if p.out.is_empty() && p.body_at.is_none() {
                    fill(pipe, &mut p);
                }
                let finished = p.out.is_empty() && p.body_at.is_none() && p.closed;
                let (late, cut) = {
                    let flow = pipe.flow.borrow();
                    (flow.late_at(Who::Provider).map(|(at, _)| at), matches!(flow.source(), Source::Cut(_)))
                };
                if finished {
                    Input::Wrote { bytes: 0, left: 0 }
                } else if late.is_some_and(|at| at <= now) {
                    Input::Deadline
                } else if rest.is_some_and(|by| by <= now) {
                    Input::Tick
                } else {
                    let wake = [rest, late, p.hold, p.body_at].into_iter().flatten().min();
                    let writes = !p.out.is_empty() && p.hold.is_none() && !cut;
                    let (mut from, mut to) = stream.stream_mut().split();
                    tokio::select! {
                        biased;
                        word = words.heard_by_stream(state) => word,
                        read = read(&mut from, answer) => read,
                        wrote = write(&mut to, &mut p.out), if writes => match wrote {
                            Ok(bytes) => {
                                pipe.streams.spend(bytes as usize);
                                pipe.change(|flow| flow.send(bytes, clock.now()));
                                pipe.room.notify_one();
                                Input::Wrote { bytes: bytes as usize, left: 1 }
                            }
                            Err(_) => Input::WriteFailed,
                        },
                        () = pipe.bytes.notified(), if !writes => Input::Tick,
                        tick = tick(clock, wake) => tick,
                    }
                }
            }
            (State::Awaiting | State::Reading { .. }, Some((stream, answer))) => {
                tokio::select! {
                    biased;
                    read = read(stream.stream_mut(), answer) => read,
                    word = words.heard_by_stream(state) => word,
                    _ = tick(clock, by) => Input::Deadline,
                    tick = tick(clock, rest) => tick,
                }
            }
            (State::Closing { .. }, parts) => last_words(parts, clock, rest).await,
            _ => Input::GiveUp,
        };
        if !pipe.flow.borrow().is_replayable() {
            handle.stream_committed(pipe.msg);
        }
        told = handle.pool(|pool| call.step(pool, input, clock.now()));
        if input == Input::Hold && matches!(call.state(), State::Writing { .. }) {
            let until = handle.pool(|pool| pool.held_until(provider));
            p.hold = Some(until);
            pipe.change(|flow| flow.pause(true, clock.now()));
        }
    }
}

/// Takes what may leave next, framed as the body is.
fn fill(pipe: &Pipe, p: &mut Progress) {
    let pieces = pipe.next(READ as u64 * 2);
    let bytes: u64 = pieces.iter().map(|piece| piece.len() as u64).sum();
    let chunked = pipe.head.length.is_none();
    if bytes > 0 {
        p.out.extend(chunked.then(|| (stream::chunk_line(bytes), false)));
        p.out.extend(pieces.into_iter().map(|piece| (piece, true)));
        p.out.extend(chunked.then_some((stream::CHUNK_END, false)));
    } else if !p.closed && pipe.flow.borrow().may_finish() {
        p.closed = true;
        p.out.extend(chunked.then_some((stream::LAST_CHUNK, false)));
    }
}
