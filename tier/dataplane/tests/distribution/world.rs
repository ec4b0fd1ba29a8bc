//! The simulated deployment: machines, the network between them, and the measured events.

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

/// Number of core members; they are the first machines.
pub const CORE: usize = 5;
/// Number of couriers, which have no disk.
const COURIERS: usize = 250;
/// Number of stores.
const STORES: usize = 45;
/// Number of core members that the settings of each machine list as seeds.
pub const SEEDS: usize = 3;
/// Interval between two ticks of the core members.
const TICK_INTERVAL: Time = 25 * MILLI;
/// Interval between two process starts in a staggered start.
const START_INTERVAL: Time = 20 * MILLI;
/// Time for the first election of the core before other processes start in a staggered start.
const CORE_START_TIME: Time = 2 * SECOND;
/// Length of the TCP segment that resets a connection to a process that is not running, bytes.
const RESET_BYTES: usize = 60;

/// A message between two machines.
pub enum Message {
    /// A message of the replicated register between core members.
    Register { from: DiskId, message: RegisterMessage },
    /// A poll. The response returns along `path` in reverse order.
    Poll { path: Vec<MachineId>, call: u64, poll: Rc<Poll> },
    /// The response to a poll, with its frame length.
    Answer { path: Vec<MachineId>, call: u64, bytes: usize, answer: PollAnswer },
}

/// A scheduled event of the simulation.
pub enum Event {
    /// A process starts at a machine.
    Start { id: MachineId },
    /// A message arrives at the incoming link of its receiver.
    Enter { to: MachineId, bytes: usize, message: Message },
    /// A message was received completely.
    Deliver { to: MachineId, message: Message },
    /// A register write has ended.
    Written { to: MachineId, write: RegisterWrite },
    /// The next poll of a process is due.
    NextPoll { to: MachineId },
    /// A poll has timed out.
    PollTimeout { to: MachineId, call: u64 },
    /// The endpoint list arrives at the primary that requested it in this epoch.
    List { to: MachineId, epoch: Epoch, started_at: Time },
    /// A change of the operator arrives at a member.
    Change { to: MachineId, change: usize, call: u64 },
    /// The response to a change arrives at the operator.
    ChangeAnswer { change: usize, call: u64, applied: bool },
    /// The operator sends a change again, unless it was acknowledged or sent again already.
    ChangeRetry { change: usize, call: u64 },
}

/// The order in which the processes start.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum StartOrder {
    /// All processes start at the same time.
    Simultaneous,
    /// The core starts first, the other processes one at a time.
    Staggered,
}

/// The election of a primary, or the time from which it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryEvent {
    pub epoch: Epoch,
    pub occurred_at: Time,
}

/// The simulated deployment.
pub struct World {
    pub timeline: Timeline<Event>,
    pub random: Random,
    pub machines: Vec<Machine>,
    pub changes: Vec<Change>,
    /// The member to which the operator sends its next call.
    pub operator_contact: MachineId,
    pub lengths: AnswerLengths,
    /// All elections in their order.
    pub elections: Vec<PrimaryEvent>,
    /// The first time at which each primary served.
    pub service_starts: Vec<PrimaryEvent>,
    register: Register,
    last_call: u64,
}

