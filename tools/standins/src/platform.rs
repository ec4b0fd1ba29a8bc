//! The platform: discovery, whose watch stays open, and notices, which it confirms.
//!
//! [`open`] serves a single courier and reports to an [`Observer`], [`Platform`] serves a fleet and writes to its record; `agent`
//! serves the connections of both. [`ManualDiscovery`] is a discovery service whose answers a test writes.

mod agent;
mod fleet_platform;
mod manual_discovery;

pub use fleet_platform::Platform;
pub use manual_discovery::{DiscoveryRequest, ManualDiscovery};

use crate::Observer;
use std::io::Result;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Serves until its task ends; must run in a `LocalSet`. Each value of `list` is sent to all watches: one JSON object, as PROTOCOL
/// has it; an empty text is a heartbeat.
///
/// # Errors
/// The system has no port.
pub async fn open(observer: Observer, list: watch::Receiver<String>) -> Result<SocketAddr> {
    let never_down = watch::channel(false).1;
    open_with(observer, list, never_down).await
}

/// The same; while `down` is true, discovery is down: open watches become silent and requests get no answer, both for good.
///
/// # Errors
/// The system has no port.
pub async fn open_with(
    observer: Observer,
    list: watch::Receiver<String>,
    down: watch::Receiver<bool>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let observer = observer.clone();
            let observe = async move |id: &str, what| {
                observer.observe(id, what).await;
                true
            };
            tokio::task::spawn_local(agent::serve(stream, observe, list.clone(), down.clone()));
        }
    });
    Ok(addr)
}
