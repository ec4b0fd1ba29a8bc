//! Runs instances of the policy for the simulator: reads batches of messages on standard input, a JSON object a line, and
//! writes a reply to each on standard output. Translation only; nothing is decided here.

mod error;
mod host;
mod instance;
mod messages;

use error::ServeError;
use host::Host;
use std::io::{BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = BufWriter::new(std::io::stdout().lock());
    match serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillmount-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to batch after batch until the input ends.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), ServeError> {
    let mut host = Host::default();
    let mut raw = Vec::new();
    let mut number = 0u64;
    loop {
        raw.clear();
        number += 1;
        let length = input.read_until(b'\n', &mut raw).map_err(ServeError::Input)?;
        if length == 0 && host.in_batch() {
            return Err(ServeError::UnfinishedBatch { line: number });
        }
        if length == 0 {
            return Ok(());
        }
        let line =
            std::str::from_utf8(&raw).map_err(|source| ServeError::NotUtf8 { line: number, source })?;
        if line.trim().is_empty() {
            continue;
        }
        let batch_ended =
            host.handle_line(line.trim()).map_err(|source| ServeError::Message { line: number, source })?;
        if batch_ended {
            host.reply(&mut output).map_err(ServeError::Output)?;
            output.flush().map_err(ServeError::Output)?;
        }
    }
}
