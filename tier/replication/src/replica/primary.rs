//! The state of a primary: its proposal in flight, the answers of the members, and the pending reads.

use super::action::ReadId;
use super::position::Position;
use super::sent_rounds::SentRounds;
use super::timing::MAX_PUBLISHED_STATE_AGE;
use crate::quorum::{self, all_members};
use quillmount_wire::Micros;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};

/// A value that is proposed and not yet committed.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    /// The proposed value with its epoch and sequence number.
    pub(super) accepted: Accepted,
    /// Members that have synced the value.
    pub(super) acknowledged: BTreeSet<DiskId>,
    /// Time at which the proposal was first sent.
    proposed_at: Micros,
    /// Time at which the proposal was last sent.
    pub(super) last_sent: Micros,
}

/// The last answer of a member to this primary.
#[derive(Clone, Copy, Debug, Default)]
struct LastReply {
    /// Number of the latest heartbeat round that the member answered; 0 before the first one.
    round: u64,
    /// Time at which the member last answered a heartbeat or acknowledged a proposal.
    received_at: Micros,
    /// Latest time at which a message was sent that the member has answered; `None` if that is not known of any.
    answered_sent_at: Option<Micros>,
}

impl LastReply {
    /// Records an answer to a message that was sent at `sent_at`, if that is known.
    fn record(&mut self, sent_at: Option<Micros>, now: Micros) {
        self.received_at = now;
        self.answered_sent_at = self.answered_sent_at.max(sent_at);
    }

    /// Whether a message was answered that is recent enough.
    fn is_confirming(&self, now: Micros) -> bool {
        let is_recent = |sent_at: Micros| now.saturating_sub(sent_at) < MAX_PUBLISHED_STATE_AGE;
        self.answered_sent_at.is_some_and(is_recent)
    }
}

/// State of a primary in one epoch.
#[derive(Clone, Debug)]
pub(super) struct Primary {
    /// Disk of this member, which always counts as responsive.
    own_disk: DiskId,
    /// Epoch in which this member is primary.
    pub(super) epoch: Epoch,
    /// Time of the election.
    pub(super) elected_at: Micros,
    /// Proposal in flight; there is at most one.
    pub(super) proposal: Option<Proposal>,
    /// Last value that was committed in this epoch.
    pub(super) committed: Option<Accepted>,
    /// Sequence number of the last proposal in this epoch.
    last_sequence: u64,
    /// Heartbeat rounds.
    rounds: SentRounds,
    /// Time at which the next heartbeat round is due.
    pub(super) next_heartbeat: Micros,
    last_replies: BTreeMap<DiskId, LastReply>,
    /// Pending reads, each with the number of the heartbeat round that a majority has to answer.
    pending_reads: BTreeMap<ReadId, u64>,
}

impl Primary {
    pub(super) fn new(own_disk: DiskId, epoch: Epoch, now: Micros) -> Primary {
        Primary {
            own_disk,
            epoch,
            elected_at: now,
            proposal: None,
            committed: None,
            last_sequence: 0,
            rounds: SentRounds::default(),
            next_heartbeat: now,
            last_replies: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
        }
    }

    /// Starts a proposal, which replaces one in flight.
    pub(super) fn begin_proposal(&mut self, value: RegisterValue, now: Micros) -> Accepted {
        self.last_sequence += 1;
        let accepted = Accepted { epoch: self.epoch, sequence: self.last_sequence, value };
        self.proposal = Some(Proposal {
            accepted: accepted.clone(),
            acknowledged: BTreeSet::new(),
            proposed_at: now,
            last_sent: now,
        });
        accepted
    }

