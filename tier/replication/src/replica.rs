//! One member of the replicated snapshot: its state, and what it does when time passes or a message comes.

mod election;
mod proposals;
mod reads;

use crate::quorum;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, Register, RegisterMessage, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds of a steady clock.
pub type Micros = u64;
/// Epoch of the first value of the whole system.
const FIRST_EPOCH: Epoch = 1;

/// Intervals, microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats of a primary.
    pub heartbeat: Micros,
    /// From a start, or a refused candidacy, to the next canvass; chance is added. A primary that is there is protected by the
    /// members that hear it.
    pub pre_vote_delay: Micros,
    /// Silence after which a member stands for election; half of it is added by rank and chance.
    pub election: Micros,
    /// Silence after which a member leaves the in-sync set, and a primary without a majority steps down.
    pub silence: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { heartbeat: 150_000, pre_vote_delay: 40_000, election: 700_000, silence: 500_000 }
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterAction {
    Send {
        to: DiskId,
        message: RegisterMessage,
    },
    /// Sync the register, then do the rest.
    Persist {
        register: Register,
        then: Vec<RegisterAction>,
    },
    /// This value is acknowledged by enough members; primary only.
    Committed {
        accepted: Accepted,
    },
    /// Elected; the value is that of the register, not yet committed in this epoch.
    Elected {
        epoch: Epoch,
    },
    /// No longer primary: what was proposed and not committed is uncertain.
    SteppedDown,
    /// The read asked for under this number may be answered.
    ReadConfirmed {
        read: u64,
    },
}

/// What a member is doing.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    Follower {
        primary: Option<DiskId>,
    },
    /// Asks whether an election would succeed, without changing anything.
    PreCandidate {
        epoch: Epoch,
        grants: BTreeSet<DiskId>,
    },
    Candidate {
        epoch: Epoch,
        promises: BTreeMap<DiskId, Option<Accepted>>,
    },
    Primary(Box<PrimaryState>),
}

/// State of a primary.
#[derive(Clone, Debug, PartialEq)]
pub struct PrimaryState {
    epoch: Epoch,
    elected: Micros,
    /// The value under way, and who has acknowledged it.
    proposal: Option<Proposal>,
    committed: Option<Accepted>,
    last_sequence: u64,
    round: u64,
    /// Rounds that members answered, and when.
    last_replies: BTreeMap<DiskId, (u64, Micros)>,
    pending_reads: BTreeMap<u64, u64>,
    next_heartbeat: Micros,
}

#[derive(Clone, Debug, PartialEq)]
struct Proposal {
    accepted: Accepted,
    acknowledged: BTreeSet<DiskId>,
    since: Micros,
    /// When it was last sent.
    last_sent: Micros,
}

/// A member of the replicated snapshot.
#[derive(Clone, Debug)]
pub struct RegisterReplica {
    me: DiskId,
    tolerated_failures: usize,
    timing: Timing,
    register: Register,
    role: Role,
    /// When a primary was last heard, or the last try at an election began.
    last_contact: Micros,
    /// Spreads elections.
    jitter: Micros,
    jitter_state: u64,
}

impl RegisterReplica {
    /// A member with what its disk holds; `tolerated_failures` disks may be lost at once.
    pub fn new(
        me: DiskId,
        tolerated_failures: usize,
        register: Register,
        timing: Timing,
        now: Micros,
    ) -> RegisterReplica {
        let role = Role::Follower { primary: None };
        let mut replica = RegisterReplica {
            me,
            tolerated_failures,
            timing,
            register,
            role,
            last_contact: now,
            jitter: 0,
            jitter_state: me ^ now,
        };
        replica.renew_jitter();
        replica.schedule_pre_vote(timing.pre_vote_delay, now);
        replica
    }

    /// Whether the disk holds no value. Such a member never stands. It votes only where a value names it by the identity
    /// of its disk, as messages are for an identity: one that was drawn on an empty disk has forgotten nothing.
    pub fn is_blank(&self) -> bool {
        self.register.accepted.is_none()
    }

