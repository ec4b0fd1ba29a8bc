//! `check`: searches a case to its end, to a counterexample or to a bound.

use super::arguments::CheckArguments;
use super::error::CommandError;
use super::exit_status::ExitStatus;
use super::file::CounterexampleFile;
use super::trace::print_trace;
use indicatif::{ProgressBar, ProgressStyle};
use quillmount_explore::case::Case;
use quillmount_explore::search::{Bounds, Progress, SearchReport, Verdict, search};
use quillmount_policy::breaks;
use std::sync::Arc;

/// The least time that a rate is computed over, in seconds.
const SECONDS_MIN: f64 = 1e-6;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Searches the case of these arguments, and prints the result.
pub fn run(arguments: CheckArguments) -> Result<ExitStatus, CommandError> {
    let case = arguments.case()?;
    enable_break(arguments.broken.as_deref())?;
    let report = search_with_progress(&case, &arguments.bounds())?;
    println!("{}", summary(&report));
    match report.verdict {
        Verdict::Verified => {
            println!("holds: every order of these events keeps every property");
            Ok(ExitStatus::Verified)
        }
        Verdict::Stopped(reason) => {
            println!("stopped: the {reason} was up before the end; nothing is said of what was not reached");
            Ok(ExitStatus::Stopped)
        }
        Verdict::Broken { path, violation } => {
            print_trace(&case, &path)?;
            if let Some(to) = arguments.json {
                let case = (*case).clone();
                CounterexampleFile::new(arguments.broken, case, violation, path).write(&to)?;
            }
            Ok(ExitStatus::Violated)
        }
    }
}

/// Enables the break with this name, if one is named.
///
/// # Errors
/// No break has the name, or this build has none.
pub fn enable_break(name: Option<&str>) -> Result<(), CommandError> {
    match name {
        Some(name) => Ok(breaks::enable(name)?),
        None => Ok(()),
    }
}

/// Searches a case, with a line on the terminal that shows how far it has come.
fn search_with_progress(case: &Arc<Case>, bounds: &Bounds) -> Result<SearchReport, CommandError> {
    let bar = ProgressBar::new_spinner();
    let style = ProgressStyle::with_template("{spinner} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_spinner()));
    let report = search(case, bounds, |progress| {
        bar.set_message(progress_line(&progress));
        bar.tick();
    })?;
    bar.finish_and_clear();
    Ok(report)
}

fn progress_line(progress: &Progress) -> String {
    format!(
        "depth {}, {} states, {:.0} a second, {} in the queue, {} MB",
        progress.depth,
        progress.states,
        progress.states as f64 / progress.seconds.max(SECONDS_MIN),
        progress.queue,
        progress.memory / BYTES_PER_MEGABYTE
    )
}

fn summary(report: &SearchReport) -> String {
    format!(
        "{} states, {} moves, depth {}, {:.1} s, {:.0} states a second, {} MB at most",
        report.states,
        report.transitions,
        report.depth,
        report.seconds,
        report.states as f64 / report.seconds.max(SECONDS_MIN),
        report.memory / BYTES_PER_MEGABYTE
    )
}
