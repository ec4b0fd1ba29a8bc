//! `prove`: every deliberate break is found, every small case holds, and the reduction changes no verdict.

use super::arguments::CheckArguments;
use super::check::enable_break;
use super::error::CommandError;
use super::exit_status::ExitStatus;
use quillmount_explore::proof::{BREAKS, BreakCase, REDUCTION_CASES, VERIFIED_CASES};
use quillmount_explore::search::{Verdict, search};
use quillmount_explore::streams::{self, StreamBreak, explore};
use quillmount_policy::breaks;
use std::time::{Duration, Instant};

/// The longest that the search for one break may take.
const BREAK_TIME: Duration = Duration::from_secs(60);

/// Plays the complete proof.
pub fn run() -> Result<ExitStatus, CommandError> {
    let mut proof = Proof { status: ExitStatus::Verified };
    proof.breaks()?;
    breaks::disable();
    proof.verified_cases()?;
    proof.verified_streams()?;
    proof.reduction()?;
    Ok(proof.status)
}

/// A proof so far.
struct Proof {
    status: ExitStatus,
}

impl Proof {
    fn report_failure(&mut self, text: String) {
        println!("WRONG: {text}");
        self.status = ExitStatus::Violated;
    }

    /// Each deliberate break is found, by streams or by a case, as a violation of its property.
    fn breaks(&mut self) -> Result<(), CommandError> {
        println!("| break | property | depth | states | seconds |\n| --- | --- | --- | --- | --- |");
        for (name, about) in breaks::ALL {
            if let Some(stream_break) = streams::BREAKS.iter().find(|known| known.name == *name) {
                self.stream_break(stream_break)?;
            } else if let Some(break_case) = BREAKS.iter().find(|known| known.name == *name) {
                self.case_break(break_case)?;
            } else {
                self.report_failure(format!("no case is there to find {name} ({about})"));
            }
        }
        Ok(())
    }

    /// The exploration of streams finds this break.
    fn stream_break(&mut self, known: &StreamBreak) -> Result<(), CommandError> {
        enable_break(Some(known.name))?;
        let (name, property) = (known.name, known.property.name());
        let begun = Instant::now();
        let found = explore(known.case)?;
        match found.counterexample {
            Some(counterexample) if counterexample.violation.property == known.property => {
                let depth = counterexample.path.len();
                let seconds = begun.elapsed().as_secs_f64();
                println!("| `{name}` | {property} | {depth} | {} | {seconds:.2} |", found.states);
            }
            other => self.report_failure(format!("{name} is not found by {property}: {other:?}")),
        }
        Ok(())
    }

    /// The search of a case finds this break.
    fn case_break(&mut self, known: &BreakCase) -> Result<(), CommandError> {
        let arguments = CheckArguments::parse_case(known.arguments)?;
        let case = arguments.case()?;
        enable_break(Some(known.name))?;
        let mut bounds = arguments.bounds();
        bounds.time = BREAK_TIME;
        let (name, property) = (known.name, known.property.name());
        let report = search(&case, &bounds, |_| {})?;
        match report.verdict {
            Verdict::Broken { violation, path } if violation.property == known.property => {
                let (depth, states, seconds) = (path.len(), report.states, report.seconds);
                println!("| `{name}` | {property} | {depth} | {states} | {seconds:.2} |");
            }
            other => self.report_failure(format!("{name} is not found by {property}: {other:?}")),
        }
        Ok(())
    }

    /// Each small case holds.
    fn verified_cases(&mut self) -> Result<(), CommandError> {
        println!("\n| case that holds | depth | states | seconds |\n| --- | --- | --- | --- |");
        for text in VERIFIED_CASES {
            let arguments = CheckArguments::parse_case(text)?;
            let report = search(&arguments.case()?, &arguments.bounds(), |_| {})?;
            match report.verdict {
                Verdict::Verified => {
                    println!("| `{text}` | {} | {} | {:.2} |", report.depth, report.states, report.seconds);
                }
                other => self.report_failure(format!("{text}: {other:?}")),
            }
        }
        Ok(())
    }

    /// Each case of streams holds. All are explored at once, on one thread each.
    fn verified_streams(&mut self) -> Result<(), CommandError> {
        let explored: Vec<_> = std::thread::scope(|scope| {
            let start = |case| scope.spawn(move || (case, explore(case)));
            let threads: Vec<_> = streams::VERIFIED_CASES.iter().copied().map(start).collect();
            threads.into_iter().map(|thread| thread.join().expect("a search does not panic")).collect()
        });
        for (case, found) in explored {
            let found = found?;
            match found.counterexample {
                None => println!("| streams: {case} | {} | {} | |", found.depth, found.states),
                other => self.report_failure(format!("streams: {case}: {other:?}")),
            }
        }
        Ok(())
    }

    /// With and without the reduction the cases come to the same verdict.
    fn reduction(&mut self) -> Result<(), CommandError> {
        for text in REDUCTION_CASES {
            let arguments = CheckArguments::parse_case(text)?;
            let case = arguments.case()?;
            let mut bounds = arguments.bounds();
            let reduced = search(&case, &bounds, |_| {})?;
            bounds.reduction = false;
            let exact = search(&case, &bounds, |_| {})?;
            println!("\n{text}: {} states, {} without the reduction", reduced.states, exact.states);
            if !matches!((&reduced.verdict, &exact.verdict), (Verdict::Verified, Verdict::Verified)) {
                self.report_failure(format!("{text}: {:?} and {:?}", reduced.verdict, exact.verdict));
            }
        }
        Ok(())
    }
}
