//! Encoding of the data directories of a whole fleet.

use crate::common::{Disk, SEC, World};
use crate::values::FIXTURES;
use quillmount_core::journal::JournalContents;
use quillmount_core::store::Store;
use quillmount_fleet::budget::Budget;
use quillmount_fleet::member::StoreDirectory;
use std::collections::BTreeMap;

/// The data directories of a fleet of three after messages, the loss of a courier and a takeover: the agreement's
/// log, the identity, journals and replicas.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn data_directories_of_a_fleet_keep_their_encoding() {
    let mut world = World::new(3, 7);
    world.budgets = vec![Budget {
        dest: 1,
        connections: 20,
        calls: Some(300),
        span_ms: Some(1_000),
        courier_floor: 2,
        tenants: Vec::new(),
    }];
    world.start_all();
    assert!(world.run_until(world.now + 10 * SEC, |w| (0..3).all(|i| w.is_ready(i))));
    world.call_duration = 60 * SEC;
    for n in 0..12 {
        assert!(world.submit(n % 3, &format!("m{n}"), n as u64, n % 2 == 0));
    }
    world.run(SEC);
    world.kill(2);
    world.run(10 * SEC);
    let dump = |disks: &mut [Disk]| -> Vec<BTreeMap<String, Vec<u8>>> {
        let files = |disk: &mut Disk| {
            let names = disk.names().unwrap();
            names.into_iter().map(|name| (name.clone(), disk.open(&name).unwrap().read().unwrap())).collect()
        };
        disks.iter_mut().map(files).collect()
    };
    let stored = FIXTURES.check("fleet_folders.bin", &postcard::to_stdvec(&dump(&mut world.disks)).unwrap());
    let folders: Vec<BTreeMap<String, Vec<u8>>> = postcard::from_bytes(&stored).unwrap();
    let names: Vec<&str> = folders[0].keys().map(String::as_str).collect();
    assert_eq!(names, ["agreement", "copy.2.c001", "identity", "journal"]);
    let owed: Vec<usize> =
        folders.iter().map(|folder| JournalContents::read(&folder["journal"]).0.owed.len()).collect();
    assert_eq!(owed, [6, 4, 4], "the first courier has adopted two messages of the lost one");
    let expected = world.processes[0].as_ref().unwrap().member.state().clone();
    // New processes continue with these data directories.
    let mut next = World::new(3, 8);
    next.now = world.now + SEC;
    next.budgets = world.budgets.clone();
    for (disk, folder) in next.disks.iter_mut().zip(&folders) {
        for (name, bytes) in folder {
            disk.open(name).unwrap().replace(bytes).unwrap();
        }
    }
    // The start order differs, so that each process gets another incarnation than before.
    [2, 0, 1].into_iter().for_each(|i| next.start(i));
    for i in 0..2 {
        let process = next.processes[i].as_ref().unwrap();
        // A process does not know yet that the last entries of its log are committed, so only these parts are compared.
        let restored = process.member.state();
        assert_eq!(
            (restored.epoch, &restored.members, &restored.journals),
            (expected.epoch, &expected.members, &expected.journals)
        );
        assert_eq!(restored.shared.connections.partner(1), expected.shared.connections.partner(1));
        assert_eq!(restored.shared.calls.partner(1), expected.shared.calls.partner(1));
        assert!(!process.member.is_first(), "courier {i}");
    }
    assert!(
        next.run_until(next.now + 10 * SEC, |w| (0..3).all(|i| w.is_ready(i))),
        "{:#?}",
        next.observed.notices
    );
    let node_id = |w: &World, i: usize| w.processes[i].as_ref().unwrap().member.agreement().node_id();
    assert_eq!([node_id(&next, 0), node_id(&next, 1)], [node_id(&world, 0), node_id(&world, 1)]);
    next.run(10 * SEC);
    let ended = |n: usize| {
        let id = format!("m{n}");
        next.observed.ends.contains_key(&id) || world.observed.ends.contains_key(&id)
    };
    let open: Vec<usize> = (0..12).filter(|n| !ended(*n)).collect();
    assert_eq!(open, []);
}
