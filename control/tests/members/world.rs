//! Core members on virtual time, with operators who send orders to any of them and send them again, and a record of what
//! every caller was told and when.

use crate::digest_file::Counts;
use crate::history::{Answer, Call, History};
use quillmount_control::{ControlState, CoreMember, MemberOutput, Order, OrderKind, RegisterWrite, Verdict};
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Register, ReplicaMessage};
use std::collections::{BTreeMap, BTreeSet};

pub type Time = u64;
pub const MILLI: Time = 1_000;
pub const SECOND: Time = 1_000_000;
/// How long an operator waits for an answer.
const PATIENCE: Time = SECOND;

/// A small generator, so that a seed always plays the same.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below.max(1)
    }

    pub fn chance(&mut self, of_hundred: u64) -> bool {
        self.next(100) < of_hundred
    }
}

enum Event {
    Deliver { from: DiskId, to: DiskId, message: ReplicaMessage },
    Synced { to: DiskId, life: u64, write: RegisterWrite, register: Register },
    Start { to: DiskId },
    Ask { operator: usize, to: DiskId },
    Told { operator: usize, call: usize, answer: Answer },
}

pub struct Machine {
    pub name: u32,
    pub member: CoreMember,
    disk: Register,
    life: u64,
    pub up: bool,
    pub frozen_until: Time,
    /// Calls that wait for a ticket: the call's number, and what it will be told.
    waiting: BTreeMap<u64, (usize, usize, Option<Answer>)>,
}

/// What an operator is doing.
enum Task {
    Read,
    /// The base is known; the order is sent until it has a clear answer.
    Order {
        order: Order,
        sent: u32,
    },
}

struct Operator {
    task: Task,
    call: usize,
    asked_at: Time,
    done: bool,
    /// Orders of this operator that were taken, to be sent again much later.
    taken: Vec<(Order, u64)>,
}

pub struct World {
    pub now: Time,
    pub random: Random,
    order: u64,
    events: BTreeMap<(Time, u64), Event>,
    pub machines: BTreeMap<DiskId, Machine>,
    pub cuts: BTreeSet<(DiskId, DiskId)>,
    operators: Vec<Operator>,
    pub history: History,
    pub survivable: usize,
    next_disk: DiskId,
    next_text: u64,
    pub busy: bool,
    /// What the members put out, for the digests.
    pub counts: Counts,
}

fn info(name: u32, disk: DiskId) -> NodeInfo {
    NodeInfo {
        name: format!("core-{name}"),
        disk,
        internal: format!("10.0.0.{name}:7360"),
        admin: None,
        zone: "z".to_owned(),
        role: NodeRole::Core,
    }
}

/// A configuration of this version; `text` tells it from others of the same version.
pub fn configuration(version: u64, text: u64) -> String {
    format!(
        r#"{{"Gen":{version},"Routes":[{{"Name":"r{text}","Host":"h","PathPrefix":"/","DeadlineMs":1000,"Backend":"s"}}],"Backends":[{{"Name":"s"}}]}}"#
    )
}

