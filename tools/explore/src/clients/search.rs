//! The search of the world of clients: breadth first, so that the first counterexample is a shortest one.

use super::event::ClientEvent;
use super::perform::ClientViolation;
use super::world::ClientWorld;
use std::collections::{HashSet, VecDeque};

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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientCounterexample {
    /// The events from the beginning of the world.
    pub path: Vec<ClientEvent>,
    /// What does not hold after them.
    pub violation: ClientViolation,
}

/// Explores `clients` connections of `requests` requests each at a table for `max_connections`.
pub fn explore(clients: u8, requests: u8, max_connections: usize) -> ClientSearch {
    let mut frontier = Frontier::new(ClientWorld::new(clients, requests, max_connections));
    let mut depth = 0;
    let mut counterexample = None;
    while let Some(reached) = frontier.queue.pop_front() {
        depth = depth.max(reached.path.len());
        if let Err(found) = frontier.expand(&reached) {
            counterexample = Some(found);
            break;
        }
    }
    ClientSearch { states: frontier.visited.len(), depth, counterexample }
}

/// A state, and the path that leads to it.
struct ReachedState {
    world: ClientWorld,
    path: Vec<ClientEvent>,
}

/// The states visited so far, and those whose successors are not.
struct Frontier {
    /// Keys of all states visited.
    visited: HashSet<String>,
    queue: VecDeque<ReachedState>,
}

impl Frontier {
    fn new(root: ClientWorld) -> Frontier {
        let visited = HashSet::from([root.key()]);
        let queue = VecDeque::from([ReachedState { world: root, path: Vec::new() }]);
        Frontier { visited, queue }
    }

    /// Visits all successors of a state.
    fn expand(&mut self, reached: &ReachedState) -> Result<(), ClientCounterexample> {
        let events = reached.world.events();
        if events.is_empty()
            && let Err(violation) = reached.world.check_quiescent()
        {
            return Err(ClientCounterexample { path: reached.path.clone(), violation });
        }
        for event in events {
            let mut world = reached.world.clone();
            let mut path = reached.path.clone();
            path.push(event);
            if let Err(violation) = world.apply(event) {
                return Err(ClientCounterexample { path, violation });
            }
            if self.visited.insert(world.key()) {
                self.queue.push_back(ReachedState { world, path });
            }
        }
        Ok(())
    }
}
