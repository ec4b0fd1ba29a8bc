//! The leader's side: collects what couriers demand, and moves connections between them by commands.
//!
//! It keeps nothing that a new leader could not do without: until a courier has reported, its shares count as its demand.
//! The caller passes each report to [`BudgetLeader::receive`] and proposes what [`BudgetLeader::tick`] returns.
//!
//! **Bounds.** With `G = REPORT_INTERVAL + ROUND_INTERVAL + an entry of the log`, one move of a connection from one
//! courier to another takes at most `R = 2 G + TimeBounds::recall_time()`, and only `2 G` of it where the connection is
//! idle.
//! - A raised budget is granted in the round after it is agreed on; a lowered one is met within `R`, or
//!   [`TimeBounds::drain_time`] after the lapse of a courier that is cut off.
//! - Idle budget that was lent is returned within `R` of its owner's report.
//! - A tenant whose exact part is 1 connection or more always has it, within `R`. One with a smaller part `s`
//!   (and a demand) takes turns: it is overdue after `2 / s` turns without a connection, and then comes before all that
//!   are not, first come first served. With `n` overdue and `r` connections that go by turns it is served within
//!   `(2 / s + n / r) * (TURN_INTERVAL + R)`, each quotient rounded up ([`starvation`]). If more than
//!   [`MAX_MOVES_PER_SECOND`] shares would change in that time, it takes `n / MAX_MOVES_PER_SECOND` seconds more. It is
//!   counted from the start of a leadership term, of which the next knows nothing.
//! - At most [`MAX_MOVES_PER_SECOND`] shares of a partner change in any second, whatever the demand does; only a lowered
//!   budget's recalls come in addition.
//!
//! Inside: `demand` has the reports, `review` what is looked at in a round, `seats` what each tenant has and demands at each courier, `shortfall` what it was
//! short of, `allocation` divides a partner's budget over the seats, and `moves` proposes the changes.

mod allocation;
mod demand;
mod limits;
mod moves;
mod review;
mod seats;
mod shortfall;

pub use limits::{
    DEMAND_WINDOW, MAX_MOVE_BURST, MAX_MOVES_PER_SECOND, MAX_REPORT_LINES, REVIEW_COST_PER_SEAT,
    ROUND_INTERVAL, TURN_INTERVAL, starvation,
};

use super::model::{Budget, TimeBounds};
use super::report::{BudgetMessage, ConfirmedRecall};
use super::state::{BudgetCommand, BudgetMember, BudgetState};
use allocation::PartnerAllocation;
use demand::CourierReport;
use quillmount_policy::Micros;
use review::Review;
use std::collections::BTreeMap;

/// A member's state, and since when it is known here.
#[derive(Clone, Copy, Debug)]
struct ObservedMember {
    epoch: u64,
    lapsed: bool,
    aged: bool,
    since: Micros,
}

impl ObservedMember {
    fn new(member: &BudgetMember, since: Micros) -> ObservedMember {
        ObservedMember { epoch: member.epoch, lapsed: member.lapsed, aged: member.aged, since }
    }

    fn is_same(&self, member: &BudgetMember) -> bool {
        (self.epoch, self.lapsed, self.aged) == (member.epoch, member.lapsed, member.aged)
    }
}

/// The leader's decisions on budgets, for one leadership term.
#[derive(Clone, Debug)]
pub struct BudgetLeader {
    bounds: TimeBounds,
    /// By partner.
    allocations: BTreeMap<u64, PartnerAllocation>,
    /// The last report of each courier.
    reports: BTreeMap<String, CourierReport>,
    /// Couriers whose lease has lapsed, with its epoch, until that is agreed on.
    lapsed: BTreeMap<String, u64>,
    observed: BTreeMap<String, ObservedMember>,
    /// When the last round was.
    last_round: Option<Micros>,
}

impl BudgetLeader {
    /// A leader at the start of its term.
    pub fn new(bounds: TimeBounds) -> BudgetLeader {
        BudgetLeader {
            bounds,
            allocations: BTreeMap::new(),
            reports: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            observed: BTreeMap::new(),
            last_round: None,
        }
    }

    /// Configures a partner's budget.
    pub fn set_budget(&mut self, budget: &Budget) {
        self.allocations.entry(budget.dest).or_default().set_policies(&budget.tenants);
    }

