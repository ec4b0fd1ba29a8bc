//! One replica of the register: a member of the core.
//!
//! [`RegisterReplica`] is a state machine. The caller
//! - creates it with the register that is on the disk ([`RegisterReplica::new`]),
//! - passes in every message that arrives ([`RegisterReplica::receive`]) and, every few tens of milliseconds, the time
//!   ([`RegisterReplica::tick`]),
//! - says which writes failed ([`RegisterReplica::write_failed`]),
//! - on the primary proposes values ([`RegisterReplica::propose`]) and begins reads
//!   ([`RegisterReplica::confirm_read`]),
//! - and carries out the [`RegisterAction`]s that each call returns, in their order. Whatever must not happen before a
//!   sync is inside the [`RegisterAction::Persist`] that it waits for.
//!
//! The same messages and times lead to the same actions: the jitter of elections comes from a generator seeded by the
//! disk's identity and the start time.
//!
//! This module has the state and dispatches to `election`, `proposals` and `heartbeats`; `primary` has what only a
//! primary knows.

mod action;
mod election;
mod heartbeats;
mod position;
mod primary;
mod proposals;
mod role;
mod timing;

use self::position::Position;
use self::role::Role;
use self::timing::ElectionTimer;
use crate::quorum;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, Register, RegisterMessage};

pub use self::action::{ReadId, RegisterAction};
pub use self::timing::Timing;

/// Stands for no member where a promise was given to none.
const NOBODY: DiskId = 0;

/// A member of the core, as far as the register is concerned.
#[derive(Clone, Debug)]
pub struct RegisterReplica {
    me: DiskId,
    tolerated_failures: usize,
    timing: Timing,
    /// What was promised and accepted here. The disk may be behind by what the caller has still to sync.
    register: Register,
    role: Role,
    election_timer: ElectionTimer,
    /// When a write of the register last failed.
    write_failed_at: Option<Micros>,
}

impl RegisterReplica {
    /// A member with the register that its disk holds; `tolerated_failures` disks may be lost at once.
    pub fn new(
        me: DiskId,
        tolerated_failures: usize,
        register: Register,
        timing: Timing,
        now: Micros,
    ) -> RegisterReplica {
        let mut election_timer = ElectionTimer::new(timing.election_timeout, me ^ now, now);
        election_timer.expire_after(timing.pre_vote_delay, now);
        let role = Role::Follower { primary: None };
        RegisterReplica {
            me,
            tolerated_failures,
            timing,
            register,
            role,
            election_timer,
            write_failed_at: None,
        }
    }

