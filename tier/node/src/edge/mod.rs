//! The courier: takes clients' requests, and is a member of the core where its machine has a disk.

mod admission;
mod batch_api;
mod connection;
mod forward;

use crate::clock;
use crate::control_member::bootstrap::{self, NodeAnnouncements};
use crate::control_member::{self, ControlMember};
use crate::http::{self, HttpResponse};
use crate::node::Node;
use crate::rpc::{self, Handler};
use crate::subscription::{self, Needs, Reporter};
use connection::ClientConnections;
use quillmount_storage::{StorageError, load_identity};
use quillmount_wire::messages::{NodeInfo, NodeRole, Request, Response, ShardReport};
use quillmount_wire::settings::Settings;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Why a role ended.
#[derive(Debug)]
pub enum RoleError {
    Storage(StorageError),
    /// An address could not be listened on.
    Listen {
        address: String,
        source: std::io::Error,
    },
    Signals(std::io::Error),
}

impl std::fmt::Display for RoleError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RoleError::Storage(error) => write!(out, "the data folder can't be used: {error}"),
            RoleError::Listen { address, source } => write!(out, "can't listen on {address}: {source}"),
            RoleError::Signals(error) => write!(out, "signals can't be taken: {error}"),
        }
    }
}

impl std::error::Error for RoleError {}

impl From<StorageError> for RoleError {
    fn from(error: StorageError) -> Self {
        RoleError::Storage(error)
    }
}

/// Listens, or says on what it could not.
pub fn listen(address: &str) -> Result<tokio::net::TcpListener, RoleError> {
    crate::socket::listen(address).map_err(|source| RoleError::Listen { address: address.to_owned(), source })
}

/// How long new connections may still come after SIGTERM: readiness is asked for each second and has to fail twice.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2600);
/// How long requests are taken after SIGTERM: where most couriers of a zone stop at once, the platform goes on sending clients.
/// The rest of the grace is for what was taken to end.
const ACCEPT_FOR: Duration = Duration::from_millis(3000);
/// Taken off the grace, so that the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Pause between two looks at what still runs.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two rounds that close connections that rested too long.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the courier until it is asked to stop.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let identity = match settings.data_folder() {
        Some(folder) => Some(load_identity(Path::new(folder), clock::random_id())?),
        None => None,
    };
    let info = NodeInfo {
        name: settings.hostname.clone(),
        disk: identity.map_or_else(clock::random_id, |identity| identity.disk),
        internal: settings.internal_address(),
        admin: settings.sockets.admin.clone(),
        zone: settings.zone.clone(),
        role: if identity.is_some() && settings.sockets.admin.is_some() {
            NodeRole::Core
        } else {
            NodeRole::Courier
        },
    };
    let node = Node::new(settings, info);
    tracing::info!(name = node.info.name, "courier started");
    let announcements = Rc::new(NodeAnnouncements::default());
    let core = open_core(&node)?;
    let internal = listen(&node.info.internal)?;
    tokio::task::spawn_local(rpc::serve(internal, handler(&node, core.as_ref(), &announcements)));
    if let Some(core) = &core {
        start_core(core);
        if node.settings.bootstrap && identity.is_some_and(|identity| identity.fresh) {
            tokio::task::spawn_local(bootstrap::run(core.clone(), announcements));
        }
    }
    tokio::task::spawn_local(subscription::run(node.clone(), Rc::new(CourierReporter(node.clone()))));
    tokio::task::spawn_local(subscription::read_list_without_core(node.clone()));
    serve_operator(&node, core.as_ref())?;
    let connections = serve_clients(&node)?;
    tokio::task::spawn_local(clean_up(node.clone()));
    wait_for_stop(&node).await?;
    if let Some(core) = &core {
        core.resign();
    }
    drain(&node, &connections).await;
    Ok(())
}

/// A courier tells of its requests only.
struct CourierReporter(Rc<Node>);

impl Reporter for CourierReporter {
    fn shards(&self) -> Vec<ShardReport> {
        Vec::new()
    }

    fn needs(&self) -> Needs {
        Needs { demand: self.0.waiting(), ..Needs::default() }
    }
}

fn open_core(node: &Rc<Node>) -> Result<Option<Rc<ControlMember>>, RoleError> {
    match (node.info.role, node.settings.data_folder()) {
        (NodeRole::Core, Some(folder)) => Ok(Some(ControlMember::open(node.clone(), Path::new(folder))?)),
        _ => Ok(None),
    }
}

