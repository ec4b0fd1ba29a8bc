//! Faults at the members of the core, drawn by seed.

use crate::random_faults::draw_span;
use crate::world::World;
use quillmount_test_support::network::Isolation;
use quillmount_test_support::simulation::{MILLI, Simulation};

/// Injects a fault at the core: one member killed, all killed, one frozen, one or half of them isolated, or all
/// partitions healed.
pub fn inject_core_fault(world: &mut World) {
    let now = world.now();
    let (choice, downtime, random_bits) =
        (world.random.below(7), draw_span(world, 50, 2500), world.random.below(1 << 20));
    let Some(core) = &mut world.core else { return };
    let disks: Vec<u64> = core.machines.keys().copied().collect();
    let random_disk = disks[random_bits as usize % disks.len()];
    let victim = core.serving(now).first().copied().filter(|_| random_bits % 2 == 0).unwrap_or(random_disk);
    match choice {
        0 | 1 => {
            core.kill(victim);
            core.restart_at(victim, now + downtime);
        }
        2 => {
            for disk in disks {
                core.kill(disk);
                core.restart_at(disk, now + downtime / 2 + disk * 10 * MILLI);
            }
        }
        3 | 4 => {
            core.machines.get_mut(&victim).unwrap().process.freeze_until(now + downtime);
        }
        5 => {
            let isolated: Vec<u64> =
                if random_bits % 3 == 0 { disks[..disks.len() / 2].to_vec() } else { vec![victim] };
            let directions = Isolation { inbound: random_bits % 5 > 0, outbound: true };
            core.partitions.isolate(&isolated, &disks, directions);
        }
        _ => core.partitions.heal(),
    }
}
