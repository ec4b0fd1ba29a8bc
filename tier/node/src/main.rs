//! The serving tier: starts a role of it, or checks and inspects what a role uses.

mod clock;
mod commands;
mod control_member;
mod disk;
mod edge;
mod http;
mod node;
mod role;
mod rpc;
mod socket;
mod store;
mod subscription;
mod upstream;

use miette::IntoDiagnostic;

fn main() -> miette::Result<()> {
    let command: commands::CommandLine = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(commands::run(command)))
}
