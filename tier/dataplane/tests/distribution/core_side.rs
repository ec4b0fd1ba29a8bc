//! Core members: they exchange messages of the replicated register, answer polls, and read the endpoint list.

use crate::answers::{self, PollAnswer, response_bytes};
use crate::fixtures;
use crate::machine::{MachineId, address, request_bytes};
use crate::world::{Event, Message, World};
use quillmount_control::polls::{PublishedTables, is_empty, needs_admission, size};
use quillmount_control::{
    Directory, Leases, MemberAction, RegisterWrite, Saturated, Ticket, TimeLimits, TransmissionBudget,
    WriteOutcome,
};
use quillmount_test_support::simulation::{MILLI, Simulation, Time};
use quillmount_wire::messages::{ChangedTables, DiskId, Epoch, Poll, RegisterMessage, Request, Response};
use quillmount_wire::settings::SloSettings;
use std::rc::Rc;

/// Duration of a write of the register to disk.
const WRITE_TIME: Time = MILLI;
/// Interval between two reads of the endpoint list by the primary.
const LIST_INTERVAL: Time = 600 * MILLI;
/// Duration of a read of the endpoint list.
const READ_TIME: Time = 5 * MILLI;

/// Processing stage of a poll at the primary.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The first poll of a process waits until a majority confirms the primary's tables.
    Confirming,
    /// The poll was not checked for newer tables yet.
    Ready,
    /// The poll waits for newer tables.
    Waiting,
    /// The response waits for link bandwidth.
    Queued {
        /// Time at which the response is sent, or at which the poll is rejected.
        deadline: Time,
        /// Whether the response is sent at that time; otherwise the poll is rejected.
        admitted: bool,
    },
}

/// A poll that the primary has not answered yet.
pub struct PendingPoll {
    pub path: Vec<MachineId>,
    poll: Rc<Poll>,
    stage: Stage,
    arrived_at: Time,
    deadline: Time,
}

/// The operation that waits for the confirmation of a ticket.
pub enum Waiting {
    /// A poll, by call number.
    Poll(u64),
    /// A change, by index, and the number of the call that sent it.
    Change { change: usize, call: u64 },
}

/// The stage of a poll whose response has to wait for link bandwidth; `None` if it can be sent immediately.
fn queue(
    transmission: &mut TransmissionBudget,
    answer: &ChangedTables,
    arrived_at: Time,
    now: Time,
) -> Option<Stage> {
    if is_empty(answer) {
        return None;
    }
    match transmission.reserve(size(answer), arrived_at, now) {
        Ok(0) => None,
        Ok(delay) => Some(Stage::Queued { deadline: now + delay, admitted: true }),
        Err(Saturated { retry_delay }) => {
            Some(Stage::Queued { deadline: now + retry_delay, admitted: false })
        }
    }
}

