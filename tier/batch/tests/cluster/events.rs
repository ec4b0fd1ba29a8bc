//! Events of a world in the order of virtual time, and what each does to a store.

use crate::core::CoreEvent;
use crate::planning::store_poll;
use crate::store::Store;
use crate::world::World;
use quillmount_batch::WriteId;
use quillmount_test_support::simulation::{MILLI, Simulation, Time, Timeline};
use quillmount_wire::messages::{DiskId, Response, ShardMessage, ShardReport, ShardView};

/// How often a store polls the core.
const POLL_INTERVAL: Time = 150 * MILLI;
/// How often the core plans the views.
const PLAN_INTERVAL: Time = 100 * MILLI;
/// How often the clocks of replicas are advanced.
const TICK_INTERVAL: Time = 20 * MILLI;
/// How often clients send requests.
const WORK_INTERVAL: Time = 15 * MILLI;
/// How long a poll is on its way.
const POLL_DELAY: Time = 2 * MILLI;
/// How long a late poll is on its way.
const LATE_POLL_DELAY: Time = 400 * MILLI;
/// Percentage of polls that are late.
const LATE_POLLS: u64 = 3;

/// The store that sent a request.
#[derive(Clone, Copy)]
pub struct Caller {
    pub store: u32,
    /// The number that it gave to its call.
    pub call: u64,
    pub incarnation: u64,
}

/// What happens at a time.
pub enum Event {
    /// A request of one store arrives at another.
    Request { from: Caller, to: DiskId, epoch: u64, message: ShardMessage },
    /// The answer to a call arrives, or there was none in time.
    Reply { to: Caller, answer: Option<Response> },
    /// A record is on the disk.
    Synced { store: u32, incarnation: u64, write: WriteId, position: usize },
    /// A record could not be written.
    NotWritten { store: u32, incarnation: u64, write: WriteId },
    /// A view arrives at a store.
    View { to: u32, incarnation: u64, view: ShardView },
    /// A store's poll arrives at the core.
    Poll { from: u32, disk: DiskId, reports: Vec<ShardReport> },
    /// The process of a store starts.
    Start { store: u32 },
    /// An event for a core member.
    Core(CoreEvent),
}

impl Event {
    /// The store whose process has to run for the event; `None` if the event does not wait for a frozen process.
    fn receiver(&self, world: &World) -> Option<u32> {
        match self {
            Event::Request { to, .. } => {
                world.stores.values().find(|store| store.disk == *to).map(|store| store.name)
            }
            Event::Reply { to, .. } => Some(to.store),
            Event::View { to, .. } => Some(*to),
            Event::Synced { store, .. } | Event::NotWritten { store, .. } => Some(*store),
            Event::Poll { .. } | Event::Start { .. } | Event::Core(_) => None,
        }
    }
}

impl Simulation for World {
    type Event = Event;

    fn timeline(&self) -> &Timeline<Event> {
        &self.timeline
    }

    fn timeline_mut(&mut self) -> &mut Timeline<Event> {
        &mut self.timeline
    }

    fn handle_event(&mut self, event: Event) {
        let receiver = event.receiver(self);
        if let Some(store) = receiver.and_then(|to| self.stores.get(&to))
            && let Some(at) = store.process.resumes_at(self.now())
        {
            // Events for a frozen process wait until it resumes.
            return self.schedule(at, event);
        }
        match event {
            Event::Request { from, epoch, message, .. } => {
                let reaches = |to: &u32| self.is_running(*to) && !self.partitions.is_blocked(from.store, *to);
                if let Some(to) = receiver.filter(reaches) {
                    self.deliver_request(to, from, epoch, message);
                }
            }
            Event::Reply { to, answer } => self.deliver_answer(to, answer),
            Event::Synced { store, incarnation, write, position } => {
                self.finish_write(store, incarnation, write, position);
            }
            Event::NotWritten { store, incarnation, write } => self.fail_write(store, incarnation, write),
            Event::View { to, incarnation, view } => self.deliver_view(to, incarnation, &view),
            Event::Poll { from, disk, reports } => self.receive_poll(from, disk, reports),
            Event::Start { store } => self.start(store),
            Event::Core(event) => {
                if let Some(core) = &mut self.core {
                    core.handle_event(event, self.timeline.now(), &mut self.random);
                }
            }
        }
    }

