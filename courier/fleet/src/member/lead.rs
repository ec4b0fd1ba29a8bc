//! What the leader sees to.

use super::*;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// Whoever leads says who is gone, and sees to it that those vote whom the operators named.
    pub(super) fn lead(&mut self, now: Micros, out: &mut Vec<MemberOutput>) -> Result<(), MemberError> {
        let serving = self.state.members.iter().filter(|(_, m)| m.serving);
        let lapsed: Vec<_> = serving
            .filter(|(name, m)| now >= self.granted_leases.expires_at(name, m.epoch, &self.config))
            .map(|(name, m)| FleetCommand::Deregister { name: name.clone(), epoch: m.epoch })
            .collect();
        if !lapsed.is_empty() && now >= self.expire_at {
            self.expire_at = now + RETRY_INTERVAL;
            for command in &lapsed {
                if let FleetCommand::Deregister { name, epoch } = command {
                    self.granted_leases.mark_expiring(name, *epoch);
                }
            }
            lapsed.into_iter().try_for_each(|command| self.propose(command, now, out))?;
        }
        if now >= self.forget_at && self.state.settlements.sizes().1 > 0 {
            self.forget_at = now + VERDICT_SWEEP_INTERVAL;
            let command = settlement::SettlementCommand::Forget { before: now };
            self.propose(FleetCommand::Settlement(command), now, out)?;
        }
        let voters = self.agreement.voters();
        let named =
            |node_id: &NodeId| self.names_by_node.get(node_id).is_some_and(|name| self.config.is_voter(name));
        let serves =
            |node_id: &NodeId| self.state.members.values().any(|m| m.node_id == *node_id && m.serving);
        let learners = self.agreement.learners();
        if !named(&self.agreement.node_id())
            && let Some(to) = voters.iter().copied().find(|t| named(t) && serves(t))
            && !learners.iter().any(|t| named(t) && serves(t))
        {
            // Nobody takes its own vote away: the next leader does.
            return self.step_agreement(agreement::AgreementInput::TransferLeadership { to }, now, out);
        }
        let promote = learners.iter().find(|t| named(t) && serves(t)).copied().map(MembershipChange::Promote);
        let demote = || voters.iter().find(|t| !named(t) && self.names_by_node.contains_key(t)).copied();
        match promote.or_else(|| demote().map(MembershipChange::AddLearner)) {
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
        self.ticket += 1;
        self.step_agreement(
            agreement::AgreementInput::ChangeMembership { ticket: self.ticket, change },
            now,
            out,
        )
    }
}
