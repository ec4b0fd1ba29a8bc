//! The leader's side: hears what couriers ask for, and moves connections between them by commands.
//!
//! It keeps nothing that a new leader could not do without: until it has heard a courier, it takes what that
//! holds for what it asks for.
//!
//! **Bounds.** With `G = REPORT_INTERVAL + ROUND_INTERVAL + an entry of the log`, one move of a connection from its holder to
//! another takes at most `R = 2 G + TimeBounds::recall_time()`, and none of it but `2 G` where the connection is
//! idle.
//! - A raised budget is granted in the round after it is agreed on; a lowered one is met within `R`, or
//!   [`TimeBounds::drain_time`] after the lapse of a courier that is cut off.
//! - Idle budget that was lent is back within `R` of its owner's report.
//! - A tenant whose exact part is 1 connection or more always has it, within `R`. One with a smaller part `s`
//!   (and asks for more than none) takes turns: it is overdue after `2 / s` turns without a connection, and
//!   then comes before all that are not, first come first served, so with `n` overdue and `r` connections
//!   that go by turns it is served within `(2 / s + n / r) * (TURN_INTERVAL + R)`, each quotient rounded up
//!   ([`starvation`]). If more than [`MAX_MOVES_PER_SECOND`] leases would change in that, `n / MAX_MOVES_PER_SECOND` seconds more.
//!   It is counted from the start of a leadership, of which the next knows nothing.
//! - At most [`MAX_MOVES_PER_SECOND`] leases of a partner change in any second, whatever the demand does; only a lowered
//!   budget's recalls come beside.

use super::breaks::{Break, on};
use super::divide::{Claim, MAX_CREDIT, ONE_CONNECTION, divide};
use super::state::{BudgetCommand, BudgetState, PartnerBudget};
use super::{Budget, TimeBounds};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The leader looks at the division once in this: moves come in batches, and an entry of the log takes about
/// as long.
pub const ROUND_INTERVAL: Micros = 50_000;
/// A look at a partner costs about a tenth of this for each pair of tenant and courier: with many of them it
/// is done less often, so that looking takes no more than a tenth of the leader's time.
pub const REVIEW_COST_PER_SEAT: Micros = 10;
/// What was asked for counts for so long after it was: demand that comes and goes faster moves nothing.
pub const DEMAND_WINDOW: Micros = 250_000;
/// Credits of those that take turns count from one turn to the next: each seat is kept for about so long,
/// some calls' time, so that moving it costs little of its use.
pub const TURN_INTERVAL: Micros = 2_000_000;
/// Leases of one partner that change in any second, at most: each is an entry of some 100 bytes in the log of
/// every courier, which has other work.
pub const MAX_MOVES_PER_SECOND: u32 = 256;
/// So many of them at once; the rest comes evenly over the second.
pub const MAX_MOVE_BURST: u32 = 64;
/// Lines of one report; what is beyond them counts as not asked for.
pub const MAX_REPORT_LINES: usize = 16_384;

/// What a courier asks for and confirms, for one tenant at one partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLine {
    pub dest: u64,
    pub tenant: String,
    /// Calls that are out or would go out now.
    pub demand: u32,
    pub open: u32,
    /// The number of the recall and what it has come down to.
    pub released: Option<(u64, u32)>,
}

/// All that a courier asks for now; a later one replaces it, so lost and repeated ones do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub courier: String,
    pub epoch: u64,
    /// Counts up; an older report than the last is passed over.
    pub sequence: u64,
    /// All that it has open is within what it holds under this epoch, and earlier processes have nothing
    /// open.
    pub clear: bool,
    /// It is stopping, has nothing open, and begins nothing more.
    pub left: bool,
    pub lines: Vec<ReportLine>,
}

/// What couriers say to each other about budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// To the leader.
    Report(Report),
}

/// A courier's asking, as the highest of the last [`DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DemandPeak {
    now: u32,
    peak: u32,
    until: Micros,
}

