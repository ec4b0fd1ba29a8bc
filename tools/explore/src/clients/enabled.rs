//! What may happen next in the world of clients: every event that is possible in a state.

use super::event::{ClientEvent, RequestArrival};
use super::world::{ClientWorld, ModelledConnection};
use quillmount_core::machine::client::ClientOutput;

impl ClientWorld {
    /// Every event that is possible in this state, in a fixed order.
    pub(super) fn events(&self) -> Vec<ClientEvent> {
        let mut events = Vec::new();
        if self.remaining_clients > 0 && !self.closing {
            events.push(ClientEvent::Connects);
        }
        for (number, connection) in &self.connections {
            events.extend(connection.events(*number));
        }
        // The driver does not let time pass over what it can do.
        let is_idle = !self.connections.values().any(ModelledConnection::is_ready);
        if is_idle && self.connections.values().any(|connection| !connection.is_past_grace(self.now)) {
            events.push(ClientEvent::TimePasses);
        }
        if !self.closing {
            events.push(ClientEvent::CourierStops);
        }
        events
    }
}

impl ModelledConnection {
    /// What may happen to this connection.
    fn events(&self, number: u64) -> Vec<ClientEvent> {
        let mut events = Vec::new();
        if self.may_receive() {
            if self.arrived == RequestArrival::Nothing {
                events.push(ClientEvent::Sends(number, RequestArrival::Partial));
            }
            events.push(ClientEvent::Sends(number, RequestArrival::Complete));
        }
        if self.is_ready() {
            events.push(ClientEvent::DriverProceeds(number));
        }
        if self.may_time_out() {
            events.push(ClientEvent::TimedOut(number));
        }
        events.push(ClientEvent::ConnectionBroken(number));
        events
    }

    /// Whether its client may send more of its next request.
    fn may_receive(&self) -> bool {
        let is_open =
            matches!(self.output, ClientOutput::Read | ClientOutput::Rest | ClientOutput::AwaitLastRequest);
        is_open && self.requests_left > 0 && self.arrived != RequestArrival::Complete
    }

    /// Whether its driver can go on at once.
    fn is_ready(&self) -> bool {
        let has_arrived = self.arrived != RequestArrival::Nothing;
        match self.output {
            ClientOutput::Read => {
                let is_to_hurry = self.close_requested && !self.hurried && self.is_follow_up();
                self.arrived == RequestArrival::Complete || is_to_hurry
            }
            ClientOutput::Rest => has_arrived || self.close_requested,
            ClientOutput::AwaitLastRequest => has_arrived,
            _ => false,
        }
    }

    /// Whether its driver may wait in vain: what is there to be read is read first.
    fn may_time_out(&self) -> bool {
        match self.output {
            ClientOutput::Read => self.arrived != RequestArrival::Complete,
            ClientOutput::Rest | ClientOutput::AwaitLastRequest => self.arrived == RequestArrival::Nothing,
            ClientOutput::Linger => true,
            _ => false,
        }
    }
}
