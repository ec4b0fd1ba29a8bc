//! The modelled fleet: couriers with the state machines of the fleet, a replicated log that each courier applies at
//! its own speed, journals that can be sealed, a partner that records the calls that ran, and clients that retry.
//!
//! [`World::deliver`] carries out one event that is in flight, which the exploration or the simulation has chosen.
//! The behaviour of the partner, the clients and lost couriers is in separate modules.

use crate::event::{Call, CallFault, InFlight, LogEntry, WorldEvent};
use crate::invariants::{Observations, SessionKey};
use quillmount_fleet::settlement::session::linger;
use quillmount_fleet::settlement::{
    JournalRef, Mode, OwnedSettlements, OwnerInput, OwnerOutput, Repeat, RequestForwarder, Resume,
    SettlementEvent, SettlementId, SettlementLimits, SettlementMessage, SettlementRecord, SettlementRegistry,
    SettlementRequest, forward,
};
use std::collections::{BTreeMap, BTreeSet};

/// A time or a duration of the virtual clock, in microseconds.
pub type Micros = u64;

/// Idle timeout of sessions at the partner.
pub const PARTNER_IDLE: Micros = 3_000_000;
/// Idle timeout of a settlement that only waits for further messages.
const SETTLEMENT_IDLE: Micros = 8_000_000;

/// A partner that accepts no second session for a settlement.
pub const RESUME_NEVER: Mode = Mode::Session { resume: Resume::Never, linger: 0 };
/// A partner that accepts another session after the last position that was answered.
pub const RESUME_AFTER_ANSWER: Mode = Mode::Session { resume: Resume::AfterAnswer, linger: 0 };

/// Returns the mode with the linger time of the modelled partner.
pub fn with_linger(mode: Mode) -> Mode {
    match mode {
        Mode::Session { resume, .. } => Mode::Session { resume, linger: linger(PARTNER_IDLE, 0) },
        Mode::Message => Mode::Message,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProcessState {
    Up,
    /// The process makes no progress, and its connections stay open.
    Paused,
    Dead,
}

/// One registration of a courier.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Courier {
    pub process: ProcessState,
    pub epoch: u64,
    pub registry: SettlementRegistry,
    /// The number of log entries that the courier has applied.
    pub applied: usize,
    pub owned: OwnedSettlements,
    pub forwarder: RequestForwarder,
    pub is_taken_over: bool,
}

impl Courier {
    pub fn is_up(&self) -> bool {
        self.process == ProcessState::Up
    }

    /// Returns whether the process is killed or paused while its registration has not ended.
    pub fn awaits_takeover(&self) -> bool {
        !self.is_up() && !self.is_taken_over
    }
}

/// The records of one courier's journal.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub struct Journal {
    pub records: Vec<SettlementRecord>,
    /// A sealed journal accepts no more records.
    pub is_sealed: bool,
}

/// The parameters of a settlement, which are fixed before it starts.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct SettlementPlan {
    pub total: u64,
    pub repeat: Repeat,
    pub deadline: Micros,
}

/// A client's request at a courier that has not answered it yet.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct PendingRequest {
    pub courier: usize,
    pub id: SettlementId,
    pub request: SettlementRequest,
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub now: Micros,
    pub log: Vec<LogEntry>,
    /// The replicated state after all entries of the log, for the checks.
    pub agreed: SettlementRegistry,
    pub couriers: Vec<Courier>,
    pub in_flight: Vec<InFlight>,
    pub journals: BTreeMap<JournalRef, Journal>,
    pub plans: BTreeMap<SettlementId, SettlementPlan>,
    pub observations: BTreeMap<SettlementId, Observations>,
    /// Requests of clients without an answer, by ticket.
    pub pending_requests: BTreeMap<u64, PendingRequest>,
    /// The mode of the partner by destination.
    pub modes: BTreeMap<u64, Mode>,
    /// The number of connections that a tenant may have at each destination.
    pub connection_budget: u32,
    /// The sessions with a reserved connection by courier and destination.
    pub pinned: BTreeMap<(usize, u64), BTreeSet<(SettlementId, u32)>>,
    /// The first property that was violated.
    pub violation: Option<String>,
}

