//! Core members on virtual time, with operators who send orders to any of them and send them again, and a record of what
//! every caller was told and when.

use crate::history::{Answer, Call, History};
use quillmount_control::{ControlState, Member, MemberAction, Order, OrderKind, OrderOutcome, RegisterWrite};
use quillmount_test_support::digest::Counts;
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Register, RegisterMessage};
use std::collections::{BTreeMap, BTreeSet};

pub type Time = u64;
pub const MILLI: Time = 1_000;
pub const SECOND: Time = 1_000_000;
/// How long an operator waits for an answer.
const ANSWER_TIMEOUT: Time = SECOND;

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
    Deliver { from: DiskId, to: DiskId, message: RegisterMessage },
    Synced { to: DiskId, incarnation: u64, write: RegisterWrite, register: Register },
    Start { to: DiskId },
    CallArrives { operator: usize, to: DiskId },
    AnswerArrives { operator: usize, call: usize, answer: Answer },
}

pub struct Machine {
    pub name: u32,
    pub member: Member,
    disk: Register,
    incarnation: u64,
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
    sent_at: Time,
    done: bool,
    /// Orders of this operator that were taken, to be sent again much later.
    applied_orders: Vec<(Order, u64)>,
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
    pub tolerated_failures: usize,
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
    pub fn new(members: u32, tolerated_failures: usize, operators: usize, seed: u64) -> World {
        let mut world = World {
            now: SECOND,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed),
            order: 0,
            events: BTreeMap::new(),
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            operators: Vec::new(),
            history: History::default(),
            tolerated_failures,
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
        let actions = world.machines.get_mut(&1).unwrap().member.bootstrap(&state, now);
        world.perform(1, actions);
        for _ in 0..operators {
            let idle =
                Operator { task: Task::Read, call: 0, sent_at: 0, done: true, applied_orders: Vec::new() };
            world.operators.push(idle);
        }
        world
    }

