//! The command: `check`, `replay`, `shrink`, `list`, `states`.

use mimalloc::MiMalloc;

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use quillmount_explore::action::Transition;
use quillmount_explore::case::{CLASSES, Case, FaultKind};
use quillmount_explore::monitor::{Property, Violation};
use quillmount_explore::search::{Bounds, SearchReport, Verdict, play, search};
use quillmount_explore::streams::{BREAKS as STREAM_BREAKS, Size, VERIFIED_SIZES, explore};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A state is a hundred small pieces, and states are copied all the time: the system's allocator took a third
/// of a search.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Files of another version mean other moves.
const FILE_VERSION: u32 = 1;

const EXIT_VERIFIED: u8 = 0;
const EXIT_VIOLATED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_STOPPED: u8 = 3;

/// Explores every order of events on the courier's own code, in small cases.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Search a case to its end: exit 0 it holds, 1 a counterexample, 3 stopped before the end.
    Check(Check),
    /// Play a counterexample: exit 1 where it breaks the same property, 0 where it breaks none.
    Replay { file: PathBuf },
    /// Write a counterexample as a recorded exchange for the program on sockets, where it can be played there.
    Export { file: PathBuf },
    /// Leave out moves that a counterexample does not need.
    Shrink { file: PathBuf },
    /// Explore streamed bodies: every order of what consumer, provider, platform and a kill do to one.
    Streams {
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
        broken: Option<String>,
    },
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

#[derive(Args)]
struct Check {
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
    time: Duration,
    /// Megabytes of memory at most.
    #[arg(long, default_value_t = 4_096)]
    memory: u64,
    /// Tell apart what differs in names or in the clock's zero only.
    #[arg(long)]
    no_reduction: bool,
    /// Where a counterexample is written.
    #[arg(long)]
    json: Option<PathBuf>,
    /// A deliberate break of the code, where the program was built with them.
    #[arg(long = "break")]
    broken: Option<String>,
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    let (number, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len()));
    let number: u64 = number.parse().map_err(|_| format!("{text:?} is no span"))?;
    match unit {
        "s" | "" => Ok(Duration::from_secs(number)),
        "m" => Ok(Duration::from_secs(number * 60)),
        "ms" => Ok(Duration::from_millis(number)),
        _ => Err(format!("{text:?} has no unit of s, m or ms")),
    }
}

/// A counterexample as it is kept.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CounterexampleFile {
    version: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    broken: Option<String>,
    case: Case,
    violation: Violation,
    path: Vec<Transition>,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Check(check) => run(check),
        Command::Replay { file } => replay(&file),
        Command::Shrink { file } => shrink(&file),
        Command::Prove => prove(),
        Command::Streams { class, chunked, attempts, kills, bodies, broken } => {
            let number = CLASSES.iter().position(|c| *c == class);
            number.ok_or(format!("--class: no class is named {class:?}")).and_then(|class| {
                streams(Size { class: class as u8, chunked, attempts, kills, bodies }, broken.as_deref())
            })
        }
        Command::Export { file } => read(&file).and_then(|f| {
            let text = quillmount_explore::export::exchange(&Arc::new(f.case), &f.path)?;
            print!("{text}");
            Ok(EXIT_VERIFIED)
        }),
        Command::List => {
            list();
            Ok(EXIT_VERIFIED)
        }
        Command::States { dot } => {
            for table in quillmount_core::machine::tables() {
                println!("{}", if dot { table.dot() } else { table.markdown() });
            }
            Ok(EXIT_VERIFIED)
        }
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("quillmount-explore: {e}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn events(names: &[String]) -> Result<std::collections::BTreeSet<FaultKind>, String> {
    use clap::ValueEnum;
    let named = names.iter().filter(|name| !name.is_empty() && *name != "none");
    named
        .map(|name| {
            FaultKind::from_str(name, false).map_err(|_| format!("--events: no event is named {name:?}"))
        })
        .collect()
}

