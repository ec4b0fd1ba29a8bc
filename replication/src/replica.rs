//! One member of the replicated snapshot.

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

    fn draw_jitter(&mut self) {
        self.draws =
            self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.jitter = (self.draws >> 33) % (self.timing.election / 2 + 1);
    }

    /// The next canvass comes after a heartbeat's time: a primary that is there is heard by then, and canvassing changes
    /// nothing, so that a system without a primary need not wait for longer.
    fn retry_soon(&mut self, now: Micros) {
        self.canvass_after(self.timing.heartbeat, now);
    }

    /// Sets the time of the next canvass, with a part of the jitter added.
    fn canvass_after(&mut self, span: Micros, now: Micros) {
        let wait = span + self.jitter / 4;
        self.heard = now.saturating_sub((self.timing.election + self.jitter).saturating_sub(wait));
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

    /// Whether this primary heard a majority within the silence after which it would step down: what it has committed was the
    /// newest then.
    pub fn hears_majority(&self, now: Micros) -> bool {
        let Role::Primary(primary) = &self.role else { return false };
        let live = self.in_sync(primary, now);
        primary.committed.as_ref().is_some_and(|accepted| quorum::agreed(&accepted.value, &live))
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

    /// Writes the first value of the whole system, at the first start only.
    pub fn bootstrap(&mut self, members: Vec<DiskId>, payload: Vec<u8>, now: Micros) -> Vec<Output> {
        if !self.is_blank() || self.register.promised > 0 {
            return Vec::new();
        }
        self.become_primary(1, now);
        self.register.promised = 1;
        self.register.promised_to = self.me;
        let mut outputs = vec![Output::Elected { epoch: 1 }];
        outputs.extend(self.send_proposal(RegisterValue { members, prior: None, payload }, now));
        outputs
    }

    /// Proposes the next snapshot; the caller has checked [`Replica::idle`]. A change of members carries the old ones.
    pub fn propose(&mut self, members: Vec<DiskId>, payload: Vec<u8>, now: Micros) -> Vec<Output> {
        if !self.idle() {
            return Vec::new();
        }
        let old = self.members().to_vec();
        let prior = (old != members).then_some(old);
        self.send_proposal(RegisterValue { members, prior, payload }, now)
    }

    fn send_proposal(&mut self, value: RegisterValue, now: Micros) -> Vec<Output> {
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.last_sequence += 1;
        let accepted = Accepted { epoch: primary.epoch, sequence: primary.last_sequence, value };
        let targets = all_members(&accepted.value);
        let proposal =
            Proposal { accepted: accepted.clone(), acknowledged: BTreeSet::new(), since: now, sent: now };
        primary.proposal = Some(proposal);
        targets
            .into_iter()
            .map(|to| Output::Send { to, message: ReplicaMessage::Accept { accepted: accepted.clone() } })
            .collect()
    }

    /// Asks for a read that is confirmed by a majority; [`Output::ReadConfirmed`] follows with the same number.
    pub fn confirm_read(&mut self, read: u64, now: Micros) -> Vec<Output> {
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        let round = primary.round + 1;
        primary.reads.insert(read, round);
        self.send_heartbeats(now)
    }

    fn send_heartbeats(&mut self, now: Micros) -> Vec<Output> {
        let timing = self.timing;
        let members = self.members().to_vec();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.round += 1;
        primary.next_heartbeat = now + timing.heartbeat;
        let message = ReplicaMessage::Heartbeat { epoch: primary.epoch, round: primary.round };
        members.into_iter().map(|to| Output::Send { to, message: message.clone() }).collect()
    }

    /// Leaves the primary's place to a member that is in sync.
    pub fn resign(&mut self, now: Micros) -> Vec<Output> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let live = self.in_sync(primary, now);
        let epoch = primary.epoch;
        let others: Vec<DiskId> =
            self.members().iter().copied().filter(|member| *member != self.me).collect();
        let successor = others.iter().copied().find(|member| live.contains(member));
        let mut outputs = self.step_down(now, None);
        if let Some(successor) = successor {
            let message = ReplicaMessage::Resign { epoch, successor };
            outputs.extend(others.into_iter().map(|to| Output::Send { to, message: message.clone() }));
        }
        outputs
    }

    fn become_primary(&mut self, epoch: Epoch, now: Micros) {
        self.role = Role::Primary(Box::new(Primary {
            epoch,
            elected: now,
            proposal: None,
            committed: None,
            last_sequence: 0,
            round: 0,
            answers: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_heartbeat: now,
        }));
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

    fn has_majority(&self, live: &BTreeSet<DiskId>) -> bool {
        self.register.accepted.as_ref().is_none_or(|accepted| quorum::agreed(&accepted.value, live))
    }

    /// Sends a proposal again to members that have not acknowledged it for a heartbeat's time.
    fn resend(&mut self, now: Micros) -> Vec<Output> {
        let heartbeat = self.timing.heartbeat;
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        let Some(proposal) = &mut primary.proposal else { return Vec::new() };
        if now.saturating_sub(proposal.sent) < heartbeat {
            return Vec::new();
        }
        proposal.sent = now;
        all_members(&proposal.accepted.value)
            .into_iter()
            .filter(|member| !proposal.acknowledged.contains(member))
            .map(|to| Output::Send {
                to,
                message: ReplicaMessage::Accept { accepted: proposal.accepted.clone() },
            })
            .collect()
    }

    fn canvass(&mut self, now: Micros) -> Vec<Output> {
        self.draw_jitter();
        self.retry_soon(now);
        let Some(accepted) = &self.register.accepted else { return Vec::new() };
        if !accepted.value.members.contains(&self.me) {
            return Vec::new();
        }
        let epoch = self.register.promised + 1;
        let targets = all_members(&accepted.value);
        self.role = Role::Canvassing { epoch, support: BTreeSet::new() };
        targets
            .into_iter()
            .map(|to| Output::Send { to, message: ReplicaMessage::Canvass { epoch } })
            .collect()
    }

    fn stand(&mut self, epoch: Epoch, now: Micros) -> Vec<Output> {
        let Some(accepted) = &self.register.accepted else { return Vec::new() };
        let targets = all_members(&accepted.value);
        self.heard = now;
        self.role = Role::Candidate { epoch, promises: BTreeMap::new() };
        targets
            .into_iter()
            .map(|to| Output::Send { to, message: ReplicaMessage::Prepare { epoch } })
            .collect()
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

    /// Whether a primary was heard so lately that an election would only disturb it.
    fn content(&self, now: Micros) -> bool {
        match &self.role {
            Role::Primary(_) => true,
            Role::Follower { primary: Some(_) } => now.saturating_sub(self.heard) < self.timing.election / 2,
            _ => false,
        }
    }

    fn on_canvass(&mut self, from: DiskId, epoch: Epoch, now: Micros) -> Vec<Output> {
        if from != self.me && self.content(now) {
            return Vec::new();
        }
        let message = if epoch > self.register.promised {
            ReplicaMessage::Support { epoch }
        } else {
            ReplicaMessage::Reject { promised: self.register.promised }
        };
        vec![Output::Send { to: from, message }]
    }

    fn on_support(&mut self, from: DiskId, of: Epoch, now: Micros) -> Vec<Output> {
        let Role::Canvassing { epoch, support } = &mut self.role else { return Vec::new() };
        if *epoch != of {
            return Vec::new();
        }
        support.insert(from);
        let support = support.clone();
        if self.has_majority(&support) { self.stand(of, now) } else { Vec::new() }
    }

    fn on_prepare(&mut self, from: DiskId, epoch: Epoch, now: Micros) -> Vec<Output> {
        if from != self.me && self.content(now) {
            return Vec::new();
        }
        if epoch <= self.register.promised {
            return self.reject(from);
        }
        self.register.promised = epoch;
        self.register.promised_to = from;
        let mut outputs = Vec::new();
        if from != self.me {
            outputs.extend(self.step_down(now, None));
        }
        let promise = ReplicaMessage::Promise { epoch, accepted: self.register.accepted.clone() };
        let then = vec![Output::Send { to: from, message: promise }];
        outputs.push(Output::Persist { register: self.register.clone(), then });
        outputs
    }

    fn on_promise(
        &mut self,
        from: DiskId,
        of: Epoch,
        accepted: Option<Accepted>,
        now: Micros,
    ) -> Vec<Output> {
        let Role::Candidate { epoch, promises } = &mut self.role else { return Vec::new() };
        if *epoch != of {
            return Vec::new();
        }
        promises.insert(from, accepted);
        let newest =
            promises.values().flatten().max_by_key(|accepted| (accepted.epoch, accepted.sequence)).cloned();
        let Some(newest) = newest else { return Vec::new() };
        let answered: BTreeSet<DiskId> = promises.keys().copied().collect();
        if !quorum::agreed(&newest.value, &answered) {
            return self.invite(&newest.value, of);
        }
        if !newest.value.members.contains(&self.me) {
            return self.step_down(now, None);
        }
        self.become_primary(of, now);
        let mut outputs = vec![Output::Elected { epoch: of }];
        outputs.extend(self.send_proposal(newest.value, now));
        outputs
    }

    /// Asks members that only the newest value names for their promise as well.
    fn invite(&self, value: &RegisterValue, epoch: Epoch) -> Vec<Output> {
        let own =
            self.register.accepted.as_ref().map(|accepted| all_members(&accepted.value)).unwrap_or_default();
        all_members(value)
            .into_iter()
            .filter(|member| !own.contains(member))
            .map(|to| Output::Send { to, message: ReplicaMessage::Prepare { epoch } })
            .collect()
    }

    /// Whether a primary's message is refused. A promise of the same epoch to another candidate does not stand against one who
    /// was elected: a majority promised to the one who sends as primary, so that the other never will be. The first value of
    /// the whole system is written without an election, and only its writer is followed in that epoch.
    fn refuses(&self, from: DiskId, epoch: Epoch) -> bool {
        let promised = self.register.promised;
        let foreign = epoch == promised && self.register.promised_to != from;
        epoch < promised || (foreign && epoch == FIRST_EPOCH)
    }

    fn reject(&self, to: DiskId) -> Vec<Output> {
        let message = ReplicaMessage::Reject { promised: self.register.promised };
        vec![Output::Send { to, message }]
    }

    fn on_accept(&mut self, from: DiskId, accepted: Accepted, now: Micros) -> Vec<Output> {
        if self.refuses(from, accepted.epoch) {
            return self.reject(from);
        }
        if !all_members(&accepted.value).contains(&self.me) {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        if from != self.me {
            outputs.extend(self.follow(from, now));
        }
        let (epoch, sequence) = (accepted.epoch, accepted.sequence);
        let held = self.register.accepted.as_ref().map_or((0, 0), |held| (held.epoch, held.sequence));
        let message = ReplicaMessage::Acknowledge { epoch, sequence };
        if held >= (epoch, sequence) {
            // Sent again: what was acknowledged before it is on the way to the disk in the same order.
            if held == (epoch, sequence) {
                let then = vec![Output::Send { to: from, message }];
                outputs.push(Output::Persist { register: self.register.clone(), then });
            }
            return outputs;
        }
        self.register.promised = epoch;
        self.register.promised_to = from;
        self.register.accepted = Some(accepted);
        let then = vec![Output::Send { to: from, message }];
        outputs.push(Output::Persist { register: self.register.clone(), then });
        outputs
    }

    fn follow(&mut self, primary: DiskId, now: Micros) -> Vec<Output> {
        if let Role::Follower { primary: known } = &mut self.role {
            *known = Some(primary);
            self.heard = now;
            return Vec::new();
        }
        self.step_down(now, Some(primary))
    }

    fn on_acknowledge(&mut self, from: DiskId, of: Epoch, sequence: u64, now: Micros) -> Vec<Output> {
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        if primary.epoch != of {
            return Vec::new();
        }
        let round = primary.answers.get(&from).map_or(0, |(round, _)| *round);
        primary.answers.insert(from, (round, now));
        let Some(proposal) = &mut primary.proposal else { return Vec::new() };
        if proposal.accepted.sequence != sequence {
            return Vec::new();
        }
        proposal.acknowledged.insert(from);
        self.try_commit(now)
    }

    /// Commits once a majority, enough disks, and every member that is in sync have acknowledged.
    fn try_commit(&mut self, now: Micros) -> Vec<Output> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let Some(proposal) = &primary.proposal else { return Vec::new() };
        let value = &proposal.accepted.value;
        let members = all_members(value);
        let acknowledged = &proposal.acknowledged;
        let first = proposal.accepted.epoch == 1 && proposal.accepted.sequence == 1;
        let enough = acknowledged.len() >= quorum::copies(self.survivable, value.members.len())
            && acknowledged.contains(&self.me)
            && quorum::agreed(value, acknowledged);
        let overdue = now.saturating_sub(proposal.since) > self.timing.silence;
        let waiting = |member: &DiskId| members.contains(member) && !acknowledged.contains(member);
        let complete = if first {
            members.iter().all(|member| acknowledged.contains(member))
        } else {
            overdue || !self.in_sync(primary, now).iter().any(waiting)
        };
        if !enough || !complete {
            return Vec::new();
        }
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        let Some(proposal) = primary.proposal.take() else { return Vec::new() };
        primary.committed = Some(proposal.accepted.clone());
        let value = proposal.accepted.value.clone();
        let mut outputs = vec![Output::Committed { accepted: proposal.accepted }];
        if value.prior.is_some() {
            // The members before the change are needed no more: for as long as the value named them, their losses would count.
            outputs.extend(self.send_proposal(RegisterValue { prior: None, ..value }, now));
        }
        outputs
    }

    fn on_heartbeat(&mut self, from: DiskId, epoch: Epoch, round: u64, now: Micros) -> Vec<Output> {
        if self.is_blank() {
            return Vec::new();
        }
        if self.refuses(from, epoch) {
            return self.reject(from);
        }
        let mut outputs = Vec::new();
        if from != self.me {
            outputs.extend(self.follow(from, now));
        }
        let held = self.register.accepted.as_ref().map_or((0, 0), |held| (held.epoch, held.sequence));
        let reply = ReplicaMessage::HeartbeatReply {
            epoch,
            round,
            accepted_epoch: held.0,
            accepted_sequence: held.1,
        };
        let send = Output::Send { to: from, message: reply };
        if epoch > self.register.promised || from != self.register.promised_to {
            self.register.promised = epoch;
            self.register.promised_to = from;
            outputs.push(Output::Persist { register: self.register.clone(), then: vec![send] });
        } else {
            outputs.push(send);
        }
        outputs
    }

    fn on_heartbeat_reply(
        &mut self,
        from: DiskId,
        of: Epoch,
        round: u64,
        held: (Epoch, u64),
        now: Micros,
    ) -> Vec<Output> {
        let current = self.register.accepted.clone();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        if primary.epoch != of {
            return Vec::new();
        }
        let known = primary.answers.get(&from).map_or(0, |(known, _)| *known);
        primary.answers.insert(from, (round.max(known), now));
        let mut outputs = Vec::new();
        // A member that missed the last value gets it, so that it is level when the next one comes.
        let committed = primary.committed.as_ref().map_or((0, 0), |held| (held.epoch, held.sequence));
        if held < committed
            && let Some(accepted) = current.filter(|held| (held.epoch, held.sequence) >= committed)
        {
            outputs.push(Output::Send { to: from, message: ReplicaMessage::Accept { accepted } });
        }
        outputs.extend(self.release_reads());
        outputs
    }

    fn release_reads(&mut self) -> Vec<Output> {
        let Some(value) = self.register.accepted.as_ref().map(|accepted| accepted.value.clone()) else {
            return Vec::new();
        };
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        if primary.committed.is_none() {
            return Vec::new();
        }
        let answers = &primary.answers;
        let confirmed = |round: u64| {
            let answered = answers.iter().filter(|(_, (last, _))| *last >= round).map(|(member, _)| *member);
            quorum::agreed(&value, &answered.collect())
        };
        let ready: Vec<u64> =
            primary.reads.iter().filter(|(_, round)| confirmed(**round)).map(|(read, _)| *read).collect();
        ready.iter().for_each(|read| {
            primary.reads.remove(read);
        });
        ready.into_iter().map(|read| Output::ReadConfirmed { read }).collect()
    }

    fn on_reject(&mut self, promised: Epoch, now: Micros) -> Vec<Output> {
        let stale = match &self.role {
            // A rival of the same epoch refuses its own promise only: the others may still be a majority.
            Role::Primary(primary) => promised > primary.epoch,
            Role::Candidate { epoch, .. } => promised > *epoch,
            Role::Canvassing { epoch, .. } => promised >= *epoch,
            Role::Follower { .. } => false,
        };
        if !stale {
            if matches!(self.role, Role::Candidate { .. }) {
                self.canvass_after(self.timing.canvass_delay, now);
            }
            return Vec::new();
        }
        // The next try begins above what was promised elsewhere; no promise is made by this.
        if promised > self.register.promised && self.register.accepted.is_some() {
            self.register.promised = promised;
            self.register.promised_to = 0;
        }
        let outputs = self.step_down(now, None);
        self.canvass_after(self.timing.canvass_delay, now);
        outputs
    }

    fn on_resign(&mut self, from: DiskId, epoch: Epoch, successor: DiskId, now: Micros) -> Vec<Output> {
        let known = self.register.promised == epoch && self.register.promised_to == from;
        if !known || self.is_blank() {
            return Vec::new();
        }
        self.role = Role::Follower { primary: None };
        if successor == self.me { self.canvass(now) } else { Vec::new() }
    }
}

/// Members of a value, those before a change included.
fn all_members(value: &RegisterValue) -> BTreeSet<DiskId> {
    value.members.iter().chain(value.prior.iter().flatten()).copied().collect()
}