#[derive(Clone, Debug, Default)]
struct CourierReport {
    epoch: u64,
    sequence: u64,
    clear: bool,
    left: bool,
    demand: BTreeMap<(u64, String), DemandPeak>,
    released: BTreeMap<(u64, String), (u64, u32)>,
}

/// What a tenant, or a courier inside one, was short of.
#[derive(Clone, Copy, Debug, Default)]
struct Shortfall {
    /// Connections, in millionths.
    credit: i64,
    /// The credit as it was at the turn's start: what counts.
    turn_credit: i64,
    /// Without a connection since then, though it asks.
    since: Option<Micros>,
    /// Its exact part in the last round.
    fair: i64,
    seen: Micros,
}

#[derive(Clone, Debug, Default)]
struct PartnerAllocation {
    tenants: BTreeMap<String, (u64, u32, Option<u32>)>,
    /// By tenant, and inside it by courier.
    shortfall: BTreeMap<String, (Shortfall, BTreeMap<String, Shortfall>)>,
    turn_began: Micros,
    reviewed_at: Micros,
    /// Seats at the last look.
    size: u64,
    /// Leases that may change now, in millionths.
    move_credit: u64,
}

/// The leader's decisions on budgets. Made anew at each start of a leadership.
#[derive(Clone, Debug)]
pub struct BudgetLeader {
    bounds: TimeBounds,
    allocations: BTreeMap<u64, PartnerAllocation>,
    heard: BTreeMap<String, CourierReport>,
    /// Whose lease is over, with its epoch, until that is agreed on.
    lapsed: BTreeMap<String, u64>,
    /// Since when the member's present state is known here: its epoch, lapsed, aged.
    seen: BTreeMap<String, (u64, bool, bool, Micros)>,
    last: Option<Micros>,
}

impl BudgetLeader {
    pub fn new(bounds: TimeBounds) -> BudgetLeader {
        let (allocations, heard, lapsed, seen) = Default::default();
        BudgetLeader { bounds, allocations, heard, lapsed, seen, last: None }
    }

    /// A partner's budget as the operator file has it.
    pub fn budget(&mut self, budget: &Budget) {
        let allocation = self.allocations.entry(budget.dest).or_default();
        allocation.tenants = budget
            .tenants
            .iter()
            .map(|t| (t.name.clone(), (t.weight_millionths(), t.floor, t.ceiling)))
            .collect();
    }

    /// The member's lease under this epoch is over, by the leader's clock and with the margin for others.
    pub fn lapsed(&mut self, courier: &str, epoch: u64) {
        self.lapsed.insert(courier.to_string(), epoch);
    }

    pub fn receive(&mut self, message: &BudgetMessage, now: Micros) {
        let BudgetMessage::Report(report) = message;
        let heard = self.heard.entry(report.courier.clone()).or_default();
        if (report.epoch, report.sequence) <= (heard.epoch, heard.sequence) {
            return;
        }
        let mut old = match heard.epoch == report.epoch {
            true => std::mem::take(&mut heard.demand),
            false => BTreeMap::new(),
        };
        heard.demand.clear();
        heard.released.clear();
        (heard.epoch, heard.sequence) = (report.epoch, report.sequence);
        (heard.clear, heard.left) = (report.clear, report.left);
        for line in report.lines.iter().take(MAX_REPORT_LINES) {
            let key = (line.dest, line.tenant.clone());
            let mut demand = old.remove(&key).unwrap_or_default();
            demand.record(line.demand, now);
            heard.demand.insert(key.clone(), demand);
            if let Some(released) = line.released {
                heard.released.insert(key, released);
            }
        }
        // What is no longer told is no longer asked for, after its window.
        for (key, mut demand) in old {
            demand.record(0, now);
            if demand.peak > 0 {
                heard.demand.insert(key, demand);
            }
        }
    }

    /// When [`BudgetLeader::tick`] is wanted next.
    pub fn wake_at(&self, now: Micros) -> Micros {
        self.last.map_or(now, |last| last.saturating_add(ROUND_INTERVAL))
    }

