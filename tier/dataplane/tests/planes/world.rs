//! The simulated deployment: machines, the network between them, and the scheduled events.

use crate::audit::Audit;
use crate::batch::AcceptedJob;
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

/// Initial number of core members, which have a disk; they are the first machines.
pub const CORE: usize = 3;
/// Initial number of couriers without a disk.
const COURIERS: usize = 5;
/// Number of stores.
const STORES: usize = 4;
/// Number of operators.
const OPERATORS: usize = 4;
/// Percentage of messages with an extra delay of up to [`MAX_LATE_DELAY`].
const LATE_MESSAGE_PERCENT: u64 = 1;
/// Upper bound of the extra delay of a late message.
const MAX_LATE_DELAY: Time = 700 * MILLI;
/// Percentage of messages between members that are lost. Other messages use connections, which lose none.
const LOST_MESSAGE_PERCENT: u64 = 1;
/// Interval between two ticks of the core members.
const TICK_INTERVAL: Time = 25 * MILLI;
/// Interval between two runs of pending polls, clients and operators.
const WORK_INTERVAL: Time = 5 * MILLI;
/// Interval between two plans of the shard views by primaries.
const PLAN_INTERVAL: Time = 100 * MILLI;
/// Interval between two changes of the platform's endpoints.
const ENDPOINT_INTERVAL: Time = 500 * MILLI;
/// Factor by which writes take longer on a slow disk.
const SLOW_DISK_FACTOR: Time = 30;

/// A scheduled event of the simulation.
pub enum Event {
    /// A message of the replicated register arrives at a core member.
    Register { from: MachineId, to: MachineId, disk: DiskId, message: RegisterMessage },
    /// A register write has ended.
    Written { to: MachineId, incarnation: u64, write: RegisterWrite, register: Register },
    /// A process starts at a machine.
    Start { to: MachineId },
    /// A process is frozen until the given time.
    Freeze { id: MachineId, until: Time },
    /// The next poll of a process is due.
    NextPoll { to: MachineId, incarnation: u64 },
    /// A poll arrives. The response returns along `path` in reverse order.
    Poll { path: Vec<MachineId>, to: MachineId, call: u64, poll: Box<Poll> },
    /// The response to a poll arrives at the last machine of its remaining path, which sent or relayed the poll.
    Answer { from: MachineId, path: Vec<MachineId>, call: u64, answer: PollAnswer },
    /// A poll has timed out.
    PollTimeout { to: MachineId, incarnation: u64, call: u64 },
    /// The primary announces itself to a courier that is a seed in the settings of a machine.
    Hint { from: MachineId, to: MachineId },
    /// The endpoint list arrives at a process that has requested it from the platform.
    List {
        to: MachineId,
        incarnation: u64,
        for_primary: Option<u64>,
        requested_at: Time,
        list: Vec<Endpoint>,
    },
    /// A fenced call of a primary arrives at the platform.
    PlatformCall { from: MachineId, incarnation: u64, call: PlatformCall },
    /// The platform's response to a fenced call arrives at the caller.
    PlatformAnswer { to: MachineId, incarnation: u64, call: PlatformCall, accepted: bool },
    /// A call of an operator arrives at a machine.
    OperatorCall { operator: usize, call: u64, to: MachineId },
    /// The response to an operator's call arrives at the operator.
    OperatorAnswer { operator: usize, call: u64, answer: OperatorAnswer },
}

/// The simulated deployment with all planes.
pub struct World {
    pub timeline: Timeline<Event>,
    pub random: Random,
    /// Draws for batch jobs; apart from the others, so that those of a seed do not depend on them.
    pub batch_random: Random,
    pub machines: Vec<Machine>,
    pub partitions: Partitions<MachineId>,
    pub platform: Platform,
    pub operators: Vec<Operator>,
    pub audit: Audit,
    /// Batch jobs whose item is neither run nor given up.
    pub jobs: Vec<AcceptedJob>,
    /// Planned end of the last fault. Frozen or killed machines can extend it when faults are healed.
    pub last_fault: Time,
    /// Planned end of the last fault that is not a freeze.
    pub last_fault_without_freezes: Time,
    /// Whether operators begin new tasks.
    pub operators_active: bool,
    last_call: u64,
    last_disk: DiskId,
}

