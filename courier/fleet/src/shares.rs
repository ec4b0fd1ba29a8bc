//! Budgets at a member of the fleet: the admission of calls at this courier and, while it leads the fleet, the moves
//! of shares that it proposes.
//!
//! Connections and the calls of a span are limited by the same state machines ([`crate::budget`]), each with a
//! replicated state of its own. The member passes its lease, the replicated state and reports to them, and proposes
//! their commands.

use crate::budget::state::PartnerBudget;
use crate::budget::{
    Budget, BudgetCommand, BudgetEvent, BudgetGate, BudgetLeader, BudgetMessage, BudgetState,
    ConnectionOrder, GateReports, Report, TimeBounds, calls,
};
use crate::config::Name;
use crate::ids::Epoch;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// The unit that a budget counts. The encoding depends on the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    /// Concurrent connections.
    Connections,
    /// Calls that begin in a span of time.
    Calls,
}

impl BudgetKind {
    const ALL: [BudgetKind; 2] = [BudgetKind::Connections, BudgetKind::Calls];

    /// Returns the budget of this kind from a partner's configuration, if it has one.
    fn budget(self, configured: &Budget) -> Option<Budget> {
        match self {
            BudgetKind::Connections => Some(configured.clone()),
            BudgetKind::Calls => calls::call_budget(configured),
        }
    }
}

/// The replicated state of both kinds of budgets. The encoding depends on the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedBudgets {
    /// Limits concurrent connections.
    pub connections: BudgetState,
    /// Limits the calls in a span of time.
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

    /// Applies a committed command; returns whether it was accepted.
    pub fn apply(&mut self, kind: BudgetKind, command: &BudgetCommand) -> bool {
        let events = self.state_mut(kind).apply(command);
        !events.iter().any(|event| matches!(event, BudgetEvent::Rejected { .. }))
    }

    /// Records that a courier has joined the fleet under a new epoch.
    pub fn joined(&mut self, courier: &str, epoch: Epoch) {
        self.apply_to_all(&BudgetCommand::Joined { courier: courier.into(), epoch });
    }

    /// Records that a courier's registration has ended because its lease has lapsed.
    pub fn end_registration(&mut self, courier: &str, epoch: Epoch) {
        self.apply_to_all(&BudgetCommand::Lapsed { courier: courier.into(), epoch });
    }

    fn apply_to_all(&mut self, command: &BudgetCommand) {
        for kind in BudgetKind::ALL {
            self.apply(kind, command);
        }
    }
}

/// The budgets at one courier, for its own calls and for its role as the leader.
#[derive(Clone, Debug)]
pub struct BudgetShares {
    budgets: Vec<Budget>,
    couriers: Vec<Name>,
    /// Admits the calls of this courier to partners with a budget.
    pub gate: BudgetGate,
    /// Indexed by [`BudgetKind`].
    leaders: [BudgetLeader; 2],
}

impl BudgetShares {
    /// Creates the state at the start of a process from the configured budgets; `couriers` are those that have a
    /// floor.
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

    /// Starts a leadership term of this courier, without the reports of earlier terms.
    pub fn begin_leadership(&mut self, bounds: TimeBounds) {
        self.leaders = Self::leaders(bounds, &self.budgets);
    }

    /// Receives a courier's report while this courier is the leader.
    pub fn receive_report(&mut self, kind: BudgetKind, report: Report, now: Micros) {
        self.leaders[kind as usize].receive(&BudgetMessage::Report(report), now);
    }

    /// Ends this courier's lease at once, because it was revoked.
    pub fn revoke_lease(&mut self) {
        self.gate.end_lease();
    }

    /// Applies a change of the replicated state; returns the connections to close.
    pub fn apply_state(&mut self, shared: &SharedBudgets, now: Micros) -> Vec<ConnectionOrder> {
        self.gate.apply_state(&shared.connections, &shared.calls, now)
    }

    /// Returns the reports to the leader that are due.
    pub fn reports(&mut self, now: Micros) -> Vec<(BudgetKind, Report)> {
        let GateReports { connections, calls } = self.gate.reports(now);
        let connections = connections.map(|report| (BudgetKind::Connections, report));
        connections.into_iter().chain(calls.map(|report| (BudgetKind::Calls, report))).collect()
    }

    /// Returns the commands for the leader to propose: those that adapt the replicated budgets to the configuration,
    /// and those that move shares.
    pub fn commands(&mut self, shared: &SharedBudgets, now: Micros) -> Vec<(BudgetKind, BudgetCommand)> {
        let mut commands = Vec::new();
        for kind in BudgetKind::ALL {
            let budget_state = shared.state(kind);
            let mut kind_commands = self.configuration_commands(kind, budget_state);
            kind_commands.extend(self.leaders[kind as usize].tick(budget_state, now));
            commands.extend(kind_commands.into_iter().map(|command| (kind, command)));
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

    /// Whether the replicated state already has the configured budget.
    fn is_applied(&self, budget: &Budget, agreed: &PartnerBudget) -> bool {
        let has_floor = |courier: &Name| agreed.target_floor(courier) >= budget.courier_floor;
        agreed.connections == budget.connections && self.couriers.iter().all(has_floor)
    }
}
