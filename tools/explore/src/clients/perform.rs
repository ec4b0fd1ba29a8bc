//! What each event does to the connections of clients, and the checks of its outcome.

use super::event::{ClientEvent, RequestArrival};
use super::world::{ClientWorld, ModelledConnection};
use quillmount_core::admission::{CLOSING_MAX, Decision, SLOW_CLIENT_TIMEOUT};
use quillmount_core::machine::client::{ClientInput, ClientOutput, ClientState};

/// What does not hold in the world of clients.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientViolation {
    /// A connection is closed by the courier although a complete request has arrived on it that is not its first.
    #[error("connection {number} is closed under a whole request: {connection}")]
    RequestLost {
        /// Its number in the table.
        number: u64,
        /// Its state, as text.
        connection: String,
    },
    /// More connections are closing than there may be.
    #[error("{leaving} of {open} are leaving")]
    TooManyLeaving {
        /// Connections that are closing.
        leaving: usize,
        /// Connections that are open, with those.
        open: usize,
    },
    /// Nothing can happen any more, and connections are left.
    #[error("left at rest: {connections}")]
    NotQuiescent {
        /// Their states, as text.
        connections: String,
    },
}

impl ClientWorld {
    /// Carries out one event, and checks its outcome.
    ///
    /// # Errors
    /// A request is lost, or too many connections are closing.
    pub(super) fn apply(&mut self, event: ClientEvent) -> Result<(), ClientViolation> {
        self.now += 1;
        self.perform(event)?;
        if self.closing {
            self.request_closes();
        }
        self.check_leaving()
    }

    /// Checks a state in which nothing can happen any more: no connection is left.
    ///
    /// # Errors
    /// A connection is left.
    pub(super) fn check_quiescent(&self) -> Result<(), ClientViolation> {
        if self.connections.is_empty() {
            return Ok(());
        }
        Err(ClientViolation::NotQuiescent { connections: format!("{:?}", self.connections) })
    }

    fn perform(&mut self, event: ClientEvent) -> Result<(), ClientViolation> {
        match event {
            ClientEvent::Connects => self.connect(),
            ClientEvent::Sends(number, arrived) => {
                self.connections.entry(number).and_modify(|connection| connection.arrived = arrived);
                Ok(())
            }
            ClientEvent::DriverProceeds(number) => self.proceed(number),
            ClientEvent::TimedOut(number) => self.time_out(number),
            ClientEvent::ConnectionBroken(number) => {
                self.break_connection(number);
                Ok(())
            }
            ClientEvent::TimePasses => {
                self.now += SLOW_CLIENT_TIMEOUT;
                Ok(())
            }
            ClientEvent::CourierStops => {
                self.closing = true;
                Ok(())
            }
        }
    }

    fn check_leaving(&self) -> Result<(), ClientViolation> {
        let states = self.connections.values().map(|connection| connection.machine.state());
        let leaving = states.filter(|state| *state == ClientState::Leaving).count();
        if leaving > CLOSING_MAX {
            return Err(ClientViolation::TooManyLeaving { leaving, open: self.connections.len() });
        }
        Ok(())
    }

    /// Asks all idle connections to close.
    fn request_closes(&mut self) {
        for number in self.admission.close_all_idle() {
            self.request_close(number);
        }
    }

    fn request_close(&mut self, number: u64) {
        self.connections.entry(number).and_modify(|connection| connection.close_requested = true);
    }

    /// One more client connects, if admission allows it.
    fn connect(&mut self) -> Result<(), ClientViolation> {
        match self.admission.decide(self.now) {
            Decision::Admit => {}
            Decision::RequestClose(number) => self.request_close(number),
            Decision::Evict(number) => {
                if let Some(evicted) = self.connections.remove(&number) {
                    check_no_request_lost(number, &evicted)?;
                }
            }
            // It waits until another one is closed.
            Decision::Wait => return Ok(()),
        }
        self.remaining_clients -= 1;
        let number = self.admission.add(self.now);
        self.connections.insert(number, ModelledConnection::new(self.requests, self.now));
        Ok(())
    }