    /// What is to be proposed now; nothing before a round has passed. What is lost is proposed again.
    pub fn tick(&mut self, budget_state: &BudgetState, now: Micros) -> Vec<BudgetCommand> {
        if self.last.is_some_and(|last| now < last.saturating_add(ROUND_INTERVAL)) {
            return Vec::new();
        }
        self.last = Some(now);
        let mut commands = Vec::new();
        self.expire_members(budget_state, now, &mut commands);
        self.propose_confirmed(budget_state, &mut commands);
        let mut allocations = std::mem::take(&mut self.allocations);
        for (dest, partner) in budget_state.partners() {
            let allocation = allocations.entry(dest).or_default();
            allocation.review(dest, partner, budget_state, &self.heard, now, &mut commands);
        }
        self.allocations = allocations;
        commands
    }

    /// Leases that are over, and what has expired since.
    fn expire_members(&mut self, budget_state: &BudgetState, now: Micros, commands: &mut Vec<BudgetCommand>) {
        let hold = self.bounds.drain_time();
        self.lapsed.retain(|c, e| budget_state.member(c).is_some_and(|m| m.epoch == *e && !m.lapsed));
        for (courier, epoch) in &self.lapsed {
            commands.push(BudgetCommand::Lapsed { courier: courier.clone(), epoch: *epoch });
        }
        for (courier, member) in budget_state.members() {
            let state = (member.epoch, member.lapsed, member.aged);
            let seen = self.seen.entry(courier.clone()).or_insert((state.0, state.1, state.2, now));
            if (seen.0, seen.1, seen.2) != state {
                *seen = (state.0, state.1, state.2, now);
            }
            let drained = now.saturating_sub(seen.3) >= hold;
            let heard = self.heard.get(courier).filter(|h| h.epoch == member.epoch);
            let epoch = member.epoch;
            if member.lapsed {
                if drained && budget_state.partners().any(|(_, p)| p.shares(courier, epoch).next().is_some())
                {
                    commands.push(BudgetCommand::Expired { courier: courier.clone(), epoch });
                }
            } else if member.aged && heard.is_some_and(|h| h.left) {
                commands.push(BudgetCommand::Left { courier: courier.clone(), epoch });
            } else if !member.aged && (drained || heard.is_some_and(|h| h.clear)) {
                commands.push(BudgetCommand::Aged { courier: courier.clone(), epoch });
            }
        }
    }

    /// Couriers' confirmations that aren't agreed on yet.
    fn propose_confirmed(&self, budget_state: &BudgetState, commands: &mut Vec<BudgetCommand>) {
        for (courier, heard) in &self.heard {
            for ((dest, tenant), (number, to)) in &heard.released {
                let Some(partner) = budget_state.partner(*dest) else { continue };
                let share = partner.share(courier, heard.epoch, tenant);
                if share.number == *number && share.recalled.is_some() && *to < share.granted {
                    commands.push(BudgetCommand::Released {
                        dest: *dest,
                        tenant: tenant.clone(),
                        courier: courier.clone(),
                        epoch: heard.epoch,
                        number: *number,
                        to: *to,
                    });
                }
            }
        }
    }
}

impl Shortfall {
    /// Credit, and how long it is overdue.
    fn credit_and_overdue(&self, now: Micros) -> (i64, u64) {
        if on(Break::TurnsForgotten) {
            return (0, 0);
        }
        let waited = self.since.map_or(0, |at| now.saturating_sub(at));
        // Two turns of its own, by its part.
        let due = (2 * ONE_CONNECTION as u64).div_ceil(self.fair.max(1) as u64).saturating_mul(TURN_INTERVAL);
        (self.turn_credit, if waited > due { waited } else { 0 })
    }