fn patch(version: u64, text: u64) -> String {
    format!(r#"{{"Gen":{version},"Upsert":{{"Backends":[{{"Name":"s{text}"}}]}}}}"#)
}

impl World {
    pub fn new(members: u32, survivable: usize, operators: usize, seed: u64) -> World {
        let mut world = World {
            now: SECOND,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed),
            order: 0,
            events: BTreeMap::new(),
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            operators: Vec::new(),
            history: History::default(),
            survivable,
            next_disk: 0,
            next_text: 0,
            busy: true,
            counts: Counts::default(),
        };
        for name in 1..=members {
            world.add_machine(name);
        }
        let mut state = ControlState::default();
        state.placement.core =
            world.machines.iter().map(|(disk, machine)| info(machine.name, *disk)).collect();
        let now = world.now;
        let outputs = world.machines.get_mut(&1).unwrap().member.bootstrap(&state, now);
        world.perform(1, outputs);
        for _ in 0..operators {
            let idle = Operator { task: Task::Read, call: 0, asked_at: 0, done: true, taken: Vec::new() };
            world.operators.push(idle);
        }
        world
    }

    /// A machine with an empty disk.
    pub fn add_machine(&mut self, name: u32) -> DiskId {
        self.next_disk += 1;
        let disk = self.next_disk;
        let member = CoreMember::new(disk, self.survivable, Register::default(), self.now);
        let machine = Machine {
            name,
            member,
            disk: Register::default(),
            life: 1,
            up: true,
            frozen_until: 0,
            waiting: BTreeMap::new(),
        };
        self.machines.insert(disk, machine);
        disk
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    pub fn kill(&mut self, disk: DiskId) {
        let machine = self.machines.get_mut(&disk).unwrap();
        machine.up = false;
        machine.life += 1;
        machine.waiting.clear();
    }

    pub fn restart_after(&mut self, disk: DiskId, down: Time) {
        self.schedule(self.now + down, Event::Start { to: disk });
    }

    /// Replaces a machine by one with an empty disk; the primary admits it when it is idle.
    pub fn wipe(&mut self, disk: DiskId) -> DiskId {
        let name = self.machines[&disk].name;
        self.kill(disk);
        self.machines.remove(&disk);
        self.add_machine(name)
    }

    /// Machines that the newest committed state does not name ask to be admitted, as by their polls.
    fn admit(&mut self) {
        let Some(primary) = self.primary() else { return };
        let Some(state) = self.machines[&primary].member.committed() else { return };
        let known: BTreeSet<DiskId> = state.core_disks().into_iter().collect();
        let newcomer = self.machines.iter().find(|(disk, machine)| machine.up && !known.contains(*disk));
        let Some(node) = newcomer.map(|(disk, machine)| info(machine.name, *disk)) else { return };
        if self.cuts.contains(&(node.disk, primary)) || !self.awake(primary) {
            return;
        }
        let now = self.now;
        let member = &mut self.machines.get_mut(&primary).unwrap().member;
        let silent = member.silent_members(now);
        if let Ok((_, _, outputs)) = member.change(|state| state.admit_core(&node, &silent), now) {
            self.perform(primary, outputs);
        }
    }

    pub fn primary(&self) -> Option<DiskId> {
        let serving = |(_, machine): &(&DiskId, &Machine)| machine.up && machine.member.serving().is_some();
        let all = self.machines.iter().filter(serving);
        all.max_by_key(|(_, machine)| machine.member.serving()).map(|(disk, _)| *disk)
    }

    /// Whether the primary serves, and every machine is a member that is level.
    pub fn is_healed(&self) -> bool {
        let Some(primary) = self.primary() else { return false };
        let member = &self.machines[&primary].member;
        let Some(state) = member.committed() else { return false };
        let held = |machine: &Machine| {
            machine.member.replica().register().accepted.as_ref().map(|held| (held.epoch, held.sequence))
        };
        let Some((epoch, sequence)) = held(&self.machines[&primary]) else { return false };
        // What is under way now may not be everywhere yet.
        let level = |machine: &Machine| held(machine) >= Some((epoch, sequence.saturating_sub(2)));
        let all: BTreeSet<DiskId> = self.machines.keys().copied().collect();
        let members: BTreeSet<DiskId> = state.core_disks().into_iter().collect();
        let settled = |machine: &Machine| {
            let accepted = machine.member.replica().register().accepted.as_ref();
            accepted.is_some_and(|held| held.value.prior.is_none())
        };
        let settled = self.machines.values().all(settled);
        settled && members == all && self.machines.values().all(|machine| machine.up && level(machine))
    }

    fn awake(&self, disk: DiskId) -> bool {
        self.machines.get(&disk).is_some_and(|machine| machine.up && machine.frozen_until <= self.now)
    }

    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        let due = self.now + MILLI;
        while let Some((&key, _)) = self.events.first_key_value()
            && key.0 <= due
        {
            let event = self.events.remove(&key).unwrap();
            self.now = self.now.max(key.0);
            self.take(event);
        }
        self.now = due;
        if self.now.is_multiple_of(25 * MILLI) {
            self.tick();
        }
        if self.now.is_multiple_of(50 * MILLI) {
            self.admit();
        }
        if self.now.is_multiple_of(10 * MILLI) {
            self.operate();
        }
    }

    fn tick(&mut self) {
        let disks: Vec<DiskId> = self.machines.keys().copied().collect();
        for disk in disks {
            if self.awake(disk) {
                let now = self.now;
                let outputs = self.machines.get_mut(&disk).unwrap().member.tick(now);
                self.perform(disk, outputs);
            }
        }
    }

    fn take(&mut self, event: Event) {
        let to = match &event {
            Event::Deliver { to, .. } | Event::Synced { to, .. } | Event::Ask { to, .. } => Some(*to),
            Event::Start { .. } | Event::Told { .. } => None,
        };
        if let Some(machine) = to.and_then(|to| self.machines.get(&to))
            && machine.frozen_until > self.now
        {
            // What comes to a frozen process waits for it.
            let at = machine.frozen_until;
            return self.schedule(at, event);
        }
        let now = self.now;
        match event {
            Event::Deliver { from, to, message } => {
                if self.awake(to) && !self.cuts.contains(&(from, to)) {
                    let outputs = self.machines.get_mut(&to).unwrap().member.receive(from, message, now);
                    self.perform(to, outputs);
                }
            }
            Event::Synced { to, life, write, register } => {
                let Some(machine) = self.machines.get_mut(&to).filter(|machine| machine.life == life) else {
                    return;
                };
                machine.disk = register;
                let outputs = machine.member.persisted(write, now);
                self.perform(to, outputs);
            }
            Event::Start { to } => self.start(to),
            Event::Ask { operator, to } => self.ask(operator, to),
            Event::Told { operator, call, answer } => self.told(operator, call, answer),
        }
    }

    fn start(&mut self, disk: DiskId) {
        let (now, survivable) = (self.now, self.survivable);
        if let Some(machine) = self.machines.get_mut(&disk).filter(|machine| !machine.up) {
            machine.member = CoreMember::new(disk, survivable, machine.disk.clone(), now);
            machine.up = true;
            machine.frozen_until = 0;
        }
    }

    fn perform(&mut self, disk: DiskId, outputs: Vec<MemberOutput>) {
        for output in outputs {
            self.count(disk, &output);
            match output {
                MemberOutput::Send { to, message } => {
                    let delay = 500 + self.random.next(1_500);
                    let late = if self.random.chance(1) { self.random.next(800) * MILLI } else { 0 };
                    if !self.random.chance(1) {
                        self.schedule(self.now + delay + late, Event::Deliver { from: disk, to, message });
                    }
                }
                MemberOutput::Persist { write, register } => {
                    let life = self.machines[&disk].life;
                    let at = self.now + 300 + self.random.next(2_000);
                    self.schedule(at, Event::Synced { to: disk, life, write, register });
                }
                MemberOutput::Confirmed { ticket } => self.confirmed(disk, ticket),
                MemberOutput::Uncertain { ticket } => {
                    if let Some((operator, call, _)) =
                        self.machines.get_mut(&disk).unwrap().waiting.remove(&ticket)
                    {
                        self.tell(operator, call, Answer::Unclear);
                    }
                }
                MemberOutput::News => {
                    let state = self.machines[&disk].member.committed().unwrap();
                    self.history.committed(&state, self.now);
                    self.audit_copies(&state);
                }
                MemberOutput::Elected { .. } | MemberOutput::SteppedDown | MemberOutput::Accepted => {}
            }
        }
    }

    fn count(&mut self, disk: DiskId, output: &MemberOutput) {
        let now = self.now;
        match output {
            MemberOutput::Send { to, message } => {
                let (label, epoch) = match message {
                    ReplicaMessage::Canvass { epoch } => ("pre_vote_requests", *epoch),
                    ReplicaMessage::Support { epoch } => ("pre_votes", *epoch),
                    ReplicaMessage::Prepare { epoch } => ("prepares", *epoch),
                    ReplicaMessage::Promise { epoch, .. } => ("promises", *epoch),
                    ReplicaMessage::Accept { accepted } => ("accepts", accepted.epoch),
                    ReplicaMessage::Acknowledge { epoch, .. } => ("acknowledgements", *epoch),
                    ReplicaMessage::Heartbeat { epoch, .. } => ("heartbeats", *epoch),
                    ReplicaMessage::HeartbeatReply { epoch, .. } => ("heartbeat_replies", *epoch),
                    ReplicaMessage::Reject { promised } => ("rejections", *promised),
                    ReplicaMessage::Resign { epoch, .. } => ("resignations", *epoch),
                };
                self.counts.count(label, &[now, disk, *to, epoch]);
            }
            MemberOutput::Persist { register, .. } => {
                let payload = register.accepted.as_ref().map_or(0, |accepted| accepted.value.payload.len());
                self.counts.count("writes", &[now, disk, payload as u64]);
            }
            MemberOutput::Confirmed { ticket } => self.counts.count("confirmed", &[now, disk, *ticket]),
            MemberOutput::Uncertain { ticket } => self.counts.count("uncertain", &[now, disk, *ticket]),
            MemberOutput::Elected { epoch } => self.counts.count("elections", &[now, disk, *epoch]),
            MemberOutput::SteppedDown => self.counts.count("step_downs", &[now, disk]),
            MemberOutput::News => {
                let version = self.machines[&disk].member.committed().map_or(0, |state| state.version);
                self.counts.count("commits", &[now, disk, version]);
            }
            MemberOutput::Accepted => self.counts.count("accepted_values", &[now, disk]),
        }
    }

    /// What is committed is on enough disks.
    fn audit_copies(&self, state: &ControlState) {
        let holds = |machine: &&Machine| {
            let held = machine
                .disk
                .accepted
                .as_ref()
                .and_then(|held| ControlState::decode(&held.value.payload).ok());
            held.is_some_and(|held| held.version >= state.version)
        };
        let copies = self.machines.values().filter(holds).count();
        // A copy may have been lost with its disk after it was acknowledged.
        assert!(copies >= self.survivable, "COPIES: {copies} of version {}", state.version);
    }

    fn confirmed(&mut self, disk: DiskId, ticket: u64) {
        let machine = self.machines.get_mut(&disk).unwrap();
        let Some((operator, call, answer)) = machine.waiting.remove(&ticket) else { return };
        let answer = answer.unwrap_or_else(|| match machine.member.committed() {
            Some(state) => Answer::Shows { version: state.version, text: state.configuration.clone() },
            None => Answer::Unclear,
        });
        self.tell(operator, call, answer);
    }

    /// An answer goes out, and may be lost on its way.
    fn tell(&mut self, operator: usize, call: usize, answer: Answer) {
        self.history.answered(call, &answer, self.now);
        if !self.random.chance(25) {
            let at = self.now + 1_000 + self.random.next(4_000);
            self.schedule(at, Event::Told { operator, call, answer });
        }
    }

    // Operators

    fn operate(&mut self) {
        for operator in 0..self.operators.len() {
            let now = self.now;
            if self.operators[operator].done {
                if self.busy && self.random.chance(20) {
                    self.begin(operator);
                }
            } else if now > self.operators[operator].asked_at + PATIENCE {
                // Without an answer the same is sent again, to any machine.
                self.send(operator);
            }
        }
    }

    /// Begins a read, an order on the version that was read last, or an order that was taken long ago, once more.
    fn begin(&mut self, operator: usize) {
        let text = self.next_text;
        self.next_text += 1;
        let base = self.history.newest_shown(operator);
        let version = base + 1 + self.random.next(3);
        let old = self.operators[operator].taken.clone();
        let task = match self.random.next(10) {
            0..=2 => Task::Read,
            3 if !old.is_empty() => {
                let (order, _) = old[self.random.next(old.len() as u64) as usize].clone();
                Task::Order { order, sent: 0 }
            }
            4..=6 if base > 0 => {
                let order = Order { kind: OrderKind::Patch, base, body: patch(version, text) };
                Task::Order { order, sent: 0 }
            }
            // Two operators may send the very same body on different versions.
            7 if base > 0 => {
                let order =
                    Order { kind: OrderKind::Put, base, body: configuration(version + 50, 1_000_000) };
                Task::Order { order, sent: 0 }
            }
            _ => {
                let order = Order { kind: OrderKind::Put, base, body: configuration(version, text) };
                Task::Order { order, sent: 0 }
            }
        };
        self.operators[operator].task = task;
        self.operators[operator].done = false;
        self.send(operator);
    }

    fn send(&mut self, operator: usize) {
        let disks: Vec<DiskId> = self.machines.keys().copied().collect();
        let to = disks[self.random.next(disks.len() as u64) as usize];
        // Half of the callers were told where the primary is.
        let to = if self.random.chance(50) { self.primary().unwrap_or(to) } else { to };
        self.operators[operator].asked_at = self.now;
        if let Task::Order { sent, .. } = &mut self.operators[operator].task {
            *sent += 1;
        }
        let at = self.now + 1_000 + self.random.next(3_000);
        self.schedule(at, Event::Ask { operator, to });
    }

    fn ask(&mut self, operator: usize, to: DiskId) {
        if self.operators[operator].done || !self.awake(to) {
            return;
        }
        let now = self.now;
        let order = match &self.operators[operator].task {
            Task::Read => None,
            Task::Order { order, .. } => Some(order.clone()),
        };
        let call = self.history.asked(Call { order: order.clone(), began: now, ended: None, answer: None });
        self.operators[operator].call = call;
        let machine = self.machines.get_mut(&to).unwrap();
        let begun = match order {
            None => machine.member.confirm(now).map(|(ticket, outputs)| (ticket, outputs, None)),
            Some(order) => {
                machine.member.change(|state| state.order(&order), now).map(|(verdict, ticket, outputs)| {
                    let answer = match verdict {
                        Verdict::Taken { version } => Answer::Taken { version },
                        Verdict::OtherVersion { .. } => Answer::OtherVersion,
                        Verdict::Invalid(_) => Answer::Invalid,
                        Verdict::Forgotten => Answer::Unclear,
                    };
                    (ticket, outputs, Some(answer))
                })
            }
        };
        match begun {
            Ok((ticket, outputs, answer)) => {
                machine.waiting.insert(ticket, (operator, call, answer));
                self.perform(to, outputs);
            }
            Err(_) => self.tell(operator, call, Answer::Unclear),
        }
    }

    fn told(&mut self, operator: usize, call: usize, answer: Answer) {
        let state = &mut self.operators[operator];
        if state.done || state.call != call {
            return;
        }
        match (&answer, &state.task) {
            // Sent again after a pause.
            (Answer::Unclear, _) => return,
            (Answer::Taken { version }, Task::Order { order, .. }) => {
                state.taken.push((order.clone(), *version))
            }
            _ => {}
        }
        state.done = true;
        self.history.shown(operator, &answer);
    }
}
