//! The machines, the network between them, and the events of their life.

use crate::audit::Audit;
use crate::core_side::PollAnswer;
use crate::machine::{Machine, MachineId, address};
use crate::operators::{Operator, OperatorAnswer};
use crate::platform::{Platform, PlatformCall};
use quillmount_control::{ControlState, Member, MemberAction, RegisterWrite};
use quillmount_test_support::network::{MESSAGE_DELAY, Partitions, REGISTER_SYNC_DELAY};
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time, Timeline};
use quillmount_wire::messages::{DiskId, Endpoint, NodeRole, Poll, Register, RegisterMessage};
use std::collections::BTreeMap;

/// Machines with a disk at the beginning; they are the first ones.
pub const CORE: usize = 3;
/// Couriers without a disk at the beginning.
const COURIERS: usize = 5;
/// Stores.
const STORES: usize = 4;
/// Operators.
const OPERATORS: usize = 4;
/// Percentage of messages that are up to [`LATEST`] late.
const LATE_MESSAGES: u64 = 1;
/// Longest delay of a late message.
const LATEST: Time = 700 * MILLI;
/// Percentage of messages between members that are lost. Others go over connections, which lose none.
const LOST_MESSAGES: u64 = 1;
/// How often the clocks of members advance.
const TICK_INTERVAL: Time = 25 * MILLI;
/// How often waiting polls, clients and operators are looked at.
const WORK_INTERVAL: Time = 5 * MILLI;
/// How often primaries plan the views of shards.
const PLAN_INTERVAL: Time = 100 * MILLI;
/// How often the platform changes endpoints.
const ENDPOINT_INTERVAL: Time = 500 * MILLI;
/// How many times as long a write takes on a slow disk.
const SLOW_DISK: Time = 30;

/// What happens at a time.
pub enum Event {
    /// A message between members of the core arrives.
    Register { from: MachineId, to: MachineId, disk: DiskId, message: RegisterMessage },
    /// A write of the register has ended.
    Written { to: MachineId, incarnation: u64, write: RegisterWrite, register: Register },
    /// A process starts.
    Start { to: MachineId },
    /// A process stands still from now on.
    Freeze { id: MachineId, until: Time },
    /// A process sends its next poll.
    NextPoll { to: MachineId, incarnation: u64 },
    /// A poll arrives; the answer goes back along `path`, the last one first.
    Poll { path: Vec<MachineId>, to: MachineId, call: u64, poll: Box<Poll> },
    /// The answer to a poll arrives at the first machine of what is left of its path, which is where the poll came from.
    Answer { from: MachineId, path: Vec<MachineId>, call: u64, answer: PollAnswer },
    /// A poll has not been answered in time.
    PollTimeout { to: MachineId, incarnation: u64, call: u64 },
    /// The primary announces itself to a courier that settings name as a seed.
    Hint { from: MachineId, to: MachineId },
    /// The list of endpoints arrives at a process that has asked the platform for it.
    List { to: MachineId, incarnation: u64, for_primary: Option<u64>, asked_at: Time, list: Vec<Endpoint> },
    /// A call in a singleton role arrives at the platform.
    PlatformCall { from: MachineId, incarnation: u64, call: PlatformCall },
    /// Its answer arrives.
    PlatformAnswer { to: MachineId, incarnation: u64, call: PlatformCall, accepted: bool },
    /// A call of an operator arrives.
    OperatorCall { operator: usize, call: u64, to: MachineId },
    /// Its answer arrives.
    OperatorAnswer { operator: usize, call: u64, answer: OperatorAnswer },
}

/// All planes.
pub struct World {
    pub timeline: Timeline<Event>,
    pub random: Random,
    pub machines: Vec<Machine>,
    pub partitions: Partitions<MachineId>,
    pub platform: Platform,
    pub operators: Vec<Operator>,
    pub audit: Audit,
    /// When the last fault ended, or began if it lasts.
    pub last_fault: Time,
    /// The same without freezes.
    pub last_loss: Time,
    /// Whether operators change the configuration.
    pub busy: bool,
    last_call: u64,
    last_disk: DiskId,
}

impl World {
    /// A system in its first state, whose first machine is the primary.
    pub fn new(seed: u64) -> World {
        let mut world = World {
            timeline: Timeline::new(SECOND),
            random: Random::from_mixed_seed(seed),
            machines: Vec::new(),
            partitions: Partitions::none(),
            platform: Platform::new(SECOND),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            audit: Audit::default(),
            last_fault: 0,
            last_loss: 0,
            busy: true,
            last_call: 0,
            last_disk: 0,
        };
        for _ in 0..CORE {
            world.add_machine(NodeRole::Core);
        }
        for _ in 0..COURIERS {
            world.add_machine(NodeRole::Courier);
        }
        for _ in 0..STORES {
            world.add_machine(NodeRole::Store);
        }
        let mut state = ControlState::default();
        state.placement.core = world.machines[..CORE].iter().map(Machine::node_info).collect();
        state.placement_version = 1;
        let now = world.now();
        let actions = world.member(0).bootstrap(&state, now);
        world.perform(0, actions);
        world
    }

