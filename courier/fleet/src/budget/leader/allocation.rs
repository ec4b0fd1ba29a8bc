//! Allocation of one partner's budget: the fair division of the current demand sets a target for each assignment.

use super::assignments::{Assignment, TenantGroup, collect_assignments};
use super::demand::CourierReport;
use super::limits::{
    MAX_MOVE_BURST, MAX_MOVES_PER_SECOND, REVIEW_COST_PER_ASSIGNMENT, ROUND_INTERVAL, TURN_INTERVAL,
};
use super::review::Review;
use super::shortfall::{Round, Shortfall};
use crate::budget::divide::{Claim, ONE_CONNECTION, divide};
use crate::budget::model::Tenant;
use crate::budget::state::BudgetCommand;
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// A tenant's configured policy in a budget.
#[derive(Clone, Copy, Debug)]
struct TenantPolicy {
    /// The weight in millionths.
    weight: u64,
    floor: u32,
    ceiling: Option<u32>,
}

/// The shortfall of a tenant in the whole fleet and at each courier.
#[derive(Clone, Debug, Default)]
struct TenantShortfall {
    tenant: Shortfall,
    couriers: BTreeMap<String, Shortfall>,
}

/// The leader's state for one partner between its rounds.
#[derive(Clone, Debug, Default)]
pub(super) struct PartnerAllocation {
    policies: BTreeMap<String, TenantPolicy>,
    /// Keyed by tenant.
    shortfalls: BTreeMap<String, TenantShortfall>,
    turn_started_at: Micros,
    reviewed_at: Micros,
    /// The number of assignments at the last review.
    assignment_count: u64,
    /// Token bucket for changes of shares, in millionths of a change.
    move_credit: u64,
}

/// Connections that the division can't move, and the floors of couriers, which it takes into account.
struct Reserved<'a> {
    /// The floors of couriers that may use them now. Grants to a courier are counted against its floor first.
    floors: BTreeMap<&'a str, u64>,
    /// All other connections that count: floors that are not usable yet, earlier epochs, lapsed couriers.
    fixed: u64,
}

impl<'a> Reserved<'a> {
    fn new(review: &Review<'a>) -> Reserved<'a> {
        let Review { partner, budget_state, .. } = review;
        let mut reserved = Reserved { floors: BTreeMap::new(), fixed: 0 };
        for courier in partner.couriers() {
            let floor = u64::from(partner.target_floor(courier));
            let member = budget_state.member(courier);
            match member {
                Some(active) if !active.lapsed && active.aged => {
                    reserved.floors.insert(courier, floor);
                }
                Some(active) if !active.lapsed => {
                    reserved.fixed += partner.counted_beyond_shares(courier, member).max(floor);
                }
                Some(lapsed) => {
                    let granted = partner.granted(courier, lapsed.epoch);
                    reserved.fixed += (partner.counted_beyond_shares(courier, member) + granted).max(floor);
                }
                None => reserved.fixed += floor,
            }
        }
        reserved
    }

    /// The connections that the targets need, including the parts of floors that no target uses.
    fn needed(&self, assignments: &[Assignment]) -> u64 {
        let mut targets: BTreeMap<&str, u64> = BTreeMap::new();
        for assignment in assignments {
            *targets.entry(assignment.courier).or_default() += u64::from(assignment.target);
        }
        let target = |courier: &str| targets.get(courier).copied().unwrap_or(0);
        let unused = self.floors.iter().map(|(courier, floor)| floor.saturating_sub(target(courier)));
        targets.values().sum::<u64>() + unused.sum::<u64>()
    }
}

impl PartnerAllocation {
    pub(super) fn set_policies(&mut self, tenants: &[Tenant]) {
        let policy = |tenant: &Tenant| TenantPolicy {
            weight: tenant.weight_millionths(),
            floor: tenant.floor,
            ceiling: tenant.ceiling,
        };
        self.policies = tenants.iter().map(|tenant| (tenant.name.clone(), policy(tenant))).collect();
    }

    fn policy(&self, tenant: &str) -> TenantPolicy {
        let default = TenantPolicy { weight: ONE_CONNECTION as u64, floor: 0, ceiling: None };
        self.policies.get(tenant).copied().unwrap_or(default)
    }

