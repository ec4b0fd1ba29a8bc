//! The allocation of one partner's budget: where each connection should be, by the division of what is demanded.

use super::demand::CourierReport;
use super::limits::{
    MAX_MOVE_BURST, MAX_MOVES_PER_SECOND, REVIEW_COST_PER_SEAT, ROUND_INTERVAL, TURN_INTERVAL,
};
use super::review::Review;
use super::seats::{Group, Seat, collect_seats};
use super::shortfall::{Round, Shortfall};
use crate::budget::divide::{Claim, ONE_CONNECTION, divide};
use crate::budget::model::Tenant;
use crate::budget::state::BudgetCommand;
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// A tenant's part in a budget, as it is configured.
#[derive(Clone, Copy, Debug)]
struct TenantPolicy {
    /// In millionths.
    weight: u64,
    floor: u32,
    ceiling: Option<u32>,
}

/// What a tenant was short of, and what it was at each courier.
#[derive(Clone, Debug, Default)]
struct TenantShortfall {
    tenant: Shortfall,
    couriers: BTreeMap<String, Shortfall>,
}

/// What the leader keeps of one partner between its rounds.
#[derive(Clone, Debug, Default)]
pub(super) struct PartnerAllocation {
    policies: BTreeMap<String, TenantPolicy>,
    /// By tenant.
    shortfalls: BTreeMap<String, TenantShortfall>,
    turn_began: Micros,
    reviewed_at: Micros,
    /// The number of seats at the last review.
    seat_count: u64,
    /// Shares that may be changed now, in millionths.
    move_credit: u64,
}

/// Connections that can't be moved, and the floors beside which the others are divided.
struct Reserved<'a> {
    /// The floors of couriers that may use them, which grants use up first.
    floors: BTreeMap<&'a str, u64>,
    /// What else counts: floors that are not usable yet, earlier epochs, lapsed couriers.
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
                Some(present) if !present.lapsed && present.aged => {
                    reserved.floors.insert(courier, floor);
                }
                Some(present) if !present.lapsed => {
                    reserved.fixed += partner.counted_besides(courier, member).max(floor);
                }
                Some(lapsed) => {
                    let granted = partner.granted(courier, lapsed.epoch);
                    reserved.fixed += (partner.counted_besides(courier, member) + granted).max(floor);
                }
                None => reserved.fixed += floor,
            }
        }
        reserved
    }

    /// What the targets of the seats need, with the floors that they don't use up.
    fn needed(&self, seats: &[Seat]) -> u64 {
        let mut targets: BTreeMap<&str, u64> = BTreeMap::new();
        for seat in seats {
            *targets.entry(seat.courier).or_default() += u64::from(seat.target);
        }
        let target = |courier: &str| targets.get(courier).copied().unwrap_or(0);
        let idle = self.floors.iter().map(|(courier, floor)| floor.saturating_sub(target(courier)));
        targets.values().sum::<u64>() + idle.sum::<u64>()
    }
}

impl PartnerAllocation {
    /// Sets the tenants' policies.
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

    /// Divides the budget again, and proposes the changes, unless the last review was too recent for its cost.
    pub(super) fn review(
        &mut self,
        review: &Review,
        reports: &BTreeMap<String, CourierReport>,
        commands: &mut Vec<BudgetCommand>,
    ) {
        let now = review.now;
        if now < self.reviewed_at.saturating_add(self.seat_count.saturating_mul(REVIEW_COST_PER_SEAT)) {
            return;
        }
        let is_first = self.reviewed_at == 0;
        let elapsed = if is_first { ROUND_INTERVAL } else { now.saturating_sub(self.reviewed_at) };
        self.reviewed_at = now;
        self.refill_moves(elapsed);
        let mut seats = collect_seats(review, reports);
        self.seat_count = seats.len() as u64;
        self.set_targets(review, &mut seats, elapsed);
        self.propose_moves(review, &seats, commands);
    }

    fn refill_moves(&mut self, elapsed: Micros) {
        let most = u64::from(MAX_MOVE_BURST) * ONE_CONNECTION as u64;
        let more = elapsed.saturating_mul(u64::from(MAX_MOVES_PER_SECOND - MAX_MOVE_BURST));
        self.move_credit = self.move_credit.saturating_add(more).min(most);
    }

    /// The changes of shares that may be proposed now.
    pub(super) fn available_moves(&self) -> usize {
        (self.move_credit / ONE_CONNECTION as u64) as usize
    }

    /// Counts one change, if one may be proposed.
    pub(super) fn use_move(&mut self) -> bool {
        let is_available = self.move_credit >= ONE_CONNECTION as u64;
        if is_available {
            self.move_credit -= ONE_CONNECTION as u64;
        }
        is_available
    }

    /// Decides where each connection should be.
    fn set_targets(&mut self, review: &Review, seats: &mut [Seat], elapsed: Micros) {
        let now = review.now;
        let begins_turn = now >= self.turn_began.saturating_add(TURN_INTERVAL);
        if begins_turn {
            self.turn_began = now;
        }
        let reserved = Reserved::new(review);
        let mut groups = self.group_by_tenant(seats);
        self.divide_beside_floors(review, &reserved, seats, &mut groups);
        self.divide_floors(&reserved, seats);
        self.update_credits(seats, &groups, Round { elapsed, now, begins_turn });
    }

