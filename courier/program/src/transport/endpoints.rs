//! The sockets of the delivery calls: moves the bytes of the attempts, which decide in the core.
//!
//! It stands below awc, which gives the word of an interim answer for that of the call, fails a call
//! whose answer begins with 200 and can't be read to its end, lets go unseen what stands behind an
//! answer, and can't bound the connections of all hosts together (README).

use super::clock::Clock;
use super::handle::Handle;
use super::socket;
use crate::fleet::budget::{Conn, ConnectionPermit};
use actix_rt::net::TcpStream;
use actix_rt::time::{sleep, timeout};
use quillmount_core::call::{self, Call, StepOutcome};
use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use quillmount_core::{AnswerReport, CallEnd, DeliveryCall};
use quillmount_policy::Micros;
use quillmount_protocol::delivery::{self, ANSWER_MAX};
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Most answers fit into one read of this.
const READ: usize = 1_024;

/// What a call that is out is told.
#[derive(Default)]
pub struct CallSignals {
    give_up: Cell<bool>,
    back_off: Cell<bool>,
    ended: Cell<bool>,
    late: Cell<bool>,
    changed: Notify,
    /// Another process goes on with the call.
    handover: Notify,
}

impl CallSignals {
    /// A drain says nothing to a call whose first byte may have left, and the others ask at the gate.
    pub fn signal(&self, input: AttemptInput) {
        match input {
            AttemptInput::GiveUp => self.give_up.set(true),
            AttemptInput::BackOff => self.back_off.set(true),
            AttemptInput::Ended => self.ended.set(true),
            _ => return,
        }
        self.changed.notify_one();
    }

    /// Its time on its connection is up.
    pub fn cut(&self) {
        self.late.set(true);
        self.changed.notify_one();
    }

    /// The call is to be given up to another process.
    pub fn release(&self) {
        self.handover.notify_one();
    }

    /// What was told to wait for is told to a call that has begun only.
    pub fn clear_backoff(&self) {
        self.back_off.set(false);
    }

    /// The next word that matters to a stream's attempt. Its time counts from its last byte, which may be later
    /// than its message's time allows: it ends with its message.
    pub async fn next_for_stream(&self, state: AttemptState) -> AttemptInput {
        loop {
            if self.ended.get() && !matches!(state, AttemptState::Connecting | AttemptState::Writing { .. }) {
                return AttemptInput::Deadline;
            }
            if let Some(signal) = self.pending(state) {
                return signal;
            }
            self.changed.notified().await;
        }
    }

    /// The next word that matters to an attempt in this state.
    pub async fn next(&self, state: AttemptState) -> AttemptInput {
        loop {
            if let Some(signal) = self.pending(state) {
                return signal;
            }
            self.changed.notified().await;
        }
    }

    fn pending(&self, state: AttemptState) -> Option<AttemptInput> {
        let unsent = matches!(state, AttemptState::Connecting | AttemptState::Writing { .. });
        match state {
            _ if self.give_up.get() => Some(AttemptInput::GiveUp),
            _ if unsent && self.ended.get() => Some(AttemptInput::Ended),
            _ if self.late.get() => Some(AttemptInput::Deadline),
            AttemptState::Writing { .. } if self.back_off.take() => Some(AttemptInput::BackOff),
            _ => None,
        }
    }
}

/// See [`socket::is_quiet`].
pub fn is_quiet(conn: &Conn) -> bool {
    socket::is_quiet(conn.stream())
}

/// Opens a connection; one that counts has leave for it.
pub async fn connect(addr: SocketAddr, leave: Option<&mut ConnectionPermit>) -> Option<Conn> {
    let conn = match leave {
        None => Conn::Plain(TcpStream::connect(addr).await.ok()?),
        Some(leave) => leave.connect(addr).await?,
    };
    // Else the last part of a larger call waits for the endpoint's acknowledgement.
    conn.stream().set_nodelay(true).ok()?;
    Some(conn)
}