    /// Returns whether the proposal in flight may be committed: a quorum has acknowledged it, enough disks have it,
    /// and every responsive member has acknowledged it. After `silence_timeout` the commit no longer waits for
    /// responsive members, except that the first value of a new system needs the acknowledgements of all members.
    pub(super) fn may_commit(&self, tolerated_failures: usize, silence_timeout: Micros, now: Micros) -> bool {
        let Some(proposal) = &self.proposal else { return false };
        let value = &proposal.accepted.value;
        let acknowledged = &proposal.acknowledged;
        let required = quorum::required_copies(tolerated_failures, value.members.len());
        let enough = acknowledged.len() >= required
            && acknowledged.contains(&self.own_disk)
            && quorum::is_quorum(value, acknowledged);
        if !enough {
            return false;
        }
        let mut missing = all_members(value);
        missing.retain(|member| !acknowledged.contains(member));
        if Position::from(&proposal.accepted) == Position::FIRST {
            return missing.is_empty();
        }
        let overdue = now.saturating_sub(proposal.proposed_at) > silence_timeout;
        overdue || self.responsive_members(silence_timeout, now).is_disjoint(&missing)
    }

    /// Returns the members that answered within `silence_timeout`, including this one.
    pub(super) fn responsive_members(&self, silence_timeout: Micros, now: Micros) -> BTreeSet<DiskId> {
        let answered = self
            .last_replies
            .iter()
            .filter(|(_, reply)| now.saturating_sub(reply.received_at) < silence_timeout)
            .map(|(member, _)| *member);
        answered.chain([self.own_disk]).collect()
    }

    /// Returns the members, including this one, that have answered a message which was sent so recently that the state which it
    /// confirms may be published. Unlike [`Primary::responsive_members`] this does not depend on when the answers arrived: they may
    /// have waited here while this process stood still.
    pub(super) fn confirming_members(&self, now: Micros) -> BTreeSet<DiskId> {
        let confirming =
            self.last_replies.iter().filter(|(_, reply)| reply.is_confirming(now)).map(|(member, _)| *member);
        confirming.chain([self.own_disk]).collect()
    }

    /// Records the time and round of an answer to a heartbeat.
    pub(super) fn record_heartbeat_reply(&mut self, member: DiskId, round: u64, now: Micros) {
        let sent_at = self.rounds.sent_at(round);
        let reply = self.last_replies.entry(member).or_default();
        reply.round = reply.round.max(round);
        reply.record(sent_at, now);
    }

    /// Records the time of an acknowledgement of the proposal with this sequence number.
    pub(super) fn record_acknowledgement(&mut self, member: DiskId, sequence: u64, now: Micros) {
        let in_flight = self.proposal.as_ref().filter(|proposal| proposal.accepted.sequence == sequence);
        let sent_at = in_flight.map(|proposal| proposal.proposed_at);
        self.last_replies.entry(member).or_default().record(sent_at, now);
    }

    /// Returns the time at which a member last answered in this epoch.
    pub(super) fn last_reply(&self, member: DiskId) -> Option<Micros> {
        self.last_replies.get(&member).map(|reply| reply.received_at)
    }

    /// Starts a heartbeat round and returns its number.
    pub(super) fn begin_round(&mut self, heartbeat_interval: Micros, now: Micros) -> u64 {
        self.next_heartbeat = now + heartbeat_interval;
        self.rounds.begin(now)
    }

    /// Adds a read, which the next heartbeat round confirms.
    pub(super) fn add_read(&mut self, read: ReadId) {
        self.pending_reads.insert(read, self.rounds.last() + 1);
    }

    /// Removes and returns the reads whose heartbeat round was answered by a quorum of the value's members.
    pub(super) fn take_confirmed_reads(&mut self, value: &RegisterValue) -> Vec<ReadId> {
        let last_replies = &self.last_replies;
        let is_confirmed = |round: u64| {
            let answered = last_replies.iter().filter(|(_, reply)| reply.round >= round);
            quorum::is_quorum(value, &answered.map(|(member, _)| *member).collect())
        };
        let pending = self.pending_reads.iter();
        let confirmed: Vec<ReadId> =
            pending.filter(|(_, round)| is_confirmed(**round)).map(|(read, _)| *read).collect();
        for read in &confirmed {
            self.pending_reads.remove(read);
        }
        confirmed
    }
}
