//! Partners' budgets in a member's hands: what this courier may use, and, where it leads, what is moved. Connections and calls
//! of a span are counted by the same machines, each with an agreed state of its own.

use crate::budget::{Agreed, Budget, Command, Gate, Leader, Message, Order, Report, Terms, calls};
use crate::plan::Name;
use crate::state::Epoch;
use serde::{Deserialize, Serialize};
use spurshore::Micros;

/// Which of the two is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Count {
    Connections,
    Calls,
}

/// What is agreed of both.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shared {
    pub connections: Agreed,
    pub calls: Agreed,
}

impl Shared {
    fn of(&mut self, count: Count) -> &mut Agreed {
        match count {
            Count::Connections => &mut self.connections,
            Count::Calls => &mut self.calls,
        }
    }

    /// Takes a command; whether anything changed.
    pub fn apply(&mut self, count: Count, command: &Command) -> bool {
        let refused = |event: &crate::budget::Event| matches!(event, crate::budget::Event::Refused { .. });
        let events = self.of(count).apply(command);
        !events.iter().any(refused)
    }

    pub fn joined(&mut self, courier: &str, epoch: Epoch) {
        let command = Command::Joined { courier: courier.into(), epoch };
        [Count::Connections, Count::Calls].into_iter().for_each(|count| _ = self.apply(count, &command));
    }

    pub fn gone(&mut self, courier: &str, epoch: Epoch) {
        let command = Command::Lapsed { courier: courier.into(), epoch };
        [Count::Connections, Count::Calls].into_iter().for_each(|count| _ = self.apply(count, &command));
    }
}

/// One courier's hands.
#[derive(Clone, Debug)]
pub struct Shares {
    budgets: Vec<Budget>,
    couriers: Vec<Name>,
    /// What this courier may use: asked before each call to a partner with a budget.
    pub gate: Gate,
    leaders: [Leader; 2],
}

impl Shares {
    pub fn new(me: &str, terms: Terms, budgets: Vec<Budget>, couriers: Vec<Name>, now: Micros) -> Shares {
        let gate = Gate::new(me, terms, &budgets, now);
        let mut shares = Shares { couriers, gate, leaders: Self::leaders(terms, &budgets), budgets };
        shares.couriers.sort();
        shares
    }

    fn leaders(terms: Terms, budgets: &[Budget]) -> [Leader; 2] {
        let mut leaders = [Leader::new(terms), Leader::new(calls::terms(terms, budgets))];
        for budget in budgets {
            leaders[0].budget(budget);
            if let Some(of) = calls::of(budget) {
                leaders[1].budget(&of);
            }
        }
        leaders
    }

    /// There is anything to share.
    pub fn any(&self) -> bool {
        !self.budgets.is_empty()
    }

    /// It leads from now on: what it heard when it led before is old.
    pub fn lead_anew(&mut self, terms: Terms) {
        self.leaders = Self::leaders(terms, &self.budgets);
    }

    pub fn hears(&mut self, count: Count, report: Report, now: Micros) {
        self.leaders[count as usize].hears(&Message::Report(report), now);
    }

    /// The lease is over at once: it was told so.
    pub fn lease_over(&mut self) {
        self.gate.connections.lease_over();
        self.gate.calls.lease_over();
    }

    /// What is agreed has changed.
    pub fn agreed(&mut self, shared: &Shared, now: Micros) -> Vec<Order> {
        self.gate.agreed(&shared.connections, &shared.calls, now)
    }

    /// What the leader is to know, if it is time.
    pub fn reports(&mut self, now: Micros) -> Vec<(Count, Report)> {
        let (connections, calls) = self.gate.reports(now);
        let connections = connections.map(|report| (Count::Connections, report));
        connections.into_iter().chain(calls.map(|report| (Count::Calls, report))).collect()
    }

    /// What whoever leads is to propose.
    pub fn lead(&mut self, shared: &Shared, now: Micros) -> Vec<(Count, Command)> {
        let mut commands = Vec::new();
        for (count, agreed) in [(Count::Connections, &shared.connections), (Count::Calls, &shared.calls)] {
            let wanted = |budget: &Budget| match count {
                Count::Connections => Some(budget.clone()),
                Count::Calls => calls::of(budget),
            };
            let wanted: Vec<Budget> = self.budgets.iter().filter_map(wanted).collect();
            for budget in &wanted {
                let told = agreed.partner(budget.dest);
                let floors = |p: &crate::budget::agreed::Partner| {
                    self.couriers.iter().all(|c| p.floor_to_be(c) >= budget.courier_floor)
                };
                if !told.is_some_and(|p| p.connections == budget.connections && floors(p)) {
                    let (dest, connections, floor) = (budget.dest, budget.connections, budget.courier_floor);
                    let couriers = self.couriers.clone();
                    commands.push((count, Command::Budget { dest, connections, floor, couriers }));
                }
            }
            for (dest, _) in agreed.partners().filter(|(dest, _)| wanted.iter().all(|b| b.dest != *dest)) {
                commands.push((count, Command::Ended { dest }));
            }
            commands.extend(self.leaders[count as usize].tick(agreed, now).into_iter().map(|c| (count, c)));
        }
        commands
    }
}
