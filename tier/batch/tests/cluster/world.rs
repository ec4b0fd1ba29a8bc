//! Stores on virtual time: the real replicas of one shard, and the real planning of its views, between a network, disks and
//! processes that fail by seed.

use crate::audit::Auditor;
use crate::clients::PendingCall;
use crate::core::Core;
use crate::events::Event;
use crate::store::Store;
use quillmount_batch::{ShardJobs, ShardReplicaId};
use quillmount_control::{ControlState, Leases};
use quillmount_test_support::digest::Counts;
use quillmount_test_support::network::Partitions;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{SECOND, Simulation, Time, Timeline};
use quillmount_wire::messages::{DiskId, ShardView};
use std::collections::{BTreeMap, BTreeSet};

/// The stores of a shard, the network between them, the core, and the clients.
pub struct World {
    pub timeline: Timeline<Event>,
    pub random: Random,
    pub stores: BTreeMap<u32, Store>,
    /// Blocked links between stores.
    pub partitions: Partitions<u32>,
    /// Stores that cannot reach the core.
    pub isolated_from_core: BTreeSet<u32>,
    /// The control state in force: the newest that the core committed, or that of one authority where there is no core.
    pub control: ControlState,
    pub core: Option<Core>,
    /// Leases of stores where there is no core.
    pub leases: Leases,
    pub tolerated_failures: usize,
    pub auditor: Auditor,
    /// Calls of clients without an outcome, by the number of the operation or read.
    pub pending_calls: BTreeMap<u64, PendingCall>,
    next_id: u64,
    next_disk: DiskId,
    /// Whether clients submit and read.
    pub busy: bool,
    /// Whether a member loses its disk right after a store was emptied and removed.
    pub wipe_behind_removal: bool,
    /// Durable contents of lost disks.
    pub lost_disks: Vec<ShardJobs>,
    /// Actions of the stores, for the digests.
    pub counts: Counts,
}

impl World {
    /// So many stores with empty disks, and one authority for the views.
    pub fn new(stores: u32, tolerated_failures: usize, seed: u64) -> World {
        let mut world = World {
            timeline: Timeline::new(SECOND),
            random: Random::from_mixed_seed(seed),
            stores: BTreeMap::new(),
            partitions: Partitions::none(),
            isolated_from_core: BTreeSet::new(),
            control: ControlState::default(),
            core: None,
            leases: Leases::default(),
            tolerated_failures,
            auditor: Auditor::default(),
            pending_calls: BTreeMap::new(),
            next_id: 0,
            next_disk: 100,
            busy: true,
            wipe_behind_removal: false,
            lost_disks: Vec::new(),
            counts: Counts::default(),
        };
        (1..=stores).for_each(|name| world.add_store(name));
        world
    }

    /// The same with a core of real members.
    pub fn with_core(members: u64, stores: u32, tolerated_failures: usize, seed: u64) -> World {
        let mut world = World::new(stores, tolerated_failures, seed);
        world.core = Some(Core::new(members, tolerated_failures, world.now(), &mut world.random));
        world
    }

    /// The replica of the shard on this disk.
    fn identity(&self, disk: DiskId) -> ShardReplicaId {
        ShardReplicaId { disk, shard: 0, tolerated_failures: self.tolerated_failures }
    }

    /// Adds a store with an empty disk, or gives one an empty disk.
    pub fn add_store(&mut self, name: u32) {
        self.next_disk += 1;
        let disk = self.next_disk;
        let incarnation = self.stores.get(&name).map_or(1, |store| store.process.incarnation() + 1);
        if let Some(lost) = self.stores.remove(&name) {
            self.lost_disks.push(lost.on_disk);
        }
        let store = Store::with_empty_disk(name, self.identity(disk), incarnation);
        self.stores.insert(name, store);
    }

    /// A new number for an operation, a read, a request or a job.
    pub fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// The view of the shard in force.
    pub fn view(&self) -> Option<&ShardView> {
        self.control.placement.shards.first()
    }

    /// Kills the process of a store; with `power` what was not synced may be lost.
    pub fn kill(&mut self, name: u32, power: bool) {
        let Some(store) = self.stores.get_mut(&name).filter(|store| store.process.is_up()) else { return };
        let unsynced = store.unsynced();
        let surviving = if power { self.random.index(unsynced + 1) } else { unsynced };
        store.kill(surviving);
    }

    /// Starts the process of a store after this time.
    pub fn restart_after(&mut self, name: u32, down: Time) {
        self.schedule(self.now() + down, Event::Start { store: name });
    }

    /// Starts the process of a store, unless it is up or removed.
    pub fn start(&mut self, name: u32) {
        let identity = self.identity(self.stores[&name].disk);
        let Some(store) = self.stores.get_mut(&name).filter(|store| !store.process.is_up() && !store.removed)
        else {
            return;
        };
        store.start(identity);
    }

    /// Orders a store to be emptied; it is removed, with its disk, as soon as the core says that it is empty.
    pub fn retire(&mut self, name: u32) {
        let (store, tolerated_failures, now) = (format!("store-{name}"), self.tolerated_failures, self.now());
        match &mut self.core {
            None => {
                self.control.retire(&store, tolerated_failures);
            }
            Some(core) => {
                for disk in core.serving(now) {
                    core.change(disk, now, &mut self.random, |state| {
                        state.retire(&store, tolerated_failures);
                    });
                }
            }
        }
    }

    /// Begins a compaction at a store.
    pub fn compact(&mut self, name: u32) {
        let Some(store) = self.stores.get_mut(&name).filter(|store| store.process.is_up()) else { return };
        if store.rewrite_from.is_none() {
            store.rewrite_from = Some(store.records.len());
            let actions = store.replica.rewrite(0);
            self.perform(name, actions);
        }
    }

    /// Whether the store exists, is up and is not frozen.
    pub fn is_running(&self, name: u32) -> bool {
        self.stores.get(&name).is_some_and(|store| store.process.is_running(self.now()))
    }

    /// The store that the view in force names, if it serves.
    pub fn primary(&self) -> Option<u32> {
        let view = self.view()?;
        let store = self.stores.values().find(|store| store.disk == view.primary)?;
        (store.process.is_up() && store.replica.serving() == Some(view.epoch)).then_some(store.name)
    }

    /// Whether every member in sync is there, none joins, and the primary serves.
    pub fn is_healed(&self) -> bool {
        let Some(view) = self.view() else { return false };
        let there =
            |disk: &DiskId| self.stores.values().any(|store| store.disk == *disk && store.process.is_up());
        let wanted =
            (self.tolerated_failures + 2).min(self.stores.values().filter(|store| !store.removed).count());
        self.primary().is_some()
            && view.joining.is_empty()
            && view.in_sync.len() >= wanted
            && view.in_sync.iter().all(there)
    }
}
