//! Starts a courier's membership: opens the member's stores, listens, and spawns the tasks that exchange messages with the
//! other members.

use super::LOG_TARGET;
use super::budget::Budgets;
use super::error::FleetError;
use super::links::PeerLink;
use super::listener;
use super::membership::{Fleet, MembershipSetup};
use super::settings::{config_from, problems};
use super::state_folder::STORES_FOLDER;
use super::stores::{FileStores, SharedMember};
use crate::transport::clock::Clock;
use crate::transport::gate::Gate;
use actix_rt::net::TcpListener;
use quillmount_fleet::NodeId;
use quillmount_fleet::agreement::AgreementLimits;
use quillmount_fleet::config::Name;
use quillmount_fleet::member::{Member, MemberInput, MemberOutput, ProcessIdentity};
use quillmount_operator::fleet::Fleet as FleetSettings;
use quillmount_policy::Micros;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// Each courier holds as many replicas as it has on average; by chance, and after losses, some hold more. Replicas take so
/// many times the own journal's part of the disk, for each replica that the operator file wants.
const REPLICA_DISK_FACTOR: u64 = 4;

/// What a courier joins its fleet with.
pub struct FleetSetup<'a> {
    /// The operator file's section.
    pub settings: &'a FleetSettings,
    /// The state folder.
    pub folder: &'a Path,
    /// The seed of random choices.
    pub seed: u64,
    /// The time that all deadlines are given in.
    pub clock: Clock,
    /// The shortest time in microseconds for which a partner remembers an idempotency key; `None` where none does.
    pub memory_span: Option<Micros>,
    /// Bytes that the own journal may take.
    pub disk: u64,
}

impl Fleet {
    /// Opens the member's stores in the state folder, listens, and exchanges messages with the others from now on.
    ///
    /// # Errors
    /// The section contradicts itself, or the folder or the address can't be had.
    pub async fn start(setup: FleetSetup<'_>) -> Result<Rc<Fleet>, FleetError> {
        let settings = setup.settings;
        let problems = problems(settings);
        if !problems.is_empty() {
            return Err(FleetError::Budgets(problems));
        }
        let listen_error = |source| FleetError::Listen { addr: settings.listen.clone(), source };
        let listener =
            TcpListener::bind(parse_address("listen", &settings.listen)?).await.map_err(listen_error)?;
        let (member, outputs) = open_member(&setup)?;
        let peers = resolve_peers(settings)?;
        let node_id = member.borrow().agreement().node_id();
        let fleet = Fleet::new(MembershipSetup {
            budgets: budgets(settings, &setup.clock, &member),
            member,
            links: peers.iter().map(|peer| peer.link.clone()).collect(),
            gate: Gate::new(setup.clock.clone(), setup.memory_span),
            clock: setup.clock,
            settlement_dests: settings.settlements.iter().map(|settlement| settlement.dest).collect(),
        });
        tracing::info!(
            target: LOG_TARGET,
            "fleet: {} listens on {}",
            settings.me,
            listener.local_addr().map_err(listen_error)?
        );
        fleet.spawn_links(listener, peers, &settings.me, node_id);
        fleet.begin(outputs);
        Ok(fleet)
    }

    /// Spawns the tasks that exchange messages with the peers; they last as long as the process.
    fn spawn_links(
        self: &Rc<Self>,
        listener: TcpListener,
        peers: Vec<Peer>,
        local_name: &Name,
        node_id: NodeId,
    ) {
        let connection_limit = listener::connection_limit(peers.len());
        for Peer { link, addr } in peers {
            let fleet = self.clone();
            actix_rt::spawn(link.run(addr, local_name.clone(), node_id, move |envelope| {
                fleet.step(MemberInput::Received(envelope));
            }));
        }
        let fleet = self.clone();
        let receive = move |envelope| fleet.receive(envelope);
        actix_rt::spawn(listener::serve(listener, connection_limit, receive));
    }
}

/// Another member, and the address to which its link is to lead.
struct Peer {
    link: Rc<PeerLink>,
    addr: SocketAddr,
}

/// A link to each other member.
fn resolve_peers(settings: &FleetSettings) -> Result<Vec<Peer>, FleetError> {
    let others = settings.members.iter().filter(|member| member.name != settings.me);
    let resolve = |member: &quillmount_operator::fleet::FleetMember| {
        let link = PeerLink::new(member.name.clone());
        Ok(Peer { link, addr: parse_address("members", &member.addr)? })
    };
    others.map(resolve).collect()
}

fn parse_address(what: &'static str, value: &str) -> Result<SocketAddr, FleetError> {
    value.parse().map_err(|_| FleetError::Address { what, value: value.into() })
}

/// Opens the member machine with its stores; its first outputs are carried out once the tasks run.
fn open_member(setup: &FleetSetup<'_>) -> Result<(SharedMember, Vec<MemberOutput>), FleetError> {
    let settings = setup.settings;
    let files = FileStores::open(setup.folder.join(STORES_FOLDER))?;
    let (incarnation, fresh_node_id) = (random_id(setup.seed), random_id(setup.seed).max(1));
    let identity = ProcessIdentity { incarnation, fresh_node_id };
    let limits = AgreementLimits { seed: incarnation, ..Default::default() };
    let (mut member, outputs) =
        Member::open(config_from(settings), files, identity, limits, setup.clock.now())?;
    member.replica_capacity =
        setup.disk.saturating_mul(settings.copies as u64).saturating_mul(REPLICA_DISK_FACTOR);
    Ok((Rc::new(RefCell::new(member)), outputs))
}

/// The partners' connection budgets, if the section has some.
fn budgets(settings: &FleetSettings, clock: &Clock, member: &SharedMember) -> Option<Rc<Budgets>> {
    let dests: BTreeSet<u64> = settings.budgets.iter().map(|budget| budget.dest).collect();
    (!dests.is_empty()).then(|| Rc::new(Budgets::new(clock.clone(), member.clone(), dests)))
}

/// A number that no other process draws: a hash of the seed with the process's random keys.
fn random_id(seed: u64) -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(seed);
    hasher.finish()
}
