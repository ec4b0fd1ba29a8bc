//! Proposals (phase 2 of Paxos): the primary sends them, the members accept them, and they are committed once
//! enough members have synced the value.

use super::action::RegisterAction;
use super::position::Position;
use super::{MAX_PAYLOAD_BYTES, RegisterReplica};
use crate::quorum::all_members;
use quillmount_wire::Micros;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, RegisterMessage, RegisterValue};

impl RegisterReplica {
    /// Proposes the first value of a new system. Must be called on one member only; there is no election. Has no
    /// effect if this member has promised or accepted anything, or if the payload is larger than [`MAX_PAYLOAD_BYTES`].
    pub fn bootstrap(&mut self, members: Vec<DiskId>, payload: Vec<u8>, now: Micros) -> Vec<RegisterAction> {
        let is_new = self.is_blank() && self.register.promised == 0;
        if !is_new || payload.len() > MAX_PAYLOAD_BYTES {
            return Vec::new();
        }
        let epoch = Position::FIRST.epoch;
        self.become_primary(epoch, now);
        self.promise(epoch, self.own_disk);
        let mut actions = vec![RegisterAction::Elected { epoch }];
        actions.extend(self.send_proposal(RegisterValue { members, prior: None, payload }, now));
        actions
    }

    /// Proposes the next value; has no effect unless [`RegisterReplica::can_propose`], or if the payload is larger
    /// than [`MAX_PAYLOAD_BYTES`], which no member would accept. If the members change, the value also names the
    /// prior members, and a second proposal without them follows its commit.
    pub fn propose(&mut self, members: Vec<DiskId>, payload: Vec<u8>, now: Micros) -> Vec<RegisterAction> {
        if !self.can_propose() || payload.len() > MAX_PAYLOAD_BYTES {
            return Vec::new();
        }
        let prior_members = self.members().to_vec();
        let prior = (prior_members != members).then_some(prior_members);
        self.send_proposal(RegisterValue { members, prior, payload }, now)
    }

    pub(super) fn send_proposal(&mut self, value: RegisterValue, now: Micros) -> Vec<RegisterAction> {
        let Some(primary) = self.role.as_primary_mut() else { return Vec::new() };
        let accepted = primary.begin_proposal(value, now);
        let members = all_members(&accepted.value);
        RegisterAction::broadcast(members, &RegisterMessage::Accept { accepted })
    }

    /// Resends the proposal in flight to members that have not acknowledged it within a heartbeat interval.
    pub(super) fn resend_proposal(&mut self, now: Micros) -> Vec<RegisterAction> {
        let Some(primary) = self.role.as_primary_mut() else { return Vec::new() };
        let Some(proposal) = &mut primary.proposal else { return Vec::new() };
        if now.saturating_sub(proposal.last_sent) < self.timing.heartbeat_interval {
            return Vec::new();
        }
        proposal.last_sent = now;
        let mut missing = all_members(&proposal.accepted.value);
        missing.retain(|member| !proposal.acknowledged.contains(member));
        RegisterAction::broadcast(missing, &RegisterMessage::Accept { accepted: proposal.accepted.clone() })
    }

    pub(super) fn on_accept(&mut self, from: DiskId, accepted: Accepted, now: Micros) -> Vec<RegisterAction> {
        if self.must_reject(from, accepted.epoch) {
            return self.reject(from);
        }
        let is_too_large = accepted.value.payload.len() > MAX_PAYLOAD_BYTES;
        if is_too_large || !all_members(&accepted.value).contains(&self.own_disk) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if from != self.own_disk {
            actions.extend(self.follow_primary(from, now));
        }
        let proposed = Position::from(&accepted);
        let current = Position::of_newest(self.register.accepted.as_ref());
        if current > proposed {
            return actions;
        }
        // Two first values may have the same position: the member that wrote the first one was killed before it was on its disk, and
        // has written another.
        if current == proposed && self.register.accepted.as_ref() != Some(&accepted) {
            return actions;
        }
        let acknowledgement =
            RegisterMessage::Acknowledge { epoch: proposed.epoch, sequence: proposed.sequence };
        if current == proposed && self.disk_progress.is_current_synced() {
            actions.push(RegisterAction::Send { to: from, message: acknowledgement });
            return actions;
        }
        // A duplicate of a proposal that is being written is acknowledged with the first one.
        let is_being_written = current == proposed && self.disk_progress.is_current_in_flight();
        if is_being_written || !self.disk_progress.may_write() {
            return actions;
        }
        if current < proposed {
            self.promise(accepted.epoch, from);
            let replaced = self.register.accepted.replace(accepted);
            self.disk_progress.value_accepted(replaced);
        }
        actions.push(self.persist_and_send(from, acknowledgement));
        actions
    }

    pub(super) fn on_acknowledge(
        &mut self,
        from: DiskId,
        epoch: Epoch,
        sequence: u64,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let Some(primary) = self.role.as_primary_mut() else { return Vec::new() };
        if primary.epoch != epoch {
            return Vec::new();
        }
        primary.record_acknowledgement(from, sequence, now);
        let Some(proposal) = &mut primary.proposal else { return Vec::new() };
        if proposal.accepted.sequence != sequence {
            return Vec::new();
        }
        proposal.acknowledged.insert(from);
        self.try_commit(now)
    }

    /// Commits the proposal in flight if enough members have acknowledged it.
    pub(super) fn try_commit(&mut self, now: Micros) -> Vec<RegisterAction> {
        let Some(primary) = self.role.as_primary_mut() else { return Vec::new() };
        if !primary.may_commit(self.tolerated_failures, self.timing.silence_timeout, now) {
            return Vec::new();
        }
        let Some(proposal) = primary.proposal.take() else { return Vec::new() };
        let accepted = proposal.accepted;
        primary.committed = Some(accepted.clone());
        let value = accepted.value.clone();
        let mut actions = vec![RegisterAction::Committed { accepted }];
        if value.prior.is_some() {
            // The prior members are no longer needed. As long as the value names them, a quorum has to include a
            // majority of them, so their failures would affect availability.
            actions.extend(self.send_proposal(RegisterValue { prior: None, ..value }, now));
        }
        actions
    }
}