/// Returns the name of the courier with this index.
pub fn courier_name(index: usize) -> String {
    format!("c{index}")
}

fn courier_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl World {
    pub fn new(couriers: usize, modes: BTreeMap<u64, Mode>, connection_budget: u32) -> World {
        let mut world = World {
            now: 1_000,
            log: Vec::new(),
            agreed: SettlementRegistry::default(),
            couriers: Vec::new(),
            in_flight: Vec::new(),
            journals: BTreeMap::new(),
            plans: BTreeMap::new(),
            observations: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            modes,
            connection_budget,
            pinned: BTreeMap::new(),
            violation: None,
        };
        for index in 0..couriers {
            let courier = world.register(index, 1);
            world.couriers.push(courier);
        }
        world
    }

    /// Registers a courier, which starts with the current replicated state.
    pub fn register(&mut self, index: usize, epoch: u64) -> Courier {
        let limits = SettlementLimits { idle_timeout: SETTLEMENT_IDLE, ..SettlementLimits::default() };
        let mut owned = OwnedSettlements::new(&courier_name(index), epoch, limits);
        self.modes.iter().for_each(|(dest, mode)| owned.set_mode(*dest, with_linger(*mode)));
        for dest in self.modes.keys() {
            owned.set_budget("north", *dest, self.connection_budget);
        }
        let journal = JournalRef { courier: courier_name(index), epoch };
        self.journals.insert(journal, Journal::default());
        Courier {
            process: ProcessState::Up,
            epoch,
            registry: self.agreed.clone(),
            applied: self.log.len(),
            owned,
            forwarder: RequestForwarder::new(&courier_name(index), epoch),
            is_taken_over: false,
        }
    }

    pub fn send(&mut self, event: WorldEvent) {
        self.in_flight.push(InFlight { arrives_at: 0, event });
    }

    /// Returns the journal of a courier's current registration.
    pub fn journal_of(&self, index: usize) -> JournalRef {
        JournalRef { courier: courier_name(index), epoch: self.couriers[index].epoch }
    }

    pub fn step_owned(&mut self, index: usize, input: OwnerInput) {
        let courier = &mut self.couriers[index];
        let outputs = courier.owned.step(&courier.registry, input, self.now);
        outputs.into_iter().for_each(|output| self.carry_out(index, output));
    }

    pub fn step_forwarder(&mut self, index: usize, input: forward::ForwardInput) {
        let courier = &mut self.couriers[index];
        let outputs = courier.forwarder.step(&courier.registry, input, self.now);
        for output in outputs {
            match output {
                forward::ForwardOutput::Send { to, message } => {
                    self.send(WorldEvent::Message { to: courier_index(&to), message, from: index });
                }
                forward::ForwardOutput::Propose(command) => self.send(WorldEvent::Propose(command)),
                forward::ForwardOutput::Answer { ticket, reply } => self.answer_client(ticket, reply),
            }
        }
    }

    /// Carries out an output of an owner.
    pub fn carry_out(&mut self, courier: usize, output: OwnerOutput) {
        let epoch = self.couriers[courier].epoch;
        match output {
            OwnerOutput::Write { seq, records } => {
                self.send(WorldEvent::Write { courier, epoch, seq, records });
            }
            OwnerOutput::Fetch { id, term, journals } => {
                self.send(WorldEvent::Fetch { courier, epoch, id, term, journals });
            }
            OwnerOutput::Propose(command) => self.send(WorldEvent::Propose(command)),
            OwnerOutput::Reply { to, id, request, reply } => {
                let message = SettlementMessage::Reply { id, request, reply };
                self.send(WorldEvent::Message { to: courier_index(&to), message, from: courier });
            }
            OwnerOutput::Send { id, position, attempt, send_deadline, session, opens_session, .. } => {
                let call = Call { id, position, attempt, send_deadline, session, opens_session };
                self.send(WorldEvent::Call { courier, epoch, call });
            }
            OwnerOutput::Close { id, session, opens_session } => {
                self.send(WorldEvent::CloseSession { courier, epoch, id, session, opens_session });
            }
            OwnerOutput::Drop { id, session } => {
                self.send(WorldEvent::DropSession { courier, epoch, id, session });
            }
            OwnerOutput::Pin { id, session } => self.pin(courier, id, session),
            OwnerOutput::Unpin { id, session } => {
                let pinned = self.pinned.entry((courier, id.dest)).or_default();
                pinned.remove(&(id, session));
            }
            OwnerOutput::End { id, position, end, .. } => self.observe_end(&id, position, end),
            OwnerOutput::Forget { id } => {
                let journal = JournalRef { courier: courier_name(courier), epoch };
                let journal = self.journals.get_mut(&journal).unwrap();
                journal.records.retain(|record| *record.id() != id);
            }
        }
    }

    fn pin(&mut self, courier: usize, id: SettlementId, session: u32) {
        let pinned = self.pinned.entry((courier, id.dest)).or_default();
        pinned.insert((id.clone(), session));
        let count = pinned.len();
        // After a reduction of the budget no connection is reserved until enough sessions have ended.
        if count > (self.connection_budget / 2) as usize {
            self.report_violation(format!(
                "{count} sessions pinned at {}, above the limit",
                courier_name(courier)
            ));
        }
        self.step_owned(courier, OwnerInput::Pinned { id, session });
    }

    pub fn is_current(&self, courier: usize, epoch: u64) -> bool {
        self.couriers[courier].is_up() && self.couriers[courier].epoch == epoch
    }

    /// Returns whether the event can arrive now: a paused courier neither receives nor sends, and the writes to a
    /// journal arrive in order.
    pub fn is_deliverable(&self, event: &WorldEvent) -> bool {
        let is_paused = event.recipient().is_some_and(|recipient| {
            let courier = &self.couriers[recipient.courier];
            courier.process == ProcessState::Paused
                && recipient.epoch.is_none_or(|epoch| epoch == courier.epoch)
        });
        !is_paused && !self.has_earlier_write(event)
    }

    /// Returns whether the event is a write while an earlier write to the same journal is in flight.
    fn has_earlier_write(&self, event: &WorldEvent) -> bool {
        let WorldEvent::Write { courier, epoch, seq, .. } = event else { return false };
        self.in_flight.iter().any(|other| match &other.event {
            WorldEvent::Write { courier: other_courier, epoch: other_epoch, seq: other_seq, .. } => {
                (other_courier, other_epoch) == (courier, epoch) && other_seq < seq
            }
            _ => false,
        })
    }

    /// Carries out an arriving event. `fault` is the fault of a call or a closing at the partner.
    pub fn deliver(&mut self, event: WorldEvent, fault: Option<CallFault>) {
        match event {
            WorldEvent::Submit { to, ticket, id, request } => self.submit(to, ticket, id, request),
            WorldEvent::Message { to, message, from } if self.couriers[to].is_up() => {
                self.receive(to, message, from);
            }
            WorldEvent::Propose(command) => self.append(LogEntry::Command(command)),
            WorldEvent::Write { courier, epoch, seq, records } => self.write(courier, epoch, seq, records),
            WorldEvent::Written { courier, epoch, seq, is_stored } if self.is_current(courier, epoch) => {
                let input = if is_stored { OwnerInput::Written { seq } } else { OwnerInput::Sealed };
                self.step_owned(courier, input);
            }
            WorldEvent::Fetch { courier, epoch, id, term, journals } if self.is_current(courier, epoch) => {
                let read = |journal: &JournalRef| self.journals[journal].records.clone();
                let journals = journals.iter().map(read).collect();
                self.step_owned(courier, OwnerInput::Fetched { id, term, journals });
            }
            WorldEvent::Call { courier, epoch, call } if self.is_current(courier, epoch) => {
                self.call(courier, epoch, call, fault);
            }
            WorldEvent::Answer { courier, epoch, id, attempt, outcome, session_lost }
                if self.is_current(courier, epoch) =>
            {
                self.step_owned(courier, OwnerInput::Outcome { id, attempt, outcome, session_lost });
            }
            WorldEvent::CloseSession { courier, epoch, id, session, opens_session }
                if self.is_current(courier, epoch) =>
            {
                let key = SessionKey { courier, epoch, session };
                self.close_session(key, id, opens_session, fault);
            }
            WorldEvent::CloseConfirmed { courier, epoch, id, session } if self.is_current(courier, epoch) => {
                self.step_owned(courier, OwnerInput::Confirmed { id, session });
            }
            WorldEvent::DropSession { courier, epoch, id, session } => {
                let key = SessionKey { courier, epoch, session };
                self.observations.get_mut(&id).unwrap().sessions.remove(&key);
                self.send(WorldEvent::SessionLost { courier, epoch, id, session });
            }
            WorldEvent::SessionLost { courier, epoch, id, session } if self.is_current(courier, epoch) => {
                self.step_owned(courier, OwnerInput::SessionLost { id, session });
            }
            _ => {}
        }
    }

    /// Delivers a message to a courier, which another courier or the same one has sent.
    fn receive(&mut self, to: usize, message: SettlementMessage, from: usize) {
        match message {
            SettlementMessage::Request { id, request } => {
                self.step_owned(to, OwnerInput::Request { from: courier_name(from), id, request });
            }
            SettlementMessage::Reply { id, request, reply } => {
                self.step_forwarder(to, forward::ForwardInput::Reply { id, request, reply });
            }
        }
    }

    fn write(&mut self, courier: usize, epoch: u64, seq: u64, records: Vec<SettlementRecord>) {
        let journal = JournalRef { courier: courier_name(courier), epoch };
        let journal = self.journals.get_mut(&journal).expect("each registered courier has a journal");
        let is_stored = !journal.is_sealed;
        if is_stored {
            journal.records.extend(records);
        }
        self.send(WorldEvent::Written { courier, epoch, seq, is_stored });
    }

    /// Appends an entry to the log, and checks the resulting verdicts.
    pub fn append(&mut self, entry: LogEntry) {
        let events = apply_entry(&mut self.agreed, &entry);
        self.log.push(entry);
        for event in events {
            if let SettlementEvent::Closed { id, verdict, .. } = event {
                self.observe_verdict(&id, verdict);
            }
        }
    }

    /// Applies the next entry of the log at a courier.
    pub fn apply_next(&mut self, index: usize) {
        let courier = &mut self.couriers[index];
        let entry = self.log[courier.applied].clone();
        courier.applied += 1;
        let events = apply_entry(&mut courier.registry, &entry);
        if let LogEntry::CourierGone { journal, .. } = &entry
            && *journal == self.journal_of(index)
        {
            return self.step_owned(index, OwnerInput::Sealed);
        }
        for event in events {
            self.step_owned(index, OwnerInput::Committed(event.clone()));
            self.step_forwarder(index, forward::ForwardInput::Committed(event));
        }
    }

    /// Returns the next timeout of a courier or the partner.
    pub fn wake_at(&self) -> Option<Micros> {
        let up = self.couriers.iter().filter(|courier| courier.is_up());
        let wakes = up.flat_map(|courier| [courier.owned.wake_at(), courier.forwarder.wake_at()]).flatten();
        wakes.chain(self.partner_wake_at()).min()
    }

    /// Handles all timeouts that are due at the current time.
    pub fn tick(&mut self) {
        self.close_idle_sessions();
        let now = self.now;
        for index in 0..self.couriers.len() {
            let courier = &self.couriers[index];
            let is_due = |at: Option<Micros>| courier.is_up() && at.is_some_and(|at| at <= now);
            let owned_is_due = is_due(courier.owned.wake_at());
            let forwarder_is_due = is_due(courier.forwarder.wake_at());
            if owned_is_due {
                self.step_owned(index, OwnerInput::Tick);
            }
            if forwarder_is_due {
                self.step_forwarder(index, forward::ForwardInput::Tick);
            }
        }
    }
}

fn apply_entry(registry: &mut SettlementRegistry, entry: &LogEntry) -> Vec<SettlementEvent> {
    match entry {
        LogEntry::Command(command) => registry.apply(command),
        LogEntry::CourierGone { journal, successors } => {
            registry.end_registration(&journal.courier, journal.epoch, successors)
        }
    }
}
