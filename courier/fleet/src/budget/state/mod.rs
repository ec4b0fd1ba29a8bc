//! The replicated state of budgets: the connections that each courier may have open at each partner, and the recalls.
//!
//! `command` has the commands and their events, `partner` the budget of one partner. The encoding of the state depends
//! on the order of its fields.

mod command;
mod partner;

pub use command::{BudgetCommand, BudgetEvent, BudgetRejection};
pub use partner::{BudgetMember, PartnerBudget, Share};

use super::breaks::{Break, is_enabled};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The replicated state of all budgets. It is identical at all couriers that have applied the same commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetState {
    members: BTreeMap<String, BudgetMember>,
    partners: BTreeMap<u64, PartnerBudget>,
    /// The number of the last change of a share.
    number: u64,
}

/// Identifies the share that a command changes.
struct ShareKey<'a> {
    dest: u64,
    tenant: &'a str,
    courier: &'a str,
    epoch: u64,
}

impl BudgetState {
    /// Returns the membership of a courier that joined and was not removed.
    pub fn member(&self, courier: &str) -> Option<&BudgetMember> {
        self.members.get(courier)
    }

    /// All couriers that joined and were not removed, keyed by name.
    pub fn members(&self) -> &BTreeMap<String, BudgetMember> {
        &self.members
    }

    /// Returns the budget of the partner with the destination id `dest`.
    pub fn partner(&self, dest: u64) -> Option<&PartnerBudget> {
        self.partners.get(&dest)
    }

    /// All budgets, sorted by the partners' destination ids.
    pub fn partners(&self) -> impl Iterator<Item = (u64, &PartnerBudget)> {
        self.partners.iter().map(|(dest, partner)| (*dest, partner))
    }

    /// The highest number of connections that the whole fleet may have open at a partner; 0 if it has no budget.
    pub fn committed(&self, dest: u64) -> u64 {
        self.partners.get(&dest).map_or(0, |partner| partner.committed(&self.members))
    }

    /// Applies one committed command, with the same result at every courier.
    pub fn apply(&mut self, command: &BudgetCommand) -> Vec<BudgetEvent> {
        let mut events = Vec::new();
        if let Err(reason) = self.try_apply(command, &mut events) {
            events.push(BudgetEvent::Rejected { reason });
        }
        // A command that may have freed capacity may let raised floors take effect.
        if !matches!(command, BudgetCommand::Set { .. }) {
            let raised = self.partners.values_mut().filter(|partner| !partner.raised.is_empty());
            raised.for_each(|partner| partner.raise_floors(&self.members));
        }
        events
    }

    fn try_apply(
        &mut self,
        command: &BudgetCommand,
        events: &mut Vec<BudgetEvent>,
    ) -> Result<(), BudgetRejection> {
        match command {
            BudgetCommand::Budget { dest, connections, floor, couriers } => {
                self.set_budget(*dest, *connections, *floor, couriers)?;
                events.push(BudgetEvent::Budget { dest: *dest, connections: *connections });
            }
            BudgetCommand::Joined { courier, epoch } => {
                self.join(courier, *epoch)?;
                events.push(BudgetEvent::Joined { courier: courier.clone(), epoch: *epoch });
            }
            BudgetCommand::Lapsed { courier, epoch } => {
                self.member_in_epoch(courier, *epoch)?.lapsed = true;
                if is_enabled(Break::LapseFreesAtOnce) {
                    self.free(courier, epoch.saturating_add(1), events);
                }
                events.push(BudgetEvent::Lapsed { courier: courier.clone(), epoch: *epoch });
            }
            BudgetCommand::Expired { courier, epoch } => {
                // A courier that has joined again in the meantime loses its earlier shares and retains the current
                // ones.
                let member = self.members.get(courier).ok_or(BudgetRejection::Epoch)?;
                if *epoch > member.epoch || (*epoch == member.epoch && !member.lapsed) {
                    return Err(BudgetRejection::Epoch);
                }
                self.free(courier, epoch.saturating_add(1), events);
            }
            BudgetCommand::Aged { courier, epoch } => {
                self.member_in_epoch(courier, *epoch)?.aged = true;
                self.free(courier, *epoch, events);
            }
            BudgetCommand::Left { courier, epoch } => {
                let member = self.member_in_epoch(courier, *epoch)?;
                if !member.aged {
                    return Err(BudgetRejection::Epoch);
                }
                (member.lapsed, member.left) = (true, true);
                self.free(courier, epoch.saturating_add(1), events);
                events.push(BudgetEvent::Lapsed { courier: courier.clone(), epoch: *epoch });
            }
            BudgetCommand::Ended { dest } => {
                self.partners.remove(dest).ok_or(BudgetRejection::NoBudget { dest: *dest })?;
            }
            BudgetCommand::Removed { courier } => self.remove(courier, events)?,
            BudgetCommand::Set { dest, tenant, courier, epoch, to } => {
                let key = ShareKey { dest: *dest, tenant, courier, epoch: *epoch };
                events.extend(self.set_share(key, *to)?);
            }
            BudgetCommand::Released { dest, tenant, courier, epoch, number, to } => {
                let key = ShareKey { dest: *dest, tenant, courier, epoch: *epoch };
                let freed = self.release_share(key, *number, *to)?;
                push_freed(events, *dest, courier, freed.into());
            }
        }
        Ok(())
    }