/// Adds to an answer what has come.
pub async fn read(stream: &mut (impl AsyncRead + Unpin), answer: &mut Vec<u8>) -> AttemptInput {
    answer.reserve(READ);
    match stream.read_buf(answer).await {
        Ok(0) => AttemptInput::End,
        Ok(_) => AttemptInput::Read,
        Err(_) => AttemptInput::Reset,
    }
}

/// Writes what is left of a request; from the time `by` on not a byte leaves.
async fn write(stream: &mut TcpStream, left: &[u8], clock: &Clock, by: Option<Micros>) -> AttemptInput {
    match socket::write(stream, left, || by.is_some_and(|by| clock.now() >= by)).await {
        None => AttemptInput::Tick,
        Some(Ok(bytes)) if bytes > 0 => AttemptInput::Wrote { bytes, left: left.len() - bytes },
        Some(_) => AttemptInput::WriteFailed,
    }
}

/// Waits for the time that an attempt's state waits for; for ever where there is none.
pub async fn tick(clock: &Clock, at: Option<Micros>) -> AttemptInput {
    match at {
        Some(at) => sleep(clock.until(at)).await,
        None => std::future::pending().await,
    }
    AttemptInput::Tick
}

/// Reads what the endpoint of a call that is given up still says, if its connection stands.
pub async fn read_remaining(
    parts: Option<(&mut Conn, &mut Vec<u8>)>,
    clock: &Clock,
    rest: Option<Micros>,
) -> AttemptInput {
    let Some((stream, answer)) = parts else { return tick(clock, rest).await };
    tokio::select! {
        biased;
        read = read(stream.stream_mut(), answer) => read,
        tick = tick(clock, rest) => tick,
    }
}

/// A call, and when its time is up.
pub struct TimedCall {
    /// The call.
    pub call: Call<Conn>,
    /// It ends then at the latest.
    pub until: Micros,
}

/// A call at its beginning, or in the middle where another process had it until now.
pub fn begin(order: DeliveryCall, now: Micros) -> TimedCall {
    let until = now.saturating_add(order.timeout);
    let decode = delivery::decoder(&order);
    TimedCall { call: Call::new(order, decode, ANSWER_MAX), until }
}

/// Goes on with a call of another process.
pub fn resume(handle: &Handle, snapshot: call::CallSnapshot, connection: Option<TcpStream>) -> TimedCall {
    let (until, decode) = (snapshot.until, delivery::decoder(&snapshot.order));
    let connection = connection.map(Conn::Plain);
    let call = handle.pool(|pool| Call::resumed(snapshot, decode, ANSWER_MAX, connection, pool));
    TimedCall { call, until }
}

/// What a call came to in this process.
pub enum CallOutcome {
    /// For all of its messages alike, and what its answer says besides.
    Ended(CallEnd, AnswerReport),
    /// The answer tells of each message.
    Each(Vec<CallEnd>, AnswerReport),
    /// Another process goes on with it.
    Released(Box<call::CallSnapshot>, Option<TcpStream>),
}