    fn after(&self, current: u32, since: Micros, now: Micros, turn: bool) -> Shortfall {
        let gain =
            (self.fair - i64::from(current).saturating_mul(ONE_CONNECTION)).clamp(-MAX_CREDIT, MAX_CREDIT);
        let gain = i128::from(gain) * i128::from(since.min(TURN_INTERVAL)) / i128::from(TURN_INTERVAL);
        let credit = (self.credit + gain as i64).clamp(-MAX_CREDIT, MAX_CREDIT);
        let since = if current > 0 { None } else { self.since.or(Some(now)) };
        Shortfall {
            credit,
            turn_credit: if turn { credit } else { self.turn_credit },
            since,
            fair: self.fair,
            seen: now,
        }
    }
}

impl DemandPeak {
    fn record(&mut self, demand: u32, now: Micros) {
        self.now = demand;
        if demand >= self.peak || now >= self.until {
            (self.peak, self.until) = (demand, now.saturating_add(DEMAND_WINDOW));
        }
    }

    fn value_at(&self, now: Micros) -> u32 {
        if now >= self.until { self.now } else { self.peak.max(self.now) }
    }
}

/// What one tenant has at one courier, and is to have.
struct Seat<'a> {
    tenant: &'a str,
    courier: &'a str,
    epoch: u64,
    demand: u32,
    /// What it may use now, and what counts for it.
    usable: u32,
    granted: u32,
    to: u32,
    shortfall: Shortfall,
}

/// One tenant's seats, which are side by side.
struct Group {
    seats: std::ops::Range<usize>,
    shortfall: Shortfall,
}

impl PartnerAllocation {
    fn review(
        &mut self,
        dest: u64,
        partner: &PartnerBudget,
        budget_state: &BudgetState,
        heard: &BTreeMap<String, CourierReport>,
        now: Micros,
        commands: &mut Vec<BudgetCommand>,
    ) {
        if now < self.reviewed_at.saturating_add(self.size.saturating_mul(REVIEW_COST_PER_SEAT)) {
            return;
        }
        let since = if self.reviewed_at == 0 { ROUND_INTERVAL } else { now.saturating_sub(self.reviewed_at) };
        self.reviewed_at = now;
        let most = u64::from(MAX_MOVE_BURST) * ONE_CONNECTION as u64;
        let more = since.saturating_mul(u64::from(MAX_MOVES_PER_SECOND - MAX_MOVE_BURST));
        self.move_credit = self.move_credit.saturating_add(more).min(most);
        let mut seats = collect_seats(dest, partner, budget_state, heard, now);
        self.size = seats.len() as u64;
        self.set_targets(partner, budget_state, &mut seats, since, now);
        self.propose_moves(dest, partner, budget_state, &seats, commands);
    }

