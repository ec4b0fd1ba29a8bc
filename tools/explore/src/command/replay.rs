//! `replay`: plays a recorded counterexample.

use super::check::enable_break;
use super::error::CommandError;
use super::exit_status::ExitStatus;
use super::file::CounterexampleFile;
use super::trace::print_trace;
use std::path::Path;
use std::sync::Arc;

/// Plays the path of a file, and compares what it violates with what the file says.
pub fn run(path: &Path) -> Result<ExitStatus, CommandError> {
    let file = CounterexampleFile::read(path)?;
    enable_break(file.broken.as_deref())?;
    match print_trace(&Arc::new(file.case), &file.path)? {
        Some(violation) if violation.property == file.violation.property => Ok(ExitStatus::Violated),
        Some(_) => {
            println!("the file has another one: {}", file.violation);
            Ok(ExitStatus::Unusable)
        }
        None => Ok(ExitStatus::Verified),
    }
}
