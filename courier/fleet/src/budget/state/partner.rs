//! The replicated state of one partner's budget: the couriers' floors and shares, and the connections that they count.

use crate::budget::breaks::{Break, is_enabled};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The share of one courier for one tenant under one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// The highest number of connections that may be open. This number counts against the budget.
    pub granted: u32,
    /// The target of a recall that the courier has not fully confirmed yet.
    pub recalled: Option<u32>,
    /// The number of the last change, which a confirmation has to name. Numbers are unique.
    pub number: u64,
}

impl Share {
    /// The number of connections that the courier may use for new calls.
    pub fn usable(&self) -> u32 {
        self.recalled.unwrap_or(self.granted)
    }

    /// Returns the share with a new target: raised by at most the free capacity, or recalled.
    pub(super) fn with_target(self, to: u32, capacity: impl FnOnce() -> u64) -> Share {
        if to <= self.granted {
            let recalled = (to < self.granted).then_some(to);
            return Share { recalled, ..self };
        }
        let increase = to - self.granted;
        let available = u64::from(increase).min(capacity()) as u32;
        let raise = if is_enabled(Break::CapacityIgnored) { increase } else { available };
        Share { granted: self.granted + raise, recalled: None, ..self }
    }
}

/// A courier's membership in the fleet, as far as it affects budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetMember {
    /// The courier's latest epoch.
    pub epoch: u64,
    /// Whether the lease has lapsed since the courier last joined.
    pub lapsed: bool,
    /// Whether connections of all earlier epochs are closed.
    pub aged: bool,
    /// Whether the courier has stopped as planned, with no connections open.
    pub left: bool,
}

/// The shares of one courier under one epoch, keyed by tenant.
type TenantShares = BTreeMap<String, Share>;

/// The replicated state of one partner's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartnerBudget {
    /// The highest number of concurrent connections of the whole fleet.
    pub connections: u32,
    /// Keyed by courier. Floors always count against the budget.
    pub(super) floors: BTreeMap<String, u32>,
    /// Raised floors for which there is no capacity yet, keyed by courier.
    pub(super) raised: BTreeMap<String, u32>,
    /// Keyed by courier and epoch.
    pub(super) shares: BTreeMap<String, BTreeMap<u64, TenantShares>>,
}

fn granted(shares: &TenantShares) -> u64 {
    shares.values().map(|share| u64::from(share.granted)).sum()
}

impl PartnerBudget {
    /// The highest number of connections that the courier may have open in all its epochs together.
    ///
    /// A process uses its floor only after all connections of earlier processes are closed, so at most one process at
    /// a time has more connections open than were granted to it.
    fn max_open(&self, courier: &str, member: Option<&BudgetMember>) -> u64 {
        let floor = u64::from(self.floor(courier));
        let Some(member) = member else { return floor };
        let current = self.granted(courier, member.epoch);
        if member.aged {
            return floor.max(current);
        }
        let by_epoch = self.shares.get(courier);
        let earlier: u64 = by_epoch
            .into_iter()
            .flat_map(|by_epoch| by_epoch.range(..member.epoch))
            .map(|(_, shares)| granted(shares))
            .sum();
        floor.max(earlier) + current
    }

    /// The sum of the connections that may be open at all couriers. It is at most [`PartnerBudget::connections`], or
    /// the earlier sum while a lowered budget isn't met yet.
    pub fn committed(&self, members: &BTreeMap<String, BudgetMember>) -> u64 {
        let mut couriers: BTreeSet<&String> = self.floors.keys().collect();
        couriers.extend(self.shares.keys());
        couriers.into_iter().map(|courier| self.max_open(courier, members.get(courier))).sum()
    }

    /// The courier's floor that is in effect, in connections; 0 if it has none.
    pub fn floor(&self, courier: &str) -> u32 {
        self.floors.get(courier).copied().unwrap_or(0)
    }

    /// The courier's floor once there is capacity for a raised one.
    pub fn target_floor(&self, courier: &str) -> u32 {
        self.floor(courier).max(self.raised.get(courier).copied().unwrap_or(0))
    }

    /// The couriers that have a floor or a share.
    pub fn couriers(&self) -> BTreeSet<&str> {
        self.floors.keys().chain(self.raised.keys()).chain(self.shares.keys()).map(String::as_str).collect()
    }

    /// A courier's shares under an epoch, sorted by tenant.
    pub fn shares(&self, courier: &str, epoch: u64) -> impl Iterator<Item = (&str, &Share)> {
        let shares = self.shares.get(courier).and_then(|by_epoch| by_epoch.get(&epoch));
        shares.into_iter().flatten().map(|(tenant, share)| (tenant.as_str(), share))
    }

    /// A courier's share for a tenant under an epoch; empty if there is none.
    pub fn share(&self, courier: &str, epoch: u64, tenant: &str) -> Share {
        let shares = self.shares.get(courier).and_then(|by_epoch| by_epoch.get(&epoch));
        shares.and_then(|shares| shares.get(tenant)).copied().unwrap_or_default()
    }

    /// The sum of the connections granted to a courier under an epoch.
    pub fn granted(&self, courier: &str, epoch: u64) -> u64 {
        self.shares(courier, epoch).map(|(_, share)| u64::from(share.granted)).sum()
    }

    /// The connections that count for a courier beyond its shares under its current epoch: floors and earlier epochs.
    pub fn counted_beyond_shares(&self, courier: &str, member: Option<&BudgetMember>) -> u64 {
        let Some(member) = member else { return u64::from(self.floor(courier)) };
        self.max_open(courier, Some(member)) - self.granted(courier, member.epoch)
    }

    /// The connections by which a share of the member may be raised: the free part of the budget, and the part of the
    /// courier's own floor that no share uses.
    pub(super) fn capacity_for(
        &self,
        courier: &str,
        member: &BudgetMember,
        members: &BTreeMap<String, BudgetMember>,
    ) -> u64 {
        let free = u64::from(self.connections).saturating_sub(self.committed(members));
        if !member.aged {
            return free;
        }
        free + u64::from(self.floor(courier)).saturating_sub(self.granted(courier, member.epoch))
    }

    /// Ends the shares of a courier under epochs before `before`; returns the connections granted to them.
    pub(super) fn free(&mut self, courier: &str, before: u64) -> u64 {
        let Some(by_epoch) = self.shares.get_mut(courier) else { return 0 };
        let retained = by_epoch.split_off(&before);
        let freed = std::mem::replace(by_epoch, retained).values().map(granted).sum();
        self.prune();
        freed
    }

    /// Removes couriers and epochs without shares.
    pub(super) fn prune(&mut self) {
        for by_epoch in self.shares.values_mut() {
            by_epoch.retain(|_, shares| !shares.is_empty());
        }
        self.shares.retain(|_, by_epoch| !by_epoch.is_empty());
    }

    /// Puts raised floors into effect for which there is capacity, in the order of courier names.
    pub(super) fn raise_floors(&mut self, members: &BTreeMap<String, BudgetMember>) {
        for (courier, floor) in std::mem::take(&mut self.raised) {
            let old = self.floors.insert(courier.clone(), floor);
            if self.committed(members) > u64::from(self.connections) {
                match old {
                    Some(old) => self.floors.insert(courier.clone(), old),
                    None => self.floors.remove(&courier),
                };
                self.raised.insert(courier, floor);
            }
        }
    }
}
