//! `shrink`: leaves out transitions that a recorded counterexample does not need.

use super::check::enable_break;
use super::error::CommandError;
use super::exit_status::ExitStatus;
use super::file::CounterexampleFile;
use super::trace::print_trace;
use quillmount_explore::action::Transition;
use quillmount_explore::case::Case;
use quillmount_explore::property::{Property, Violation};
use quillmount_explore::search::play;
use std::path::Path;
use std::sync::Arc;

/// A path that ends with its violation.
struct ViolatingPath {
    transitions: Vec<Transition>,
    violation: Violation,
}

/// Tries to leave out each transition, as long as the same property is violated, and writes the file with what is left.
pub fn run(path: &Path) -> Result<ExitStatus, CommandError> {
    let mut file = CounterexampleFile::read(path)?;
    enable_break(file.broken.as_deref())?;
    let case = Arc::new(file.case.clone());
    let property = file.violation.property;
    let Some(recorded) = violating_path(&case, property, file.path.clone()) else {
        println!("nothing is broken on this path");
        return Ok(ExitStatus::Verified);
    };
    let shrunk = shrink(&case, property, recorded);
    println!("{} moves, {} of them needed", file.path.len(), shrunk.transitions.len());
    file.path = shrunk.transitions;
    file.violation = shrunk.violation;
    print_trace(&case, &file.path)?;
    file.write(path)?;
    Ok(ExitStatus::Violated)
}

/// Leaves out each transition without which the path still violates the property, from the last one to the first.
fn shrink(case: &Arc<Case>, property: Property, mut shortest: ViolatingPath) -> ViolatingPath {
    let mut index = shortest.transitions.len();
    while index > 0 {
        index -= 1;
        let mut transitions = shortest.transitions.clone();
        transitions.remove(index);
        if let Some(shorter) = violating_path(case, property, transitions) {
            shortest = shorter;
            index = index.min(shortest.transitions.len());
        }
    }
    shortest
}

/// The path up to its violation, if it can be played and violates the property.
fn violating_path(
    case: &Arc<Case>,
    property: Property,
    mut transitions: Vec<Transition>,
) -> Option<ViolatingPath> {
    let found = play(case, &transitions, |_, _, _| {}).ok()??;
    if found.violation.property != property {
        return None;
    }
    transitions.truncate(found.index + 1);
    Some(ViolatingPath { transitions, violation: found.violation })
}
