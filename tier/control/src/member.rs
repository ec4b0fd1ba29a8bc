//! A member of the core: a replica of the register, and changes and reads of the control state while it is primary.
//!
//! [`Member`] does no I/O and reads no clock. The caller
//! - creates it with the register that is on the disk ([`Member::new`]),
//! - passes in every message ([`Member::receive`]), every completed write ([`Member::write_ended`]) and, every few tens
//!   of milliseconds, the time ([`Member::tick`]),
//! - submits changes ([`Member::change`]) and reads ([`Member::confirm`]), each of which gets a [`Ticket`],
//! - and performs the [`MemberAction`]s that each call returns, in order.
//!
//! Messages of a member to itself are delivered here. [`RegisterReplica`] implements the replication protocol.

mod action;
mod error;
mod pending;

use self::pending::{CommittedChanges, PendingWork};
use crate::breaks::{self, Break};
use crate::state::ControlState;
use quillmount_replication::{Position, ReadId, RegisterAction, RegisterReplica, Timing};
use quillmount_wire::Micros;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, Register, RegisterMessage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub use self::action::{MemberAction, RegisterWrite, SubmittedChange, SubmittedRead, Ticket, WriteOutcome};
pub use self::error::{ChangeRejected, NotPrimary};

/// Time without a reply after which a core member may be replaced by another machine, microseconds.
const REPLACEABLE_AFTER: Micros = 2_000_000;

/// A write of the register whose outcome was not reported yet.
struct PendingWrite {
    /// Position of the accepted value in it.
    written: Position,
    /// Actions to perform once it is synced.
    then: Vec<RegisterAction>,
}

/// A core member: a replica of the register, and the pending changes and reads while it is primary.
pub struct Member {
    own_disk: DiskId,
    replica: RegisterReplica,
    /// Changes and reads of the current epoch; reset when this member is elected and when it steps down.
    work: PendingWork,
    /// Newest state committed in this epoch; `None` while this member does not serve as primary.
    committed: Option<Rc<ControlState>>,
    /// When this member was last elected.
    elected_at: Micros,
    /// Writes in flight.
    writes: BTreeMap<RegisterWrite, PendingWrite>,
    /// Last number assigned; tickets and writes share one sequence.
    last_id: u64,
    /// Actions that the current call will return.
    actions: Vec<MemberAction>,
}

impl Member {
    /// A member with the register read from its disk. Up to `tolerated_failures` disks may be lost at once.
    pub fn new(own_disk: DiskId, tolerated_failures: usize, register: Register, now: Micros) -> Member {
        Member {
            own_disk,
            replica: RegisterReplica::new(own_disk, tolerated_failures, register, Timing::default(), now),
            work: PendingWork::default(),
            committed: None,
            elected_at: 0,
            writes: BTreeMap::new(),
            last_id: 0,
            actions: Vec::new(),
        }
    }

    /// The replica of the register, for inspection of its members and its accepted value.
    #[must_use]
    pub fn replica(&self) -> &RegisterReplica {
        &self.replica
    }

    /// The epoch in which this member serves: it was elected in it and has committed a first value.
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

    /// Like [`Member::committed`], but also `None` if this member has had no recent contact with a majority. The
    /// state is at most as old as that contact.
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

    /// The other members that have not replied to this primary for 2 seconds.
    #[must_use]
    pub fn silent_members(&self, now: Micros) -> BTreeSet<DiskId> {
        let silent = |disk: &DiskId| {
            let last_reply = self.replica.last_reply(*disk).unwrap_or(self.elected_at);
            *disk != self.own_disk && now.saturating_sub(last_reply) > REPLACEABLE_AFTER
        };
        self.replica.members().iter().copied().filter(silent).collect()
    }

    /// Proposes the first state of a new system. Call it on one member only; it has no effect if the register has a
    /// value.
    pub fn bootstrap(&mut self, state: &ControlState, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.bootstrap(state.core_disks(), state.encode(), now);
        self.perform(actions, now);
        self.take_actions()
    }

    /// Hands leadership over to another member before the process stops.
    pub fn resign(&mut self, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.resign(now);
        self.perform(actions, now);
        self.take_actions()
    }

    /// Advances the time: runs timeouts and heartbeats that are due, and proposes pending changes.
    pub fn tick(&mut self, now: Micros) -> Vec<MemberAction> {
        let actions = self.replica.tick(now);
        self.perform(actions, now);
        self.propose(now);
        self.take_actions()
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, from: DiskId, message: RegisterMessage, now: Micros) -> Vec<MemberAction> {
        let actions = self.handle_message(from, message, now);
        self.perform(actions, now);
        self.take_actions()
    }