impl World {
    /// A deployment in its initial state, whose first machine is the primary.
    pub fn new(seed: u64) -> World {
        let mut world = World {
            timeline: Timeline::new(SECOND),
            random: Random::from_mixed_seed(seed),
            batch_random: Random::from_mixed_seed(seed),
            machines: Vec::new(),
            partitions: Partitions::none(),
            platform: Platform::new(SECOND),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            audit: Audit::default(),
            jobs: Vec::new(),
            last_fault: 0,
            last_fault_without_freezes: 0,
            operators_active: true,
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

    /// Adds a machine, whose process starts now. Its settings list three seeds: the first core members for initial machines, and random
    /// core members or couriers for later ones.
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

    /// Allocates the identity of a disk, or of a process without a disk.
    pub fn draw_disk(&mut self) -> DiskId {
        self.last_disk += 1;
        self.last_disk
    }

    /// Allocates the number of the next call.
    pub fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    /// The consensus member of a core machine.
    pub fn member(&mut self, id: MachineId) -> &mut Member {
        self.machines[id].state.member.as_mut().expect("a core machine")
    }

    /// Whether a machine's process runs and is not frozen.
    pub fn is_running(&self, id: MachineId) -> bool {
        self.machines[id].process.is_running(self.now())
    }

    /// Sends an event over a connection between two machines. Some events are delayed, and a partition drops them.
    pub fn send(&mut self, from: MachineId, to: MachineId, event: Event) {
        if from != to && self.partitions.is_blocked(from, to) {
            return;
        }
        let late_delay = if self.random.chance(LATE_MESSAGE_PERCENT) {
            self.random.below(MAX_LATE_DELAY / MILLI) * MILLI
        } else {
            0
        };
        let arrives_at = self.now() + MESSAGE_DELAY.draw(&mut self.random) + late_delay;
        self.schedule(arrives_at, event);
    }

    /// Sends an event to the platform or back; partitions do not affect it.
    pub fn send_outside(&mut self, event: Event) {
        let arrives_at = self.now() + MESSAGE_DELAY.draw(&mut self.random);
        self.schedule(arrives_at, event);
    }

    /// Schedules the next poll of a machine after a delay.
    pub fn schedule_poll(&mut self, id: MachineId, delay: Time) {
        let incarnation = self.machines[id].process.incarnation();
        self.schedule(self.now() + delay, Event::NextPoll { to: id, incarnation });
    }

    /// Whether the process of this incarnation is still up.
    pub fn is_same_process(&self, id: MachineId, incarnation: u64) -> bool {
        let process = &self.machines[id].process;
        process.is_up() && process.incarnation() == incarnation
    }

    /// Carries out the actions that a member returned.
    pub fn perform(&mut self, id: MachineId, actions: Vec<MemberAction>) {
        // A state change is recorded before confirmations that depend on it.
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
        let Some(to) = to.filter(|_| !self.random.chance(LOST_MESSAGE_PERCENT)) else { return };
        self.send(from, to, Event::Register { from, to, disk, message });
    }

    fn write_register(&mut self, id: MachineId, write: RegisterWrite, register: Register) {
        let machine = &self.machines[id];
        let incarnation = machine.process.incarnation();
        let factor = if self.now() < machine.slow_until { SLOW_DISK_FACTOR } else { 1 };
        let written_at = self.now() + REGISTER_SYNC_DELAY.draw(&mut self.random) * factor;
        self.schedule(written_at, Event::Written { to: id, incarnation, write, register });
    }

    /// Reads the addresses of the core members from the register.
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
            self.audit.check_committed(epoch, &state);
            self.machines[id].state.history.record(&state);
        }
    }

    /// Returns the machine whose process receives an event, if it is addressed to one.
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

    /// The configuration version of each machine whose process is up.
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
                && let Some(resumes_at) = process.resumes_at(self.now())
            {
                // Events for a frozen process are delivered when it resumes.
                return self.schedule(resumes_at, event);
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
            Event::List { to, incarnation, for_primary, requested_at, list } => {
                if self.is_same_process(to, incarnation) {
                    self.receive_list(to, for_primary, requested_at, list);
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
            self.decide_items();
            self.operate();
        }
        if self.is_due_every(ENDPOINT_INTERVAL) {
            self.platform.change_endpoints(self.timeline.now(), &mut self.random);
        }
        if self.is_due_every(PLAN_INTERVAL) {
            self.plan_views();
        }
        self.report_usage();
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
