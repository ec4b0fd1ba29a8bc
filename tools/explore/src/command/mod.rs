//! The commands of the program, one module for each; `arguments` has their options, `file` the form of recorded
//! counterexamples.

mod arguments;
mod check;
mod error;
mod exit_status;
mod export;
mod file;
mod list;
mod prove;
mod replay;
mod shrink;
mod streams;
mod trace;

pub use arguments::Cli;
pub use exit_status::ExitStatus;

use arguments::Command;
use error::CommandError;

/// Carries out a command.
///
/// # Errors
/// Its arguments or its file can't be used.
pub fn run(command: Command) -> Result<ExitStatus, CommandError> {
    match command {
        Command::Check(arguments) => check::run(arguments),
        Command::Replay { file } => replay::run(&file),
        Command::Export { file } => export::run(&file),
        Command::Shrink { file } => shrink::run(&file),
        Command::Streams(arguments) => streams::run(&arguments),
        Command::Prove => prove::run(),
        Command::List => Ok(list::print_names()),
        Command::States { dot } => Ok(list::print_machines(dot)),
    }
}