fn start_core(core: &Rc<ControlMember>) {
    tokio::task::spawn_local(core.clone().run());
    tokio::task::spawn_local(control_member::seeds::announce_primary(core.clone()));
    tokio::task::spawn_local(control_member::directory::run(core.clone()));
    tokio::task::spawn_local(control_member::singletons::plan_shards(core.clone()));
    tokio::task::spawn_local(control_member::singletons::report_usage(core.clone()));
    tokio::task::spawn_local(control_member::scaling::run(core.clone()));
}

fn handler(
    node: &Rc<Node>,
    core: Option<&Rc<ControlMember>>,
    announcements: &Rc<NodeAnnouncements>,
) -> Handler {
    let (node, core, announcements) = (node.clone(), core.cloned(), announcements.clone());
    Rc::new(move |request| {
        let (node, core, announcements) = (node.clone(), core.clone(), announcements.clone());
        Box::pin(async move {
            match (request, core) {
                (Request::Announce { node: from, bootstrap }, core) => {
                    Some(bootstrap::answer(&node, core.as_deref(), &announcements, &from, bootstrap))
                }
                (Request::PrimaryHint { address }, _) => {
                    node.note_primary(address);
                    None
                }
                (Request::Register { from, address, to, message }, Some(core)) => {
                    core.receive(from, address, to, message);
                    None
                }
                (Request::Poll(poll), Some(core)) => Some(control_member::polls::answer(&core, poll).await),
                (Request::Poll(poll), None) => Some(control_member::polls::relay(&node, poll).await),
                _ => Some(Response::WrongEpoch),
            }
        })
    })
}

/// Serves the operator and the platform's question whether this courier is ready.
fn serve_operator(node: &Rc<Node>, core: Option<&Rc<ControlMember>>) -> Result<(), RoleError> {
    if let Some(address) = &node.settings.sockets.admin {
        let (node, core) = (node.clone(), core.cloned());
        let service: http::HttpService = Rc::new(move |request| {
            Box::pin(control_member::operator::answer(node.clone(), core.clone(), request))
        });
        tokio::task::spawn_local(http::serve(listen(address)?, service));
    }
    if let Some(address) = &node.settings.sockets.readyz {
        let node = node.clone();
        let service: http::HttpService = Rc::new(move |_| {
            let ready = node.tables().versions.configuration > 0 && !node.stopping.get();
            let answer =
                if ready { HttpResponse::text(200, "ready") } else { HttpResponse::text(503, "not ready") };
            Box::pin(async move { Some(answer) })
        });
        tokio::task::spawn_local(http::serve(listen(address)?, service));
    }
    Ok(())
}

fn serve_clients(node: &Rc<Node>) -> Result<Rc<ClientConnections>, RoleError> {
    let connections = Rc::new(ClientConnections::new(node));
    if let Some(address) = &node.settings.sockets.http {
        let listener = listen(address)?;
        tokio::task::spawn_local(connection::accept(node.clone(), connections.clone(), listener));
    }
    Ok(connections)
}

async fn clean_up(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let dispatcher = node.dispatcher.borrow();
        node.upstreams.close_expired(|endpoint| dispatcher.is_open(endpoint));
    }
}

/// Waits for SIGTERM or SIGINT. At SIGHUP the seeds are read again: the other settings hold for a process's life.
pub async fn wait_for_stop(node: &Node) -> Result<(), RoleError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RoleError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RoleError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(RoleError::Signals)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => node.reload_seeds(),
        }
    }
    node.stopping.set(true);
    node.report_due.notify_one();
    Ok(())
}

/// Lets requests end; connections that rest are closed once no new ones come.
async fn drain(node: &Node, connections: &ClientConnections) {
    let grace = clock::millis(node.settings.slo.grace_s * 1000.0).saturating_sub(GRACE_MARGIN);
    let began = tokio::time::Instant::now();
    tokio::time::sleep(CLOSE_IDLE_AFTER.min(grace)).await;
    connections.close_idle();
    tokio::time::sleep(ACCEPT_FOR.min(grace).saturating_sub(began.elapsed())).await;
    connections.refuse_all();
    while connections.open() > 0 && began.elapsed() < grace {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}
