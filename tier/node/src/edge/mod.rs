//! The courier, the edge of the tier: accepts the requests of clients and forwards them to endpoints or stores.
//!
//! A courier whose machine has a disk and an admin address is also a member of the core, which runs in `control_member`.
//! [`run`] starts all tasks and returns after a graceful shutdown. A request of a client passes through these modules:
//! `connection` reads it, `routing` finds its route and tenant, `forward` or `batch_api` produce the answer.

mod admission;
mod batch_api;
mod client_connections;
mod connection;
mod forward;
mod interfaces;
mod peer_calls;
mod response;
mod routing;
mod shutdown;

use crate::control_member::bootstrap::{self, NodeAnnouncements};
use crate::control_member::{self, ControlMember};
use crate::metrics::MetricsAddress;
use crate::metrics_server::{self, MetricsSources};
use crate::node::Node;
use crate::role::{RoleError, Signals, listen, wait_for_stop};
use crate::subscription::{self, Needs, Reporter};
use crate::{clock, rpc, stalls};
use client_connections::ClientConnections;
use quillmount_storage::{
    FirstStart, FolderContents, Identity, claim_contents, end_first_start, load_identity,
};
use quillmount_wire::messages::{NodeInfo, NodeRole, ShardReport};
use quillmount_wire::settings::Settings;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which expired idle connections to endpoints are closed.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the courier until a signal stops it and its requests have ended.
///
/// Its tasks are detached: each serves until the process ends, which it does soon after this function returns.
pub async fn run(settings: Settings, metrics: Option<MetricsAddress>) -> Result<(), RoleError> {
    let signals = Signals::install()?;
    let first_start = if settings.bootstrap { FirstStart::TakesPart } else { FirstStart::TakesNoPart };
    let identity = match settings.data_folder() {
        Some(folder) => Some(load_identity(Path::new(folder), clock::random_id(), first_start)?),
        None => None,
    };
    let info = node_info(&settings, identity.as_ref());
    let node = Node::new(settings, info);
    tracing::info!(name = node.info.name, "courier started");

    let announcements = Rc::new(NodeAnnouncements::default());
    let core = open_core(&node)?;
    let internal = listen(&node.info.internal)?;
    let handler = peer_calls::handler(&node, core.as_ref(), &announcements);
    tokio::task::spawn_local(rpc::serve(internal, handler, node.links.traffic().clone()));
    if let Some(core) = &core {
        start_core(core);
        if identity.is_some_and(|identity| identity.takes_part_in_first_start) {
            tokio::task::spawn_local(take_part_in_first_start(core.clone(), announcements));
        }
    }
    tokio::task::spawn_local(subscription::run(node.clone(), Rc::new(CourierReporter(node.clone()))));
    tokio::task::spawn_local(subscription::read_list_without_core(node.clone()));
    tokio::task::spawn_local(stalls::watch(node.clone()));
    if let Some(address) = &metrics {
        let sources = MetricsSources { node: node.clone(), core: core.clone(), store: None };
        metrics_server::serve(address, sources);
    }
    interfaces::serve_operator(&node, core.as_ref())?;
    interfaces::serve_readiness(&node)?;
    let connections = serve_clients(&node)?;
    tokio::task::spawn_local(close_expired_connections(node.clone()));

    wait_for_stop(&node, signals).await;
    if let Some(core) = &core {
        core.resign();
    }
    shutdown::drain(&node, &connections).await;
    Ok(())
}

fn node_info(settings: &Settings, identity: Option<&Identity>) -> NodeInfo {
    let is_core_member = identity.is_some() && settings.sockets.admin.is_some() && settings.counts_for_quorum;
    NodeInfo {
        name: settings.hostname.clone(),
        disk: identity.map_or_else(clock::random_id, |identity| identity.disk),
        internal: settings.internal_address(),
        admin: settings.sockets.admin.clone(),
        zone: settings.zone.clone(),
        role: if is_core_member { NodeRole::Core } else { NodeRole::Courier },
    }
}

/// Reports the demand of a courier to the core. It has no shards.
struct CourierReporter(Rc<Node>);

impl Reporter for CourierReporter {
    fn shard_reports(&self) -> Vec<ShardReport> {
        Vec::new()
    }

    fn needs(&self) -> Needs {
        Needs { demand: self.0.waiting(), ..Needs::default() }
    }
}

fn open_core(node: &Rc<Node>) -> Result<Option<Rc<ControlMember>>, RoleError> {
    match (node.info.role, node.settings.data_folder()) {
        (NodeRole::Core, Some(folder)) => {
            claim_contents(Path::new(folder), FolderContents::ControlState)?;
            Ok(Some(ControlMember::open(node.clone(), Path::new(folder))?))
        }
        _ => Ok(None),
    }
}

fn start_core(core: &Rc<ControlMember>) {
    tokio::task::spawn_local(core.clone().run());
    tokio::task::spawn_local(control_member::seeds::announce_primary(core.clone()));
    tokio::task::spawn_local(control_member::directory::run(core.clone()));
    tokio::task::spawn_local(control_member::singletons::maintain_placement(core.clone()));
    tokio::task::spawn_local(control_member::singletons::report_usage(core.clone()));
    tokio::task::spawn_local(control_member::singletons::scale_services(core.clone()));
}

/// Takes part in the first start of the system until it is known to exist, also after a restart: the others may wait for this machine.
async fn take_part_in_first_start(core: Rc<ControlMember>, announcements: Rc<NodeAnnouncements>) {
    bootstrap::run(core.clone(), announcements).await;
    if let Some(folder) = core.node.settings.data_folder()
        && let Err(error) = end_first_start(Path::new(folder))
    {
        tracing::info!(%error, "failed to record the end of the first start");
    }
}

fn serve_clients(node: &Rc<Node>) -> Result<Rc<ClientConnections>, RoleError> {
    let connections = Rc::new(ClientConnections::new(node));
    if let Some(address) = &node.settings.sockets.http {
        let listener = listen(address)?;
        tokio::task::spawn_local(connection::accept(node.clone(), connections.clone(), listener));
    }
    Ok(connections)
}

async fn close_expired_connections(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        node.close_expired_connections();
    }
}
