//! Elections: canvassing, promises, and who follows whom.

use super::{Micros, PrimaryState, RegisterAction, RegisterReplica, Role, all_members};
use crate::quorum;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, RegisterMessage, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};

impl RegisterReplica {
    pub(super) fn renew_jitter(&mut self) {
        self.jitter_state =
            self.jitter_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.jitter = (self.jitter_state >> 33) % (self.timing.election / 2 + 1);
    }

    /// The next canvass comes after a heartbeat's time: a primary that is there is heard by then, and canvassing changes
    /// nothing, so that a system without a primary need not wait for longer.
    pub(super) fn retry_pre_vote(&mut self, now: Micros) {
        self.schedule_pre_vote(self.timing.heartbeat, now);
    }

    /// Sets the time of the next canvass, with a part of the jitter added.
    pub(super) fn schedule_pre_vote(&mut self, span: Micros, now: Micros) {
        let wait = span + self.jitter / 4;
        self.last_contact = now.saturating_sub((self.timing.election + self.jitter).saturating_sub(wait));
    }

    /// Leaves the primary's place to a member that is in sync.
    pub fn resign(&mut self, now: Micros) -> Vec<RegisterAction> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let live = self.responsive_members(primary, now);
        let epoch = primary.epoch;
        let others: Vec<DiskId> =
            self.members().iter().copied().filter(|member| *member != self.me).collect();
        let successor = others.iter().copied().find(|member| live.contains(member));
        let mut actions = self.step_down(now, None);
        if let Some(successor) = successor {
            let message = RegisterMessage::Resign { epoch, successor };
            actions
                .extend(others.into_iter().map(|to| RegisterAction::Send { to, message: message.clone() }));
        }
        actions
    }

    pub(super) fn become_primary(&mut self, epoch: Epoch, now: Micros) {
        self.role = Role::Primary(Box::new(PrimaryState {
            epoch,
            elected: now,
            proposal: None,
            committed: None,
            last_sequence: 0,
            round: 0,
            last_replies: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            next_heartbeat: now,
        }));
    }

    pub(super) fn is_majority_of_members(&self, live: &BTreeSet<DiskId>) -> bool {
        self.register.accepted.as_ref().is_none_or(|accepted| quorum::is_quorum(&accepted.value, live))
    }

    pub(super) fn start_pre_vote(&mut self, now: Micros) -> Vec<RegisterAction> {
        self.renew_jitter();
        self.retry_pre_vote(now);
        let Some(accepted) = &self.register.accepted else { return Vec::new() };
        if !accepted.value.members.contains(&self.me) {
            return Vec::new();
        }
        let epoch = self.register.promised + 1;
        let targets = all_members(&accepted.value);
        self.role = Role::PreCandidate { epoch, grants: BTreeSet::new() };
        targets
            .into_iter()
            .map(|to| RegisterAction::Send { to, message: RegisterMessage::PreVote { epoch } })
            .collect()
    }

    pub(super) fn start_election(&mut self, epoch: Epoch, now: Micros) -> Vec<RegisterAction> {
        let Some(accepted) = &self.register.accepted else { return Vec::new() };
        let targets = all_members(&accepted.value);
        self.last_contact = now;
        self.role = Role::Candidate { epoch, promises: BTreeMap::new() };
        targets
            .into_iter()
            .map(|to| RegisterAction::Send { to, message: RegisterMessage::Prepare { epoch } })
            .collect()
    }

    /// Whether a primary was heard so lately that an election would only disturb it.
    pub(super) fn has_recent_primary(&self, now: Micros) -> bool {
        match &self.role {
            Role::Primary(_) => true,
            Role::Follower { primary: Some(_) } => {
                now.saturating_sub(self.last_contact) < self.timing.election / 2
            }
            _ => false,
        }
    }

    pub(super) fn on_pre_vote(&mut self, from: DiskId, epoch: Epoch, now: Micros) -> Vec<RegisterAction> {
        if from != self.me && self.has_recent_primary(now) {
            return Vec::new();
        }
        let message = if epoch > self.register.promised {
            RegisterMessage::PreVoteGranted { epoch }
        } else {
            RegisterMessage::Reject { promised: self.register.promised }
        };
        vec![RegisterAction::Send { to: from, message }]
    }

    pub(super) fn on_pre_vote_granted(
        &mut self,
        from: DiskId,
        message_epoch: Epoch,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let Role::PreCandidate { epoch, grants } = &mut self.role else { return Vec::new() };
        if *epoch != message_epoch {
            return Vec::new();
        }
        grants.insert(from);
        let grants = grants.clone();
        if self.is_majority_of_members(&grants) {
            self.start_election(message_epoch, now)
        } else {
            Vec::new()
        }
    }

    pub(super) fn on_prepare(&mut self, from: DiskId, epoch: Epoch, now: Micros) -> Vec<RegisterAction> {
        if from != self.me && self.has_recent_primary(now) {
            return Vec::new();
        }
        if epoch <= self.register.promised {
            return self.reject(from);
        }
        self.register.promised = epoch;
        self.register.promised_to = from;
        let mut actions = Vec::new();
        if from != self.me {
            actions.extend(self.step_down(now, None));
        }
        let promise = RegisterMessage::Promise { epoch, accepted: self.register.accepted.clone() };
        let then = vec![RegisterAction::Send { to: from, message: promise }];
        actions.push(RegisterAction::Persist { register: self.register.clone(), then });
        actions
    }

    pub(super) fn on_promise(
        &mut self,
        from: DiskId,
        message_epoch: Epoch,
        accepted: Option<Accepted>,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let Role::Candidate { epoch, promises } = &mut self.role else { return Vec::new() };
        if *epoch != message_epoch {
            return Vec::new();
        }
        promises.insert(from, accepted);
        let newest =
            promises.values().flatten().max_by_key(|accepted| (accepted.epoch, accepted.sequence)).cloned();
        let Some(newest) = newest else { return Vec::new() };
        let answered: BTreeSet<DiskId> = promises.keys().copied().collect();
        if !quorum::is_quorum(&newest.value, &answered) {
            return self.prepare_added_members(&newest.value, message_epoch);
        }
        if !newest.value.members.contains(&self.me) {
            return self.step_down(now, None);
        }
        self.become_primary(message_epoch, now);
        let mut actions = vec![RegisterAction::Elected { epoch: message_epoch }];
        actions.extend(self.send_proposal(newest.value, now));
        actions
    }

    /// Asks members that only the newest value names for their promise as well.
    pub(super) fn prepare_added_members(&self, value: &RegisterValue, epoch: Epoch) -> Vec<RegisterAction> {
        let own =
            self.register.accepted.as_ref().map(|accepted| all_members(&accepted.value)).unwrap_or_default();
        all_members(value)
            .into_iter()
            .filter(|member| !own.contains(member))
            .map(|to| RegisterAction::Send { to, message: RegisterMessage::Prepare { epoch } })
            .collect()
    }

    pub(super) fn on_reject(&mut self, promised: Epoch, now: Micros) -> Vec<RegisterAction> {
        let stale = match &self.role {
            // A rival of the same epoch refuses its own promise only: the others may still be a majority.
            Role::Primary(primary) => promised > primary.epoch,
            Role::Candidate { epoch, .. } => promised > *epoch,
            Role::PreCandidate { epoch, .. } => promised >= *epoch,
            Role::Follower { .. } => false,
        };
        if !stale {
            if matches!(self.role, Role::Candidate { .. }) {
                self.schedule_pre_vote(self.timing.pre_vote_delay, now);
            }
            return Vec::new();
        }
        // The next try begins above what was promised elsewhere; no promise is made by this.
        if promised > self.register.promised && self.register.accepted.is_some() {
            self.register.promised = promised;
            self.register.promised_to = 0;
        }
        let actions = self.step_down(now, None);
        self.schedule_pre_vote(self.timing.pre_vote_delay, now);
        actions
    }

    pub(super) fn on_resign(
        &mut self,
        from: DiskId,
        epoch: Epoch,
        successor: DiskId,
        now: Micros,
    ) -> Vec<RegisterAction> {
        let known = self.register.promised == epoch && self.register.promised_to == from;
        if !known || self.is_blank() {
            return Vec::new();
        }
        self.role = Role::Follower { primary: None };
        if successor == self.me { self.start_pre_vote(now) } else { Vec::new() }
    }
}
