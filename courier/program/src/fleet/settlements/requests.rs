//! Requests to the owners of settlements and their replies: steps the forwarding machine, and sends what it asks for to the
//! other couriers, to the settlements here, or to the fleet's leader.

use super::SettlementHost;
use bytes::Bytes;
use quillmount_fleet::config::Name;
use quillmount_fleet::message::FleetMessage;
use quillmount_fleet::settlement::forward::{ForwardInput, ForwardOutput};
use quillmount_fleet::settlement::journal_lines::MessagePayload;
use quillmount_fleet::settlement::owner::OwnerInput;
use quillmount_fleet::settlement::{SettlementId, SettlementMessage, SettlementReply, SettlementRequest};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A message whose client waits for the owner's reply.
pub(super) struct PendingRequest {
    id: SettlementId,
    request: SettlementRequest,
    payload: MessagePayload,
    reply: oneshot::Sender<SettlementReply>,
}

impl SettlementHost {
    /// Sends a request to the settlement's owner; its reply comes through the channel.
    pub(super) fn request(
        &self,
        id: SettlementId,
        request: SettlementRequest,
        payload: MessagePayload,
    ) -> oneshot::Receiver<SettlementReply> {
        let (sender, receiver) = oneshot::channel();
        let pending = PendingRequest { id: id.clone(), request: request.clone(), payload, reply: sender };
        let ticket = {
            let mut state = self.state.borrow_mut();
            state.last_ticket += 1;
            let ticket = state.last_ticket;
            state.pending_requests.insert(ticket, pending);
            ticket
        };
        self.step_forwarder(ForwardInput::Request { ticket, id, request });
        receiver
    }

    /// Steps the forwarding machine, and carries its outputs out.
    pub(super) fn step_forwarder(&self, input: ForwardInput) {
        let outputs = {
            let member = self.member.borrow();
            self.state.borrow_mut().forwarder.step(&member.state().settlements, input, self.now())
        };
        for output in outputs {
            match output {
                ForwardOutput::Send { to, message } => self.send_request(to, message),
                ForwardOutput::Propose(command) => self.state.borrow_mut().proposals.push_back(command),
                ForwardOutput::Answer { ticket, reply } => {
                    let pending = self.state.borrow_mut().pending_requests.remove(&ticket);
                    // A client that has gone gets no response.
                    pending.map(|pending| pending.reply.send(reply));
                }
            }
        }
        self.work_added.notify_waiters();
        self.timers_changed.notify_one();
    }

    /// Sends a request to a settlement's owner, which may be this courier.
    fn send_request(&self, to: Name, message: SettlementMessage) {
        let SettlementMessage::Request { id, request } = &message else { return };
        let payload = {
            let state = self.state.borrow();
            let mut pending = state.pending_requests.values();
            let own = pending.find(|pending| pending.id == *id && pending.request.key() == request.key());
            own.map(|pending| pending.payload.clone())
        };
        if to == self.local_name {
            let input = OwnerInput::Request { from: to, id: id.clone(), request: request.clone() };
            return self.step_owned(input, payload);
        }
        let payload = Bytes::from(postcard::to_allocvec(&payload).unwrap_or_default());
        self.send(&to, message, payload);
    }

    /// Sends a message to another courier.
    pub(super) fn send(&self, to: &str, message: SettlementMessage, payload: Bytes) {
        self.links.send(to, FleetMessage::Settlement { message: Box::new(message), payload });
    }

    /// Proposes commands that clients' messages need, outside of the calls that brought them. Never returns.
    pub(super) async fn run_proposals(self: Rc<Self>) {
        loop {
            let added = self.work_added.notified();
            let command = self.state.borrow_mut().proposals.pop_front();
            match command {
                Some(command) => (self.propose)(command),
                None => added.await,
            }
        }
    }
}
