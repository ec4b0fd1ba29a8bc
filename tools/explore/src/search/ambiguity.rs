//! A check of the fingerprint itself: states that it takes for one must have the same successors. Where they have not,
//! something that the fingerprint leaves out decides what comes next, and a search may miss states.

use super::expand::expand;
use super::visited::fingerprint;
use crate::action::Transition;
use crate::case::Case;
use crate::world::{World, WorldError};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Two paths to states with one fingerprint and different successors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ambiguity {
    /// The path to the one.
    pub first: Vec<Transition>,
    /// The path to the other.
    pub second: Vec<Transition>,
}

/// A state that was reached, with its path.
struct ReachedState {
    world: World,
    path: Vec<Transition>,
}

/// What is known of the states with one fingerprint.
struct KnownState {
    successors: Vec<u128>,
    path: Vec<Transition>,
}

/// Explores a case on one thread, and expands every state each time that it is reached.
///
/// # Errors
/// The router rejects the settings of the case.
pub fn find_ambiguity(case: &Arc<Case>, reduction: bool) -> Result<Option<Ambiguity>, WorldError> {
    let mut known: HashMap<u128, KnownState> = HashMap::new();
    let mut queue = VecDeque::from([ReachedState { world: World::new(case)?, path: Vec::new() }]);
    while let Some(ReachedState { world, path }) = queue.pop_front() {
        let mut successors = Vec::new();
        let mut reached = Vec::new();
        expand(&world, case, reduction, |successor| {
            successors.push(fingerprint(&successor.world, reduction));
            if let Some(transition) = successor.transition.unpack(&world) {
                let path = path.iter().copied().chain([transition]).collect();
                reached.push(ReachedState { world: successor.world, path });
            }
        });
        successors.sort_unstable();
        let state = fingerprint(&world, reduction);
        match known.get(&state) {
            None => {
                known.insert(state, KnownState { successors, path });
                queue.extend(reached);
            }
            Some(before) if before.successors == successors => {}
            Some(before) => return Ok(Some(Ambiguity { first: before.path.clone(), second: path })),
        }
    }
    Ok(None)
}
