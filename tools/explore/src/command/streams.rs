//! `streams`: explores streamed bodies.

use super::arguments::StreamArguments;
use super::check::enable_break;
use super::error::CommandError;
use super::exit_status::ExitStatus;
use quillmount_explore::streams::explore;
use std::time::Instant;

/// Explores the case of these arguments, and prints the result.
pub fn run(arguments: &StreamArguments) -> Result<ExitStatus, CommandError> {
    let case = arguments.case()?;
    enable_break(arguments.broken.as_deref())?;
    let begun = Instant::now();
    let found = explore(case)?;
    println!(
        "{} states, {} with a body held half sent, depth {}, {:.1} s",
        found.states,
        found.paused_states,
        found.depth,
        begun.elapsed().as_secs_f64()
    );
    match found.counterexample {
        None => {
            println!("holds: every order of these events keeps every property");
            Ok(ExitStatus::Verified)
        }
        Some(counterexample) => {
            for (index, event) in counterexample.path.iter().enumerate() {
                println!("{:3}. {event}", index + 1);
            }
            println!("broken: {}", counterexample.violation);
            Ok(ExitStatus::Violated)
        }
    }
}
