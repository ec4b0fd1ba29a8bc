//! The clients of the modelled fleet: they submit the messages of a settlement at any courier, and retry elsewhere where
//! that helps.

use crate::event::WorldEvent;
use crate::invariants::Observations;
use crate::world::{Micros, PendingRequest, SettlementPlan, World};
use quillmount_fleet::settlement::{
    Repeat, SequencedMessage, SettlementError, SettlementId, SettlementReply, SettlementRequest, forward,
};

/// How often a client sends a request.
const ATTEMPTS: u64 = 6;
/// Tickets of one request: a ticket's last digit is the number of the attempt, from 0.
const TICKETS_PER_REQUEST: u64 = 10;

/// The ticket of a request's first attempt.
pub fn first_ticket(request_number: u64) -> u64 {
    request_number * TICKETS_PER_REQUEST
}

impl World {
    /// Plans a settlement, without submitting it.
    pub fn plan(&mut self, id: &SettlementId, total: u64, repeat: Repeat, deadline: Micros) {
        self.plans.insert(id.clone(), SettlementPlan { total, repeat, deadline });
        self.observations.insert(id.clone(), Observations::default());
    }

    /// The request that submits one message of a planned settlement.
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

    /// A client's request arrives at a courier, or does not, and then goes elsewhere.
    pub fn submit(&mut self, to: usize, ticket: u64, id: SettlementId, request: SettlementRequest) {
        if !self.couriers[to].is_up() {
            return self.submit_elsewhere(ticket, PendingRequest { courier: to, id, request });
        }
        let pending = PendingRequest { courier: to, id: id.clone(), request: request.clone() };
        self.pending_requests.insert(ticket, pending);
        self.step_forwarder(to, forward::ForwardInput::Request { ticket, id, request });
    }

    /// A client receives the answer, and retries elsewhere where that helps.
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
            SettlementReply::Rejected(SettlementError::Ended { .. } | SettlementError::Late(_)) => {}
            SettlementReply::Rejected(error) => {
                self.report_violation(format!("a submission was rejected: {error}"));
            }
        }
    }

    /// Sends a request to the next courier that is up, unless the client has given up.
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

    /// The clients that wait for an answer of a courier that is lost ask elsewhere.
    pub fn resubmit_pending_requests(&mut self, lost: usize) {
        let is_pending_there = |pending: &PendingRequest| pending.courier == lost;
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
