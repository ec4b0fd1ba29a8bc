//! The leader's side: hears what couriers ask for, and moves connections between them by commands.
//!
//! It keeps nothing that a new leader could not do without: until it has heard a courier, it takes what that
//! holds for what it asks for.
//!
//! **Bounds.** With `G = REPORT + ROUND + an entry of the log`, one move of a connection from its holder to
//! another takes at most `R = 2 G + Terms::attrition()`, and none of it but `2 G` where the connection is
//! idle.
//! - A raised budget is granted in the round after it is agreed on; a lowered one is met within `R`, or
//!   [`Terms::hold`] after the lapse of a courier that is cut off.
//! - Idle budget that was lent is back within `R` of its owner's report.
//! - A tenant whose exact part is 1 connection or more always has it, within `R`. One with a smaller part `s`
//!   (and asks for more than none) takes turns: it is overdue after `2 / s` turns without a connection, and
//!   then comes before all that are not, first come first served, so with `n` overdue and `r` connections
//!   that go by turns it is served within `(2 / s + n / r) * (TURN + R)`, each quotient rounded up
//!   ([`starvation`]). If more than [`MOVES`] leases would change in that, `n / MOVES` seconds more.
//!   It is counted from the start of a leadership, of which the next knows nothing.
//! - At most [`MOVES`] leases of a partner change in any second, whatever the demand does; only a lowered
//!   budget's recalls come beside.

use super::agreed::{Agreed, Command, Partner};
use super::breaks::{Break, on};
use super::divide::{CREDIT_MAX, Claim, ONE, divide};
use super::{Budget, Terms};
use serde::{Deserialize, Serialize};
use spurshore::Micros;
use std::collections::BTreeMap;

/// The leader looks at the division once in this: moves come in batches, and an entry of the log takes about
/// as long.
pub const ROUND: Micros = 50_000;
/// A look at a partner costs about a tenth of this for each pair of tenant and courier: with many of them it
/// is done less often, so that looking takes no more than a tenth of the leader's time.
pub const LOOK_EACH: Micros = 10;
/// What was asked for counts for so long after it was: demand that comes and goes faster moves nothing.
pub const WINDOW: Micros = 250_000;
/// Credits of those that take turns count from one turn to the next: each seat is kept for about so long,
/// some calls' time, so that moving it costs little of its use.
pub const TURN: Micros = 2_000_000;
/// Leases of one partner that change in any second, at most: each is an entry of some 100 bytes in the log of
/// every courier, which has other work.
pub const MOVES: u32 = 256;
/// So many of them at once; the rest comes evenly over the second.
pub const MOVES_AT_ONCE: u32 = 64;
/// Lines of one report; what is beyond them counts as not asked for.
pub const LINES_MAX: usize = 16_384;

/// What a courier asks for and confirms, for one tenant at one partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    pub dest: u64,
    pub tenant: String,
    /// Calls that are out or would go out now.
    pub asks: u32,
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
    pub turn: u64,
    /// All that it has open is within what it holds under this epoch, and earlier processes have nothing
    /// open.
    pub clear: bool,
    /// It is stopping, has nothing open, and begins nothing more.
    pub left: bool,
    pub lines: Vec<Line>,
}

/// What couriers say to each other about budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To the leader.
    Report(Report),
}

/// A courier's asking, as the highest of the last [`WINDOW`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Asks {
    now: u32,
    peak: u32,
    until: Micros,
}

#[derive(Clone, Debug, Default)]
struct Heard {
    epoch: u64,
    turn: u64,
    clear: bool,
    left: bool,
    asks: BTreeMap<(u64, String), Asks>,
    released: BTreeMap<(u64, String), (u64, u32)>,
}

/// What a tenant, or a courier inside one, was short of.
#[derive(Clone, Copy, Debug, Default)]
struct Short {
    /// Connections, in millionths.
    credit: i64,
    /// The credit as it was at the turn's start: what counts.
    counts: i64,
    /// Without a connection since then, though it asks.
    since: Option<Micros>,
    /// Its exact part in the last round.
    fair: i64,
    seen: Micros,
}