    fn after_step(&mut self) {
        self.run_core();
        if self.is_due_every(TICK_INTERVAL) {
            self.tick();
        }
        if self.is_due_every(PLAN_INTERVAL) {
            self.plan();
        }
        if self.busy && self.is_due_every(WORK_INTERVAL) {
            self.work();
        }
    }
}

impl World {
    /// The store, if its process runs and is still the one of this incarnation.
    fn running_in(&mut self, name: u32, incarnation: u64) -> Option<&mut Store> {
        let is_running = self.is_running(name);
        let same = |store: &&mut Store| is_running && store.process.incarnation() == incarnation;
        self.stores.get_mut(&name).filter(same)
    }

    /// The store, if its process is still the one of this incarnation; it may be frozen.
    fn store_in(&mut self, name: u32, incarnation: u64) -> Option<&mut Store> {
        self.stores.get_mut(&name).filter(|store| store.process.incarnation() == incarnation)
    }

    /// Delivers the answer to a call, or that there was none.
    fn deliver_answer(&mut self, to: Caller, answer: Option<Response>) {
        let now = self.now();
        if let Some(store) = self.running_in(to.store, to.incarnation) {
            let actions = store.replica.on_answer(to.call, answer, now);
            self.perform(to.store, actions);
        }
    }

    /// Delivers a view to a store.
    fn deliver_view(&mut self, to: u32, incarnation: u64, view: &ShardView) {
        let now = self.now();
        if let Some(store) = self.running_in(to, incarnation) {
            let actions = store.replica.follow_view(view, now);
            self.perform(to, actions);
        }
    }

    /// Delivers a request, which gets a number of its own.
    fn deliver_request(&mut self, to: u32, caller: Caller, epoch: u64, message: ShardMessage) {
        let request = self.allocate_id();
        let draw = self.random.below(u64::MAX) << 20 | request;
        let store = self.stores.get_mut(&to).unwrap();
        store.requests.insert(request, caller);
        let actions = store.replica.receive(request, epoch, message, draw);
        self.perform(to, actions);
    }

    /// Completes the write of a record, which is on the disk now.
    fn finish_write(&mut self, name: u32, incarnation: u64, write: WriteId, position: usize) {
        let now = self.now();
        let Some(store) = self.store_in(name, incarnation) else { return };
        let synced = position + 1 - store.released;
        for record in &store.records[store.synced..synced] {
            store.on_disk.recover(record.clone());
        }
        store.synced = synced;
        let actions = store.replica.on_written(write, true, now);
        self.perform(name, actions);
    }

    /// Notifies a replica that a record could not be written.
    fn fail_write(&mut self, name: u32, incarnation: u64, write: WriteId) {
        let now = self.now();
        let Some(store) = self.store_in(name, incarnation) else { return };
        store.failing -= 1;
        let actions = store.replica.on_written(write, false, now);
        self.perform(name, actions);
    }

    /// Receives a store's poll at the core, or at the one authority.
    fn receive_poll(&mut self, from: u32, disk: DiskId, reports: Vec<ShardReport>) {
        if self.isolated_from_core.contains(&from) {
            return;
        }
        if self.core.is_some() {
            self.poll_core(from, disk, reports);
        } else {
            self.leases.renew(&store_poll(from, disk, reports), self.timeline.now());
            self.admit(from, disk);
        }
    }

    /// Advances the clocks of running stores, which poll the core at times.
    fn tick(&mut self) {
        let names: Vec<u32> = self.stores.keys().copied().collect();
        for name in names.into_iter().filter(|name| self.is_running(*name)).collect::<Vec<_>>() {
            let now = self.now();
            let store = self.stores.get_mut(&name).unwrap();
            let actions = if store.replica.needs_tick() { store.replica.tick(now) } else { Vec::new() };
            if now >= store.last_poll + POLL_INTERVAL {
                store.last_poll = now;
                let reports = store.replica.report().into_iter().collect();
                let disk = store.disk;
                // A poll may be late, and arrive after its sender has been restarted.
                let delay = if self.random.chance(LATE_POLLS) { LATE_POLL_DELAY } else { POLL_DELAY };
                self.schedule(now + delay, Event::Poll { from: name, disk, reports });
            }
            self.perform(name, actions);
        }
    }
}
