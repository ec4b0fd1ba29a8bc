//! One partner's part of the agreed state: its budget, the couriers' floors and shares, and what these count together.

use crate::budget::breaks::{Break, is_enabled};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The share of one courier for one tenant under one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// Connections that may be open at most: this counts.
    pub granted: u32,
    /// The share is to be lowered to this.
    pub recalled: Option<u32>,
    /// The number of the last change; a confirmation names it. No number is used twice.
    pub number: u64,
}

impl Share {
    /// The connections up to which the courier may begin calls.
    pub fn usable(&self) -> u32 {
        self.recalled.unwrap_or(self.granted)
    }

    /// The share with a new target: raised by the capacity at most, or recalled.
    pub(super) fn with_target(self, to: u32, capacity: impl FnOnce() -> u64) -> Share {
        if to <= self.granted {
            let recalled = (to < self.granted).then_some(to);
            return Share { recalled, ..self };
        }
        let wanted = to - self.granted;
        let more = u64::from(wanted).min(capacity()) as u32;
        let raise = if is_enabled(Break::CapacityIgnored) { wanted } else { more };
        Share { granted: self.granted + raise, recalled: None, ..self }
    }
}

/// A courier's membership as the budgets count it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetMember {
    /// Its last epoch.
    pub epoch: u64,
    /// Its lease has lapsed, and it has not joined again.
    pub lapsed: bool,
    /// Nothing is open of epochs before this one.
    pub aged: bool,
    /// It has stopped as planned, with nothing open.
    pub left: bool,
}

/// The shares of one courier under one epoch, by tenant.
type TenantShares = BTreeMap<String, Share>;

/// The agreed state of one partner's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartnerBudget {
    /// Connections of the whole fleet at once, at most.
    pub connections: u32,
    /// By courier: these count always.
    pub(super) floors: BTreeMap<String, u32>,
    /// Floors that were raised, and for which there is no capacity yet.
    pub(super) raised: BTreeMap<String, u32>,
    /// By courier and epoch.
    pub(super) shares: BTreeMap<String, BTreeMap<u64, TenantShares>>,
}

fn granted(shares: &TenantShares) -> u64 {
    shares.values().map(|share| u64::from(share.granted)).sum()
}

impl PartnerBudget {
    /// The most that the courier may have open, in all its epochs together.
    ///
    /// A process uses its floor only when nothing of earlier ones is open any more, so at most one of them at a time has
    /// more than it was granted.
    fn max_open(&self, courier: &str, member: Option<&BudgetMember>) -> u64 {
        let floor = u64::from(self.floor(courier));
        let Some(member) = member else { return floor };
        let present = self.granted(courier, member.epoch);
        if member.aged {
            return floor.max(present);
        }
        let by_epoch = self.shares.get(courier);
        let earlier: u64 = by_epoch
            .into_iter()
            .flat_map(|by_epoch| by_epoch.range(..member.epoch))
            .map(|(_, shares)| granted(shares))
            .sum();
        floor.max(earlier) + present
    }

    /// The sum of all that may be open: at most [`PartnerBudget::connections`], or what it was when that was lowered.
    pub fn committed(&self, members: &BTreeMap<String, BudgetMember>) -> u64 {
        let mut couriers: BTreeSet<&String> = self.floors.keys().collect();
        couriers.extend(self.shares.keys());
        couriers.into_iter().map(|courier| self.max_open(courier, members.get(courier))).sum()
    }

    /// The courier's floor.
    pub fn floor(&self, courier: &str) -> u32 {
        self.floors.get(courier).copied().unwrap_or(0)
    }

    /// The courier's floor as it will be once there is capacity for it.
    pub fn target_floor(&self, courier: &str) -> u32 {
        self.floor(courier).max(self.raised.get(courier).copied().unwrap_or(0))
    }

    /// The couriers that have a floor or a share.
    pub fn couriers(&self) -> BTreeSet<&str> {
        self.floors.keys().chain(self.raised.keys()).chain(self.shares.keys()).map(String::as_str).collect()
    }

    /// A courier's shares under an epoch, by tenant.
    pub fn shares(&self, courier: &str, epoch: u64) -> impl Iterator<Item = (&str, &Share)> {
        let shares = self.shares.get(courier).and_then(|by_epoch| by_epoch.get(&epoch));
        shares.into_iter().flatten().map(|(tenant, share)| (tenant.as_str(), share))
    }

    /// A courier's share for a tenant under an epoch.
    pub fn share(&self, courier: &str, epoch: u64, tenant: &str) -> Share {
        let shares = self.shares.get(courier).and_then(|by_epoch| by_epoch.get(&epoch));
        shares.and_then(|shares| shares.get(tenant)).copied().unwrap_or_default()
    }

    /// The connections that a courier's shares under an epoch count together.
    pub fn granted(&self, courier: &str, epoch: u64) -> u64 {
        self.shares(courier, epoch).map(|(_, share)| u64::from(share.granted)).sum()
    }

    /// What counts for a courier beside its shares under its present epoch.
    pub fn counted_besides(&self, courier: &str, member: Option<&BudgetMember>) -> u64 {
        let Some(member) = member else { return u64::from(self.floor(courier)) };
        self.max_open(courier, Some(member)) - self.granted(courier, member.epoch)
    }

    /// The connections by which a share of the member may be raised: what nobody counts, and what of the courier's own
    /// floor no share uses.
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

    /// Ends the shares of a courier under epochs before this one; returns the connections that they counted.
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

    /// Lets the raised floors count for which there is capacity, in the order of names.
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