    /// Divides the budget again and proposes the changes, unless the last review is too recent relative to its cost.
    pub(super) fn review(
        &mut self,
        review: &Review,
        reports: &BTreeMap<String, CourierReport>,
        commands: &mut Vec<BudgetCommand>,
    ) {
        let now = review.now;
        if now
            < self
                .reviewed_at
                .saturating_add(self.assignment_count.saturating_mul(REVIEW_COST_PER_ASSIGNMENT))
        {
            return;
        }
        let is_first = self.reviewed_at == 0;
        let elapsed = if is_first { ROUND_INTERVAL } else { now.saturating_sub(self.reviewed_at) };
        self.reviewed_at = now;
        self.refill_moves(elapsed);
        let mut assignments = collect_assignments(review, reports);
        self.assignment_count = assignments.len() as u64;
        self.set_targets(review, &mut assignments, elapsed);
        self.propose_moves(review, &assignments, commands);
    }

    fn refill_moves(&mut self, elapsed: Micros) {
        let max_credit = u64::from(MAX_MOVE_BURST) * ONE_CONNECTION as u64;
        let refill = elapsed.saturating_mul(u64::from(MAX_MOVES_PER_SECOND - MAX_MOVE_BURST));
        self.move_credit = self.move_credit.saturating_add(refill).min(max_credit);
    }

    /// The number of changes of shares that may be proposed now.
    pub(super) fn available_moves(&self) -> usize {
        (self.move_credit / ONE_CONNECTION as u64) as usize
    }

    /// Takes one change from the bucket; returns false if none is available.
    pub(super) fn use_move(&mut self) -> bool {
        let is_available = self.move_credit >= ONE_CONNECTION as u64;
        if is_available {
            self.move_credit -= ONE_CONNECTION as u64;
        }
        is_available
    }

    /// Sets the target of each assignment by the fair division, and updates the credits.
    fn set_targets(&mut self, review: &Review, assignments: &mut [Assignment], elapsed: Micros) {
        let now = review.now;
        let starts_turn = now >= self.turn_started_at.saturating_add(TURN_INTERVAL);
        if starts_turn {
            self.turn_started_at = now;
        }
        let reserved = Reserved::new(review);
        let mut groups = self.group_by_tenant(assignments);
        self.divide_beside_floors(review, &reserved, assignments, &mut groups);
        self.divide_floors(&reserved, assignments);
        self.update_credits(assignments, &groups, Round { elapsed, now, starts_turn });
    }

    /// Divides the connections that can be moved. The pool is what remains after the parts of the couriers' floors
    /// that the targets leave unused.
    fn divide_beside_floors(
        &self,
        review: &Review,
        reserved: &Reserved,
        assignments: &mut [Assignment],
        groups: &mut [TenantGroup],
    ) {
        let movable = u64::from(review.partner.connections).saturating_sub(reserved.fixed);
        let mut pool = u32::try_from(movable).unwrap_or(u32::MAX);
        loop {
            self.divide_pool(pool, review, assignments, groups);
            let excess = reserved.needed(assignments).saturating_sub(movable);
            if excess == 0 || pool == 0 {
                return;
            }
            pool = pool.saturating_sub(u32::try_from(excess).unwrap_or(u32::MAX));
        }
    }

    /// Divides the rest of each courier's floor among its tenants.
    fn divide_floors(&self, reserved: &Reserved, assignments: &mut [Assignment]) {
        for (courier, floor) in &reserved.floors {
            let mut courier_assignments: Vec<&mut Assignment> =
                assignments.iter_mut().filter(|assignment| assignment.courier == *courier).collect();
            let used: u32 = courier_assignments.iter().map(|assignment| assignment.target).sum();
            let unused = u32::try_from(*floor).unwrap_or(u32::MAX).saturating_sub(used);
            let claims = courier_assignments.iter().map(|assignment| {
                let policy = self.policy(assignment.tenant);
                Claim {
                    name: assignment.tenant,
                    weight: policy.weight,
                    floor: 0,
                    ceiling: policy.ceiling.unwrap_or(u32::MAX).saturating_sub(assignment.target),
                    demand: assignment.demand.saturating_sub(assignment.target),
                    current: 0,
                    credit: 0,
                    overdue: 0,
                }
            });
            let allocations = divide(unused, &claims.collect::<Vec<_>>());
            courier_assignments
                .iter_mut()
                .zip(allocations)
                .for_each(|(assignment, allocation)| assignment.target += allocation.connections);
        }
    }

