//! The core of a world: its real members, with leases of stores, the planning of views, and the views' way to the stores. What
//! leases and polls do here is what `tier/node/src/control_member/` does on sockets.

use crate::random::Random;
use crate::world::MILLI;
use quillmount_control::{ControlState, Member, MemberAction, RegisterWrite, ShardPlanInputs};
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Register, RegisterMessage, ShardReport};
use std::collections::{BTreeMap, BTreeSet};

/// A store that has not polled for so long has lost its lease.
const LEASE: Micros = 1_100 * MILLI;
/// Reports of a store are used for so long.
const REPORT_TTL: Micros = 600 * MILLI;
/// A new primary knows who is alive after this time.
const LEASES_KNOWN: Micros = 1_200 * MILLI;
/// Identities of core members begin here.
const FIRST: DiskId = 1;

/// An event for a core machine.
pub enum CoreEvent {
    Deliver { from: DiskId, to: DiskId, message: RegisterMessage },
    Synced { to: DiskId, incarnation: u64, write: RegisterWrite, register: Register },
    Start { to: DiskId },
}

/// A store's poll.
pub struct Poll {
    pub node: NodeInfo,
    pub reports: Vec<ShardReport>,
}

pub struct Machine {
    pub member: Member,
    disk: Register,
    incarnation: u64,
    pub up: bool,
    pub frozen_until: Micros,
    /// Leases of stores, in this epoch.
    leases: BTreeMap<DiskId, (Micros, Vec<ShardReport>)>,
}

pub struct Core {
    pub machines: BTreeMap<DiskId, Machine>,
    /// Pairs of members of which the second receives nothing from the first.
    pub cuts: BTreeSet<(DiskId, DiskId)>,
    tolerated_failures: usize,
    /// The newest state that any primary has committed.
    pub newest: ControlState,
    pub due: Vec<(Micros, CoreEvent)>,
    /// Primaries whose state has changed.
    pub changed: Vec<DiskId>,
    /// Messages that members sent, registers that they wrote and elections that they won, so far.
    pub messages: u64,
    pub writes: u64,
    pub elections: u64,
}

impl Core {
    pub fn new(members: u64, tolerated_failures: usize, now: Micros, random: &mut Random) -> Core {
        let machine = |disk: DiskId| Machine {
            member: Member::new(disk, tolerated_failures, Register::default(), now),
            disk: Register::default(),
            incarnation: 1,
            up: true,
            frozen_until: 0,
            leases: BTreeMap::new(),
        };
        let machines: BTreeMap<DiskId, Machine> =
            (FIRST..FIRST + members).map(|disk| (disk, machine(disk))).collect();
        let mut state = ControlState::default();
        state.placement.core = machines.keys().map(|disk| core_node(*disk)).collect();
        let (due, changed) = (Vec::new(), Vec::new());
        let newest = ControlState::default();
        let mut core = Core {
            machines,
            cuts: BTreeSet::new(),
            tolerated_failures,
            newest,
            due,
            changed,
            messages: 0,
            writes: 0,
            elections: 0,
        };
        let actions = core.machines.get_mut(&FIRST).unwrap().member.bootstrap(&state, now);
        core.perform(FIRST, actions, now, random);
        core
    }

    pub fn awake(&self, disk: DiskId, now: Micros) -> bool {
        self.machines.get(&disk).is_some_and(|machine| machine.up && machine.frozen_until <= now)
    }

    /// Machines that consider themselves primary and are not frozen.
    pub fn serving(&self, now: Micros) -> Vec<DiskId> {
        let serves = |(disk, machine): &(&DiskId, &Machine)| {
            self.awake(**disk, now) && machine.member.serving().is_some()
        };
        self.machines.iter().filter(serves).map(|(disk, _)| *disk).collect()
    }

    pub fn kill(&mut self, disk: DiskId) {
        if let Some(machine) = self.machines.get_mut(&disk) {
            machine.up = false;
            machine.incarnation += 1;
        }
    }

    pub fn restart_at(&mut self, disk: DiskId, at: Micros) {
        self.due.push((at, CoreEvent::Start { to: disk }));
    }

    pub fn tick(&mut self, now: Micros, random: &mut Random) {
        let disks: Vec<DiskId> = self.machines.keys().copied().collect();
        for disk in disks.into_iter().filter(|disk| self.awake(*disk, now)).collect::<Vec<_>>() {
            let actions = self.machines.get_mut(&disk).unwrap().member.tick(now);
            self.perform(disk, actions, now, random);
        }
    }

