//! What is handed in at any courier goes to the settlement's home, and the home's word is the answer.
//!
//! Messages between couriers may be lost, doubled and reordered: what has no word yet is asked again, of
//! whoever is home by then. An ask is known by its settlement, position and message id, so that asking twice
//! does no harm.

use super::registry::{SettlementCommand, SettlementEvent, SettlementRegistry};
use super::{End, SequencedMessage, SettlementError, SettlementId};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Retry interval: without a word the home is asked again.
pub const REQUEST_RETRY: Micros = 50_000;
/// Time-out of an ask: consumers wait 0.4 s for a word.
pub const REQUEST_TIMEOUT: Micros = 350_000;
/// Asks without a word that a courier holds: their bodies are 64 KiB each at most.
pub const MAX_PENDING_REQUESTS: usize = 1_024;

/// What a consumer asks of a settlement's home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementRequest {
    Submit(SequencedMessage),
    /// No more than these will come: a session that ended in order.
    Closing {
        total: u64,
    },
}

impl SettlementRequest {
    pub fn sequenced(&self) -> Option<&SequencedMessage> {
        match self {
            SettlementRequest::Submit(sequenced) => Some(sequenced),
            SettlementRequest::Closing { .. } => None,
        }
    }

    /// Its position, the last one's for a closing, and the number of all.
    pub fn position_and_total(&self) -> (u64, Option<u64>) {
        match self {
            SettlementRequest::Submit(sequenced) => (sequenced.position, sequenced.total),
            SettlementRequest::Closing { total } => (*total, Some(*total)),
        }
    }

    /// Position and message id; the closing has none.
    pub fn key(&self) -> (u64, Option<&str>) {
        (self.position_and_total().0, self.sequenced().map(|sequenced| sequenced.message_id.as_str()))
    }
}

/// The home's answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementReply {
    /// It is in the home's book: it will have its end.
    Accepted,
    /// It has had its end.
    Ended(End),
    Rejected(SettlementError),
}

/// Between couriers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementMessage {
    Request { id: SettlementId, request: SettlementRequest },
    Reply { id: SettlementId, request: SettlementRequest, reply: SettlementReply },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ForwardInput {
    /// A consumer asks; `ticket` is its connection's.
    Request {
        ticket: u64,
        id: SettlementId,
        request: SettlementRequest,
    },
    Reply {
        id: SettlementId,
        request: SettlementRequest,
        reply: SettlementReply,
    },
    Committed(SettlementEvent),
    Tick,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ForwardOutput {
    /// To a courier, which may be this one.
    Send {
        to: String,
        message: SettlementMessage,
    },
    Propose(SettlementCommand),
    Answer {
        ticket: u64,
        reply: SettlementReply,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    id: SettlementId,
    request: SettlementRequest,
    retry_at: Micros,
    deadline: Micros,
}

/// One courier's front of settlements.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestForwarder {
    local_name: String,
    epoch: u64,
    pending: BTreeMap<u64, PendingRequest>,
}

impl RequestForwarder {
    pub fn new(local_name: &str, epoch: u64) -> RequestForwarder {
        RequestForwarder { local_name: local_name.into(), epoch, pending: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When an [`ForwardInput::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        self.pending.values().map(|pending| pending.retry_at.min(pending.deadline)).min()
    }

    pub fn step(
        &mut self,
        registry: &SettlementRegistry,
        input: ForwardInput,
        now: Micros,
    ) -> Vec<ForwardOutput> {
        match input {
            ForwardInput::Request { ticket, id, request } => {
                let at = id.at(request.position_and_total().0);
                let after = REQUEST_RETRY;
                if self.pending.len() >= MAX_PENDING_REQUESTS {
                    let reply = SettlementReply::Rejected(SettlementError::Busy {
                        at,
                        pending: MAX_PENDING_REQUESTS as u64,
                        after,
                    });
                    return vec![ForwardOutput::Answer { ticket, reply }];
                }
                let pending = PendingRequest {
                    id,
                    request,
                    retry_at: now,
                    deadline: now.saturating_add(REQUEST_TIMEOUT),
                };
                self.pending.insert(ticket, pending);
                self.route(registry, ticket, now)
            }
            ForwardInput::Reply { id, request, reply } => {
                let is_answered = |p: &PendingRequest| p.id == id && p.request.key() == request.key();
                let tickets = self.pending.iter().filter(|(_, p)| is_answered(p)).map(|(ticket, _)| *ticket);
                let tickets: Vec<u64> = tickets.collect();
                let answer = |ticket| {
                    self.pending.remove(&ticket);
                    ForwardOutput::Answer { ticket, reply: reply.clone() }
                };
                tickets.into_iter().map(answer).collect()
            }
            ForwardInput::Committed(event) => self.committed(registry, &event, now),
            ForwardInput::Tick => {
                let is_due = |p: &PendingRequest| now >= p.retry_at || now >= p.deadline;
                let due: Vec<u64> =
                    self.pending.iter().filter(|(_, p)| is_due(p)).map(|(ticket, _)| *ticket).collect();
                due.into_iter().flat_map(|ticket| self.route(registry, ticket, now)).collect()
            }
        }
    }

    fn committed(
        &mut self,
        registry: &SettlementRegistry,
        event: &SettlementEvent,
        now: Micros,
    ) -> Vec<ForwardOutput> {
        let (id, refusal) = match event {
            SettlementEvent::Opened { id, .. }
            | SettlementEvent::Moved { id, .. }
            | SettlementEvent::Closed { id, .. } => (id, None),
            SettlementEvent::NotOpened { id, open } => (id, Some(*open)),
            SettlementEvent::NotMoved { .. } | SettlementEvent::CaughtUp { .. } => return Vec::new(),
        };
        let tickets: Vec<u64> =
            self.pending.iter().filter(|(_, p)| p.id == *id).map(|(ticket, _)| *ticket).collect();
        let step = |ticket| match refusal {
            None => self.route(registry, ticket, now),
            Some(open) => {
                let Some(pending) = self.pending.remove(&ticket) else { return Vec::new() };
                let (at, after) =
                    (id.at(pending.request.position_and_total().0), super::owner::RETRY_INTERVAL);
                let reply = SettlementReply::Rejected(SettlementError::TooManyOpen { at, open, after });
                vec![ForwardOutput::Answer { ticket, reply }]
            }
        };
        tickets.into_iter().flat_map(step).collect()
    }

    /// Asks whoever is home now, or to be home itself.
    fn route(&mut self, registry: &SettlementRegistry, ticket: u64, now: Micros) -> Vec<ForwardOutput> {
        let Some(pending) = self.pending.get_mut(&ticket) else { return Vec::new() };
        let at = pending.id.at(pending.request.position_and_total().0);
        let verdict = registry.verdict(&pending.id);
        if verdict.is_some() || now >= pending.deadline {
            self.pending.remove(&ticket);
            let error = verdict.map_or(SettlementError::NoReply(at.clone()), |verdict| {
                SettlementError::Ended { at, verdict }
            });
            return vec![ForwardOutput::Answer { ticket, reply: SettlementReply::Rejected(error) }];
        }
        pending.retry_at = now.saturating_add(REQUEST_RETRY);
        let id = pending.id.clone();
        let output = match registry.owner(&id) {
            Some(owner) => ForwardOutput::Send {
                to: owner.courier.clone(),
                message: SettlementMessage::Request { id, request: pending.request.clone() },
            },
            None => ForwardOutput::Propose(SettlementCommand::Open {
                id,
                owner: self.local_name.clone(),
                owner_epoch: self.epoch,
            }),
        };
        vec![output]
    }
}
