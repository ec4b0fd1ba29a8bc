//! Values: proposed by the primary, accepted by the members, committed once enough have acknowledged.

use super::{FIRST_EPOCH, Micros, Proposal, RegisterAction, RegisterReplica, Role, all_members};
use crate::quorum;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, RegisterMessage, RegisterValue};
use std::collections::BTreeSet;

impl RegisterReplica {
    /// Writes the first value of the whole system, at the first start only.
    pub fn bootstrap(&mut self, members: Vec<DiskId>, payload: Vec<u8>, now: Micros) -> Vec<RegisterAction> {
        if !self.is_blank() || self.register.promised > 0 {
            return Vec::new();
        }
        self.become_primary(1, now);
        self.register.promised = 1;
        self.register.promised_to = self.me;
        let mut actions = vec![RegisterAction::Elected { epoch: 1 }];
        actions.extend(self.send_proposal(RegisterValue { members, prior: None, payload }, now));
        actions
    }

    /// Proposes the next snapshot; the caller has checked [`RegisterReplica::can_propose`]. A change of members carries the old ones.
    pub fn propose(&mut self, members: Vec<DiskId>, payload: Vec<u8>, now: Micros) -> Vec<RegisterAction> {
        if !self.can_propose() {
            return Vec::new();
        }
        let old = self.members().to_vec();
        let prior = (old != members).then_some(old);
        self.send_proposal(RegisterValue { members, prior, payload }, now)
    }

    pub(super) fn send_proposal(&mut self, value: RegisterValue, now: Micros) -> Vec<RegisterAction> {
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.last_sequence += 1;
        let accepted = Accepted { epoch: primary.epoch, sequence: primary.last_sequence, value };
        let targets = all_members(&accepted.value);
        let proposal = Proposal {
            accepted: accepted.clone(),
            acknowledged: BTreeSet::new(),
            since: now,
            last_sent: now,
        };
        primary.proposal = Some(proposal);
        targets
            .into_iter()
            .map(|to| RegisterAction::Send {
                to,
                message: RegisterMessage::Accept { accepted: accepted.clone() },
            })
            .collect()
    }

    /// Sends a proposal again to members that have not acknowledged it for a heartbeat's time.
    pub(super) fn resend_proposal(&mut self, now: Micros) -> Vec<RegisterAction> {
        let heartbeat = self.timing.heartbeat;
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        let Some(proposal) = &mut primary.proposal else { return Vec::new() };
        if now.saturating_sub(proposal.last_sent) < heartbeat {
            return Vec::new();
        }
        proposal.last_sent = now;
        all_members(&proposal.accepted.value)
            .into_iter()
            .filter(|member| !proposal.acknowledged.contains(member))
            .map(|to| RegisterAction::Send {
                to,
                message: RegisterMessage::Accept { accepted: proposal.accepted.clone() },
            })
            .collect()
    }

    /// Whether a primary's message is refused. A promise of the same epoch to another candidate does not stand against one who
    /// was elected: a majority promised to the one who sends as primary, so that the other never will be. The first value of
    /// the whole system is written without an election, and only its writer is followed in that epoch.
    pub(super) fn must_reject(&self, from: DiskId, epoch: Epoch) -> bool {
        let promised = self.register.promised;
        let foreign = epoch == promised && self.register.promised_to != from;
        epoch < promised || (foreign && epoch == FIRST_EPOCH)
    }

    pub(super) fn reject(&self, to: DiskId) -> Vec<RegisterAction> {
        let message = RegisterMessage::Reject { promised: self.register.promised };
        vec![RegisterAction::Send { to, message }]
    }

    pub(super) fn on_accept(&mut self, from: DiskId, accepted: Accepted, now: Micros) -> Vec<RegisterAction> {
        if self.must_reject(from, accepted.epoch) {
            return self.reject(from);
        }
        if !all_members(&accepted.value).contains(&self.me) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if from != self.me {
            actions.extend(self.follow_primary(from, now));
        }
        let (epoch, sequence) = (accepted.epoch, accepted.sequence);
        let position =
            self.register.accepted.as_ref().map_or((0, 0), |position| (position.epoch, position.sequence));
        let message = RegisterMessage::Acknowledge { epoch, sequence };
        if position >= (epoch, sequence) {
            // Sent again: what was acknowledged before it is on the way to the disk in the same order.
            if position == (epoch, sequence) {
                let then = vec![RegisterAction::Send { to: from, message }];
                actions.push(RegisterAction::Persist { register: self.register.clone(), then });
            }
            return actions;
        }
        self.register.promised = epoch;
        self.register.promised_to = from;
        self.register.accepted = Some(accepted);
        let then = vec![RegisterAction::Send { to: from, message }];
        actions.push(RegisterAction::Persist { register: self.register.clone(), then });
        actions
    }

    pub(super) fn on_acknowledge(
        &mut self,
        from: DiskId,
        message_epoch: Epoch,
        sequence: u64,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        if primary.epoch != message_epoch {
            return Vec::new();
        }
        let round = primary.last_replies.get(&from).map_or(0, |(round, _)| *round);
        primary.last_replies.insert(from, (round, now));
        let Some(proposal) = &mut primary.proposal else { return Vec::new() };
        if proposal.accepted.sequence != sequence {
            return Vec::new();
        }
        proposal.acknowledged.insert(from);
        self.try_commit(now)
    }

    /// Commits once a majority, enough disks, and every member that is in sync have acknowledged.
    pub(super) fn try_commit(&mut self, now: Micros) -> Vec<RegisterAction> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let Some(proposal) = &primary.proposal else { return Vec::new() };
        let value = &proposal.accepted.value;
        let members = all_members(value);
        let acknowledged = &proposal.acknowledged;
        let first = proposal.accepted.epoch == 1 && proposal.accepted.sequence == 1;
        let enough = acknowledged.len()
            >= quorum::required_copies(self.tolerated_failures, value.members.len())
            && acknowledged.contains(&self.me)
            && quorum::is_quorum(value, acknowledged);
        let overdue = now.saturating_sub(proposal.since) > self.timing.silence;
        let waiting = |member: &DiskId| members.contains(member) && !acknowledged.contains(member);
        let complete = if first {
            members.iter().all(|member| acknowledged.contains(member))
        } else {
            overdue || !self.responsive_members(primary, now).iter().any(waiting)
        };
        if !enough || !complete {
            return Vec::new();
        }
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        let Some(proposal) = primary.proposal.take() else { return Vec::new() };
        primary.committed = Some(proposal.accepted.clone());
        let value = proposal.accepted.value.clone();
        let mut actions = vec![RegisterAction::Committed { accepted: proposal.accepted }];
        if value.prior.is_some() {
            // The members before the change are needed no more: for as long as the value named them, their losses would count.
            actions.extend(self.send_proposal(RegisterValue { prior: None, ..value }, now));
        }
        actions
    }
}