/// Makes one call, once; `until`: when its time is up.
pub async fn call(
    handle: &Handle,
    TimedCall { mut call, until }: TimedCall,
    signals: &CallSignals,
    mut leave: Option<&mut ConnectionPermit>,
) -> CallOutcome {
    let (clock, addr) = (&handle.clock, call.order.addr);
    let deadline = sleep(clock.until(until));
    tokio::pin!(deadline);
    let mut request = Vec::new();
    if handle.lifecycle().is_releasing() {
        return release(handle, call, until);
    }
    let mut outcome = match call.state() {
        AttemptState::New => start(handle, &mut call, leave.as_deref_mut()),
        AttemptState::Writing { written: 1.. } => {
            request = delivery::encode(&call.order);
            StepOutcome { end: None, finish: false, to_close: None }
        }
        _ => StepOutcome { end: None, finish: false, to_close: None },
    };
    loop {
        // What is to be closed is closed with it.
        drop(outcome.to_close.take());
        match outcome.end {
            Some(CallEnd::Each) => {
                let (ends, wait) = delivery::each(call.attempt().answer(), &call.order);
                return CallOutcome::Each(ends, AnswerReport { wait, ..answer_report(handle, &call) });
            }
            Some(end) => return CallOutcome::Ended(end, answer_report(handle, &call)),
            None => {}
        }
        if std::mem::take(&mut outcome.finish)
            && let Some((stream, _)) = call.parts()
        {
            // Where it can't be told, the connection is gone already.
            let _ = stream.stream_mut().shutdown().await;
        }
        let (state, rest) = (call.state(), call.attempt().wake_at());
        if matches!(state, AttemptState::Writing { written: 0 }) {
            signals.clear_backoff();
            request = delivery::encode(&call.order);
        }
        if handle.lifecycle().is_releasing() {
            return release(handle, call, until);
        }
        let input = match (state, call.parts()) {
            (AttemptState::Connecting, _) => tokio::select! {
                biased;
                // The word first: it may keep the call from leaving.
                () = signals.handover.notified() => continue,
                signal = signals.next(state) => signal,
                stream = timeout(handle.connect, connect(addr, leave.as_deref_mut())) => match stream.ok().flatten() {
                    Some(stream) => {
                        outcome = handle.pool(|pool| call.connected(pool, stream, clock.now()));
                        continue;
                    }
                    None => AttemptInput::Refused,
                },
                () = &mut deadline => AttemptInput::Deadline,
                tick = tick(clock, rest) => tick,
            },
            (AttemptState::Writing { written }, Some((stream, _))) => {
                tokio::select! {
                    biased;
                    () = signals.handover.notified() => continue,
                    signal = signals.next(state) => signal,
                    wrote = write(stream.stream_mut(), &request[written..], clock, rest) => wrote,
                    () = &mut deadline => AttemptInput::Deadline,
                    tick = tick(clock, rest) => tick,
                }
            }
            (AttemptState::Awaiting | AttemptState::Reading { .. }, Some((stream, answer))) => {
                request = Vec::new();
                tokio::select! {
                    biased;
                    read = read(stream.stream_mut(), answer) => read,
                    () = signals.handover.notified() => continue,
                    signal = signals.next(state) => signal,
                    () = &mut deadline => AttemptInput::Deadline,
                    tick = tick(clock, rest) => tick,
                }
            }
            (AttemptState::Closing { .. }, parts) => read_remaining(parts, clock, rest).await,
            // No connection where there has to be one can't be; it would prove nothing.
            _ => AttemptInput::GiveUp,
        };
        outcome = handle.pool(|pool| call.step(pool, input, clock.now()));
        if outcome.to_close.is_some() {
            let bytes = call.attempt().answer().len();
            tracing::debug!(target: "quillmount::transport::providers", "connection closed: {input:?} while {state:?}, {bytes} bytes of an answer");
        }
    }
}

/// What the answer says beside how the messages fared: a report of load, where the settings name one.
fn answer_report(handle: &Handle, call: &Call<Conn>) -> AnswerReport {
    let answer = call.attempt().answer();
    let reads_load = !answer.is_empty() && handle.hub.borrow().router.reads_load_reports();
    AnswerReport { load: if reads_load { delivery::load(answer) } else { Vec::new() }, wait: 0 }
}

/// Begins on what rests, or on what it has leave for where its partner's connections are counted.
pub fn start(
    handle: &Handle,
    call: &mut Call<Conn>,
    leave: Option<&mut ConnectionPermit>,
) -> StepOutcome<Conn> {
    let now = handle.clock.now();
    handle.pool(|pool| match leave {
        None => call.start(pool, now, is_quiet),
        Some(leave) => call.start_on(pool, leave.resting.take(), now),
    })
}

fn release(handle: &Handle, call: Call<Conn>, until: Micros) -> CallOutcome {
    let (snapshot, connection) = handle.pool(|pool| call.snapshot(pool, until));
    CallOutcome::Released(Box::new(snapshot), connection.and_then(Conn::into_stream))
}
