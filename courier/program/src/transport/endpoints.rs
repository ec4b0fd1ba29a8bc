//! The sockets of delivery calls: moves the bytes of the attempts, whose state machines are in the core.
//!
//! It works on plain sockets instead of `awc`, which takes the status of an interim answer for that of the call, fails a
//! call whose answer begins with 200 and can't be read to its end, discards unseen what follows an answer, and can't
//! bound the connections of all hosts together (README).

use super::clock::Clock;
use super::connection::{ConnectionPermit, EndpointStream};
use super::handle::Handle;
use super::signals::CallSignals;
use super::socket;
use actix_rt::net::TcpStream;
use actix_rt::time::{sleep, timeout};
use quillmount_core::call::{self, Call, StepOutcome};
use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use quillmount_core::{AnswerReport, CallEnd, DeliveryCall};
use quillmount_policy::Micros;
use quillmount_protocol::delivery::{self, RESPONSE_MAX};
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::time::Sleep;

/// Bytes that one read may take at least; most answers fit.
const READ: usize = 1_024;
/// The target of the line on closed connections, which operators filter by; it has the module's earlier name.
const LOG_TARGET: &str = "quillmount::transport::providers";

/// A call, and when its time is up.
pub struct TimedCall {
    /// The call.
    pub call: Call<EndpointStream>,
    /// It ends then at the latest.
    pub until: Micros,
}

/// What a call came to in this process.
pub enum CallOutcome {
    /// The same for all of its messages, and what its answer reports besides.
    Ended(CallEnd, AnswerReport),
    /// The answer has an end for each message.
    Each(Vec<CallEnd>, AnswerReport),
    /// Another process is to resume it.
    Released(Box<call::CallSnapshot>, Option<TcpStream>),
}

/// See [`socket::is_quiet`].
pub fn is_quiet(stream: &EndpointStream) -> bool {
    socket::is_quiet(stream.stream())
}

/// Opens a connection; one that counts needs its permit.
pub async fn connect(addr: SocketAddr, permit: Option<&mut ConnectionPermit>) -> Option<EndpointStream> {
    let stream = match permit {
        None => EndpointStream::Plain(TcpStream::connect(addr).await.ok()?),
        Some(permit) => permit.connect(addr).await?,
    };
    // Otherwise the last part of a larger call waits for the endpoint's acknowledgement.
    stream.stream().set_nodelay(true).ok()?;
    Some(stream)
}

