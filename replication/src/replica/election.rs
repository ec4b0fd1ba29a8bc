//! Elections: canvassing, promises, and who follows whom.

use super::{Micros, Output, Primary, Replica, Role, all_members};
use crate::quorum;
use quillmount_wire::messages::{Accepted, DiskId, Epoch, RegisterValue, ReplicaMessage};
use std::collections::{BTreeMap, BTreeSet};

impl Replica {
    pub(super) fn draw_jitter(&mut self) {
        self.draws =
            self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.jitter = (self.draws >> 33) % (self.timing.election / 2 + 1);
    }

    /// The next canvass comes after a heartbeat's time: a primary that is there is heard by then, and canvassing changes
    /// nothing, so that a system without a primary need not wait for longer.
    pub(super) fn retry_soon(&mut self, now: Micros) {
        self.canvass_after(self.timing.heartbeat, now);
    }

    /// Sets the time of the next canvass, with a part of the jitter added.
    pub(super) fn canvass_after(&mut self, span: Micros, now: Micros) {
        let wait = span + self.jitter / 4;
        self.heard = now.saturating_sub((self.timing.election + self.jitter).saturating_sub(wait));
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

    pub(super) fn become_primary(&mut self, epoch: Epoch, now: Micros) {
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

    pub(super) fn has_majority(&self, live: &BTreeSet<DiskId>) -> bool {
        self.register.accepted.as_ref().is_none_or(|accepted| quorum::agreed(&accepted.value, live))
    }

    pub(super) fn canvass(&mut self, now: Micros) -> Vec<Output> {
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

    pub(super) fn stand(&mut self, epoch: Epoch, now: Micros) -> Vec<Output> {
        let Some(accepted) = &self.register.accepted else { return Vec::new() };
        let targets = all_members(&accepted.value);
        self.heard = now;
        self.role = Role::Candidate { epoch, promises: BTreeMap::new() };
        targets
            .into_iter()
            .map(|to| Output::Send { to, message: ReplicaMessage::Prepare { epoch } })
            .collect()
    }

    /// Whether a primary was heard so lately that an election would only disturb it.
    pub(super) fn content(&self, now: Micros) -> bool {
        match &self.role {
            Role::Primary(_) => true,
            Role::Follower { primary: Some(_) } => now.saturating_sub(self.heard) < self.timing.election / 2,
            _ => false,
        }
    }

    pub(super) fn on_canvass(&mut self, from: DiskId, epoch: Epoch, now: Micros) -> Vec<Output> {
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

    pub(super) fn on_support(&mut self, from: DiskId, of: Epoch, now: Micros) -> Vec<Output> {
        let Role::Canvassing { epoch, support } = &mut self.role else { return Vec::new() };
        if *epoch != of {
            return Vec::new();
        }
        support.insert(from);
        let support = support.clone();
        if self.has_majority(&support) { self.stand(of, now) } else { Vec::new() }
    }

    pub(super) fn on_prepare(&mut self, from: DiskId, epoch: Epoch, now: Micros) -> Vec<Output> {
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

    pub(super) fn on_promise(
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
    pub(super) fn invite(&self, value: &RegisterValue, epoch: Epoch) -> Vec<Output> {
        let own =
            self.register.accepted.as_ref().map(|accepted| all_members(&accepted.value)).unwrap_or_default();
        all_members(value)
            .into_iter()
            .filter(|member| !own.contains(member))
            .map(|to| Output::Send { to, message: ReplicaMessage::Prepare { epoch } })
            .collect()
    }

    pub(super) fn on_reject(&mut self, promised: Epoch, now: Micros) -> Vec<Output> {
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

    pub(super) fn on_resign(
        &mut self,
        from: DiskId,
        epoch: Epoch,
        successor: DiskId,
        now: Micros,
    ) -> Vec<Output> {
        let known = self.register.promised == epoch && self.register.promised_to == from;
        if !known || self.is_blank() {
            return Vec::new();
        }
        self.role = Role::Follower { primary: None };
        if successor == self.me { self.canvass(now) } else { Vec::new() }
    }
}
