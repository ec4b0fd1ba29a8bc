//! How each state of a search was reached. A state is stored as a node: the node of its parent, and the transition from it.
//! States and paths are rebuilt from these.

use crate::action::{CrashPoint, Transition};
use crate::property::Violation;
use crate::world::World;

/// Values of the index and of the crash point in a packed transition: one byte each.
const PACKED_VALUES: usize = 256;

/// A transition in two bytes: the index of its action among those of the state, and the crash point.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PackedTransition(u16);

impl PackedTransition {
    pub(super) fn new(action: usize, crash: Option<CrashPoint>) -> PackedTransition {
        let crash = crash.map_or(0, |crash| 1 + 2 * crash.after as u16 + u16::from(crash.torn));
        debug_assert!(
            action < PACKED_VALUES && usize::from(crash) < PACKED_VALUES,
            "a state has few actions, and an action few writes"
        );
        PackedTransition((crash << 8) | action as u16)
    }

    /// The transition out of this state.
    pub(super) fn unpack(self, world: &World) -> Option<Transition> {
        let [crash, action] = self.0.to_be_bytes();
        let action = *world.actions().get(usize::from(action))?;
        let crash = crash.checked_sub(1).map(|n| CrashPoint { after: u32::from(n / 2), torn: n % 2 == 1 });
        Some(Transition { action, crash })
    }
}

/// The nodes of all states visited, in the order in which they were found; six bytes for each. Node 0 is the root.
#[derive(Default)]
pub(super) struct Predecessors {
    parents: Vec<u32>,
    transitions: Vec<PackedTransition>,
}

impl Predecessors {
    /// Adds a node, and returns its number.
    pub(super) fn push(&mut self, parent: u32, transition: PackedTransition) -> u32 {
        self.parents.push(parent);
        self.transitions.push(transition);
        self.parents.len() as u32 - 1
    }

    /// The nodes from the root's first child to this one.
    fn chain(&self, mut node: u32) -> Vec<u32> {
        let mut chain = Vec::new();
        while node != 0 {
            chain.push(node);
            node = self.parents[node as usize];
        }
        chain.reverse();
        chain
    }

    /// The transitions that lead from the root to a node, and a last one out of it.
    fn path(&self, root: &World, node: u32, last: Option<PackedTransition>) -> Vec<Transition> {
        let mut world = root.clone();
        let mut path = Vec::new();
        let packed = self.chain(node).into_iter().map(|node| self.transitions[node as usize]);
        for packed in packed.chain(last) {
            let Some(transition) = packed.unpack(&world) else { break };
            path.push(transition);
            if world.apply(transition).is_err() {
                break;
            }
        }
        path
    }
}

/// A state on the way to the one that was rebuilt last.
struct RebuiltState {
    node: u32,
    world: World,
}

/// Rebuilds states from their paths, with a stack of the states on the way to the last one: neighbours in a layer share
/// most of theirs.
pub(super) struct Rebuilder {
    root: World,
    stack: Vec<RebuiltState>,
}

impl Rebuilder {
    pub(super) fn new(root: World) -> Rebuilder {
        Rebuilder { root, stack: Vec::new() }
    }

    /// The state of a node.
    pub(super) fn world(&mut self, predecessors: &Predecessors, node: u32) -> &World {
        let chain = predecessors.chain(node);
        let shared = self.stack.iter().zip(&chain).take_while(|(state, node)| state.node == **node).count();
        self.stack.truncate(shared);
        for node in chain.into_iter().skip(shared) {
            let mut world = self.last().clone();
            // The properties were checked when the node was found.
            if let Some(transition) = predecessors.transitions[node as usize].unpack(&world) {
                let _ = world.apply(transition);
            }
            self.stack.push(RebuiltState { node, world });
        }
        self.last()
    }

    fn last(&self) -> &World {
        self.stack.last().map_or(&self.root, |state| &state.world)
    }
}

/// A violation, and where it was found.
pub(super) struct FoundViolation {
    pub(super) node: u32,
    /// The transition out of the node; `None`: the state of the node itself violates a property.
    pub(super) transition: Option<PackedTransition>,
    pub(super) violation: Violation,
}

/// A violation, and the path to it.
pub(super) struct ViolatingPath {
    pub(super) path: Vec<Transition>,
    pub(super) violation: Violation,
}

/// The shortest path to one of the violations; of several the first in the order of transitions.
pub(super) fn shortest_path(
    root: &World,
    predecessors: &Predecessors,
    violations: Vec<FoundViolation>,
) -> Option<ViolatingPath> {
    let paths = violations.into_iter().map(|found| ViolatingPath {
        path: predecessors.path(root, found.node, found.transition),
        violation: found.violation,
    });
    paths.min_by(|one, other| (one.path.len(), &one.path).cmp(&(other.path.len(), &other.path)))
}
