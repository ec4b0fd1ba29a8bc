//! The command line.

use super::check::CheckError;
use super::demo::DemoError;
use super::error::RunError;
use super::inspect::InspectError;
use super::process::RunEnd;
use super::{check, demo, inspect, log, run};
use clap::{CommandFactory, Parser, Subcommand};
use quillmount_operator::Operator;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::ExitCode;

/// A courier: takes messages on, delivers each to one of its partners, and owes each one final answer.
///
/// Without a command it runs as the platform starts it: GW_CONFIG names its configuration, GW_STATE its folder.
#[derive(Parser)]
#[command(name = "quillmount", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run the courier, as without a command.
    Run {
        /// What is switched on beyond the platform's protocol; nothing without it.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Read the configuration and the operator file, and tell all that is wrong with them: exit 0 nothing.
    Check {
        /// The configuration; GW_CONFIG names it where this does not.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Print the JSON schema of the operator file.
    Schema,
    /// Look into a journal, without changing it.
    Journal {
        #[command(subcommand)]
        command: Journal,
    },
    /// Run a courier with stand-ins on loopback, and show what becomes of a few messages of each kind.
    Demo,
    /// Print the shell's completions.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum Journal {
    /// Print every record.
    Show {
        /// The folder that GW_STATE names.
        folder: PathBuf,
        /// One JSON object a line.
        #[arg(long)]
        json: bool,
    },
    /// Read every record: exit 0 sound to its last byte, 1 otherwise.
    Verify { folder: PathBuf },
}

/// A command that failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Check(#[from] CheckError),
    #[error(transparent)]
    Inspect(#[from] InspectError),
    #[error(transparent)]
    Demo(#[from] DemoError),
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    // As the platform starts it: the pages of the command line are not even touched.
    if std::env::args_os().len() <= 1 {
        return serve(None);
    }
    let command = Cli::parse().command.unwrap_or(Command::Run { operator: None });
    if !matches!(command, Command::Run { .. } | Command::Demo) {
        // Who reads the output may close it early, as `head` does: the command ends then. What has sockets goes on instead.
        sigpipe::reset();
    }
    let done = match command {
        Command::Run { operator } => return serve(operator),
        Command::Check { config, operator } => {
            let config = config.or_else(|| std::env::var_os("GW_CONFIG").map(PathBuf::from));
            check::check(config.as_deref(), operator.as_deref()).map_err(CommandError::from)
        }
        Command::Schema => {
            print!("{}", Operator::schema_text());
            Ok(())
        }
        Command::Journal { command: Journal::Show { folder, json } } => {
            inspect::show(&folder, json).map_err(CommandError::from)
        }
        Command::Journal { command: Journal::Verify { folder } } => {
            inspect::verify(&folder).map_err(CommandError::from)
        }
        Command::Demo => actix_rt::System::new().block_on(demo::demo()).map_err(CommandError::from),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "quillmount", &mut std::io::stdout());
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quillmount: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(path: Option<PathBuf>) -> ExitCode {
    let operator = path.as_deref().map_or(Ok(Operator::default()), Operator::load);
    let begun = log::begin(operator.as_ref().map_or(&Default::default(), |o| &o.log));
    let done = operator.map_err(RunError::from).and_then(|operator| {
        let levels = begun.map_err(RunError::Log)?;
        actix_rt::System::new().block_on(run::run(operator, path, levels))
    });
    match done {
        Ok(RunEnd::Stopped) => ExitCode::SUCCESS,
        Ok(RunEnd::Restart) => {
            // The same process: whoever watches it, or signals it by its number, sees no other.
            // And the same program, though its file be another by now or gone.
            let e = std::process::Command::new("/proc/self/exe").args(std::env::args_os().skip(1)).exec();
            tracing::error!("the process can't restart: {e}; start it again");
            ExitCode::FAILURE
        }
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
