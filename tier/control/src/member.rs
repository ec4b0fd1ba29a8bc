//! A member of the core: the replicated register, and changes and reads of the control state while it is primary.
//!
//! [`Member`] does no I/O and reads no clock. The caller
//! - creates it with the register that is on the disk ([`Member::new`]),
//! - passes in every message ([`Member::receive`]), every write that ended ([`Member::write_ended`]) and, every few tens
//!   of milliseconds, the time ([`Member::tick`]),
//! - submits changes ([`Member::change`]) and reads ([`Member::confirm`]), each of which gets a [`Ticket`],
//! - and carries out the [`MemberAction`]s that each call returns, in their order.
//!
//! Messages of a member to itself are delivered here. The replication itself is that of
//! [`RegisterReplica`].

mod action;
mod pending;

use self::pending::PendingWork;
use crate::breaks::{self, Break};
use crate::state::ControlState;
use quillmount_replication::{ReadId, RegisterAction, RegisterReplica, Timing};
use quillmount_wire::Micros;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, Register, RegisterMessage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub use self::action::{MemberAction, RegisterWrite, SubmittedChange, SubmittedRead, Ticket, WriteOutcome};

/// A core member that did not answer for this time may be replaced by another machine, microseconds.
const REPLACEABLE_AFTER: Micros = 2_000_000;

/// The request was rejected and nothing changed: this member does not serve as primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this core member does not serve as primary")]
pub struct NotPrimary;

/// A member of the core.
pub struct Member {
    me: DiskId,
    replica: RegisterReplica,
    /// Reset when this member is elected and when it steps down.
    work: PendingWork,
    /// State committed in this epoch; `None` while this member does not serve as primary.
    committed: Option<Rc<ControlState>>,
    /// When this member was last elected.
    elected_at: Micros,
    /// What follows each write that is in flight.
    writes: BTreeMap<RegisterWrite, Vec<RegisterAction>>,
    /// The last ticket or write that was numbered.
    last_id: u64,
    /// Actions to be returned by the current call.
    actions: Vec<MemberAction>,
}

impl Member {
    /// A member with the register that its disk holds; `tolerated_failures` disks may be lost at once.
    pub fn new(me: DiskId, tolerated_failures: usize, register: Register, now: Micros) -> Member {
        Member {
            me,
            replica: RegisterReplica::new(me, tolerated_failures, register, Timing::default(), now),
            work: PendingWork::default(),
            committed: None,
            elected_at: 0,
            writes: BTreeMap::new(),
            last_id: 0,
            actions: Vec::new(),
        }
    }

    /// The replica of the register.
    #[must_use]
    pub fn replica(&self) -> &RegisterReplica {
        &self.replica
    }

    /// The epoch in which this member serves: it was elected, and its first value is committed.
    #[must_use]
    pub fn serving(&self) -> Option<Epoch> {
        self.committed.as_ref()?;
        self.replica.primary_epoch()
    }

    /// The newest state committed in this epoch; `None` unless this member serves.
    #[must_use]
    pub fn committed(&self) -> Option<Rc<ControlState>> {
        self.committed.clone()
    }

    /// As [`Member::committed`], but `None` also if no majority was heard from recently. The state is at most as old
    /// as the last contact with a majority.
    #[must_use]
    pub fn committed_if_recent(&self, now: Micros) -> Option<Rc<ControlState>> {
        let recent = self.replica.has_recent_majority(now) || breaks::is_enabled(Break::StaleTables);
        self.committed.clone().filter(|_| recent)
    }

    /// Time since this member was last elected, microseconds. Meaningful while it is primary.
    #[must_use]
    pub fn time_as_primary(&self, now: Micros) -> Micros {
        now.saturating_sub(self.elected_at)
    }

    /// Members, this one aside, that have not answered this primary for 2 seconds.
    #[must_use]
    pub fn silent_members(&self, now: Micros) -> BTreeSet<DiskId> {
        let silent = |disk: &DiskId| {
            let last_reply = self.replica.last_reply(*disk).unwrap_or(self.elected_at);
            *disk != self.me && now.saturating_sub(last_reply) > REPLACEABLE_AFTER
        };
        self.replica.members().iter().copied().filter(silent).collect()
    }

    /// Proposes the first state of a new system, on one member only; without effect if there is a register already.
    pub fn bootstrap(&mut self, state: &ControlState, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.bootstrap(state.core_disks(), state.encode(), now);
        self.perform(actions, now);
        self.take_actions()
    }

    /// Hands the leadership over to another member, before the process stops.
    pub fn resign(&mut self, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.resign(now);
        self.perform(actions, now);
        self.take_actions()
    }

    /// Advances the time.
    pub fn tick(&mut self, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.tick(now);
        self.perform(actions, now);
        self.propose(now);
        self.take_actions()
    }

    /// Handles a message of another member.
    pub fn receive(&mut self, from: DiskId, message: RegisterMessage, now: Micros) -> Vec<MemberAction> {
        let actions = self.handle_message(from, message, now);
        self.perform(actions, now);
        self.take_actions()
    }

    /// Continues after a write that has ended. What rests on a write that failed is dropped: the sender of the message that
    /// caused it sends again. A primary hands over then.
    pub fn write_ended(
        &mut self,
        write: RegisterWrite,
        outcome: WriteOutcome,
        now: Micros,
    ) -> Vec<MemberAction> {
        let then = self.writes.remove(&write).unwrap_or_default();
        if outcome == WriteOutcome::Synced || breaks::is_enabled(Break::FailedWriteCounts) {
            self.perform(then, now);
        } else if !breaks::is_enabled(Break::PrimaryWithoutDisk) {
            let actions = self.replica.write_failed(now);
            self.perform(actions, now);
        }
        self.take_actions()
    }

