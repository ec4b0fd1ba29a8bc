//! Runs of the simulation with injected faults.

use crate::audit::CONTACT_TIME;
use crate::fault_plan::{FaultKind, FaultPlan, PlannedFault};
use crate::machine::{MachineId, WallClock};
use crate::world::{CORE, Event, World};
use quillmount_test_support::network::Isolation;
use quillmount_test_support::seeds;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use quillmount_wire::messages::NodeRole;
use std::panic::{catch_unwind, resume_unwind};

/// Deadline after the end of all faults for every machine to have the newest configuration.
const RECOVERY_LIMIT: Time = 20 * SECOND;
/// Interval between two checks for recovery.
const CHECK_INTERVAL: Time = 250 * MILLI;
/// Longest wait for an acknowledgement before a power failure.
const MAX_ACKNOWLEDGEMENT_WAIT: Time = 3 * SECOND;
/// Period of the CPU quota.
const QUOTA_PERIOD: Time = 100 * MILLI;
/// Time in each period for which a process runs.
const QUOTA: Time = 10 * MILLI;
/// Duration of a run with a CPU quota.
const QUOTA_RUN_TIME: Time = 30 * SECOND;
/// Maximum number of machines.
const MAX_MACHINES: usize = 14;
/// Maximum drift of a clock, parts per million.
const CLOCK_DRIFT_PPM: i64 = 20_000;
/// Maximum step of a clock, milliseconds.
const CLOCK_STEP_MS: i64 = 2_000;

/// Runs the simulation with the fault plan of a seed and checks the final state; returns the world.
///
/// # Panics
/// A property is violated. The shrunk fault plan that still violates it is printed before.
pub fn run_seed(seed: u64) -> World {
    let plan = FaultPlan::draw(seed);
    match catch_unwind(|| run_plan(seed, &plan)) {
        Ok(world) => world,
        Err(panic) => {
            let shrunk = plan.shrink(|fewer| seeds::fails(|| _ = run_plan(seed, fewer)));
            println!("seed {seed} fails; shrunk fault plan: {:#?}", shrunk.faults);
            resume_unwind(panic)
        }
    }
}

/// Runs the simulation with a fault plan and checks the final state.
fn run_plan(seed: u64, plan: &FaultPlan) -> World {
    let mut world = World::new(seed);
    world.run(4 * SECOND);
    for fault in &plan.faults {
        inject(&mut world, fault);
        world.run(fault.gap);
        if fault.heals_afterwards {
            world.heal();
            world.run(CONTACT_TIME + 2 * SECOND);
        }
    }
    world.heal();
    world.run(CONTACT_TIME + 3 * SECOND);
    power_off_all(&mut world);
    world.heal();
    world.operators_active = false;
    let recovered = world.run_until(CHECK_INTERVAL, RECOVERY_LIMIT, World::is_settled);
    assert!(
        recovered,
        "STUCK: machines did not reach the newest configuration in time: {:?}",
        world.versions()
    );
    let state = world.newest_state().expect("a primary serves");
    let versions = world.versions();
    world.audit.check_end(&state, &versions);
    world
}

/// Runs the simulation for half a minute with a CPU quota: each process runs only at the beginning of its period of 100 ms. The periods
/// of the processes are shifted against each other.
pub fn run_with_cpu_quota(seed: u64) -> World {
    let mut world = World::new(seed);
    world.run(2 * SECOND);
    let until = world.now() + QUOTA_RUN_TIME;
    while world.now() < until {
        world.run(MILLI);
        for id in 0..world.machines.len() {
            let phase = id as Time * MILLI * 7;
            if (world.now() + phase).is_multiple_of(QUOTA_PERIOD) {
                let frozen_until = world.now() + QUOTA_PERIOD - MILLI;
                world.schedule_freeze(id, frozen_until);
            }
        }
    }
    world.operators_active = false;
    world.run(CONTACT_TIME);
    let state = world.newest_state().expect("a primary serves");
    let versions = world.versions();
    world.audit.check_end(&state, &versions);
    world
}

