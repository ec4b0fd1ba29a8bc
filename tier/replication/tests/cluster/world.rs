//! Clusters on virtual time. Clients add numbers to a set, which is the replicated value; an auditor checks that no
//! acknowledged number is lost and that no confirmed read is stale.

mod step_faults;
mod trace;

pub use self::step_faults::Fault;
use quillmount_replication::{ReadId, RegisterAction, RegisterReplica, Timing};
use quillmount_test_support::digest::Counts;
use quillmount_test_support::network::{MESSAGE_DELAY, Partitions, REGISTER_SYNC_DELAY};
use quillmount_test_support::process::Process;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time, Timeline};
use quillmount_wire::messages::{DiskId, Register, RegisterMessage};
use std::collections::{BTreeMap, BTreeSet};

/// How often clients send a request to each primary.
const REQUEST_INTERVAL: Time = 20 * MILLI;
/// How often a node's clock is advanced.
const TICK_INTERVAL: Time = 25 * MILLI;

/// What happens at a time.
pub enum Event {
    /// A message arrives at a node.
    Deliver { from: DiskId, to: DiskId, message: RegisterMessage },
    /// A register is on the disk of a node, whose process performs what was to follow.
    Synced { node: DiskId, incarnation: u64, register: Register, then: Vec<RegisterAction> },
    /// The process of a node starts.
    Start { node: DiskId },
}

pub struct Node {
    pub replica: RegisterReplica,
    /// What is synced.
    disk: Register,
    pub process: Process,
    /// Pending reads: what had been acknowledged when each began.
    reads: BTreeMap<ReadId, BTreeSet<u32>>,
    /// What this node has committed as primary in its current epoch.
    pub committed: Option<BTreeSet<u32>>,
}

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
    pub faults: Vec<Fault>,
    /// Messages between members that arrived so far.
    pub messages: usize,
    /// Syncs that completed so far.
    pub syncs: usize,
    /// What the members put out, for the digests.
    pub counts: Counts,
}

/// Encodes a set as the payload of a value.
pub fn encode(numbers: &BTreeSet<u32>) -> Vec<u8> {
    numbers.iter().flat_map(|number| number.to_le_bytes()).collect()
}

