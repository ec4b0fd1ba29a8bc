//! One replica of the register: a member of the core.
//!
//! [`RegisterReplica`] is a state machine. The caller
//! - creates it with the register that is on the disk ([`RegisterReplica::new`]),
//! - passes in every message that arrives ([`RegisterReplica::receive`]) and, every few tens of milliseconds, the
//!   time ([`RegisterReplica::tick`]),
//! - reports the outcome of every write ([`RegisterReplica::write_synced`], [`RegisterReplica::write_failed`]),
//! - proposes values ([`RegisterReplica::propose`]) and starts reads ([`RegisterReplica::confirm_read`]) on the
//!   primary,
//! - and performs the [`RegisterAction`]s that each call returns, in order. Any action that must not happen before
//!   a sync is nested in the [`RegisterAction::Persist`] that it depends on.
//!
//! The replica is deterministic: the same messages and times produce the same actions. The jitter of elections
//! comes from a generator that is seeded with the disk's identity and the start time.
//!
//! This module has the state and dispatches to `election`, `proposals` and `heartbeats`; `primary` has the state
//! that only a primary needs.

mod action;
mod disk_progress;
mod election;
mod heartbeats;
mod position;
mod primary;
mod proposals;
mod role;
mod sent_rounds;
mod timing;

use self::disk_progress::DiskProgress;
use self::role::Role;
use self::timing::ElectionTimer;
use crate::quorum;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, Register, RegisterMessage};

pub use self::action::{ReadId, RegisterAction};
pub use self::position::Position;
pub use self::timing::{MAX_PUBLISHED_STATE_AGE, Timing};

/// Value of `promised_to` when the epoch is promised to no candidate.
const NO_MEMBER: DiskId = 0;
/// Size of the largest payload of a value, bytes. Members accept no larger one, so their disks must take a register with it.
pub const MAX_PAYLOAD_BYTES: usize = 10 << 20;

/// The register of one member of the core.
#[derive(Clone, Debug)]
pub struct RegisterReplica {
    own_disk: DiskId,
    tolerated_failures: usize,
    timing: Timing,
    /// Promise and accepted value of this member, ahead of the disk by the writes in flight.
    register: Register,
    /// Which part of `register` is on the disk.
    disk_progress: DiskProgress,
    role: Role,
    election_timer: ElectionTimer,
    /// Time of the last failed write of the register.
    write_failed_at: Option<Micros>,
}

impl RegisterReplica {
    /// Creates a member from the register on its disk; `tolerated_failures` is the number of disks that may be lost
    /// at once.
    pub fn new(
        own_disk: DiskId,
        tolerated_failures: usize,
        register: Register,
        timing: Timing,
        now: Micros,
    ) -> RegisterReplica {
        let mut election_timer = ElectionTimer::new(timing.election_timeout, own_disk ^ now, now);
        election_timer.expire_after(timing.pre_vote_delay, now);
        let role = Role::Follower { primary: None };
        RegisterReplica {
            own_disk,
            tolerated_failures,
            timing,
            register,
            disk_progress: DiskProgress::all_synced(),
            role,
            election_timer,
            write_failed_at: None,
        }
    }