impl Check {
    /// The case and the bounds of these arguments; puts its break on.
    fn prepare(&self) -> Result<(Arc<Case>, Bounds), String> {
        let check = self;
        let case = Case {
            endpoints: check.endpoints,
            destinations: check.destinations,
            messages: check.messages,
            incarnations: check.incarnations,
            attempts: check.attempts,
            slots: check.slots,
            open_cap: check.open_cap,
            events: events(&check.events)?,
            faults: check.faults,
            at_once: check.at_once,
            edges: !check.no_edges,
            time_left: check.time_left,
            span: check.span,
            seed: check.seed,
        };
        case.check().map_err(|e| format!("--{e}"))?;
        let case = Arc::new(case);
        set_break(check.broken.as_deref())?;
        let bounds = Bounds {
            threads: check.threads.clamp(1, 256),
            time: check.time,
            memory: check.memory * 1_000_000,
            reduction: !check.no_reduction,
        };
        Ok((case, bounds))
    }
}

fn run(check: Check) -> Result<u8, String> {
    let (case, bounds) = check.prepare()?;
    let bar = ProgressBar::new_spinner();
    bar.set_style(
        ProgressStyle::with_template("{spinner} {msg}").unwrap_or_else(|_| ProgressStyle::default_spinner()),
    );
    let found = search(&case, &bounds, |p| {
        bar.set_message(format!(
            "depth {}, {} states, {:.0} a second, {} in the queue, {} MB",
            p.depth,
            p.states,
            p.states as f64 / p.seconds.max(1e-6),
            p.queue,
            p.memory / 1_000_000
        ));
        bar.tick();
    })?;
    bar.finish_and_clear();
    println!("{}", summary(&found));
    match found.verdict {
        Verdict::Verified => {
            println!("holds: every order of these events keeps every property");
            Ok(EXIT_VERIFIED)
        }
        Verdict::Stopped(stop_reason) => {
            println!(
                "stopped: the {stop_reason} was up before the end; nothing is said of what was not reached"
            );
            Ok(EXIT_STOPPED)
        }
        Verdict::Broken { path, violation } => {
            print_trace(&case, &path)?;
            let file = CounterexampleFile {
                version: FILE_VERSION,
                broken: check.broken,
                case: (*case).clone(),
                violation,
                path,
            };
            if let Some(to) = check.json {
                write(&to, &file)?;
            }
            Ok(EXIT_VIOLATED)
        }
    }
}

/// The arguments of a case in `proof`, as `check` would have them.
fn parse_case(text: &str) -> Result<Check, String> {
    let arguments = ["quillmount-explore", "check"].into_iter().chain(text.split_whitespace());
    match Cli::try_parse_from(arguments).map_err(|e| e.to_string())?.command {
        Command::Check(check) => Ok(check),
        _ => Err(format!("{text:?} is no case")),
    }
}

/// Explores streamed bodies, and tells what came of it.
fn streams(size: Size, broken: Option<&str>) -> Result<u8, String> {
    if !(1..=3).contains(&size.attempts) {
        return Err(format!("--attempts: from 1 to 3 are possible, not {}", size.attempts));
    }
    if !(1..=2).contains(&size.bodies) {
        return Err(format!("--bodies: 1 or 2 are possible, not {}", size.bodies));
    }
    set_break(broken)?;
    let begun = Instant::now();
    let found = explore(size)?;
    let (seconds, paused_states) = (begun.elapsed().as_secs_f64(), found.paused_states);
    println!(
        "{} states, {paused_states} with a body held half sent, depth {}, {seconds:.1} s",
        found.states, found.depth
    );
    match found.counterexample {
        None => {
            println!("holds: every order of these events keeps every property");
            Ok(EXIT_VERIFIED)
        }
        Some((path, violation)) => {
            path.iter().enumerate().for_each(|(n, (body, event))| println!("{:3}. {body} {event:?}", n + 1));
            println!("broken: {violation}");
            Ok(EXIT_VIOLATED)
        }
    }
}

/// Plays the whole proof: every break is found, every case holds, and the reduction changes no verdict.
fn prove() -> Result<u8, String> {
    let mut proof = Proof { code: EXIT_VERIFIED };
    proof.breaks()?;
    quillmount_policy::breaks::disable();
    proof.verified_cases()?;
    proof.verified_streams()?;
    proof.reduction()?;
    Ok(proof.code)
}

/// A proof so far.
struct Proof {
    code: u8,
}

impl Proof {
    fn report_failure(&mut self, text: String) {
        println!("WRONG: {text}");
        self.code = EXIT_VIOLATED;
    }