fn decode(payload: &[u8]) -> BTreeSet<u32> {
    payload
        .chunks_exact(4)
        .map(|bytes| u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
        .collect()
}

impl World {
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
                    let at = self.now() + REGISTER_SYNC_DELAY.draw(&mut self.random);
                    self.schedule(at, Event::Synced { node: disk, incarnation, register, then });
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

    /// A committed set has all that was acknowledged before. The last commit of a primary that was frozen may be
    /// noticed late: then all of it is acknowledged already.
    fn on_committed(&mut self, disk: DiskId, numbers: BTreeSet<u32>) {
        assert!(
            self.acknowledged.is_subset(&numbers) || numbers.is_subset(&self.acknowledged),
            "acknowledged and lost: {:?}",
            self.acknowledged.difference(&numbers).collect::<Vec<_>>()
        );
        self.acknowledged.extend(&numbers);
        self.nodes.get_mut(&disk).unwrap().committed = Some(numbers);
    }

    /// A confirmed read shows all that was acknowledged before it began.
    fn on_read_confirmed(&mut self, disk: DiskId, read: ReadId) {
        let node = self.nodes.get_mut(&disk).unwrap();
        let before = node.reads.remove(&read).expect("a pending read");
        let shown = node.committed.clone().expect("a primary that reads has committed");
        assert!(before.is_subset(&shown), "a confirmed read is older than what was acknowledged before it");
        self.reads_confirmed += 1;
    }

    fn tick(&mut self) {
        let now = self.now();
        let disks: Vec<DiskId> = self.nodes.keys().copied().collect();
        for disk in disks {
            let node = self.nodes.get_mut(&disk).unwrap();
            if node.process.is_running(now) {
                let actions = node.replica.tick(now);
                self.perform(disk, actions);
            }
        }
    }

    fn deliver(&mut self, from: DiskId, to: DiskId, message: RegisterMessage) {
        if from != to && self.partitions.is_cut(from, to) {
            return;
        }
        if from != to && self.message_fails(from, to, &message) {
            return;
        }
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&to) else { return };
        if !node.process.is_up() {
            return;
        }
        if let Some(at) = node.process.resumes_at(now) {
            // What arrives at a frozen process waits for it.
            self.schedule(at, Event::Deliver { from, to, message });
            return;
        }
        let actions = node.replica.receive(from, message, now);
        self.perform(to, actions);
    }

    fn complete_sync(
        &mut self,
        disk: DiskId,
        incarnation: u64,
        register: Register,
        then: Vec<RegisterAction>,
    ) {
        let Some(node) = self.nodes.get_mut(&disk) else { return };
        if !node.process.is_up() || node.process.incarnation() != incarnation {
            return;
        }
        let sync = self.syncs;
        self.syncs += 1;
        if let Some(down) = self.killed_before_sync(sync) {
            return self.restart_later(disk, down);
        }
        self.nodes.get_mut(&disk).unwrap().disk = register;
        if let Some(down) = self.killed_after_sync(sync) {
            return self.restart_later(disk, down);
        }
        self.perform(disk, then);
    }

    fn restart_later(&mut self, disk: DiskId, down: Time) {
        self.kill(disk);
        self.schedule(self.now() + down, Event::Start { node: disk });
    }

    pub fn kill(&mut self, disk: DiskId) {
        let node = self.nodes.get_mut(&disk).unwrap();
        node.process.kill();
        node.committed = None;
        node.reads.clear();
    }

    pub fn start(&mut self, disk: DiskId) {
        let (now, tolerated_failures) = (self.now(), self.tolerated_failures);
        let node = self.nodes.get_mut(&disk).unwrap();
        node.replica =
            RegisterReplica::new(disk, tolerated_failures, node.disk.clone(), Timing::default(), now);
        node.process.start();
    }

    /// Requests of clients: a change or a read at each node that serves as primary.
    fn serve_clients(&mut self) {
        let now = self.now();
        let disks: Vec<DiskId> = self.nodes.keys().copied().collect();
        for disk in disks {
            let acknowledged = self.acknowledged.clone();
            let node = self.nodes.get_mut(&disk).unwrap();
            if !node.process.is_running(now) || node.committed.is_none() {
                continue;
            }
            if node.replica.can_propose() && self.random.below(2) == 0 {
                let mut numbers = node.committed.clone().unwrap();
                self.last_number += 1;
                numbers.insert(self.last_number);
                let members = node.replica.members().to_vec();
                let actions = node.replica.propose(members, encode(&numbers), now);
                self.perform(disk, actions);
            } else {
                self.last_read += 1;
                node.reads.insert(self.last_read, acknowledged);
                let actions = node.replica.confirm_read(self.last_read, now);
                self.perform(disk, actions);
            }
        }
    }

    pub fn primary(&self) -> Option<DiskId> {
        let serving = |(_, node): &(&DiskId, &Node)| node.process.is_up() && node.committed.is_some();
        self.nodes.iter().filter(serving).map(|(disk, _)| *disk).next()
    }
}

impl Simulation for World {
    type Event = Event;

    fn timeline(&self) -> &Timeline<Event> {
        &self.timeline
    }

    fn timeline_mut(&mut self) -> &mut Timeline<Event> {
        &mut self.timeline
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Synced { node, incarnation, register, then } => {
                self.complete_sync(node, incarnation, register, then);
            }
            Event::Start { node } => self.start(node),
        }
    }

    fn before_step(&mut self) {
        if self.is_due_every(REQUEST_INTERVAL) {
            self.serve_clients();
        }
    }

    fn after_step(&mut self) {
        if self.is_due_every(TICK_INTERVAL) {
            self.tick();
        }
    }
}