#[derive(Clone, Debug, Default)]
struct Site {
    tenants: BTreeMap<String, (u64, u32, Option<u32>)>,
    /// By tenant, and inside it by courier.
    short: BTreeMap<String, (Short, BTreeMap<String, Short>)>,
    turned: Micros,
    looked: Micros,
    /// Seats at the last look.
    size: u64,
    /// Leases that may change now, in millionths.
    moves: u64,
}

/// The leader's decisions on budgets. Made anew at each start of a leadership.
#[derive(Clone, Debug)]
pub struct Leader {
    terms: Terms,
    sites: BTreeMap<u64, Site>,
    heard: BTreeMap<String, Heard>,
    /// Whose lease is over, with its epoch, until that is agreed on.
    lapsed: BTreeMap<String, u64>,
    /// Since when the member's present state is known here: its epoch, lapsed, aged.
    seen: BTreeMap<String, (u64, bool, bool, Micros)>,
    last: Option<Micros>,
}

impl Leader {
    pub fn new(terms: Terms) -> Leader {
        let (sites, heard, lapsed, seen) = Default::default();
        Leader { terms, sites, heard, lapsed, seen, last: None }
    }

    /// A partner's budget as the operator file has it.
    pub fn budget(&mut self, budget: &Budget) {
        let site = self.sites.entry(budget.dest).or_default();
        site.tenants =
            budget.tenants.iter().map(|t| (t.name.clone(), (t.parts(), t.floor, t.ceiling))).collect();
    }

    /// The member's lease under this epoch is over, by the leader's clock and with the margin for others.
    pub fn lapsed(&mut self, courier: &str, epoch: u64) {
        self.lapsed.insert(courier.to_string(), epoch);
    }

    pub fn hears(&mut self, message: &Message, now: Micros) {
        let Message::Report(report) = message;
        let heard = self.heard.entry(report.courier.clone()).or_default();
        if (report.epoch, report.turn) <= (heard.epoch, heard.turn) {
            return;
        }
        let mut old = match heard.epoch == report.epoch {
            true => std::mem::take(&mut heard.asks),
            false => BTreeMap::new(),
        };
        heard.asks.clear();
        heard.released.clear();
        (heard.epoch, heard.turn) = (report.epoch, report.turn);
        (heard.clear, heard.left) = (report.clear, report.left);
        for line in report.lines.iter().take(LINES_MAX) {
            let key = (line.dest, line.tenant.clone());
            let mut asks = old.remove(&key).unwrap_or_default();
            asks.takes(line.asks, now);
            heard.asks.insert(key.clone(), asks);
            if let Some(released) = line.released {
                heard.released.insert(key, released);
            }
        }
        // What is no longer told is no longer asked for, after its window.
        for (key, mut asks) in old {
            asks.takes(0, now);
            if asks.peak > 0 {
                heard.asks.insert(key, asks);
            }
        }
    }

    /// When [`Leader::tick`] is wanted next.
    pub fn wake_at(&self, now: Micros) -> Micros {
        self.last.map_or(now, |last| last.saturating_add(ROUND))
    }

    /// What is to be proposed now; nothing before a round has passed. What is lost is proposed again.
    pub fn tick(&mut self, agreed: &Agreed, now: Micros) -> Vec<Command> {
        if self.last.is_some_and(|last| now < last.saturating_add(ROUND)) {
            return Vec::new();
        }
        self.last = Some(now);
        let mut commands = Vec::new();
        self.lives(agreed, now, &mut commands);
        self.confirmed(agreed, &mut commands);
        let mut sites = std::mem::take(&mut self.sites);
        for (dest, partner) in agreed.partners() {
            let site = sites.entry(dest).or_default();
            site.look(dest, partner, agreed, &self.heard, now, &mut commands);
        }
        self.sites = sites;
        commands
    }