/// Injects a fault into the running simulation.
fn inject(world: &mut World, fault: &PlannedFault) {
    let id = target(world, fault.target);
    let member = (fault.target % CORE as u64) as usize;
    let until = world.now() + fault.span;
    world.last_fault = until;
    if fault.kind != FaultKind::Freeze {
        world.last_fault_without_freezes = until;
    }
    match fault.kind {
        FaultKind::Kill => world.kill(id, fault.span),
        FaultKind::Freeze => freeze(world, id, fault.span),
        FaultKind::PowerOff => power_off_all(world),
        FaultKind::PowerOffAfterAnswer => power_off_after_answer(world),
        FaultKind::Isolate => isolate(world, id, fault.variant),
        FaultKind::CutZone => cut_zone(world, fault.variant),
        FaultKind::FullDisk => world.machines[member].full_until = until,
        FaultKind::SlowDisk => world.machines[member].slow_until = until,
        FaultKind::SpoiltDisksAndPowerOff => spoil_disks_and_power_off(world, member, until, fault.variant),
        FaultKind::ClockStep => {
            let step_ms = (fault.variant % (2 * CLOCK_STEP_MS as u64)) as i64 - CLOCK_STEP_MS;
            world.machines[id].clock.step(step_ms * MILLI as i64);
        }
        FaultKind::ClockDrift => {
            let drift = (fault.variant % (2 * CLOCK_DRIFT_PPM as u64)) as i64 - CLOCK_DRIFT_PPM;
            let now = world.now();
            world.machines[id].clock.drift(drift, now);
        }
        FaultKind::Join => join(world),
    }
}

/// Selects the machine of a fault: the primary in a third of the cases.
fn target(world: &World, draw: u64) -> MachineId {
    let random_machine = (draw / 3) as usize % world.machines.len();
    if draw.is_multiple_of(3) { world.primary().unwrap_or(random_machine) } else { random_machine }
}

fn freeze(world: &mut World, id: MachineId, span: Time) {
    let until = world.now() + span;
    world.machines[id].process.freeze_until(until);
    world.audit.record_frozen(id, until);
}

/// Kills all processes at the same time; they restart within half a second of each other.
fn power_off_all(world: &mut World) {
    for id in 0..world.machines.len() {
        let downtime = (100 + world.random.below(500)) * MILLI;
        world.kill(id, downtime);
    }
}

/// Makes the disks of two members full or slow, and kills all processes right after the next acknowledgement.
fn spoil_disks_and_power_off(world: &mut World, spared: MachineId, until: Time, variant: u64) {
    for id in (0..CORE).filter(|id| *id != spared) {
        let machine = &mut world.machines[id];
        if variant.is_multiple_of(2) {
            machine.full_until = until;
        } else {
            machine.slow_until = until;
        }
    }
    power_off_after_answer(world);
}

/// Kills all processes within a millisecond of the next acknowledgement.
fn power_off_after_answer(world: &mut World) {
    let acknowledged = world.audit.totals().acknowledged;
    let has_next = |world: &World| world.audit.totals().acknowledged > acknowledged;
    world.run_until(MILLI, MAX_ACKNOWLEDGEMENT_WAIT, has_next);
    power_off_all(world);
}

/// Partitions one machine from the others, in one direction or both.
fn isolate(world: &mut World, id: MachineId, variant: u64) {
    let all: Vec<MachineId> = (0..world.machines.len()).collect();
    let directions = match variant % 4 {
        0 => Isolation::INBOUND,
        1 => Isolation::OUTBOUND,
        _ => Isolation::BOTH,
    };
    world.partitions.isolate(&[id], &all, directions);
}

