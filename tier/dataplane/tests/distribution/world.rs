//! The machines, the network between them, and what is measured.

use crate::answers::{AnswerLengths, PollAnswer};
use crate::core_side::PendingPoll;
use crate::fixtures;
use crate::machine::{Machine, MachineId, node_info};
use crate::operator::Change;
use quillmount_control::{Member, RegisterWrite};
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time, Timeline};
use quillmount_wire::messages::{DiskId, Epoch, NodeRole, Poll, Register, RegisterMessage};
use std::ops::Range;
use std::rc::Rc;

/// Members of the core, which are the first machines.
pub const CORE: usize = 5;
/// Couriers without a disk.
const COURIERS: usize = 250;
/// Stores.
const STORES: usize = 45;
/// Members that the settings of each machine name.
pub const SEEDS: usize = 3;
/// How often the clocks of members advance.
const TICK_INTERVAL: Time = 25 * MILLI;
/// Distance of two starts where the processes start one after the other.
const START_DISTANCE: Time = 20 * MILLI;
/// Time that the core has for its first election before other processes start one after the other.
const CORE_LEAD: Time = 2 * SECOND;
/// Length of the segment that closes a connection to a process that does not run.
const RESET_BYTES: usize = 60;

/// What is on its way from one machine to another.
pub enum Message {
    /// A message between members of the core.
    Register { from: DiskId, message: RegisterMessage },
    /// A poll; the answer goes back along `path`, the last one first.
    Poll { path: Vec<MachineId>, call: u64, poll: Rc<Poll> },
    /// The answer to a poll, with the length of its frame.
    Answer { path: Vec<MachineId>, call: u64, bytes: usize, answer: PollAnswer },
}

/// What happens at a time.
pub enum Event {
    /// A process starts.
    Start { id: MachineId },
    /// A message reaches the incoming link of its receiver.
    Enter { to: MachineId, bytes: usize, message: Message },
    /// A message has arrived completely.
    Deliver { to: MachineId, message: Message },
    /// A write of the register has ended.
    Written { to: MachineId, write: RegisterWrite },
    /// A process sends its next poll.
    NextPoll { to: MachineId },
    /// A poll has not been answered in time.
    PollTimeout { to: MachineId, call: u64 },
    /// The list of endpoints arrives at the primary that reads it in this epoch.
    List { to: MachineId, epoch: Epoch, began: Time },
    /// A change of the operator arrives.
    Change { to: MachineId, change: usize, call: u64 },
    /// Its answer arrives.
    ChangeAnswer { change: usize, call: u64, applied: bool },
    /// The operator sends a change again, unless it was answered.
    ChangeRetry { change: usize, call: u64 },
}

/// When the processes start.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Starts {
    /// All at the same time.
    AtOnce,
    /// One after the other, the core first.
    InTurn,
}

/// An election or the beginning of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryEvent {
    pub epoch: Epoch,
    pub at: Time,
}

/// The whole deployment.
pub struct World {
    pub timeline: Timeline<Event>,
    pub random: Random,
    pub machines: Vec<Machine>,
    pub changes: Vec<Change>,
    /// The member that the operator calls.
    pub operator_contact: MachineId,
    pub lengths: AnswerLengths,
    /// All elections.
    pub elections: Vec<PrimaryEvent>,
    /// When each primary began to serve.
    pub services: Vec<PrimaryEvent>,
    register: Register,
    last_call: u64,
}

impl World {
    /// Machines whose processes are about to start, with the members' registers on their disks.
    pub fn new(seed: u64, starts: Starts) -> World {
        let mut random = Random::from_mixed_seed(seed);
        let mut machines: Vec<Machine> = Vec::new();
        for (role, count) in
            [(NodeRole::Core, CORE), (NodeRole::Courier, COURIERS), (NodeRole::Store, STORES)]
        {
            for _ in 0..count {
                let id = machines.len();
                // Drawn, so that members stand for election at other times with other seeds, and different.
                let disk = random.below(1 << 20) * 1_000 + id as u64;
                machines.push(Machine::new(node_info(id, disk, role)));
            }
        }
        let mut world = World {
            register: fixtures::register(&machines),
            timeline: Timeline::new(SECOND),
            operator_contact: random.index(CORE),
            random,
            machines,
            changes: Vec::new(),
            lengths: AnswerLengths::default(),
            elections: Vec::new(),
            services: Vec::new(),
            last_call: 0,
        };
        for id in 0..world.machines.len() {
            let in_turn = starts == Starts::InTurn && id >= CORE;
            let delay = if in_turn { CORE_LEAD + (id - CORE) as Time * START_DISTANCE } else { 0 };
            world.schedule(world.now() + delay, Event::Start { id });
        }
        world
    }

    /// The machines of the core.
    pub const fn core_ids(&self) -> Range<MachineId> {
        0..CORE
    }

    /// The machines of couriers and stores.
    pub fn subscribers(&self) -> &[Machine] {
        &self.machines[CORE..]
    }

    /// The number of the next call.
    pub fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    /// The member of a running process of the core.
    pub fn member(&mut self, id: MachineId) -> &mut Member {
        self.machines[id].state.member.as_mut().expect("a machine of the core")
    }

