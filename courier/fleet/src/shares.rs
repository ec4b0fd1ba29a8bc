//! Budgets at a member of the fleet: what this courier may use, and, where it leads, what it proposes to move.
//!
//! Connections and the calls of a span are counted by the same state machines ([`crate::budget`]), each with an agreed
//! state of its own. The member passes on its lease, the agreed state and reports, and proposes the commands.

use crate::budget::state::PartnerBudget;
use crate::budget::{
    Budget, BudgetCommand, BudgetEvent, BudgetGate, BudgetLeader, BudgetMessage, BudgetState,
    ConnectionOrder, GateReports, Report, TimeBounds, calls,
};
use crate::config::Name;
use crate::ids::Epoch;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// What a budget counts. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    /// Connections at once.
    Connections,
    /// Calls in a span of time.
    Calls,
}

impl BudgetKind {
    const ALL: [BudgetKind; 2] = [BudgetKind::Connections, BudgetKind::Calls];

    /// The budget of this kind that a partner's configuration has.
    fn budget(self, configured: &Budget) -> Option<Budget> {
        match self {
            BudgetKind::Connections => Some(configured.clone()),
            BudgetKind::Calls => calls::call_budget(configured),
        }
    }
}

/// The agreed state of both kinds. Encoded by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedBudgets {
    /// The budgets of connections.
    pub connections: BudgetState,
    /// The budgets of calls.
    pub calls: BudgetState,
}

impl SharedBudgets {
    fn state(&self, kind: BudgetKind) -> &BudgetState {
        match kind {
            BudgetKind::Connections => &self.connections,
            BudgetKind::Calls => &self.calls,
        }
    }

    fn state_mut(&mut self, kind: BudgetKind) -> &mut BudgetState {
        match kind {
            BudgetKind::Connections => &mut self.connections,
            BudgetKind::Calls => &mut self.calls,
        }
    }

    /// Applies a committed command; whether it was accepted.
    pub fn apply(&mut self, kind: BudgetKind, command: &BudgetCommand) -> bool {
        let events = self.state_mut(kind).apply(command);
        !events.iter().any(|event| matches!(event, BudgetEvent::Rejected { .. }))
    }

    /// A courier is a member with a new epoch.
    pub fn joined(&mut self, courier: &str, epoch: Epoch) {
        self.apply_to_all(&BudgetCommand::Joined { courier: courier.into(), epoch });
    }

    /// A courier's registration has ended: its lease has lapsed.
    pub fn end_registration(&mut self, courier: &str, epoch: Epoch) {
        self.apply_to_all(&BudgetCommand::Lapsed { courier: courier.into(), epoch });
    }

    fn apply_to_all(&mut self, command: &BudgetCommand) {
        for kind in BudgetKind::ALL {
            self.apply(kind, command);
        }
    }
}

/// The budgets at one courier.
#[derive(Clone, Debug)]
pub struct BudgetShares {
    budgets: Vec<Budget>,
    couriers: Vec<Name>,
    /// What this courier may use: it permits each call to a partner with a budget.
    pub gate: BudgetGate,
    /// By [`BudgetKind`].
    leaders: [BudgetLeader; 2],
}

impl BudgetShares {
    /// The budgets as they are configured, at the start of a process; `couriers` are those that have a floor.
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
            leaders[0].set_budget(budget);
            if let Some(call_budget) = calls::call_budget(budget) {
                leaders[1].set_budget(&call_budget);
            }
        }
        leaders
    }

    /// Whether any partner has a budget.
    pub fn is_configured(&self) -> bool {
        !self.budgets.is_empty()
    }

    /// This courier leads from now on: reports from an earlier term are outdated.
    pub fn begin_leadership(&mut self, bounds: TimeBounds) {
        self.leaders = Self::leaders(bounds, &self.budgets);
    }

    /// Receives a courier's report, as the leader.
    pub fn receive_report(&mut self, kind: BudgetKind, report: Report, now: Micros) {
        self.leaders[kind as usize].receive(&BudgetMessage::Report(report), now);
    }

    /// This courier's lease was revoked.
    pub fn revoke_lease(&mut self) {
        self.gate.end_lease();
    }

    /// The agreed state has changed; returns the connections to close.
    pub fn apply_state(&mut self, shared: &SharedBudgets, now: Micros) -> Vec<ConnectionOrder> {
        self.gate.apply_state(&shared.connections, &shared.calls, now)
    }

    /// The reports to the leader, as far as they are due.
    pub fn reports(&mut self, now: Micros) -> Vec<(BudgetKind, Report)> {
        let GateReports { connections, calls } = self.gate.reports(now);
        let connections = connections.map(|report| (BudgetKind::Connections, report));
        connections.into_iter().chain(calls.map(|report| (BudgetKind::Calls, report))).collect()
    }

    /// The commands that the leader is to propose: to adapt the agreed budgets to the configured ones, and to move shares.
    pub fn commands(&mut self, shared: &SharedBudgets, now: Micros) -> Vec<(BudgetKind, BudgetCommand)> {
        let mut commands = Vec::new();
        for kind in BudgetKind::ALL {
            let budget_state = shared.state(kind);
            let mut of_kind = self.configuration_commands(kind, budget_state);
            of_kind.extend(self.leaders[kind as usize].tick(budget_state, now));
            commands.extend(of_kind.into_iter().map(|command| (kind, command)));
        }
        commands
    }

    fn configuration_commands(&self, kind: BudgetKind, budget_state: &BudgetState) -> Vec<BudgetCommand> {
        let configured: Vec<Budget> = self.budgets.iter().filter_map(|budget| kind.budget(budget)).collect();
        let mut commands = Vec::new();
        for budget in &configured {
            let agreed = budget_state.partner(budget.dest);
            if !agreed.is_some_and(|agreed| self.is_applied(budget, agreed)) {
                commands.push(BudgetCommand::Budget {
                    dest: budget.dest,
                    connections: budget.connections,
                    floor: budget.courier_floor,
                    couriers: self.couriers.clone(),
                });
            }
        }
        for (dest, _) in budget_state.partners() {
            if configured.iter().all(|budget| budget.dest != dest) {
                commands.push(BudgetCommand::Ended { dest });
            }
        }
        commands
    }

    /// Whether the agreed state has the configured budget already.
    fn is_applied(&self, budget: &Budget, agreed: &PartnerBudget) -> bool {
        let has_floor = |courier: &Name| agreed.target_floor(courier) >= budget.courier_floor;
        agreed.connections == budget.connections && self.couriers.iter().all(has_floor)
    }
}
