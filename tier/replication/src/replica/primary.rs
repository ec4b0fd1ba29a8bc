//! What a primary knows: its proposal in flight, the answers of the members, and the reads that wait for these.

use super::action::ReadId;
use super::position::Position;
use crate::quorum::{self, all_members};
use quillmount_wire::Micros;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};

/// A value that is proposed and not committed yet.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    /// The value and its position.
    pub(super) accepted: Accepted,
    /// Members that have synced it.
    pub(super) acknowledged: BTreeSet<DiskId>,
    /// When it was first sent.
    proposed_at: Micros,
    /// When it was last sent.
    pub(super) last_sent: Micros,
}

/// The last answer of a member.
#[derive(Clone, Copy, Debug, Default)]
struct LastReply {
    /// The latest round of heartbeats that it answered; 0 before the first.
    round: u64,
    /// When it last answered a heartbeat or acknowledged a proposal.
    at: Micros,
}

/// State of a primary in one epoch.
#[derive(Clone, Debug)]
pub(super) struct Primary {
    /// This member, which always counts as responsive.
    me: DiskId,
    /// Epoch in which it is primary.
    pub(super) epoch: Epoch,
    /// When it was elected.
    pub(super) elected_at: Micros,
    /// The proposal in flight: at most one.
    pub(super) proposal: Option<Proposal>,
    /// The last value committed in this epoch.
    pub(super) committed: Option<Accepted>,
    /// Number of the last proposal in this epoch.
    last_sequence: u64,
    /// Number of the last round of heartbeats.
    last_round: u64,
    /// When the next round of heartbeats is due.
    pub(super) next_heartbeat: Micros,
    last_replies: BTreeMap<DiskId, LastReply>,
    /// Reads, by the round of heartbeats that a majority has to answer.
    pending_reads: BTreeMap<ReadId, u64>,
}

impl Primary {
    pub(super) fn new(me: DiskId, epoch: Epoch, now: Micros) -> Primary {
        Primary {
            me,
            epoch,
            elected_at: now,
            proposal: None,
            committed: None,
            last_sequence: 0,
            last_round: 0,
            next_heartbeat: now,
            last_replies: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
        }
    }

    /// Starts a proposal, in place of one in flight.
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

    /// Whether the proposal in flight may be committed: a quorum has acknowledged it, enough disks have it, and no
    /// member that answers is still to acknowledge it. After `silence_timeout` the latter are no longer waited for,
    /// but the first value of a new system needs all members.
    pub(super) fn may_commit(&self, tolerated_failures: usize, silence_timeout: Micros, now: Micros) -> bool {
        let Some(proposal) = &self.proposal else { return false };
        let value = &proposal.accepted.value;
        let acknowledged = &proposal.acknowledged;
        let required = quorum::required_copies(tolerated_failures, value.members.len());
        let enough = acknowledged.len() >= required
            && acknowledged.contains(&self.me)
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

    /// Members that answered within `silence_timeout`, this one included.
    pub(super) fn responsive_members(&self, silence_timeout: Micros, now: Micros) -> BTreeSet<DiskId> {
        let answered = self
            .last_replies
            .iter()
            .filter(|(_, reply)| now.saturating_sub(reply.at) < silence_timeout)
            .map(|(member, _)| *member);
        answered.chain([self.me]).collect()
    }

    /// Records an answer to a round of heartbeats.
    pub(super) fn record_heartbeat_reply(&mut self, member: DiskId, round: u64, now: Micros) {
        let reply = self.last_replies.entry(member).or_default();
        reply.round = reply.round.max(round);
        reply.at = now;
    }

    /// Records an answer to something else than a heartbeat.
    pub(super) fn record_reply(&mut self, member: DiskId, now: Micros) {
        self.last_replies.entry(member).or_default().at = now;
    }

    /// When a member last answered in this epoch.
    pub(super) fn last_reply(&self, member: DiskId) -> Option<Micros> {
        self.last_replies.get(&member).map(|reply| reply.at)
    }

    /// Starts a round of heartbeats; returns its number.
    pub(super) fn begin_round(&mut self, heartbeat_interval: Micros, now: Micros) -> u64 {
        self.last_round += 1;
        self.next_heartbeat = now + heartbeat_interval;
        self.last_round
    }

    /// Adds a read, which the next round of heartbeats confirms.
    pub(super) fn add_read(&mut self, read: ReadId) {
        self.pending_reads.insert(read, self.last_round + 1);
    }

    /// Takes out the reads whose round of heartbeats was answered by a quorum of the value's members.
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
