//! Assignments: the demand, share and target of each tenant at each courier.

use super::demand::CourierReport;
use super::review::Review;
use super::shortfall::Shortfall;
use std::collections::BTreeMap;
use std::ops::Range;

/// The demand, share and target of one tenant at one courier.
pub(super) struct Assignment<'a> {
    pub(super) tenant: &'a str,
    pub(super) courier: &'a str,
    pub(super) epoch: u64,
    pub(super) demand: u32,
    /// Connections that the courier may use for the tenant now.
    pub(super) usable: u32,
    /// Connections that count against the budget now, including those that are being recalled.
    pub(super) granted: u32,
    /// Connections that the division gives to the tenant at this courier.
    pub(super) target: u32,
    pub(super) shortfall: Shortfall,
}

/// The range of one tenant's assignments, which are adjacent.
pub(super) struct TenantGroup {
    pub(super) assignments: Range<usize>,
    pub(super) shortfall: Shortfall,
}

/// Collects all assignments with a demand or a share at couriers whose lease has not lapsed, sorted by tenant and
/// courier.
pub(super) fn collect_assignments<'a>(
    review: &Review<'a>,
    reports: &'a BTreeMap<String, CourierReport>,
) -> Vec<Assignment<'a>> {
    let mut assignments: BTreeMap<(&str, &str), Assignment> = BTreeMap::new();
    let members = review.budget_state.members().iter().filter(|(_, member)| !member.lapsed);
    for (courier, member) in members {
        let report = reports.get(courier).filter(|report| report.epoch == member.epoch);
        let (epoch, shortfall) = (member.epoch, Shortfall::default());
        let empty = |tenant| Assignment {
            tenant,
            courier,
            epoch,
            demand: 0,
            usable: 0,
            granted: 0,
            target: 0,
            shortfall,
        };
        for (tenant, share) in review.partner.shares(courier, member.epoch) {
            let assignment = assignments.entry((tenant, courier)).or_insert_with(|| empty(tenant));
            (assignment.usable, assignment.granted) = (share.usable(), share.granted);
            if report.is_none() {
                assignment.demand = share.usable();
            }
        }
        for ((dest, tenant), demand) in report.into_iter().flat_map(|report| &report.demand) {
            if *dest == review.dest {
                assignments.entry((tenant, courier)).or_insert_with(|| empty(tenant)).demand =
                    demand.value_at(review.now);
            }
        }
    }
    assignments.into_values().collect()
}
