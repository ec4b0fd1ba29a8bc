//! A member of the core: the replicated register, and changes and reads of the control state while this member is primary.
//! No I/O, no clock.

use crate::breaks::{self, Break};
use crate::state::ControlState;
use quillmount_replication::{Micros, RegisterAction, RegisterReplica, Timing};
use quillmount_wire::messages::{Accepted, DiskId, Epoch, Register, RegisterMessage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A core member without an answer for so long may be replaced by a newcomer, microseconds.
const REPLACEABLE_AFTER: Micros = 2_000_000;

/// A change or a read that waits for its confirmation.
pub type Ticket = u64;
/// A register on its way to the disk.
pub type RegisterWrite = u64;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    Send {
        to: DiskId,
        message: RegisterMessage,
    },
    /// Sync the register, in the order of these outputs; [`Member::persisted`] is told.
    Persist {
        write: RegisterWrite,
        register: Register,
    },
    /// What the ticket stands for is certain: a change, and all that its outcome rests on, is committed; a read shows the
    /// newest state.
    Confirmed {
        ticket: Ticket,
    },
    /// It can't be made certain here: a change may or may not come into force.
    Uncertain {
        ticket: Ticket,
    },
    /// Elected; nothing is served before the first commit of this epoch.
    Elected {
        epoch: Epoch,
    },
    SteppedDown,
    /// There is news for those who poll.
    StateChanged,
    /// Another value was accepted: it may name other members.
    Accepted,
}

/// Nothing was changed: this member does not serve as primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotPrimary;

/// What a primary works on.
#[derive(Default)]
struct PendingWork {
    /// Committed state with all changes since.
    state: ControlState,
    /// Counts changes of `state`.
    generation: u64,
    /// Generation of the last proposal, and of the last one that was committed.
    proposed: u64,
    committed: u64,
    /// Changes by the generation that they wait for.
    changes: BTreeMap<Ticket, u64>,
    reads: BTreeSet<Ticket>,
    /// When members last answered.
    answered: BTreeMap<DiskId, Micros>,
}

/// A member of the core.
pub struct Member {
    me: DiskId,
    replica: RegisterReplica,
    work: PendingWork,
    /// State committed in this epoch, while this member is primary.
    committed: Option<Rc<ControlState>>,
    elected: Micros,
    writes: BTreeMap<RegisterWrite, Vec<RegisterAction>>,
    last_id: u64,
    actions: Vec<MemberAction>,
}

impl Member {
    /// A member with what its disk holds; `tolerated_failures` disks may be lost at once.
    pub fn new(me: DiskId, tolerated_failures: usize, register: Register, now: Micros) -> Member {
        Member {
            me,
            replica: RegisterReplica::new(me, tolerated_failures, register, Timing::default(), now),
            work: PendingWork::default(),
            committed: None,
            elected: 0,
            writes: BTreeMap::new(),
            last_id: 0,
            actions: Vec::new(),
        }
    }

    pub fn replica(&self) -> &RegisterReplica {
        &self.replica
    }

    /// The epoch in which this member serves: elected, and its first value committed.
    pub fn serving(&self) -> Option<Epoch> {
        self.committed.as_ref()?;
        self.replica.primary_epoch()
    }

    /// State committed in this epoch.
    pub fn committed(&self) -> Option<Rc<ControlState>> {
        self.committed.clone()
    }

    /// State committed in this epoch, while a majority was heard so lately that it is at most that old.
    pub fn committed_if_recent(&self, now: Micros) -> Option<Rc<ControlState>> {
        let recent = self.replica.has_recent_majority(now) || breaks::on(Break::StaleTables);
        self.committed.clone().filter(|_| recent)
    }

    /// For how long this member has been primary, microseconds.
    pub fn time_as_primary(&self, now: Micros) -> Micros {
        now.saturating_sub(self.elected)
    }

    /// Members that have not answered for long.
    pub fn silent_members(&self, now: Micros) -> BTreeSet<DiskId> {
        let silent = |disk: &DiskId| {
            let last = self.work.answered.get(disk).copied().unwrap_or(self.elected);
            *disk != self.me && now.saturating_sub(last) > REPLACEABLE_AFTER
        };
        self.replica.members().iter().copied().filter(silent).collect()
    }

    /// Writes the first value of the whole system.
    pub fn bootstrap(&mut self, state: &ControlState, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.bootstrap(state.core_disks(), state.encode(), now);
        self.perform(actions, now);
        self.take_actions()
    }

    /// Leaves the primary's place, before the process stops.
    pub fn resign(&mut self, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.resign(now);
        self.perform(actions, now);
        self.take_actions()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.tick(now);
        self.perform(actions, now);
        self.propose(now);
        self.take_actions()
    }

    /// Takes a message of another member.
    pub fn receive(&mut self, from: DiskId, message: RegisterMessage, now: Micros) -> Vec<MemberAction> {
        let actions = self.handle_message(from, message, now);
        self.perform(actions, now);
        self.take_actions()
    }

    fn handle_message(&mut self, from: DiskId, message: RegisterMessage, now: Micros) -> Vec<RegisterAction> {
        if matches!(message, RegisterMessage::HeartbeatReply { .. } | RegisterMessage::Acknowledge { .. }) {
            self.work.answered.insert(from, now);
        }
        let accepts = matches!(message, RegisterMessage::Accept { .. });
        let actions = self.replica.receive(from, message, now);
        if accepts {
            self.actions.push(MemberAction::Accepted);
        }
        actions
    }

