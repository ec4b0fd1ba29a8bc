//! The endpoint's side of a stream: one delivery call that sends the body while it comes.

use super::{CHUNK, Pipe};
use crate::transport::connection::{ConnectionPermit, EndpointStream};
use crate::transport::endpoints::{self, read, read_remaining, tick};
use crate::transport::handle::Handle;
use crate::transport::signals::CallSignals;
use actix_rt::time::timeout;
use bytes::{Buf, Bytes};
use quillmount_core::call::{Call, StepOutcome};
use quillmount_core::flow::{BodySource, FlowSide};
use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use quillmount_core::{CallEnd, DeliveryCall};
use quillmount_policy::Micros;
use quillmount_protocol::delivery::{self, RESPONSE_MAX};
use quillmount_protocol::stream;
use std::collections::VecDeque;
use std::io::IoSlice;
use tokio::io::AsyncWriteExt;

/// An endpoint that does not answer `Expect: 100-continue` gets the body after this: it may not know the header.
const CONTINUE_TIMEOUT: Micros = 300_000;
/// Bytes of a body that are queued for writing at once.
const OUTGOING_MAX: u64 = 2 * CHUNK as u64;

/// Bytes on their way to an endpoint.
struct OutgoingChunk {
    bytes: Bytes,
    /// They are of the body, and neither of the head nor of the framing.
    is_body: bool,
}

impl OutgoingChunk {
    fn body(bytes: Bytes) -> Self {
        OutgoingChunk { bytes, is_body: true }
    }

    fn framing(bytes: Bytes) -> Self {
        OutgoingChunk { bytes, is_body: false }
    }
}

/// What a call of a stream has written, and waits for.
#[derive(Default)]
struct SendProgress {
    out: VecDeque<OutgoingChunk>,
    /// The head is written, or on its way.
    headed: bool,
    /// The last chunk is written, or on its way.
    closed: bool,
    /// The body is not sent before then, unless the endpoint asks for it.
    body_at: Option<Micros>,
    /// The endpoint has asked to wait until then.
    backoff_until: Option<Micros>,
}

impl SendProgress {
    /// Whether more of the body may be queued for writing.
    fn is_drained(&self) -> bool {
        self.out.is_empty() && self.body_at.is_none()
    }
}

/// One call of a stream.
pub struct StreamCall<'a> {
    handle: &'a Handle,
    signals: &'a CallSignals,
    pipe: &'a Pipe,
    permit: Option<&'a mut ConnectionPermit>,
    call: Call<EndpointStream>,
    progress: SendProgress,
    /// When the endpoint has to have answered; set once the request is written.
    answer_deadline: Option<Micros>,
}

impl<'a> StreamCall<'a> {
    /// A call of this order, whose body comes through `pipe`; `permit`: for its connection, where the destination's
    /// connections are counted.
    pub fn new(
        handle: &'a Handle,
        order: DeliveryCall,
        signals: &'a CallSignals,
        pipe: &'a Pipe,
        permit: Option<&'a mut ConnectionPermit>,
    ) -> Self {
        StreamCall {
            handle,
            signals,
            pipe,
            permit,
            call: Call::streamed(order, delivery::decode, RESPONSE_MAX),
            progress: SendProgress::default(),
            answer_deadline: None,
        }
    }

    /// Makes the call, once; `on_written` is called when its last byte has left.
    pub async fn run(mut self, on_written: impl Fn()) -> CallEnd {
        let end = self.drive(on_written).await;
        // The connection is closed before the client's side goes on.
        let StreamCall { handle, pipe, call, .. } = self;
        drop(call);
        pipe.change(|flow| flow.end_attempt(handle.clock.now()));
        pipe.client_wake.notify_one();
        end
    }

