//! Stores on virtual time: the real replicas of one shard, and the real planning of its views, between a network, disks and
//! processes that fail by seed.

use crate::audit::Auditor;
use crate::core::{Core, CoreEvent, Poll};
use quillmount_batch::{
    JobEntry, Micros, ShardAction, ShardJobs, ShardReplica, ShardReplicaId, StoreRecord, WriteId,
};
use quillmount_control::{ControlState, Retirement, ShardPlanInputs};
use quillmount_test_support::digest::Counts;
use quillmount_wire::messages::{
    DiskId, Item, ItemResult, Job, NodeInfo, NodeRole, Phase, Response, ShardMessage, ShardOperation,
    ShardReport, ShardView,
};
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
const ITEMS: u32 = 6;

/// A small generator, so that a seed always plays the same.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below.max(1)
    }

    pub fn chance(&mut self, of_hundred: u64) -> bool {
        self.next(100) < of_hundred
    }
}

pub enum Event {
    Request { from: u32, to: DiskId, call: u64, incarnation: u64, epoch: u64, message: ShardMessage },
    Reply { to: u32, call: u64, incarnation: u64, answer: Option<Response> },
    Synced { store: u32, incarnation: u64, write: WriteId, position: usize },
    NotWritten { store: u32, incarnation: u64, write: WriteId },
    View { to: u32, incarnation: u64, view: ShardView },
    Poll { from: u32, disk: DiskId, reports: Vec<ShardReport> },
    Start { store: u32 },
    Core(CoreEvent),
}

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
    /// What the records that are synced give.
    pub on_disk: ShardJobs,
    /// Records that were released by compactions: positions are counted with them.
    pub released: usize,
    /// Where the rewrite under way began.
    rewrite_from: Option<usize>,
    pub disk_fails_until: Micros,
    pub disk_slow_until: Micros,
    /// Writes that fail, and of which the replica was not told yet.
    failing: usize,
    last_sync: Micros,
    last_poll: Micros,
    requests: BTreeMap<u64, (u32, u64, u64)>,
}

/// What a replica is asked by a client, by the number of the operation or read.
pub enum PendingCall {
    Submit { job: String },
    Append,
    End,
    Read { job: String, found: Option<Vec<ItemResult>>, must_exist: bool, at_least: usize },
}

pub struct World {
    pub now: Micros,
    pub random: Random,
    order: u64,
    events: BTreeMap<(Micros, u64), Event>,
    pub stores: BTreeMap<u32, Store>,
    /// Pairs of stores between which nothing goes this way.
    pub cuts: BTreeSet<(u32, u32)>,
    /// Stores that the core can't be reached by.
    pub cut_from_core: BTreeSet<u32>,
    /// The control state in force: the newest that the core committed, or that of one authority where there is no core.
    pub control: ControlState,
    pub core: Option<Core>,
    leases: BTreeMap<DiskId, (Micros, Vec<ShardReport>)>,
    pub tolerated_failures: usize,
    pub auditor: Auditor,
    pending_calls: BTreeMap<u64, PendingCall>,
    next_id: u64,
    next_disk: DiskId,
    /// Whether clients are at work.
    pub busy: bool,
    /// A member loses its disk right after a store was emptied and removed.
    pub wipe_behind_removal: bool,
    /// What lost disks held, synced.
    lost_disks: Vec<ShardJobs>,
    /// What the stores put out, for the digests.
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

