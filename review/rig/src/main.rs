//! Stand-ins and drivers of the cases in `review/`. Each driver starts a small deployment from the programs of the deploy file, plays
//! one case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod further;
mod http;
mod item_path;
mod large_job;
mod late_answer;
mod new_route;
mod record;
mod tier;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("quillmount-review CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_fault = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder);
    let verdict = match case.as_str() {
        "large-job" => large_job::play(&folder, has_fault, &record),
        "late-answer" => late_answer::play(&folder, has_fault, &record),
        "item-path" => item_path::play(&folder, has_fault, &record),
        "first-start" => further::play_first_start(&folder, has_fault, &record),
        "large-configuration" => further::play_large_configuration(&folder, has_fault, &record),
        "new-route" => new_route::play(&folder, has_fault, &record),
        _ => Verdict::NotRun,
    };
    match verdict {
        Verdict::Held => {
            record.print("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.print("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun => {
            record.print("the case could not run");
            ExitCode::from(2)
        }
    }
}