    /// Where each connection should be.
    fn set_targets(
        &mut self,
        partner: &PartnerBudget,
        budget_state: &BudgetState,
        seats: &mut [Seat],
        since: Micros,
        now: Micros,
    ) {
        let turn = now >= self.turn_began.saturating_add(TURN_INTERVAL);
        if turn {
            self.turn_began = now;
        }
        // What can't be moved: floors that are not used up by grants, older lives, lapsed couriers.
        let mut floors: BTreeMap<&str, u64> = BTreeMap::new();
        let mut fixed: u64 = 0;
        for courier in partner.couriers() {
            let member = budget_state.member(courier);
            match member {
                Some(m) if !m.lapsed && m.aged => {
                    floors.insert(courier, u64::from(partner.target_floor(courier)));
                }
                Some(m) if !m.lapsed => {
                    fixed += partner
                        .counted_besides(courier, member)
                        .max(u64::from(partner.target_floor(courier)));
                }
                Some(m) => {
                    let now: u64 = partner.shares(courier, m.epoch).map(|(_, h)| u64::from(h.granted)).sum();
                    let all = partner.counted_besides(courier, member) + now;
                    fixed += all.max(u64::from(partner.target_floor(courier)));
                }
                None => fixed += u64::from(partner.target_floor(courier)),
            }
        }
        let all = u64::from(partner.connections).saturating_sub(fixed);
        let mut pool = u32::try_from(all).unwrap_or(u32::MAX);
        let mut groups = self.groups(seats);
        // A floor that isn't asked for is idle: the pool is what remains beside it.
        loop {
            self.divide_pool(pool, partner.connections, seats, &mut groups, now);
            let mut at: BTreeMap<&str, u64> = BTreeMap::new();
            seats.iter().for_each(|s| *at.entry(s.courier).or_default() += u64::from(s.to));
            let counted_besides =
                floors.iter().map(|(c, f)| f.saturating_sub(at.get(c).copied().unwrap_or(0)));
            let sum: u64 = at.values().sum::<u64>() + counted_besides.sum::<u64>();
            let excess = u32::try_from(sum.saturating_sub(all)).unwrap_or(u32::MAX);
            if excess == 0 || pool == 0 {
                break;
            }
            pool = pool.saturating_sub(excess);
        }
        for (courier, floor) in floors {
            let mut here: Vec<&mut Seat> = seats.iter_mut().filter(|s| s.courier == courier).collect();
            let used: u32 = here.iter().map(|s| s.to).sum();
            let rest = u32::try_from(floor).unwrap_or(u32::MAX).saturating_sub(used);
            let claims = here.iter().map(|s| {
                let (weight, _, ceiling) = self.tenant_policy(s.tenant);
                Claim {
                    name: s.tenant,
                    weight,
                    floor: 0,
                    ceiling: ceiling.unwrap_or(u32::MAX).saturating_sub(s.to),
                    demand: s.demand.saturating_sub(s.to),
                    current: 0,
                    credit: 0,
                    overdue: 0,
                }
            });
            let parts = divide(rest, &claims.collect::<Vec<_>>());
            here.iter_mut().zip(parts).for_each(|(s, p)| s.to += p.whole);
        }
        self.update_credits(seats, &groups, since, now, turn);
    }

    fn tenant_policy(&self, tenant: &str) -> (u64, u32, Option<u32>) {
        self.tenants.get(tenant).copied().unwrap_or((ONE_CONNECTION as u64, 0, None))
    }

    /// The division over tenants, and inside each over its couriers.
    fn divide_pool(
        &self,
        pool: u32,
        connections: u32,
        seats: &mut [Seat],
        groups: &mut [Group],
        now: Micros,
    ) {
        let tenants = groups.iter().map(|group| {
            let here = &seats[group.seats.clone()];
            let tenant = here.first().map_or("", |s| s.tenant);
            let (weight, floor, ceiling) = self.tenant_policy(tenant);
            let sum = |of: fn(&Seat) -> u32| here.iter().map(of).fold(0, u32::saturating_add);
            let (credit, overdue) = group.shortfall.credit_and_overdue(now);
            let (demand, current) = (sum(|s| s.demand), sum(|s| s.usable));
            let ceiling = ceiling.unwrap_or(connections);
            Claim { name: tenant, weight, floor, ceiling, demand, current, credit, overdue }
        });
        let parts = divide(pool, &tenants.collect::<Vec<_>>());
        for (group, part) in groups.iter_mut().zip(parts) {
            group.shortfall.fair = part.fair;
            let here = &mut seats[group.seats.clone()];
            let couriers = here.iter().map(|seat| {
                let (credit, overdue) = seat.shortfall.credit_and_overdue(now);
                let (name, demand, current) = (seat.courier, seat.demand, seat.usable);
                Claim { name, weight: 1, floor: 0, ceiling: demand, demand, current, credit, overdue }
            });
            let inner = divide(part.whole, &couriers.collect::<Vec<_>>());
            for (seat, inner) in here.iter_mut().zip(inner) {
                (seat.to, seat.shortfall.fair) = (inner.whole, inner.fair);
            }
        }
    }

