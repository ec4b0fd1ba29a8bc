//! A streamed body: what was received of it, what is buffered, and what was sent.
//!
//! The machine only counts bytes; the driver buffers those between [`Flow::base`] and [`Flow::received`].
//! `docs/streaming-design.md` has the reasons for the window and the pace.

mod pace;
mod table;

pub use pace::{Late, Pace, PaceDeadline};
pub use table::FlowInput;

use pace::SideProgress;
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};

/// Why a body will never be complete. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Cut {
    /// The client's connection ended or broke.
    Gone,
    /// Its framing can't be read: malformed chunks, endless extensions, trailers.
    Malformed,
    /// It is longer than it may be.
    TooLarge,
    /// Its digest does not match.
    Digest,
    /// The client was too slow.
    Late(Late),
}

/// Whether all of a body was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodySource {
    /// More bytes are expected.
    Coming,
    /// All of it was received, and its digest matches if it has one.
    Whole,
    /// It will never be complete.
    Cut(Cut),
}

/// A side of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowSide {
    /// The client, which sends the body.
    Client,
    /// The endpoint, which receives it.
    Endpoint,
}

/// The state of a body.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    /// The most bytes that are buffered.
    window: u64,
    /// The length that the client announced.
    length: Option<u64>,
    received: u64,
    /// The bytes before this offset are dropped. Invariant: `received - base <= window`.
    base: u64,
    /// The bytes sent in the present attempt. Invariant: `sent <= received`.
    sent: u64,
    source: BodySource,
    /// An attempt is in flight whose body may be written.
    sending: bool,
    /// The destination has asked to wait: nothing is sent.
    paused: bool,
    client: SideProgress,
    endpoint: SideProgress,
}

impl Flow {
    /// A body of which at most `window` bytes are buffered, one at least. `length` is what the client announced.
    pub fn new(window: u64, length: Option<u64>, client: Pace, endpoint: Pace, now: Micros) -> Self {
        let mut flow = Flow {
            window: window.max(1),
            length,
            received: 0,
            base: 0,
            sent: 0,
            source: if length == Some(0) { BodySource::Whole } else { BodySource::Coming },
            sending: false,
            paused: false,
            client: SideProgress::new(client),
            endpoint: SideProgress::new(endpoint),
        };
        flow.update(now);
        flow
    }

    /// Whether all of it was received.
    pub fn source(&self) -> BodySource {
        self.source
    }

    /// The bytes received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The offset of the first byte that is buffered.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// The bytes sent in the present attempt.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// How many bytes may be read now; never more than the body still has to come.
    pub fn capacity(&self) -> u64 {
        if self.source != BodySource::Coming {
            return 0;
        }
        let free = self.window - (self.received - self.base);
        self.length.map_or(free, |length| free.min(length - self.received))
    }

    /// How many bytes may be written now.
    ///
    /// The last byte of a body with a length is not sent before all of it was received and its digest matches: a body that is
    /// cut short or corrupt must not look complete. A body in chunks is complete with its last chunk only.
    pub fn sendable(&self) -> u64 {
        if !self.sending || self.paused || matches!(self.source, BodySource::Cut(_)) {
            return 0;
        }
        let most = match (self.length, self.source) {
            (Some(length), BodySource::Coming) if !breaks::is_enabled(Break::LastByteEarly) => {
                self.received.min(length.saturating_sub(1))
            }
            _ => self.received,
        };
        most.saturating_sub(self.sent)
    }

    /// The body is complete and every byte was sent: its end may be written.
    pub fn may_finish(&self) -> bool {
        self.sending && !self.paused && self.source == BodySource::Whole && self.sent == self.received
    }

    /// Nothing of it was dropped, and it may still become complete: another attempt can have all of it.
    pub fn is_replayable(&self) -> bool {
        self.base == 0 && !matches!(self.source, BodySource::Cut(_))
    }

    /// Bytes were read from the client.
    ///
    /// # Panics
    /// More bytes were read than [`Flow::capacity`] allows.
    pub fn receive(&mut self, bytes: u64, now: Micros) {
        assert!(bytes <= self.capacity(), "no more is read than there is room for");
        self.received += bytes;
        self.client.record_bytes(bytes, now);
        self.update(now);
    }

    /// The body is complete, and its digest matches.
    pub fn complete(&mut self, now: Micros) {
        if self.source == BodySource::Coming {
            self.source = BodySource::Whole;
            self.update(now);
        }
    }

    /// The body will never be complete.
    pub fn cut(&mut self, why: Cut, now: Micros) {
        if self.source == BodySource::Coming {
            self.source = BodySource::Cut(why);
            self.update(now);
        }
    }

    /// An attempt begins with the first byte. False: it can't have the whole body.
    pub fn begin(&mut self, now: Micros) -> bool {
        if !self.is_replayable() && !breaks::is_enabled(Break::RetryAfterCommit) {
            return false;
        }
        self.sending = true;
        self.paused = false;
        self.sent = 0;
        self.update(now);
        true
    }

    /// The attempt's connection can't be used any more.
    pub fn end(&mut self, now: Micros) {
        self.sending = false;
        self.paused = false;
        self.update(now);
    }

    /// The destination has asked to wait, or its wait is over.
    pub fn set_paused(&mut self, paused: bool, now: Micros) {
        self.paused = paused && !breaks::is_enabled(Break::IgnoreStreamWait);
        self.update(now);
    }

    /// Bytes were written to the endpoint; those before [`Flow::base`] need not be buffered any more.
    ///
    /// # Panics
    /// More bytes were written than were received.
    pub fn send(&mut self, bytes: u64, now: Micros) {
        // The body may have been paused or cut since the bytes were given to the socket.
        assert!(self.sent + bytes <= self.received, "no more is written than has come");
        self.sent += bytes;
        self.endpoint.record_bytes(bytes, now);
        self.update(now);
    }

    /// When the side will be late if it moves nothing until then; `None` if it is not its turn.
    pub fn late_at(&self, who: FlowSide) -> Option<PaceDeadline> {
        match who {
            FlowSide::Client => self.client.late_at(),
            FlowSide::Endpoint => self.endpoint.late_at(),
        }
    }

    /// Whether this side has stalled or was too slow by now.
    pub fn late(&self, who: FlowSide, now: Micros) -> Option<Late> {
        self.late_at(who).filter(|deadline| deadline.at <= now).map(|deadline| deadline.late)
    }

    /// Drops what need not be buffered, and sets whose turn it is.
    fn update(&mut self, now: Micros) {
        // A window full of bytes that were sent is of more use for further bytes than for another attempt.
        let full = self.received - self.base >= self.window && self.source == BodySource::Coming;
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
