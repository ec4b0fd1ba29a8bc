//! The client's side of a stream: reads its body into the pipe, no faster than the endpoint takes it.

use super::{CHUNK, Pipe};
use crate::transport::CONTINUE;
use crate::transport::endpoints::tick;
use crate::transport::handle::Handle;
use actix_rt::net::TcpStream;
use actix_rt::time::Instant;
use bytes::{BufMut, BytesMut};
use quillmount_core::flow::{BodySource, Cut, FlowSide};
use quillmount_core::router::StreamEnd;
use quillmount_protocol::stream::{BodyDecoder, BodyEvent, Digest};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A client waits 400 ms for an answer: by then its stream has begun, or is rejected.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a stream does not go on.
#[derive(Clone, Copy, Debug)]
pub enum StreamFailure {
    /// Its body will never be complete.
    Cut(Cut),
    /// No call has begun in time.
    Unbegun,
}

/// Reads one streamed body from its client.
pub struct BodyReceiver<'a> {
    /// The client's connection.
    pub stream: &'a mut TcpStream,
    /// Bytes that are read but not passed on.
    pub buf: &'a mut BytesMut,
    /// The courier that the stream belongs to.
    pub handle: &'a Handle,
    /// Where the body goes.
    pub pipe: &'a Pipe,
    /// The parser of the body's framing.
    pub body: BodyDecoder,
    /// The digest that the client declared, while it is not checked.
    pub digest: Option<Digest>,
    /// The client waits for `100 Continue`, which it has not got.
    pub expects_continue: bool,
}

impl BodyReceiver<'_> {
    /// Reads the body into the pipe, and returns the final answer once there is one. `fail` is called with each reason
    /// for which the stream does not go on; the final answer follows from it.
    pub async fn receive(mut self, fail: impl Fn(StreamFailure)) -> StreamEnd {
        let (clock, pipe) = (&self.handle.clock, self.pipe);
        let begin_deadline = Instant::now() + BEGIN_TIMEOUT;
        // Whether a call is out, or one may still begin, is checked at that time, and after each call that fails.
        let mut checks_begin = true;
        loop {
            self.pass_on(&fail);
            if let Some(end) = pipe.end.get() {
                return end;
            }
            let begun = pipe.begun.get();
            if begun {
                self.send_continue().await;
            }
            let (capacity, source, late_at) = {
                let flow = pipe.flow.borrow();
                let late_at =
                    flow.pace_deadline(FlowSide::Client).map(|deadline| deadline.due_at).filter(|_| begun);
                (flow.capacity(), flow.source(), late_at)
            };
            let reads = begun && capacity > 0 && source == BodySource::Receiving;
            if reads {
                pipe.streams.turn().await;
                self.buf.reserve(CHUNK);
            }
            let limit = CHUNK.min(self.buf.capacity() - self.buf.len());
            let (stream, buf) = (&mut *self.stream, &mut *self.buf);
            tokio::select! {
                biased;
                () = pipe.client_wake.notified() => checks_begin = true,
                () = tokio::time::sleep_until(begin_deadline), if !begun && checks_begin => {
                    checks_begin = false;
                    fail(StreamFailure::Unbegun);
                }
                read = async { stream.read_buf(&mut buf.limit(limit)).await }, if reads => match read {
                    Ok(bytes) if bytes > 0 => {
                        self.handle.count(|counters| counters.stream_bytes += bytes as u64);
                        pipe.streams.spend(bytes);
                    }
                    _ => fail(StreamFailure::Cut(Cut::Gone)),
                },
                _ = tick(clock, late_at) => {
                    let late = pipe.flow.borrow().late(FlowSide::Client, clock.now());
                    if let Some(late) = late {
                        fail(StreamFailure::Cut(Cut::Late(late)));
                    }
                }
            }
        }
    }

    /// Passes on what is read of the body, as far as the window has capacity.
    fn pass_on(&mut self, fail: &impl Fn(StreamFailure)) {
        let (clock, pipe) = (&self.handle.clock, self.pipe);
        while pipe.flow.borrow().source() == BodySource::Receiving {
            let capacity = pipe.flow.borrow().capacity();
            match self.body.next(self.buf) {
                BodyEvent::Content(length) => {
                    let length = length.min(usize::try_from(capacity).unwrap_or(usize::MAX));
                    if length == 0 {
                        return;
                    }
                    let chunk = self.buf.split_to(length).freeze();
                    if let Some(digest) = &mut self.digest {
                        digest.update(&chunk);
                    }
                    self.body.consumed(length as u64);
                    pipe.receive(chunk, clock.now());
                }
                BodyEvent::End if self.digest.take().is_none_or(Digest::matches) => {
                    pipe.change(|flow| flow.complete(clock.now()));
                    pipe.endpoint_wake.notify_one();
                }
                BodyEvent::End => fail(StreamFailure::Cut(Cut::Digest)),
                BodyEvent::Invalid(why) => fail(StreamFailure::Cut(why)),
            }
        }
    }

    /// Sends the interim answer to a client that waits for it.
    async fn send_continue(&mut self) {
        if std::mem::take(&mut self.expects_continue) {
            // Where this fails, the next read fails too.
            let _ = self.stream.write_all(CONTINUE).await;
        }
    }
}
