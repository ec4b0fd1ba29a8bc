//! The leader's side of the budgets: collects the demand of couriers and moves connections between them by commands.
//!
//! The leader has no state that its successor needs: until a courier has reported to a new leader, its shares are
//! taken as its demand. The caller passes each report to [`BudgetLeader::receive`] and proposes the commands that
//! [`BudgetLeader::tick`] returns.
//!
//! **Bounds.** Let `G = REPORT_INTERVAL + ROUND_INTERVAL + the commit time of a log entry`. Moving a connection from
//! one courier to another takes at most `R = 2 G + TimeBounds::recall_time()`, or `2 G` if the connection is idle.
//! - A raised budget is granted in the round after it is committed. A lowered budget is met within `R`, or
//!   [`TimeBounds::drain_time`] after the lease of a courier that is cut off has lapsed.
//! - Unused budget that other tenants borrowed is returned within `R` of the report of the tenant that is entitled to
//!   it.
//! - A tenant with an exact part of 1 connection or more has a connection at all times, after at most `R`. A tenant
//!   with demand and a smaller part `s` takes turns with others. It becomes overdue after `2 / s` turns without a
//!   connection and then precedes all tenants that aren't overdue; overdue tenants are served in order of arrival.
//!   With `n` overdue tenants and `r` connections that are shared in turns, it is served within
//!   `(2 / s + n / r) * (TURN_INTERVAL + R)`, each quotient rounded up ([`starvation`]). If more than
//!   [`MAX_MOVES_PER_SECOND`] shares would change in that time, it takes `n / MAX_MOVES_PER_SECOND` seconds longer.
//!   The time is counted from the start of a leadership term, because the next leader doesn't know about earlier
//!   waiting.
//! - At most [`MAX_MOVES_PER_SECOND`] shares of a partner change in any second, however the demand varies. Only the
//!   recalls for a lowered budget come in addition.
//!
//! Modules: `demand` has the reports, `review` the inputs of a round, `assignments` the connections and demand of each
//! tenant at each courier, and `shortfall` their credits. `allocation` divides a partner's budget among the
//! assignments, and `moves` proposes the changes.

mod allocation;
mod assignments;
mod demand;
mod limits;
mod moves;
mod review;
mod shortfall;

pub use limits::{
    DEMAND_WINDOW, MAX_MOVE_BURST, MAX_MOVES_PER_SECOND, MAX_REPORT_LINES, REVIEW_COST_PER_ASSIGNMENT,
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

/// A member's state, and when this leader first observed it.
#[derive(Clone, Copy, Debug)]
struct ObservedMember {
    epoch: u64,
    lapsed: bool,
    aged: bool,
    observed_at: Micros,
}

impl ObservedMember {
    fn new(member: &BudgetMember, observed_at: Micros) -> ObservedMember {
        ObservedMember { epoch: member.epoch, lapsed: member.lapsed, aged: member.aged, observed_at }
    }

    fn matches(&self, member: &BudgetMember) -> bool {
        (self.epoch, self.lapsed, self.aged) == (member.epoch, member.lapsed, member.aged)
    }
}

/// The budget leader's state machine for one leadership term.
#[derive(Clone, Debug)]
pub struct BudgetLeader {
    bounds: TimeBounds,
    /// Keyed by partner.
    allocations: BTreeMap<u64, PartnerAllocation>,
    /// The last report of each courier, keyed by name.
    reports: BTreeMap<String, CourierReport>,
    /// Couriers whose lease has lapsed, with the epoch of the lease, until the lapse is committed.
    lapsed: BTreeMap<String, u64>,
    observed: BTreeMap<String, ObservedMember>,
    last_round_at: Option<Micros>,
}

impl BudgetLeader {
    /// Creates the state of a leader at the start of its term.
    pub fn new(bounds: TimeBounds) -> BudgetLeader {
        BudgetLeader {
            bounds,
            allocations: BTreeMap::new(),
            reports: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            observed: BTreeMap::new(),
            last_round_at: None,
        }
    }

    /// Sets the policies of the partner's tenants from its configured budget.
    pub fn set_budget(&mut self, budget: &Budget) {
        self.allocations.entry(budget.dest).or_default().set_policies(&budget.tenants);
    }

    /// Records that the member's lease under this epoch has lapsed, by the leader's clock and with the margin for the
    /// drift of other clocks.
    pub fn lapsed(&mut self, courier: &str, epoch: u64) {
        self.lapsed.insert(courier.to_string(), epoch);
    }

    /// Receives a courier's report; a report that is older than the last one is ignored.
    pub fn receive(&mut self, message: &BudgetMessage, now: Micros) {
        let BudgetMessage::Report(report) = message;
        self.reports.entry(report.courier.clone()).or_default().update(report, now);
    }

    /// The time at which [`BudgetLeader::tick`] is due next.
    pub fn wake_at(&self, now: Micros) -> Micros {
        self.last_round_at.map_or(now, |last| last.saturating_add(ROUND_INTERVAL))
    }

    /// Returns the commands to propose, or none if the next round isn't due yet. A command that was lost is proposed
    /// again in a later round.
    pub fn tick(&mut self, budget_state: &BudgetState, now: Micros) -> Vec<BudgetCommand> {
        if self.last_round_at.is_some_and(|last| now < last.saturating_add(ROUND_INTERVAL)) {
            return Vec::new();
        }
        self.last_round_at = Some(now);
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

    /// Proposes the lapse of leases until it is committed.
    fn propose_lapsed(&mut self, budget_state: &BudgetState, commands: &mut Vec<BudgetCommand>) {
        let is_uncommitted = |courier: &String, epoch: &mut u64| {
            budget_state.member(courier).is_some_and(|member| member.epoch == *epoch && !member.lapsed)
        };
        self.lapsed.retain(is_uncommitted);
        for (courier, epoch) in &self.lapsed {
            commands.push(BudgetCommand::Lapsed { courier: courier.clone(), epoch: *epoch });
        }
    }

    /// Proposes the expiry of shares whose lease lapsed a drain time ago, and reports that earlier processes of a
    /// courier have no connections open any more.
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
            if !observed.matches(member) {
                *observed = ObservedMember::new(member, now);
            }
            let is_drained = now.saturating_sub(observed.observed_at) >= drain_time;
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

    /// Proposes the confirmations of couriers that are not committed yet.
    fn propose_confirmed(&self, budget_state: &BudgetState, commands: &mut Vec<BudgetCommand>) {
        for (courier, report) in &self.reports {
            for ((dest, tenant), recall) in &report.confirmed_recalls {
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