    /// Handles the end of a write. After a failed write the actions that depend on it are dropped, as the sender of the
    /// message that caused it will retry, and a primary hands leadership over.
    pub fn write_ended(
        &mut self,
        write: RegisterWrite,
        outcome: WriteOutcome,
        now: Micros,
    ) -> Vec<MemberAction> {
        let Some(PendingWrite { written, then }) = self.writes.remove(&write) else { return Vec::new() };
        if outcome == WriteOutcome::Synced || breaks::is_enabled(Break::FailedWriteCounts) {
            self.replica.write_synced(written);
            self.perform(then, now);
        } else if breaks::is_enabled(Break::PrimaryWithoutDisk) {
            self.replica.write_synced(written);
        } else {
            let actions = self.replica.write_failed(written, now);
            self.perform(actions, now);
        }
        self.take_actions()
    }

    /// Number of writes whose outcome was not reported yet.
    #[must_use]
    pub fn writes_in_flight(&self) -> usize {
        self.writes.len()
    }

    /// Applies a change to the control state.
    ///
    /// The outcome of `change` is valid only once [`MemberAction::Confirmed`] is returned for the ticket, by this call
    /// or a later one. A change that alters nothing is also confirmed, once the state that it read is committed and a
    /// majority has confirmed after that that this member is still primary.
    ///
    /// # Errors
    /// [`ChangeRejected`] if this member does not serve as primary, or if the changed state is too large; nothing was changed.
    pub fn change<T>(
        &mut self,
        change: impl FnOnce(&mut ControlState) -> T,
        now: Micros,
    ) -> Result<SubmittedChange<T>, ChangeRejected> {
        if self.serving().is_none() {
            return Err(NotPrimary.into());
        }
        let (outcome, effect) = self.work.apply(change)?;
        let ticket = Ticket(self.allocate_id());
        if self.work.has_uncommitted_changes() {
            self.work.await_commit(ticket, effect);
            self.propose(now);
        } else {
            // Nothing changed and nothing is in flight: the outcome depends on the committed state, which is the newest
            // only if a majority confirms that this member is still primary.
            self.read(ticket, now);
        }
        Ok(SubmittedChange { outcome, ticket, actions: self.take_actions() })
    }

    /// Starts a linearizable read: a majority has to confirm that this member is still primary.
    ///
    /// Once [`MemberAction::Confirmed`] is returned for the ticket, [`Member::committed`] is at least as new as
    /// any state that was committed when the read started.
    ///
    /// # Errors
    /// [`NotPrimary`] if this member does not serve as primary.
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

    /// Performs actions of the replica, and those that result from its messages to itself.
    fn perform(&mut self, actions: Vec<RegisterAction>, now: Micros) {
        let mut queue: VecDeque<RegisterAction> = actions.into();
        while let Some(action) = queue.pop_front() {
            match action {
                RegisterAction::Send { to, message } if to == self.own_disk => {
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
        let written = Position::of_newest(register.accepted.as_ref());
        let mut pending = PendingWrite { written, then };
        if breaks::is_enabled(Break::AnsweredBeforeSync) {
            queue.extend(std::mem::take(&mut pending.then));
        }
        self.writes.insert(write, pending);
        self.actions.push(MemberAction::Persist { write, register });
    }

    fn on_committed(&mut self, accepted: &Accepted, now: Micros) {
        // A value that cannot be decoded cannot be served: this member does not start to serve, or continues with the
        // state that it already has.
        let Ok(state) = ControlState::decode(&accepted.value.payload) else { return };
        if self.committed.is_none() {
            self.work.state = state.clone();
        }
        let CommittedChanges { altered, unaltered } = self.work.record_commit();
        self.committed = Some(Rc::new(state));
        self.push_confirmed(altered);
        self.actions.push(MemberAction::StateChanged);
        unaltered.into_iter().for_each(|ticket| self.read(ticket, now));
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

    /// Confirms a pending read. Its [`ReadId`] is the number of its ticket.
    fn on_read_confirmed(&mut self, read: ReadId) {
        let ticket = Ticket(read);
        if self.work.finish_read(ticket) {
            self.actions.push(MemberAction::Confirmed { ticket });
        }
    }

    /// Discards the pending work of an epoch and reports every unconfirmed change and read as uncertain.
    fn abandon_work(&mut self) {
        self.committed = None;
        let work = std::mem::take(&mut self.work);
        self.actions.extend(work.into_tickets().map(|ticket| MemberAction::Uncertain { ticket }));
    }

    /// Proposes all changes that are not proposed yet, unless a proposal is in flight.
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
