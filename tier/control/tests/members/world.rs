//! Core members on virtual time, with operators who send requests to any of them, and the history of all calls.
//!
//! Messages, syncs and calls are events of a queue; a seed decides all delays and losses.

mod operators;
mod trace;

use self::operators::Operator;
use crate::history::{Answer, History};
use quillmount_control::{ControlState, Member, MemberAction, RegisterWrite, Ticket};
use quillmount_test_support::digest::Counts;
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Register, RegisterMessage};
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds of virtual time.
pub type Time = u64;
pub const MILLI: Time = 1_000;
pub const SECOND: Time = 1_000_000;

/// A linear congruential generator, so that a seed always gives the same run.
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
    Deliver { from: DiskId, to: DiskId, message: RegisterMessage },
    Synced { to: DiskId, incarnation: u64, write: RegisterWrite, register: Register },
    Start { to: DiskId },
    CallArrives { operator: usize, to: DiskId },
    AnswerArrives { operator: usize, call: usize, answer: Answer },
}

/// A call that waits for its ticket.
struct WaitingCall {
    operator: usize,
    /// Its index in the history.
    call: usize,
    /// The answer once the ticket is confirmed; `None` for a read, which shows the state of that moment.
    answer: Option<Answer>,
}

pub struct Machine {
    pub name: u32,
    pub member: Member,
    /// What is synced.
    disk: Register,
    /// Rises with each kill, so that syncs of a killed process go nowhere.
    incarnation: u64,
    pub up: bool,
    /// Until then the process handles nothing; what arrives waits.
    pub frozen_until: Time,
    waiting: BTreeMap<Ticket, WaitingCall>,
}

pub struct World {
    pub now: Time,
    pub random: Random,
    /// Number of the last event, which orders events of the same time.
    last_event: u64,
    events: BTreeMap<(Time, u64), Event>,
    pub machines: BTreeMap<DiskId, Machine>,
    /// Links, from one machine to another, on which messages are lost.
    pub cuts: BTreeSet<(DiskId, DiskId)>,
    operators: Vec<Operator>,
    pub history: History,
    pub tolerated_failures: usize,
    last_disk: DiskId,
    /// Tells configurations of the same version apart.
    next_text: u64,
    /// Whether operators begin new tasks.
    pub busy: bool,
    /// What the members put out, for the digests.
    pub counts: Counts,
}

fn node_info(name: u32, disk: DiskId) -> NodeInfo {
    NodeInfo {
        name: format!("core-{name}"),
        disk,
        internal: format!("10.0.0.{name}:7360"),
        admin: None,
        zone: "z".to_owned(),
        role: NodeRole::Core,
    }
}

