//! One body on its way: what has come of it, what is kept, what has left. No bytes here, only their numbers;
//! the driver keeps the bytes between [`Flow::base`] and [`Flow::received`]. `docs/streaming-design.md` says why.

use crate::machine::transition_table::Machine;
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};

/// How slow a side may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// Without a byte for so long, a side that could move one has stalled.
    pub stall: Micros,
    /// Within this much time in which it could have moved bytes, it moves `least` of them.
    pub span: Micros,
    pub least: u64,
}

/// Why a side is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum Late {
    /// Not a byte.
    Stalled,
    /// Too few.
    Slow,
}

/// One side of a flow, and how it keeps up. Time counts only while it is up to this side to move bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SideProgress {
    pace: Pace,
    /// Since when it is up to this side.
    since: Option<Micros>,
    /// For how long it was before that, and what it moved, within this span.
    waited: Micros,
    moved: u64,
}

impl SideProgress {
    fn new(pace: Pace) -> Self {
        SideProgress { pace, since: None, waited: 0, moved: 0 }
    }

    /// It is up to this side, or not.
    fn set_turn(&mut self, up: bool, now: Micros) {
        match (up, self.since) {
            (true, None) => self.since = Some(now),
            (false, Some(since)) => {
                self.waited += now.saturating_sub(since);
                self.since = None;
            }
            _ => {}
        }
    }

    fn record_bytes(&mut self, bytes: u64, now: Micros) {
        if let Some(since) = self.since.replace(now) {
            self.waited += now.saturating_sub(since);
        }
        self.moved += bytes;
        if self.waited >= self.pace.span && self.moved >= self.pace.least {
            (self.waited, self.moved) = (0, 0);
        }
    }

    /// Where it is up to this side, when it has stalled, or was too slow, if nothing moves until then.
    fn late_at(&self) -> Option<(Micros, Late)> {
        let since = self.since?;
        let stalled = (since.saturating_add(self.pace.stall), Late::Stalled);
        let left = self.pace.span.saturating_sub(self.waited);
        let slow = (since.saturating_add(left), Late::Slow);
        Some(if self.moved < self.pace.least { stalled.min(slow) } else { stalled })
    }
}

/// Why a body will never be whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Cut {
    /// The client's connection ended or broke.
    Gone,
    /// Its framing can't be read: chunks that are none, extensions without end, trailers.
    Malformed,
    /// More than it may have.
    TooLarge,
    /// Its digest is another.
    Digest,
    Late(Late),
}

/// Whether all of it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    Coming,
    /// To its last byte, and its digest holds if it has one.
    Whole,
    Cut(Cut),
}

/// One body's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    window: u64,
    length: Option<u64>,
    received: u64,
    /// Bytes before this one are dropped.
    base: u64,
    sent: u64,
    source: Source,
    /// An attempt is out whose body may be written.
    sending: bool,
    /// The destination has told to wait: nothing leaves.
    paused: bool,
    client: SideProgress,
    endpoint: SideProgress,
}

impl Flow {
    /// A body of which at most `window` bytes are kept, one at least; `length`: as the client told it.
    pub fn new(window: u64, length: Option<u64>, client: Pace, endpoint: Pace, now: Micros) -> Self {
        let mut flow = Flow {
            window: window.max(1),
            length,
            received: 0,
            base: 0,
            sent: 0,
            source: if length == Some(0) { Source::Whole } else { Source::Coming },
            sending: false,
            paused: false,
            client: SideProgress::new(client),
            endpoint: SideProgress::new(endpoint),
        };
        flow.settle(now);
        flow
    }

    pub fn source(&self) -> Source {
        self.source
    }

    /// Bytes that have come.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The first byte that is kept.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Bytes that have left in this attempt.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// How many bytes may be read now; never more than the body still has.
    pub fn capacity(&self) -> u64 {
        if self.source != Source::Coming {
            return 0;
        }
        let free = self.window - (self.received - self.base);
        self.length.map_or(free, |length| free.min(length - self.received))
    }

