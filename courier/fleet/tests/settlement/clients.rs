//! The clients of the modelled fleet. They submit the messages of a settlement to any courier, and retry at another
//! courier after retryable errors.

use crate::event::WorldEvent;
use crate::invariants::Observations;
use crate::world::{Micros, PendingRequest, SettlementPlan, World};
use quillmount_fleet::settlement::{
    Repeat, SequencedMessage, SettlementError, SettlementId, SettlementReply, SettlementRequest, forward,
};

/// Maximum number of attempts of a client to send one request.
const ATTEMPTS: u64 = 6;
/// Number of tickets per request: the last digit of a ticket is the number of the attempt, counted from 0.
const TICKETS_PER_REQUEST: u64 = 10;

/// Returns the ticket of the first attempt of a request.
pub fn first_ticket(request_number: u64) -> u64 {
    request_number * TICKETS_PER_REQUEST
}

impl World {
    /// Plans a settlement without submitting any message.
    pub fn plan(&mut self, id: &SettlementId, total: u64, repeat: Repeat, deadline: Micros) {
        self.plans.insert(id.clone(), SettlementPlan { total, repeat, deadline });
        self.observations.insert(id.clone(), Observations::default());
    }

    /// Returns the request that submits one message of a planned settlement.
    pub fn submission(&self, id: &SettlementId, position: u64) -> SettlementRequest {
        let plan = &self.plans[id];
        SettlementRequest::Submit(SequencedMessage {
            position,
            total: (position == plan.total).then_some(plan.total),
            message_id: format!("{}-{position}", id.name),
            repeat: plan.repeat,
            deadline: plan.deadline,
            size: 100,
            checksum: position,
        })
    }

    /// Delivers a client's request to a courier; the client retries elsewhere if the courier is not up.
    pub fn submit(&mut self, to: usize, ticket: u64, id: SettlementId, request: SettlementRequest) {
        if !self.couriers[to].is_up() {
            return self.submit_elsewhere(ticket, PendingRequest { courier: to, id, request });
        }
        let pending = PendingRequest { courier: to, id: id.clone(), request: request.clone() };
        self.pending_requests.insert(ticket, pending);
        self.step_forwarder(to, forward::ForwardInput::Request { ticket, id, request });
    }

    /// Delivers the answer to a client, which retries elsewhere after a retryable error.
    pub fn answer_client(&mut self, ticket: u64, reply: SettlementReply) {
        let Some(pending) = self.pending_requests.remove(&ticket) else { return };
        match reply {
            SettlementReply::Accepted => {
                let observed = self.observations.get_mut(&pending.id).unwrap();
                observed.accepted.extend(pending.request.sequenced().map(|message| message.position));
            }
            SettlementReply::Ended(_) => {}
            SettlementReply::Rejected(
                SettlementError::NoReply(_) | SettlementError::StorageFull(_) | SettlementError::Busy { .. },
            ) => self.submit_elsewhere(ticket, pending),
            SettlementReply::Rejected(SettlementError::Ended { .. } | SettlementError::DeadlinePassed(_)) => {
            }
            SettlementReply::Rejected(error) => {
                self.report_violation(format!("unexpected rejection of a submission: {error}"));
            }
        }
    }

    /// Sends a request to the next courier that is up, unless the client has made its last attempt.
    pub fn submit_elsewhere(&mut self, ticket: u64, pending: PendingRequest) {
        let count = self.couriers.len();
        let others = (1..=count).map(|step| (pending.courier + step) % count);
        let to = others.into_iter().find(|to| self.couriers[*to].is_up());
        if let Some(to) = to
            && ticket % TICKETS_PER_REQUEST < ATTEMPTS
        {
            let PendingRequest { id, request, .. } = pending;
            self.send(WorldEvent::Submit { to, ticket: ticket + 1, id, request });
        }
    }

    /// The clients that wait for an answer from a lost courier retry elsewhere.
    pub fn resubmit_pending_requests(&mut self, lost_courier: usize) {
        let is_pending_there = |pending: &PendingRequest| pending.courier == lost_courier;
        let tickets: Vec<u64> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| is_pending_there(pending))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            let pending = self.pending_requests.remove(&ticket).unwrap();
            self.submit_elsewhere(ticket, pending);
        }
    }
}
