//! Flow control of a streamed body: the bytes that were received from the client, are buffered, and were sent to the endpoint.
//!
//! The machine only counts bytes; the driver buffers those between [`Flow::base`] and [`Flow::received`].
//! `docs/streaming-design.md` explains the window and the minimum pace.

mod pace;
mod table;

pub use pace::{Late, Pace, PaceDeadline};
pub use table::FlowInput;

use pace::SideProgress;
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};

/// The reason for which a body will never be complete. Encoded by position: the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Cut {
    /// The connection of the client was closed or reset.
    Gone,
    /// The framing of the body is invalid: malformed chunks, chunk extensions that are too long, or trailers.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The content digest does not match.
    Digest,
    /// The client fell below the minimum pace.
    Late(Late),
}

/// Whether all of a body was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodySource {
    /// More bytes of the body are expected.
    Receiving,
    /// The body was completely received, and its digest matches if it has one.
    Complete,
    /// The body will never be complete.
    Cut(Cut),
}

/// A side of the transfer of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowSide {
    /// The client, which sends the body.
    Client,
    /// The endpoint, which receives it.
    Endpoint,
}

/// The state machine of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    /// The maximum number of buffered bytes.
    window: u64,
    /// The `Content-Length`, if the client sent one.
    length: Option<u64>,
    received: u64,
    /// The offset of the first buffered byte; those before it are dropped. Invariant: `received - base <= window`.
    base: u64,
    /// The number of bytes sent in the current attempt. Invariant: `sent <= received`.
    sent: u64,
    source: BodySource,
    /// An attempt is in flight, and its body may be written.
    sending: bool,
    /// The endpoint is in a backoff, during which nothing is sent.
    paused: bool,
    client: SideProgress,
    endpoint: SideProgress,
}

impl Flow {
    /// Creates a body of which at most `window` bytes are buffered; 0 counts as 1. `length` is the `Content-Length`, if the
    /// client sent one. `client` and `endpoint` are the minimum paces of the two sides.
    pub fn new(window: u64, length: Option<u64>, client: Pace, endpoint: Pace, now: Micros) -> Self {
        let mut flow = Flow {
            window: window.max(1),
            length,
            received: 0,
            base: 0,
            sent: 0,
            source: if length == Some(0) { BodySource::Complete } else { BodySource::Receiving },
            sending: false,
            paused: false,
            client: SideProgress::new(client),
            endpoint: SideProgress::new(endpoint),
        };
        flow.update(now);
        flow
    }

    /// Whether the body was completely received.
    pub fn source(&self) -> BodySource {
        self.source
    }

    /// The number of bytes received from the client.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The offset of the first buffered byte.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// The number of bytes sent in the current attempt.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// The number of bytes that may be read from the client now. It is limited by the window and by the rest of a body with a
    /// known length.
    pub fn capacity(&self) -> u64 {
        if self.source != BodySource::Receiving {
            return 0;
        }
        let free = self.window - (self.received - self.base);
        self.length.map_or(free, |length| free.min(length - self.received))
    }

    /// The number of bytes that may be written to the endpoint now.
    ///
    /// The last byte of a body with a known length is sent only after the body was completely received and its digest matches,
    /// so that a truncated or corrupt body never looks complete to the endpoint. A chunked body is complete only with its last
    /// chunk.
    pub fn sendable(&self) -> u64 {
        if !self.sending || self.paused || matches!(self.source, BodySource::Cut(_)) {
            return 0;
        }
        let limit = match (self.length, self.source) {
            (Some(length), BodySource::Receiving) if !breaks::is_enabled(Break::LastByteEarly) => {
                self.received.min(length.saturating_sub(1))
            }
            _ => self.received,
        };
        limit.saturating_sub(self.sent)
    }

    /// Whether the end of the body may be written: it was completely received, and every byte was sent.
    pub fn may_finish(&self) -> bool {
        self.sending && !self.paused && self.source == BodySource::Complete && self.sent == self.received
    }