    /// Divides the pool among the tenants, and the connections of each tenant among its couriers.
    fn divide_pool(
        &self,
        pool: u32,
        review: &Review,
        assignments: &mut [Assignment],
        groups: &mut [TenantGroup],
    ) {
        let claims = groups.iter().map(|group| self.tenant_claim(group, assignments, review));
        let allocations = divide(pool, &claims.collect::<Vec<_>>());
        for (group, allocation) in groups.iter_mut().zip(allocations) {
            group.shortfall.fair_millionths = allocation.fair_millionths;
            let tenant_assignments = &mut assignments[group.assignments.clone()];
            let claims = tenant_assignments.iter().map(|assignment| {
                let credit = assignment.shortfall.credit(review.now);
                Claim {
                    name: assignment.courier,
                    weight: 1,
                    floor: 0,
                    ceiling: assignment.demand,
                    demand: assignment.demand,
                    current: assignment.usable,
                    credit: credit.millionths,
                    overdue: credit.overdue,
                }
            });
            let allocations = divide(allocation.connections, &claims.collect::<Vec<_>>());
            for (assignment, allocation) in tenant_assignments.iter_mut().zip(allocations) {
                (assignment.target, assignment.shortfall.fair_millionths) =
                    (allocation.connections, allocation.fair_millionths);
            }
        }
    }

    fn tenant_claim<'a>(
        &self,
        group: &TenantGroup,
        assignments: &[Assignment<'a>],
        review: &Review,
    ) -> Claim<'a> {
        let tenant_assignments = &assignments[group.assignments.clone()];
        let name = tenant_assignments.first().map_or("", |assignment| assignment.tenant);
        let policy = self.policy(name);
        let credit = group.shortfall.credit(review.now);
        Claim {
            name,
            weight: policy.weight,
            floor: policy.floor,
            ceiling: policy.ceiling.unwrap_or(review.partner.connections),
            demand: tenant_assignments
                .iter()
                .map(|assignment| assignment.demand)
                .fold(0, u32::saturating_add),
            current: tenant_assignments
                .iter()
                .map(|assignment| assignment.usable)
                .fold(0, u32::saturating_add),
            credit: credit.millionths,
            overdue: credit.overdue,
        }
    }

    /// Groups the assignments by tenant, and restores the shortfalls of the previous round.
    fn group_by_tenant(&self, assignments: &mut [Assignment]) -> Vec<TenantGroup> {
        let mut groups = Vec::new();
        let mut start = 0;
        for tenant_assignments in assignments.chunk_by_mut(|a, b| a.tenant == b.tenant) {
            let previous =
                tenant_assignments.first().and_then(|assignment| self.shortfalls.get(assignment.tenant));
            for assignment in tenant_assignments.iter_mut() {
                let shortfall = previous.and_then(|previous| previous.couriers.get(assignment.courier));
                assignment.shortfall = shortfall.copied().unwrap_or_default();
            }
            let shortfall = previous.map(|previous| previous.tenant).unwrap_or_default();
            groups.push(TenantGroup { assignments: start..start + tenant_assignments.len(), shortfall });
            start += tenant_assignments.len();
        }
        groups
    }

    /// Updates the shortfalls of tenants and couriers, and removes those without demand.
    fn update_credits(&mut self, assignments: &[Assignment], groups: &[TenantGroup], round: Round) {
        for group in groups {
            let demanding =
                assignments[group.assignments.clone()].iter().filter(|assignment| assignment.demand > 0);
            let current = demanding.clone().map(|assignment| assignment.granted).fold(0, u32::saturating_add);
            let Some(first) = demanding.clone().next() else { continue };
            if !self.shortfalls.contains_key(first.tenant) {
                self.shortfalls.insert(first.tenant.to_string(), TenantShortfall::default());
            }
            let Some(tenant_shortfall) = self.shortfalls.get_mut(first.tenant) else { continue };
            tenant_shortfall.tenant = group.shortfall.updated(current, round);
            for assignment in demanding {
                let updated = assignment.shortfall.updated(assignment.granted, round);
                match tenant_shortfall.couriers.get_mut(assignment.courier) {
                    Some(shortfall) => *shortfall = updated,
                    None => drop(tenant_shortfall.couriers.insert(assignment.courier.to_string(), updated)),
                }
            }
            tenant_shortfall.couriers.retain(|_, shortfall| shortfall.updated_at == round.now);
        }
        self.shortfalls.retain(|_, shortfall| shortfall.tenant.updated_at == round.now);
    }
}
