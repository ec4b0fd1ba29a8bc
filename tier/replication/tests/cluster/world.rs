//! Clusters on virtual time, with an auditor of what was acknowledged.

use quillmount_replication::{RegisterAction, RegisterReplica, Timing};
use quillmount_test_support::digest::Counts;
use quillmount_wire::messages::{DiskId, Register, RegisterMessage};
use std::collections::{BTreeMap, BTreeSet};

pub type Time = u64;
pub const MILLI: Time = 1_000;
pub const SECOND: Time = 1_000_000;

/// A small generator, so that a seed always plays the same.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below.max(1)
    }
}

pub enum Event {
    Deliver { from: DiskId, to: DiskId, message: RegisterMessage },
    Synced { node: DiskId, incarnation: u64, register: Register, then: Vec<RegisterAction> },
    Start { node: DiskId },
}

/// One fault at one step: messages between members, and syncs, are counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The message is lost.
    Lose(usize),
    /// It comes so much later.
    Delay(usize, Time),
    /// It comes twice, the second time so much later.
    Repeat(usize, Time),
    /// The member is killed before the sync reaches the disk, and started again after so long.
    KillBefore(usize, Time),
    /// It is killed after the sync, before anything follows from it.
    KillAfter(usize, Time),
}

pub struct Node {
    pub replica: RegisterReplica,
    pub disk: Register,
    pub incarnation: u64,
    pub up: bool,
    pub frozen_until: Time,
    /// Reads under way: what had been acknowledged when they were asked for.
    pub reads: BTreeMap<u64, BTreeSet<u32>>,
    pub committed: Option<BTreeSet<u32>>,
}

pub struct World {
    pub now: Time,
    pub random: Random,
    pub order: u64,
    pub events: BTreeMap<(Time, u64), Event>,
    pub nodes: BTreeMap<DiskId, Node>,
    pub cuts: BTreeSet<(DiskId, DiskId)>,
    pub acknowledged: BTreeSet<u32>,
    pub next_id: u32,
    pub next_read: u64,
    pub tolerated_failures: usize,
    pub reads_confirmed: usize,
    pub faults: Vec<Fault>,
    /// Messages between members that arrived, and syncs that ended, so far.
    pub messages: usize,
    pub syncs: usize,
    /// What the members put out, for the digests.
    pub counts: Counts,
}

pub fn encode(ids: &BTreeSet<u32>) -> Vec<u8> {
    ids.iter().flat_map(|id| id.to_le_bytes()).collect()
}

