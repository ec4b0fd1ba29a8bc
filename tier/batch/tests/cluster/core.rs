//! Simulated core: its members, with the leases that they grant to stores and the planning of views.

mod state_changes;

use quillmount_control::{ControlState, Leases, Member, MemberAction, RegisterWrite, WriteOutcome};
use quillmount_test_support::network::{MESSAGE_DELAY, Partitions, REGISTER_SYNC_DELAY};
use quillmount_test_support::process::Process;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::Time;
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Register, RegisterMessage};
use std::collections::BTreeMap;

/// Disk identity of the first core member; the others follow consecutively.
const FIRST_DISK: DiskId = 1;

pub enum CoreEvent {
    Deliver {
        from: DiskId,
        to: DiskId,
        message: RegisterMessage,
    },
    /// A register is synced to the disk of a machine.
    Synced {
        to: DiskId,
        incarnation: u64,
        write: RegisterWrite,
        register: Register,
    },
    Start {
        to: DiskId,
    },
}

/// A simulated core machine: its process and its disk.
pub struct Machine {
    pub member: Member,
    /// The synced register.
    disk: Register,
    pub process: Process,
    /// Leases of stores that this machine has granted in its current epoch.
    leases: Leases,
}

/// The machines of the core and the actions that they have returned.
pub struct Core {
    pub machines: BTreeMap<DiskId, Machine>,
    /// Blocked links between members.
    pub partitions: Partitions<DiskId>,
    tolerated_failures: usize,
    /// The newest control state that any primary has committed.
    pub newest: ControlState,
    /// Events that the world still has to schedule.
    pub due: Vec<(Time, CoreEvent)>,
    /// Primaries whose state has changed.
    pub changed: Vec<DiskId>,
    /// Number of messages that members have sent.
    pub messages: u64,
    /// Number of registers that they have written.
    pub writes: u64,
    /// Number of elections that they have won.
    pub elections: u64,
}

impl Core {
    /// Creates a core of `members` members; the first one is the primary.
    pub fn new(members: u64, tolerated_failures: usize, now: Time, random: &mut Random) -> Core {
        let machine = |disk: DiskId| Machine {
            member: Member::new(disk, tolerated_failures, Register::default(), now),
            disk: Register::default(),
            process: Process::running(1),
            leases: Leases::default(),
        };
        let machines: BTreeMap<DiskId, Machine> =
            (FIRST_DISK..FIRST_DISK + members).map(|disk| (disk, machine(disk))).collect();
        let mut state = ControlState::default();
        state.placement.core = machines.keys().map(|disk| core_node(*disk)).collect();
        let mut core = Core {
            machines,
            partitions: Partitions::none(),
            tolerated_failures,
            newest: ControlState::default(),
            due: Vec::new(),
            changed: Vec::new(),
            messages: 0,
            writes: 0,
            elections: 0,
        };
        let actions = core.machines.get_mut(&FIRST_DISK).unwrap().member.bootstrap(&state, now);
        core.perform(FIRST_DISK, actions, now, random);
        core
    }

    /// Returns whether the machine exists, is up and is not frozen.
    pub fn is_running(&self, disk: DiskId, now: Time) -> bool {
        self.machines.get(&disk).is_some_and(|machine| machine.process.is_running(now))
    }

    /// Returns the machines that consider themselves primary and are not frozen.
    pub fn serving(&self, now: Time) -> Vec<DiskId> {
        let serves = |(disk, machine): &(&DiskId, &Machine)| {
            self.is_running(**disk, now) && machine.member.serving().is_some()
        };
        self.machines.iter().filter(serves).map(|(disk, _)| *disk).collect()
    }

    pub fn kill(&mut self, disk: DiskId) {
        if let Some(machine) = self.machines.get_mut(&disk) {
            machine.process.kill();
        }
    }

    /// Schedules the start of a machine's process.
    pub fn restart_at(&mut self, disk: DiskId, start_at: Time) {
        self.due.push((start_at, CoreEvent::Start { to: disk }));
    }

    /// Ticks all running members.
    pub fn tick(&mut self, now: Time, random: &mut Random) {
        let disks: Vec<DiskId> = self.machines.keys().copied().collect();
        for disk in disks.into_iter().filter(|disk| self.is_running(*disk, now)).collect::<Vec<_>>() {
            let actions = self.machines.get_mut(&disk).unwrap().member.tick(now);
            self.perform(disk, actions, now, random);
        }
    }

    /// Handles an event, or postpones it if its machine is frozen.
    pub fn handle_event(&mut self, event: CoreEvent, now: Time, random: &mut Random) {
        let to = match &event {
            CoreEvent::Deliver { to, .. } | CoreEvent::Synced { to, .. } | CoreEvent::Start { to } => *to,
        };
        let Some(machine) = self.machines.get_mut(&to) else { return };
        if machine.process.is_up()
            && let Some(resumes_at) = machine.process.resumes_at(now)
        {
            return self.due.push((resumes_at, event));
        }
        match event {
            CoreEvent::Deliver { from, to, message } => {
                if machine.process.is_up() && !self.partitions.is_blocked(from, to) {
                    let actions = machine.member.receive(from, message, now);
                    self.perform(to, actions, now, random);
                }
            }
            CoreEvent::Synced { to, incarnation, write, register } => {
                if machine.process.incarnation() == incarnation {
                    machine.disk = register;
                    let actions = machine.member.write_ended(write, WriteOutcome::Synced, now);
                    self.perform(to, actions, now, random);
                }
            }
            CoreEvent::Start { to } => {
                if !machine.process.is_up() {
                    machine.member = Member::new(to, self.tolerated_failures, machine.disk.clone(), now);
                    machine.process.start();
                    machine.leases = Leases::default();
                }
            }
        }
    }

    /// Performs the actions of a member; later effects are added to `due`.
    fn perform(&mut self, disk: DiskId, actions: Vec<MemberAction>, now: Time, random: &mut Random) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => {
                    self.messages += 1;
                    let arrives_at = now + MESSAGE_DELAY.draw(random);
                    self.due.push((arrives_at, CoreEvent::Deliver { from: disk, to, message }));
                }
                MemberAction::Persist { write, register } => {
                    self.writes += 1;
                    let incarnation = self.machines[&disk].process.incarnation();
                    let synced_at = now + REGISTER_SYNC_DELAY.draw(random);
                    self.due.push((synced_at, CoreEvent::Synced { to: disk, incarnation, write, register }));
                }
                MemberAction::Elected { .. } => {
                    self.elections += 1;
                    self.machines.get_mut(&disk).unwrap().leases = Leases::default();
                }
                MemberAction::StateChanged => self.on_state_changed(disk),
                _ => {}
            }
        }
    }

    /// Records that a primary has committed a state.
    fn on_state_changed(&mut self, disk: DiskId) {
        let state = self.machines[&disk].member.committed().unwrap();
        if state.placement_version > self.newest.placement_version {
            self.newest = (*state).clone();
        }
        self.changed.push(disk);
    }
}

/// The description of a core member in the control state.
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
