//! Heartbeats, and the reads that a round of heartbeats confirms (Raft's ReadIndex; Ongaro 2014, section 6.4).

use super::RegisterReplica;
use super::action::{ReadId, RegisterAction};
use super::position::Position;
#[cfg(doc)]
use super::timing::MAX_PUBLISHED_STATE_AGE;
use crate::quorum;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, RegisterMessage};

impl RegisterReplica {
    /// Returns whether this member is primary, has committed a value, and heard from a quorum within the silence
    /// timeout, in answer to messages that were sent within [`MAX_PUBLISHED_STATE_AGE`]. The committed value was the newest one
    /// when they were sent.
    #[must_use]
    pub fn has_recent_majority(&self, now: Micros) -> bool {
        let Some(primary) = self.role.as_primary() else { return false };
        let Some(committed) = &primary.committed else { return false };
        let responsive = primary.responsive_members(self.timing.silence_timeout, now);
        let confirming = primary.confirming_members(now);
        quorum::is_quorum(&committed.value, &responsive) && quorum::is_quorum(&committed.value, &confirming)
    }

    /// Returns the time at which a member last answered this primary in its epoch; `None` if it has not answered,
    /// or if this member is not primary.
    #[must_use]
    pub fn last_reply(&self, member: DiskId) -> Option<Micros> {
        self.role.as_primary()?.last_reply(member)
    }

    /// Starts a read: sends a round of heartbeats, and returns [`RegisterAction::ReadConfirmed`] from a later call
    /// once a quorum has answered it. A read that is pending when this member steps down is dropped without an
    /// action.
    pub fn confirm_read(&mut self, read: ReadId, now: Micros) -> Vec<RegisterAction> {
        let Some(primary) = self.role.as_primary_mut() else { return Vec::new() };
        primary.add_read(read);
        self.send_heartbeats(now)
    }

    pub(super) fn send_due_heartbeats(&mut self, now: Micros) -> Vec<RegisterAction> {
        let is_due = self.role.as_primary().is_some_and(|primary| now >= primary.next_heartbeat);
        if is_due { self.send_heartbeats(now) } else { Vec::new() }
    }

    fn send_heartbeats(&mut self, now: Micros) -> Vec<RegisterAction> {
        let Some(primary) = self.role.as_primary_mut() else { return Vec::new() };
        let epoch = primary.epoch;
        let round = primary.begin_round(self.timing.heartbeat_interval, now);
        let members = self.members().iter().copied();
        RegisterAction::broadcast(members, &RegisterMessage::Heartbeat { epoch, round })
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
        if from != self.own_disk {
            actions.extend(self.follow_primary(from, now));
        }
        let newest = Position::of_newest(self.register.accepted.as_ref());
        let reply = RegisterMessage::HeartbeatReply {
            epoch,
            round,
            accepted_epoch: newest.epoch,
            accepted_sequence: newest.sequence,
        };
        // A heartbeat of an epoch that was not promised to its sender counts as a promise, which has to be synced.
        let is_promised = epoch <= self.register.promised && from == self.register.promised_to;
        if is_promised {
            actions.push(RegisterAction::Send { to: from, message: reply });
        } else if self.disk_progress.may_write() {
            self.promise(epoch, from);
            actions.push(self.persist_and_send(from, reply));
        }
        actions
    }

    pub(super) fn on_heartbeat_reply(
        &mut self,
        from: DiskId,
        epoch: Epoch,
        round: u64,
        newest: Position,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let Some(primary) = self.role.as_primary_mut() else { return Vec::new() };
        if primary.epoch != epoch {
            return Vec::new();
        }
        primary.record_heartbeat_reply(from, round, now);
        let committed = Position::of_newest(primary.committed.as_ref());
        let mut actions = Vec::new();
        // A member that missed the last committed value receives it now, so that it is up to date before the next
        // proposal.
        if newest < committed
            && let Some(accepted) = &self.register.accepted
            && Position::from(accepted) >= committed
        {
            let message = RegisterMessage::Accept { accepted: accepted.clone() };
            actions.push(RegisterAction::Send { to: from, message });
        }
        actions.extend(self.release_reads());
        actions
    }

    /// Confirms the reads whose round of heartbeats a quorum has answered. Before the first commit in this epoch it
    /// confirms none, because a value of an earlier epoch may be committed only by that commit.
    fn release_reads(&mut self) -> Vec<RegisterAction> {
        let Some(accepted) = &self.register.accepted else { return Vec::new() };
        let Some(primary) = self.role.as_primary_mut() else { return Vec::new() };
        if primary.committed.is_none() {
            return Vec::new();
        }
        let confirmed = primary.take_confirmed_reads(&accepted.value);
        confirmed.into_iter().map(|read| RegisterAction::ReadConfirmed { read }).collect()
    }
}
