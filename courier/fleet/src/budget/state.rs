//! The part of the agreed state that budgets have: what each courier may have open, and what it was recalled
//! to.

use super::breaks::{Break, on};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One change. Any of them may come twice, late or not at all; only [`BudgetCommand::Expired`] and
/// [`BudgetCommand::Aged`] have to be true, which time alone can tell: proposed late they are true still.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BudgetCommand {
    /// A partner's budget as the operator has it now; refused if the floors don't fit in. A courier's floor
    /// is never lowered, and a raised one counts as soon as there is room for it.
    Budget { dest: u64, connections: u32, floor: u32, couriers: Vec<String> },
    /// A courier is a member with a new epoch; all that it holds under older ones goes on counting beside.
    Joined { courier: String, epoch: u64 },
    /// A courier's lease is over: nothing more is granted to it under this epoch.
    Lapsed { courier: String, epoch: u64 },
    /// Proposed [`super::TimeBounds::drain_time`] after `Lapsed` was seen: nothing is open any more that was held under
    /// this epoch or older ones, but the floor, which the courier may still use.
    Expired { courier: String, epoch: u64 },
    /// Proposed [`super::TimeBounds::drain_time`] after `Joined` was seen: earlier processes of the courier have nothing
    /// open, not even of the floor. Or sooner by the word of a courier that has gone on as the same process:
    /// all that it has open is within what it holds under this epoch.
    Aged { courier: String, epoch: u64 },
    /// The courier's word that it has nothing open and begins nothing more: a planned stop. The next process
    /// of its name need not wait for its time to be over.
    Left { courier: String, epoch: u64 },
    /// A partner has no budget any more; nobody counts.
    Ended { dest: u64 },
    /// The operator's word that a courier which has lapsed and expired is no more: its floor is free.
    Removed { courier: String },
    /// A courier may hold so many connections for a tenant: more from now on, as far as there is room, or
    /// fewer once it has confirmed that.
    Set { dest: u64, tenant: String, courier: String, epoch: u64, to: u32 },
    /// A courier's word that it has at most `to` of these open and begins none beyond what it was recalled to
    /// under this number.
    Released { dest: u64, tenant: String, courier: String, epoch: u64, number: u64, to: u32 },
}

/// What a command came to, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetEvent {
    Granted {
        dest: u64,
        tenant: String,
        courier: String,
        to: u32,
    },
    Recalled {
        dest: u64,
        tenant: String,
        courier: String,
        to: u32,
        number: u64,
    },
    /// So many connections count no longer.
    Freed {
        dest: u64,
        courier: String,
        connections: u32,
    },
    Budget {
        dest: u64,
        connections: u32,
    },
    Joined {
        courier: String,
        epoch: u64,
    },
    Lapsed {
        courier: String,
        epoch: u64,
    },
    /// Nothing was changed: what was asked for is over, unknown, or has no room.
    Rejected {
        reason: BudgetRejection,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetRejection {
    #[error(
        "the couriers' floors at {dest} are {floors}, over its {connections} connections; lower them first"
    )]
    Floors { dest: u64, floors: u64, connections: u32 },
    #[error("no budget is known for {dest}; add it to fleet.budgets")]
    NoBudget { dest: u64 },
    #[error(
        "it was told under an epoch that is over; the courier holds nothing under it and has to join anew"
    )]
    Epoch,
    #[error("all connections of {dest} are held; they come free as their holders give them back")]
    NoCapacity { dest: u64 },
    #[error("the recall that it answers was replaced by another; the courier confirms that one next")]
    Number,
    #[error("the courier has not lapsed and expired; stop it and wait until it has")]
    StillActive,
}

/// What one courier holds for one tenant under one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// At most so many are open: this counts.
    pub granted: u32,
    /// To be lowered to this.
    pub recalled: Option<u32>,
    /// Of the last change; a confirmation names it. No number is given twice.
    pub number: u64,
}

