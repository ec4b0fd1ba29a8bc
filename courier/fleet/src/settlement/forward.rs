//! Forwarding: a courier forwards the request of a client to the owner of the settlement, and returns the owner's
//! reply.
//!
//! Messages between couriers may be lost, duplicated and reordered. A request without a reply is repeated, to the
//! owner at the time of the retry. A request is identified by its settlement, position and message id, which makes
//! repeats idempotent.
//!
//! The caller passes each [`ForwardInput`] to [`RequestForwarder::step`] and carries out the [`ForwardOutput`]s.

use super::error::SettlementError;
use super::model::{PositionRef, SettlementId};
use super::owner::RETRY_INTERVAL;
use super::registry::{SettlementCommand, SettlementEvent, SettlementRegistry};
use super::request::{SettlementMessage, SettlementReply, SettlementRequest};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// Interval at which a request without a reply is repeated, in microseconds.
pub const REQUEST_RETRY: Micros = 50_000;
/// Timeout of a request, in microseconds: clients wait 0.4 s for an answer.
pub const REQUEST_TIMEOUT: Micros = 350_000;
/// Maximum number of requests without a reply at one courier. Their bodies have up to 64 KiB each.
pub const MAX_PENDING_REQUESTS: usize = 1_024;

/// One input of [`RequestForwarder::step`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ForwardInput {
    /// A client has sent a request to this courier.
    Request {
        /// The caller's number for the request, which is repeated in [`ForwardOutput::Answer`].
        ticket: u64,
        /// The settlement that the request belongs to.
        id: SettlementId,
        /// The request of the client.
        request: SettlementRequest,
    },
    /// An owner has replied to a forwarded request.
    Reply {
        /// The settlement that the request belongs to.
        id: SettlementId,
        /// The request that the reply answers.
        request: SettlementRequest,
        /// The result for the client.
        reply: SettlementReply,
    },
    /// A change of the replicated state that this courier has just applied.
    Committed(SettlementEvent),
    /// The time that [`RequestForwarder::wake_at`] returned is reached.
    Tick,
}

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ForwardOutput {
    /// Send a message to a courier, which may be this one.
    Send {
        /// The name of the courier.
        to: String,
        /// The request with its settlement.
        message: SettlementMessage,
    },
    /// Propose a command to the replicated log.
    Propose(SettlementCommand),
    /// Send the answer to a client.
    Answer {
        /// The ticket of the client's request.
        ticket: u64,
        /// The owner's reply, or the reason why there is none.
        reply: SettlementReply,
    },
}

/// A forwarded request that has no reply yet.
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

    fn position_ref(&self) -> PositionRef {
        self.id.position_ref(self.request.position_and_total().0)
    }
}

/// The forwarded requests of one courier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestForwarder {
    local_name: String,
    epoch: u64,
    /// By ticket.
    pending: BTreeMap<u64, PendingRequest>,
}

impl RequestForwarder {
    /// Creates a forwarder without requests, for the courier `local_name` in the registration with this epoch.
    pub fn new(local_name: &str, epoch: u64) -> RequestForwarder {
        RequestForwarder { local_name: local_name.into(), epoch, pending: BTreeMap::new() }
    }

    /// Returns the number of requests that wait for a reply.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no request waits for a reply.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns when [`ForwardInput::Tick`] is due, in microseconds; `None` if no request waits for a reply.
    pub fn wake_at(&self) -> Option<Micros> {
        self.pending.values().map(|pending| pending.retry_at.min(pending.deadline)).min()
    }

    /// Handles one input at time `now`; returns the actions in the order in which the caller carries them out.
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
                position_ref: request.position_ref(),
                pending_requests: MAX_PENDING_REQUESTS as u64,
                retry_after: REQUEST_RETRY,
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
        let (id, rejected_with) = match event {
            SettlementEvent::Opened { id, .. }
            | SettlementEvent::Moved { id, .. }
            | SettlementEvent::Closed { id, .. } => (id, None),
            SettlementEvent::NotOpened { id, open_settlements } => (id, Some(*open_settlements)),
            SettlementEvent::NotMoved { .. } | SettlementEvent::CaughtUp { .. } => return Vec::new(),
        };
        let tickets = self.tickets(|pending| pending.id == *id);
        let step = |ticket| match rejected_with {
            None => self.route(registry, ticket, now),
            Some(open_settlements) => {
                let Some(pending) = self.pending.remove(&ticket) else { return Vec::new() };
                let reply = SettlementReply::Rejected(SettlementError::TooManyOpen {
                    position_ref: pending.position_ref(),
                    open_settlements,
                    retry_after: RETRY_INTERVAL,
                });
                vec![ForwardOutput::Answer { ticket, reply }]
            }
        };
        tickets.into_iter().flat_map(step).collect()
    }

    /// Sends the request to the current owner, or proposes this courier as the owner if there is none. A request
    /// that has timed out or whose settlement has ended is answered instead.
    fn route(&mut self, registry: &SettlementRegistry, ticket: u64, now: Micros) -> Vec<ForwardOutput> {
        let Some(pending) = self.pending.get_mut(&ticket) else { return Vec::new() };
        let position_ref = pending.position_ref();
        let verdict = registry.verdict(&pending.id);
        if verdict.is_some() || now >= pending.deadline {
            self.pending.remove(&ticket);
            let error = verdict.map_or(SettlementError::NoReply(position_ref.clone()), |verdict| {
                SettlementError::Ended { position_ref, verdict }
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
