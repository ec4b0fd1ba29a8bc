//! Simulated clusters on virtual time. Clients add numbers to a set, which is the replicated value; an auditor
//! checks that no acknowledged number is lost and that no confirmed read is stale.

mod clients;
mod events;
mod step_faults;
mod trace;

pub use self::clients::encode;
pub use self::step_faults::Fault;

use self::clients::decode;
use self::events::Event;
use quillmount_replication::{ReadId, RegisterAction, RegisterReplica, Timing};
use quillmount_test_support::digest::Counts;
use quillmount_test_support::network::{MESSAGE_DELAY, Partitions, REGISTER_SYNC_DELAY};
use quillmount_test_support::process::Process;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{SECOND, Simulation, Timeline};
use quillmount_wire::messages::{DiskId, Register};
use std::collections::{BTreeMap, BTreeSet};

/// A simulated node: its process and its disk.
pub struct Node {
    pub replica: RegisterReplica,
    /// The synced register.
    disk: Register,
    pub process: Process,
    /// Pending reads, each with the numbers that were acknowledged when it started.
    reads: BTreeMap<ReadId, BTreeSet<u32>>,
    /// The set that this node last committed as primary in its current epoch.
    pub committed: Option<BTreeSet<u32>>,
}

/// The nodes, the network between them, and the numbers that were acknowledged to clients.
pub struct World {
    timeline: Timeline<Event>,
    pub random: Random,
    pub nodes: BTreeMap<DiskId, Node>,
    pub partitions: Partitions<DiskId>,
    /// Every number that a primary has committed.
    pub acknowledged: BTreeSet<u32>,
    last_number: u32,
    last_read: ReadId,
    tolerated_failures: usize,
    pub reads_confirmed: usize,
    /// Faults to inject at single steps.
    pub faults: Vec<Fault>,
    /// Number of messages between members that have arrived.
    pub messages: usize,
    /// Number of syncs that have completed.
    pub syncs: usize,
    /// Trace of the actions of the members, for the digests.
    pub counts: Counts,
}

impl World {
    /// Creates a cluster with an empty set; its first member is the primary.
    pub fn new(members: u64, tolerated_failures: usize, seed: u64) -> World {
        let mut world = World {
            timeline: Timeline::new(SECOND),
            random: Random::new(seed),
            nodes: BTreeMap::new(),
            partitions: Partitions::none(),
            acknowledged: BTreeSet::new(),
            last_number: 0,
            last_read: 0,
            tolerated_failures,
            reads_confirmed: 0,
            faults: Vec::new(),
            messages: 0,
            syncs: 0,
            counts: Counts::default(),
        };
        for disk in 1..=members {
            world.add_node(disk, Register::default());
        }
        let all: Vec<DiskId> = (1..=members).collect();
        let now = world.now();
        let actions = world.nodes.get_mut(&1).unwrap().replica.bootstrap(all, Vec::new(), now);
        world.perform(1, actions);
        world
    }

    /// Adds a node with this register on its disk.
    pub fn add_node(&mut self, disk: DiskId, register: Register) {
        let replica = RegisterReplica::new(
            disk,
            self.tolerated_failures,
            register.clone(),
            Timing::default(),
            self.now(),
        );
        let node = Node {
            replica,
            disk: register,
            process: Process::running(1),
            reads: BTreeMap::new(),
            committed: None,
        };
        self.nodes.insert(disk, node);
    }

    /// Performs the actions of a replica on the network, its disk and its clients.
    pub fn perform(&mut self, disk: DiskId, actions: Vec<RegisterAction>) {
        for action in actions {
            self.count(disk, &action);
            match action {
                RegisterAction::Send { to, message } => {
                    let delay = if to == disk { 0 } else { MESSAGE_DELAY.draw(&mut self.random) };
                    self.schedule(self.now() + delay, Event::Deliver { from: disk, to, message });
                }
                RegisterAction::Persist { register, then } => {
                    let incarnation = self.nodes[&disk].process.incarnation();
                    let synced_at = self.now() + REGISTER_SYNC_DELAY.draw(&mut self.random);
                    self.schedule(synced_at, Event::Synced { node: disk, incarnation, register, then });
                }
                RegisterAction::Committed { accepted } => {
                    self.on_committed(disk, decode(&accepted.value.payload));
                }
                RegisterAction::Elected { .. } | RegisterAction::SteppedDown => {
                    let node = self.nodes.get_mut(&disk).unwrap();
                    node.committed = None;
                    node.reads.clear();
                }
                RegisterAction::ReadConfirmed { read } => self.on_read_confirmed(disk, read),
            }
        }
    }

    pub fn kill(&mut self, disk: DiskId) {
        let node = self.nodes.get_mut(&disk).unwrap();
        node.process.kill();
        node.committed = None;
        node.reads.clear();
    }

    /// Starts the process of a node from the register on its disk.
    pub fn start(&mut self, disk: DiskId) {
        let (now, tolerated_failures) = (self.now(), self.tolerated_failures);
        let node = self.nodes.get_mut(&disk).unwrap();
        node.replica =
            RegisterReplica::new(disk, tolerated_failures, node.disk.clone(), Timing::default(), now);
        node.process.start();
    }

    /// Returns the first node that serves as primary.
    pub fn primary(&self) -> Option<DiskId> {
        let serving = |(_, node): &(&DiskId, &Node)| node.process.is_up() && node.committed.is_some();
        self.nodes.iter().filter(serving).map(|(disk, _)| *disk).next()
    }
}
