//! Runs with faults by seed.

use crate::audit::CONTACT;
use crate::machine::MachineId;
use crate::world::{CORE, Event, World};
use quillmount_test_support::network::Isolation;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};
use quillmount_wire::messages::NodeRole;

/// Faults of one run.
const FAULTS: usize = 9;
/// Longest time from the end of all faults until every machine has the newest configuration.
const RECOVERY_LIMIT: Time = 20 * SECOND;
/// How often it is checked whether that is so.
const CHECK_INTERVAL: Time = 250 * MILLI;
/// Length of a quota's period.
const QUOTA_PERIOD: Time = 100 * MILLI;
/// A process runs for this time of each period.
const QUOTA: Time = 10 * MILLI;
/// How long processes run in bursts.
const BURSTS_FOR: Time = 30 * SECOND;
/// Machines at most.
const MOST_MACHINES: usize = 14;
/// Longest step of a clock, milliseconds.
const CLOCK_STEP_MS: i64 = 2_000;

/// Runs all planes with faults by seed, and checks the end; returns the world.
pub fn run_seed(seed: u64) -> World {
    let mut world = World::new(seed);
    world.run(4 * SECOND);
    for _ in 0..FAULTS {
        inject_fault(&mut world);
        let gap = world.random.below(2_500);
        world.run(gap * MILLI);
        if world.random.chance(30) {
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

/// Injects a fault that the seed decides.
fn inject_fault(world: &mut World) {
    let id = any_machine(world);
    let span = (200 + world.random.below(4_000)) * MILLI;
    world.last_fault = world.now() + span;
    let fault = world.random.below(14);
    if !(2..=4).contains(&fault) {
        world.last_loss = world.now() + span;
    }
    match fault {
        0 | 1 => world.kill(id, span),
        2..=4 => freeze(world, id, span),
        12 | 13 => fill_disks_and_power_off(world, span),
        5 => power_off_all(world),
        6 => isolate(world, id),
        7 => cut_zone(world),
        8 => {
            let core = world.random.index(CORE);
            world.machines[core].full_until = world.now() + span;
        }
        9 => {
            let core = world.random.index(CORE);
            world.machines[core].slow_until = world.now() + span;
        }
        10 => step_clock(world, id),
        _ => join(world),
    }
}

/// Any machine, the primary in a third of the cases.
fn any_machine(world: &mut World) -> MachineId {
    let any = world.random.index(world.machines.len());
    if world.random.chance(33) { world.primary().unwrap_or(any) } else { any }
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

/// The disks of two members take no writes for a while; in the middle of it all processes end.
fn fill_disks_and_power_off(world: &mut World, span: Time) {
    let until = world.now() + span;
    let spared = world.random.index(CORE);
    for id in (0..CORE).filter(|id| *id != spared) {
        world.machines[id].full_until = until;
    }
    let before = world.random.below(1_500);
    world.run(before * MILLI);
    power_off_all(world);
}

/// One machine is cut off from the others, both ways or one way.
fn isolate(world: &mut World, id: MachineId) {
    let all: Vec<MachineId> = (0..world.machines.len()).collect();
    let directions = match world.random.below(4) {
        0 => Isolation::INBOUND,
        1 => Isolation::OUTBOUND,
        _ => Isolation::BOTH,
    };
    world.partitions.isolate(&[id], &all, directions);
}

/// A zone is apart from the others.
fn cut_zone(world: &mut World) {
    let zone = world.random.below(3) as u32;
    let all: Vec<MachineId> = (0..world.machines.len()).collect();
    let inside: Vec<MachineId> = all.iter().copied().filter(|id| world.machines[*id].zone == zone).collect();
    world.partitions.isolate(&inside, &all, Isolation::BOTH);
}

/// The time of day jumps on one machine.
fn step_clock(world: &mut World, id: MachineId) {
    let step = world.random.below(2 * CLOCK_STEP_MS as u64) as i64 - CLOCK_STEP_MS;
    world.machines[id].clock_offset = step * MILLI as i64;
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
            machine.clock_offset = 0;
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
        let clocks = self.machines.iter().all(|machine| machine.clock_offset == 0);
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