    /// Handles an event; postpones it if its machine is frozen.
    pub fn handle_event(&mut self, event: CoreEvent, now: Micros, random: &mut Random) {
        let to = match &event {
            CoreEvent::Deliver { to, .. } | CoreEvent::Synced { to, .. } | CoreEvent::Start { to } => *to,
        };
        let Some(machine) = self.machines.get_mut(&to) else { return };
        if machine.up && machine.frozen_until > now {
            let at = machine.frozen_until;
            return self.due.push((at, event));
        }
        match event {
            CoreEvent::Deliver { from, to, message } => {
                if machine.up && !self.cuts.contains(&(from, to)) {
                    let actions = machine.member.receive(from, message, now);
                    self.perform(to, actions, now, random);
                }
            }
            CoreEvent::Synced { to, incarnation, write, register } => {
                if machine.incarnation == incarnation {
                    machine.disk = register;
                    let actions = machine.member.persisted(write, now);
                    self.perform(to, actions, now, random);
                }
            }
            CoreEvent::Start { to } => {
                if !machine.up {
                    machine.member = Member::new(to, self.tolerated_failures, machine.disk.clone(), now);
                    machine.up = true;
                    machine.frozen_until = 0;
                    machine.leases.clear();
                }
            }
        }
    }

    fn perform(&mut self, disk: DiskId, actions: Vec<MemberAction>, now: Micros, random: &mut Random) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => {
                    self.messages += 1;
                    let at = now + 500 + random.next(1_500);
                    self.due.push((at, CoreEvent::Deliver { from: disk, to, message }));
                }
                MemberAction::Persist { write, register } => {
                    self.writes += 1;
                    let incarnation = self.machines[&disk].incarnation;
                    let at = now + 300 + random.next(2_000);
                    self.due.push((at, CoreEvent::Synced { to: disk, incarnation, write, register }));
                }
                MemberAction::Elected { .. } => {
                    self.elections += 1;
                    self.machines.get_mut(&disk).unwrap().leases.clear();
                }
                MemberAction::StateChanged => self.on_state_changed(disk),
                _ => {}
            }
        }
    }

    fn on_state_changed(&mut self, disk: DiskId) {
        let state = self.machines[&disk].member.committed().unwrap();
        if state.placement_version > self.newest.placement_version {
            self.newest = (*state).clone();
        }
        self.changed.push(disk);
    }

    /// A store polls this machine: its lease is renewed, and it is admitted if it is new.
    pub fn poll(&mut self, disk: DiskId, poll: Poll, now: Micros, random: &mut Random) {
        let Some(machine) = self.machines.get_mut(&disk) else { return };
        let Some(state) = machine.member.committed() else { return };
        machine.leases.insert(poll.node.disk, (now, poll.reports));
        if !state.placement.stores.contains(&poll.node) {
            self.change(disk, now, random, |state| {
                state.admit_store(&poll.node);
            });
        }
    }

    /// Changes the state at a machine that considers itself primary.
    pub fn change(
        &mut self,
        disk: DiskId,
        now: Micros,
        random: &mut Random,
        change: impl FnOnce(&mut ControlState),
    ) {
        let begun = self.machines.get_mut(&disk).unwrap().member.change(change, now);
        if let Ok(submitted) = begun {
            self.perform(disk, submitted.actions, now, random);
        }
    }

    /// Every machine that considers itself primary plans the views by the leases that it knows.
    pub fn plan(&mut self, now: Micros, random: &mut Random) {
        for disk in self.serving(now) {
            let machine = &self.machines[&disk];
            let Some(state) = machine.member.committed() else { continue };
            if machine.member.time_as_primary(now) < LEASES_KNOWN
                || state.placement.stores.len() <= self.tolerated_failures
            {
                continue;
            }
            let leases = &machine.leases;
            let live = leases.iter().filter(|(_, (at, _))| now - at < LEASE).map(|(disk, _)| *disk).collect();
            let recent = leases.values().filter(|(at, _)| now - at < REPORT_TTL);
            let reports = recent.flat_map(|(_, reports)| reports.iter().cloned()).collect();
            let tolerated_failures = self.tolerated_failures;
            let inputs = ShardPlanInputs { live, draining: BTreeSet::new(), reports, tolerated_failures };
            let plan = |state: &mut ControlState| {
                state.plan_shards(&inputs);
                state.placement.shards.truncate(1);
            };
            let mut trial = (*state).clone();
            plan(&mut trial);
            if trial != *state {
                self.change(disk, now, random, plan);
            }
        }
    }
}

fn core_node(disk: DiskId) -> NodeInfo {
    NodeInfo {
        name: format!("core-{disk}"),
        disk,
        internal: format!("10.1.0.{disk}:7360"),
        admin: None,
        zone: "z".to_owned(),
        role: NodeRole::Core,
    }
}