impl World {
    pub fn new(members: u32, tolerated_failures: usize, operators: usize, seed: u64) -> World {
        let mut world = World {
            now: SECOND,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed),
            last_event: 0,
            events: BTreeMap::new(),
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            operators: Vec::new(),
            history: History::default(),
            tolerated_failures,
            last_disk: 0,
            next_text: 0,
            busy: true,
            counts: Counts::default(),
        };
        for name in 1..=members {
            world.add_machine(name);
        }
        let mut state = ControlState::default();
        state.placement.core =
            world.machines.iter().map(|(disk, machine)| node_info(machine.name, *disk)).collect();
        let now = world.now;
        let actions = world.machines.get_mut(&1).unwrap().member.bootstrap(&state, now);
        world.perform(1, actions);
        world.operators.extend((0..operators).map(|_| Operator::idle()));
        world
    }

    /// A machine with an empty disk.
    pub fn add_machine(&mut self, name: u32) -> DiskId {
        self.last_disk += 1;
        let disk = self.last_disk;
        let member = Member::new(disk, self.tolerated_failures, Register::default(), self.now);
        let machine = Machine {
            name,
            member,
            disk: Register::default(),
            incarnation: 1,
            up: true,
            frozen_until: 0,
            waiting: BTreeMap::new(),
        };
        self.machines.insert(disk, machine);
        disk
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    pub fn kill(&mut self, disk: DiskId) {
        let machine = self.machines.get_mut(&disk).unwrap();
        machine.up = false;
        machine.incarnation += 1;
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

    /// The primary admits a machine that its committed state does not name, as it would by the machine's poll.
    fn admit(&mut self) {
        let Some(primary) = self.primary() else { return };
        let Some(state) = self.machines[&primary].member.committed() else { return };
        let known: BTreeSet<DiskId> = state.core_disks().into_iter().collect();
        let newcomer = self.machines.iter().find(|(disk, machine)| machine.up && !known.contains(*disk));
        let Some(node) = newcomer.map(|(disk, machine)| node_info(machine.name, *disk)) else { return };
        if self.cuts.contains(&(node.disk, primary)) || !self.is_running(primary) {
            return;
        }
        let now = self.now;
        let member = &mut self.machines.get_mut(&primary).unwrap().member;
        let silent = member.silent_members(now);
        if let Ok(admission) = member.change(|state| state.admit_core_member(&node, &silent), now) {
            self.perform(primary, admission.actions);
        }
    }

    pub fn primary(&self) -> Option<DiskId> {
        let serving = |(_, machine): &(&DiskId, &Machine)| machine.up && machine.member.serving().is_some();
        let all = self.machines.iter().filter(serving);
        all.max_by_key(|(_, machine)| machine.member.serving()).map(|(disk, _)| *disk)
    }

    /// Whether a primary serves, every machine is a member, and every one is up to date.
    pub fn is_healed(&self) -> bool {
        let Some(primary) = self.primary() else { return false };
        let member = &self.machines[&primary].member;
        let Some(state) = member.committed() else { return false };
        let position = |machine: &Machine| {
            let accepted = machine.member.replica().register().accepted.as_ref()?;
            Some((accepted.epoch, accepted.sequence))
        };
        let Some((epoch, sequence)) = position(&self.machines[&primary]) else { return false };
        // The last proposals may not be everywhere yet.
        let up_to_date = |machine: &Machine| position(machine) >= Some((epoch, sequence.saturating_sub(2)));
        let has_one_member_list = |machine: &Machine| {
            let accepted = machine.member.replica().register().accepted.as_ref();
            accepted.is_some_and(|accepted| accepted.value.prior.is_none())
        };
        let all: BTreeSet<DiskId> = self.machines.keys().copied().collect();
        let members: BTreeSet<DiskId> = state.core_disks().into_iter().collect();
        let healed = |machine: &Machine| machine.up && up_to_date(machine) && has_one_member_list(machine);
        members == all && self.machines.values().all(healed)
    }

    fn is_running(&self, disk: DiskId) -> bool {
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
            self.handle_event(event);
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
            if self.is_running(disk) {
                let now = self.now;
                let actions = self.machines.get_mut(&disk).unwrap().member.tick(now);
                self.perform(disk, actions);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let to = match &event {
            Event::Deliver { to, .. } | Event::Synced { to, .. } | Event::CallArrives { to, .. } => Some(*to),
            Event::Start { .. } | Event::AnswerArrives { .. } => None,
        };
        if let Some(machine) = to.and_then(|to| self.machines.get(&to))
            && machine.frozen_until > self.now
        {
            // What arrives at a frozen process waits for it.
            let at = machine.frozen_until;
            return self.schedule(at, event);
        }
        let now = self.now;
        match event {
            Event::Deliver { from, to, message } => {
                if self.is_running(to) && !self.cuts.contains(&(from, to)) {
                    let actions = self.machines.get_mut(&to).unwrap().member.receive(from, message, now);
                    self.perform(to, actions);
                }
            }
            Event::Synced { to, incarnation, write, register } => {
                let Some(machine) =
                    self.machines.get_mut(&to).filter(|machine| machine.incarnation == incarnation)
                else {
                    return;
                };
                machine.disk = register;
                let actions = machine.member.persisted(write, now);
                self.perform(to, actions);
            }
            Event::Start { to } => self.start(to),
            Event::CallArrives { operator, to } => self.receive_call(operator, to),
            Event::AnswerArrives { operator, call, answer } => self.receive_answer(operator, call, answer),
        }
    }

    fn start(&mut self, disk: DiskId) {
        let (now, tolerated_failures) = (self.now, self.tolerated_failures);
        if let Some(machine) = self.machines.get_mut(&disk).filter(|machine| !machine.up) {
            machine.member = Member::new(disk, tolerated_failures, machine.disk.clone(), now);
            machine.up = true;
            machine.frozen_until = 0;
        }
    }

    fn perform(&mut self, disk: DiskId, actions: Vec<MemberAction>) {
        for action in actions {
            self.count(disk, &action);
            match action {
                MemberAction::Send { to, message } => {
                    let delay = 500 + self.random.next(1_500);
                    let late = if self.random.chance(1) { self.random.next(800) * MILLI } else { 0 };
                    if !self.random.chance(1) {
                        self.schedule(self.now + delay + late, Event::Deliver { from: disk, to, message });
                    }
                }
                MemberAction::Persist { write, register } => {
                    let incarnation = self.machines[&disk].incarnation;
                    let at = self.now + 300 + self.random.next(2_000);
                    self.schedule(at, Event::Synced { to: disk, incarnation, write, register });
                }
                MemberAction::Confirmed { ticket } => self.confirmed(disk, ticket),
                MemberAction::Uncertain { ticket } => {
                    let waiting = self.machines.get_mut(&disk).unwrap().waiting.remove(&ticket);
                    if let Some(WaitingCall { operator, call, .. }) = waiting {
                        self.answer_operator(operator, call, Answer::Unclear);
                    }
                }
                MemberAction::StateChanged => {
                    let state = self.machines[&disk].member.committed().unwrap();
                    self.history.committed(&state, self.now);
                    self.audit_copies(&state);
                }
                MemberAction::Elected { .. } | MemberAction::SteppedDown | MemberAction::Accepted => {}
            }
        }
    }

    /// What is committed is on enough disks.
    fn audit_copies(&self, state: &ControlState) {
        let has_version = |machine: &&Machine| {
            let accepted = machine.disk.accepted.as_ref();
            let stored = accepted.and_then(|accepted| ControlState::decode(&accepted.value.payload).ok());
            stored.is_some_and(|stored| stored.version >= state.version)
        };
        let copies = self.machines.values().filter(has_version).count();
        // A copy may have been lost with its disk after it was acknowledged.
        assert!(copies >= self.tolerated_failures, "COPIES: {copies} of version {}", state.version);
    }
}