    pub fn register(&self) -> &Register {
        &self.register
    }

    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Members by the newest value here.
    pub fn members(&self) -> &[DiskId] {
        self.register.accepted.as_ref().map_or(&[], |accepted| &accepted.value.members)
    }

    /// Who is primary, as far as known here.
    pub fn primary(&self) -> Option<DiskId> {
        match &self.role {
            Role::Follower { primary } => *primary,
            Role::Primary(_) => Some(self.me),
            _ => None,
        }
    }

    /// The primary, if it was heard so lately that it may be taken to be there.
    pub fn recent_primary(&self, now: Micros) -> Option<DiskId> {
        self.primary().filter(|_| self.has_recent_primary(now))
    }

    /// The epoch in which this member is primary.
    pub fn primary_epoch(&self) -> Option<Epoch> {
        match &self.role {
            Role::Primary(primary) => Some(primary.epoch),
            _ => None,
        }
    }

    /// Whether a proposal may be made now.
    pub fn can_propose(&self) -> bool {
        matches!(&self.role, Role::Primary(primary) if primary.proposal.is_none() && primary.committed.is_some())
    }

    /// Members that answered the primary lately, itself included.
    pub fn live_members(&self, now: Micros) -> BTreeSet<DiskId> {
        match &self.role {
            Role::Primary(primary) => self.responsive_members(primary, now),
            _ => BTreeSet::new(),
        }
    }

    fn responsive_members(&self, primary: &PrimaryState, now: Micros) -> BTreeSet<DiskId> {
        let mut live: BTreeSet<DiskId> = primary
            .last_replies
            .iter()
            .filter(|(_, (_, at))| now.saturating_sub(*at) < self.timing.silence)
            .map(|(member, _)| *member)
            .collect();
        live.insert(self.me);
        live
    }

    fn step_down(&mut self, now: Micros, primary: Option<DiskId>) -> Vec<RegisterAction> {
        let was_primary = matches!(self.role, Role::Primary(_));
        self.role = Role::Follower { primary };
        self.last_contact = now;
        self.renew_jitter();
        if was_primary { vec![RegisterAction::SteppedDown] } else { Vec::new() }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) -> Vec<RegisterAction> {
        match &self.role {
            Role::Primary(primary) => {
                let due = now >= primary.next_heartbeat;
                if self.has_lost_majority(primary, now) {
                    return self.step_down(now, None);
                }
                let mut actions = self.try_commit(now);
                actions.extend(self.resend_proposal(now));
                if due {
                    actions.extend(self.send_heartbeats(now));
                }
                actions
            }
            _ if now.saturating_sub(self.last_contact) > self.timing.election + self.jitter => {
                self.start_pre_vote(now)
            }
            _ => Vec::new(),
        }
    }

    /// Whether a primary no longer hears a majority. A change of members counts once it is committed: newcomers have
    /// not answered anything before.
    fn has_lost_majority(&self, primary: &PrimaryState, now: Micros) -> bool {
        let settled = now.saturating_sub(primary.elected) > self.timing.silence;
        let live = self.responsive_members(primary, now);
        let value =
            primary.committed.as_ref().or(self.register.accepted.as_ref()).map(|accepted| &accepted.value);
        settled && value.is_some_and(|value| !quorum::is_quorum(value, &live))
    }

    /// Takes a message of another member, or of this one to itself.
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
                self.on_heartbeat_reply(from, epoch, round, (accepted_epoch, accepted_sequence), now)
            }
            RegisterMessage::Reject { promised } => self.on_reject(promised, now),
            RegisterMessage::Resign { epoch, successor } => self.on_resign(from, epoch, successor, now),
        }
    }

    fn follow_primary(&mut self, primary: DiskId, now: Micros) -> Vec<RegisterAction> {
        if let Role::Follower { primary: known } = &mut self.role {
            *known = Some(primary);
            self.last_contact = now;
            return Vec::new();
        }
        self.step_down(now, Some(primary))
    }
}

/// Members of a value, those before a change included.
fn all_members(value: &RegisterValue) -> BTreeSet<DiskId> {
    value.members.iter().chain(value.prior.iter().flatten()).copied().collect()
}
