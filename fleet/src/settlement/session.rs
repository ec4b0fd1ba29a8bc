//! A partner's session: one connection of the tenant's budget, held from the opening of a settlement to its
//! closing.
//!
//! **No deadlock, no starvation.** A settlement asks for its one connection only when its next position is
//! there to be sent, and holds nothing else that another could wait for while it waits: a circle of
//! settlements that wait for each other can't come about. One that holds a connection waits for its consumers
//! and its partner alone, and each of these waits ends by a clock: a call by its time, a missing position by
//! the time of those behind it, a pause by the idle limit, a closing by [`CLOSING`]. So a pin comes free
//! within a stated time, and who waits first is served first. At most half of a budget may be pinned: message
//! mode always has the other half.

use super::SettlementId;
use spurshore::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Of a tenant's budget at a partner, one connection in so many may be pinned.
pub const PIN_PART: u32 = 2;
/// A new session's first byte leaves within this after its record, or not at all.
pub const OPEN_BY: Micros = 1_000_000;
/// A partner that has not confirmed the closing by then does not: as long as it may take for a call.
pub const CLOSING: Micros = 2_000_000;
/// Sessions that one settlement may have; a partner that loses more is no use to it.
pub const SESSIONS_MAX: u32 = 16;

/// How long after a takeover the lost home's connection may still be open at a partner that closes idle ones
/// after `idle` and answers within `longest`: it may have been opened up to [`OPEN_BY`] after its record. 1%
/// for clocks.
pub fn linger(idle: Micros, longest: Micros) -> Micros {
    let sum = OPEN_BY.saturating_add(idle).saturating_add(longest);
    sum.saturating_add(sum.div_ceil(100))
}

/// The connections of one tenant's budget at one partner that sessions hold, at one courier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pins {
    budget: u32,
    held: BTreeSet<Holder>,
    waiting: VecDeque<Holder>,
}

/// A settlement, and the number of its session.
pub type Holder = (SettlementId, u32);

impl Pins {
    pub fn new(budget: u32) -> Pins {
        Pins { budget, ..Pins::default() }
    }

    pub fn budget(&self) -> u32 {
        self.budget
    }

    /// How many may be pinned.
    pub fn most(&self) -> usize {
        (self.budget / PIN_PART) as usize
    }

    pub fn pinned(&self) -> usize {
        self.held.len()
    }

    /// A lowered budget is met as sessions end; a raised one serves who waits.
    pub fn set_budget(&mut self, budget: u32) -> Vec<Holder> {
        self.budget = budget;
        self.grant()
    }

    pub fn ask(&mut self, holder: Holder) -> Vec<Holder> {
        if !self.held.contains(&holder) && !self.waiting.contains(&holder) {
            self.waiting.push_back(holder);
        }
        self.grant()
    }

    /// This holder needs none any more; says who has one now.
    pub fn release(&mut self, holder: &Holder) -> Vec<Holder> {
        self.waiting.retain(|waiting| waiting != holder);
        self.held.remove(holder);
        self.grant()
    }

    pub fn holds(&self, holder: &Holder) -> bool {
        self.held.contains(holder)
    }

    pub fn is_unused(&self) -> bool {
        self.held.is_empty() && self.waiting.is_empty()
    }

    fn grant(&mut self) -> Vec<Holder> {
        let mut granted = Vec::new();
        while self.held.len() < self.most() {
            let Some(holder) = self.waiting.pop_front() else { break };
            self.held.insert(holder.clone());
            granted.push(holder);
        }
        granted
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum State {
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
pub enum Input {
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
pub enum Output {
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
    state: State,
}

impl Session {
    pub fn state(&self) -> State {
        self.state
    }

    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open | State::Closing { .. })
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            State::Closing { until } => Some(until),
            _ => None,
        }
    }

    pub fn step(&mut self, input: Input, now: Micros) -> Output {
        let closing = State::Closing { until: now.saturating_add(CLOSING) };
        let (state, output) = match (self.state, input) {
            (State::None, Input::Want) => (State::Waiting, Output::Pin),
            (State::Waiting, Input::Pinned) => (State::Pinned, Output::Nothing),
            (State::Pinned, Input::Send) => (State::Open, Output::Open),
            (State::Pinned, Input::Close) => (closing, Output::OpenAndClose),
            (State::Open, Input::Send) => (State::Open, Output::Send),
            (State::Open, Input::Close) => (closing, Output::Close),
            (State::Closing { .. }, Input::Confirmed) => (State::None, Output::Unpin),
            (State::Closing { until }, Input::Tick) if now >= until => (State::Dropping, Output::Drop),
            (State::Waiting | State::Pinned, Input::Leave) => (State::None, Output::Unpin),
            (State::Open | State::Closing { .. }, Input::Leave) => (State::Dropping, Output::Drop),
            (State::Open | State::Closing { .. } | State::Dropping, Input::Lost) => {
                (State::None, Output::Unpin)
            }
            (state, _) => (state, Output::Nothing),
        };
        self.state = state;
        output
    }
}
