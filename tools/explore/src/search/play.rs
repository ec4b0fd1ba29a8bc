//! Playing one path, transition by transition.

use crate::action::Transition;
use crate::case::Case;
use crate::property::Violation;
use crate::world::{World, WorldError};
use std::sync::Arc;

/// A violation on a path that was played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathViolation {
    /// Index of the transition that violated a property, or of the last one where the end of the path does.
    pub index: usize,
    /// What does not hold.
    pub violation: Violation,
}

/// A path can't be played.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// Its world can't be made.
    #[error(transparent)]
    World(#[from] WorldError),
    /// A transition is not possible where the path has it.
    #[error("move {number}: {transition}: is not open there")]
    NotEnabled {
        /// Its number on the path, from 1.
        number: usize,
        /// The transition.
        transition: Transition,
    },
}

/// Plays a path up to its first violation, which it returns; `visit` gets the index of each transition and the world
/// after it.
///
/// # Errors
/// A transition is not possible where the path has it, or the router rejects the settings of the case.
pub fn play(
    case: &Arc<Case>,
    path: &[Transition],
    mut visit: impl FnMut(usize, Transition, &World),
) -> Result<Option<PathViolation>, PlayError> {
    let mut world = World::new(case)?;
    for (index, transition) in path.iter().copied().enumerate() {
        if !world.actions().contains(&transition.action) {
            return Err(PlayError::NotEnabled { number: index + 1, transition });
        }
        let outcome = world.apply(transition);
        visit(index, transition, &world);
        if let Err(violation) = outcome {
            return Ok(Some(PathViolation { index, violation }));
        }
    }
    if world.actions().is_empty()
        && let Err(violation) = world.check_quiescent()
    {
        return Ok(Some(PathViolation { index: path.len().saturating_sub(1), violation }));
    }
    Ok(None)
}
