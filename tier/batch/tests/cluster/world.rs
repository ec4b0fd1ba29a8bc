//! Stores on virtual time: the real replicas of one shard, and the real planning of its views, between a network, disks and
//! processes that fail by seed.

use crate::audit::Auditor;
use crate::clients::PendingCall;
use crate::core::{Core, Poll};
use crate::events::Event;
use crate::random::Random;
use quillmount_batch::{ShardJobs, ShardReplica, ShardReplicaId, StoreRecord};
use quillmount_control::{ControlState, Retirement, ShardPlanInputs};
use quillmount_test_support::digest::Counts;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Item, Job, NodeInfo, NodeRole, ShardReport, ShardView};
use std::collections::{BTreeMap, BTreeSet};

pub const MILLI: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// A store that has not polled for so long has lost its lease.
const LEASE: Micros = 1_100 * MILLI;
/// Reports of a store are used for so long.
const REPORT_TTL: Micros = 600 * MILLI;
const POLL_INTERVAL: Micros = 150 * MILLI;
const PLAN_INTERVAL: Micros = 100 * MILLI;
const TICK: Micros = 20 * MILLI;
const WORK_INTERVAL: Micros = 15 * MILLI;
/// Items of a job.
pub const ITEMS: u32 = 6;

/// A store: its process and its disk.
pub struct Store {
    pub name: u32,
    pub disk: DiskId,
    pub up: bool,
    pub removed: bool,
    /// Counts starts of the process.
    pub incarnation: u64,
    pub frozen_until: Micros,
    pub replica: ShardReplica,
    /// Records on the disk, in the order of writing; the first `synced` of them survive a loss of power.
    pub records: Vec<StoreRecord>,
    pub synced: usize,
    /// The jobs that the synced records give.
    pub on_disk: ShardJobs,
    /// Records that were released by compactions: positions are counted with them.
    pub released: usize,
    /// Number of records when the running rewrite started.
    pub rewrite_from: Option<usize>,
    pub disk_fails_until: Micros,
    pub disk_slow_until: Micros,
    /// Failed writes that the replica has not been notified of yet.
    pub failing: usize,
    pub last_sync: Micros,
    last_poll: Micros,
    pub requests: BTreeMap<u64, (u32, u64, u64)>,
}

pub struct World {
    pub now: Micros,
    pub random: Random,
    order: u64,
    events: BTreeMap<(Micros, u64), Event>,
    pub stores: BTreeMap<u32, Store>,
    /// Pairs of stores of which the second receives nothing from the first.
    pub cuts: BTreeSet<(u32, u32)>,
    /// Stores that cannot reach the core.
    pub cut_from_core: BTreeSet<u32>,
    /// The control state in force: the newest that the core committed, or that of one authority where there is no core.
    pub control: ControlState,
    pub core: Option<Core>,
    pub leases: BTreeMap<DiskId, (Micros, Vec<ShardReport>)>,
    pub tolerated_failures: usize,
    pub auditor: Auditor,
    pub pending_calls: BTreeMap<u64, PendingCall>,
    next_id: u64,
    next_disk: DiskId,
    /// Clients submit and read.
    pub busy: bool,
    /// A member loses its disk right after a store was emptied and removed.
    pub wipe_behind_removal: bool,
    /// Durable contents of lost disks.
    pub lost_disks: Vec<ShardJobs>,
    /// Actions of the stores, for the digests.
    pub counts: Counts,
}

fn store_node(name: u32, disk: DiskId) -> NodeInfo {
    NodeInfo {
        name: format!("store-{name}"),
        disk,
        internal: format!("10.0.0.{name}:7360"),
        admin: None,
        zone: "z".to_owned(),
        role: NodeRole::Store,
    }
}