    /// What seats and tenants were short of until now.
    fn groups(&self, seats: &mut [Seat]) -> Vec<Group> {
        let mut groups = Vec::new();
        let mut from = 0;
        for here in seats.chunk_by_mut(|a, b| a.tenant == b.tenant) {
            let known = here.first().and_then(|s| self.shortfall.get(s.tenant));
            for seat in here.iter_mut() {
                seat.shortfall = known.and_then(|k| k.1.get(seat.courier)).copied().unwrap_or_default();
            }
            let shortfall = known.map(|k| k.0).unwrap_or_default();
            groups.push(Group { seats: from..from + here.len(), shortfall });
            from += here.len();
        }
        groups
    }

    /// Credit grows by what is fair, and falls by what is held.
    fn update_credits(&mut self, seats: &[Seat], groups: &[Group], since: Micros, now: Micros, turn: bool) {
        for group in groups {
            let here = seats[group.seats.clone()].iter().filter(|s| s.demand > 0);
            let current = here.clone().map(|s| s.granted).fold(0, u32::saturating_add);
            let Some(first) = here.clone().next() else { continue };
            if !self.shortfall.contains_key(first.tenant) {
                self.shortfall.insert(first.tenant.to_string(), Default::default());
            }
            let Some((all, couriers)) = self.shortfall.get_mut(first.tenant) else { continue };
            *all = group.shortfall.after(current, since, now, turn);
            for seat in here {
                let next = seat.shortfall.after(seat.granted, since, now, turn);
                match couriers.get_mut(seat.courier) {
                    Some(shortfall) => *shortfall = next,
                    None => drop(couriers.insert(seat.courier.to_string(), next)),
                }
            }
            couriers.retain(|_, s| s.seen == now);
        }
        // Who asks for nothing gathers nothing.
        self.shortfall.retain(|_, (s, _)| s.seen == now);
    }

    /// Moves what has to be, as far as others need it and the limit of moves lets it.
    fn propose_moves(
        &mut self,
        dest: u64,
        partner: &PartnerBudget,
        budget_state: &BudgetState,
        seats: &[Seat],
        commands: &mut Vec<BudgetCommand>,
    ) {
        let committed = budget_state.committed(dest);
        let connections = u64::from(partner.connections);
        let set = |s: &Seat, to: u32| BudgetCommand::Set {
            dest,
            tenant: s.tenant.to_string(),
            courier: s.courier.to_string(),
            epoch: s.epoch,
            to,
        };
        // What grants cost at each courier: nothing beyond its floor, where earlier lives have no part in
        // that.
        let floor = |courier: &str| match budget_state.member(courier) {
            Some(m) if m.aged => u64::from(partner.target_floor(courier)),
            _ => 0,
        };
        let mut floors: BTreeMap<&str, u64> = BTreeMap::new();
        let (mut usable, mut granted) = (BTreeMap::<&str, u64>::new(), BTreeMap::<&str, u64>::new());
        for seat in seats {
            floors.insert(seat.courier, floor(seat.courier));
            *usable.entry(seat.courier).or_default() += u64::from(seat.usable);
            *granted.entry(seat.courier).or_default() += u64::from(seat.granted);
        }
        // Connections are called back only for raises that can be made soon.
        let mut raises: Vec<&Seat> = seats.iter().filter(|s| s.to > s.usable).collect();
        raises.sort_by_key(|s| (s.usable, s.tenant, s.courier));
        raises.truncate((self.move_credit / ONE_CONNECTION as u64) as usize);
        let mut wanted = usable.clone();
        for seat in &raises {
            *wanted.entry(seat.courier).or_default() += u64::from(seat.to - seat.usable);
        }
        let cost = |of: &BTreeMap<&str, u64>| of.iter().map(|(c, n)| (*n).max(floors[c])).sum::<u64>();
        let raised = |c: &&str| u64::from(partner.target_floor(c) - partner.floor(c));
        let fixed =
            (committed + partner.couriers().iter().map(raised).sum::<u64>()).saturating_sub(cost(&granted));
        let mut need = (fixed + cost(&wanted)).saturating_sub(connections);
        // A lowered budget waits for nothing.
        let mut forced = (fixed + cost(&usable)).saturating_sub(connections);
        let mut surplus: Vec<&Seat> = seats.iter().filter(|s| s.to < s.usable).collect();
        // First what its holder has no use for, and the largest.
        surplus
            .sort_by_key(|s| (s.demand >= s.usable, std::cmp::Reverse(s.usable - s.to), s.tenant, s.courier));
        for seat in surplus {
            let Some(here) = wanted.get_mut(seat.courier) else { continue };
            let beyond = here.saturating_sub(floors[seat.courier]);
            let by = u64::from(seat.usable - seat.to).min(need).min(beyond);
            if by == 0 {
                continue;
            }
            if forced == 0 && !self.may_move() {
                break;
            }
            forced = forced.saturating_sub(by);
            need -= by;
            *here -= by;
            commands.push(set(seat, seat.usable - by as u32));
        }
        let mut available = connections.saturating_sub(committed);
        for seat in raises {
            // A recall that is no longer wanted is taken back, at no cost; so is what is below the courier's
            // floor.
            let Some(here) = granted.get_mut(seat.courier) else { continue };
            let more = u64::from(seat.to.saturating_sub(seat.granted));
            let free = floors[seat.courier].saturating_sub(*here);
            let raise = more.min(available + free);
            if (more > 0 && raise == 0) || !self.may_move() {
                continue;
            }
            available -= raise.saturating_sub(free);
            *here += raise;
            commands.push(set(seat, seat.to.min(seat.granted.saturating_add(raise as u32))));
        }
    }