    async fn drive(&mut self, on_written: impl Fn()) -> CallEnd {
        let handle = self.handle;
        let mut outcome = endpoints::start(handle, &mut self.call, self.permit.as_deref_mut());
        loop {
            drop(outcome.to_close);
            if let Some(end) = outcome.end {
                return end;
            }
            if outcome.finish {
                endpoints::finish_request(&mut self.call).await;
            }
            let state = self.call.state();
            if matches!(state, AttemptState::Writing { .. }) && !self.progress.headed && !self.begin_request()
            {
                outcome = self.step(AttemptInput::GiveUp);
                continue;
            }
            if state == AttemptState::Awaiting && self.answer_deadline.is_none() {
                // From here on the destination's own timeout counts.
                self.answer_deadline = Some(handle.clock.now() + self.call.delivery.timeout);
                on_written();
            }
            let input = match state {
                AttemptState::Connecting => match self.connect().await {
                    Ok(conn) => {
                        outcome = handle.pool(|pool| self.call.connected(pool, conn, handle.clock.now()));
                        continue;
                    }
                    Err(input) => input,
                },
                AttemptState::Writing { .. } => self.send_body(state).await,
                AttemptState::Awaiting | AttemptState::Reading { .. } => self.read_answer(state).await,
                AttemptState::Closing { .. } => {
                    let wake_at = self.call.attempt().wake_at();
                    read_remaining(self.call.connection_and_answer(), &handle.clock, wake_at).await
                }
                _ => AttemptInput::GiveUp,
            };
            if !self.pipe.flow.borrow().is_replayable() {
                handle.stream_committed(self.pipe.msg);
            }
            outcome = self.step(input);
            if input == AttemptInput::BackOff && matches!(self.call.state(), AttemptState::Writing { .. }) {
                self.back_off();
            }
        }
    }

    fn step(&mut self, input: AttemptInput) -> StepOutcome<EndpointStream> {
        let now = self.handle.clock.now();
        self.handle.pool(|pool| self.call.step(pool, input, now))
    }

    /// Queues the head of the request; false if the body can't be sent from its beginning any more.
    fn begin_request(&mut self) -> bool {
        let clock = &self.handle.clock;
        self.signals.clear_backoff();
        if !self.pipe.change(|flow| flow.begin_attempt(clock.now())) {
            return false;
        }
        let head = stream::encode_head(&self.call.delivery, &self.pipe.head);
        self.progress = SendProgress {
            headed: true,
            body_at: Some(clock.now() + CONTINUE_TIMEOUT),
            ..SendProgress::default()
        };
        self.progress.out.push_back(OutgoingChunk::framing(Bytes::from(head)));
        self.pipe.begun.set(true);
        self.pipe.client_wake.notify_one();
        true
    }

    /// Sends nothing more until the endpoint's backoff is over.
    fn back_off(&mut self) {
        let endpoint = self.call.delivery.endpoint;
        let until = self.handle.pool(|pool| pool.backoff_until(endpoint));
        self.progress.backoff_until = Some(until);
        self.pipe.change(|flow| flow.set_paused(true, self.handle.clock.now()));
    }

    /// Opens a connection; or what has happened instead.
    async fn connect(&mut self) -> Result<EndpointStream, AttemptInput> {
        let (handle, addr) = (self.handle, self.call.delivery.addr);
        let wake_at = self.call.attempt().wake_at();
        tokio::select! {
            biased;
            signal = self.signals.next_for_stream(AttemptState::Connecting) => Err(signal),
            conn = timeout(handle.connect_timeout, endpoints::connect(addr, self.permit.as_deref_mut())) => {
                conn.ok().flatten().ok_or(AttemptInput::Refused)
            }
            tick = tick(&handle.clock, wake_at) => Err(tick),
        }
    }

    /// Sends what may be sent of the request, and looks for an early answer.
    async fn send_body(&mut self, state: AttemptState) -> AttemptInput {
        if self.call.connection_and_answer().is_none() {
            return AttemptInput::GiveUp;
        }
        // Before it is decided what may be written: time passes here.
        if !self.progress.out.is_empty() {
            self.pipe.streams.turn().await;
        }
        let now = self.handle.clock.now();
        self.queue_body(now);
        if self.progress.is_drained() && self.progress.closed {
            return AttemptInput::Wrote { bytes: 0, left: 0 };
        }
        let (late_at, cut) = {
            let flow = self.pipe.flow.borrow();
            let late_at = flow.pace_deadline(FlowSide::Endpoint).map(|deadline| deadline.due_at);
            (late_at, matches!(flow.source(), BodySource::Cut(_)))
        };
        let wake_at = self.call.attempt().wake_at();
        if late_at.is_some_and(|at| at <= now) {
            return AttemptInput::Deadline;
        }
        if wake_at.is_some_and(|at| at <= now) {
            return AttemptInput::Tick;
        }
        let wakes = [wake_at, late_at, self.progress.backoff_until, self.progress.body_at];
        let wake_at = wakes.into_iter().flatten().min();
        let writes = !self.progress.out.is_empty() && self.progress.backoff_until.is_none() && !cut;
        self.exchange(state, writes, wake_at).await
    }

