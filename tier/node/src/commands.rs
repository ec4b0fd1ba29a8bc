//! The command line: its subcommands, and what each of them starts.

use crate::metrics::MetricsAddress;
use crate::{edge, inspect, store};
use argh::FromArgs;
use miette::IntoDiagnostic;
use quillmount_wire::configuration::Configuration;
use quillmount_wire::settings::Settings;
use std::path::Path;

/// Filter of the log where neither `--log` nor `RUST_LOG` is given.
const LOG_DEFAULT: &str = "warn";

/// Serving tier for language-model endpoints with a batch interface.
#[derive(FromArgs)]
pub struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Courier(Courier),
    Store(Store),
    Check(Check),
    Inspect(Inspect),
    Version(Version),
}

/// Start a courier: it carries requests, and keeps the control state if its machine has a disk.
#[derive(FromArgs)]
#[argh(subcommand, name = "courier")]
struct Courier {
    /// filter of the log; RUST_LOG goes before it
    #[argh(option, default = "LOG_DEFAULT.to_owned()")]
    log: String,
    /// where figures of the process are told, as PORT/PATH; nowhere without it
    #[argh(option)]
    metrics: Option<MetricsAddress>,
}

/// Start a store: it keeps batch jobs and runs their items.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct Store {
    /// filter of the log; RUST_LOG goes before it
    #[argh(option, default = "LOG_DEFAULT.to_owned()")]
    log: String,
    /// where figures of the process are told, as PORT/PATH; nowhere without it
    #[argh(option)]
    metrics: Option<MetricsAddress>,
}

/// Check a settings file or an operator's configuration and tell what is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// a settings file (TOML)
    #[argh(option)]
    settings: Option<String>,
    /// a configuration (JSON)
    #[argh(option)]
    configuration: Option<String>,
}

/// Read a state folder without changing it and print what it holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "inspect")]
struct Inspect {
    /// the folder
    #[argh(positional)]
    folder: String,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs a command to its end: a role until it is asked to stop. An error is a message for the person who started it.
pub async fn run(command: CommandLine) -> miette::Result<()> {
    if matches!(command.command, Command::Check(_) | Command::Inspect(_) | Command::Version(_)) {
        // Who reads the output may close it early, as `head` does: the command ends then. Roles go on instead.
        sigpipe::reset();
    }
    match command.command {
        Command::Courier(Courier { log, metrics }) => {
            init_log(&log);
            edge::run(Settings::load()?, metrics).await.into_diagnostic()
        }
        Command::Store(Store { log, metrics }) => {
            init_log(&log);
            store::run(Settings::load()?, metrics).await.into_diagnostic()
        }
        Command::Check(check) => run_check(&check),
        Command::Inspect(options) => inspect::print(Path::new(&options.folder)).into_diagnostic(),
        Command::Version(Version {}) => {
            println!("quillmount-node {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Checks the files that are given; the first fault found is the error.
fn run_check(check: &Check) -> miette::Result<()> {
    if let Some(path) = &check.settings {
        Settings::parse(&std::fs::read_to_string(path).into_diagnostic()?, path)?;
        println!("{path}: nothing is wrong");
    }
    if let Some(path) = &check.configuration {
        let text = std::fs::read_to_string(path).into_diagnostic()?;
        Configuration::parse(&text).and_then(|configuration| configuration.validate(0)).into_diagnostic()?;
        println!("{path}: nothing is wrong");
    }
    Ok(())
}

/// Starts the log on standard error; `RUST_LOG` takes precedence over `filter`.
fn init_log(filter: &str) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new(filter));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
}