    /// Adds a machine, whose process starts now. Its settings name three couriers, members or not.
    pub fn add_machine(&mut self, role: NodeRole) -> MachineId {
        let id = self.machines.len();
        let disk = self.draw_disk();
        let mut machine = Machine::new(id, role, disk, self.now());
        machine.seeds = if id < CORE + COURIERS + STORES {
            (0..CORE).collect()
        } else {
            (0..3).map(|_| self.random.index(CORE + COURIERS)).collect()
        };
        self.machines.push(machine);
        self.schedule_poll(id, 0);
        id
    }

    /// The identity of a disk, or of a process without one.
    pub fn draw_disk(&mut self) -> DiskId {
        self.last_disk += 1;
        self.last_disk
    }

    /// The number of the next call.
    pub fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    /// The member of a machine of the core.
    pub fn member(&mut self, id: MachineId) -> &mut Member {
        self.machines[id].state.member.as_mut().expect("a machine of the core")
    }

    /// Whether a machine's process runs and is not frozen.
    pub fn is_running(&self, id: MachineId) -> bool {
        self.machines[id].process.is_running(self.now())
    }

    /// Sends something over a connection from one machine to another: it arrives late at times, and not at all over a cut.
    pub fn send(&mut self, from: MachineId, to: MachineId, event: Event) {
        if from != to && self.partitions.is_blocked(from, to) {
            return;
        }
        let late =
            if self.random.chance(LATE_MESSAGES) { self.random.below(LATEST / MILLI) * MILLI } else { 0 };
        let at = self.now() + MESSAGE_DELAY.draw(&mut self.random) + late;
        self.schedule(at, event);
    }

    /// Sends something to the platform or back, which all machines reach.
    pub fn send_outside(&mut self, event: Event) {
        let at = self.now() + MESSAGE_DELAY.draw(&mut self.random);
        self.schedule(at, event);
    }

    /// Plans the next poll of a machine.
    pub fn schedule_poll(&mut self, id: MachineId, delay: Time) {
        let incarnation = self.machines[id].process.incarnation();
        self.schedule(self.now() + delay, Event::NextPoll { to: id, incarnation });
    }

    /// Whether a process of this incarnation still runs there.
    pub fn is_same_process(&self, id: MachineId, incarnation: u64) -> bool {
        let process = &self.machines[id].process;
        process.is_up() && process.incarnation() == incarnation
    }

