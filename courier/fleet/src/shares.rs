//! Partners' budgets in a member's hands: what this courier may use, and, where it leads, what is moved. Connections and calls
//! of a span are counted by the same machines, each with an agreed state of its own.

use crate::budget::{
    Budget, BudgetCommand, BudgetGate, BudgetLeader, BudgetMessage, BudgetState, ConnectionOrder, Report,
    TimeBounds, calls,
};
use crate::config::Name;
use crate::state::Epoch;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// Which of the two is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    Connections,
    Calls,
}

/// What is agreed of both.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedBudgets {
    pub connections: BudgetState,
    pub calls: BudgetState,
}

impl SharedBudgets {
    fn state_of(&mut self, kind: BudgetKind) -> &mut BudgetState {
        match kind {
            BudgetKind::Connections => &mut self.connections,
            BudgetKind::Calls => &mut self.calls,
        }
    }

    /// Takes a command; whether anything changed.
    pub fn apply(&mut self, kind: BudgetKind, command: &BudgetCommand) -> bool {
        let rejected =
            |event: &crate::budget::BudgetEvent| matches!(event, crate::budget::BudgetEvent::Rejected { .. });
        let events = self.state_of(kind).apply(command);
        !events.iter().any(rejected)
    }

    pub fn joined(&mut self, courier: &str, epoch: Epoch) {
        let command = BudgetCommand::Joined { courier: courier.into(), epoch };
        [BudgetKind::Connections, BudgetKind::Calls]
            .into_iter()
            .for_each(|kind| _ = self.apply(kind, &command));
    }

    pub fn gone(&mut self, courier: &str, epoch: Epoch) {
        let command = BudgetCommand::Lapsed { courier: courier.into(), epoch };
        [BudgetKind::Connections, BudgetKind::Calls]
            .into_iter()
            .for_each(|kind| _ = self.apply(kind, &command));
    }
}

/// One courier's hands.
#[derive(Clone, Debug)]
pub struct BudgetShares {
    budgets: Vec<Budget>,
    couriers: Vec<Name>,
    /// What this courier may use: asked before each call to a partner with a budget.
    pub gate: BudgetGate,
    leaders: [BudgetLeader; 2],
}

impl BudgetShares {
    pub fn new(
        local_name: &str,
        bounds: TimeBounds,
        budgets: Vec<Budget>,
        couriers: Vec<Name>,
        now: Micros,
    ) -> BudgetShares {
        let gate = BudgetGate::new(local_name, bounds, &budgets, now);
        let mut shares = BudgetShares { couriers, gate, leaders: Self::leaders(bounds, &budgets), budgets };
        shares.couriers.sort();
        shares
    }

    fn leaders(bounds: TimeBounds, budgets: &[Budget]) -> [BudgetLeader; 2] {
        let mut leaders = [BudgetLeader::new(bounds), BudgetLeader::new(calls::call_bounds(bounds, budgets))];
        for budget in budgets {
            leaders[0].budget(budget);
            if let Some(of) = calls::call_budget(budget) {
                leaders[1].budget(&of);
            }
        }
        leaders
    }

    /// There is anything to share.
    pub fn is_configured(&self) -> bool {
        !self.budgets.is_empty()
    }

    /// It leads from now on: what it heard when it led before is old.
    pub fn begin_leadership(&mut self, bounds: TimeBounds) {
        self.leaders = Self::leaders(bounds, &self.budgets);
    }

    pub fn receive_report(&mut self, kind: BudgetKind, report: Report, now: Micros) {
        self.leaders[kind as usize].receive(&BudgetMessage::Report(report), now);
    }

    /// The lease is over at once: it was told so.
    pub fn revoke_lease(&mut self) {
        self.gate.connections.end_lease();
        self.gate.calls.end_lease();
    }

    /// What is agreed has changed.
    pub fn apply_state(&mut self, shared: &SharedBudgets, now: Micros) -> Vec<ConnectionOrder> {
        self.gate.apply_state(&shared.connections, &shared.calls, now)
    }

    /// What the leader is to know, if it is time.
    pub fn reports(&mut self, now: Micros) -> Vec<(BudgetKind, Report)> {
        let (connections, calls) = self.gate.reports(now);
        let connections = connections.map(|report| (BudgetKind::Connections, report));
        connections.into_iter().chain(calls.map(|report| (BudgetKind::Calls, report))).collect()
    }

    /// What whoever leads is to propose.
    pub fn commands(&mut self, shared: &SharedBudgets, now: Micros) -> Vec<(BudgetKind, BudgetCommand)> {
        let mut commands = Vec::new();
        for (kind, budget_state) in
            [(BudgetKind::Connections, &shared.connections), (BudgetKind::Calls, &shared.calls)]
        {
            let wanted = |budget: &Budget| match kind {
                BudgetKind::Connections => Some(budget.clone()),
                BudgetKind::Calls => calls::call_budget(budget),
            };
            let wanted: Vec<Budget> = self.budgets.iter().filter_map(wanted).collect();
            for budget in &wanted {
                let known = budget_state.partner(budget.dest);
                let floors = |p: &crate::budget::state::PartnerBudget| {
                    self.couriers.iter().all(|c| p.target_floor(c) >= budget.courier_floor)
                };
                if !known.is_some_and(|p| p.connections == budget.connections && floors(p)) {
                    let (dest, connections, floor) = (budget.dest, budget.connections, budget.courier_floor);
                    let couriers = self.couriers.clone();
                    commands.push((kind, BudgetCommand::Budget { dest, connections, floor, couriers }));
                }
            }
            for (dest, _) in
                budget_state.partners().filter(|(dest, _)| wanted.iter().all(|b| b.dest != *dest))
            {
                commands.push((kind, BudgetCommand::Ended { dest }));
            }
            commands
                .extend(self.leaders[kind as usize].tick(budget_state, now).into_iter().map(|c| (kind, c)));
        }
        commands
    }
}