    fn member_in_epoch(&mut self, courier: &str, epoch: u64) -> Result<&mut BudgetMember, BudgetRejection> {
        let member = self.members.get_mut(courier).filter(|member| member.epoch == epoch);
        member.ok_or(BudgetRejection::Epoch)
    }

    fn join(&mut self, courier: &str, epoch: u64) -> Result<(), BudgetRejection> {
        let old = self.members.get(courier);
        if old.is_some_and(|member| epoch <= member.epoch) {
            return Err(BudgetRejection::Epoch);
        }
        let aged = old.is_some_and(|member| member.left);
        self.members.insert(courier.to_string(), BudgetMember { epoch, lapsed: false, aged, left: false });
        Ok(())
    }

    fn remove(&mut self, courier: &str, events: &mut Vec<BudgetEvent>) -> Result<(), BudgetRejection> {
        let has_shares = self.partners.values().any(|partner| partner.shares.contains_key(courier));
        if has_shares || self.members.get(courier).is_some_and(|member| !member.lapsed) {
            return Err(BudgetRejection::StillActive);
        }
        for (dest, partner) in &mut self.partners {
            partner.raised.remove(courier);
            let floor = partner.floors.remove(courier).unwrap_or(0);
            push_freed(events, *dest, courier, floor.into());
        }
        Ok(())
    }

    fn set_budget(
        &mut self,
        dest: u64,
        connections: u32,
        floor: u32,
        couriers: &[String],
    ) -> Result<(), BudgetRejection> {
        let old = self.partners.get(&dest);
        let mut floors: BTreeMap<&String, u32> =
            old.into_iter().flat_map(|partner| &partner.floors).map(|(c, n)| (c, *n)).collect();
        for courier in couriers {
            let courier_floor = floors.entry(courier).or_insert(0);
            *courier_floor = floor.max(*courier_floor);
        }
        let sum: u64 = floors.values().map(|floor| u64::from(*floor)).sum();
        if sum > u64::from(connections) {
            return Err(BudgetRejection::Floors { dest, floors: sum, connections });
        }
        let raised = couriers.iter().filter(|c| old.is_none_or(|partner| partner.floor(c) < floor));
        let raised: BTreeMap<String, u32> = raised.map(|courier| (courier.clone(), floor)).collect();
        let partner = self.partners.entry(dest).or_default();
        partner.connections = connections;
        partner.raised = raised;
        Ok(())
    }

    fn set_share(&mut self, key: ShareKey, to: u32) -> Result<Option<BudgetEvent>, BudgetRejection> {
        let ShareKey { dest, tenant, courier, epoch } = key;
        let member = self.members.get(courier).filter(|member| member.epoch == epoch && !member.lapsed);
        let member = member.ok_or(BudgetRejection::Epoch)?;
        let partner = self.partners.get_mut(&dest).ok_or(BudgetRejection::NoBudget { dest })?;
        let old = partner.share(courier, epoch, tenant);
        let mut new = old.with_target(to, || partner.capacity_for(courier, member, &self.members));
        if new == old {
            // Either the share already has the target, or there is no capacity to raise it.
            return if to > old.granted { Err(BudgetRejection::NoCapacity { dest }) } else { Ok(None) };
        }
        self.number += 1;
        new.number = self.number;
        if is_enabled(Break::RecallUnconfirmed)
            && let Some(to) = new.recalled.take()
        {
            new.granted = to;
        }
        let shares = partner.shares.entry(courier.to_string()).or_default().entry(epoch).or_default();
        shares.insert(tenant.to_string(), new);
        let (tenant, courier) = (tenant.to_string(), courier.to_string());
        Ok(Some(match new.recalled {
            Some(to) => BudgetEvent::Recalled { dest, tenant, courier, to, number: new.number },
            None => BudgetEvent::Granted { dest, tenant, courier, to: new.granted },
        }))
    }

    /// Lowers a share to the number confirmed under the recall's number; returns the freed connections.
    fn release_share(&mut self, key: ShareKey, number: u64, to: u32) -> Result<u32, BudgetRejection> {
        let ShareKey { dest, tenant, courier, epoch } = key;
        let partner = self.partners.get_mut(&dest).ok_or(BudgetRejection::NoBudget { dest })?;
        let shares = partner.shares.get_mut(courier).and_then(|by_epoch| by_epoch.get_mut(&epoch));
        let shares = shares.ok_or(BudgetRejection::Epoch)?;
        let share = shares.get_mut(tenant).ok_or(BudgetRejection::Number)?;
        let to = to.max(share.recalled.ok_or(BudgetRejection::Number)?);
        if share.number != number && !is_enabled(Break::NumberIgnored) {
            return Err(BudgetRejection::Number);
        }
        let freed = share.granted.saturating_sub(to);
        share.granted -= freed;
        if share.recalled == Some(share.granted) {
            share.recalled = None;
        }
        shares.retain(|_, share| share.granted > 0);
        partner.prune();
        Ok(freed)
    }

    /// Ends all shares of a courier under epochs before `before`.
    fn free(&mut self, courier: &str, before: u64, events: &mut Vec<BudgetEvent>) {
        for (dest, partner) in &mut self.partners {
            let freed = partner.free(courier, before);
            push_freed(events, *dest, courier, freed);
        }
    }
}

fn push_freed(events: &mut Vec<BudgetEvent>, dest: u64, courier: &str, freed: u64) {
    if freed > 0 {
        let connections = u32::try_from(freed).unwrap_or(u32::MAX);
        events.push(BudgetEvent::Freed { dest, courier: courier.to_string(), connections });
    }
}
