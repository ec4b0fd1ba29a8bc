//! A path as it is printed: transition by transition, and the state at its end.

use super::error::CommandError;
use quillmount_explore::action::Transition;
use quillmount_explore::case::Case;
use quillmount_explore::property::Violation;
use quillmount_explore::search::play;
use std::sync::Arc;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Plays and prints a path; returns the violation on it, if there is one.
///
/// # Errors
/// The path can't be played.
pub fn print_trace(case: &Arc<Case>, path: &[Transition]) -> Result<Option<Violation>, CommandError> {
    let mut state = Vec::new();
    let violated = play(case, path, |index, transition, world| {
        let seconds = world.now() as f64 / MICROSECONDS_PER_SECOND;
        println!("{:3}. {seconds:>12.6} s  {transition}", index + 1);
        state = world.describe();
    })?;
    for line in state {
        println!("     {line}");
    }
    match violated {
        Some(found) => {
            println!("broken at move {}: {}", found.index + 1, found.violation);
            Ok(Some(found.violation))
        }
        None => {
            println!("nothing is broken on this path");
            Ok(None)
        }
    }
}
