//! The search of the world of clients.

use super::event::ClientEvent;
use super::perform::ClientViolation;
use super::world::ClientWorld;
use crate::breadth_first::{self, Counterexample, SearchResult, SmallWorld};

/// The result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSearch {
    /// Different states visited.
    pub states: usize,
    /// Events of the longest path.
    pub depth: usize,
    /// A shortest path to a violation, if there is one.
    pub counterexample: Option<ClientCounterexample>,
}

/// A path of events, and what does not hold after them.
pub type ClientCounterexample = Counterexample<ClientEvent, ClientViolation>;

/// Explores `clients` connections of `requests` requests each at a table for `max_connections`.
pub fn explore(clients: u8, requests: u8, max_connections: usize) -> ClientSearch {
    let root = ClientWorld::new(clients, requests, max_connections);
    let SearchResult { states, depth, counterexample } = breadth_first::search(root, |_| {});
    ClientSearch { states, depth, counterexample }
}

impl SmallWorld for ClientWorld {
    type Event = ClientEvent;
    type Key = String;
    type Violation = ClientViolation;

    fn key(&self) -> String {
        self.key()
    }

    fn events(&self) -> Vec<ClientEvent> {
        self.events()
    }

    fn is_end(events: &[ClientEvent]) -> bool {
        events.is_empty()
    }

    fn check_quiescent(&self) -> Result<(), ClientViolation> {
        self.check_quiescent()
    }

    fn apply(&mut self, event: ClientEvent) -> Result<(), ClientViolation> {
        self.apply(event)
    }
}
