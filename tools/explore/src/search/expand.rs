//! The transitions out of one state.

use super::predecessors::PackedTransition;
use crate::action::{Action, CrashPoint, Transition};
use crate::case::{Case, FaultKind};
use crate::property::Violation;
use crate::world::World;

/// One transition out of a state, and its outcome.
pub(super) struct Successor {
    pub(super) transition: PackedTransition,
    /// The state after it.
    pub(super) world: World,
    /// Whether every property holds after it.
    pub(super) outcome: Result<(), Violation>,
}

/// Visits every transition out of a state, in a fixed order, with its outcome.
pub(super) fn expand(world: &World, case: &Case, reduction: bool, mut visit: impl FnMut(Successor)) {
    let actions = world.actions();
    // An independent action alone is enough: its order among the others makes no difference (partial-order reduction).
    let independent = actions.iter().position(|action| reduction && world.is_independent(*action));
    for (index, action) in actions.into_iter().enumerate() {
        if independent.is_some_and(|independent| independent != index) {
            continue;
        }
        let writes = visit_successor(world, index, action, None, &mut visit);
        if !world.may_crash() || independent.is_some() {
            continue;
        }
        for crash in crash_points(case, writes) {
            visit_successor(world, index, action, Some(crash), &mut visit);
        }
    }
}

/// Applies one action, by its index among those of the state; returns how often it wrote to the store.
fn visit_successor(
    world: &World,
    index: usize,
    action: Action,
    crash: Option<CrashPoint>,
    visit: &mut impl FnMut(Successor),
) -> u32 {
    let mut next = world.clone();
    let outcome = next.apply(Transition { action, crash });
    let writes = next.writes();
    visit(Successor { transition: PackedTransition::new(index, crash), world: next, outcome });
    writes
}

/// Where the process may be killed in a transition of so many writes.
fn crash_points(case: &Case, writes: u32) -> Vec<CrashPoint> {
    let mut points = Vec::new();
    for after in 0..=writes {
        if writes > 0 && case.allows(FaultKind::Kill) {
            points.push(CrashPoint { after, torn: false });
        }
        if after < writes && case.allows(FaultKind::TornWrite) {
            points.push(CrashPoint { after, torn: true });
        }
    }
    points
}