    /// Each deliberate break is found, by streams or by a case, as a violation of its property.
    fn breaks(&mut self) -> Result<(), String> {
        println!("| break | property | depth | states | seconds |\n| --- | --- | --- | --- | --- |");
        for (name, about) in quillmount_policy::breaks::ALL {
            if let Some((_, size, property)) = STREAM_BREAKS.iter().find(|(one, ..)| one == name) {
                self.stream_break(name, *size, *property)?;
                continue;
            }
            match quillmount_explore::proof::BREAKS.iter().find(|(one, ..)| one == name) {
                Some((_, case, property)) => self.case_break(name, case, *property)?,
                None => self.report_failure(format!("no case is there to find {name} ({about})")),
            }
        }
        Ok(())
    }

    fn stream_break(&mut self, name: &str, size: Size, property: Property) -> Result<(), String> {
        set_break(Some(name))?;
        let begun = Instant::now();
        let found = explore(size)?;
        match found.counterexample.map(|(path, violation)| (path.len(), found.states, violation)) {
            Some((depth, states, violation)) if violation.property == property => println!(
                "| `{name}` | {} | {depth} | {states} | {:.2} |",
                property.name(),
                begun.elapsed().as_secs_f64()
            ),
            other => self.report_failure(format!("{name} is not found by {}: {other:?}", property.name())),
        }
        Ok(())
    }

    fn case_break(&mut self, name: &str, case: &str, property: Property) -> Result<(), String> {
        let mut check = parse_case(case)?;
        check.broken = Some(name.to_string());
        check.time = Duration::from_secs(60);
        let (case, bounds) = check.prepare()?;
        let found = search(&case, &bounds, |_| {})?;
        match found.verdict {
            Verdict::Broken { violation, path } if violation.property == property => println!(
                "| `{name}` | {} | {} | {} | {:.2} |",
                property.name(),
                path.len(),
                found.states,
                found.seconds
            ),
            other => self.report_failure(format!("{name} is not found by {}: {other:?}", property.name())),
        }
        Ok(())
    }

    fn verified_cases(&mut self) -> Result<(), String> {
        println!("\n| case that holds | depth | states | seconds |\n| --- | --- | --- | --- |");
        for text in quillmount_explore::proof::VERIFIED_CASES {
            let (case, bounds) = parse_case(text)?.prepare()?;
            let found = search(&case, &bounds, |_| {})?;
            match found.verdict {
                Verdict::Verified => {
                    println!("| `{text}` | {} | {} | {:.2} |", found.depth, found.states, found.seconds)
                }
                other => self.report_failure(format!("{text}: {other:?}")),
            }
        }
        Ok(())
    }

    /// All sizes of streams at once: each takes one thread.
    fn verified_streams(&mut self) -> Result<(), String> {
        let explored: Vec<_> = std::thread::scope(|scope| {
            let begin = |size| scope.spawn(move || (size, explore(size)));
            let threads: Vec<_> = VERIFIED_SIZES.iter().copied().map(begin).collect();
            threads.into_iter().map(|t| t.join().expect("a search does not panic")).collect()
        });
        for (size, found) in explored {
            let found = found?;
            match found.counterexample {
                None => println!("| streams: {size:?} | {} | {} | |", found.depth, found.states),
                other => self.report_failure(format!("streams: {size:?}: {other:?}")),
            }
        }
        Ok(())
    }

    /// With and without the reduction the cases come to the same verdict.
    fn reduction(&mut self) -> Result<(), String> {
        for text in quillmount_explore::proof::REDUCTION_CASES {
            let (case, mut bounds) = parse_case(text)?.prepare()?;
            let reduced = search(&case, &bounds, |_| {})?;
            bounds.reduction = false;
            let plain = search(&case, &bounds, |_| {})?;
            println!("\n{text}: {} states, {} without the reduction", reduced.states, plain.states);
            if !matches!((&reduced.verdict, &plain.verdict), (Verdict::Verified, Verdict::Verified)) {
                self.report_failure(format!("{text}: {:?} and {:?}", reduced.verdict, plain.verdict));
            }
        }
        Ok(())
    }
}

fn summary(found: &SearchReport) -> String {
    format!(
        "{} states, {} moves, depth {}, {:.1} s, {:.0} states a second, {} MB at most",
        found.states,
        found.transitions,
        found.depth,
        found.seconds,
        found.states as f64 / found.seconds.max(1e-6),
        found.memory / 1_000_000
    )
}