    /// The driver of a connection does what it can do at once.
    fn proceed(&mut self, number: u64) -> Result<(), ClientViolation> {
        let closes = self.closing;
        let Some(connection) = self.connections.get_mut(&number) else { return Ok(()) };
        match connection.output {
            ClientOutput::Read if connection.arrived == RequestArrival::Complete => {
                connection.arrived = RequestArrival::Nothing;
                connection.requests_left -= 1;
                self.step(number, ClientInput::Requested { probe: false, closes })
            }
            ClientOutput::Read => {
                connection.close_requested = false;
                connection.hurried = true;
                Ok(())
            }
            _ if connection.arrived != RequestArrival::Nothing => self.step(number, ClientInput::Readable),
            _ => {
                connection.close_requested = false;
                self.step(number, ClientInput::Leave)
            }
        }
    }

    /// What the driver of a connection waits for takes too long.
    fn time_out(&mut self, number: u64) -> Result<(), ClientViolation> {
        let Some(connection) = self.connections.get(&number) else { return Ok(()) };
        let input = match (connection.output, connection.arrived) {
            (ClientOutput::Read, RequestArrival::Nothing) => ClientInput::Silent,
            // Slow: a malformed request is answered, and the connection closed.
            (ClientOutput::Read, _) => ClientInput::Requested { probe: false, closes: true },
            (ClientOutput::Rest, _) => ClientInput::Leave,
            (ClientOutput::AwaitLastRequest, _) => ClientInput::NothingArrived,
            _ => ClientInput::Lingered,
        };
        self.step(number, input)
    }

    /// A connection breaks: what had arrived on it is lost, which is no fault of the courier.
    fn break_connection(&mut self, number: u64) {
        if self.step_machine(number, ClientInput::Broken) == Some(ClientOutput::Close) {
            self.close(number);
        }
    }
}

impl ClientWorld {
    /// Applies an input to a connection; one that the courier closes may lose no request.
    fn step(&mut self, number: u64, input: ClientInput) -> Result<(), ClientViolation> {
        if self.step_machine(number, input) == Some(ClientOutput::Close)
            && let Some(closed) = self.close(number)
        {
            check_no_request_lost(number, &closed)?;
        }
        Ok(())
    }

    /// Applies an input to the machine of a connection; returns what the driver is to do next.
    fn step_machine(&mut self, number: u64, input: ClientInput) -> Option<ClientOutput> {
        let connection = self.connections.get_mut(&number)?;
        connection.output = connection.machine.step(input);
        match connection.output {
            ClientOutput::Read
            | ClientOutput::Rest
            | ClientOutput::AwaitLastRequest
            | ClientOutput::Linger => {
                connection.since = self.now;
                connection.hurried = false;
                self.admission.set_state(number, connection.machine.state(), self.now);
            }
            // The driver writes an answer at once: it is small, and the socket's buffer has space for it.
            ClientOutput::Answer { .. } => {
                connection.answered += 1;
                return self.step_machine(number, ClientInput::Answered);
            }
            ClientOutput::Close | ClientOutput::Nothing => {}
        }
        Some(connection.output)
    }

    /// Removes a connection, which is closed.
    fn close(&mut self, number: u64) -> Option<ModelledConnection> {
        self.admission.remove(number);
        self.connections.remove(&number)
    }
}

/// A request that has arrived completely may be lost with its connection only if it was the first.
fn check_no_request_lost(number: u64, connection: &ModelledConnection) -> Result<(), ClientViolation> {
    if connection.arrived == RequestArrival::Complete && connection.answered > 0 {
        return Err(ClientViolation::RequestLost { number, connection: format!("{connection:?}") });
    }
    Ok(())
}