    /// Performs the actions of a member.
    pub fn perform(&mut self, id: MachineId, actions: Vec<MemberAction>) {
        // The state is committed already when what rests on it is confirmed.
        if actions.contains(&MemberAction::StateChanged) {
            self.on_state_changed(id);
        }
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send_register(id, to, message),
                MemberAction::Persist { write, register } => self.write_register(id, write, register),
                MemberAction::Confirmed { ticket } => self.on_confirmed(id, ticket, true),
                MemberAction::Uncertain { ticket } => self.on_confirmed(id, ticket, false),
                MemberAction::Elected { .. } | MemberAction::SteppedDown => self.forget_primary_state(id),
                MemberAction::StateChanged => {}
                MemberAction::Accepted => self.learn_members(id),
            }
        }
    }

    fn send_register(&mut self, from: MachineId, disk: DiskId, message: RegisterMessage) {
        let to = self.machines.iter().find(|machine| machine.disk == disk).map(|machine| machine.id);
        let Some(to) = to.filter(|_| !self.random.chance(LOST_MESSAGES)) else { return };
        self.send(from, to, Event::Register { from, to, disk, message });
    }

    fn write_register(&mut self, id: MachineId, write: RegisterWrite, register: Register) {
        let machine = &self.machines[id];
        let incarnation = machine.process.incarnation();
        let factor = if self.now() < machine.slow_until { SLOW_DISK } else { 1 };
        let at = self.now() + REGISTER_SYNC_DELAY.draw(&mut self.random) * factor;
        self.schedule(at, Event::Written { to: id, incarnation, write, register });
    }

    /// Learns the addresses of the members from the register.
    fn learn_members(&mut self, id: MachineId) {
        let accepted = self.member(id).replica().register().accepted.clone();
        let state = accepted.and_then(|accepted| ControlState::decode(&accepted.value.payload).ok());
        if let Some(state) = state {
            if self.member(id).serving().is_none() {
                self.machines[id].state.history.record(&state);
            }
            let members = state.placement.core.into_iter().map(|member| member.internal).collect();
            self.machines[id].state.contact.set_members(members);
        }
    }

    fn on_state_changed(&mut self, id: MachineId) {
        let member = self.member(id);
        if let (Some(epoch), Some(state)) = (member.serving(), member.committed()) {
            self.audit.committed(epoch, &state);
            self.machines[id].state.history.record(&state);
        }
    }

    /// The machine that an event is for, if it is for a process.
    fn receiver(event: &Event) -> Option<MachineId> {
        match event {
            Event::Register { to, .. }
            | Event::Written { to, .. }
            | Event::NextPoll { to, .. }
            | Event::Poll { to, .. }
            | Event::PollTimeout { to, .. }
            | Event::Hint { to, .. }
            | Event::List { to, .. }
            | Event::PlatformAnswer { to, .. }
            | Event::OperatorCall { to, .. } => Some(*to),
            Event::Answer { path, .. } => path.last().copied(),
            Event::Start { .. }
            | Event::Freeze { .. }
            | Event::PlatformCall { .. }
            | Event::OperatorAnswer { .. } => None,
        }
    }

    /// By machine: the newest configuration that it has.
    pub fn versions(&self) -> BTreeMap<MachineId, u64> {
        let running = self.machines.iter().filter(|machine| machine.process.is_up());
        running.map(|machine| (machine.id, machine.state.tables.versions.configuration)).collect()
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
        if let Some(to) = World::receiver(&event) {
            let process = &self.machines[to].process;
            if process.is_up()
                && let Some(at) = process.resumes_at(self.now())
            {
                // What arrives at a frozen process waits for it.
                return self.schedule(at, event);
            }
            if !process.is_up() {
                return;
            }
        }
        let now = self.now();
        match event {
            Event::Register { from, to, disk, message } => {
                if self.machines[to].disk == disk {
                    let from_disk = self.machines[from].disk;
                    let actions = self.member(to).receive(from_disk, message, now);
                    self.perform(to, actions);
                }
            }
            Event::Written { to, incarnation, write, register } => {
                self.end_write(to, incarnation, write, register);
            }
            Event::Start { to } => self.start(to),
            Event::Freeze { id, until } => self.machines[id].process.freeze_until(until),
            Event::NextPoll { to, incarnation } => self.send_poll(to, incarnation),
            Event::Poll { path, to, call, poll } => self.receive_poll(path, to, call, poll),
            Event::Answer { from, path, call, answer } => self.receive_answer(from, path, call, answer),
            Event::PollTimeout { to, incarnation, call } => self.time_out_poll(to, incarnation, call),
            Event::Hint { from, to } => {
                self.machines[to].state.contact.note_primary(address(from), now);
            }
            Event::List { to, incarnation, for_primary, asked_at, list } => {
                if self.is_same_process(to, incarnation) {
                    self.receive_list(to, for_primary, asked_at, list);
                }
            }
            Event::PlatformCall { from, incarnation, call } => self.platform_call(from, incarnation, call),
            Event::PlatformAnswer { to, incarnation, call, accepted } => {
                self.platform_answer(to, incarnation, call, accepted);
            }
            Event::OperatorCall { operator, call, to } => self.receive_operator_call(operator, call, to),
            Event::OperatorAnswer { operator, call, answer } => {
                self.receive_operator_answer(operator, call, answer);
            }
        }
    }

    fn after_step(&mut self) {
        if self.is_due_every(TICK_INTERVAL) {
            self.tick_members();
        }
        if self.is_due_every(WORK_INTERVAL) {
            self.answer_waiting_polls();
            self.send_requests();
            self.operate();
        }
        if self.is_due_every(ENDPOINT_INTERVAL) {
            self.platform.change_endpoints(self.timeline.now(), &mut self.random);
        }
        if self.is_due_every(PLAN_INTERVAL) {
            self.plan_views();
        }
        self.run_duties();
        self.read_lists();
    }
}

impl World {
    fn tick_members(&mut self) {
        for id in 0..self.machines.len() {
            if self.machines[id].role == NodeRole::Core && self.is_running(id) {
                let now = self.now();
                let actions = self.member(id).tick(now);
                self.perform(id, actions);
            }
        }
    }

    fn start(&mut self, id: MachineId) {
        if self.machines[id].process.is_up() {
            return;
        }
        let drawn = self.draw_disk();
        let now = self.now();
        self.machines[id].start(now, drawn);
        if self.machines[id].role == NodeRole::Core {
            self.learn_members(id);
        }
        self.schedule_poll(id, 0);
    }
}