impl World {
    /// Carries out the actions that a member returned.
    pub fn perform(&mut self, id: MachineId, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send_register(id, to, message),
                MemberAction::Persist { write, .. } => {
                    self.schedule(self.now() + WRITE_TIME, Event::Written { to: id, write });
                }
                MemberAction::Confirmed { ticket } => self.on_confirmed(id, ticket, true),
                MemberAction::Uncertain { ticket } => self.on_confirmed(id, ticket, false),
                MemberAction::Elected { epoch } => {
                    self.record_election(epoch);
                    self.forget_primary_state(id);
                }
                MemberAction::SteppedDown => self.forget_primary_state(id),
                MemberAction::StateChanged => {
                    self.record_service(id);
                    let state = &mut self.machines[id].state;
                    if let Some(committed) = state.member.as_ref().and_then(|member| member.committed()) {
                        state.history.record(&committed);
                    }
                    state.changed = true;
                }
                MemberAction::Accepted => self.machines[id].state.learn_members(),
            }
        }
    }

    fn send_register(&mut self, from: MachineId, disk: DiskId, message: RegisterMessage) {
        let Some(to) = self.machines.iter().position(|machine| machine.node.disk == disk) else { return };
        let from_disk = self.machines[from].node.disk;
        let request = Request::Register { from: from_disk, address: address(from), to: disk, message };
        let bytes = request_bytes(&request);
        if let Request::Register { message, .. } = request {
            self.send(from, to, bytes, Message::Register { from: from_disk, message });
        }
    }

    /// Handles the end of a successful register write.
    pub fn end_write(&mut self, id: MachineId, write: RegisterWrite) {
        let now = self.now();
        let actions = self.member(id).write_ended(write, WriteOutcome::Synced, now);
        self.perform(id, actions);
    }

    /// Resets the primary's state of an earlier epoch: leases and endpoint list.
    fn forget_primary_state(&mut self, id: MachineId) {
        let state = &mut self.machines[id].state;
        state.leases = Leases::default();
        let tables = &state.tables;
        state.directory = Directory::succeeding(tables.versions.directory, tables.endpoints.clone());
        state.next_list_read = 0;
        state.changed = true;
    }

    /// Handles a poll: the primary keeps it until it can answer, another member redirects it, and a courier relays it.
    pub fn receive_poll(&mut self, path: Vec<MachineId>, to: MachineId, call: u64, poll: Rc<Poll>) {
        let now = self.now();
        let state = &mut self.machines[to].state;
        let Some(member) = state.member.as_mut() else { return self.relay_poll(path, to, call, &poll) };
        let Some(committed) = member.committed().filter(|_| member.serving().is_some()) else {
            let hint = member.replica().recent_primary(now);
            let hint =
                hint.and_then(|disk| self.machines.iter().position(|machine| machine.node.disk == disk));
            return self.redirect_poll(to, path, call, hint.map(address));
        };
        assert!(
            !needs_admission(&committed, &poll),
            "the poll of a machine outside the register was received"
        );
        state.leases.renew(&poll, now);
        let is_first = poll.known_versions.configuration == 0;
        let deadline = now + poll.max_wait_ms * MILLI;
        let stage = if is_first { Stage::Confirming } else { Stage::Ready };
        state.pending_polls.insert(call, PendingPoll { path, poll, stage, arrived_at: now, deadline });
        if is_first {
            let read = member.confirm(now).expect("a serving primary accepts a confirmation");
            state.waiting.insert(read.ticket, Waiting::Poll(call));
            self.perform(to, read.actions);
        }
    }

    fn on_confirmed(&mut self, id: MachineId, ticket: Ticket, confirmed: bool) {
        match self.machines[id].state.waiting.remove(&ticket) {
            Some(Waiting::Poll(call)) if confirmed => {
                if let Some(pending) = self.machines[id].state.pending_polls.get_mut(&call) {
                    pending.stage = Stage::Ready;
                }
            }
            Some(Waiting::Poll(call)) => self.refuse_poll(id, call),
            Some(Waiting::Change { change, call }) => self.answer_change(id, change, call, confirmed),
            None => {}
        }
    }

    /// Answers the polls for which there are newer tables, and those that have expired.
    pub fn answer_polls(&mut self) {
        let now = self.now();
        for id in self.core_ids() {
            let state = &mut self.machines[id].state;
            let changed = std::mem::take(&mut state.changed);
            let is_due = |pending: &PendingPoll| match pending.stage {
                Stage::Confirming => false,
                Stage::Ready => true,
                Stage::Waiting => changed || pending.deadline <= now,
                Stage::Queued { deadline, .. } => deadline <= now,
            };
            let pending = state.pending_polls.iter();
            let due: Vec<u64> =
                pending.filter(|(_, pending)| is_due(pending)).map(|(call, _)| *call).collect();
            due.into_iter().for_each(|call| self.answer_poll(id, call));
        }
    }

    fn answer_poll(&mut self, id: MachineId, call: u64) {
        let now = self.now();
        let state = &mut self.machines[id].state;
        let Some(pending) = state.pending_polls.get_mut(&call) else { return };
        let member = state.member.as_ref().expect("a core machine has a member");
        let serving = member.serving().zip(member.committed_if_recent(now));
        let Some((epoch, committed)) = serving else { return self.refuse_poll(id, call) };
        let limits = TimeLimits::new(&SloSettings::default());
        let published = PublishedTables {
            epoch,
            state: &committed,
            history: &state.history,
            directory: &state.directory,
            leases: &state.leases,
            max_list_age: limits.max_published_list_age,
            primary: &address(id),
        };
        let Some(tables) = answers::answer(&published, &pending.poll, pending.deadline, now) else {
            pending.stage = Stage::Waiting;
            return;
        };
        match pending.stage {
            Stage::Queued { admitted: false, .. } => return self.reject_poll(id, call),
            Stage::Queued { admitted: true, .. } => {}
            Stage::Confirming | Stage::Ready | Stage::Waiting => {
                if let Some(queued) = queue(&mut state.transmission, &tables, pending.arrived_at, now) {
                    pending.stage = queued;
                    return;
                }
            }
        }
        if let Some(PendingPoll { path, poll, .. }) = state.pending_polls.remove(&call) {
            let bytes = self.lengths.of_tables(&tables, poll.known_versions);
            self.send_answer(id, path, call, bytes, PollAnswer::Tables(Box::new(tables)));
        }
    }

    /// Rejects a poll because the link is saturated.
    fn reject_poll(&mut self, id: MachineId, call: u64) {
        if let Some(PendingPoll { path, .. }) = self.machines[id].state.pending_polls.remove(&call) {
            self.send_answer(id, path, call, response_bytes(&Response::Full), PollAnswer::Busy);
        }
    }

    fn refuse_poll(&mut self, id: MachineId, call: u64) {
        if let Some(PendingPoll { path, .. }) = self.machines[id].state.pending_polls.remove(&call) {
            self.redirect_poll(id, path, call, None);
        }
    }

    /// Answers a poll at a machine that is not the primary, with the primary's address if it is known.
    pub fn redirect_poll(&mut self, id: MachineId, path: Vec<MachineId>, call: u64, hint: Option<String>) {
        let bytes = response_bytes(&Response::NotPrimary { hint: hint.clone() });
        self.send_answer(id, path, call, bytes, PollAnswer::NotPrimary { hint });
    }

    /// Sends the response to a poll to the last machine of its path.
    pub fn send_answer(
        &mut self,
        from: MachineId,
        path: Vec<MachineId>,
        call: u64,
        bytes: usize,
        answer: PollAnswer,
    ) {
        if let Some(to) = path.last().copied() {
            self.send(from, to, bytes, Message::Answer { path, call, bytes, answer });
        }
    }

    /// Starts the periodic reads of the endpoint list at primaries.
    pub fn read_lists(&mut self) {
        let now = self.now();
        for id in self.core_ids() {
            let state = &mut self.machines[id].state;
            let serving = state.member.as_ref().and_then(|member| member.serving());
            if let Some(epoch) = serving.filter(|_| now >= state.next_list_read) {
                state.next_list_read = now + LIST_INTERVAL;
                self.schedule(now + READ_TIME, Event::List { to: id, epoch, started_at: now });
            }
        }
    }

    /// Handles the endpoint list that a primary has requested; ignored if its epoch has ended.
    pub fn receive_list(&mut self, id: MachineId, epoch: Epoch, started_at: Time) {
        let state = &mut self.machines[id].state;
        let serving = state.member.as_ref().and_then(|member| member.serving());
        if serving == Some(epoch) && state.directory.replace(fixtures::endpoints(), started_at) {
            state.changed = true;
        }
    }
}