    /// The machine whose member serves as primary.
    pub fn primary(&self) -> Option<MachineId> {
        let serves = |id: &MachineId| {
            self.machines[*id].state.member.as_ref().is_some_and(|member| member.serving().is_some())
        };
        self.core_ids()
            .filter(serves)
            .max_by_key(|id| self.machines[*id].state.member.as_ref().and_then(|member| member.serving()))
    }

    /// Whether all couriers and stores have a table of each kind.
    pub fn all_have_tables(&self) -> bool {
        self.subscribers().iter().all(Machine::has_all_tables)
    }

    /// Sends a message over the links of two machines; one of a machine to itself needs none.
    pub fn send(&mut self, from: MachineId, to: MachineId, bytes: usize, message: Message) {
        let now = self.now();
        if from == to {
            return self.schedule(now, Event::Deliver { to, message });
        }
        let at = self.machines[from].outgoing.transmit(bytes, now);
        self.schedule(at, Event::Enter { to, bytes, message });
    }

    /// Notes an election.
    pub fn record_election(&mut self, epoch: Epoch) {
        let at = self.now();
        self.elections.push(PrimaryEvent { epoch, at });
    }

    /// Notes that a member serves, the first time in each epoch.
    pub fn record_service(&mut self, id: MachineId) {
        let at = self.now();
        if let Some(epoch) = self.member(id).serving()
            && self.services.iter().all(|service| service.epoch != epoch)
        {
            self.services.push(PrimaryEvent { epoch, at });
        }
    }

    /// Notes the changes that are in force everywhere since this machine has its newest tables.
    pub fn record_tables(&mut self, id: MachineId) {
        let now = self.now();
        let version = self.machines[id].state.tables.versions.configuration;
        let all = self.subscribers().iter().map(|machine| machine.state.tables.versions.configuration);
        let lowest = all.min().unwrap_or_default();
        if version == lowest {
            let reached = self.changes.iter_mut().filter(|change| change.version <= lowest);
            reached.for_each(|change| _ = change.in_force_at.get_or_insert(now));
        }
    }

    /// Kills a process for good. Its machine closes the connections of those who wait for an answer.
    pub fn kill(&mut self, id: MachineId) {
        let pending = std::mem::take(&mut self.machines[id].state.pending_polls);
        self.machines[id].kill();
        for (call, PendingPoll { path, .. }) in pending {
            self.send_answer(id, path, call, RESET_BYTES, PollAnswer::Refused);
        }
    }

    /// What arrives at a process that does not run is lost; a poll is refused.
    fn refuse(&mut self, id: MachineId, event: Event) {
        if let Event::Deliver { message: Message::Poll { path, call, .. }, .. } = event {
            self.send_answer(id, path, call, RESET_BYTES, PollAnswer::Refused);
        }
    }

    /// The elections after a time.
    pub fn elections_after(&self, time: Time) -> Vec<PrimaryEvent> {
        self.elections.iter().copied().filter(|election| election.at > time).collect()
    }

    fn start(&mut self, id: MachineId) {
        let now = self.now();
        self.machines[id].start(&self.register, now);
        self.schedule(now, Event::NextPoll { to: id });
    }

    fn deliver(&mut self, to: MachineId, message: Message) {
        let now = self.now();
        match message {
            Message::Register { from, message } => {
                let actions = self.member(to).receive(from, message, now);
                self.perform(to, actions);
            }
            Message::Poll { path, call, poll } => self.receive_poll(path, to, call, poll),
            Message::Answer { path, call, bytes, answer } => self.receive_answer(path, call, bytes, answer),
        }
    }

    fn tick_members(&mut self) {
        let now = self.now();
        for id in self.core_ids() {
            if self.machines[id].process.is_up() {
                let actions = self.member(id).tick(now);
                self.perform(id, actions);
            }
        }
    }

    /// The machine that an event is for, if it is for a process.
    const fn receiver(event: &Event) -> Option<MachineId> {
        match event {
            Event::Deliver { to, .. }
            | Event::Written { to, .. }
            | Event::NextPoll { to }
            | Event::PollTimeout { to, .. }
            | Event::List { to, .. }
            | Event::Change { to, .. } => Some(*to),
            Event::Start { .. }
            | Event::Enter { .. }
            | Event::ChangeAnswer { .. }
            | Event::ChangeRetry { .. } => None,
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
        if let Some(to) = World::receiver(&event).filter(|to| !self.machines[*to].process.is_up()) {
            return self.refuse(to, event);
        }
        let now = self.now();
        match event {
            Event::Start { id } => self.start(id),
            Event::Enter { to, bytes, message } => {
                let at = self.machines[to].incoming.transmit(bytes, now);
                self.schedule(at, Event::Deliver { to, message });
            }
            Event::Deliver { to, message } => self.deliver(to, message),
            Event::Written { to, write } => self.end_write(to, write),
            Event::NextPoll { to } => self.send_poll(to),
            Event::PollTimeout { to, call } => self.time_out_poll(to, call),
            Event::List { to, epoch, began } => self.receive_list(to, epoch, began),
            Event::Change { to, change, call } => self.receive_change(to, change, call),
            Event::ChangeAnswer { change, call, applied } => {
                self.receive_change_answer(change, call, applied);
            }
            Event::ChangeRetry { change, call } => self.retry_change(change, call),
        }
    }

    fn after_step(&mut self) {
        if self.is_due_every(TICK_INTERVAL) {
            self.tick_members();
        }
        self.read_lists();
        self.answer_polls();
    }
}
