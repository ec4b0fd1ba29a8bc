//! Runs with the faults of a seed.

use crate::audit::CONTACT;
use crate::fault_plan::{FaultKind, FaultPlan, PlannedFault};
use crate::machine::{MachineId, WallClock};
use crate::world::{CORE, Event, World};
use quillmount_test_support::network::Isolation;
use quillmount_test_support::seeds;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use quillmount_wire::messages::NodeRole;
use std::panic::{catch_unwind, resume_unwind};

/// Longest time from the end of all faults until every machine has the newest configuration.
const RECOVERY_LIMIT: Time = 20 * SECOND;
/// How often it is checked whether that is so.
const CHECK_INTERVAL: Time = 250 * MILLI;
/// An acknowledgement is waited for at most this long.
const LONGEST_WAIT_FOR_ANSWER: Time = 3 * SECOND;
/// Length of a quota's period.
const QUOTA_PERIOD: Time = 100 * MILLI;
/// A process runs for this time of each period.
const QUOTA: Time = 10 * MILLI;
/// How long processes run in bursts.
const BURSTS_FOR: Time = 30 * SECOND;
/// Machines at most.
const MOST_MACHINES: usize = 14;
/// Largest drift of a clock, millionths.
const CLOCK_DRIFT_PPM: i64 = 20_000;
/// Longest step of a clock, milliseconds.
const CLOCK_STEP_MS: i64 = 2_000;

/// Runs all planes with the faults of a seed, and checks the end; returns the world.
///
/// # Panics
/// A property does not hold. The fewest faults with which it still does not are printed before.
pub fn run_seed(seed: u64) -> World {
    let plan = FaultPlan::draw(seed);
    match catch_unwind(|| run_plan(seed, &plan)) {
        Ok(world) => world,
        Err(panic) => {
            let shrunk = plan.shrink(|fewer| seeds::fails(|| _ = run_plan(seed, fewer)));
            println!("seed {seed} fails with these faults already: {:#?}", shrunk.faults);
            resume_unwind(panic)
        }
    }
}

/// Runs all planes with these faults.
fn run_plan(seed: u64, plan: &FaultPlan) -> World {
    let mut world = World::new(seed);
    world.run(4 * SECOND);
    for fault in &plan.faults {
        inject(&mut world, fault);
        world.run(fault.gap);
        if fault.then_calm {
            world.heal();
            world.run(CONTACT + 2 * SECOND);
        }
    }
    world.heal();
    world.run(CONTACT + 3 * SECOND);
    power_off_all(&mut world);
    world.heal();
    world.busy = false;
    let recovered = world.run_until(CHECK_INTERVAL, RECOVERY_LIMIT, World::is_settled);
    assert!(recovered, "STUCK: {:?}", world.versions());
    let state = world.newest_state().expect("a primary");
    let versions = world.versions();
    world.audit.check_end(&state, &versions);
    world
}

/// Runs all planes for half a minute while each process runs only at the beginning of its tenth of a second, each at another moment.
pub fn run_in_bursts(seed: u64) -> World {
    let mut world = World::new(seed);
    world.run(2 * SECOND);
    let until = world.now() + BURSTS_FOR;
    while world.now() < until {
        world.run(MILLI);
        for id in 0..world.machines.len() {
            let phase = id as Time * MILLI * 7;
            if (world.now() + phase).is_multiple_of(QUOTA_PERIOD) {
                let stands_still_until = world.now() + QUOTA_PERIOD - MILLI;
                world.schedule_freeze(id, stands_still_until);
            }
        }
    }
    world.busy = false;
    world.run(CONTACT);
    let state = world.newest_state().expect("a primary");
    let versions = world.versions();
    world.audit.check_end(&state, &versions);
    world
}