pub fn decode(payload: &[u8]) -> BTreeSet<u32> {
    payload
        .chunks_exact(4)
        .map(|bytes| u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
        .collect()
}

impl World {
    pub fn new(members: u64, tolerated_failures: usize, seed: u64) -> World {
        let mut world = World {
            now: SECOND,
            random: Random(seed),
            order: 0,
            events: BTreeMap::new(),
            nodes: BTreeMap::new(),
            cuts: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            next_id: 0,
            next_read: 0,
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
        let now = world.now;
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
            self.now,
        );
        let node = Node {
            replica,
            disk: register,
            incarnation: 1,
            up: true,
            frozen_until: 0,
            reads: BTreeMap::new(),
            committed: None,
        };
        self.nodes.insert(disk, node);
    }

    pub fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    pub fn perform(&mut self, disk: DiskId, actions: Vec<RegisterAction>) {
        for action in actions {
            self.count(disk, &action);
            match action {
                RegisterAction::Send { to, message } => {
                    let delay = if to == disk { 0 } else { 500 + self.random.next(1500) };
                    self.schedule(self.now + delay, Event::Deliver { from: disk, to, message });
                }
                RegisterAction::Persist { register, then } => {
                    let incarnation = self.nodes[&disk].incarnation;
                    let at = self.now + 300 + self.random.next(2000);
                    self.schedule(at, Event::Synced { node: disk, incarnation, register, then });
                }
                RegisterAction::Committed { accepted } => {
                    let ids = decode(&accepted.value.payload);
                    // A primary that was frozen may learn late that its last value was kept: then all of it is known.
                    assert!(
                        self.acknowledged.is_subset(&ids) || ids.is_subset(&self.acknowledged),
                        "acknowledged and lost: {:?}",
                        self.acknowledged.difference(&ids).collect::<Vec<_>>()
                    );
                    self.acknowledged.extend(&ids);
                    self.nodes.get_mut(&disk).unwrap().committed = Some(ids);
                }
                RegisterAction::Elected { .. } | RegisterAction::SteppedDown => {
                    let node = self.nodes.get_mut(&disk).unwrap();
                    node.committed = None;
                    node.reads.clear();
                }
                RegisterAction::ReadConfirmed { read } => {
                    let node = self.nodes.get_mut(&disk).unwrap();
                    let before = node.reads.remove(&read).expect("asked for");
                    let mine = node.committed.clone().expect("a primary that reads has committed");
                    assert!(
                        before.is_subset(&mine),
                        "a confirmed read is older than what was acknowledged before it"
                    );
                    self.reads_confirmed += 1;
                }
            }
        }
    }

    fn count(&mut self, disk: DiskId, action: &RegisterAction) {
        let now = self.now;
        match action {
            RegisterAction::Send { to, message } => {
                let (label, epoch) = match message {
                    RegisterMessage::PreVote { epoch } => ("pre_vote_requests", *epoch),
                    RegisterMessage::PreVoteGranted { epoch } => ("pre_votes", *epoch),
                    RegisterMessage::Prepare { epoch } => ("prepares", *epoch),
                    RegisterMessage::Promise { epoch, .. } => ("promises", *epoch),
                    RegisterMessage::Accept { accepted } => ("accepts", accepted.epoch),
                    RegisterMessage::Acknowledge { epoch, .. } => ("acknowledgements", *epoch),
                    RegisterMessage::Heartbeat { epoch, .. } => ("heartbeats", *epoch),
                    RegisterMessage::HeartbeatReply { epoch, .. } => ("heartbeat_replies", *epoch),
                    RegisterMessage::Reject { promised } => ("rejections", *promised),
                    RegisterMessage::Resign { epoch, .. } => ("resignations", *epoch),
                };
                self.counts.count(label, &[now, disk, *to, epoch]);
            }
            RegisterAction::Persist { register, then } => {
                let payload = register.accepted.as_ref().map_or(0, |accepted| accepted.value.payload.len());
                self.counts.count("writes", &[now, disk, payload as u64, then.len() as u64]);
            }
            RegisterAction::Committed { accepted } => {
                self.counts.count("commits", &[now, disk, accepted.epoch, accepted.sequence]);
            }
            RegisterAction::Elected { epoch } => self.counts.count("elections", &[now, disk, *epoch]),
            RegisterAction::SteppedDown => self.counts.count("step_downs", &[now, disk]),
            RegisterAction::ReadConfirmed { read } => {
                self.counts.count("reads_confirmed", &[now, disk, *read])
            }
        }
    }

    pub fn step(&mut self) {
        let due = self.now + MILLI;
        while let Some((&key, _)) = self.events.first_key_value()
            && key.0 <= due
        {
            let event = self.events.remove(&key).unwrap();
            self.now = self.now.max(key.0);
            self.handle_event(event);
        }
        self.now = due;
        let disks: Vec<DiskId> = self.nodes.keys().copied().collect();
        for disk in disks {
            let now = self.now;
            let node = self.nodes.get_mut(&disk).unwrap();
            if node.up && node.frozen_until <= now && now.is_multiple_of(25 * MILLI) {
                let actions = node.replica.tick(now);
                self.perform(disk, actions);
            }
        }
    }

    pub fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver { from, to, message } => {
                if from != to && self.cuts.contains(&(from, to)) {
                    return;
                }
                if from != to && self.message_fails(from, to, &message) {
                    return;
                }
                let Some(node) = self.nodes.get_mut(&to) else { return };
                if !node.up {
                    return;
                }
                if node.frozen_until > now {
                    // What comes to a frozen process waits for it.
                    let at = node.frozen_until;
                    self.schedule(at, Event::Deliver { from, to, message });
                    return;
                }
                let actions = node.replica.receive(from, message, now);
                self.perform(to, actions);
            }
            Event::Synced { node: disk, incarnation, register, then } => {
                let Some(node) = self.nodes.get_mut(&disk) else { return };
                if !node.up || node.incarnation != incarnation {
                    return;
                }
                self.syncs += 1;
                let number = self.syncs - 1;
                if let Some(down) =
                    self.kill_at(|fault| matches!(fault, Fault::KillBefore(at, _) if at == number))
                {
                    return self.restart_later(disk, down);
                }
                self.nodes.get_mut(&disk).unwrap().disk = register;
                if let Some(down) =
                    self.kill_at(|fault| matches!(fault, Fault::KillAfter(at, _) if at == number))
                {
                    return self.restart_later(disk, down);
                }
                self.perform(disk, then);
            }
            Event::Start { node } => self.start(node),
        }
    }

    /// For how long a member is down that a fault kills at this step.
    fn kill_at(&self, matches: impl Fn(Fault) -> bool) -> Option<Time> {
        self.faults.iter().copied().find(|fault| matches(*fault)).and_then(|fault| match fault {
            Fault::KillBefore(_, down) | Fault::KillAfter(_, down) => Some(down),
            _ => None,
        })
    }

    fn restart_later(&mut self, disk: DiskId, down: Time) {
        self.kill(disk);
        self.schedule(self.now + down, Event::Start { node: disk });
    }

    /// Whether a fault keeps this message from being delivered now.
    fn message_fails(&mut self, from: DiskId, to: DiskId, message: &RegisterMessage) -> bool {
        self.messages += 1;
        let number = self.messages - 1;
        let fault = self.faults.iter().copied().find(|fault| match fault {
            Fault::Lose(at) | Fault::Delay(at, _) | Fault::Repeat(at, _) => *at == number,
            Fault::KillBefore(..) | Fault::KillAfter(..) => false,
        });
        let redeliver = |world: &mut World, later: Time| {
            let event = Event::Deliver { from, to, message: message.clone() };
            world.schedule(world.now + later, event);
        };
        match fault {
            Some(Fault::Lose(_)) => true,
            Some(Fault::Delay(_, later)) => {
                redeliver(self, later);
                true
            }
            Some(Fault::Repeat(_, later)) => {
                redeliver(self, later);
                false
            }
            _ => false,
        }
    }

    pub fn kill(&mut self, disk: DiskId) {
        let node = self.nodes.get_mut(&disk).unwrap();
        node.up = false;
        node.incarnation += 1;
        node.committed = None;
        node.reads.clear();
    }

    pub fn start(&mut self, disk: DiskId) {
        let (now, tolerated_failures) = (self.now, self.tolerated_failures);
        let node = self.nodes.get_mut(&disk).unwrap();
        node.replica =
            RegisterReplica::new(disk, tolerated_failures, node.disk.clone(), Timing::default(), now);
        node.up = true;
    }

    /// Some client's work: a change or a read at whoever takes itself for the primary.
    pub fn work(&mut self) {
        let now = self.now;
        let disks: Vec<DiskId> = self.nodes.keys().copied().collect();
        for disk in disks {
            let acknowledged = self.acknowledged.clone();
            let node = self.nodes.get_mut(&disk).unwrap();
            if !node.up || node.frozen_until > now || node.committed.is_none() {
                continue;
            }
            if node.replica.can_propose() && self.random.next(2) == 0 {
                let mut ids = node.committed.clone().unwrap();
                self.next_id += 1;
                ids.insert(self.next_id);
                let members = node.replica.members().to_vec();
                let actions = node.replica.propose(members, encode(&ids), now);
                self.perform(disk, actions);
            } else {
                self.next_read += 1;
                node.reads.insert(self.next_read, acknowledged);
                let actions = node.replica.confirm_read(self.next_read, now);
                self.perform(disk, actions);
            }
        }
    }

    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            if self.now.is_multiple_of(20 * MILLI) {
                self.work();
            }
            self.step();
        }
    }

    pub fn primary(&self) -> Option<DiskId> {
        let serving = |(_, node): &(&DiskId, &Node)| node.up && node.committed.is_some();
        self.nodes.iter().filter(serving).map(|(disk, _)| *disk).next()
    }
}
