//! The command: parses its arguments and hands them over to `command`.

mod command;

use clap::Parser;
use command::{Cli, ExitStatus};
use mimalloc::MiMalloc;
use std::process::ExitCode;

/// A state consists of about a hundred small allocations, and states are copied all the time: the system's allocator took a
/// third of a search's time.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    // Who reads the output may close it early, as `head` does: the program ends then.
    sigpipe::reset();
    match command::run(Cli::parse().command) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("quillmount-explore: {error}");
            ExitStatus::Unusable.into()
        }
    }
}