    /// Leases that are over, and what has expired since.
    fn lives(&mut self, agreed: &Agreed, now: Micros, commands: &mut Vec<Command>) {
        let hold = self.terms.hold();
        self.lapsed.retain(|c, e| agreed.member(c).is_some_and(|m| m.epoch == *e && !m.lapsed));
        for (courier, epoch) in &self.lapsed {
            commands.push(Command::Lapsed { courier: courier.clone(), epoch: *epoch });
        }
        for (courier, member) in agreed.members() {
            let state = (member.epoch, member.lapsed, member.aged);
            let seen = self.seen.entry(courier.clone()).or_insert((state.0, state.1, state.2, now));
            if (seen.0, seen.1, seen.2) != state {
                *seen = (state.0, state.1, state.2, now);
            }
            let over = now.saturating_sub(seen.3) >= hold;
            let heard = self.heard.get(courier).filter(|h| h.epoch == member.epoch);
            let epoch = member.epoch;
            if member.lapsed {
                if over && agreed.partners().any(|(_, p)| p.held(courier, epoch).next().is_some()) {
                    commands.push(Command::Expired { courier: courier.clone(), epoch });
                }
            } else if member.aged && heard.is_some_and(|h| h.left) {
                commands.push(Command::Left { courier: courier.clone(), epoch });
            } else if !member.aged && (over || heard.is_some_and(|h| h.clear)) {
                commands.push(Command::Aged { courier: courier.clone(), epoch });
            }
        }
    }

