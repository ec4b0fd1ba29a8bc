//! The search of the small worlds: breadth first on one thread, so that the first counterexample is a shortest one.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// A world whose every order of events is explored.
pub(crate) trait SmallWorld: Clone {
    /// Something that may happen.
    type Event: Copy;
    /// What tells states apart.
    type Key: Eq + Hash;
    /// What does not hold.
    type Violation;

    /// All that matters for what may come next.
    fn key(&self) -> Self::Key;

    /// Every event that is possible in this state, in a fixed order.
    fn events(&self) -> Vec<Self::Event>;

    /// Whether a state with these events is an end, which has to be quiescent.
    fn is_end(events: &[Self::Event]) -> bool;

    /// Checks a state that is an end.
    fn check_quiescent(&self) -> Result<(), Self::Violation>;

    /// Carries out one event, and checks every property afterwards.
    fn apply(&mut self, event: Self::Event) -> Result<(), Self::Violation>;
}

/// A path of events, and what does not hold after them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample<Event, Violation> {
    /// The events from the beginning of the world.
    pub path: Vec<Event>,
    /// What does not hold after them.
    pub violation: Violation,
}

/// What a search found.
pub(crate) struct SearchResult<World: SmallWorld> {
    /// Different states visited.
    pub(crate) states: usize,
    /// Events of the longest path.
    pub(crate) depth: usize,
    /// A shortest path to a violation, if there is one.
    pub(crate) counterexample: Option<Counterexample<World::Event, World::Violation>>,
}

/// Explores every order of events from a state. `on_visit` is shown each new state but the first.
pub(crate) fn search<World: SmallWorld>(root: World, on_visit: impl FnMut(&World)) -> SearchResult<World> {
    let mut frontier = Frontier::new(root, on_visit);
    let mut depth = 0;
    let mut counterexample = None;
    while let Some(reached) = frontier.queue.pop_front() {
        depth = depth.max(reached.path.len());
        if let Err(found) = frontier.expand(&reached) {
            counterexample = Some(found);
            break;
        }
    }
    SearchResult { states: frontier.visited.len(), depth, counterexample }
}

/// A state, and the path that leads to it.
struct ReachedState<World: SmallWorld> {
    world: World,
    path: Vec<World::Event>,
}

/// The states visited so far, and those whose successors are not.
struct Frontier<World: SmallWorld, OnVisit> {
    /// Keys of all states visited.
    visited: HashSet<World::Key>,
    queue: VecDeque<ReachedState<World>>,
    on_visit: OnVisit,
}

impl<World: SmallWorld, OnVisit: FnMut(&World)> Frontier<World, OnVisit> {
    fn new(root: World, on_visit: OnVisit) -> Self {
        let visited = HashSet::from([root.key()]);
        let queue = VecDeque::from([ReachedState { world: root, path: Vec::new() }]);
        Frontier { visited, queue, on_visit }
    }

    /// Visits all successors of a state.
    fn expand(
        &mut self,
        reached: &ReachedState<World>,
    ) -> Result<(), Counterexample<World::Event, World::Violation>> {
        let events = reached.world.events();
        if World::is_end(&events)
            && let Err(violation) = reached.world.check_quiescent()
        {
            return Err(Counterexample { path: reached.path.clone(), violation });
        }
        for event in events {
            let mut world = reached.world.clone();
            let mut path = reached.path.clone();
            path.push(event);
            if let Err(violation) = world.apply(event) {
                return Err(Counterexample { path, violation });
            }
            if self.visited.insert(world.key()) {
                (self.on_visit)(&world);
                self.queue.push_back(ReachedState { world, path });
            }
        }
        Ok(())
    }
}