impl Share {
    /// What the courier may begin calls up to.
    pub fn usable(&self) -> u32 {
        self.recalled.unwrap_or(self.granted)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetMember {
    pub epoch: u64,
    /// Its lease is over, and it has not joined again.
    pub lapsed: bool,
    /// Nothing is open of epochs before this one.
    pub aged: bool,
    /// It has ended as planned, with nothing open.
    pub left: bool,
}

type TenantShares = BTreeMap<String, Share>;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartnerBudget {
    pub connections: u32,
    /// By courier: counted always.
    floors: BTreeMap<String, u32>,
    /// Floors that were raised, and have no room yet.
    raised: BTreeMap<String, u32>,
    /// By courier and epoch, what it holds for each tenant.
    shares: BTreeMap<String, BTreeMap<u64, TenantShares>>,
}

/// The agreed state of all budgets; the same at every courier that has applied the same commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetState {
    members: BTreeMap<String, BudgetMember>,
    partners: BTreeMap<u64, PartnerBudget>,
    number: u64,
}

fn sum(shares: &TenantShares) -> u64 {
    shares.values().map(|h| u64::from(h.granted)).sum()
}

impl PartnerBudget {
    /// The most that the courier may have open, all its lives together.
    ///
    /// A process uses its floor only when nothing of earlier ones is open any more, so at most one life at a
    /// time has more than it was granted.
    fn max_open(&self, courier: &str, member: Option<&BudgetMember>) -> u64 {
        let floor = u64::from(self.floor(courier));
        let Some(member) = member else { return floor };
        let by_epoch = self.shares.get(courier);
        let now = by_epoch.and_then(|l| l.get(&member.epoch)).map_or(0, sum);
        match member.aged {
            true => floor.max(now),
            false => {
                let older: u64 =
                    by_epoch.into_iter().flat_map(|l| l.range(..member.epoch)).map(|(_, h)| sum(h)).sum();
                floor.max(older) + now
            }
        }
    }

    /// The sum of all that may be open; at most [`PartnerBudget::connections`], or what it was when that was
    /// lowered.
    pub fn committed(&self, members: &BTreeMap<String, BudgetMember>) -> u64 {
        let mut couriers: BTreeSet<&String> = self.floors.keys().collect();
        couriers.extend(self.shares.keys());
        couriers.into_iter().map(|c| self.max_open(c, members.get(c))).sum()
    }

    pub fn floor(&self, courier: &str) -> u32 {
        self.floors.get(courier).copied().unwrap_or(0)
    }

    /// The floor as it will be once there is room for it.
    pub fn target_floor(&self, courier: &str) -> u32 {
        self.floor(courier).max(self.raised.get(courier).copied().unwrap_or(0))
    }

    /// Couriers that have a floor or hold something.
    pub fn couriers(&self) -> BTreeSet<&str> {
        self.floors.keys().chain(self.raised.keys()).chain(self.shares.keys()).map(String::as_str).collect()
    }

    /// What a courier holds under an epoch, by tenant.
    pub fn shares(&self, courier: &str, epoch: u64) -> impl Iterator<Item = (&str, &Share)> {
        let shares = self.shares.get(courier).and_then(|by_epoch| by_epoch.get(&epoch));
        shares.into_iter().flatten().map(|(tenant, share)| (tenant.as_str(), share))
    }

    pub fn share(&self, courier: &str, epoch: u64, tenant: &str) -> Share {
        let shares = self.shares.get(courier).and_then(|by_epoch| by_epoch.get(&epoch));
        shares.and_then(|h| h.get(tenant)).copied().unwrap_or_default()
    }

    /// What counts for a courier beside that which it holds under its present epoch.
    pub fn counted_besides(&self, courier: &str, member: Option<&BudgetMember>) -> u64 {
        let Some(member) = member else { return u64::from(self.floor(courier)) };
        let now: u64 = self.shares(courier, member.epoch).map(|(_, h)| u64::from(h.granted)).sum();
        self.max_open(courier, Some(member)) - now
    }
}

impl BudgetState {
    pub fn member(&self, courier: &str) -> Option<&BudgetMember> {
        self.members.get(courier)
    }

    pub fn members(&self) -> &BTreeMap<String, BudgetMember> {
        &self.members
    }

    pub fn partner(&self, dest: u64) -> Option<&PartnerBudget> {
        self.partners.get(&dest)
    }

    pub fn partners(&self) -> impl Iterator<Item = (u64, &PartnerBudget)> {
        self.partners.iter().map(|(dest, partner)| (*dest, partner))
    }

    /// The most that the whole fleet may have open at a partner; 0 if it has no budget.
    pub fn committed(&self, dest: u64) -> u64 {
        self.partners.get(&dest).map_or(0, |p| p.committed(&self.members))
    }