/// Tells a path move by move, and the state around its break.
fn print_trace(case: &Arc<Case>, path: &[Transition]) -> Result<Option<Violation>, String> {
    let mut lines = Vec::new();
    let broken = play(case, path, |n, m, world| {
        println!("{:3}. {:>12.6} s  {m}", n + 1, world.now() as f64 / 1e6);
        lines = world.describe();
    })?;
    lines.iter().for_each(|line| println!("     {line}"));
    match broken {
        Some((n, violation)) => {
            println!("broken at move {}: {violation}", n + 1);
            Ok(Some(violation))
        }
        None => {
            println!("nothing is broken on this path");
            Ok(None)
        }
    }
}

fn read(path: &Path) -> Result<CounterexampleFile, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let value: serde_json::Value =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    match value.get("version").and_then(serde_json::Value::as_u64) {
        Some(version) if version == u64::from(FILE_VERSION) => {}
        Some(version) => {
            return Err(format!(
                "{}: version: {version}, where this program writes {FILE_VERSION}",
                path.display()
            ));
        }
        None => return Err(format!("{}: version: missing", path.display())),
    }
    let file: CounterexampleFile =
        serde_json::from_value(value).map_err(|e| format!("{}: {e}", path.display()))?;
    file.case.check().map_err(|e| format!("{}: case: {e}", path.display()))?;
    Ok(file)
}

fn write(path: &Path, file: &CounterexampleFile) -> Result<(), String> {
    let text = serde_json::to_string_pretty(file).map_err(|e| e.to_string())?;
    std::fs::write(path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
    println!("written to {}", path.display());
    Ok(())
}

fn replay(path: &Path) -> Result<u8, String> {
    let file = read(path)?;
    set_break(file.broken.as_deref())?;
    let broken = print_trace(&Arc::new(file.case), &file.path)?;
    match broken {
        Some(violation) if violation.property == file.violation.property => Ok(EXIT_VIOLATED),
        Some(_) => {
            println!("the file has another one: {}", file.violation);
            Ok(EXIT_USAGE)
        }
        None => Ok(EXIT_VERIFIED),
    }
}

/// Tries to leave out each move, again and again, as long as the same property breaks.
fn shrink(path: &Path) -> Result<u8, String> {
    let mut file = read(path)?;
    set_break(file.broken.as_deref())?;
    let case = Arc::new(file.case.clone());
    let breaks = |transitions: &[Transition]| match play(&case, transitions, |_, _, _| {}) {
        Ok(Some((n, violation))) if violation.property == file.violation.property => Some((n + 1, violation)),
        _ => None,
    };
    let Some((length, violation)) = breaks(&file.path) else {
        println!("nothing is broken on this path");
        return Ok(EXIT_VERIFIED);
    };
    let before = file.path.len();
    let mut transitions = file.path[..length].to_vec();
    let mut last = violation;
    let mut n = transitions.len();
    while n > 0 {
        n -= 1;
        let mut shorter = transitions.clone();
        shorter.remove(n);
        if let Some((length, violation)) = breaks(&shorter) {
            shorter.truncate(length);
            (transitions, last) = (shorter, violation);
            n = n.min(transitions.len());
        }
    }
    println!("{before} moves, {} of them needed", transitions.len());
    (file.path, file.violation) = (transitions, last);
    print_trace(&case, &file.path)?;
    write(path, &file)?;
    Ok(EXIT_VIOLATED)
}

fn list() {
    use clap::ValueEnum;
    println!("properties:");
    Property::ALL.iter().for_each(|(p, about)| println!("  {:14} {about}", p.name()));
    println!("events:");
    for event in FaultKind::value_variants() {
        if let Some(value) = event.to_possible_value() {
            println!(
                "  {:14} {}",
                value.get_name(),
                value.get_help().map(ToString::to_string).unwrap_or_default()
            );
        }
    }
    println!("breaks (built with --features breaks):");
    quillmount_policy::breaks::ALL.iter().for_each(|(name, about)| println!("  {name:24} {about}"));
}

fn set_break(name: Option<&str>) -> Result<(), String> {
    match name {
        None => Ok(()),
        Some(name) => quillmount_policy::breaks::enable(name).map_err(|e| format!("--break: {e}")),
    }
}