/// Reads what has come of an answer, and appends it.
pub async fn read(stream: &mut (impl AsyncRead + Unpin), answer: &mut Vec<u8>) -> AttemptInput {
    answer.reserve(READ);
    match stream.read_buf(answer).await {
        Ok(0) => AttemptInput::PeerClosed,
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

/// Waits until this time, for ever where there is none, and reports it.
pub async fn tick(clock: &Clock, at: Option<Micros>) -> AttemptInput {
    clock.sleep_until(at).await;
    AttemptInput::Tick
}

/// Reads what the endpoint of a call that was given up still sends, if its connection is open.
pub async fn read_remaining(
    parts: Option<(&mut EndpointStream, &mut Vec<u8>)>,
    clock: &Clock,
    wake_at: Option<Micros>,
) -> AttemptInput {
    let Some((stream, answer)) = parts else { return tick(clock, wake_at).await };
    tokio::select! {
        biased;
        read = read(stream.stream_mut(), answer) => read,
        tick = tick(clock, wake_at) => tick,
    }
}

/// A call at its beginning.
pub fn begin(order: DeliveryCall, now: Micros) -> TimedCall {
    let until = now.saturating_add(order.timeout);
    let decode = delivery::decoder(&order);
    TimedCall { call: Call::new(order, decode, RESPONSE_MAX), until }
}

/// Resumes a call of another process.
pub fn resume(handle: &Handle, snapshot: call::CallSnapshot, connection: Option<TcpStream>) -> TimedCall {
    let (until, decode) = (snapshot.until, delivery::decoder(&snapshot.delivery));
    let connection = connection.map(EndpointStream::Plain);
    let call = handle.pool(|pool| Call::resumed(snapshot, decode, RESPONSE_MAX, connection, pool));
    TimedCall { call, until }
}

/// Begins a call on an idle connection of the pool, or with what it has a permit for where connections are counted.
pub fn start(
    handle: &Handle,
    call: &mut Call<EndpointStream>,
    permit: Option<&mut ConnectionPermit>,
) -> StepOutcome<EndpointStream> {
    let now = handle.clock.now();
    handle.pool(|pool| match permit {
        None => call.start(pool, now, is_quiet),
        Some(permit) => call.start_on(pool, permit.take_idle(), now),
    })
}

/// Closes the sending side of a call's connection: its request is complete.
pub async fn finish_request(call: &mut Call<EndpointStream>) {
    if let Some((stream, _)) = call.connection_and_answer() {
        // Where this fails, the connection is gone already.
        let _ = stream.stream_mut().shutdown().await;
    }
}

/// Makes one call, once, from where it stands.
pub async fn call(
    handle: &Handle,
    TimedCall { call, until }: TimedCall,
    signals: &CallSignals,
    permit: Option<&mut ConnectionPermit>,
) -> CallOutcome {
    let deadline = sleep(handle.clock.until(until));
    tokio::pin!(deadline);
    let call = CallDriver { handle, signals, permit, call, until, deadline, request: Vec::new() };
    call.run().await
}

/// What has happened to a call.
enum Progress {
    Input(AttemptInput),
    Connected(EndpointStream),
    /// Another process is to resume the call.
    Transferred,
}

/// Drives one call's state machine by its socket, its signals and the time.
struct CallDriver<'a> {
    handle: &'a Handle,
    signals: &'a CallSignals,
    permit: Option<&'a mut ConnectionPermit>,
    call: Call<EndpointStream>,
    until: Micros,
    deadline: Pin<&'a mut Sleep>,
    /// The bytes of the request, while it is written.
    request: Vec<u8>,
}

impl CallDriver<'_> {
    async fn run(mut self) -> CallOutcome {
        let handle = self.handle;
        if handle.lifecycle().is_releasing() {
            return self.release();
        }
        let mut outcome = self.begin();
        loop {
            // A connection that is to be closed is closed here.
            drop(outcome.to_close.take());
            if let Some(end) = outcome.end {
                return self.finish(end);
            }
            if std::mem::take(&mut outcome.finish) {
                finish_request(&mut self.call).await;
            }
            let state = self.call.state();
            if matches!(state, AttemptState::Writing { written: 0 }) {
                self.signals.clear_backoff();
                self.request = delivery::encode(&self.call.delivery);
            }
            if handle.lifecycle().is_releasing() {
                return self.release();
            }
            let progress = match state {
                AttemptState::Connecting => self.connect().await,
                AttemptState::Writing { written } => self.write(state, written).await,
                AttemptState::Awaiting | AttemptState::Reading { .. } => self.read_answer(state).await,
                AttemptState::Closing { .. } => {
                    let wake_at = self.call.attempt().wake_at();
                    Progress::Input(
                        read_remaining(self.call.connection_and_answer(), &handle.clock, wake_at).await,
                    )
                }
                _ => Progress::Input(AttemptInput::GiveUp),
            };
            match progress {
                Progress::Transferred => {}
                Progress::Connected(stream) => {
                    outcome = handle.pool(|pool| self.call.connected(pool, stream, handle.clock.now()));
                }
                Progress::Input(input) => outcome = self.step(state, input),
            }
        }
    }

    /// The first action of a call: starts it, or resumes one that another process has begun.
    fn begin(&mut self) -> StepOutcome<EndpointStream> {
        match self.call.state() {
            AttemptState::New => return start(self.handle, &mut self.call, self.permit.as_deref_mut()),
            AttemptState::Writing { written: 1.. } => self.request = delivery::encode(&self.call.delivery),
            _ => {}
        }
        StepOutcome { end: None, finish: false, to_close: None }
    }

    fn step(&mut self, state: AttemptState, input: AttemptInput) -> StepOutcome<EndpointStream> {
        let now = self.handle.clock.now();
        let outcome = self.handle.pool(|pool| self.call.step(pool, input, now));
        if outcome.to_close.is_some() {
            let bytes = self.call.attempt().answer().len();
            tracing::debug!(
                target: LOG_TARGET,
                "connection closed: {input:?} while {state:?}, {bytes} bytes of an answer"
            );
        }
        outcome
    }

    async fn connect(&mut self) -> Progress {
        let (handle, addr) = (self.handle, self.call.delivery.addr);
        let wake_at = self.call.attempt().wake_at();
        let input = tokio::select! {
            biased;
            // The signals first: they may end the call before its first byte leaves.
            () = self.signals.released() => return Progress::Transferred,
            signal = self.signals.next(AttemptState::Connecting) => signal,
            stream = timeout(handle.connect_timeout, connect(addr, self.permit.as_deref_mut())) => {
                match stream.ok().flatten() {
                    Some(stream) => return Progress::Connected(stream),
                    None => AttemptInput::Refused,
                }
            }
            () = self.deadline.as_mut() => AttemptInput::Deadline,
            tick = tick(&handle.clock, wake_at) => tick,
        };
        Progress::Input(input)
    }

    async fn write(&mut self, state: AttemptState, written: usize) -> Progress {
        let clock = &self.handle.clock;
        let wake_at = self.call.attempt().wake_at();
        // A call that writes has a connection; without one its answer would prove nothing.
        let Some((stream, _)) = self.call.connection_and_answer() else {
            return Progress::Input(AttemptInput::GiveUp);
        };
        let input = tokio::select! {
            biased;
            () = self.signals.released() => return Progress::Transferred,
            signal = self.signals.next(state) => signal,
            wrote = write(stream.stream_mut(), &self.request[written..], clock, wake_at) => wrote,
            () = self.deadline.as_mut() => AttemptInput::Deadline,
            tick = tick(clock, wake_at) => tick,
        };
        Progress::Input(input)
    }

    async fn read_answer(&mut self, state: AttemptState) -> Progress {
        let clock = &self.handle.clock;
        let wake_at = self.call.attempt().wake_at();
        let Some((stream, answer)) = self.call.connection_and_answer() else {
            return Progress::Input(AttemptInput::GiveUp);
        };
        self.request = Vec::new();
        let input = tokio::select! {
            biased;
            read = read(stream.stream_mut(), answer) => read,
            () = self.signals.released() => return Progress::Transferred,
            signal = self.signals.next(state) => signal,
            () = self.deadline.as_mut() => AttemptInput::Deadline,
            tick = tick(clock, wake_at) => tick,
        };
        Progress::Input(input)
    }

    /// The outcome of a call that has ended.
    fn finish(self, end: CallEnd) -> CallOutcome {
        let report = self.report();
        if end != CallEnd::Each {
            return CallOutcome::Ended(end, report);
        }
        let delivery::BundleResults { ends, retry_after: wait } =
            delivery::bundle_results(self.call.attempt().answer(), &self.call.delivery);
        CallOutcome::Each(ends, AnswerReport { wait, ..report })
    }

    /// What the answer reports beside its messages' ends: the endpoint's load, where the settings name a header for it.
    fn report(&self) -> AnswerReport {
        let answer = self.call.attempt().answer();
        let reads_load = !answer.is_empty() && self.handle.hub.borrow().router.reads_load_reports();
        AnswerReport { load: if reads_load { delivery::load_report(answer) } else { Vec::new() }, wait: 0 }
    }

    /// Releases the call to another process.
    fn release(self) -> CallOutcome {
        let CallDriver { handle, call, until, .. } = self;
        let (snapshot, connection) = handle.pool(|pool| call.snapshot(pool, until));
        CallOutcome::Released(Box::new(snapshot), connection.and_then(EndpointStream::into_stream))
    }
}