    /// Takes one command; the same at every courier.
    pub fn apply(&mut self, command: &BudgetCommand) -> Vec<BudgetEvent> {
        let mut events = Vec::new();
        if let Err(reason) = self.try_apply(command, &mut events) {
            events.push(BudgetEvent::Rejected { reason });
        }
        // What may have made room lets raised floors in, in the order of names.
        if !matches!(command, BudgetCommand::Set { .. }) {
            self.partners.values_mut().filter(|p| !p.raised.is_empty()).for_each(|p| p.raise(&self.members));
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
                self.budget(*dest, *connections, *floor, couriers)?;
                events.push(BudgetEvent::Budget { dest: *dest, connections: *connections });
            }
            BudgetCommand::Joined { courier, epoch } => {
                if self.members.get(courier).is_some_and(|m| *epoch <= m.epoch) {
                    return Err(BudgetRejection::Epoch);
                }
                let aged = self.members.get(courier).is_some_and(|m| m.left);
                let member = BudgetMember { epoch: *epoch, lapsed: false, aged, left: false };
                self.members.insert(courier.clone(), member);
                events.push(BudgetEvent::Joined { courier: courier.clone(), epoch: *epoch });
            }
            BudgetCommand::Lapsed { courier, epoch } => {
                let member = self.members.get_mut(courier).filter(|m| m.epoch == *epoch);
                member.ok_or(BudgetRejection::Epoch)?.lapsed = true;
                if on(Break::LapseFreesAtOnce) {
                    self.free(courier, epoch.saturating_add(1), events);
                }
                events.push(BudgetEvent::Lapsed { courier: courier.clone(), epoch: *epoch });
            }
            BudgetCommand::Expired { courier, epoch } => {
                // A courier that has joined anew since is free of what it held before; what it holds now
                // stays.
                let member = self.members.get(courier).ok_or(BudgetRejection::Epoch)?;
                if *epoch > member.epoch || (*epoch == member.epoch && !member.lapsed) {
                    return Err(BudgetRejection::Epoch);
                }
                self.free(courier, epoch.saturating_add(1), events);
            }
            BudgetCommand::Aged { courier, epoch } => {
                let member = self.members.get_mut(courier).filter(|m| m.epoch == *epoch);
                member.ok_or(BudgetRejection::Epoch)?.aged = true;
                self.free(courier, *epoch, events);
            }
            BudgetCommand::Left { courier, epoch } => {
                let member = self.members.get_mut(courier).filter(|m| m.epoch == *epoch && m.aged);
                let member = member.ok_or(BudgetRejection::Epoch)?;
                (member.lapsed, member.left) = (true, true);
                self.free(courier, epoch.saturating_add(1), events);
                events.push(BudgetEvent::Lapsed { courier: courier.clone(), epoch: *epoch });
            }
            BudgetCommand::Ended { dest } => {
                self.partners.remove(dest).ok_or(BudgetRejection::NoBudget { dest: *dest })?;
            }
            BudgetCommand::Removed { courier } => {
                let has_shares = self.partners.values().any(|p| p.shares.contains_key(courier));
                if has_shares || self.members.get(courier).is_some_and(|m| !m.lapsed) {
                    return Err(BudgetRejection::StillActive);
                }
                for (dest, partner) in &mut self.partners {
                    partner.raised.remove(courier);
                    if let Some(connections) = partner.floors.remove(courier).filter(|n| *n > 0) {
                        events.push(BudgetEvent::Freed {
                            dest: *dest,
                            courier: courier.clone(),
                            connections,
                        });
                    }
                }
            }
            BudgetCommand::Set { dest, tenant, courier, epoch, to } => {
                let event = self.set(*dest, tenant, courier, *epoch, *to)?;
                events.extend(event);
            }
            BudgetCommand::Released { dest, tenant, courier, epoch, number, to } => {
                let partner = self.partners.get_mut(dest).ok_or(BudgetRejection::NoBudget { dest: *dest })?;
                let shares = partner.shares.get_mut(courier).and_then(|by_epoch| by_epoch.get_mut(epoch));
                let shares = shares.ok_or(BudgetRejection::Epoch)?;
                let share = shares.get_mut(tenant).ok_or(BudgetRejection::Number)?;
                let to = (*to).max(share.recalled.ok_or(BudgetRejection::Number)?);
                if share.number != *number && !on(Break::NumberIgnored) {
                    return Err(BudgetRejection::Number);
                }
                let freed = share.granted.saturating_sub(to);
                share.granted -= freed;
                if share.recalled == Some(share.granted) {
                    share.recalled = None;
                }
                shares.retain(|_, h| h.granted > 0);
                partner.prune();
                if freed > 0 {
                    events.push(BudgetEvent::Freed {
                        dest: *dest,
                        courier: courier.clone(),
                        connections: freed,
                    });
                }
            }
        }
        Ok(())
    }

