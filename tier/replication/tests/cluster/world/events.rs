//! Events of the cluster in the order of virtual time, and the periodic work of its nodes.

use super::World;
use super::clients::REQUEST_INTERVAL;
use quillmount_replication::RegisterAction;
use quillmount_test_support::simulation::{MILLI, Simulation, Time, Timeline};
use quillmount_wire::messages::{DiskId, Register, RegisterMessage};

/// How often a node's clock is advanced.
const TICK_INTERVAL: Time = 25 * MILLI;

/// What happens at a time.
pub enum Event {
    /// A message arrives at a node.
    Deliver { from: DiskId, to: DiskId, message: RegisterMessage },
    /// A register is on the disk of a node, whose process performs what was to follow.
    Synced { node: DiskId, incarnation: u64, register: Register, then: Vec<RegisterAction> },
    /// The process of a node starts.
    Start { node: DiskId },
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
        match event {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Synced { node, incarnation, register, then } => {
                self.complete_sync(node, incarnation, register, then);
            }
            Event::Start { node } => self.start(node),
        }
    }

    fn before_step(&mut self) {
        if self.is_due_every(REQUEST_INTERVAL) {
            self.serve_clients();
        }
    }

    fn after_step(&mut self) {
        if self.is_due_every(TICK_INTERVAL) {
            self.tick();
        }
    }
}

impl World {
    /// Advances the clocks of all running nodes.
    fn tick(&mut self) {
        let now = self.now();
        let disks: Vec<DiskId> = self.nodes.keys().copied().collect();
        for disk in disks {
            let node = self.nodes.get_mut(&disk).unwrap();
            if node.process.is_running(now) {
                let actions = node.replica.tick(now);
                self.perform(disk, actions);
            }
        }
    }

    /// Delivers a message, unless its link is blocked or a fault affects it.
    fn deliver(&mut self, from: DiskId, to: DiskId, message: RegisterMessage) {
        if from != to && self.partitions.is_blocked(from, to) {
            return;
        }
        if from != to && self.message_fails(from, to, &message) {
            return;
        }
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&to) else { return };
        if !node.process.is_up() {
            return;
        }
        if let Some(at) = node.process.resumes_at(now) {
            // What arrives at a frozen process waits for it.
            self.schedule(at, Event::Deliver { from, to, message });
            return;
        }
        let actions = node.replica.receive(from, message, now);
        self.perform(to, actions);
    }

    /// Completes the sync of a register, unless its process was killed or a fault kills it now.
    fn complete_sync(
        &mut self,
        disk: DiskId,
        incarnation: u64,
        register: Register,
        then: Vec<RegisterAction>,
    ) {
        let Some(node) = self.nodes.get_mut(&disk) else { return };
        if !node.process.is_up() || node.process.incarnation() != incarnation {
            return;
        }
        let sync = self.syncs;
        self.syncs += 1;
        if let Some(down) = self.killed_before_sync(sync) {
            return self.restart_later(disk, down);
        }
        self.nodes.get_mut(&disk).unwrap().disk = register;
        if let Some(down) = self.killed_after_sync(sync) {
            return self.restart_later(disk, down);
        }
        self.perform(disk, then);
    }

    /// Kills a node, and restarts it after this time.
    fn restart_later(&mut self, disk: DiskId, down: Time) {
        self.kill(disk);
        self.schedule(self.now() + down, Event::Start { node: disk });
    }
}
