//! Moves: commands that bring the shares closer to their targets. Shares are lowered only if others need the
//! connections, and the rate of changes is limited.

use super::allocation::PartnerAllocation;
use super::assignments::Assignment;
use super::review::Review;
use crate::budget::state::BudgetCommand;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The sums over the shares of each courier.
struct CourierSums<'a> {
    /// The part of the courier's floor that its grants use first; 0 while earlier epochs may use the floor.
    floors: BTreeMap<&'a str, u64>,
    usable: BTreeMap<&'a str, u64>,
    granted: BTreeMap<&'a str, u64>,
}

impl<'a> CourierSums<'a> {
    fn new(review: &Review, assignments: &[Assignment<'a>]) -> CourierSums<'a> {
        let floor = |courier: &str| match review.budget_state.member(courier) {
            Some(member) if member.aged => u64::from(review.partner.target_floor(courier)),
            _ => 0,
        };
        let mut sums =
            CourierSums { floors: BTreeMap::new(), usable: BTreeMap::new(), granted: BTreeMap::new() };
        for assignment in assignments {
            sums.floors.insert(assignment.courier, floor(assignment.courier));
            *sums.usable.entry(assignment.courier).or_default() += u64::from(assignment.usable);
            *sums.granted.entry(assignment.courier).or_default() += u64::from(assignment.granted);
        }
        sums
    }

    /// The connections that count against the budget if the couriers have `connections`: each counts at least its
    /// floor.
    fn cost(&self, connections: &BTreeMap<&str, u64>) -> u64 {
        connections.iter().map(|(courier, count)| (*count).max(self.floors[courier])).sum()
    }
}

/// The connections that have to be recalled.
struct Recalls<'a> {
    /// Connections that have to be freed for the raises.
    needed: u64,
    /// Connections that exceed a lowered budget; their recall is exempt from the limit of moves.
    forced: u64,
    /// The connections of each courier after all raises and recalls.
    connections: BTreeMap<&'a str, u64>,
}

impl Review<'_> {
    fn set(&self, assignment: &Assignment, to: u32) -> BudgetCommand {
        BudgetCommand::Set {
            dest: self.dest,
            tenant: assignment.tenant.to_string(),
            courier: assignment.courier.to_string(),
            epoch: assignment.epoch,
            to,
        }
    }
}

impl PartnerAllocation {
    /// Proposes recalls, and the raises for which there is capacity.
    pub(super) fn propose_moves(
        &mut self,
        review: &Review,
        assignments: &[Assignment],
        commands: &mut Vec<BudgetCommand>,
    ) {
        let committed = review.budget_state.committed(review.dest);
        let mut sums = CourierSums::new(review, assignments);
        let raises = self.possible_raises(assignments);
        let recalls = self.needed_recalls(review, &sums, &raises, committed);
        self.propose_recalls(review, &sums, assignments, recalls, commands);
        let available = u64::from(review.partner.connections).saturating_sub(committed);
        self.propose_raises(review, &mut sums, &raises, available, commands);
    }

    /// The raises that the limit of moves allows now. Connections are recalled only for these.
    fn possible_raises<'s, 'a>(&self, assignments: &'s [Assignment<'a>]) -> Vec<&'s Assignment<'a>> {
        let mut raises: Vec<&Assignment> =
            assignments.iter().filter(|assignment| assignment.target > assignment.usable).collect();
        raises.sort_by_key(|assignment| (assignment.usable, assignment.tenant, assignment.courier));
        raises.truncate(self.available_moves());
        raises
    }

    fn needed_recalls<'a>(
        &self,
        review: &Review,
        sums: &CourierSums<'a>,
        raises: &[&Assignment<'a>],
        committed: u64,
    ) -> Recalls<'a> {
        let partner = review.partner;
        let mut connections = sums.usable.clone();
        for assignment in raises {
            *connections.entry(assignment.courier).or_default() +=
                u64::from(assignment.target - assignment.usable);
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
        assignments: &[Assignment],
        mut recalls: Recalls,
        commands: &mut Vec<BudgetCommand>,
    ) {
        let mut surplus: Vec<&Assignment> =
            assignments.iter().filter(|assignment| assignment.target < assignment.usable).collect();
        // Shares that their courier doesn't fully use come first, then those with the largest surplus.
        surplus.sort_by_key(|assignment| {
            (
                assignment.demand >= assignment.usable,
                Reverse(assignment.usable - assignment.target),
                assignment.tenant,
                assignment.courier,
            )
        });
        for assignment in surplus {
            let Some(connections) = recalls.connections.get_mut(assignment.courier) else { continue };
            let beyond_floor = connections.saturating_sub(sums.floors[assignment.courier]);
            let reduction =
                u64::from(assignment.usable - assignment.target).min(recalls.needed).min(beyond_floor);
            if reduction == 0 {
                continue;
            }
            if recalls.forced == 0 && !self.use_move() {
                break;
            }
            recalls.forced = recalls.forced.saturating_sub(reduction);
            recalls.needed -= reduction;
            *connections -= reduction;
            commands.push(review.set(assignment, assignment.usable - reduction as u32));
        }
    }

    fn propose_raises(
        &mut self,
        review: &Review,
        sums: &mut CourierSums,
        raises: &[&Assignment],
        mut available: u64,
        commands: &mut Vec<BudgetCommand>,
    ) {
        for assignment in raises {
            // Withdrawing a recall needs no capacity, and neither does a raise within the courier's floor.
            let Some(granted) = sums.granted.get_mut(assignment.courier) else { continue };
            let increase = u64::from(assignment.target.saturating_sub(assignment.granted));
            let unused_floor = sums.floors[assignment.courier].saturating_sub(*granted);
            let raise = increase.min(available + unused_floor);
            if (increase > 0 && raise == 0) || !self.use_move() {
                continue;
            }
            available -= raise.saturating_sub(unused_floor);
            *granted += raise;
            commands.push(
                review
                    .set(assignment, assignment.target.min(assignment.granted.saturating_add(raise as u32))),
            );
        }
    }
}
