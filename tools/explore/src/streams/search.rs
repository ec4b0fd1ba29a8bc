//! The search of the world of streams.

use super::case::StreamCase;
use super::event::{BodyEvent, StreamEvent};
use super::world::StreamWorld;
use crate::breadth_first::{self, Counterexample, SearchResult, SmallWorld};
use crate::courier::OpenError;
use crate::property::Violation;

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
pub type StreamCounterexample = Counterexample<BodyEvent, Violation>;

/// Explores every order of events, breadth first.
///
/// # Errors
/// The router rejects the settings.
pub fn explore(case: StreamCase) -> Result<StreamSearch, OpenError> {
    let root = StreamWorld::new(case)?;
    let mut paused_states = 0;
    let count_paused = |world: &StreamWorld| paused_states += usize::from(world.has_paused_body());
    let SearchResult { states, depth, counterexample } = breadth_first::search(root, count_paused);
    Ok(StreamSearch { states, depth, paused_states, counterexample })
}

impl SmallWorld for StreamWorld {
    type Event = BodyEvent;
    type Key = u128;
    type Violation = Violation;

    fn key(&self) -> u128 {
        self.fingerprint()
    }

    fn events(&self) -> Vec<BodyEvent> {
        self.events()
    }

    /// A state from which only a kill leads on.
    fn is_end(events: &[BodyEvent]) -> bool {
        events.iter().all(|possible| possible.event == StreamEvent::Kill)
    }

    fn check_quiescent(&self) -> Result<(), Violation> {
        self.check_quiescent()
    }

    fn apply(&mut self, event: BodyEvent) -> Result<(), Violation> {
        self.apply(event)
    }
}