    fn budget(
        &mut self,
        dest: u64,
        connections: u32,
        floor: u32,
        couriers: &[String],
    ) -> Result<(), BudgetRejection> {
        let old = self.partners.get(&dest);
        let mut floors: BTreeMap<&String, u32> =
            old.into_iter().flat_map(|p| &p.floors).map(|(c, n)| (c, *n)).collect();
        for courier in couriers {
            let one = floors.entry(courier).or_insert(0);
            *one = floor.max(*one);
        }
        let all: u64 = floors.values().map(|n| u64::from(*n)).sum();
        if all > u64::from(connections) {
            return Err(BudgetRejection::Floors { dest, floors: all, connections });
        }
        let raised = couriers.iter().filter(|c| old.is_none_or(|p| p.floor(c) < floor));
        let raised: BTreeMap<String, u32> = raised.map(|c| (c.clone(), floor)).collect();
        let partner = self.partners.entry(dest).or_default();
        partner.connections = connections;
        partner.raised = raised;
        Ok(())
    }

    fn set(
        &mut self,
        dest: u64,
        tenant: &str,
        courier: &str,
        epoch: u64,
        to: u32,
    ) -> Result<Option<BudgetEvent>, BudgetRejection> {
        let member = self.members.get(courier).filter(|m| m.epoch == epoch && !m.lapsed);
        let member = member.ok_or(BudgetRejection::Epoch)?;
        let partner = self.partners.get_mut(&dest).ok_or(BudgetRejection::NoBudget { dest })?;
        let old = partner.share(courier, epoch, tenant);
        let mut new = old;
        if to > old.granted {
            // What is granted below the courier's floor costs nothing more.
            let slack = match member.aged {
                true => {
                    let now: u64 = partner.shares(courier, epoch).map(|(_, h)| u64::from(h.granted)).sum();
                    u64::from(partner.floor(courier)).saturating_sub(now)
                }
                false => 0,
            };
            let available =
                u64::from(partner.connections).saturating_sub(partner.committed(&self.members)) + slack;
            let more = u64::from(to - old.granted).min(available) as u32;
            new.granted += if on(Break::CapacityIgnored) { to - old.granted } else { more };
            new.recalled = None;
        } else {
            new.recalled = (to < old.granted).then_some(to);
        }
        if (new.granted, new.recalled) == (old.granted, old.recalled) {
            // Nothing to change, or nothing that there is room for.
            return if to > old.granted { Err(BudgetRejection::NoCapacity { dest }) } else { Ok(None) };
        }
        self.number += 1;
        new.number = self.number;
        if on(Break::RecallUnconfirmed)
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

    /// Nothing counts any more that a courier held under epochs before this one.
    fn free(&mut self, courier: &str, before: u64, events: &mut Vec<BudgetEvent>) {
        for (dest, partner) in &mut self.partners {
            let Some(by_epoch) = partner.shares.get_mut(courier) else { continue };
            let retained = by_epoch.split_off(&before);
            let freed: u64 = std::mem::replace(by_epoch, retained).values().map(sum).sum();
            partner.prune();
            if freed > 0 {
                let connections = u32::try_from(freed).unwrap_or(u32::MAX);
                events.push(BudgetEvent::Freed { dest: *dest, courier: courier.to_string(), connections });
            }
        }
    }
}

impl PartnerBudget {
    fn prune(&mut self) {
        for by_epoch in self.shares.values_mut() {
            by_epoch.retain(|_, shares| !shares.is_empty());
        }
        self.shares.retain(|_, by_epoch| !by_epoch.is_empty());
    }

    /// Lets in the raised floors that there is room for.
    fn raise(&mut self, members: &BTreeMap<String, BudgetMember>) {
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