    /// Whether this member has accepted no value.
    ///
    /// Such a member never stands for election. It votes only for candidates that know it as a member by the identity
    /// of its disk: an identity is drawn on an empty disk, so that a member without a value has forgotten none.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.register.accepted.is_none()
    }

    /// What was promised and accepted here.
    #[must_use]
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Members by the newest value accepted here; empty if there is none.
    #[must_use]
    pub fn members(&self) -> &[DiskId] {
        self.register.accepted.as_ref().map_or(&[], |accepted| &accepted.value.members)
    }

    /// The primary, if it was heard from recently; this member, if it is primary.
    #[must_use]
    pub fn recent_primary(&self, now: Micros) -> Option<DiskId> {
        match &self.role {
            Role::Follower { primary } => primary.filter(|_| self.has_recent_primary(now)),
            Role::Primary(_) => Some(self.me),
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// The epoch in which this member is primary.
    #[must_use]
    pub fn primary_epoch(&self) -> Option<Epoch> {
        self.role.as_primary().map(|primary| primary.epoch)
    }

    /// Whether this member is primary, has committed a value in its epoch, and has no proposal in flight.
    #[must_use]
    pub fn can_propose(&self) -> bool {
        let primary = self.role.as_primary();
        primary.is_some_and(|primary| primary.proposal.is_none() && primary.committed.is_some())
    }

    /// Advances the time.
    pub fn tick(&mut self, now: Micros) -> Vec<RegisterAction> {
        if self.role.as_primary().is_some() {
            self.tick_as_primary(now)
        } else if self.election_timer.is_expired(now) && self.can_write(now) {
            self.start_pre_vote(now)
        } else {
            Vec::new()
        }
    }

    /// Handles a message of another member, or of this one to itself.
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

    /// Whether a primary no longer hears from a quorum, once it has had the time to (Ongaro 2014, section 6.2). A
    /// change of members counts once it is committed: before that, new members have answered nothing.
    fn has_lost_majority(&self, now: Micros) -> bool {
        let Some(primary) = self.role.as_primary() else { return false };
        let silence_timeout = self.timing.silence_timeout;
        let had_time = now.saturating_sub(primary.elected_at) > silence_timeout;
        let responsive = primary.responsive_members(silence_timeout, now);
        let newest = primary.committed.as_ref().or(self.register.accepted.as_ref());
        had_time && newest.is_some_and(|accepted| !quorum::is_quorum(&accepted.value, &responsive))
    }

    /// Whether a primary was heard from so recently that an election would only disrupt it.
    fn has_recent_primary(&self, now: Micros) -> bool {
        match &self.role {
            Role::Primary(_) => true,
            Role::Follower { primary: Some(_) } => self.election_timer.is_recent(now),
            _ => false,
        }
    }

    /// Whether the disk has refused no write of late: a member that can't store its own promise wins no election, and those that it
    /// asks would promise in vain.
    fn can_write(&self, now: Micros) -> bool {
        let backoff = 2 * self.timing.election_timeout;
        self.write_failed_at.is_none_or(|failed_at| now.saturating_sub(failed_at) >= backoff)
    }

    /// Notes that a primary was heard from.
    fn follow_primary(&mut self, primary: DiskId, now: Micros) -> Vec<RegisterAction> {
        if let Role::Follower { primary: known } = &mut self.role {
            *known = Some(primary);
            self.election_timer.restart(now);
            return Vec::new();
        }
        self.step_down(now, Some(primary))
    }

    /// Becomes a follower, whatever the role was.
    fn step_down(&mut self, now: Micros, primary: Option<DiskId>) -> Vec<RegisterAction> {
        let was_primary = self.role.as_primary().is_some();
        self.role = Role::Follower { primary };
        self.election_timer.restart(now);
        self.election_timer.renew_jitter();
        if was_primary { vec![RegisterAction::SteppedDown] } else { Vec::new() }
    }

    /// Promises an epoch to a member: no value of a lower epoch will be accepted.
    fn promise(&mut self, epoch: Epoch, to: DiskId) {
        self.register.promised = epoch;
        self.register.promised_to = to;
    }

    /// Whether a message of a primary has to be rejected, because a higher epoch was promised.
    ///
    /// A promise of the same epoch to another candidate is no obstacle: the sender was elected by a majority, so that
    /// the other never will be. The first epoch has no election: only the member to which it was promised, the one
    /// that wrote the first value, is followed in it.
    fn must_reject(&self, from: DiskId, epoch: Epoch) -> bool {
        let promised = self.register.promised;
        let promised_to_another = epoch == promised && self.register.promised_to != from;
        epoch < promised || (promised_to_another && epoch == Position::FIRST.epoch)
    }

    /// Rejects a message with the epoch that was promised here.
    fn reject(&self, to: DiskId) -> Vec<RegisterAction> {
        let message = RegisterMessage::Reject { promised: self.register.promised };
        vec![RegisterAction::Send { to, message }]
    }

    /// Syncs the register, then sends a message that rests on it.
    fn persist_and_send(&self, to: DiskId, message: RegisterMessage) -> RegisterAction {
        let then = vec![RegisterAction::Send { to, message }];
        RegisterAction::Persist { register: self.register.clone(), then }
    }
}