    /// A machine with an empty disk.
    pub fn add_machine(&mut self, name: u32) -> DiskId {
        self.next_disk += 1;
        let disk = self.next_disk;
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
        self.order += 1;
        self.events.insert((at, self.order), event);
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
        if let Ok((_, _, actions)) = member.change(|state| state.admit_core_member(&node, &silent), now) {
            self.perform(primary, actions);
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
        let accepted_value = |machine: &Machine| {
            machine
                .member
                .replica()
                .register()
                .accepted
                .as_ref()
                .map(|accepted_value| (accepted_value.epoch, accepted_value.sequence))
        };
        let Some((epoch, sequence)) = accepted_value(&self.machines[&primary]) else { return false };
        // What is under way now may not be everywhere yet.
        let level = |machine: &Machine| accepted_value(machine) >= Some((epoch, sequence.saturating_sub(2)));
        let all: BTreeSet<DiskId> = self.machines.keys().copied().collect();
        let members: BTreeSet<DiskId> = state.core_disks().into_iter().collect();
        let settled = |machine: &Machine| {
            let accepted = machine.member.replica().register().accepted.as_ref();
            accepted.is_some_and(|accepted_value| accepted_value.value.prior.is_none())
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
            if self.awake(disk) {
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
            // What comes to a frozen process waits for it.
            let at = machine.frozen_until;
            return self.schedule(at, event);
        }
        let now = self.now;
        match event {
            Event::Deliver { from, to, message } => {
                if self.awake(to) && !self.cuts.contains(&(from, to)) {
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
                    if let Some((operator, call, _)) =
                        self.machines.get_mut(&disk).unwrap().waiting.remove(&ticket)
                    {
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

    fn count(&mut self, disk: DiskId, action: &MemberAction) {
        let now = self.now;
        match action {
            MemberAction::Send { to, message } => {
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
            MemberAction::Persist { register, .. } => {
                let payload = register.accepted.as_ref().map_or(0, |accepted| accepted.value.payload.len());
                self.counts.count("writes", &[now, disk, payload as u64]);
            }
            MemberAction::Confirmed { ticket } => self.counts.count("confirmed", &[now, disk, *ticket]),
            MemberAction::Uncertain { ticket } => self.counts.count("uncertain", &[now, disk, *ticket]),
            MemberAction::Elected { epoch } => self.counts.count("elections", &[now, disk, *epoch]),
            MemberAction::SteppedDown => self.counts.count("step_downs", &[now, disk]),
            MemberAction::StateChanged => {
                let version = self.machines[&disk].member.committed().map_or(0, |state| state.version);
                self.counts.count("commits", &[now, disk, version]);
            }
            MemberAction::Accepted => self.counts.count("accepted_values", &[now, disk]),
        }
    }

    /// What is committed is on enough disks.
    fn audit_copies(&self, state: &ControlState) {
        let has_version = |machine: &&Machine| {
            let accepted_value = machine
                .disk
                .accepted
                .as_ref()
                .and_then(|accepted_value| ControlState::decode(&accepted_value.value.payload).ok());
            accepted_value.is_some_and(|accepted_value| accepted_value.version >= state.version)
        };
        let copies = self.machines.values().filter(has_version).count();
        // A copy may have been lost with its disk after it was acknowledged.
        assert!(copies >= self.tolerated_failures, "COPIES: {copies} of version {}", state.version);
    }

    fn confirmed(&mut self, disk: DiskId, ticket: u64) {
        let machine = self.machines.get_mut(&disk).unwrap();
        let Some((operator, call, answer)) = machine.waiting.remove(&ticket) else { return };
        let answer = answer.unwrap_or_else(|| match machine.member.committed() {
            Some(state) => Answer::Shows { version: state.version, text: state.configuration.clone() },
            None => Answer::Unclear,
        });
        self.answer_operator(operator, call, answer);
    }

    /// An answer goes out, and may be lost on its way.
    fn answer_operator(&mut self, operator: usize, call: usize, answer: Answer) {
        self.history.answered(call, &answer, self.now);
        if !self.random.chance(25) {
            let at = self.now + 1_000 + self.random.next(4_000);
            self.schedule(at, Event::AnswerArrives { operator, call, answer });
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
            } else if now > self.operators[operator].sent_at + ANSWER_TIMEOUT {
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
        let old = self.operators[operator].applied_orders.clone();
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
        self.operators[operator].sent_at = self.now;
        if let Task::Order { sent, .. } = &mut self.operators[operator].task {
            *sent += 1;
        }
        let at = self.now + 1_000 + self.random.next(3_000);
        self.schedule(at, Event::CallArrives { operator, to });
    }

    fn receive_call(&mut self, operator: usize, to: DiskId) {
        if self.operators[operator].done || !self.awake(to) {
            return;
        }
        let now = self.now;
        let order = match &self.operators[operator].task {
            Task::Read => None,
            Task::Order { order, .. } => Some(order.clone()),
        };
        let call =
            self.history.record_call(Call { order: order.clone(), began: now, ended: None, answer: None });
        self.operators[operator].call = call;
        let machine = self.machines.get_mut(&to).unwrap();
        let begun = match order {
            None => machine.member.confirm(now).map(|(ticket, actions)| (ticket, actions, None)),
            Some(order) => machine.member.change(|state| state.apply_order(&order), now).map(
                |(outcome, ticket, actions)| {
                    let answer = match outcome {
                        OrderOutcome::Applied { version } => Answer::Applied { version },
                        OrderOutcome::VersionMismatch { .. } => Answer::VersionMismatch,
                        OrderOutcome::Invalid(_) => Answer::Invalid,
                        OrderOutcome::Expired => Answer::Unclear,
                    };
                    (ticket, actions, Some(answer))
                },
            ),
        };
        match begun {
            Ok((ticket, actions, answer)) => {
                machine.waiting.insert(ticket, (operator, call, answer));
                self.perform(to, actions);
            }
            Err(_) => self.answer_operator(operator, call, Answer::Unclear),
        }
    }

    fn receive_answer(&mut self, operator: usize, call: usize, answer: Answer) {
        let state = &mut self.operators[operator];
        if state.done || state.call != call {
            return;
        }
        match (&answer, &state.task) {
            // Sent again after a pause.
            (Answer::Unclear, _) => return,
            (Answer::Applied { version }, Task::Order { order, .. }) => {
                state.applied_orders.push((order.clone(), *version))
            }
            _ => {}
        }
        state.done = true;
        self.history.shown(operator, &answer);
    }
}