/// Injects a fault.
fn inject(world: &mut World, fault: &PlannedFault) {
    let id = target(world, fault.target);
    let member = (fault.target % CORE as u64) as usize;
    let until = world.now() + fault.span;
    world.last_fault = until;
    if fault.kind != FaultKind::Freeze {
        world.last_loss = until;
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

/// The machine of a fault: the primary in a third of the cases.
fn target(world: &World, draw: u64) -> MachineId {
    let any = (draw / 3) as usize % world.machines.len();
    if draw.is_multiple_of(3) { world.primary().unwrap_or(any) } else { any }
}

fn freeze(world: &mut World, id: MachineId, span: Time) {
    let until = world.now() + span;
    world.machines[id].process.freeze_until(until);
    world.audit.froze(id, until);
}

/// All processes end at once and start again within half a second of each other.
fn power_off_all(world: &mut World) {
    for id in 0..world.machines.len() {
        let down = (100 + world.random.below(500)) * MILLI;
        world.kill(id, down);
    }
}

/// The disks of two members take no writes, or take long for them; in the middle of it, right after an answer, all processes end.
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

/// All processes end within a millisecond of the next acknowledgement.
fn power_off_after_answer(world: &mut World) {
    let acknowledged = world.audit.totals().acknowledged;
    let has_next = |world: &World| world.audit.totals().acknowledged > acknowledged;
    world.run_until(MILLI, LONGEST_WAIT_FOR_ANSWER, has_next);
    power_off_all(world);
}

/// One machine is cut off from the others, both ways or one way.
fn isolate(world: &mut World, id: MachineId, variant: u64) {
    let all: Vec<MachineId> = (0..world.machines.len()).collect();
    let directions = match variant % 4 {
        0 => Isolation::INBOUND,
        1 => Isolation::OUTBOUND,
        _ => Isolation::BOTH,
    };
    world.partitions.isolate(&[id], &all, directions);
}

/// A zone is apart from the others.
fn cut_zone(world: &mut World, variant: u64) {
    let zone = (variant % 3) as u32;
    let all: Vec<MachineId> = (0..world.machines.len()).collect();
    let inside: Vec<MachineId> = all.iter().copied().filter(|id| world.machines[*id].zone == zone).collect();
    world.partitions.isolate(&inside, &all, Isolation::BOTH);
}

/// Three couriers join at the same moment, with settings that name any couriers.
fn join(world: &mut World) {
    for _ in 0..3 {
        if world.machines.len() < MOST_MACHINES {
            world.add_machine(NodeRole::Courier);
        }
    }
}

impl World {
    /// Kills a process, which starts again after this time.
    pub fn kill(&mut self, id: MachineId, down: Time) {
        self.machines[id].process.kill();
        self.audit.froze(id, self.timeline.now() + down);
        self.schedule(self.now() + down, Event::Start { to: id });
    }

    /// Ends all cuts and faults of disks and clocks. Processes that are down or frozen come back by themselves.
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
        self.last_loss = self.last_loss.max(now);
    }

    /// Since when there has been no fault; `None` while there is one.
    pub fn calm_since(&self) -> Option<Time> {
        let healthy = self.machines.iter().all(|machine| machine.process.is_running(self.now()));
        let whole = (0..self.machines.len()).all(|one| {
            (0..self.machines.len()).all(|other| one == other || !self.partitions.is_blocked(one, other))
        });
        let disks = self.machines.iter().all(|machine| machine.full_until == 0 && machine.slow_until == 0);
        let clocks = self.machines.iter().all(|machine| machine.clock == WallClock::default());
        let newest = self.machines.iter().map(|machine| machine.started_at).max().unwrap_or(0);
        (healthy && whole && disks && clocks).then_some(self.last_fault.max(newest))
    }

    /// A process has used up its quota after [`QUOTA`] and stands still until then. What arrives meanwhile waits for it.
    fn schedule_freeze(&mut self, id: MachineId, until: Time) {
        let from = self.now() + QUOTA;
        self.schedule(from, Event::Freeze { id, until });
    }

    /// The epoch in which a machine serves as primary.
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

    /// The state that the primary has committed.
    pub fn newest_state(&self) -> Option<quillmount_control::ControlState> {
        let member = self.machines[self.primary()?].state.member.as_ref()?;
        Some((*member.committed()?).clone())
    }

    /// Whether a primary serves and every machine runs with its configuration.
    pub fn is_settled(&self) -> bool {
        let Some(state) = self.newest_state() else { return false };
        let running = self.machines.iter().all(|machine| machine.process.is_running(self.now()));
        let idle = self.versions().values().all(|version| *version == state.version);
        running && idle && self.versions().len() == self.machines.len()
    }
}