    /// How many bytes may be written now.
    ///
    /// Of a body with a length the last byte stays until the whole has come and holds: what has another
    /// digest, or is cut short, must not look whole. A body in chunks is whole with its last chunk only.
    pub fn sendable(&self) -> u64 {
        if !self.sending || self.paused || matches!(self.source, Source::Cut(_)) {
            return 0;
        }
        let most = match (self.length, self.source) {
            (Some(length), Source::Coming) if !breaks::is_enabled(Break::LastByteEarly) => {
                self.received.min(length.saturating_sub(1))
            }
            _ => self.received,
        };
        most.saturating_sub(self.sent)
    }

    /// Every byte has left, and the body is whole: its end may be written.
    pub fn may_finish(&self) -> bool {
        self.sending && !self.paused && self.source == Source::Whole && self.sent == self.received
    }

    /// Nothing of it has been dropped, and it may still become whole: another attempt can have all of it.
    pub fn is_replayable(&self) -> bool {
        self.base == 0 && !matches!(self.source, Source::Cut(_))
    }

    /// Bytes were read.
    pub fn receive(&mut self, bytes: u64, now: Micros) {
        assert!(bytes <= self.capacity(), "no more is read than there is room for");
        self.received += bytes;
        self.client.record_bytes(bytes, now);
        self.settle(now);
    }

    /// The body came to its end, and its digest holds.
    pub fn complete(&mut self, now: Micros) {
        if self.source == Source::Coming {
            self.source = Source::Whole;
            self.settle(now);
        }
    }

    /// It never will.
    pub fn cut(&mut self, why: Cut, now: Micros) {
        if self.source == Source::Coming {
            self.source = Source::Cut(why);
            self.settle(now);
        }
    }

    /// An attempt begins, from the first byte on; false: it can't have all of it.
    pub fn begin(&mut self, now: Micros) -> bool {
        if !self.is_replayable() && !breaks::is_enabled(Break::RetryAfterCommit) {
            return false;
        }
        (self.sending, self.paused, self.sent) = (true, false, 0);
        self.settle(now);
        true
    }

    /// The attempt's connection is of no more use.
    pub fn end(&mut self, now: Micros) {
        (self.sending, self.paused) = (false, false);
        self.settle(now);
    }

    /// The destination told to wait, or its wait is over.
    pub fn set_paused(&mut self, paused: bool, now: Micros) {
        self.paused = paused && !breaks::is_enabled(Break::IgnoreStreamPause);
        self.settle(now);
    }

    /// Bytes were written; those before [`Flow::base`] need not be kept any more.
    pub fn send(&mut self, bytes: u64, now: Micros) {
        // It may have been paused or cut since they were given to the socket.
        assert!(self.sent + bytes <= self.received, "no more is written than has come");
        self.sent += bytes;
        self.endpoint.record_bytes(bytes, now);
        self.settle(now);
    }

    /// Where it is up to this side: when it has stalled, or was too slow, if nothing moves until then.
    pub fn late_at(&self, who: FlowSide) -> Option<(Micros, Late)> {
        match who {
            FlowSide::Client => self.client.late_at(),
            FlowSide::Endpoint => self.endpoint.late_at(),
        }
    }

    /// Whether this side has been too slow by now.
    pub fn late(&self, who: FlowSide, now: Micros) -> Option<Late> {
        self.late_at(who).filter(|(at, _)| *at <= now).map(|(_, late)| late)
    }

    fn settle(&mut self, now: Micros) {
        // A window that is full of what has left is worth more as room than for another attempt.
        let full = self.received - self.base >= self.window && self.source == Source::Coming;
        if (full || self.base > 0) && self.sending {
            self.base = self.base.max(self.sent);
        }
        self.client.set_turn(self.capacity() > 0, now);
        let (some, finish) = (self.sendable() > 0, self.may_finish());
        self.endpoint.set_turn(some && !finish, now);
        debug_assert!(self.base <= self.sent || !self.sending || self.base == 0);
        debug_assert!(self.sent <= self.received && self.received - self.base <= self.window);
        debug_assert!(self.length.is_none_or(|length| self.received <= length));
    }
}

