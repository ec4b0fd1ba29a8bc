//! The program `quillmount-node`: runs one process of the serving tier, or checks and inspects the files of one.
//!
//! A process is a courier (`edge`, with a member of the replicated control state in `control_member` where its machine has
//! a disk) or a store (`store`). Both share `node` and its connections (`rpc` between processes, `upstream` to endpoints,
//! `http`), and follow the core through `subscription`. All tasks run on one thread; only writes to disk have their own
//! (`disk`). `metrics` tells the figures of the process.

mod clock;
mod commands;
mod control_member;
mod disk;
mod edge;
mod endpoint_list;
mod http;
mod inspect;
mod latch;
mod metrics;
mod metrics_server;
mod node;
mod role;
mod rpc;
mod socket;
mod stalls;
mod store;
mod subscription;
mod upstream;

use miette::IntoDiagnostic;

fn main() -> miette::Result<()> {
    let command: commands::CommandLine = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(commands::run(command)))
}