    /// Divides what can be moved. The pool is what remains beside the floors that the division does not use up.
    fn divide_beside_floors(
        &self,
        review: &Review,
        reserved: &Reserved,
        seats: &mut [Seat],
        groups: &mut [Group],
    ) {
        let movable = u64::from(review.partner.connections).saturating_sub(reserved.fixed);
        let mut pool = u32::try_from(movable).unwrap_or(u32::MAX);
        loop {
            self.divide_pool(pool, review, seats, groups);
            let excess = reserved.needed(seats).saturating_sub(movable);
            if excess == 0 || pool == 0 {
                return;
            }
            pool = pool.saturating_sub(u32::try_from(excess).unwrap_or(u32::MAX));
        }
    }

    /// Divides what remains of each courier's floor among its tenants.
    fn divide_floors(&self, reserved: &Reserved, seats: &mut [Seat]) {
        for (courier, floor) in &reserved.floors {
            let mut of_courier: Vec<&mut Seat> =
                seats.iter_mut().filter(|seat| seat.courier == *courier).collect();
            let used: u32 = of_courier.iter().map(|seat| seat.target).sum();
            let rest = u32::try_from(*floor).unwrap_or(u32::MAX).saturating_sub(used);
            let claims = of_courier.iter().map(|seat| {
                let policy = self.policy(seat.tenant);
                Claim {
                    name: seat.tenant,
                    weight: policy.weight,
                    floor: 0,
                    ceiling: policy.ceiling.unwrap_or(u32::MAX).saturating_sub(seat.target),
                    demand: seat.demand.saturating_sub(seat.target),
                    current: 0,
                    credit: 0,
                    overdue: 0,
                }
            });
            let parts = divide(rest, &claims.collect::<Vec<_>>());
            of_courier.iter_mut().zip(parts).for_each(|(seat, part)| seat.target += part.whole);
        }
    }

    /// Divides the pool over the tenants, and each tenant's part over its couriers.
    fn divide_pool(&self, pool: u32, review: &Review, seats: &mut [Seat], groups: &mut [Group]) {
        let claims = groups.iter().map(|group| self.tenant_claim(group, seats, review));
        let parts = divide(pool, &claims.collect::<Vec<_>>());
        for (group, part) in groups.iter_mut().zip(parts) {
            group.shortfall.fair = part.fair;
            let of_tenant = &mut seats[group.seats.clone()];
            let claims = of_tenant.iter().map(|seat| {
                let credit = seat.shortfall.credit(review.now);
                Claim {
                    name: seat.courier,
                    weight: 1,
                    floor: 0,
                    ceiling: seat.demand,
                    demand: seat.demand,
                    current: seat.usable,
                    credit: credit.millionths,
                    overdue: credit.overdue,
                }
            });
            let parts = divide(part.whole, &claims.collect::<Vec<_>>());
            for (seat, part) in of_tenant.iter_mut().zip(parts) {
                (seat.target, seat.shortfall.fair) = (part.whole, part.fair);
            }
        }
    }

    fn tenant_claim<'a>(&self, group: &Group, seats: &[Seat<'a>], review: &Review) -> Claim<'a> {
        let of_tenant = &seats[group.seats.clone()];
        let name = of_tenant.first().map_or("", |seat| seat.tenant);
        let policy = self.policy(name);
        let credit = group.shortfall.credit(review.now);
        Claim {
            name,
            weight: policy.weight,
            floor: policy.floor,
            ceiling: policy.ceiling.unwrap_or(review.partner.connections),
            demand: of_tenant.iter().map(|seat| seat.demand).fold(0, u32::saturating_add),
            current: of_tenant.iter().map(|seat| seat.usable).fold(0, u32::saturating_add),
            credit: credit.millionths,
            overdue: credit.overdue,
        }
    }

    /// Groups the seats by tenant, with what each was short of until now.
    fn group_by_tenant(&self, seats: &mut [Seat]) -> Vec<Group> {
        let mut groups = Vec::new();
        let mut from = 0;
        for of_tenant in seats.chunk_by_mut(|a, b| a.tenant == b.tenant) {
            let known = of_tenant.first().and_then(|seat| self.shortfalls.get(seat.tenant));
            for seat in of_tenant.iter_mut() {
                let shortfall = known.and_then(|known| known.couriers.get(seat.courier));
                seat.shortfall = shortfall.copied().unwrap_or_default();
            }
            let shortfall = known.map(|known| known.tenant).unwrap_or_default();
            groups.push(Group { seats: from..from + of_tenant.len(), shortfall });
            from += of_tenant.len();
        }
        groups
    }

    /// Updates what tenants and couriers are short of; forgets those that demand nothing.
    fn update_credits(&mut self, seats: &[Seat], groups: &[Group], round: Round) {
        for group in groups {
            let demanding = seats[group.seats.clone()].iter().filter(|seat| seat.demand > 0);
            let current = demanding.clone().map(|seat| seat.granted).fold(0, u32::saturating_add);
            let Some(first) = demanding.clone().next() else { continue };
            if !self.shortfalls.contains_key(first.tenant) {
                self.shortfalls.insert(first.tenant.to_string(), TenantShortfall::default());
            }
            let Some(known) = self.shortfalls.get_mut(first.tenant) else { continue };
            known.tenant = group.shortfall.after(current, round);
            for seat in demanding {
                let next = seat.shortfall.after(seat.granted, round);
                match known.couriers.get_mut(seat.courier) {
                    Some(shortfall) => *shortfall = next,
                    None => drop(known.couriers.insert(seat.courier.to_string(), next)),
                }
            }
            known.couriers.retain(|_, shortfall| shortfall.updated_at == round.now);
        }
        self.shortfalls.retain(|_, known| known.tenant.updated_at == round.now);
    }
}
