//! Heartbeats, and reads that are confirmed by a round of them.

use super::{Micros, Output, Replica, Role};
use crate::quorum;
use quillmount_wire::messages::{DiskId, Epoch, ReplicaMessage};

impl Replica {
    /// Whether this primary heard a majority within the silence after which it would step down: what it has committed was the
    /// newest then.
    pub fn hears_majority(&self, now: Micros) -> bool {
        let Role::Primary(primary) = &self.role else { return false };
        let live = self.in_sync(primary, now);
        primary.committed.as_ref().is_some_and(|accepted| quorum::agreed(&accepted.value, &live))
    }

    /// Asks for a read that is confirmed by a majority; [`Output::ReadConfirmed`] follows with the same number.
    pub fn confirm_read(&mut self, read: u64, now: Micros) -> Vec<Output> {
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        let round = primary.round + 1;
        primary.reads.insert(read, round);
        self.send_heartbeats(now)
    }

    pub(super) fn send_heartbeats(&mut self, now: Micros) -> Vec<Output> {
        let timing = self.timing;
        let members = self.members().to_vec();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.round += 1;
        primary.next_heartbeat = now + timing.heartbeat;
        let message = ReplicaMessage::Heartbeat { epoch: primary.epoch, round: primary.round };
        members.into_iter().map(|to| Output::Send { to, message: message.clone() }).collect()
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: DiskId,
        epoch: Epoch,
        round: u64,
        now: Micros,
    ) -> Vec<Output> {
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

    pub(super) fn on_heartbeat_reply(
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

    pub(super) fn release_reads(&mut self) -> Vec<Output> {
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
}
