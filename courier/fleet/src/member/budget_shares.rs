//! Partners' budgets in a member: the member's own shares, and, on the leader, the division among couriers.

use super::{AgreementLog, Member, MemberError, MemberOutput, StoreDirectory};
use crate::message::FleetMessage;
use crate::shares::BudgetShares;
use crate::state::FleetCommand;
use quillmount_policy::Micros;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// This courier's shares of partners' budgets, from which calls and connections are admitted.
    pub fn shares(&mut self) -> &mut BudgetShares {
        &mut self.shares
    }

    /// Applies the agreed shares after a change of the agreed state.
    pub(super) fn apply_budget_shares(&mut self, now: Micros, out: &mut Vec<MemberOutput>) {
        if !self.shares.is_configured() {
            return;
        }
        let orders = self.shares.apply_state(&self.state.shared, now);
        if !orders.is_empty() {
            out.push(MemberOutput::CloseConnections(orders));
        }
    }

    /// Reports use and demand to the leader. The leader proposes changes of the shares.
    pub(super) fn maintain_budget_shares(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if !self.shares.is_configured() {
            return Ok(());
        }
        let orders = self.shares.gate.tick(now);
        if !orders.is_empty() {
            out.push(MemberOutput::CloseConnections(orders));
        }
        if let Some(leader) = self.leader().filter(|_| self.epoch.is_some()) {
            for (kind, report) in self.shares.reports(now) {
                self.send_to(leader.clone(), FleetMessage::BudgetReport(kind, report), now, out)?;
            }
        }
        if self.is_leader {
            for (kind, command) in self.shares.commands(&self.state.shared, now) {
                self.propose(FleetCommand::Budget(kind, command), now, out)?;
            }
        }
        Ok(())
    }
}
