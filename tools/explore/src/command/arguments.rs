//! The command line. The documentation of commands and options is the help that the program prints.

use super::error::CommandError;
use clap::{Args, Parser, Subcommand, ValueEnum};
use quillmount_explore::case::{CLASSES, Case, FaultKind};
use quillmount_explore::search::Bounds;
use quillmount_explore::streams::StreamCase;
use std::collections::BTreeSet;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Threads of a search at most.
const THREADS_MAX: usize = 256;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Explores every order of events on the courier's own code, in small cases.
#[derive(Parser)]
#[command(version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Search a case to its end: exit 0 it holds, 1 a counterexample, 3 stopped before the end.
    Check(CheckArguments),
    /// Play a counterexample: exit 1 where it breaks the same property, 0 where it breaks none.
    Replay { file: PathBuf },
    /// Write a counterexample as a recorded exchange for the program on sockets, where it can be played there.
    Export { file: PathBuf },
    /// Leave out moves that a counterexample does not need.
    Shrink { file: PathBuf },
    /// Explore streamed bodies: every order of what consumer, provider, platform and a kill do to one.
    Streams(StreamArguments),
    /// Find every deliberate break, and see the small cases hold: exit 0 only if all is as it should be.
    Prove,
    /// The properties, the events and the deliberate breaks.
    List,
    /// The state machines' tables.
    States {
        /// As Graphviz graphs.
        #[arg(long)]
        dot: bool,
    },
}

// No documentation comments on the two structures below: clap would print them as the help of their commands.

#[derive(Args)]
pub struct StreamArguments {
    /// `fee-debit` or `paid-notice`.
    #[arg(long, default_value = "fee-debit")]
    class: String,
    /// In chunks, and not with a length.
    #[arg(long)]
    chunked: bool,
    #[arg(long, default_value_t = 2)]
    attempts: u32,
    /// The process may be killed once.
    #[arg(long)]
    kills: bool,
    /// 1, or 2 for one destination.
    #[arg(long, default_value_t = 1)]
    bodies: u8,
    /// A deliberate break of the code, where the program was built with them.
    #[arg(long = "break")]
    pub broken: Option<String>,
}

#[derive(Args)]
pub struct CheckArguments {
    #[arg(long, default_value_t = 2)]
    endpoints: u8,
    #[arg(long, default_value_t = 1)]
    destinations: u8,
    #[arg(long, default_value_t = 2)]
    messages: u8,
    /// Lives of the courier: kills and planned stops are one less.
    #[arg(long = "lives", value_name = "LIVES", default_value_t = 1)]
    incarnations: u8,
    #[arg(long, default_value_t = 2)]
    attempts: u32,
    #[arg(long, default_value_t = 4)]
    slots: u32,
    #[arg(long, default_value_t = 20)]
    open_cap: u32,
    /// Events that may happen beside the kind ones; `list` names them.
    #[arg(long, value_delimiter = ',', default_values_t = ["refuse".to_string(), "timeout".into(), "drain".into()])]
    events: Vec<String>,
    /// At most so many of them on one path.
    #[arg(long)]
    faults: Option<u32>,
    /// Hand in all messages before the clock goes on.
    #[arg(long)]
    at_once: bool,
    /// Do not stop the clock just before and after each moment that counts.
    #[arg(long)]
    no_edges: bool,
    #[arg(long, default_value_t = 16_000)]
    time_left: u32,
    #[arg(long, default_value_t = 6_000)]
    span: u32,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// The longest that the search may take, as in 300s or 5m.
    #[arg(long, default_value = "300s", value_parser = parse_duration)]
    pub time: Duration,
    /// Megabytes of memory at most.
    #[arg(long, default_value_t = 4_096)]
    memory: u64,
    /// Tell apart what differs in names or in the clock's zero only.
    #[arg(long)]
    no_reduction: bool,
    /// Where a counterexample is written.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// A deliberate break of the code, where the program was built with them.
    #[arg(long = "break")]
    pub broken: Option<String>,
}

/// A duration that can't be parsed.
#[derive(Debug, thiserror::Error)]
enum DurationError {
    /// It has no number.
    #[error("{text:?} is no span")]
    NoNumber { text: String, source: ParseIntError },
    /// Its unit is unknown.
    #[error("{text:?} has no unit of s, m or ms")]
    UnknownUnit { text: String },
}

/// Parses a duration in seconds, minutes or milliseconds, as in `300s`, `5m` or `10ms`.
fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_at);
    let number: u64 =
        number.parse().map_err(|source| DurationError::NoNumber { text: text.to_string(), source })?;
    match unit {
        "s" | "" => Ok(Duration::from_secs(number)),
        "m" => Ok(Duration::from_secs(number * 60)),
        "ms" => Ok(Duration::from_millis(number)),
        _ => Err(DurationError::UnknownUnit { text: text.to_string() }),
    }
}

impl CheckArguments {
    /// The arguments of a case in the proof, as `check` would have them.
    ///
    /// # Errors
    /// They are not arguments of `check`.
    pub fn parse_case(text: &str) -> Result<CheckArguments, CommandError> {
        let arguments = ["quillmount-explore", "check"].into_iter().chain(text.split_whitespace());
        match Cli::try_parse_from(arguments)?.command {
            Command::Check(arguments) => Ok(arguments),
            _ => Err(CommandError::NoCase(text.to_string())),
        }
    }

    /// The case of these arguments.
    ///
    /// # Errors
    /// An event is unknown, or a size is out of its range.
    pub fn case(&self) -> Result<Arc<Case>, CommandError> {
        let case = Case {
            endpoints: self.endpoints,
            destinations: self.destinations,
            messages: self.messages,
            incarnations: self.incarnations,
            attempts: self.attempts,
            slots: self.slots,
            open_cap: self.open_cap,
            events: parse_events(&self.events)?,
            faults: self.faults,
            at_once: self.at_once,
            edges: !self.no_edges,
            time_left: self.time_left,
            span: self.span,
            seed: self.seed,
        };
        case.check()?;
        Ok(Arc::new(case))
    }

    /// The bounds of the search.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            threads: self.threads.clamp(1, THREADS_MAX),
            time: self.time,
            memory: self.memory * BYTES_PER_MEGABYTE,
            reduction: !self.no_reduction,
        }
    }
}

/// The events with these names; `none` stands for no event.
fn parse_events(names: &[String]) -> Result<BTreeSet<FaultKind>, CommandError> {
    let named = names.iter().filter(|name| !name.is_empty() && *name != "none");
    named
        .map(|name| FaultKind::from_str(name, false).map_err(|_| CommandError::UnknownEvent(name.clone())))
        .collect()
}

impl StreamArguments {
    /// The case of these arguments.
    ///
    /// # Errors
    /// The class is unknown, or a number is out of its range.
    pub fn case(&self) -> Result<StreamCase, CommandError> {
        let class = CLASSES.iter().position(|class| *class == self.class);
        let class = class.ok_or_else(|| CommandError::UnknownClass(self.class.clone()))?;
        let case = StreamCase {
            class: class as u8,
            chunked: self.chunked,
            attempts: self.attempts,
            kills: self.kills,
            bodies: self.bodies,
        };
        case.check()?;
        Ok(case)
    }
}
