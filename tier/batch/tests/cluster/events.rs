//! Events of a world in the order of virtual time, and what each does to a store.

use crate::core::CoreEvent;
use crate::world::{Store, World};
use quillmount_batch::WriteId;
use quillmount_wire::messages::{DiskId, Response, ShardMessage, ShardReport, ShardView};

/// What happens at a time.
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

impl Event {
    /// The store whose process has to run for the event; `None` if the event does not wait for a frozen process.
    fn receiver(&self, world: &World) -> Option<u32> {
        match self {
            Event::Request { to, .. } => {
                world.stores.values().find(|store| store.disk == *to).map(|store| store.name)
            }
            Event::Reply { to, .. } | Event::View { to, .. } => Some(*to),
            Event::Synced { store, .. } | Event::NotWritten { store, .. } => Some(*store),
            Event::Poll { .. } | Event::Start { .. } | Event::Core(_) => None,
        }
    }
}

impl World {
    pub fn handle_event(&mut self, event: Event) {
        let receiver = event.receiver(self);
        if let Some(store) = receiver.and_then(|to| self.stores.get(&to))
            && store.frozen_until > self.now
        {
            // Events for a frozen process wait until it runs again.
            let at = store.frozen_until;
            return self.schedule(at, event);
        }
        match event {
            Event::Request { from, call, incarnation, epoch, message, .. } => {
                let reachable = receiver.filter(|to| self.awake(*to) && !self.cuts.contains(&(from, *to)));
                if let Some(to) = reachable {
                    self.deliver_request(to, (from, call, incarnation), epoch, message);
                }
            }
            Event::Reply { to, call, incarnation, answer } => {
                let now = self.now;
                if let Some(store) = self.awake_in(to, incarnation) {
                    let actions = store.replica.on_answer(call, answer, now);
                    self.perform(to, actions);
                }
            }
            Event::Synced { store, incarnation, write, position } => {
                self.finish_write(store, incarnation, write, position);
            }
            Event::NotWritten { store, incarnation, write } => self.fail_write(store, incarnation, write),
            Event::View { to, incarnation, view } => {
                let now = self.now;
                if let Some(store) = self.awake_in(to, incarnation) {
                    let actions = store.replica.follow_view(&view, now);
                    self.perform(to, actions);
                }
            }
            Event::Poll { from, disk, reports } => self.receive_poll(from, disk, reports),
            Event::Start { store } => self.start(store),
            Event::Core(event) => {
                if let Some(core) = &mut self.core {
                    core.handle_event(event, self.now, &mut self.random);
                }
            }
        }
    }

    /// The store, if its process runs and is still the one of this incarnation.
    fn awake_in(&mut self, name: u32, incarnation: u64) -> Option<&mut Store> {
        let awake = self.awake(name);
        self.stores.get_mut(&name).filter(|store| awake && store.incarnation == incarnation)
    }

    /// `caller` is the calling store, its number of the call, and its incarnation.
    fn deliver_request(&mut self, to: u32, caller: (u32, u64, u64), epoch: u64, message: ShardMessage) {
        let request = self.allocate_id();
        let draw = self.random.next(u64::MAX) << 20 | request;
        let store = self.stores.get_mut(&to).unwrap();
        store.requests.insert(request, caller);
        let actions = store.replica.receive(request, epoch, message, draw);
        self.perform(to, actions);
    }

    fn finish_write(&mut self, name: u32, incarnation: u64, write: WriteId, position: usize) {
        let now = self.now;
        let Some(store) = self.stores.get_mut(&name).filter(|store| store.incarnation == incarnation) else {
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

    fn fail_write(&mut self, name: u32, incarnation: u64, write: WriteId) {
        let now = self.now;
        let Some(store) = self.stores.get_mut(&name).filter(|store| store.incarnation == incarnation) else {
            return;
        };
        store.failing -= 1;
        let actions = store.replica.on_written(write, false, now);
        self.perform(name, actions);
    }

    fn receive_poll(&mut self, from: u32, disk: DiskId, reports: Vec<ShardReport>) {
        if self.cut_from_core.contains(&from) {
            return;
        }
        if self.core.is_some() {
            self.poll_core(from, disk, reports);
        } else {
            self.leases.insert(disk, (self.now, reports));
            self.admit(from, disk);
        }
    }
}