    /// Returns whether this member has accepted no value.
    ///
    /// A member without a value never becomes a candidate. It votes only for candidates that know it as a member by
    /// the identity of its disk. Identities are drawn on an empty disk, so a member without a value cannot have
    /// lost one.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.register.accepted.is_none()
    }

    /// Returns the promise and the accepted value of this member, including writes in flight.
    #[must_use]
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Returns the members of the newest value that this member has accepted; empty if there is none.
    #[must_use]
    pub fn members(&self) -> &[DiskId] {
        self.register.accepted.as_ref().map_or(&[], |accepted| &accepted.value.members)
    }

    /// Returns the primary if this member heard from it recently, or this member if it is primary itself.
    #[must_use]
    pub fn recent_primary(&self, now: Micros) -> Option<DiskId> {
        match &self.role {
            Role::Follower { primary } => primary.filter(|_| self.has_recent_primary(now)),
            Role::Primary(_) => Some(self.own_disk),
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Returns the epoch in which this member is primary; `None` if it is not.
    #[must_use]
    pub fn primary_epoch(&self) -> Option<Epoch> {
        self.role.as_primary().map(|primary| primary.epoch)
    }

    /// Returns whether this member is primary, has committed a value in its epoch, and has no proposal in flight.
    #[must_use]
    pub fn can_propose(&self) -> bool {
        let primary = self.role.as_primary();
        primary.is_some_and(|primary| primary.proposal.is_none() && primary.committed.is_some())
    }

    /// Advances the time: sends due heartbeats and proposals as primary, or starts an election after the election
    /// timeout.
    pub fn tick(&mut self, now: Micros) -> Vec<RegisterAction> {
        if self.role.as_primary().is_some() {
            self.tick_as_primary(now)
        } else if self.election_timer.is_expired(now) && self.can_write(now) {
            self.start_pre_vote(now)
        } else {
            Vec::new()
        }
    }

    /// Handles a message from another member, or from this member to itself.
    pub fn receive(&mut self, from: DiskId, message: RegisterMessage, now: Micros) -> Vec<RegisterAction> {
        match message {
            RegisterMessage::PreVote { epoch } => self.on_pre_vote(from, epoch, now),
            RegisterMessage::PreVoteGranted { epoch } => self.on_pre_vote_granted(from, epoch, now),
            RegisterMessage::Prepare { epoch } => self.on_prepare(from, epoch, now),
            RegisterMessage::Promise { epoch, accepted } => self.on_promise(from, epoch, accepted, now),
            RegisterMessage::Accept { accepted } => self.on_accept(from, accepted, now),
            RegisterMessage::Acknowledge { epoch, sequence } => {
                self.on_acknowledge(from, epoch, sequence, now)
            }
            RegisterMessage::Heartbeat { epoch, round } => self.on_heartbeat(from, epoch, round, now),
            RegisterMessage::HeartbeatReply { epoch, round, accepted_epoch, accepted_sequence } => {
                let newest = Position { epoch: accepted_epoch, sequence: accepted_sequence };
                self.on_heartbeat_reply(from, epoch, round, newest, now)
            }
            RegisterMessage::Reject { promised } => self.on_reject(promised, now),
            RegisterMessage::Resign { epoch, successor } => self.on_resign(from, epoch, successor, now),
        }
    }

    fn tick_as_primary(&mut self, now: Micros) -> Vec<RegisterAction> {
        if self.has_lost_majority(now) {
            return self.step_down(now, None);
        }
        let mut actions = self.try_commit(now);
        actions.extend(self.resend_proposal(now));
        actions.extend(self.send_due_heartbeats(now));
        actions
    }

    /// Returns whether the primary has not heard from a quorum within the silence timeout after its election
    /// (Ongaro 2014, section 6.2). A membership change counts once it is committed, because new members have
    /// answered nothing before that.
    fn has_lost_majority(&self, now: Micros) -> bool {
        let Some(primary) = self.role.as_primary() else { return false };
        let silence_timeout = self.timing.silence_timeout;
        let past_grace_period = now.saturating_sub(primary.elected_at) > silence_timeout;
        let responsive = primary.responsive_members(silence_timeout, now);
        let newest = primary.committed.as_ref().or(self.register.accepted.as_ref());
        past_grace_period && newest.is_some_and(|accepted| !quorum::is_quorum(&accepted.value, &responsive))
    }

    /// Returns whether this member heard from a primary so recently that an election would only disrupt it.
    fn has_recent_primary(&self, now: Micros) -> bool {
        match &self.role {
            Role::Primary(_) => true,
            Role::Follower { primary: Some(_) } => self.election_timer.is_recent(now),
            _ => false,
        }
    }

    /// Returns whether no write of the register has failed recently. A member that cannot store its own promise
    /// cannot win an election, so the promises of other members to it would be wasted.
    fn can_write(&self, now: Micros) -> bool {
        let backoff = 2 * self.timing.election_timeout;
        self.write_failed_at.is_none_or(|failed_at| now.saturating_sub(failed_at) >= backoff)
    }

    /// Records contact with a primary: follows it and restarts the election timer.
    fn follow_primary(&mut self, primary: DiskId, now: Micros) -> Vec<RegisterAction> {
        if let Role::Follower { primary: followed } = &mut self.role {
            *followed = Some(primary);
            self.election_timer.restart(now);
            return Vec::new();
        }
        self.step_down(now, Some(primary))
    }

    /// Becomes a follower from any role.
    fn step_down(&mut self, now: Micros, primary: Option<DiskId>) -> Vec<RegisterAction> {
        let was_primary = self.role.as_primary().is_some();
        self.role = Role::Follower { primary };
        self.election_timer.restart(now);
        self.election_timer.renew_jitter();
        if was_primary { vec![RegisterAction::SteppedDown] } else { Vec::new() }
    }

    /// Promises an epoch to a member: this member accepts no value of a lower epoch from then on.
    fn promise(&mut self, epoch: Epoch, to: DiskId) {
        self.register.promised = epoch;
        self.register.promised_to = to;
    }

    /// Returns whether a message of a primary has to be rejected because a higher epoch was promised.
    ///
    /// A promise of the same epoch to another candidate does not cause a rejection: the sender was elected by a
    /// majority, so the other candidate cannot be elected in that epoch. The first epoch has no election: in it a
    /// member follows only the member that it promised the epoch to, which wrote the first value.
    fn must_reject(&self, from: DiskId, epoch: Epoch) -> bool {
        let promised = self.register.promised;
        let promised_to_another = epoch == promised && self.register.promised_to != from;
        epoch < promised || (promised_to_another && epoch == Position::FIRST.epoch)
    }

    /// Rejects a message, with the promised epoch as the reason.
    fn reject(&self, to: DiskId) -> Vec<RegisterAction> {
        let message = RegisterMessage::Reject { promised: self.register.promised };
        vec![RegisterAction::Send { to, message }]
    }

    /// Handles the completion of a write of the register whose accepted value was the one at `written`.
    pub fn write_synced(&mut self, written: Position) {
        let current = Position::of_newest(self.register.accepted.as_ref());
        self.disk_progress.write_synced(written, current);
    }

    /// Returns an action that syncs the register and then sends a message that depends on it.
    fn persist_and_send(&mut self, to: DiskId, message: RegisterMessage) -> RegisterAction {
        self.disk_progress.write_started();
        let then = vec![RegisterAction::Send { to, message }];
        RegisterAction::Persist { register: self.register.clone(), then }
    }
}
