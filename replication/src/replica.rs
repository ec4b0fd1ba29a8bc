//! One member of the replicated snapshot: its state, and what it does when time passes or a message comes.

mod election;
mod proposals;
mod reads;

use crate::quorum;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, Register, RegisterValue, ReplicaMessage};
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
    pub canvass_delay: Micros,
    /// Silence after which a member stands for election; half of it is added by rank and chance.
    pub election: Micros,
    /// Silence after which a member leaves the in-sync set, and a primary without a majority steps down.
    pub silence: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { heartbeat: 150_000, canvass_delay: 40_000, election: 700_000, silence: 500_000 }
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: DiskId,
        message: ReplicaMessage,
    },
    /// Sync the register, then do the rest.
    Persist {
        register: Register,
        then: Vec<Output>,
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
    Canvassing {
        epoch: Epoch,
        support: BTreeSet<DiskId>,
    },
    Candidate {
        epoch: Epoch,
        promises: BTreeMap<DiskId, Option<Accepted>>,
    },
    Primary(Box<Primary>),
}

/// State of a primary.
#[derive(Clone, Debug, PartialEq)]
pub struct Primary {
    epoch: Epoch,
    elected: Micros,
    /// The value under way, and who has acknowledged it.
    proposal: Option<Proposal>,
    committed: Option<Accepted>,
    last_sequence: u64,
    round: u64,
    /// Rounds that members answered, and when.
    answers: BTreeMap<DiskId, (u64, Micros)>,
    reads: BTreeMap<u64, u64>,
    next_heartbeat: Micros,
}

#[derive(Clone, Debug, PartialEq)]
struct Proposal {
    accepted: Accepted,
    acknowledged: BTreeSet<DiskId>,
    since: Micros,
    /// When it was last sent.
    sent: Micros,
}

/// A member of the replicated snapshot.
#[derive(Clone, Debug)]
pub struct Replica {
    me: DiskId,
    survivable: usize,
    timing: Timing,
    register: Register,
    role: Role,
    /// When a primary was last heard, or the last try at an election began.
    heard: Micros,
    /// Spreads elections.
    jitter: Micros,
    draws: u64,
}

impl Replica {
    /// A member with what its disk holds; `survivable` disks may be lost at once.
    pub fn new(me: DiskId, survivable: usize, register: Register, timing: Timing, now: Micros) -> Replica {
        let role = Role::Follower { primary: None };
        let mut replica =
            Replica { me, survivable, timing, register, role, heard: now, jitter: 0, draws: me ^ now };
        replica.draw_jitter();
        replica.canvass_after(timing.canvass_delay, now);
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
    pub fn primary_heard(&self, now: Micros) -> Option<DiskId> {
        self.primary().filter(|_| self.content(now))
    }

    /// The epoch in which this member is primary.
    pub fn primary_epoch(&self) -> Option<Epoch> {
        match &self.role {
            Role::Primary(primary) => Some(primary.epoch),
            _ => None,
        }
    }

    /// Whether a proposal may be made now.
    pub fn idle(&self) -> bool {
        matches!(&self.role, Role::Primary(primary) if primary.proposal.is_none() && primary.committed.is_some())
    }

    /// Members that answered the primary lately, itself included.
    pub fn live_members(&self, now: Micros) -> BTreeSet<DiskId> {
        match &self.role {
            Role::Primary(primary) => self.in_sync(primary, now),
            _ => BTreeSet::new(),
        }
    }

    fn in_sync(&self, primary: &Primary, now: Micros) -> BTreeSet<DiskId> {
        let mut live: BTreeSet<DiskId> = primary
            .answers
            .iter()
            .filter(|(_, (_, at))| now.saturating_sub(*at) < self.timing.silence)
            .map(|(member, _)| *member)
            .collect();
        live.insert(self.me);
        live
    }

    fn step_down(&mut self, now: Micros, primary: Option<DiskId>) -> Vec<Output> {
        let was_primary = matches!(self.role, Role::Primary(_));
        self.role = Role::Follower { primary };
        self.heard = now;
        self.draw_jitter();
        if was_primary { vec![Output::SteppedDown] } else { Vec::new() }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) -> Vec<Output> {
        match &self.role {
            Role::Primary(primary) => {
                let due = now >= primary.next_heartbeat;
                if self.is_alone(primary, now) {
                    return self.step_down(now, None);
                }
                let mut outputs = self.try_commit(now);
                outputs.extend(self.resend(now));
                if due {
                    outputs.extend(self.send_heartbeats(now));
                }
                outputs
            }
            _ if now.saturating_sub(self.heard) > self.timing.election + self.jitter => self.canvass(now),
            _ => Vec::new(),
        }
    }

    /// Whether a primary no longer hears a majority. A change of members counts once it is committed: newcomers have
    /// not answered anything before.
    fn is_alone(&self, primary: &Primary, now: Micros) -> bool {
        let settled = now.saturating_sub(primary.elected) > self.timing.silence;
        let live = self.in_sync(primary, now);
        let value =
            primary.committed.as_ref().or(self.register.accepted.as_ref()).map(|accepted| &accepted.value);
        settled && value.is_some_and(|value| !quorum::agreed(value, &live))
    }

    /// Takes a message of another member, or of this one to itself.
    pub fn receive(&mut self, from: DiskId, message: ReplicaMessage, now: Micros) -> Vec<Output> {
        match message {
            ReplicaMessage::Canvass { epoch } => self.on_canvass(from, epoch, now),
            ReplicaMessage::Support { epoch } => self.on_support(from, epoch, now),
            ReplicaMessage::Prepare { epoch } => self.on_prepare(from, epoch, now),
            ReplicaMessage::Promise { epoch, accepted } => self.on_promise(from, epoch, accepted, now),
            ReplicaMessage::Accept { accepted } => self.on_accept(from, accepted, now),
            ReplicaMessage::Acknowledge { epoch, sequence } => {
                self.on_acknowledge(from, epoch, sequence, now)
            }
            ReplicaMessage::Heartbeat { epoch, round } => self.on_heartbeat(from, epoch, round, now),
            ReplicaMessage::HeartbeatReply { epoch, round, accepted_epoch, accepted_sequence } => {
                self.on_heartbeat_reply(from, epoch, round, (accepted_epoch, accepted_sequence), now)
            }
            ReplicaMessage::Reject { promised } => self.on_reject(promised, now),
            ReplicaMessage::Resign { epoch, successor } => self.on_resign(from, epoch, successor, now),
        }
    }

    fn follow(&mut self, primary: DiskId, now: Micros) -> Vec<Output> {
        if let Role::Follower { primary: known } = &mut self.role {
            *known = Some(primary);
            self.heard = now;
            return Vec::new();
        }
        self.step_down(now, Some(primary))
    }
}

/// Members of a value, those before a change included.
fn all_members(value: &RegisterValue) -> BTreeSet<DiskId> {
    value.members.iter().chain(value.prior.iter().flatten()).copied().collect()
}