impl World {
    /// A deployment whose processes are about to start. The disks of the members already have the register.
    pub fn new(seed: u64, start_order: StartOrder) -> World {
        let mut random = Random::from_mixed_seed(seed);
        let mut machines: Vec<Machine> = Vec::new();
        for (role, count) in
            [(NodeRole::Core, CORE), (NodeRole::Courier, COURIERS), (NodeRole::Store, STORES)]
        {
            for _ in 0..count {
                let id = machines.len();
                // Random disk ids, because the election timeout of a member depends on it and must differ between members and seeds.
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
            service_starts: Vec::new(),
            last_call: 0,
        };
        for id in 0..world.machines.len() {
            let is_staggered = start_order == StartOrder::Staggered && id >= CORE;
            let delay = if is_staggered { CORE_START_TIME + (id - CORE) as Time * START_INTERVAL } else { 0 };
            world.schedule(world.now() + delay, Event::Start { id });
        }
        world
    }

    /// Ids of the core machines.
    pub const fn core_ids(&self) -> Range<MachineId> {
        0..CORE
    }

    /// The machines of couriers and stores.
    pub fn subscribers(&self) -> &[Machine] {
        &self.machines[CORE..]
    }

    /// Allocates the number of the next call.
    pub fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    /// The consensus member of a running core process.
    pub fn member(&mut self, id: MachineId) -> &mut Member {
        self.machines[id].state.member.as_mut().expect("a running core machine")
    }

    /// The machine whose member serves as primary; the one of the highest epoch if there are several.
    pub fn primary(&self) -> Option<MachineId> {
        let serves = |id: &MachineId| {
            self.machines[*id].state.member.as_ref().is_some_and(|member| member.serving().is_some())
        };
        self.core_ids()
            .filter(serves)
            .max_by_key(|id| self.machines[*id].state.member.as_ref().and_then(|member| member.serving()))
    }

    /// Whether all couriers and stores have received a table of each kind.
    pub fn all_have_tables(&self) -> bool {
        self.subscribers().iter().all(Machine::has_all_tables)
    }

    /// Sends a message over the links of two machines. A message from a machine to itself is delivered without delay.
    pub fn send(&mut self, from: MachineId, to: MachineId, bytes: usize, message: Message) {
        let now = self.now();
        if from == to {
            return self.schedule(now, Event::Deliver { to, message });
        }
        let arrives_at = self.machines[from].outgoing.transmit(bytes, now);
        self.schedule(arrives_at, Event::Enter { to, bytes, message });
    }

    /// Records an election.
    pub fn record_election(&mut self, epoch: Epoch) {
        let occurred_at = self.now();
        self.elections.push(PrimaryEvent { epoch, occurred_at });
    }

    /// Records the first time at which a primary serves in each epoch.
    pub fn record_service(&mut self, id: MachineId) {
        let occurred_at = self.now();
        if let Some(epoch) = self.member(id).serving()
            && self.service_starts.iter().all(|service| service.epoch != epoch)
        {
            self.service_starts.push(PrimaryEvent { epoch, occurred_at });
        }
    }

    /// Records which changes are in force at all subscribers, after this machine has received tables.
    pub fn record_tables(&mut self, id: MachineId) {
        let now = self.now();
        let version = self.machines[id].state.tables.versions.configuration;
        let subscriber_versions =
            self.subscribers().iter().map(|machine| machine.state.tables.versions.configuration);
        let lowest = subscriber_versions.min().unwrap_or_default();
        if version == lowest {
            let applied_changes = self.changes.iter_mut().filter(|change| change.version <= lowest);
            applied_changes.for_each(|change| _ = change.in_force_at.get_or_insert(now));
        }
    }

    /// Kills a process; it is not restarted. Its machine resets the connections of pending polls.
    pub fn kill(&mut self, id: MachineId) {
        let pending = std::mem::take(&mut self.machines[id].state.pending_polls);
        self.machines[id].kill();
        for (call, PendingPoll { path, .. }) in pending {
            self.send_answer(id, path, call, RESET_BYTES, PollAnswer::Refused);
        }
    }

    /// Drops an event for a process that is not running; the connection of a poll is reset.
    fn refuse(&mut self, id: MachineId, event: Event) {
        if let Event::Deliver { message: Message::Poll { path, call, .. }, .. } = event {
            self.send_answer(id, path, call, RESET_BYTES, PollAnswer::Refused);
        }
    }

    /// Returns the elections after a time.
    pub fn elections_after(&self, time: Time) -> Vec<PrimaryEvent> {
        self.elections.iter().copied().filter(|election| election.occurred_at > time).collect()
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

    /// Returns the machine whose process receives an event, if it is addressed to one.
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
                let arrives_at = self.machines[to].incoming.transmit(bytes, now);
                self.schedule(arrives_at, Event::Deliver { to, message });
            }
            Event::Deliver { to, message } => self.deliver(to, message),
            Event::Written { to, write } => self.end_write(to, write),
            Event::NextPoll { to } => self.send_poll(to),
            Event::PollTimeout { to, call } => self.time_out_poll(to, call),
            Event::List { to, epoch, started_at } => self.receive_list(to, epoch, started_at),
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
