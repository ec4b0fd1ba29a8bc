//! Elections: pre-vote, promises, rejection and resignation.
//!
//! A member that hears from no primary first asks whether it could win an election ([`RegisterMessage::PreVote`];
//! Ongaro 2014, section 9.6). Only if a majority grants that, it asks for promises of the next epoch
//! ([`RegisterMessage::Prepare`], phase 1 of Paxos). With the promises of a quorum it becomes primary and proposes
//! the newest value that one of the promising members had accepted.

use super::action::RegisterAction;
use super::position::Position;
use super::primary::Primary;
use super::role::Role;
use super::{NO_MEMBER, RegisterReplica};
use crate::quorum::{self, all_members};
use quillmount_wire::Micros;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, RegisterMessage, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};

impl RegisterReplica {
    /// Transfers the leadership to a responsive member, which starts an election at once (Ongaro 2014, section
    /// 3.10). Has no effect unless this member is primary.
    pub fn resign(&mut self, now: Micros) -> Vec<RegisterAction> {
        let Some(primary) = self.role.as_primary() else { return Vec::new() };
        let epoch = primary.epoch;
        let responsive = primary.responsive_members(self.timing.silence_timeout, now);
        let mut others = self.members().to_vec();
        others.retain(|member| *member != self.own_disk);
        let successor = others.iter().copied().find(|member| responsive.contains(member));
        let mut actions = self.step_down(now, None);
        if let Some(successor) = successor {
            let message = RegisterMessage::Resign { epoch, successor };
            actions.extend(RegisterAction::broadcast(others, &message));
        }
        actions
    }

    /// Handles a failed write of the register, for example on a full disk; the accepted value in it was the one at
    /// `written`. A primary transfers the leadership to a responsive member, because a primary commits values only
    /// once they are on its own disk. This member starts no election for two election timeouts.
    ///
    /// If the disk refused the accepted value, this member returns to the newest value that is on the disk. This is
    /// as if the proposal had not arrived, because it was not acknowledged.
    pub fn write_failed(&mut self, written: Position, now: Micros) -> Vec<RegisterAction> {
        self.write_failed_at = Some(now);
        let actions = match self.role {
            Role::Primary(_) => self.resign(now),
            Role::Candidate { .. } | Role::PreCandidate { .. } => self.step_down(now, None),
            Role::Follower { .. } => Vec::new(),
        };
        let current = Position::of_newest(self.register.accepted.as_ref());
        if let Some(newest_synced) = self.disk_progress.write_failed(written, current) {
            self.register.accepted = Some(newest_synced);
        }
        actions
    }

    pub(super) fn become_primary(&mut self, epoch: Epoch, now: Micros) {
        self.role = Role::Primary(Box::new(Primary::new(self.own_disk, epoch, now)));
    }

    /// Requests pre-votes from the members, if this member belongs to the members of its newest value.
    pub(super) fn start_pre_vote(&mut self, now: Micros) -> Vec<RegisterAction> {
        self.election_timer.renew_jitter();
        // The next attempt does not wait for the whole election timeout, because a pre-vote changes no state:
        // within a heartbeat interval the member hears from a primary if there is one.
        self.election_timer.expire_after(self.timing.heartbeat_interval, now);
        let Some(accepted) = &self.register.accepted else { return Vec::new() };
        if !accepted.value.members.contains(&self.own_disk) {
            return Vec::new();
        }
        let epoch = self.register.promised + 1;
        self.role = Role::PreCandidate { epoch, grants: BTreeSet::new() };
        RegisterAction::broadcast(all_members(&accepted.value), &RegisterMessage::PreVote { epoch })
    }

    /// Requests promises of an epoch from the members.
    fn start_election(&mut self, epoch: Epoch, now: Micros) -> Vec<RegisterAction> {
        let Some(accepted) = &self.register.accepted else { return Vec::new() };
        self.election_timer.restart(now);
        self.role = Role::Candidate { epoch, promises: BTreeMap::new() };
        RegisterAction::broadcast(all_members(&accepted.value), &RegisterMessage::Prepare { epoch })
    }

    pub(super) fn on_pre_vote(&mut self, from: DiskId, epoch: Epoch, now: Micros) -> Vec<RegisterAction> {
        if from != self.own_disk && self.has_recent_primary(now) {
            return Vec::new();
        }
        if epoch <= self.register.promised {
            return self.reject(from);
        }
        vec![RegisterAction::Send { to: from, message: RegisterMessage::PreVoteGranted { epoch } }]
    }

