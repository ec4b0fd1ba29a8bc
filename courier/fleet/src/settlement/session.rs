//! A partner's session: one connection of the tenant's budget, held from the opening of a settlement to its
//! closing.
//!
//! **No deadlock, no starvation.** A settlement asks for its one connection only when its next position is
//! there to be sent, and holds nothing else that another could wait for while it waits: a circle of
//! settlements that wait for each other can't come about. One that holds a connection waits for its consumers
//! and its partner alone, and each of these waits ends by a clock: a call by its time, a missing position by
//! the time of those behind it, a pause by the idle limit, a closing by [`CLOSING_TIMEOUT`]. So a pin comes free
//! within a stated time, and who waits first is served first. At most half of a budget may be pinned: message
//! mode always has the other half.

use super::SettlementId;
use quillmount_policy::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Of a tenant's budget at a partner, one connection in so many may be pinned.
pub const PINNABLE_FRACTION: u32 = 2;
/// A new session's first byte leaves within this after its record, or not at all.
pub const SESSION_OPEN_TIMEOUT: Micros = 1_000_000;
/// A partner that has not confirmed the closing by then does not: as long as it may take for a call.
pub const CLOSING_TIMEOUT: Micros = 2_000_000;
/// Sessions that one settlement may have; a partner that loses more is no use to it.
pub const MAX_SESSIONS: u32 = 16;

/// How long after a takeover the lost home's connection may still be open at a partner that closes idle ones
/// after `idle` and answers within `longest`: it may have been opened up to [`SESSION_OPEN_TIMEOUT`] after its record. 1%
/// for clocks.
pub fn linger(idle: Micros, longest: Micros) -> Micros {
    let sum = SESSION_OPEN_TIMEOUT.saturating_add(idle).saturating_add(longest);
    sum.saturating_add(sum.div_ceil(100))
}

/// The connections of one tenant's budget at one partner that sessions hold, at one courier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pins {
    budget: u32,
    pinned: BTreeSet<SessionKey>,
    waiting: VecDeque<SessionKey>,
}

/// A settlement, and the number of its session.
pub type SessionKey = (SettlementId, u32);

impl Pins {
    pub fn new(budget: u32) -> Pins {
        Pins { budget, ..Pins::default() }
    }

    pub fn budget(&self) -> u32 {
        self.budget
    }

    /// How many may be pinned.
    pub fn limit(&self) -> usize {
        (self.budget / PINNABLE_FRACTION) as usize
    }

    pub fn pinned(&self) -> usize {
        self.pinned.len()
    }

    /// A lowered budget is met as sessions end; a raised one serves who waits.
    pub fn set_budget(&mut self, budget: u32) -> Vec<SessionKey> {
        self.budget = budget;
        self.grant()
    }

    pub fn request(&mut self, session_key: SessionKey) -> Vec<SessionKey> {
        if !self.pinned.contains(&session_key) && !self.waiting.contains(&session_key) {
            self.waiting.push_back(session_key);
        }
        self.grant()
    }

    /// This holder needs none any more; says who has one now.
    pub fn release(&mut self, session_key: &SessionKey) -> Vec<SessionKey> {
        self.waiting.retain(|waiting| waiting != session_key);
        self.pinned.remove(session_key);
        self.grant()
    }

    pub fn is_pinned(&self, session_key: &SessionKey) -> bool {
        self.pinned.contains(session_key)
    }

    pub fn is_unused(&self) -> bool {
        self.pinned.is_empty() && self.waiting.is_empty()
    }

    fn grant(&mut self) -> Vec<SessionKey> {
        let mut granted = Vec::new();
        while self.pinned.len() < self.limit() {
            let Some(session_key) = self.waiting.pop_front() else { break };
            self.pinned.insert(session_key.clone());
            granted.push(session_key);
        }
        granted
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SessionState {
    #[default]
    None,
    /// A connection of the budget is asked for.
    Waiting,
    /// It has one, and has not opened it.
    Pinned,
    Open,
    /// Everything is answered, and the closing is out.
    Closing {
        until: Micros,
    },
    /// It is to be closed, and nothing more is sent on it.
    Dropping,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionInput {
    /// A position, or the closing, is there to be sent.
    Want,
    /// The budget's connection is this session's.
    Pinned,
    /// Its record is in the book: send the position.
    Send,
    /// All positions are answered.
    Close,
    /// The partner has confirmed the closing.
    Confirmed,
    /// The settlement ends or moves: nothing more goes out here.
    Leave,
    /// The connection is gone.
    Lost,
    /// The time that the state waits for has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionOutput {
    Nothing,
    Pin,
    Unpin,
    /// Connect, name the settlement, and send.
    Open,
    Send,
    /// Connect, name the settlement, and close.
    OpenAndClose,
    Close,
    /// Close the connection without a closing.
    Drop,
}

/// The machine of one session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Session {
    state: SessionState,
}

impl Session {
    pub fn state(&self) -> SessionState {
        self.state
    }

    pub fn is_open(&self) -> bool {
        matches!(self.state, SessionState::Open | SessionState::Closing { .. })
    }

    /// When a [`SessionInput::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            SessionState::Closing { until } => Some(until),
            _ => None,
        }
    }

    pub fn step(&mut self, input: SessionInput, now: Micros) -> SessionOutput {
        let closing = SessionState::Closing { until: now.saturating_add(CLOSING_TIMEOUT) };
        let (state, output) = match (self.state, input) {
            (SessionState::None, SessionInput::Want) => (SessionState::Waiting, SessionOutput::Pin),
            (SessionState::Waiting, SessionInput::Pinned) => (SessionState::Pinned, SessionOutput::Nothing),
            (SessionState::Pinned, SessionInput::Send) => (SessionState::Open, SessionOutput::Open),
            (SessionState::Pinned, SessionInput::Close) => (closing, SessionOutput::OpenAndClose),
            (SessionState::Open, SessionInput::Send) => (SessionState::Open, SessionOutput::Send),
            (SessionState::Open, SessionInput::Close) => (closing, SessionOutput::Close),
            (SessionState::Closing { .. }, SessionInput::Confirmed) => {
                (SessionState::None, SessionOutput::Unpin)
            }
            (SessionState::Closing { until }, SessionInput::Tick) if now >= until => {
                (SessionState::Dropping, SessionOutput::Drop)
            }
            (SessionState::Waiting | SessionState::Pinned, SessionInput::Leave) => {
                (SessionState::None, SessionOutput::Unpin)
            }
            (SessionState::Open | SessionState::Closing { .. }, SessionInput::Leave) => {
                (SessionState::Dropping, SessionOutput::Drop)
            }
            (
                SessionState::Open | SessionState::Closing { .. } | SessionState::Dropping,
                SessionInput::Lost,
            ) => (SessionState::None, SessionOutput::Unpin),
            (state, _) => (state, SessionOutput::Nothing),
        };
        self.state = state;
        output
    }
}