    /// A register is synced; one that could not be written is not told of.
    pub fn persisted(&mut self, write: RegisterWrite, now: Micros) -> Vec<MemberAction> {
        let then = self.writes.remove(&write).unwrap_or_default();
        self.perform(then, now);
        self.take_actions()
    }

    /// A register could not be written: nothing that was to follow does.
    pub fn persist_failed(&mut self, write: RegisterWrite) {
        self.writes.remove(&write);
    }

    /// Changes the control state. The outcome holds once [`MemberAction::Confirmed`] comes for the ticket.
    pub fn change<T>(
        &mut self,
        change: impl FnOnce(&mut ControlState) -> T,
        now: Micros,
    ) -> Result<(T, Ticket, Vec<MemberAction>), NotPrimary> {
        if self.serving().is_none() {
            return Err(NotPrimary);
        }
        let before = self.work.state.clone();
        let outcome = change(&mut self.work.state);
        if self.work.state != before {
            self.work.generation += 1;
        }
        let ticket = self.allocate_id();
        let generation = self.work.generation;
        if generation > self.work.committed {
            self.work.changes.insert(ticket, generation);
            self.propose(now);
        } else {
            // Nothing was changed and nothing is under way: what is committed is the newest only if a majority says so.
            self.read(ticket, now);
        }
        Ok((outcome, ticket, self.take_actions()))
    }

    /// Asks a majority whether this member still is primary: what is committed when [`MemberAction::Confirmed`] comes is the
    /// newest there was when this was asked.
    pub fn confirm(&mut self, now: Micros) -> Result<(Ticket, Vec<MemberAction>), NotPrimary> {
        if self.serving().is_none() {
            return Err(NotPrimary);
        }
        let ticket = self.allocate_id();
        self.read(ticket, now);
        Ok((ticket, self.take_actions()))
    }

    fn read(&mut self, ticket: Ticket, now: Micros) {
        if breaks::on(Break::ReadWithoutRound) {
            return self.actions.push(MemberAction::Confirmed { ticket });
        }
        self.work.reads.insert(ticket);
        let actions = self.replica.confirm_read(ticket, now);
        self.perform(actions, now);
    }

    fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn take_actions(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.actions)
    }

    fn perform(&mut self, actions: Vec<RegisterAction>, now: Micros) {
        let mut queue: VecDeque<RegisterAction> = actions.into();
        while let Some(action) = queue.pop_front() {
            match action {
                RegisterAction::Send { to, message } if to == self.me => {
                    queue.extend(self.handle_message(to, message, now));
                }
                RegisterAction::Send { to, message } => self.actions.push(MemberAction::Send { to, message }),
                RegisterAction::Persist { register, then } => self.persist(register, then, &mut queue),
                RegisterAction::Committed { accepted } => self.on_committed(&accepted, now),
                RegisterAction::Elected { epoch } => self.on_elected(epoch, now),
                RegisterAction::SteppedDown => self.on_stepped_down(),
                RegisterAction::ReadConfirmed { read } => {
                    if self.work.reads.remove(&read) {
                        self.actions.push(MemberAction::Confirmed { ticket: read });
                    }
                }
            }
        }
    }

    fn persist(
        &mut self,
        register: Register,
        then: Vec<RegisterAction>,
        queue: &mut VecDeque<RegisterAction>,
    ) {
        let write = self.allocate_id();
        if breaks::on(Break::AnsweredBeforeSync) {
            queue.extend(then);
        } else {
            self.writes.insert(write, then);
        }
        self.actions.push(MemberAction::Persist { write, register });
    }

    fn on_elected(&mut self, epoch: Epoch, now: Micros) {
        self.abandon_work();
        self.elected = now;
        self.actions.push(MemberAction::Elected { epoch });
    }

    fn on_stepped_down(&mut self) {
        self.abandon_work();
        self.actions.push(MemberAction::SteppedDown);
    }

    fn abandon_work(&mut self) {
        self.committed = None;
        let work = std::mem::take(&mut self.work);
        for ticket in work.changes.into_keys().chain(work.reads) {
            self.actions.push(MemberAction::Uncertain { ticket });
        }
    }

    fn on_committed(&mut self, accepted: &Accepted, now: Micros) {
        // A value that can't be read can't be served: this member does not begin, or goes on with what it had.
        let Ok(state) = ControlState::decode(&accepted.value.payload) else { return };
        let work = &mut self.work;
        if self.committed.is_none() {
            work.state = state.clone();
        }
        work.committed = work.proposed;
        let committed = work.committed;
        let (done, waiting) = std::mem::take(&mut work.changes)
            .into_iter()
            .partition(|(_, generation)| *generation <= committed);
        work.changes = waiting;
        let done: BTreeMap<Ticket, u64> = done;
        self.committed = Some(Rc::new(state));
        self.actions.extend(done.into_keys().map(|ticket| MemberAction::Confirmed { ticket }));
        self.actions.push(MemberAction::StateChanged);
        self.propose(now);
    }

    /// Proposes the changes that wait, once the register is idle.
    fn propose(&mut self, now: Micros) {
        let due = self.work.generation > self.work.proposed && self.committed.is_some();
        if !due || !self.replica.can_propose() {
            return;
        }
        self.work.proposed = self.work.generation;
        if breaks::on(Break::ConfirmedWhenProposed) {
            let all = std::mem::take(&mut self.work.changes);
            self.actions.extend(all.into_keys().map(|ticket| MemberAction::Confirmed { ticket }));
        }
        let (members, payload) = (self.work.state.core_disks(), self.work.state.encode());
        let actions = self.replica.propose(members, payload, now);
        self.perform(actions, now);
    }
}