    /// Couriers' confirmations that aren't agreed on yet.
    fn confirmed(&self, agreed: &Agreed, commands: &mut Vec<Command>) {
        for (courier, heard) in &self.heard {
            for ((dest, tenant), (number, to)) in &heard.released {
                let Some(partner) = agreed.partner(*dest) else { continue };
                let holding = partner.holding(courier, heard.epoch, tenant);
                if holding.number == *number && holding.recalled.is_some() && *to < holding.granted {
                    commands.push(Command::Released {
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

impl Short {
    /// Credit, and how long it is overdue.
    fn counts(&self, now: Micros) -> (i64, u64) {
        if on(Break::TurnsForgotten) {
            return (0, 0);
        }
        let waited = self.since.map_or(0, |at| now.saturating_sub(at));
        // Two turns of its own, by its part.
        let due = (2 * ONE as u64).div_ceil(self.fair.max(1) as u64).saturating_mul(TURN);
        (self.counts, if waited > due { waited } else { 0 })
    }

    fn after(&self, held: u32, since: Micros, now: Micros, turn: bool) -> Short {
        let gain = (self.fair - i64::from(held).saturating_mul(ONE)).clamp(-CREDIT_MAX, CREDIT_MAX);
        let gain = i128::from(gain) * i128::from(since.min(TURN)) / i128::from(TURN);
        let credit = (self.credit + gain as i64).clamp(-CREDIT_MAX, CREDIT_MAX);
        let since = if held > 0 { None } else { self.since.or(Some(now)) };
        Short { credit, counts: if turn { credit } else { self.counts }, since, fair: self.fair, seen: now }
    }
}

impl Asks {
    fn takes(&mut self, asks: u32, now: Micros) {
        self.now = asks;
        if asks >= self.peak || now >= self.until {
            (self.peak, self.until) = (asks, now.saturating_add(WINDOW));
        }
    }

    fn at(&self, now: Micros) -> u32 {
        if now >= self.until { self.now } else { self.peak.max(self.now) }
    }
}

/// What one tenant has at one courier, and is to have.
struct Seat<'a> {
    tenant: &'a str,
    courier: &'a str,
    epoch: u64,
    asks: u32,
    /// What it may use now, and what counts for it.
    usable: u32,
    granted: u32,
    to: u32,
    short: Short,
}

/// One tenant's seats, which are side by side.
struct Group {
    seats: std::ops::Range<usize>,
    short: Short,
}

impl Site {
    fn look(
        &mut self,
        dest: u64,
        partner: &Partner,
        agreed: &Agreed,
        heard: &BTreeMap<String, Heard>,
        now: Micros,
        commands: &mut Vec<Command>,
    ) {
        if now < self.looked.saturating_add(self.size.saturating_mul(LOOK_EACH)) {
            return;
        }
        let since = if self.looked == 0 { ROUND } else { now.saturating_sub(self.looked) };
        self.looked = now;
        let most = u64::from(MOVES_AT_ONCE) * ONE as u64;
        let more = since.saturating_mul(u64::from(MOVES - MOVES_AT_ONCE));
        self.moves = self.moves.saturating_add(more).min(most);
        let mut seats = seats(dest, partner, agreed, heard, now);
        self.size = seats.len() as u64;
        self.aim(partner, agreed, &mut seats, since, now);
        self.moves(dest, partner, agreed, &seats, commands);
    }

    /// Where each connection should be.
    fn aim(&mut self, partner: &Partner, agreed: &Agreed, seats: &mut [Seat], since: Micros, now: Micros) {
        let turn = now >= self.turned.saturating_add(TURN);
        if turn {
            self.turned = now;
        }
        // What can't be moved: floors that are not used up by grants, older lives, lapsed couriers.
        let mut floors: BTreeMap<&str, u64> = BTreeMap::new();
        let mut fixed: u64 = 0;
        for courier in partner.couriers() {
            let member = agreed.member(courier);
            match member {
                Some(m) if !m.lapsed && m.aged => {
                    floors.insert(courier, u64::from(partner.floor_to_be(courier)));
                }
                Some(m) if !m.lapsed => {
                    fixed += partner.beside(courier, member).max(u64::from(partner.floor_to_be(courier)));
                }
                Some(m) => {
                    let now: u64 = partner.held(courier, m.epoch).map(|(_, h)| u64::from(h.granted)).sum();
                    let all = partner.beside(courier, member) + now;
                    fixed += all.max(u64::from(partner.floor_to_be(courier)));
                }
                None => fixed += u64::from(partner.floor_to_be(courier)),
            }
        }
        let all = u64::from(partner.connections).saturating_sub(fixed);
        let mut pool = u32::try_from(all).unwrap_or(u32::MAX);
        let mut groups = self.groups(seats);
        // A floor that isn't asked for is idle: the pool is what remains beside it.
        loop {
            self.share(pool, partner.connections, seats, &mut groups, now);
            let mut at: BTreeMap<&str, u64> = BTreeMap::new();
            seats.iter().for_each(|s| *at.entry(s.courier).or_default() += u64::from(s.to));
            let beside = floors.iter().map(|(c, f)| f.saturating_sub(at.get(c).copied().unwrap_or(0)));
            let sum: u64 = at.values().sum::<u64>() + beside.sum::<u64>();
            let over = u32::try_from(sum.saturating_sub(all)).unwrap_or(u32::MAX);
            if over == 0 || pool == 0 {
                break;
            }
            pool = pool.saturating_sub(over);
        }
        for (courier, floor) in floors {
            let mut here: Vec<&mut Seat> = seats.iter_mut().filter(|s| s.courier == courier).collect();
            let used: u32 = here.iter().map(|s| s.to).sum();
            let rest = u32::try_from(floor).unwrap_or(u32::MAX).saturating_sub(used);
            let claims = here.iter().map(|s| {
                let (weight, _, ceiling) = self.terms(s.tenant);
                Claim {
                    name: s.tenant,
                    weight,
                    floor: 0,
                    ceiling: ceiling.unwrap_or(u32::MAX).saturating_sub(s.to),
                    asks: s.asks.saturating_sub(s.to),
                    held: 0,
                    credit: 0,
                    overdue: 0,
                }
            });
            let parts = divide(rest, &claims.collect::<Vec<_>>());
            here.iter_mut().zip(parts).for_each(|(s, p)| s.to += p.whole);
        }
        self.turns(seats, &groups, since, now, turn);
    }

    fn terms(&self, tenant: &str) -> (u64, u32, Option<u32>) {
        self.tenants.get(tenant).copied().unwrap_or((ONE as u64, 0, None))
    }

    /// The division over tenants, and inside each over its couriers.
    fn share(&self, pool: u32, connections: u32, seats: &mut [Seat], groups: &mut [Group], now: Micros) {
        let tenants = groups.iter().map(|group| {
            let here = &seats[group.seats.clone()];
            let tenant = here.first().map_or("", |s| s.tenant);
            let (weight, floor, ceiling) = self.terms(tenant);
            let sum = |of: fn(&Seat) -> u32| here.iter().map(of).fold(0, u32::saturating_add);
            let (credit, overdue) = group.short.counts(now);
            let (asks, held) = (sum(|s| s.asks), sum(|s| s.usable));
            let ceiling = ceiling.unwrap_or(connections);
            Claim { name: tenant, weight, floor, ceiling, asks, held, credit, overdue }
        });
        let parts = divide(pool, &tenants.collect::<Vec<_>>());
        for (group, part) in groups.iter_mut().zip(parts) {
            group.short.fair = part.fair;
            let here = &mut seats[group.seats.clone()];
            let couriers = here.iter().map(|seat| {
                let (credit, overdue) = seat.short.counts(now);
                let (name, asks, held) = (seat.courier, seat.asks, seat.usable);
                Claim { name, weight: 1, floor: 0, ceiling: asks, asks, held, credit, overdue }
            });
            let inner = divide(part.whole, &couriers.collect::<Vec<_>>());
            for (seat, inner) in here.iter_mut().zip(inner) {
                (seat.to, seat.short.fair) = (inner.whole, inner.fair);
            }
        }
    }

    /// What seats and tenants were short of until now.
    fn groups(&self, seats: &mut [Seat]) -> Vec<Group> {
        let mut groups = Vec::new();
        let mut from = 0;
        for here in seats.chunk_by_mut(|a, b| a.tenant == b.tenant) {
            let known = here.first().and_then(|s| self.short.get(s.tenant));
            for seat in here.iter_mut() {
                seat.short = known.and_then(|k| k.1.get(seat.courier)).copied().unwrap_or_default();
            }
            let short = known.map(|k| k.0).unwrap_or_default();
            groups.push(Group { seats: from..from + here.len(), short });
            from += here.len();
        }
        groups
    }

    /// Credit grows by what is fair, and falls by what is held.
    fn turns(&mut self, seats: &[Seat], groups: &[Group], since: Micros, now: Micros, turn: bool) {
        for group in groups {
            let here = seats[group.seats.clone()].iter().filter(|s| s.asks > 0);
            let held = here.clone().map(|s| s.granted).fold(0, u32::saturating_add);
            let Some(first) = here.clone().next() else { continue };
            if !self.short.contains_key(first.tenant) {
                self.short.insert(first.tenant.to_string(), Default::default());
            }
            let Some((all, couriers)) = self.short.get_mut(first.tenant) else { continue };
            *all = group.short.after(held, since, now, turn);
            for seat in here {
                let next = seat.short.after(seat.granted, since, now, turn);
                match couriers.get_mut(seat.courier) {
                    Some(short) => *short = next,
                    None => drop(couriers.insert(seat.courier.to_string(), next)),
                }
            }
            couriers.retain(|_, s| s.seen == now);
        }
        // Who asks for nothing gathers nothing.
        self.short.retain(|_, (s, _)| s.seen == now);
    }

    /// Moves what has to be, as far as others need it and the limit of moves lets it.
    fn moves(
        &mut self,
        dest: u64,
        partner: &Partner,
        agreed: &Agreed,
        seats: &[Seat],
        commands: &mut Vec<Command>,
    ) {
        let committed = agreed.committed(dest);
        let connections = u64::from(partner.connections);
        let set = |s: &Seat, to: u32| Command::Set {
            dest,
            tenant: s.tenant.to_string(),
            courier: s.courier.to_string(),
            epoch: s.epoch,
            to,
        };
        // What grants cost at each courier: nothing beyond its floor, where earlier lives have no part in
        // that.
        let floor = |courier: &str| match agreed.member(courier) {
            Some(m) if m.aged => u64::from(partner.floor_to_be(courier)),
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
        raises.truncate((self.moves / ONE as u64) as usize);
        let mut wanted = usable.clone();
        for seat in &raises {
            *wanted.entry(seat.courier).or_default() += u64::from(seat.to - seat.usable);
        }
        let cost = |of: &BTreeMap<&str, u64>| of.iter().map(|(c, n)| (*n).max(floors[c])).sum::<u64>();
        let raised = |c: &&str| u64::from(partner.floor_to_be(c) - partner.floor(c));
        let fixed =
            (committed + partner.couriers().iter().map(raised).sum::<u64>()).saturating_sub(cost(&granted));
        let mut need = (fixed + cost(&wanted)).saturating_sub(connections);
        // A lowered budget waits for nothing.
        let mut forced = (fixed + cost(&usable)).saturating_sub(connections);
        let mut surplus: Vec<&Seat> = seats.iter().filter(|s| s.to < s.usable).collect();
        // First what its holder has no use for, and the largest.
        surplus
            .sort_by_key(|s| (s.asks >= s.usable, std::cmp::Reverse(s.usable - s.to), s.tenant, s.courier));
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
        let mut room = connections.saturating_sub(committed);
        for seat in raises {
            // A recall that is no longer wanted is taken back, at no cost; so is what is below the courier's
            // floor.
            let Some(here) = granted.get_mut(seat.courier) else { continue };
            let more = u64::from(seat.to.saturating_sub(seat.granted));
            let free = floors[seat.courier].saturating_sub(*here);
            let take = more.min(room + free);
            if (more > 0 && take == 0) || !self.may_move() {
                continue;
            }
            room -= take.saturating_sub(free);
            *here += take;
            commands.push(set(seat, seat.to.min(seat.granted.saturating_add(take as u32))));
        }
    }

    fn may_move(&mut self) -> bool {
        let may = self.moves >= ONE as u64;
        if may {
            self.moves -= ONE as u64;
        }
        may
    }
}

/// All that live couriers ask for or hold, in the order of tenants and couriers.
fn seats<'a>(
    dest: u64,
    partner: &'a Partner,
    agreed: &'a Agreed,
    heard: &'a BTreeMap<String, Heard>,
    now: Micros,
) -> Vec<Seat<'a>> {
    let mut seats: BTreeMap<(&str, &str), Seat> = BTreeMap::new();
    for (courier, member) in agreed.members().iter().filter(|(_, m)| !m.lapsed) {
        let heard = heard.get(courier).filter(|h| h.epoch == member.epoch);
        let (epoch, short) = (member.epoch, Short::default());
        let seat = |tenant| Seat { tenant, courier, epoch, asks: 0, usable: 0, granted: 0, to: 0, short };
        for (tenant, holding) in partner.held(courier, member.epoch) {
            let one = seats.entry((tenant, courier)).or_insert_with(|| seat(tenant));
            (one.usable, one.granted) = (holding.usable(), holding.granted);
            if heard.is_none() {
                one.asks = holding.usable();
            }
        }
        for ((_, tenant), asks) in heard.into_iter().flat_map(|h| &h.asks).filter(|((d, _), _)| *d == dest) {
            seats.entry((tenant, courier)).or_insert_with(|| seat(tenant)).asks = asks.at(now);
        }
    }
    seats.into_values().collect()
}

/// The longest that a tenant with so many millionths of a connection as its part goes without one, while
/// `overdue` others are overdue and `by_turns` connections go by turns.
pub fn starvation(terms: &Terms, fair: i64, overdue: u64, by_turns: u64) -> Micros {
    let own = (2 * ONE as u64).div_ceil(fair.clamp(1, ONE) as u64);
    let others = overdue.div_ceil(by_turns.max(1));
    let step = 2 * (super::holder::REPORT + ROUND) + terms.attrition();
    let moves = overdue.saturating_mul(1_000_000) / u64::from(MOVES);
    (own + others).saturating_mul(TURN + step).saturating_add(moves)
}
