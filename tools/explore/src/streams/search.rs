//! The search of the world of streams: breadth first, so that the first counterexample is a shortest one.

use super::case::StreamCase;
use super::event::{BodyEvent, StreamEvent};
use super::world::StreamWorld;
use crate::courier::OpenError;
use crate::property::Violation;
use std::collections::{HashSet, VecDeque};

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct StreamSearch {
    /// Different states visited.
    pub states: usize,
    /// Events of the longest path.
    pub depth: usize,
    /// States in which a body waits, sent in part, as its destination asked another stream for a wait.
    pub paused_states: usize,
    /// A shortest path to a violation, if there is one.
    pub counterexample: Option<StreamCounterexample>,
}

/// A path of events, and what it violates.
#[derive(Clone, Debug)]
pub struct StreamCounterexample {
    /// The events from the beginning of the world.
    pub path: Vec<BodyEvent>,
    /// What does not hold after them.
    pub violation: Violation,
}

/// Explores every order of events, breadth first.
///
/// # Errors
/// The router rejects the settings.
pub fn explore(case: StreamCase) -> Result<StreamSearch, OpenError> {
    let root = StreamWorld::new(case)?;
    let mut frontier = Frontier::new(root);
    let mut depth = 0;
    let mut counterexample = None;
    while let Some(reached) = frontier.queue.pop_front() {
        depth = depth.max(reached.path.len());
        if let Err(found) = frontier.expand(&reached) {
            counterexample = Some(found);
            break;
        }
    }
    let Frontier { visited, paused_states, .. } = frontier;
    Ok(StreamSearch { states: visited.len(), depth, paused_states, counterexample })
}

/// A state, and the path that leads to it.
struct ReachedState {
    world: StreamWorld,
    path: Vec<BodyEvent>,
}

/// The states visited so far, and those whose successors are not.
struct Frontier {
    /// Fingerprints of all states visited.
    visited: HashSet<u128>,
    queue: VecDeque<ReachedState>,
    /// States visited in which a body waits, sent in part.
    paused_states: usize,
}

impl Frontier {
    fn new(root: StreamWorld) -> Frontier {
        let visited = HashSet::from([root.fingerprint()]);
        let queue = VecDeque::from([ReachedState { world: root, path: Vec::new() }]);
        Frontier { visited, queue, paused_states: 0 }
    }

    /// Visits all successors of a state.
    fn expand(&mut self, reached: &ReachedState) -> Result<(), StreamCounterexample> {
        let events = reached.world.events();
        // A state from which only a kill leads on has to be quiescent.
        if events.iter().all(|possible| possible.event == StreamEvent::Kill)
            && let Err(violation) = reached.world.check_quiescent()
        {
            return Err(StreamCounterexample { path: reached.path.clone(), violation });
        }
        for event in events {
            let mut world = reached.world.clone();
            let mut path = reached.path.clone();
            path.push(event);
            if let Err(violation) = world.apply(event) {
                return Err(StreamCounterexample { path, violation });
            }
            if self.visited.insert(world.fingerprint()) {
                self.paused_states += usize::from(world.has_paused_body());
                self.queue.push_back(ReachedState { world, path });
            }
        }
        Ok(())
    }
}
