//! Session mode: the state machine of a session, which keeps one connection of the tenant's budget from the opening of a
//! settlement to its closing, and the reservations ("pins") of such connections.
//!
//! **No deadlock, no starvation.** A settlement requests its one connection only when its next position can be sent,
//! and has nothing reserved that another could wait for while it waits: settlements can't wait for each other in a
//! circle. One that has a connection waits only for its clients and its partner, and each of these waits is bounded: a
//! call by its deadline, a missing position by the deadlines of those behind it, silence by the idle limit, a closing
//! by [`CLOSING_TIMEOUT`]. So a reservation ends within a stated time, and reservations are granted in the order of
//! the requests. At most half of a budget may be reserved: message mode always has the other half.

use super::model::SettlementId;
use quillmount_policy::Micros;
use std::collections::{BTreeSet, VecDeque};

/// One connection in so many of a tenant's budget at a partner may be reserved for sessions.
pub const PINNABLE_FRACTION: u32 = 2;
/// A new session's first byte is sent within this after its record is written, or not at all.
pub const SESSION_OPEN_TIMEOUT: Micros = 1_000_000;
/// Time-out of the partner's confirmation of a closing: as long as a call may take.
pub const CLOSING_TIMEOUT: Micros = 2_000_000;
/// Sessions that one settlement may have before it breaks.
pub const MAX_SESSIONS: u32 = 16;

/// How long after a takeover the lost owner's connection may still be open at a partner that closes idle connections
/// after `idle` and answers within `longest`. It may have been opened up to [`SESSION_OPEN_TIMEOUT`] after its record;
/// 1% is added for clock drift.
pub fn linger(idle: Micros, longest: Micros) -> Micros {
    let sum = SESSION_OPEN_TIMEOUT.saturating_add(idle).saturating_add(longest);
    sum.saturating_add(sum.div_ceil(100))
}

/// The connections of one tenant's budget at one partner that are reserved for sessions, at one courier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pins {
    budget: u32,
    pinned: BTreeSet<SessionKey>,
    waiting: VecDeque<SessionKey>,
}

/// A session in the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey {
    /// The settlement of the session.
    pub settlement: SettlementId,
    /// Its number in the settlement.
    pub session: u32,
}

impl Pins {
    /// No reservation yet, of a budget of so many connections.
    pub fn new(budget: u32) -> Pins {
        Pins { budget, ..Pins::default() }
    }

    /// The budget, in connections.
    pub fn budget(&self) -> u32 {
        self.budget
    }

    /// How many connections may be reserved.
    pub fn limit(&self) -> usize {
        (self.budget / PINNABLE_FRACTION) as usize
    }

    /// How many connections are reserved.
    pub fn pinned(&self) -> usize {
        self.pinned.len()
    }

    /// Changes the budget; returns the sessions that are granted a connection. A lowered one is met as sessions end.
    pub fn set_budget(&mut self, budget: u32) -> Vec<SessionKey> {
        self.budget = budget;
        self.grant()
    }

    /// Requests a connection for a session; returns the sessions that are granted one.
    pub fn request(&mut self, session_key: SessionKey) -> Vec<SessionKey> {
        if !self.pinned.contains(&session_key) && !self.waiting.contains(&session_key) {
            self.waiting.push_back(session_key);
        }
        self.grant()
    }

    /// The session needs no connection any more; returns the sessions that are granted one.
    pub fn release(&mut self, session_key: &SessionKey) -> Vec<SessionKey> {
        self.waiting.retain(|waiting| waiting != session_key);
        self.pinned.remove(session_key);
        self.grant()
    }

    /// Whether this session has a connection.
    pub fn is_pinned(&self, session_key: &SessionKey) -> bool {
        self.pinned.contains(session_key)
    }

    /// Nothing is reserved or requested.
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

/// Where a session is between its opening and its closing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SessionState {
    /// There is no session.
    #[default]
    None,
    /// A connection of the budget is requested.
    Waiting,
    /// A connection is reserved, and not opened.
    Pinned,
    /// The connection is open.
    Open,
    /// Everything is answered, and the closing is in flight.
    Closing {
        /// When it times out.
        until: Micros,
    },
    /// The connection is to be closed, and nothing more is sent on it.
    Dropping,
}

/// One input of [`Session::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionInput {
    /// A position, or the closing, can be sent.
    Want,
    /// A connection of the budget is reserved for this session.
    Pinned,
    /// The position's record is in the journal: send it.
    Send,
    /// All positions are answered.
    Close,
    /// The partner has confirmed the closing.
    Confirmed,
    /// The settlement ends or moves: nothing more is sent here.
    Leave,
    /// The connection is gone.
    Lost,
    /// The time of [`Session::wake_at`] has come.
    Tick,
}

/// What a step of a session calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionOutput {
    /// Nothing; the input has no meaning in this state, or only changed it.
    Nothing,
    /// Request a connection of the budget.
    Pin,
    /// Return the connection, or withdraw the request for one.
    Unpin,
    /// Connect, name the settlement, and send.
    Open,
    /// Send on the open connection.
    Send,
    /// Connect, name the settlement, and close.
    OpenAndClose,
    /// Close the session in order.
    Close,
    /// Close the connection without a closing.
    Drop,
}

/// The state machine of one session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Session {
    state: SessionState,
}

impl Session {
    /// The present state.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// Whether its connection is open.
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

    /// Handles one input; returns what it calls for.
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