    /// Number of writes that have not ended.
    #[must_use]
    pub fn writes_in_flight(&self) -> usize {
        self.writes.len()
    }

    /// Applies a change to the control state.
    ///
    /// The outcome of `change` is valid only once [`MemberAction::Confirmed`] is returned for the ticket, by this call
    /// or a later one. A change that alters nothing is confirmed as well, once the state that it saw is known to be
    /// the newest.
    ///
    /// # Errors
    /// This member does not serve as primary; nothing was changed.
    pub fn change<T>(
        &mut self,
        change: impl FnOnce(&mut ControlState) -> T,
        now: Micros,
    ) -> Result<SubmittedChange<T>, NotPrimary> {
        if self.serving().is_none() {
            return Err(NotPrimary);
        }
        let outcome = self.work.apply(change);
        let ticket = Ticket(self.allocate_id());
        if self.work.has_uncommitted_changes() {
            self.work.await_commit(ticket);
            self.propose(now);
        } else {
            // Nothing changed and nothing is in flight: the outcome rests on the committed state, which is the newest
            // only if a majority confirms that this member still is primary.
            self.read(ticket, now);
        }
        Ok(SubmittedChange { outcome, ticket, actions: self.take_actions() })
    }

    /// Begins a linearizable read: asks a majority whether this member still is primary.
    ///
    /// Once [`MemberAction::Confirmed`] is returned for the ticket, [`Member::committed`] is at least as new as
    /// any state that was committed when the read began.
    ///
    /// # Errors
    /// This member does not serve as primary.
    pub fn confirm(&mut self, now: Micros) -> Result<SubmittedRead, NotPrimary> {
        if self.serving().is_none() {
            return Err(NotPrimary);
        }
        let ticket = Ticket(self.allocate_id());
        self.read(ticket, now);
        Ok(SubmittedRead { ticket, actions: self.take_actions() })
    }

    fn read(&mut self, ticket: Ticket, now: Micros) {
        if breaks::is_enabled(Break::ReadWithoutRound) {
            self.actions.push(MemberAction::Confirmed { ticket });
            return;
        }
        self.work.await_read(ticket);
        let actions = self.replica.confirm_read(ticket.0, now);
        self.perform(actions, now);
    }

    fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn take_actions(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.actions)
    }

    fn handle_message(&mut self, from: DiskId, message: RegisterMessage, now: Micros) -> Vec<RegisterAction> {
        let is_proposal = matches!(message, RegisterMessage::Accept { .. });
        let actions = self.replica.receive(from, message, now);
        if is_proposal {
            self.actions.push(MemberAction::Accepted);
        }
        actions
    }

    /// Carries out actions of the replica, and those that follow from its messages to itself.
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
                RegisterAction::ReadConfirmed { read } => self.on_read_confirmed(read),
            }
        }
    }

    fn persist(
        &mut self,
        register: Register,
        then: Vec<RegisterAction>,
        queue: &mut VecDeque<RegisterAction>,
    ) {
        let write = RegisterWrite(self.allocate_id());
        if breaks::is_enabled(Break::AnsweredBeforeSync) {
            queue.extend(then);
        } else {
            self.writes.insert(write, then);
        }
        self.actions.push(MemberAction::Persist { write, register });
    }

    fn on_committed(&mut self, accepted: &Accepted, now: Micros) {
        // A value that can't be decoded can't be served: this member does not begin to serve, or goes on with the
        // state that it had.
        let Ok(state) = ControlState::decode(&accepted.value.payload) else { return };
        if self.committed.is_none() {
            self.work.state = state.clone();
        }
        let confirmed = self.work.record_commit();
        self.committed = Some(Rc::new(state));
        self.push_confirmed(confirmed);
        self.actions.push(MemberAction::StateChanged);
        self.propose(now);
    }

    fn on_elected(&mut self, epoch: Epoch, now: Micros) {
        self.abandon_work();
        self.elected_at = now;
        self.actions.push(MemberAction::Elected { epoch });
    }

    fn on_stepped_down(&mut self) {
        self.abandon_work();
        self.actions.push(MemberAction::SteppedDown);
    }

    /// The replica identifies a read by the number of its ticket.
    fn on_read_confirmed(&mut self, read: ReadId) {
        let ticket = Ticket(read);
        if self.work.finish_read(ticket) {
            self.actions.push(MemberAction::Confirmed { ticket });
        }
    }

    /// Ends the work of an epoch: whatever was not confirmed is uncertain.
    fn abandon_work(&mut self) {
        self.committed = None;
        let work = std::mem::take(&mut self.work);
        self.actions.extend(work.into_tickets().map(|ticket| MemberAction::Uncertain { ticket }));
    }

    /// Proposes the changes so far, unless a proposal is in flight.
    fn propose(&mut self, now: Micros) {
        let due = self.work.has_unproposed_changes() && self.committed.is_some();
        if !due || !self.replica.can_propose() {
            return;
        }
        self.work.record_proposal();
        if breaks::is_enabled(Break::ConfirmedWhenProposed) {
            let all = self.work.take_changes();
            self.push_confirmed(all);
        }
        let members = self.work.state.core_disks();
        let payload = self.work.state.encode();
        let actions = self.replica.propose(members, payload, now);
        self.perform(actions, now);
    }

    fn push_confirmed(&mut self, tickets: Vec<Ticket>) {
        self.actions.extend(tickets.into_iter().map(|ticket| MemberAction::Confirmed { ticket }));
    }
}
