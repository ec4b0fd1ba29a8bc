//! Hosts instances of the policy on the simulator's wire: translation only, no decisions.

mod wire;

use std::io::{BufRead, Write};

fn main() {
    let stdin = std::io::stdin().lock();
    let stdout = std::io::BufWriter::new(std::io::stdout().lock());
    if let Err(message) = serve(stdin, stdout) {
        eprintln!("quillmount-drill: {message}");
        std::process::exit(1);
    }
}

/// Answers batch after batch until the input ends.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut raw = Vec::new();
    let mut number = 0u64;
    loop {
        raw.clear();
        number += 1;
        let got = input.read_until(b'\n', &mut raw).map_err(|e| format!("input: {e}"))?;
        if got == 0 {
            return if host.in_batch() {
                Err(format!("line {number}: the input ends inside a batch"))
            } else {
                Ok(())
            };
        }
        let line = std::str::from_utf8(&raw).map_err(|e| format!("line {number}: not UTF-8: {e}"))?;
        if line.trim().is_empty() {
            continue;
        }
        let batch_over = host.line(line.trim()).map_err(|e| format!("line {number}: {e}"))?;
        if batch_over {
            host.reply(&mut output).map_err(|e| format!("output: {e}"))?;
            output.flush().map_err(|e| format!("output: {e}"))?;
        }
    }
}