    /// Ends waits that are over by `now`, and queues what may be sent of the body.
    fn queue_body(&mut self, now: Micros) {
        if self.progress.backoff_until.is_some_and(|until| until <= now) {
            self.progress.backoff_until = None;
            self.pipe.change(|flow| flow.set_paused(false, now));
        }
        let is_asked = self.call.attempt().is_body_requested();
        if is_asked || self.progress.body_at.is_some_and(|at| at <= now) {
            self.progress.body_at = None;
        }
        if self.progress.is_drained() {
            self.fill_chunks();
        }
    }

    /// Writes or reads once, whichever comes first.
    async fn exchange(&mut self, state: AttemptState, writes: bool, wake_at: Option<Micros>) -> AttemptInput {
        let (clock, pipe) = (&self.handle.clock, self.pipe);
        let Some((conn, answer)) = self.call.connection_and_answer() else { return AttemptInput::GiveUp };
        let (mut from, mut to) = conn.stream_mut().split();
        tokio::select! {
            biased;
            signal = self.signals.next_for_stream(state) => signal,
            read = read(&mut from, answer) => read,
            written = write(&mut to, &mut self.progress.out), if writes => match written {
                Ok(bytes) => {
                    pipe.streams.spend(bytes as usize);
                    pipe.change(|flow| flow.send(bytes, clock.now()));
                    pipe.client_wake.notify_one();
                    AttemptInput::Wrote { bytes: bytes as usize, left: 1 }
                }
                Err(_) => AttemptInput::WriteFailed,
            },
            () = pipe.endpoint_wake.notified(), if !writes => AttemptInput::Tick,
            tick = tick(clock, wake_at) => tick,
        }
    }

    /// Waits for the answer to the complete request, and reads it.
    async fn read_answer(&mut self, state: AttemptState) -> AttemptInput {
        let clock = &self.handle.clock;
        let wake_at = self.call.attempt().wake_at();
        let Some((conn, answer)) = self.call.connection_and_answer() else { return AttemptInput::GiveUp };
        tokio::select! {
            biased;
            read = read(conn.stream_mut(), answer) => read,
            signal = self.signals.next_for_stream(state) => signal,
            _ = tick(clock, self.answer_deadline) => AttemptInput::Deadline,
            tick = tick(clock, wake_at) => tick,
        }
    }

    /// Queues what may be sent next, framed as the body is.
    fn fill_chunks(&mut self) {
        let progress = &mut self.progress;
        let chunks = self.pipe.sendable(OUTGOING_MAX);
        let bytes: u64 = chunks.iter().map(|chunk| chunk.len() as u64).sum();
        let chunked = self.pipe.head.length.is_none();
        if bytes > 0 {
            progress.out.extend(chunked.then(|| OutgoingChunk::framing(stream::chunk_line(bytes))));
            progress.out.extend(chunks.into_iter().map(OutgoingChunk::body));
            progress.out.extend(chunked.then(|| OutgoingChunk::framing(stream::CHUNK_END)));
        } else if !progress.closed && self.pipe.flow.borrow().may_finish() {
            progress.closed = true;
            progress.out.extend(chunked.then(|| OutgoingChunk::framing(stream::LAST_CHUNK)));
        }
    }
}

/// Writes some of these chunks; returns how many bytes of the body were among them.
async fn write(
    to: &mut (impl AsyncWriteExt + Unpin),
    out: &mut VecDeque<OutgoingChunk>,
) -> std::io::Result<u64> {
    let slices: Vec<IoSlice<'_>> = out.iter().map(|chunk| IoSlice::new(&chunk.bytes)).collect();
    let mut written = to.write_vectored(&slices).await?;
    if written == 0 {
        return Err(std::io::ErrorKind::WriteZero.into());
    }
    let mut body_bytes = 0;
    while let Some(chunk) = out.front_mut() {
        let taken = written.min(chunk.bytes.len());
        if taken == 0 && !chunk.bytes.is_empty() {
            break;
        }
        chunk.bytes.advance(taken);
        written -= taken;
        if chunk.is_body {
            body_bytes += taken as u64;
        }
        if !chunk.bytes.is_empty() {
            break;
        }
        out.pop_front();
    }
    Ok(body_bytes)
}
