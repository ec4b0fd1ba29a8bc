//! Moves: the commands that bring the shares closer to their targets, as far as others need it and the limit of moves
//! allows.

use super::allocation::PartnerAllocation;
use super::review::Review;
use super::seats::Seat;
use crate::budget::state::BudgetCommand;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// What the shares of each courier count together.
struct CourierSums<'a> {
    /// The part of a courier's floor that its grants use up first: none while earlier epochs may use it.
    floors: BTreeMap<&'a str, u64>,
    usable: BTreeMap<&'a str, u64>,
    granted: BTreeMap<&'a str, u64>,
}

impl<'a> CourierSums<'a> {
    fn new(review: &Review, seats: &[Seat<'a>]) -> CourierSums<'a> {
        let floor = |courier: &str| match review.budget_state.member(courier) {
            Some(member) if member.aged => u64::from(review.partner.target_floor(courier)),
            _ => 0,
        };
        let mut sums =
            CourierSums { floors: BTreeMap::new(), usable: BTreeMap::new(), granted: BTreeMap::new() };
        for seat in seats {
            sums.floors.insert(seat.courier, floor(seat.courier));
            *sums.usable.entry(seat.courier).or_default() += u64::from(seat.usable);
            *sums.granted.entry(seat.courier).or_default() += u64::from(seat.granted);
        }
        sums
    }

    /// What these connections of couriers count together: for each no less than its floor.
    fn cost(&self, connections: &BTreeMap<&str, u64>) -> u64 {
        connections.iter().map(|(courier, count)| (*count).max(self.floors[courier])).sum()
    }
}

/// What has to be recalled.
struct Recalls<'a> {
    /// Connections that raises need.
    needed: u64,
    /// Connections beyond a lowered budget: their recall waits for no limit.
    forced: u64,
    /// The connections of each courier once all raises and recalls are met.
    connections: BTreeMap<&'a str, u64>,
}

impl Review<'_> {
    fn set(&self, seat: &Seat, to: u32) -> BudgetCommand {
        BudgetCommand::Set {
            dest: self.dest,
            tenant: seat.tenant.to_string(),
            courier: seat.courier.to_string(),
            epoch: seat.epoch,
            to,
        }
    }
}

impl PartnerAllocation {
    /// Proposes recalls, and the raises that there is capacity for.
    pub(super) fn propose_moves(
        &mut self,
        review: &Review,
        seats: &[Seat],
        commands: &mut Vec<BudgetCommand>,
    ) {
        let committed = review.budget_state.committed(review.dest);
        let mut sums = CourierSums::new(review, seats);
        let raises = self.possible_raises(seats);
        let recalls = self.needed_recalls(review, &sums, &raises, committed);
        self.propose_recalls(review, &sums, seats, recalls, commands);
        let available = u64::from(review.partner.connections).saturating_sub(committed);
        self.propose_raises(review, &mut sums, &raises, available, commands);
    }

    /// The raises that the limit of moves allows soon: connections are recalled only for these.
    fn possible_raises<'s, 'a>(&self, seats: &'s [Seat<'a>]) -> Vec<&'s Seat<'a>> {
        let mut raises: Vec<&Seat> = seats.iter().filter(|seat| seat.target > seat.usable).collect();
        raises.sort_by_key(|seat| (seat.usable, seat.tenant, seat.courier));
        raises.truncate(self.available_moves());
        raises
    }

    fn needed_recalls<'a>(
        &self,
        review: &Review,
        sums: &CourierSums<'a>,
        raises: &[&Seat<'a>],
        committed: u64,
    ) -> Recalls<'a> {
        let partner = review.partner;
        let mut connections = sums.usable.clone();
        for seat in raises {
            *connections.entry(seat.courier).or_default() += u64::from(seat.target - seat.usable);
        }
        let raised_floors = partner
            .couriers()
            .into_iter()
            .map(|courier| u64::from(partner.target_floor(courier) - partner.floor(courier)))
            .sum::<u64>();
        let fixed = (committed + raised_floors).saturating_sub(sums.cost(&sums.granted));
        let excess = |cost: u64| (fixed + cost).saturating_sub(u64::from(partner.connections));
        Recalls {
            needed: excess(sums.cost(&connections)),
            forced: excess(sums.cost(&sums.usable)),
            connections,
        }
    }

    fn propose_recalls(
        &mut self,
        review: &Review,
        sums: &CourierSums,
        seats: &[Seat],
        mut recalls: Recalls,
        commands: &mut Vec<BudgetCommand>,
    ) {
        let mut surplus: Vec<&Seat> = seats.iter().filter(|seat| seat.target < seat.usable).collect();
        // First what its courier does not use, and the largest.
        surplus.sort_by_key(|seat| {
            (seat.demand >= seat.usable, Reverse(seat.usable - seat.target), seat.tenant, seat.courier)
        });
        for seat in surplus {
            let Some(connections) = recalls.connections.get_mut(seat.courier) else { continue };
            let beyond_floor = connections.saturating_sub(sums.floors[seat.courier]);
            let by = u64::from(seat.usable - seat.target).min(recalls.needed).min(beyond_floor);
            if by == 0 {
                continue;
            }
            if recalls.forced == 0 && !self.use_move() {
                break;
            }
            recalls.forced = recalls.forced.saturating_sub(by);
            recalls.needed -= by;
            *connections -= by;
            commands.push(review.set(seat, seat.usable - by as u32));
        }
    }

    fn propose_raises(
        &mut self,
        review: &Review,
        sums: &mut CourierSums,
        raises: &[&Seat],
        mut available: u64,
        commands: &mut Vec<BudgetCommand>,
    ) {
        for seat in raises {
            // To withdraw a recall that is no longer needed costs nothing; nor does what is below the courier's floor.
            let Some(granted) = sums.granted.get_mut(seat.courier) else { continue };
            let wanted = u64::from(seat.target.saturating_sub(seat.granted));
            let free = sums.floors[seat.courier].saturating_sub(*granted);
            let raise = wanted.min(available + free);
            if (wanted > 0 && raise == 0) || !self.use_move() {
                continue;
            }
            available -= raise.saturating_sub(free);
            *granted += raise;
            commands.push(review.set(seat, seat.target.min(seat.granted.saturating_add(raise as u32))));
        }
    }
}