/// A side of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowSide {
    Client,
    Endpoint,
}

/// What can happen to a body, for its table.
#[derive(Clone, Copy, Debug)]
pub enum FlowInput {
    Receive,
    Whole,
    Cut,
    Begin,
    Send,
    End,
    Pause,
    Resume,
}

impl Machine for Flow {
    type Input = FlowInput;
    const NAME: &'static str = "A streamed body";
    const ABOUT: &'static str = "`courier/core/src/flow.rs`: a body of two bytes in a window of one, from the client to an \
        attempt. *read* and *write* say what may be done next, *finish* that its end may be written, *again* that \
        another attempt could have all of it.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let pace = Pace { stall: 10, span: 60, least: 1 };
        let fresh = || Flow::new(1, Some(2), pace, pace, 0);
        let with = |steps: &[FlowInput]| {
            let mut flow = fresh();
            steps.iter().for_each(|input| drop(flow.apply(*input)));
            flow
        };
        use FlowInput::*;
        vec![
            ("Empty", "nothing has come", fresh()),
            ("Buffered", "all that came is kept, and no attempt is out", with(&[Receive])),
            ("Sending", "an attempt is out, and all that came is kept", with(&[Begin])),
            ("Committed", "an attempt is out, and what it has had is dropped", with(&[Receive, Begin, Send])),
            ("Lost", "no attempt is out, and none can have all of it", with(&[Receive, Begin, Send, End])),
            ("Paused", "an attempt is out, and the destination told to wait", with(&[Receive, Begin, Pause])),
            (
                "Last",
                "all has come, and the last byte is to leave",
                with(&[Receive, Begin, Send, Receive, Whole]),
            ),
            ("Done", "all has left", with(&[Receive, Begin, Send, Receive, Whole, Send])),
            ("Cut", "it will never be whole", with(&[Receive, Begin, Cut])),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("receive", "the next byte has come, where there is room", FlowInput::Receive),
            ("whole", "the body's end has come, and its digest holds", FlowInput::Whole),
            ("cut", "it was cut short, or its digest is another", FlowInput::Cut),
            ("begin", "an attempt begins", FlowInput::Begin),
            ("send", "the next byte has left, where one may", FlowInput::Send),
            ("end", "the attempt is over", FlowInput::End),
            ("pause", "the destination told to wait", FlowInput::Pause),
            ("resume", "the wait is over", FlowInput::Resume),
        ]
    }

    fn state(&self) -> &'static str {
        match (self.source, self.sending) {
            (Source::Cut(_), _) => "Cut",
            (_, true) if self.paused => "Paused",
            (Source::Whole, true) if self.sent == self.received => "Done",
            (Source::Whole, true) => "Last",
            (_, true) if self.base > 0 => "Committed",
            (_, true) => "Sending",
            (_, false) if self.base > 0 => "Lost",
            (_, false) if self.received > 0 => "Buffered",
            _ => "Empty",
        }
    }

    fn apply(&mut self, input: Self::Input) -> String {
        match input {
            FlowInput::Receive if self.capacity() > 0 => self.receive(1, 1),
            // The last byte is there by then.
            FlowInput::Whole if self.length == Some(self.received) => self.complete(1),
            FlowInput::Cut => self.cut(Cut::Gone, 1),
            FlowInput::Begin => drop(self.begin(1)),
            FlowInput::Send if self.sendable() > 0 => self.send(1, 1),
            FlowInput::End => self.end(1),
            FlowInput::Pause => self.set_paused(true, 1),
            FlowInput::Resume => self.set_paused(false, 1),
            FlowInput::Receive | FlowInput::Whole | FlowInput::Send => {}
        }
        let may = [
            ("read", self.capacity() > 0),
            ("write", self.sendable() > 0),
            ("finish", self.may_finish()),
            ("again", !self.sending && self.is_replayable()),
        ];
        let may: Vec<&str> = may.into_iter().filter(|(_, may)| *may).map(|(what, _)| what).collect();
        may.join(", ")
    }
}