    fn schedule(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn allocate_id(&mut self) -> u64 {
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

    fn start(&mut self, name: u32) {
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

    /// Lets the core go on, and brings the views that it hands out to the stores that poll.
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
        changed.into_iter().for_each(|disk| self.hand_out(&core, disk, None));
        self.core = Some(core);
    }

    /// A primary hands out its view, to one store or to all that are not cut off, while it may be sure of it.
    fn hand_out(&mut self, core: &Core, primary: DiskId, to: Option<u32>) {
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

    /// A store's poll reaches any machine that takes itself for the primary.
    fn poll_core(&mut self, from: u32, disk: DiskId, reports: Vec<ShardReport>) {
        let Some(mut core) = self.core.take() else { return };
        let serving = core.serving(self.now);
        if !serving.is_empty()
            && self.stores.get(&from).is_some_and(|store| store.disk == disk && !store.removed)
        {
            let primary = serving[self.random.next(serving.len() as u64) as usize];
            let poll = Poll { node: store_node(from, disk), reports };
            core.poll(primary, poll, self.now, &mut self.random);
            self.hand_out(&core, primary, Some(from));
        }
        self.core = Some(core);
    }

    fn awake(&self, name: u32) -> bool {
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

    fn handle_event(&mut self, event: Event) {
        let to = match &event {
            Event::Request { to, .. } => {
                self.stores.values().find(|store| store.disk == *to).map(|store| store.name)
            }
            Event::Reply { to, .. } | Event::View { to, .. } => Some(*to),
            Event::Synced { store, .. } | Event::NotWritten { store, .. } => Some(*store),
            Event::Poll { .. } | Event::Start { .. } | Event::Core(_) => None,
        };
        if let Some(store) = to.and_then(|to| self.stores.get(&to))
            && store.frozen_until > self.now
        {
            // What comes to a frozen process waits for it.
            let at = store.frozen_until;
            return self.schedule(at, event);
        }
        match event {
            Event::Request { from, call, incarnation, epoch, message, .. } => {
                let Some(to) = to.filter(|to| self.awake(*to) && !self.cuts.contains(&(from, *to))) else {
                    return;
                };
                let request = self.allocate_id();
                let draw = self.random.next(u64::MAX) << 20 | request;
                let store = self.stores.get_mut(&to).unwrap();
                store.requests.insert(request, (from, call, incarnation));
                let actions = store.replica.receive(request, epoch, message, draw);
                self.perform(to, actions);
            }
            Event::Reply { to, call, incarnation, answer } => {
                let now = self.now;
                if self.awake(to) && self.stores[&to].incarnation == incarnation {
                    let actions = self.stores.get_mut(&to).unwrap().replica.on_answer(call, answer, now);
                    self.perform(to, actions);
                }
            }
            Event::Synced { store: name, incarnation, write, position } => {
                let now = self.now;
                let Some(store) = self.stores.get_mut(&name).filter(|store| store.incarnation == incarnation)
                else {
                    return;
                };
                let synced = position + 1 - store.released;
                for record in &store.records[store.synced..synced] {
                    store.on_disk.recover(record.clone());
                }
                store.synced = synced;
                let actions = store.replica.on_written(write, true, now);
                self.perform(name, actions);
            }
            Event::NotWritten { store: name, incarnation, write } => {
                let now = self.now;
                let Some(store) = self.stores.get_mut(&name).filter(|store| store.incarnation == incarnation)
                else {
                    return;
                };
                store.failing -= 1;
                let actions = store.replica.on_written(write, false, now);
                self.perform(name, actions);
            }
            Event::View { to, incarnation, view } => {
                let now = self.now;
                if self.awake(to) && self.stores[&to].incarnation == incarnation {
                    let actions = self.stores.get_mut(&to).unwrap().replica.follow_view(&view, now);
                    self.perform(to, actions);
                }
            }
            Event::Poll { from, disk, reports } => {
                if self.core.is_some() {
                    if !self.cut_from_core.contains(&from) {
                        self.poll_core(from, disk, reports);
                    }
                } else if !self.cut_from_core.contains(&from) {
                    self.leases.insert(disk, (self.now, reports));
                    self.admit(from, disk);
                }
            }
            Event::Start { store } => self.start(store),
            Event::Core(event) => {
                if let Some(core) = &mut self.core {
                    core.handle_event(event, self.now, &mut self.random);
                }
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

    fn admit(&mut self, name: u32, disk: DiskId) {
        if self.stores.get(&name).is_some_and(|store| store.disk == disk && !store.removed) {
            self.control.admit_store(&store_node(name, disk));
        }
    }

    fn perform(&mut self, name: u32, actions: Vec<ShardAction>) {
        for action in actions {
            self.count(name, &action);
            self.perform_one(name, action);
        }
        self.audit_disk(name);
    }

    fn count(&mut self, name: u32, action: &ShardAction) {
        let (now, store) = (self.now, u64::from(name));
        match action {
            ShardAction::Write { .. } => self.counts.count("writes", &[now, store]),
            ShardAction::Call { call, member, epoch, message, timeout } => {
                let (label, size) = match message {
                    ShardMessage::Replicate { operations, .. } => ("replicate_calls", operations.len()),
                    ShardMessage::Confirm => ("confirm_calls", 0),
                    ShardMessage::CompareBuckets { buckets } => ("compare_buckets_calls", buckets.len()),
                    ShardMessage::CompareJobs { jobs, .. } => ("compare_jobs_calls", jobs.len()),
                    ShardMessage::Install { jobs, .. } => ("install_calls", jobs.len()),
                };
                self.counts.count(label, &[now, store, *call, *member, *epoch, *timeout, size as u64]);
            }
            ShardAction::Answer { request, .. } => self.counts.count("answers", &[now, store, *request]),
            ShardAction::Committed { operation, .. } => {
                self.counts.count("commits", &[now, store, *operation])
            }
            ShardAction::Uncertain { operation } => self.counts.count("uncertain", &[now, store, *operation]),
            ShardAction::NotStarted { operation } => {
                self.counts.count("not_begun", &[now, store, *operation])
            }
            ShardAction::Serving { epoch } => self.counts.count("primaries", &[now, store, *epoch]),
            ShardAction::SteppedDown => self.counts.count("step_downs", &[now, store]),
            ShardAction::ReadConfirmed { read } => self.counts.count("reads_confirmed", &[now, store, *read]),
            ShardAction::ReadRejected { read } => self.counts.count("reads_refused", &[now, store, *read]),
            ShardAction::ReportDue => self.counts.count("reports_due", &[now, store]),
            ShardAction::Rewritten { request, complete } => {
                self.counts.count("compactions", &[now, store, *request, u64::from(*complete)]);
            }
        }
    }

    fn perform_one(&mut self, name: u32, action: ShardAction) {
        match action {
            ShardAction::Write { write, record } => self.write(name, write, record),
            ShardAction::Call { call, member, epoch, message, timeout } => {
                let incarnation = self.stores[&name].incarnation;
                let delay = 500 + self.random.next(2_000);
                let copies = if self.random.chance(2) { 2 } else { 1 };
                for copy in 0..copies {
                    let at = self.now + delay + copy * self.random.next(600) * MILLI;
                    let message = message.clone();
                    self.schedule(
                        at,
                        Event::Request { from: name, to: member, call, incarnation, epoch, message },
                    );
                }
                self.schedule(self.now + timeout, Event::Reply { to: name, call, incarnation, answer: None });
            }
            ShardAction::Answer { request, response } => {
                let caller = self.stores.get_mut(&name).unwrap().requests.remove(&request);
                if let Some((to, call, incarnation)) =
                    caller.filter(|(to, ..)| !self.cuts.contains(&(name, *to)))
                {
                    let at = self.now + 500 + self.random.next(2_000);
                    self.schedule(at, Event::Reply { to, call, incarnation, answer: Some(response) });
                }
            }
            ShardAction::Committed { operation, change } => self.committed(operation, &change),
            ShardAction::Uncertain { operation } | ShardAction::NotStarted { operation } => {
                self.pending_calls.remove(&operation);
            }
            ShardAction::ReadConfirmed { read } => {
                if let Some(PendingCall::Read { job, found, must_exist, at_least }) =
                    self.pending_calls.remove(&read)
                {
                    self.auditor.read(&job, found, must_exist, at_least);
                }
            }
            ShardAction::ReadRejected { read } => {
                self.pending_calls.remove(&read);
            }
            ShardAction::Rewritten { complete, .. } => self.rewritten(name, complete),
            ShardAction::Serving { .. } | ShardAction::SteppedDown | ShardAction::ReportDue => {}
        }
    }

    fn write(&mut self, name: u32, write: WriteId, record: StoreRecord) {
        let now = self.now;
        let span = 300 + self.random.next(2_500);
        let store = self.stores.get_mut(&name).unwrap();
        let slow = if store.disk_slow_until > now { 300 * MILLI } else { 0 };
        let at = (now + span + slow).max(store.last_sync + 1);
        store.last_sync = at;
        let incarnation = store.incarnation;
        if store.disk_fails_until > now {
            store.failing += 1;
            return self.schedule(at, Event::NotWritten { store: name, incarnation, write });
        }
        let position = store.released + store.records.len();
        store.records.push(record);
        self.schedule(at, Event::Synced { store: name, incarnation, write, position });
    }

    /// A rewrite is over: what stands before it may go, here up to any record.
    fn rewritten(&mut self, name: u32, complete: bool) {
        let store = self.stores.get_mut(&name).unwrap();
        let Some(from) = store.rewrite_from.take().filter(|_| complete) else { return };
        let gone = self.random.next(from as u64 + 1) as usize;
        store.records.drain(..gone);
        store.released += gone;
        store.synced -= gone;
        let mut on_disk = ShardJobs::default();
        store.records[..store.synced].iter().for_each(|record| on_disk.recover(record.clone()));
        store.on_disk = on_disk;
    }

    /// What the records give is what is in memory.
    fn audit_disk(&self, name: u32) {
        let store = &self.stores[&name];
        let replica = &store.replica;
        let settled = store.synced == store.records.len() && store.failing == 0;
        if settled && !replica.is_damaged() && !replica.is_replicating() {
            self.auditor.disk_agrees(name, &store.on_disk, replica.jobs());
        }
    }

    // Clients

    fn committed(&mut self, operation: u64, change: &ShardOperation) {
        let entry = |jobs: &ShardJobs, job: &str, has_effect: &dyn Fn(&JobEntry) -> bool| {
            jobs.jobs.get(job).is_some_and(has_effect)
        };
        let has_effect = |jobs: &ShardJobs| match change {
            ShardOperation::Submit(job) => jobs.jobs.contains_key(&job.id),
            ShardOperation::Append { job, result } => {
                entry(jobs, job, &|entry| entry.results.contains(result))
            }
            ShardOperation::End { job } => entry(jobs, job, &|entry| entry.ended),
            ShardOperation::Forget { .. } => false,
        };
        let live: Vec<&ShardJobs> = self.stores.values().map(|store| &store.on_disk).collect();
        // One that changes nothing, as its item was listed or its job ended before, needs no copy.
        let effective = self.stores.values().any(|store| has_effect(store.replica.jobs()));
        if effective {
            // A copy may have been lost with its disk after it was synced, and before the primary heard of that.
            let copies = live.into_iter().chain(&self.lost_disks).filter(|jobs| has_effect(jobs)).count();
            self.auditor.copies(change, copies, self.tolerated_failures + 1);
        }
        if let Some(PendingCall::Submit { job }) = self.pending_calls.remove(&operation) {
            self.auditor.acknowledged.insert(job);
        }
    }

    /// A client asks a store that takes itself for the primary.
    fn work(&mut self) {
        let serving: Vec<u32> = self.stores.keys().copied().filter(|name| self.awake(*name)).collect();
        let serving: Vec<u32> =
            serving.into_iter().filter(|name| self.stores[name].replica.serving().is_some()).collect();
        for name in serving {
            match self.random.next(10) {
                0 | 1 => self.submit(name),
                2..=5 => self.append(name),
                6 if self.random.chance(10) => self.end(name),
                _ => self.read_any(name),
            }
        }
    }

    fn commit(&mut self, name: u32, pending_calls: PendingCall, change: ShardOperation) {
        let operation = self.allocate_id();
        self.pending_calls.insert(operation, pending_calls);
        let now = self.now;
        let actions = self.stores.get_mut(&name).unwrap().replica.commit(operation, change, now);
        self.perform(name, actions);
    }

    fn submit(&mut self, name: u32) {
        let id = format!("j{}", self.allocate_id());
        let change = ShardOperation::Submit(job(&id));
        self.commit(name, PendingCall::Submit { job: id }, change);
    }

    fn any_job(&mut self, name: u32) -> Option<String> {
        let jobs: Vec<&String> = self.stores[&name].replica.jobs().jobs.keys().collect();
        if jobs.is_empty() {
            return None;
        }
        let place = self.random.next(jobs.len() as u64) as usize;
        Some(jobs[place].clone())
    }

    fn append(&mut self, name: u32) {
        let Some(job) = self.any_job(name) else { return };
        let entry = &self.stores[&name].replica.jobs().jobs[&job];
        let Some(item) = (0..ITEMS).find(|item| !entry.has_result(*item)) else { return };
        // Each run of an item gives another text.
        let text = format!("run {}", self.allocate_id());
        let result = ItemResult { item, phase: Phase::Done, text };
        self.commit(name, PendingCall::Append, ShardOperation::Append { job, result });
    }

    fn end(&mut self, name: u32) {
        if let Some(job) = self.any_job(name) {
            self.commit(name, PendingCall::End, ShardOperation::End { job });
        }
    }

    fn read_any(&mut self, name: u32) {
        let known: Vec<&String> = self.auditor.acknowledged.iter().collect();
        if known.is_empty() {
            return;
        }
        let place = self.random.next(known.len() as u64) as usize;
        let job = known[place].clone();
        self.read(name, &job);
    }

    fn read(&mut self, name: u32, job: &str) {
        let replica = &self.stores[&name].replica;
        if replica.is_pending(job) {
            return;
        }
        let found = replica.jobs().jobs.get(job).map(|entry| entry.results.clone());
        let must_exist = self.auditor.acknowledged.contains(job);
        let at_least = self.auditor.listed(job);
        let read = self.allocate_id();
        self.pending_calls
            .insert(read, PendingCall::Read { job: job.to_owned(), found, must_exist, at_least });
        let now = self.now;
        let until = now + 900 * MILLI;
        let actions = self.stores.get_mut(&name).unwrap().replica.confirm(read, until, now);
        self.perform(name, actions);
    }

    /// Reads every job that was acknowledged, at the primary.
    pub fn read_all(&mut self) {
        let Some(primary) = self.primary() else { return };
        let jobs: Vec<String> = self.auditor.acknowledged.iter().cloned().collect();
        jobs.iter().for_each(|job| self.read(primary, job));
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