    pub(super) fn on_pre_vote_granted(
        &mut self,
        from: DiskId,
        granted_epoch: Epoch,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let Role::PreCandidate { epoch, grants } = &mut self.role else { return Vec::new() };
        if *epoch != granted_epoch {
            return Vec::new();
        }
        grants.insert(from);
        let accepted = self.register.accepted.as_ref();
        if accepted.is_none_or(|accepted| quorum::is_quorum(&accepted.value, grants)) {
            self.start_election(granted_epoch, now)
        } else {
            Vec::new()
        }
    }

    pub(super) fn on_prepare(&mut self, from: DiskId, epoch: Epoch, now: Micros) -> Vec<RegisterAction> {
        if from != self.own_disk && self.has_recent_primary(now) {
            return Vec::new();
        }
        if epoch <= self.register.promised {
            return self.reject(from);
        }
        if !self.disk_progress.may_write() {
            return Vec::new();
        }
        self.promise(epoch, from);
        let mut actions = Vec::new();
        if from != self.own_disk {
            actions.extend(self.step_down(now, None));
        }
        let promise = RegisterMessage::Promise { epoch, accepted: self.register.accepted.clone() };
        actions.push(self.persist_and_send(from, promise));
        actions
    }

    pub(super) fn on_promise(
        &mut self,
        from: DiskId,
        promised_epoch: Epoch,
        accepted: Option<Accepted>,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let Role::Candidate { epoch, promises } = &mut self.role else { return Vec::new() };
        if *epoch != promised_epoch {
            return Vec::new();
        }
        promises.insert(from, accepted);
        let newest = promises.values().flatten().max_by_key(|accepted| Position::from(*accepted)).cloned();
        let Some(newest) = newest else { return Vec::new() };
        let promised_by: BTreeSet<DiskId> = promises.keys().copied().collect();
        if !quorum::is_quorum(&newest.value, &promised_by) {
            return self.prepare_added_members(&newest.value, promised_epoch);
        }
        if !newest.value.members.contains(&self.own_disk) {
            return self.step_down(now, None);
        }
        self.become_primary(promised_epoch, now);
        let mut actions = vec![RegisterAction::Elected { epoch: promised_epoch }];
        actions.extend(self.send_proposal(newest.value, now));
        actions
    }

    /// Requests promises of the epoch from members that only the newest value names.
    fn prepare_added_members(&self, newest: &RegisterValue, epoch: Epoch) -> Vec<RegisterAction> {
        let accepted = self.register.accepted.as_ref();
        let already_prepared = accepted.map(|accepted| all_members(&accepted.value)).unwrap_or_default();
        let mut added = all_members(newest);
        added.retain(|member| !already_prepared.contains(member));
        RegisterAction::broadcast(added, &RegisterMessage::Prepare { epoch })
    }

    pub(super) fn on_reject(&mut self, promised: Epoch, now: Micros) -> Vec<RegisterAction> {
        let is_outdated = match &self.role {
            // A rejection with the same epoch comes from a member that promised it to another candidate; the
            // remaining members may still be a majority.
            Role::Primary(primary) => promised > primary.epoch,
            Role::Candidate { epoch, .. } => promised > *epoch,
            Role::PreCandidate { epoch, .. } => promised >= *epoch,
            Role::Follower { .. } => false,
        };
        if !is_outdated {
            if matches!(self.role, Role::Candidate { .. }) {
                self.election_timer.expire_after(self.timing.pre_vote_delay, now);
            }
            return Vec::new();
        }
        // The next attempt uses an epoch above the one that was promised elsewhere. This promises nothing to any
        // member, so it does not need to be synced.
        if promised > self.register.promised && !self.is_blank() {
            self.promise(promised, NO_MEMBER);
        }
        let actions = self.step_down(now, None);
        self.election_timer.expire_after(self.timing.pre_vote_delay, now);
        actions
    }

    pub(super) fn on_resign(
        &mut self,
        from: DiskId,
        epoch: Epoch,
        successor: DiskId,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let is_current = self.register.promised == epoch && self.register.promised_to == from;
        if !is_current || self.is_blank() {
            return Vec::new();
        }
        self.role = Role::Follower { primary: None };
        if successor == self.own_disk && self.can_write(now) { self.start_pre_vote(now) } else { Vec::new() }
    }
}