pub fn job(id: &str) -> Job {
    let item = |number: u32| Item {
        id: format!("{id}-{number}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: vec![number as u8; 8],
        tokens: 1,
    };
    Job {
        id: id.to_owned(),
        tenant: "t".to_owned(),
        route: "r".to_owned(),
        host: "h".to_owned(),
        path: "/p/".to_owned(),
        items: (0..ITEMS).map(item).collect(),
    }
}

impl World {
    pub fn new(stores: u32, tolerated_failures: usize, seed: u64) -> World {
        let mut world = World {
            now: SECOND,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed),
            order: 0,
            events: BTreeMap::new(),
            stores: BTreeMap::new(),
            cuts: BTreeSet::new(),
            cut_from_core: BTreeSet::new(),
            control: ControlState::default(),
            core: None,
            leases: BTreeMap::new(),
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
        world.core = Some(Core::new(members, tolerated_failures, world.now, &mut world.random));
        world
    }

    fn identity(&self, disk: DiskId) -> ShardReplicaId {
        ShardReplicaId { disk, shard: 0, tolerated_failures: self.tolerated_failures }
    }

    /// Adds a store with an empty disk, or gives one an empty disk.
    pub fn add_store(&mut self, name: u32) {
        self.next_disk += 1;
        let disk = self.next_disk;
        let incarnation = self.stores.get(&name).map_or(1, |store| store.incarnation + 1);
        if let Some(lost) = self.stores.remove(&name) {
            self.lost_disks.push(lost.on_disk);
        }
        let store = Store {
            name,
            disk,
            up: true,
            removed: false,
            incarnation,
            frozen_until: 0,
            replica: ShardReplica::new(self.identity(disk)),
            records: Vec::new(),
            synced: 0,
            on_disk: ShardJobs::default(),
            released: 0,
            rewrite_from: None,
            disk_fails_until: 0,
            disk_slow_until: 0,
            failing: 0,
            last_sync: 0,
            last_poll: 0,
            requests: BTreeMap::new(),
        };
        self.stores.insert(name, store);
    }

    pub fn schedule(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    pub fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub fn view(&self) -> Option<&ShardView> {
        self.control.placement.shards.first()
    }

    // Faults

    /// Ends a process; with `power` what was not synced may be lost.
    pub fn kill(&mut self, name: u32, power: bool) {
        let Some(store) = self.stores.get_mut(&name).filter(|store| store.up) else { return };
        store.up = false;
        store.incarnation += 1;
        store.requests.clear();
        store.rewrite_from = None;
        store.failing = 0;
        let unsynced = store.records.len() - store.synced;
        let surviving = if power { self.random.next(unsynced as u64 + 1) as usize } else { unsynced };
        store.records.truncate(store.synced + surviving);
        for record in &store.records[store.synced..] {
            store.on_disk.recover(record.clone());
        }
        store.synced = store.records.len();
    }

    pub fn restart_after(&mut self, name: u32, down: Micros) {
        self.schedule(self.now + down, Event::Start { store: name });
    }

    pub fn start(&mut self, name: u32) {
        let identity = self.identity(self.stores[&name].disk);
        let Some(store) = self.stores.get_mut(&name).filter(|store| !store.up && !store.removed) else {
            return;
        };
        store.up = true;
        store.frozen_until = 0;
        store.replica = ShardReplica::new(identity);
        for record in &store.records {
            store.replica.recover(record.clone());
        }
    }

    /// Orders a store to be emptied; it is removed, with its disk, as soon as the core says that it is empty.
    pub fn retire(&mut self, name: u32) {
        let (store, tolerated_failures, now) = (format!("store-{name}"), self.tolerated_failures, self.now);
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

    fn remove_emptied(&mut self) -> Option<u32> {
        let emptied = |name: &&u32| {
            let store = &self.stores[*name];
            !store.removed && self.control.retirement(&format!("store-{name}")) == Retirement::Done
        };
        let name = self.stores.keys().find(emptied).copied()?;
        self.kill(name, true);
        let store = self.stores.get_mut(&name).unwrap();
        store.removed = true;
        store.records.clear();
        store.on_disk = ShardJobs::default();
        Some(name)
    }

    /// Begins a compaction at a store.
    pub fn compact(&mut self, name: u32) {
        let Some(store) = self.stores.get_mut(&name).filter(|store| store.up) else { return };
        if store.rewrite_from.is_none() {
            store.rewrite_from = Some(store.records.len());
            let actions = store.replica.rewrite(0);
            self.perform(name, actions);
        }
    }

    // Time

    pub fn run(&mut self, span: Micros) {
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
        self.run_core();
        if self.now.is_multiple_of(TICK) {
            self.tick();
        }
        if self.now.is_multiple_of(PLAN_INTERVAL) {
            self.plan();
        }
        if self.busy && self.now.is_multiple_of(WORK_INTERVAL) {
            self.work();
        }
    }

    /// Advances the core, and brings the views that it publishes to the stores that poll.
    fn run_core(&mut self) {
        let Some(mut core) = self.core.take() else { return };
        if self.now.is_multiple_of(25 * MILLI) {
            core.tick(self.now, &mut self.random);
        }
        for (at, event) in std::mem::take(&mut core.due) {
            self.schedule(at.max(self.now + 1), Event::Core(event));
        }
        self.control = core.newest.clone();
        let changed = std::mem::take(&mut core.changed);
        changed.into_iter().for_each(|disk| self.publish_view(&core, disk, None));
        self.core = Some(core);
    }

    /// A primary whose state is recent publishes its view to one store, or to all that are not cut off.
    fn publish_view(&mut self, core: &Core, primary: DiskId, to: Option<u32>) {
        let recent = core.machines[&primary].member.committed_if_recent(self.now);
        let Some(view) = recent.and_then(|state| state.placement.shards.first().cloned()) else { return };
        let names: Vec<u32> =
            self.stores.keys().copied().filter(|name| to.is_none_or(|to| to == *name)).collect();
        for name in names.into_iter().filter(|name| !self.cut_from_core.contains(name)).collect::<Vec<_>>() {
            let incarnation = self.stores[&name].incarnation;
            let delay = (1 + self.random.next(20)) * MILLI;
            self.schedule(self.now + delay, Event::View { to: name, incarnation, view: view.clone() });
        }
    }

    /// A store's poll reaches any machine that considers itself primary.
    pub fn poll_core(&mut self, from: u32, disk: DiskId, reports: Vec<ShardReport>) {
        let Some(mut core) = self.core.take() else { return };
        let serving = core.serving(self.now);
        if !serving.is_empty()
            && self.stores.get(&from).is_some_and(|store| store.disk == disk && !store.removed)
        {
            let primary = serving[self.random.next(serving.len() as u64) as usize];
            let poll = Poll { node: store_node(from, disk), reports };
            core.poll(primary, poll, self.now, &mut self.random);
            self.publish_view(&core, primary, Some(from));
        }
        self.core = Some(core);
    }

    pub fn awake(&self, name: u32) -> bool {
        self.stores.get(&name).is_some_and(|store| store.up && store.frozen_until <= self.now)
    }

    fn tick(&mut self) {
        let names: Vec<u32> = self.stores.keys().copied().collect();
        for name in names.into_iter().filter(|name| self.awake(*name)).collect::<Vec<_>>() {
            let now = self.now;
            let store = self.stores.get_mut(&name).unwrap();
            let actions = if store.replica.needs_tick() { store.replica.tick(now) } else { Vec::new() };
            if now >= store.last_poll + POLL_INTERVAL {
                store.last_poll = now;
                let reports = store.replica.report().into_iter().collect();
                let disk = store.disk;
                // A poll may be late, and come after its sender has been started again.
                let delay = if self.random.chance(3) { 400 * MILLI } else { 2 * MILLI };
                self.schedule(now + delay, Event::Poll { from: name, disk, reports });
            }
            self.perform(name, actions);
        }
    }

    /// The core: admits stores, plans the views, and brings them to the stores.
    fn plan(&mut self) {
        let now = self.now;
        if let Some(core) = &mut self.core {
            core.plan(now, &mut self.random);
            if self.remove_emptied().is_some() && self.wipe_behind_removal {
                self.wipe_any_member();
            }
            return;
        }
        let live =
            self.leases.iter().filter(|(_, (at, _))| now - at < LEASE).map(|(disk, _)| *disk).collect();
        let recent = self.leases.values().filter(|(at, _)| now - at < REPORT_TTL);
        let reports = recent.flat_map(|(_, reports)| reports.iter().cloned()).collect();
        let inputs = ShardPlanInputs {
            live,
            draining: BTreeSet::new(),
            reports,
            tolerated_failures: self.tolerated_failures,
        };
        if self.control.placement.stores.len() > self.tolerated_failures {
            self.control.plan_shards(&inputs);
            self.control.placement.shards.truncate(1);
        }
        if self.remove_emptied().is_some() && self.wipe_behind_removal {
            self.wipe_any_member();
        }
        let Some(view) = self.view().cloned() else { return };
        let names: Vec<u32> = self.stores.keys().copied().collect();
        for name in names {
            if !self.cut_from_core.contains(&name) {
                let incarnation = self.stores[&name].incarnation;
                let delay = self.random.next(120) * MILLI;
                self.schedule(now + delay, Event::View { to: name, incarnation, view: view.clone() });
            }
        }
    }

    fn wipe_any_member(&mut self) {
        let members = self.view().map(|view| view.in_sync.clone()).unwrap_or_default();
        let present = |store: &&Store| members.contains(&store.disk) && !store.removed;
        let Some(name) = self.stores.values().find(present).map(|store| store.name) else { return };
        self.wipe_behind_removal = false;
        self.kill(name, true);
        self.add_store(name);
    }

    pub fn admit(&mut self, name: u32, disk: DiskId) {
        if self.stores.get(&name).is_some_and(|store| store.disk == disk && !store.removed) {
            self.control.admit_store(&store_node(name, disk));
        }
    }

    /// The store that the view in force names, if it serves.
    pub fn primary(&self) -> Option<u32> {
        let view = self.view()?;
        let store = self.stores.values().find(|store| store.disk == view.primary)?;
        (store.up && store.replica.serving() == Some(view.epoch)).then_some(store.name)
    }

    /// Whether every member in sync is there, none joins, and the primary serves.
    pub fn is_healed(&self) -> bool {
        let Some(view) = self.view() else { return false };
        let there = |disk: &DiskId| self.stores.values().any(|store| store.disk == *disk && store.up);
        let wanted =
            (self.tolerated_failures + 2).min(self.stores.values().filter(|store| !store.removed).count());
        self.primary().is_some()
            && view.joining.is_empty()
            && view.in_sync.len() >= wanted
            && view.in_sync.iter().all(there)
    }
}
