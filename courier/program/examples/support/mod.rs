//! What the examples with a fleet have in common: they find the courier's program, and run on one thread.

use std::future::Future;
use std::io;
use std::path::PathBuf;

/// The courier's program of the same build as this example. Where there is none, the example ends with status 2.
pub fn courier_program(example: &str) -> PathBuf {
    let program =
        std::env::current_exe().ok().and_then(|exe| Some(exe.parent()?.parent()?.join("quillmount")));
    let Some(program) = program.filter(|program| program.exists()) else {
        eprintln!("{example}: build the program first: cargo build --release -p quillmount");
        std::process::exit(2);
    };
    program
}

/// Runs the example on one thread with its local tasks. If it fails, the example ends with status 1.
pub fn run<T>(example: &str, task: impl Future<Output = io::Result<T>>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, task));
    result.unwrap_or_else(|error| {
        eprintln!("{example}: {error}");
        std::process::exit(1);
    })
}