    fn may_move(&mut self) -> bool {
        let may = self.move_credit >= ONE_CONNECTION as u64;
        if may {
            self.move_credit -= ONE_CONNECTION as u64;
        }
        may
    }
}

/// All that live couriers ask for or hold, in the order of tenants and couriers.
fn collect_seats<'a>(
    dest: u64,
    partner: &'a PartnerBudget,
    budget_state: &'a BudgetState,
    heard: &'a BTreeMap<String, CourierReport>,
    now: Micros,
) -> Vec<Seat<'a>> {
    let mut seats: BTreeMap<(&str, &str), Seat> = BTreeMap::new();
    for (courier, member) in budget_state.members().iter().filter(|(_, m)| !m.lapsed) {
        let heard = heard.get(courier).filter(|h| h.epoch == member.epoch);
        let (epoch, shortfall) = (member.epoch, Shortfall::default());
        let seat =
            |tenant| Seat { tenant, courier, epoch, demand: 0, usable: 0, granted: 0, to: 0, shortfall };
        for (tenant, share) in partner.shares(courier, member.epoch) {
            let one = seats.entry((tenant, courier)).or_insert_with(|| seat(tenant));
            (one.usable, one.granted) = (share.usable(), share.granted);
            if heard.is_none() {
                one.demand = share.usable();
            }
        }
        for ((_, tenant), demand) in
            heard.into_iter().flat_map(|h| &h.demand).filter(|((d, _), _)| *d == dest)
        {
            seats.entry((tenant, courier)).or_insert_with(|| seat(tenant)).demand = demand.value_at(now);
        }
    }
    seats.into_values().collect()
}

/// The longest that a tenant with so many millionths of a connection as its part goes without one, while
/// `overdue` others are overdue and `by_turns` connections go by turns.
pub fn starvation(bounds: &TimeBounds, fair: i64, overdue: u64, by_turns: u64) -> Micros {
    let own = (2 * ONE_CONNECTION as u64).div_ceil(fair.clamp(1, ONE_CONNECTION) as u64);
    let others = overdue.div_ceil(by_turns.max(1));
    let step = 2 * (super::local::REPORT_INTERVAL + ROUND_INTERVAL) + bounds.recall_time();
    let moves = overdue.saturating_mul(1_000_000) / u64::from(MAX_MOVES_PER_SECOND);
    (own + others).saturating_mul(TURN_INTERVAL + step).saturating_add(moves)
}
