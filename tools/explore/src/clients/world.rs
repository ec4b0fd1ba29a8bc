//! The state of the world of clients: the table of connections, and each connection with what has arrived on it.

use super::event::RequestArrival;
use quillmount_core::admission::{Admission, SLOW_CLIENT_TIMEOUT};
use quillmount_core::machine::client::{ClientConnection, ClientOutput, ClientState};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// One connection of a client, as its driver has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelledConnection {
    pub(super) machine: ClientConnection,
    /// What the machine wants its driver to do.
    pub(super) output: ClientOutput,
    /// What has arrived of the next request.
    pub(super) arrived: RequestArrival,
    /// It was asked to close, and its driver has not received that.
    pub(super) close_requested: bool,
    /// It was asked to close during a request: what does not arrive in a moment is not waited for.
    pub(super) hurried: bool,
    /// Requests that its client will still send.
    pub(super) requests_left: u8,
    /// Requests that were answered.
    pub(super) answered: u8,
    /// When it entered its state.
    pub(super) since: Micros,
}

impl ModelledConnection {
    /// A connection that was just established.
    pub(super) fn new(requests: u8, now: Micros) -> ModelledConnection {
        ModelledConnection {
            machine: ClientConnection::default(),
            output: ClientOutput::Read,
            arrived: RequestArrival::Nothing,
            close_requested: false,
            hurried: false,
            requests_left: requests,
            answered: 0,
            since: now,
        }
    }

    /// Whether it reads a request that is not its first.
    pub(super) fn is_follow_up(&self) -> bool {
        matches!(self.machine.state(), ClientState::Requesting { first: false, .. })
    }

    /// Whether it has been in its state for the grace time of admission.
    pub(super) fn is_past_grace(&self, now: Micros) -> bool {
        now - self.since >= SLOW_CLIENT_TIMEOUT
    }
}

/// The courier's side of all connections, and the clients that are still to connect.
#[derive(Clone, Debug)]
pub(super) struct ClientWorld {
    pub(super) admission: Admission,
    /// Connections by their numbers in the table.
    pub(super) connections: BTreeMap<u64, ModelledConnection>,
    /// Clients that have not connected yet.
    pub(super) remaining_clients: u8,
    /// Requests that each client sends.
    pub(super) requests: u8,
    pub(super) now: Micros,
    /// The courier stops.
    pub(super) closing: bool,
}

impl ClientWorld {
    /// A world at its beginning: no client has connected.
    pub(super) fn new(clients: u8, requests: u8, max_connections: usize) -> ClientWorld {
        ClientWorld {
            admission: Admission::new(max_connections),
            connections: BTreeMap::new(),
            remaining_clients: clients,
            requests,
            now: 1,
            closing: false,
        }
    }

    /// All that matters for what may come next, with ages relative to the present.
    pub(super) fn key(&self) -> String {
        let connections: Vec<_> = self
            .connections
            .iter()
            .map(|(number, connection)| {
                let ModelledConnection {
                    machine,
                    output,
                    arrived,
                    close_requested,
                    hurried,
                    requests_left,
                    answered: _,
                    since: _,
                } = connection;
                let is_past_grace = connection.is_past_grace(self.now);
                (number, machine, output, arrived, close_requested, hurried, requests_left, is_past_grace)
            })
            .collect();
        format!(
            "{connections:?} {:?} {} {} {:?}",
            self.numbers_by_age(),
            self.remaining_clients,
            self.closing,
            self.admission.close_requests()
        )
    }

    /// Connections in the order in which they entered their states, which ranks them for eviction too.
    fn numbers_by_age(&self) -> Vec<u64> {
        let mut numbers: Vec<u64> = self.connections.keys().copied().collect();
        numbers.sort_by_key(|number| self.connections[number].since);
        numbers
    }
}