    /// Whether another attempt can send the whole body: no byte was dropped, and the body may still become complete.
    pub fn is_replayable(&self) -> bool {
        self.base == 0 && !matches!(self.source, BodySource::Cut(_))
    }

    /// Records bytes that were read from the client.
    ///
    /// # Panics
    /// Panics if `bytes` exceeds [`Flow::capacity`].
    pub fn receive(&mut self, bytes: u64, now: Micros) {
        assert!(bytes <= self.capacity(), "more bytes were read than the window allows");
        self.received += bytes;
        self.client.record_bytes(bytes, now);
        self.update(now);
    }

    /// Records that the body was completely received and its digest matches.
    pub fn complete(&mut self, now: Micros) {
        if self.source == BodySource::Receiving {
            self.source = BodySource::Complete;
            self.update(now);
        }
    }

    /// Records that the body will never be complete. Has no effect if it is complete already.
    pub fn cut(&mut self, reason: Cut, now: Micros) {
        if self.source == BodySource::Receiving {
            self.source = BodySource::Cut(reason);
            self.update(now);
        }
    }

    /// Begins an attempt at the first byte of the body. Returns false if the whole body can't be sent any more.
    pub fn begin_attempt(&mut self, now: Micros) -> bool {
        if !self.is_replayable() && !breaks::is_enabled(Break::RetryAfterCommit) {
            return false;
        }
        self.sending = true;
        self.paused = false;
        self.sent = 0;
        self.update(now);
        true
    }

    /// Ends the attempt: its connection can't be used any more.
    pub fn end_attempt(&mut self, now: Micros) {
        self.sending = false;
        self.paused = false;
        self.update(now);
    }

    /// Pauses sending when a backoff of the endpoint begins, and resumes it when the backoff ends.
    pub fn set_paused(&mut self, paused: bool, now: Micros) {
        self.paused = paused && !breaks::is_enabled(Break::IgnoreStreamWait);
        self.update(now);
    }

    /// Records bytes that were written to the endpoint. Afterwards, bytes before [`Flow::base`] need not be buffered any more.
    ///
    /// # Panics
    /// Panics if more bytes were written than were received.
    pub fn send(&mut self, bytes: u64, now: Micros) {
        // `sendable` may be smaller: the body may have been paused or cut since the bytes were passed to the socket.
        assert!(self.sent + bytes <= self.received, "more bytes were written than were received");
        self.sent += bytes;
        self.endpoint.record_bytes(bytes, now);
        self.update(now);
    }

    /// The time at which the side counts as late if it transfers no byte until then; `None` while it waits for the other side.
    pub fn pace_deadline(&self, side: FlowSide) -> Option<PaceDeadline> {
        match side {
            FlowSide::Client => self.client.deadline(),
            FlowSide::Endpoint => self.endpoint.deadline(),
        }
    }

    /// Whether the side has stalled or was too slow at the time `now`.
    pub fn late(&self, side: FlowSide, now: Micros) -> Option<Late> {
        self.pace_deadline(side).filter(|deadline| deadline.due_at <= now).map(|deadline| deadline.reason)
    }

    /// Drops bytes that need not be buffered, and updates which side can transfer bytes.
    fn update(&mut self, now: Micros) {
        // When the window is full, bytes that were sent are dropped: receiving the rest of the body takes precedence over the
        // possibility of another attempt.
        let full = self.received - self.base >= self.window && self.source == BodySource::Receiving;
        if (full || self.base > 0) && self.sending {
            self.base = self.base.max(self.sent);
        }
        self.client.set_turn(self.capacity() > 0, now);
        self.endpoint.set_turn(self.sendable() > 0 && !self.may_finish(), now);
        debug_assert!(self.base <= self.sent || !self.sending || self.base == 0);
        debug_assert!(self.sent <= self.received && self.received - self.base <= self.window);
        debug_assert!(self.length.is_none_or(|length| self.received <= length));
    }
}