    /// The member's lease under this epoch has lapsed, by the leader's clock and with the margin for others.
    pub fn lapsed(&mut self, courier: &str, epoch: u64) {
        self.lapsed.insert(courier.to_string(), epoch);
    }

    /// Receives a courier's report; one that is older than the last is ignored.
    pub fn receive(&mut self, message: &BudgetMessage, now: Micros) {
        let BudgetMessage::Report(report) = message;
        self.reports.entry(report.courier.clone()).or_default().update(report, now);
    }

    /// When [`BudgetLeader::tick`] is wanted next.
    pub fn wake_at(&self, now: Micros) -> Micros {
        self.last_round.map_or(now, |last| last.saturating_add(ROUND_INTERVAL))
    }

    /// The commands to propose now; none before a round has passed. A command that is lost is proposed again.
    pub fn tick(&mut self, budget_state: &BudgetState, now: Micros) -> Vec<BudgetCommand> {
        if self.last_round.is_some_and(|last| now < last.saturating_add(ROUND_INTERVAL)) {
            return Vec::new();
        }
        self.last_round = Some(now);
        let mut commands = Vec::new();
        self.propose_lapsed(budget_state, &mut commands);
        self.propose_drained(budget_state, now, &mut commands);
        self.propose_confirmed(budget_state, &mut commands);
        for (dest, partner) in budget_state.partners() {
            let allocation = self.allocations.entry(dest).or_default();
            let review = Review { dest, partner, budget_state, now };
            allocation.review(&review, &self.reports, &mut commands);
        }
        commands
    }

    /// Leases that have lapsed.
    fn propose_lapsed(&mut self, budget_state: &BudgetState, commands: &mut Vec<BudgetCommand>) {
        let is_unknown = |courier: &String, epoch: &mut u64| {
            budget_state.member(courier).is_some_and(|member| member.epoch == *epoch && !member.lapsed)
        };
        self.lapsed.retain(is_unknown);
        for (courier, epoch) in &self.lapsed {
            commands.push(BudgetCommand::Lapsed { courier: courier.clone(), epoch: *epoch });
        }
    }

    /// What has expired since a lease has lapsed, and earlier processes that have nothing open any more.
    fn propose_drained(
        &mut self,
        budget_state: &BudgetState,
        now: Micros,
        commands: &mut Vec<BudgetCommand>,
    ) {
        let drain_time = self.bounds.drain_time();
        for (courier, member) in budget_state.members() {
            let observed =
                self.observed.entry(courier.clone()).or_insert_with(|| ObservedMember::new(member, now));
            if !observed.is_same(member) {
                *observed = ObservedMember::new(member, now);
            }
            let is_drained = now.saturating_sub(observed.since) >= drain_time;
            let report = self.reports.get(courier).filter(|report| report.epoch == member.epoch);
            let (courier, epoch) = (courier.clone(), member.epoch);
            if member.lapsed {
                let has_shares = |(_, partner): (u64, &super::state::PartnerBudget)| {
                    partner.shares(&courier, epoch).next().is_some()
                };
                if is_drained && budget_state.partners().any(has_shares) {
                    commands.push(BudgetCommand::Expired { courier, epoch });
                }
            } else if member.aged && report.is_some_and(|report| report.left) {
                commands.push(BudgetCommand::Left { courier, epoch });
            } else if !member.aged && (is_drained || report.is_some_and(|report| report.clear)) {
                commands.push(BudgetCommand::Aged { courier, epoch });
            }
        }
    }

    /// Couriers' confirmations that aren't agreed on yet.
    fn propose_confirmed(&self, budget_state: &BudgetState, commands: &mut Vec<BudgetCommand>) {
        for (courier, report) in &self.reports {
            for ((dest, tenant), recall) in &report.released {
                let Some(partner) = budget_state.partner(*dest) else { continue };
                let share = partner.share(courier, report.epoch, tenant);
                let ConfirmedRecall { number, connections } = *recall;
                if share.number == number && share.recalled.is_some() && connections < share.granted {
                    commands.push(BudgetCommand::Released {
                        dest: *dest,
                        tenant: tenant.clone(),
                        courier: courier.clone(),
                        epoch: report.epoch,
                        number,
                        to: connections,
                    });
                }
            }
        }
    }
}
