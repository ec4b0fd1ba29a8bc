//! Faults at the members of the core, drawn by seed.

use crate::random_faults::draw_span;
use crate::world::World;
use quillmount_test_support::network::Isolation;
use quillmount_test_support::simulation::{MILLI, Simulation};

/// A fault at the core: a member killed, all killed, one frozen, one or half isolated, or all partitions healed.
pub fn inject_core_fault(world: &mut World) {
    let now = world.now();
    let (choice, down, draw) =
        (world.random.below(7), draw_span(world, 50, 2500), world.random.below(1 << 20));
    let Some(core) = &mut world.core else { return };
    let disks: Vec<u64> = core.machines.keys().copied().collect();
    let any = disks[draw as usize % disks.len()];
    let one = core.serving(now).first().copied().filter(|_| draw % 2 == 0).unwrap_or(any);
    match choice {
        0 | 1 => {
            core.kill(one);
            core.restart_at(one, now + down);
        }
        2 => {
            for disk in disks {
                core.kill(disk);
                core.restart_at(disk, now + down / 2 + disk * 10 * MILLI);
            }
        }
        3 | 4 => {
            core.machines.get_mut(&one).unwrap().process.freeze_until(now + down);
        }
        5 => {
            let isolated: Vec<u64> =
                if draw % 3 == 0 { disks[..disks.len() / 2].to_vec() } else { vec![one] };
            let directions = Isolation { inbound: draw % 5 > 0, outbound: true };
            core.partitions.isolate(&isolated, &disks, directions);
        }
        _ => core.partitions.heal(),
    }
}
