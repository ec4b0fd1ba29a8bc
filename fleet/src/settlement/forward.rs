//! What is handed in at any courier goes to the settlement's home, and the home's word is the answer.
//!
//! Messages between couriers may be lost, doubled and reordered: what has no word yet is asked again, of
//! whoever is home by then. An ask is known by its settlement, position and message id, so that asking twice
//! does no harm.

use super::agreed::{Agreed, Command, Event};
use super::{End, Error, Hand, SettlementId};
use serde::{Deserialize, Serialize};
use spurshore::Micros;
use std::collections::BTreeMap;

/// Retry interval: without a word the home is asked again.
pub const ASK_AGAIN: Micros = 50_000;
/// Time-out of an ask: consumers wait 0.4 s for a word.
pub const PATIENCE: Micros = 350_000;
/// Asks without a word that a courier holds: their bodies are 64 KiB each at most.
pub const ASKS_MAX: usize = 1_024;

/// What a consumer asks of a settlement's home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ask {
    Hand(Hand),
    /// No more than these will come: a session that ended in order.
    Closing {
        of: u64,
    },
}

impl Ask {
    pub fn hand(&self) -> Option<&Hand> {
        match self {
            Ask::Hand(hand) => Some(hand),
            Ask::Closing { .. } => None,
        }
    }

    /// Its position, the last one's for a closing, and the number of all.
    pub fn place(&self) -> (u64, Option<u64>) {
        match self {
            Ask::Hand(hand) => (hand.position, hand.of),
            Ask::Closing { of } => (*of, Some(*of)),
        }
    }

    /// Position and message id; the closing has none.
    pub fn key(&self) -> (u64, Option<&str>) {
        (self.place().0, self.hand().map(|hand| hand.msg.as_str()))
    }
}

/// The home's answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Word {
    /// It is in the home's book: it will have its end.
    TakenOn,
    /// It has had its end.
    Ended(End),
    Refused(Error),
}

/// Between couriers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    Ask { id: SettlementId, ask: Ask },
    Word { id: SettlementId, ask: Ask, word: Word },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A consumer asks; `ticket` is its connection's.
    Ask {
        ticket: u64,
        id: SettlementId,
        ask: Ask,
    },
    Word {
        id: SettlementId,
        ask: Ask,
        word: Word,
    },
    Agreed(Event),
    Tick,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// To a courier, which may be this one.
    Send {
        to: String,
        message: Message,
    },
    Agree(Command),
    Answer {
        ticket: u64,
        word: Word,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    id: SettlementId,
    ask: Ask,
    again: Micros,
    until: Micros,
}

/// One courier's front of settlements.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Desk {
    me: String,
    epoch: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Desk {
    pub fn new(me: &str, epoch: u64) -> Desk {
        Desk { me: me.into(), epoch, pending: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When an [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        self.pending.values().map(|pending| pending.again.min(pending.until)).min()
    }

    pub fn step(&mut self, agreed: &Agreed, input: Input, now: Micros) -> Vec<Output> {
        match input {
            Input::Ask { ticket, id, ask } => {
                let at = id.at(ask.place().0);
                let after = ASK_AGAIN;
                if self.pending.len() >= ASKS_MAX {
                    let word = Word::Refused(Error::Busy { at, asks: ASKS_MAX as u64, after });
                    return vec![Output::Answer { ticket, word }];
                }
                let pending = Pending { id, ask, again: now, until: now.saturating_add(PATIENCE) };
                self.pending.insert(ticket, pending);
                self.route(agreed, ticket, now)
            }
            Input::Word { id, ask, word } => {
                let is_answered = |p: &Pending| p.id == id && p.ask.key() == ask.key();
                let tickets = self.pending.iter().filter(|(_, p)| is_answered(p)).map(|(ticket, _)| *ticket);
                let tickets: Vec<u64> = tickets.collect();
                let answer = |ticket| {
                    self.pending.remove(&ticket);
                    Output::Answer { ticket, word: word.clone() }
                };
                tickets.into_iter().map(answer).collect()
            }
            Input::Agreed(event) => self.agreed(agreed, &event, now),
            Input::Tick => {
                let is_due = |p: &Pending| now >= p.again || now >= p.until;
                let due: Vec<u64> =
                    self.pending.iter().filter(|(_, p)| is_due(p)).map(|(ticket, _)| *ticket).collect();
                due.into_iter().flat_map(|ticket| self.route(agreed, ticket, now)).collect()
            }
        }
    }

    fn agreed(&mut self, agreed: &Agreed, event: &Event, now: Micros) -> Vec<Output> {
        let (id, refusal) = match event {
            Event::Opened { id, .. } | Event::Moved { id, .. } | Event::Closed { id, .. } => (id, None),
            Event::NotOpened { id, open } => (id, Some(*open)),
            Event::NotMoved { .. } | Event::Up { .. } => return Vec::new(),
        };
        let tickets: Vec<u64> =
            self.pending.iter().filter(|(_, p)| p.id == *id).map(|(ticket, _)| *ticket).collect();
        let step = |ticket| match refusal {
            None => self.route(agreed, ticket, now),
            Some(open) => {
                let Some(pending) = self.pending.remove(&ticket) else { return Vec::new() };
                let (at, after) = (id.at(pending.ask.place().0), super::home::AGAIN);
                let word = Word::Refused(Error::TooManyOpen { at, open, after });
                vec![Output::Answer { ticket, word }]
            }
        };
        tickets.into_iter().flat_map(step).collect()
    }

    /// Asks whoever is home now, or to be home itself.
    fn route(&mut self, agreed: &Agreed, ticket: u64, now: Micros) -> Vec<Output> {
        let Some(pending) = self.pending.get_mut(&ticket) else { return Vec::new() };
        let at = pending.id.at(pending.ask.place().0);
        let verdict = agreed.verdict(&pending.id);
        if verdict.is_some() || now >= pending.until {
            self.pending.remove(&ticket);
            let error = verdict.map_or(Error::NoWord(at.clone()), |verdict| Error::Over { at, verdict });
            return vec![Output::Answer { ticket, word: Word::Refused(error) }];
        }
        pending.again = now.saturating_add(ASK_AGAIN);
        let id = pending.id.clone();
        let output = match agreed.home(&id) {
            Some(home) => Output::Send {
                to: home.courier.clone(),
                message: Message::Ask { id, ask: pending.ask.clone() },
            },
            None => Output::Agree(Command::Open { id, home: self.me.clone(), home_epoch: self.epoch }),
        };
        vec![output]
    }
}
