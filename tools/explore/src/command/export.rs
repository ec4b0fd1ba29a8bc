//! `export`: prints a recorded counterexample as an exchange for the program on sockets.

use super::error::CommandError;
use super::exit_status::ExitStatus;
use super::file::CounterexampleFile;
use quillmount_explore::export::exchange;
use std::path::Path;
use std::sync::Arc;

/// Prints the exchange that plays the path of a file.
pub fn run(path: &Path) -> Result<ExitStatus, CommandError> {
    let file = CounterexampleFile::read(path)?;
    let text = exchange(&Arc::new(file.case), &file.path)?;
    print!("{text}");
    Ok(ExitStatus::Verified)
}
