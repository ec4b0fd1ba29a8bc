//! The courier that is measured, with its platform.

use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::{Observer, platform};
use serde_json::json;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::thread;

/// The courier's release build, beside the folder of the examples.
fn program() -> Result<PathBuf> {
    let path = std::env::current_exe()?;
    let folder = path.parent().and_then(|p| p.parent()).ok_or(Error::other("no folder"))?;
    let program = folder.join("quillmount");
    if program.exists() {
        Ok(program)
    } else {
        Err(Error::other(format!("{}: build it first", program.display())))
    }
}

/// Starts a courier whose destinations 1 to `dests` all have one endpoint.
pub fn start(endpoint: SocketAddr, dests: u64) -> Result<Courier> {
    let platform = start_platform()?;
    let mut setup = Setup::new(program()?, platform, (1..=dests).map(|dest| (dest, endpoint)).collect());
    setup.operator = Some(json!({"version": 1, "streams": {"on": true, "largest": "8 GiB", "longest": "1h",
        "memory": "32 MiB", "share_of_slots": 1.0, "share_of_window": 1.0}}));
    (setup.slots, setup.open_cap) = (400, 4_000);
    Ok(Courier::start(setup)?)
}

/// Starts a platform in a thread of its own, which lasts as long as the process. Returns its address.
fn start_platform() -> Result<SocketAddr> {
    let (sender, receiver) = channel();
    thread::spawn(move || -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (observer, _) = Observer::channel();
            let (_keep, list) = tokio::sync::watch::channel(String::new());
            let _ = sender.send(platform::open(observer, list).await?);
            std::future::pending::<Result<()>>().await
        })
    });
    receiver.recv().map_err(Error::other)
}
