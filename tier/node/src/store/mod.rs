//! The store role: replicates batch jobs with other stores, stores them on its disk, and runs their items at endpoints.
//!
//! [`run`] restores the shared state ([`Store`]) from the disk and starts the tasks that use it:
//!
//! - `shard` performs the actions of the replication state machine of each shard; `replica_tasks` drive it, `journal` and
//!   `compaction` write its records; `term` has the state of a store only while it serves as a shard's primary;
//! - `serve` answers couriers and other stores, with `quota` for the limits on queued tokens;
//! - `items` runs the items of jobs; `retention` removes finished jobs.

mod compaction;
mod items;
mod journal;
mod quota;
mod replica_tasks;
mod retention;
mod serve;
mod shard;
mod state;
mod term;
mod term_quota;
mod waiters;

use crate::clock;
use crate::metrics::MetricsAddress;
use crate::metrics_server::{self, MetricsSources};
use crate::node::Node;
use crate::role::{RoleError, Signals, listen, wait_for_stop};
use crate::rpc::{self, Handler};
use crate::{stalls, subscription};
use quillmount_storage::{FirstStart, FolderContents, claim_contents, load_identity};
use quillmount_wire::messages::{NodeInfo, NodeRole};
use quillmount_wire::settings::Settings;
use state::{OpenedStore, Store};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Data folder if the settings do not name one.
const DEFAULT_FOLDER: &str = "data";
/// Time for which a stopping store continues to serve, so that other stores can become primaries of its shards.
const HANDOVER_GRACE: Duration = Duration::from_millis(1500);
/// Interval at which old jobs are removed and expired connections are closed.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a store until it receives a stop signal.
pub async fn run(settings: Settings, metrics: Option<MetricsAddress>) -> Result<(), RoleError> {
    let signals = Signals::install()?;
    let folder = settings.data_folder().unwrap_or(DEFAULT_FOLDER).to_owned();
    let identity = load_identity(Path::new(&folder), clock::random_id(), FirstStart::TakesNoPart)?;
    claim_contents(Path::new(&folder), FolderContents::BatchJobs)?;
    let info = NodeInfo {
        name: settings.hostname.clone(),
        disk: identity.disk,
        internal: settings.internal_address(),
        admin: None,
        zone: settings.zone.clone(),
        role: NodeRole::Store,
    };
    let node = Node::new(settings, info);
    let OpenedStore { store, pending } = Store::open(node.clone(), Path::new(&folder))?;
    tracing::info!(name = node.info.name, "store started");
    let internal = listen(&node.info.internal)?;
    if let Some(address) = &metrics {
        let sources = MetricsSources { node: node.clone(), core: None, store: Some(store.clone()) };
        metrics_server::serve(address, sources);
    }
    // These tasks run until the process ends.
    tokio::task::spawn_local(rpc::serve(internal, handler(&store), node.links.traffic().clone()));
    tokio::task::spawn_local(subscription::run(node.clone(), store.clone()));
    tokio::task::spawn_local(subscription::read_list_without_core(node.clone()));
    tokio::task::spawn_local(stalls::watch(node.clone()));
    tokio::task::spawn_local(replica_tasks::report_writes(store.clone(), pending));
    tokio::task::spawn_local(replica_tasks::follow_views(store.clone()));
    tokio::task::spawn_local(replica_tasks::tick_replicas(store.clone()));
    tokio::task::spawn_local(quota::send_statements_periodically(store.clone()));
    tokio::task::spawn_local(items::run(store.clone()));
    tokio::task::spawn_local(items::review_waiting_items(store.clone()));
    tokio::task::spawn_local(clean_up(store.clone()));
    wait_for_stop(&node, signals).await;
    tokio::time::sleep(HANDOVER_GRACE).await;
    Ok(())
}

fn handler(store: &Rc<Store>) -> Handler {
    let store = store.clone();
    Rc::new(move |request| {
        let store = store.clone();
        Box::pin(async move { Some(serve::answer(&store, request).await) })
    })
}

async fn clean_up(store: Rc<Store>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        store.shards.iter().for_each(|shard| retention::remove_old_jobs(&store, shard));
        store.node.close_expired_connections();
    }
}
