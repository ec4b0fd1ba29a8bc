//! Heartbeats, and reads that are confirmed by a round of them.

use super::{Micros, RegisterAction, RegisterReplica, Role};
use crate::quorum;
use quillmount_wire::messages::{DiskId, Epoch, RegisterMessage};

impl RegisterReplica {
    /// Whether this primary heard a majority within the silence after which it would step down: what it has committed was the
    /// newest then.
    pub fn has_recent_majority(&self, now: Micros) -> bool {
        let Role::Primary(primary) = &self.role else { return false };
        let live = self.responsive_members(primary, now);
        primary.committed.as_ref().is_some_and(|accepted| quorum::is_quorum(&accepted.value, &live))
    }

    /// Asks for a read that is confirmed by a majority; [`RegisterAction::ReadConfirmed`] follows with the same number.
    pub fn confirm_read(&mut self, read: u64, now: Micros) -> Vec<RegisterAction> {
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        let round = primary.round + 1;
        primary.pending_reads.insert(read, round);
        self.send_heartbeats(now)
    }

    pub(super) fn send_heartbeats(&mut self, now: Micros) -> Vec<RegisterAction> {
        let timing = self.timing;
        let members = self.members().to_vec();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.round += 1;
        primary.next_heartbeat = now + timing.heartbeat;
        let message = RegisterMessage::Heartbeat { epoch: primary.epoch, round: primary.round };
        members.into_iter().map(|to| RegisterAction::Send { to, message: message.clone() }).collect()
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: DiskId,
        epoch: Epoch,
        round: u64,
        now: Micros,
    ) -> Vec<RegisterAction> {
        if self.is_blank() {
            return Vec::new();
        }
        if self.must_reject(from, epoch) {
            return self.reject(from);
        }
        let mut actions = Vec::new();
        if from != self.me {
            actions.extend(self.follow_primary(from, now));
        }
        let position =
            self.register.accepted.as_ref().map_or((0, 0), |position| (position.epoch, position.sequence));
        let reply = RegisterMessage::HeartbeatReply {
            epoch,
            round,
            accepted_epoch: position.0,
            accepted_sequence: position.1,
        };
        let send = RegisterAction::Send { to: from, message: reply };
        if epoch > self.register.promised || from != self.register.promised_to {
            self.register.promised = epoch;
            self.register.promised_to = from;
            actions.push(RegisterAction::Persist { register: self.register.clone(), then: vec![send] });
        } else {
            actions.push(send);
        }
        actions
    }

    pub(super) fn on_heartbeat_reply(
        &mut self,
        from: DiskId,
        message_epoch: Epoch,
        round: u64,
        position: (Epoch, u64),
        now: Micros,
    ) -> Vec<RegisterAction> {
        let current = self.register.accepted.clone();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        if primary.epoch != message_epoch {
            return Vec::new();
        }
        let known = primary.last_replies.get(&from).map_or(0, |(known, _)| *known);
        primary.last_replies.insert(from, (round.max(known), now));
        let mut actions = Vec::new();
        // A member that missed the last value gets it, so that it is level when the next one comes.
        let committed =
            primary.committed.as_ref().map_or((0, 0), |position| (position.epoch, position.sequence));
        if position < committed
            && let Some(accepted) =
                current.filter(|position| (position.epoch, position.sequence) >= committed)
        {
            actions.push(RegisterAction::Send { to: from, message: RegisterMessage::Accept { accepted } });
        }
        actions.extend(self.release_reads());
        actions
    }

    pub(super) fn release_reads(&mut self) -> Vec<RegisterAction> {
        let Some(value) = self.register.accepted.as_ref().map(|accepted| accepted.value.clone()) else {
            return Vec::new();
        };
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        if primary.committed.is_none() {
            return Vec::new();
        }
        let last_replies = &primary.last_replies;
        let confirmed = |round: u64| {
            let answered =
                last_replies.iter().filter(|(_, (last, _))| *last >= round).map(|(member, _)| *member);
            quorum::is_quorum(&value, &answered.collect())
        };
        let ready: Vec<u64> = primary
            .pending_reads
            .iter()
            .filter(|(_, round)| confirmed(**round))
            .map(|(read, _)| *read)
            .collect();
        ready.iter().for_each(|read| {
            primary.pending_reads.remove(read);
        });
        ready.into_iter().map(|read| RegisterAction::ReadConfirmed { read }).collect()
    }
}