/// Partitions a zone from the others.
fn cut_zone(world: &mut World, variant: u64) {
    let zone = (variant % 3) as u32;
    let all: Vec<MachineId> = (0..world.machines.len()).collect();
    let zone_machines: Vec<MachineId> =
        all.iter().copied().filter(|id| world.machines[*id].zone == zone).collect();
    world.partitions.isolate(&zone_machines, &all, Isolation::BOTH);
}

/// Adds three couriers at the same time, with random core members and couriers as seeds in their settings.
fn join(world: &mut World) {
    for _ in 0..3 {
        if world.machines.len() < MAX_MACHINES {
            world.add_machine(NodeRole::Courier);
        }
    }
}

impl World {
    /// Kills a process, which restarts after the time `downtime`.
    pub fn kill(&mut self, id: MachineId, downtime: Time) {
        self.machines[id].process.kill();
        self.audit.record_frozen(id, self.timeline.now() + downtime);
        self.schedule(self.now() + downtime, Event::Start { to: id });
    }

    /// Ends all partitions and the faults of disks and clocks. Processes that are down or frozen restart or resume as scheduled.
    pub fn heal(&mut self) {
        self.partitions.heal();
        for machine in &mut self.machines {
            machine.full_until = 0;
            machine.slow_until = 0;
            machine.clock = WallClock::default();
        }
        let now = self.now();
        let frozen = (0..self.machines.len()).map(|id| self.audit.frozen_until(id)).max().unwrap_or(0);
        self.last_fault = now.max(frozen);
        self.last_fault_without_freezes = self.last_fault_without_freezes.max(now);
    }

    /// Time since which there has been no fault; `None` while there is one.
    pub fn calm_since(&self) -> Option<Time> {
        let all_running = self.machines.iter().all(|machine| machine.process.is_running(self.now()));
        let is_connected = (0..self.machines.len()).all(|one| {
            (0..self.machines.len()).all(|other| one == other || !self.partitions.is_blocked(one, other))
        });
        let disks_healthy =
            self.machines.iter().all(|machine| machine.full_until == 0 && machine.slow_until == 0);
        let clocks_correct = self.machines.iter().all(|machine| machine.clock == WallClock::default());
        let last_start = self.machines.iter().map(|machine| machine.started_at).max().unwrap_or(0);
        (all_running && is_connected && disks_healthy && clocks_correct)
            .then_some(self.last_fault.max(last_start))
    }

    /// Schedules the freeze of a process that has used up its quota, from [`QUOTA`] after now until `until`. Events that arrive during the
    /// freeze are delivered after it.
    fn schedule_freeze(&mut self, id: MachineId, until: Time) {
        let from = self.now() + QUOTA;
        self.schedule(from, Event::Freeze { id, until });
    }

    /// The highest epoch in which a machine serves as primary.
    pub fn primary_epoch(&self) -> Option<u64> {
        self.machines[self.primary()?].state.member.as_ref()?.serving()
    }

    /// The machine that serves as primary in the highest epoch.
    pub fn primary(&self) -> Option<MachineId> {
        let serving = self.machines.iter().filter(|machine| machine.process.is_up());
        let epochs =
            serving.filter_map(|machine| Some((machine.state.member.as_ref()?.serving()?, machine.id)));
        epochs.max().map(|(_, id)| id)
    }

    /// The control state that the primary has committed.
    pub fn newest_state(&self) -> Option<quillmount_control::ControlState> {
        let member = self.machines[self.primary()?].state.member.as_ref()?;
        Some((*member.committed()?).clone())
    }

    /// Whether a primary serves, and every machine runs and has its configuration version.
    pub fn is_settled(&self) -> bool {
        let Some(state) = self.newest_state() else { return false };
        let all_processes_run = self.machines.iter().all(|machine| machine.process.is_running(self.now()));
        let all_up_to_date = self.versions().values().all(|version| *version == state.version);
        all_processes_run && all_up_to_date && self.versions().len() == self.machines.len()
    }
}
