//! Forwarding: a request that a client makes at any courier goes to the settlement's owner, whose reply is the answer.
//!
//! Messages between couriers may be lost, duplicated and reordered: a request without a reply is repeated, to whoever
//! is the owner by then. A request is identified by its settlement, position and message id, so that a repeated one is
//! harmless.
//!
//! The caller passes each [`ForwardInput`] to [`RequestForwarder::step`] and carries out the [`ForwardOutput`]s.

use super::error::SettlementError;
use super::model::{PositionRef, SettlementId};
use super::owner::RETRY_INTERVAL;
use super::registry::{SettlementCommand, SettlementEvent, SettlementRegistry};
use super::request::{SettlementMessage, SettlementReply, SettlementRequest};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// Interval at which a request without a reply is repeated.
pub const REQUEST_RETRY: Micros = 50_000;
/// Time-out of a request: clients wait 0.4 s for an answer.
pub const REQUEST_TIMEOUT: Micros = 350_000;
/// Requests without a reply that a courier keeps at most: their bodies have up to 64 KiB each.
pub const MAX_PENDING_REQUESTS: usize = 1_024;

/// One input of [`RequestForwarder::step`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ForwardInput {
    /// A client's request.
    Request {
        /// The caller's number for the client's connection, repeated in the answer.
        ticket: u64,
        /// The settlement.
        id: SettlementId,
        /// What is requested.
        request: SettlementRequest,
    },
    /// An owner's reply.
    Reply {
        /// The settlement.
        id: SettlementId,
        /// The request that is answered.
        request: SettlementRequest,
        /// The reply to it.
        reply: SettlementReply,
    },
    /// What the agreed state has just changed.
    Committed(SettlementEvent),
    /// The time of [`RequestForwarder::wake_at`] has come.
    Tick,
}

/// One thing for the caller to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ForwardOutput {
    /// Send a message to a courier, which may be this one.
    Send {
        /// The courier's name.
        to: String,
        /// The message.
        message: SettlementMessage,
    },
    /// Propose a command to the agreement.
    Propose(SettlementCommand),
    /// Answer a client.
    Answer {
        /// The number that the client's request came with.
        ticket: u64,
        /// The answer.
        reply: SettlementReply,
    },
}

/// A request without a reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    id: SettlementId,
    request: SettlementRequest,
    retry_at: Micros,
    deadline: Micros,
}

impl PendingRequest {
    fn new(id: SettlementId, request: SettlementRequest, now: Micros) -> PendingRequest {
        let deadline = now.saturating_add(REQUEST_TIMEOUT);
        PendingRequest { id, request, retry_at: now, deadline }
    }

    fn at(&self) -> PositionRef {
        self.id.at(self.request.position_and_total().0)
    }
}

/// The requests that one courier forwards.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestForwarder {
    local_name: String,
    epoch: u64,
    /// By ticket.
    pending: BTreeMap<u64, PendingRequest>,
}

impl RequestForwarder {
    /// None yet, for a courier of this name in the registration of this epoch.
    pub fn new(local_name: &str, epoch: u64) -> RequestForwarder {
        RequestForwarder { local_name: local_name.into(), epoch, pending: BTreeMap::new() }
    }

    /// The number of requests without a reply.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// No request is without a reply.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When an [`ForwardInput::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        self.pending.values().map(|pending| pending.retry_at.min(pending.deadline)).min()
    }

    /// Handles one input; returns what is to be done, in order.
    pub fn step(
        &mut self,
        registry: &SettlementRegistry,
        input: ForwardInput,
        now: Micros,
    ) -> Vec<ForwardOutput> {
        match input {
            ForwardInput::Request { ticket, id, request } => {
                self.request(registry, ticket, PendingRequest::new(id, request, now), now)
            }
            ForwardInput::Reply { id, request, reply } => self.replied(&id, &request, &reply),
            ForwardInput::Committed(event) => self.committed(registry, &event, now),
            ForwardInput::Tick => {
                let due = self.tickets(|pending| now >= pending.retry_at || now >= pending.deadline);
                due.into_iter().flat_map(|ticket| self.route(registry, ticket, now)).collect()
            }
        }
    }

    fn tickets(&self, is_wanted: impl Fn(&PendingRequest) -> bool) -> Vec<u64> {
        self.pending.iter().filter(|(_, pending)| is_wanted(pending)).map(|(ticket, _)| *ticket).collect()
    }

    fn request(
        &mut self,
        registry: &SettlementRegistry,
        ticket: u64,
        request: PendingRequest,
        now: Micros,
    ) -> Vec<ForwardOutput> {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            let reply = SettlementReply::Rejected(SettlementError::Busy {
                at: request.at(),
                pending: MAX_PENDING_REQUESTS as u64,
                after: REQUEST_RETRY,
            });
            return vec![ForwardOutput::Answer { ticket, reply }];
        }
        self.pending.insert(ticket, request);
        self.route(registry, ticket, now)
    }

    fn replied(
        &mut self,
        id: &SettlementId,
        request: &SettlementRequest,
        reply: &SettlementReply,
    ) -> Vec<ForwardOutput> {
        let tickets = self.tickets(|pending| pending.id == *id && pending.request.key() == request.key());
        let answer = |ticket| {
            self.pending.remove(&ticket);
            ForwardOutput::Answer { ticket, reply: reply.clone() }
        };
        tickets.into_iter().map(answer).collect()
    }

    fn committed(
        &mut self,
        registry: &SettlementRegistry,
        event: &SettlementEvent,
        now: Micros,
    ) -> Vec<ForwardOutput> {
        let (id, rejected_at) = match event {
            SettlementEvent::Opened { id, .. }
            | SettlementEvent::Moved { id, .. }
            | SettlementEvent::Closed { id, .. } => (id, None),
            SettlementEvent::NotOpened { id, open } => (id, Some(*open)),
            SettlementEvent::NotMoved { .. } | SettlementEvent::CaughtUp { .. } => return Vec::new(),
        };
        let tickets = self.tickets(|pending| pending.id == *id);
        let step = |ticket| match rejected_at {
            None => self.route(registry, ticket, now),
            Some(open) => {
                let Some(pending) = self.pending.remove(&ticket) else { return Vec::new() };
                let reply = SettlementReply::Rejected(SettlementError::TooManyOpen {
                    at: pending.at(),
                    open,
                    after: RETRY_INTERVAL,
                });
                vec![ForwardOutput::Answer { ticket, reply }]
            }
        };
        tickets.into_iter().flat_map(step).collect()
    }

    /// Sends the request to the present owner, or proposes to own the settlement; answers what has ended or timed out.
    fn route(&mut self, registry: &SettlementRegistry, ticket: u64, now: Micros) -> Vec<ForwardOutput> {
        let Some(pending) = self.pending.get_mut(&ticket) else { return Vec::new() };
        let at = pending.at();
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
