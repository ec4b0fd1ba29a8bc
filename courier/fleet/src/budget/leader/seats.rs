//! Seats: what each tenant has, demands and is to have at each courier.

use super::demand::CourierReport;
use super::review::Review;
use super::shortfall::Shortfall;
use std::collections::BTreeMap;
use std::ops::Range;

/// What one tenant has at one courier, and is to have.
pub(super) struct Seat<'a> {
    pub(super) tenant: &'a str,
    pub(super) courier: &'a str,
    pub(super) epoch: u64,
    pub(super) demand: u32,
    /// Connections that it may use now.
    pub(super) usable: u32,
    /// Connections that count for it now.
    pub(super) granted: u32,
    /// Connections that it is to have.
    pub(super) target: u32,
    pub(super) shortfall: Shortfall,
}

/// One tenant's seats, which are adjacent.
pub(super) struct Group {
    pub(super) seats: Range<usize>,
    pub(super) shortfall: Shortfall,
}

/// All seats with a demand or a share at couriers that have not lapsed, in the order of tenants and couriers.
pub(super) fn collect_seats<'a>(
    review: &Review<'a>,
    reports: &'a BTreeMap<String, CourierReport>,
) -> Vec<Seat<'a>> {
    let mut seats: BTreeMap<(&str, &str), Seat> = BTreeMap::new();
    let members = review.budget_state.members().iter().filter(|(_, member)| !member.lapsed);
    for (courier, member) in members {
        let report = reports.get(courier).filter(|report| report.epoch == member.epoch);
        let (epoch, shortfall) = (member.epoch, Shortfall::default());
        let new =
            |tenant| Seat { tenant, courier, epoch, demand: 0, usable: 0, granted: 0, target: 0, shortfall };
        for (tenant, share) in review.partner.shares(courier, member.epoch) {
            let seat = seats.entry((tenant, courier)).or_insert_with(|| new(tenant));
            (seat.usable, seat.granted) = (share.usable(), share.granted);
            if report.is_none() {
                seat.demand = share.usable();
            }
        }
        for ((dest, tenant), demand) in report.into_iter().flat_map(|report| &report.demand) {
            if *dest == review.dest {
                seats.entry((tenant, courier)).or_insert_with(|| new(tenant)).demand =
                    demand.value_at(review.now);
            }
        }
    }
    seats.into_values().collect()
}
