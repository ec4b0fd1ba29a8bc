//! Session mode: the state machine of a session, which uses one connection of the tenant's budget from the opening
//! of a settlement to its closing, and the reservation ("pinning") of such connections.
//!
//! **No deadlock, no starvation.** A settlement requests its only connection when its next position can be sent,
//! and reserves nothing else while it waits, so there is no circular wait between settlements. A settlement with a
//! connection waits only for its clients and its partner, and each of these waits is bounded: a call by its
//! deadline, a missing position by the deadlines of later positions, an idle client by the idle timeout, and a
//! closing by [`CLOSING_TIMEOUT`]. Every reservation therefore ends within a bounded time, and reservations are
//! granted in the order of the requests. At most half of a budget may be reserved, which leaves the other half to
//! message mode.

use super::model::SettlementId;
use quillmount_policy::Micros;
use std::collections::{BTreeSet, VecDeque};

/// The budget of a tenant at a partner, divided by this number, is the number of connections that sessions may
/// reserve.
pub const PINNABLE_FRACTION: u32 = 2;
/// The first byte of a new session is sent within this time after its record is written, or not at all; in
/// microseconds.
pub const SESSION_OPEN_TIMEOUT: Micros = 1_000_000;
/// Timeout for the partner's confirmation of a closing, in microseconds; equals the maximum duration of a call.
pub const CLOSING_TIMEOUT: Micros = 2_000_000;
/// Maximum number of sessions of one settlement. It breaks when the last of them is lost.
pub const MAX_SESSIONS: u32 = 16;

/// Returns how long after a takeover the connection of the lost owner may still be open, in microseconds. The
/// partner closes connections that are idle for `idle_timeout` and answers a call within `max_call_time`. The
/// connection may have been opened up to [`SESSION_OPEN_TIMEOUT`] after its record was written; 1% is added for
/// clock drift.
pub fn linger(idle_timeout: Micros, max_call_time: Micros) -> Micros {
    let sum = SESSION_OPEN_TIMEOUT.saturating_add(idle_timeout).saturating_add(max_call_time);
    sum.saturating_add(sum.div_ceil(100))
}

/// The connections that sessions reserve at one courier from the budget of one tenant at one partner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pins {
    budget: u32,
    pinned: BTreeSet<SessionKey>,
    waiting: VecDeque<SessionKey>,
}

/// Identifies a session in the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey {
    /// The settlement that the session belongs to.
    pub settlement: SettlementId,
    /// The number of the session in its settlement, counted from 1.
    pub session: u32,
}

impl Pins {
    /// Creates the state without any reservation. `budget` is the number of connections of the tenant at the partner.
    pub fn new(budget: u32) -> Pins {
        Pins { budget, ..Pins::default() }
    }

    /// Returns the tenant's budget at the partner, in connections.
    pub fn budget(&self) -> u32 {
        self.budget
    }

    /// Returns the maximum number of reserved connections.
    pub fn limit(&self) -> usize {
        (self.budget / PINNABLE_FRACTION) as usize
    }

    /// Returns the current number of reserved connections, which may exceed a limit that was lowered.
    pub fn pinned(&self) -> usize {
        self.pinned.len()
    }

    /// Changes the budget; returns the sessions that are granted a connection. After a reduction no connection is
    /// granted until enough sessions have ended.
    pub fn set_budget(&mut self, budget: u32) -> Vec<SessionKey> {
        self.budget = budget;
        self.grant()
    }

    /// Queues a request for a connection, unless the session already has one or waits for one. Returns the sessions
    /// that are granted a connection.
    pub fn request(&mut self, session_key: SessionKey) -> Vec<SessionKey> {
        if !self.pinned.contains(&session_key) && !self.waiting.contains(&session_key) {
            self.waiting.push_back(session_key);
        }
        self.grant()
    }

    /// Releases the session's connection or its request. Returns the sessions that are granted a connection.
    pub fn release(&mut self, session_key: &SessionKey) -> Vec<SessionKey> {
        self.waiting.retain(|waiting| waiting != session_key);
        self.pinned.remove(session_key);
        self.grant()
    }

    /// Returns whether a connection is reserved for this session.
    pub fn is_pinned(&self, session_key: &SessionKey) -> bool {
        self.pinned.contains(session_key)
    }

    /// Returns whether no connection is reserved or requested.
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

/// The state of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SessionState {
    /// There is no session.
    #[default]
    None,
    /// A connection of the budget is requested, but not yet reserved.
    Waiting,
    /// A connection is reserved, but not yet open.
    Pinned,
    /// The connection is open.
    Open,
    /// All positions are answered, and the closing is in flight.
    Closing {
        /// The time at which the closing times out, in microseconds.
        until: Micros,
    },
    /// The connection is being dropped without a closing; no further byte is sent on it.
    Dropping,
}

/// One input of [`Session::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionInput {
    /// A position or the closing is ready to be sent and needs a connection.
    Needed,
    /// A connection of the budget is reserved for this session.
    Pinned,
    /// The record of the next position is in the journal: send the position.
    Send,
    /// All positions are answered: close the session.
    Close,
    /// The partner has confirmed the closing, and the connection is closed.
    Confirmed,
    /// The settlement ends or moves to another courier: this courier sends nothing more.
    Leave,
    /// The connection is lost.
    Lost,
    /// The time that [`Session::wake_at`] returned is reached.
    Tick,
}

/// The action that a step of a session requires from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionOutput {
    /// No action: the input does not apply in this state, or only changes the state.
    Nothing,
    /// Request a connection of the budget.
    Pin,
    /// Release the reserved connection, or cancel the request for one.
    Unpin,
    /// Open a connection, send the name of the settlement, and send the position.
    Open,
    /// Send the position on the open connection.
    Send,
    /// Open a connection, send the name of the settlement, and close the session.
    OpenAndClose,
    /// Send the closing on the open connection.
    Close,
    /// Drop the connection without sending a closing.
    Drop,
}

/// The state machine of one session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Session {
    state: SessionState,
}

impl Session {
    /// Returns the current state.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// Returns whether the connection is open, which includes the time while the closing is in flight.
    pub fn is_open(&self) -> bool {
        matches!(self.state, SessionState::Open | SessionState::Closing { .. })
    }

    /// Returns when [`SessionInput::Tick`] is due, in microseconds; `None` if no timeout is running.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            SessionState::Closing { until } => Some(until),
            _ => None,
        }
    }

    /// Handles one input at time `now`, and returns the action for the caller.
    pub fn step(&mut self, input: SessionInput, now: Micros) -> SessionOutput {
        let closing = SessionState::Closing { until: now.saturating_add(CLOSING_TIMEOUT) };
        let (state, output) = match (self.state, input) {
            (SessionState::None, SessionInput::Needed) => (SessionState::Waiting, SessionOutput::Pin),
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
