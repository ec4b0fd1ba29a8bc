//! Tasks of the leader: ends registrations whose lease has expired, sweeps old verdicts of settlements, and changes the
//! voters of the Raft group to the configured ones.

use super::{AgreementLog, Member, MemberError, MemberOutput, RETRY_INTERVAL, StoreDirectory};
use crate::NodeId;
use crate::agreement::{AgreementInput, MembershipChange};
use crate::settlement;
use crate::state::FleetCommand;
use quillmount_policy::Micros;

/// Time between two commands that remove old verdicts of settlements, in microseconds.
const VERDICT_SWEEP_INTERVAL: Micros = 10_000_000;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    pub(super) fn lead(&mut self, now: Micros, out: &mut Vec<MemberOutput>) -> Result<(), MemberError> {
        self.expire_leases(now, out)?;
        self.sweep_verdicts(now, out)?;
        self.adjust_voters(now, out)
    }

    fn expire_leases(&mut self, now: Micros, out: &mut Vec<MemberOutput>) -> Result<(), MemberError> {
        let expired: Vec<_> = self
            .state
            .serving_members()
            .filter(|(name, member)| now >= self.granted_leases.expires_at(name, member.epoch, &self.config))
            .map(|(name, member)| (name.clone(), member.epoch))
            .collect();
        if expired.is_empty() || now < self.next_expiry_at {
            return Ok(());
        }
        self.next_expiry_at = now + RETRY_INTERVAL;
        for (name, epoch) in &expired {
            self.granted_leases.mark_expiring(name, *epoch);
        }
        for (name, epoch) in expired {
            self.propose(FleetCommand::Deregister { name, epoch }, now, out)?;
        }
        Ok(())
    }

    fn sweep_verdicts(&mut self, now: Micros, out: &mut Vec<MemberOutput>) -> Result<(), MemberError> {
        if now < self.next_verdict_sweep_at || !self.state.settlements.has_verdicts() {
            return Ok(());
        }
        self.next_verdict_sweep_at = now + VERDICT_SWEEP_INTERVAL;
        let command = settlement::SettlementCommand::Forget { retained_before: now };
        self.propose(FleetCommand::Settlement(command), now, out)
    }

    /// Proposes the next change that brings the voters closer to the configured ones. Only one change is in progress
    /// at a time.
    fn adjust_voters(&mut self, now: Micros, out: &mut Vec<MemberOutput>) -> Result<(), MemberError> {
        let is_configured =
            |node_id: &NodeId| self.names_by_node.get(node_id).is_some_and(|name| self.config.is_voter(name));
        let is_serving =
            |node_id: &NodeId| self.state.serving_members().any(|(_, member)| member.node_id == *node_id);
        let is_wanted = |node_id: &NodeId| is_configured(node_id) && is_serving(node_id);
        let voters = self.agreement.voters();
        let learners = self.agreement.learners();
        let wanted_learner = learners.iter().find(|id| is_wanted(id)).copied();
        let wanted_voter = voters.iter().find(|id| is_wanted(id)).copied();
        if !is_configured(&self.agreement.node_id())
            && wanted_learner.is_none()
            && let Some(to) = wanted_voter
        {
            // A leader can't remove its own vote, so it transfers leadership to a configured voter, which removes it.
            return self.step_agreement(AgreementInput::TransferLeadership { to }, now, out);
        }
        let surplus =
            voters.iter().find(|id| !is_configured(id) && self.names_by_node.contains_key(id)).copied();
        let promotion = wanted_learner.map(MembershipChange::Promote);
        match promotion.or(surplus.map(MembershipChange::AddLearner)) {
            Some(change) => self.propose_membership_change(change, now, out),
            None => Ok(()),
        }
    }

    pub(super) fn propose_membership_change(
        &mut self,
        change: MembershipChange,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let ticket = self.next_ticket();
        self.step_agreement(AgreementInput::ChangeMembership { ticket, change }, now, out)
    }
}
