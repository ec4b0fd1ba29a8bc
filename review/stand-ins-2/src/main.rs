//! Runs the scenario of one case: `quillmount-review-2 CASE ROOT RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod cases;
mod client;
mod endpoint;
mod http;
mod json;
mod platform;
mod record;
mod tier;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// What a scenario found.
pub enum Verdict {
    Broken(String),
    Held(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record_path] = arguments.as_slice() else {
        eprintln!("quillmount-review-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(record_path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_path}: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.add(format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    match cases::run(case, Path::new(root), trouble, &record) {
        Ok(Verdict::Broken(reason)) => {
            record.print(format!("BROKEN: {reason}"));
            ExitCode::from(1)
        }
        Ok(Verdict::Held(reason)) => {
            record.print(format!("held: {reason}"));
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.print(format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
