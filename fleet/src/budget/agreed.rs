//! The part of the agreed state that budgets have: what each courier may have open, and what it was recalled
//! to.

use super::breaks::{Break, on};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One change. Any of them may come twice, late or not at all; only [`Command::Expired`] and
/// [`Command::Aged`] have to be true, which time alone can tell: proposed late they are true still.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A partner's budget as the operator has it now; refused if the floors don't fit in. A courier's floor
    /// is never lowered, and a raised one counts as soon as there is room for it.
    Budget { dest: u64, connections: u32, floor: u32, couriers: Vec<String> },
    /// A courier is a member with a new epoch; all that it holds under older ones goes on counting beside.
    Joined { courier: String, epoch: u64 },
    /// A courier's lease is over: nothing more is granted to it under this epoch.
    Lapsed { courier: String, epoch: u64 },
    /// Proposed [`super::Terms::hold`] after `Lapsed` was seen: nothing is open any more that was held under
    /// this epoch or older ones, but the floor, which the courier may still use.
    Expired { courier: String, epoch: u64 },
    /// Proposed [`super::Terms::hold`] after `Joined` was seen: earlier processes of the courier have nothing
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
pub enum Event {
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
    Refused {
        why: Refused,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
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
    NoRoom { dest: u64 },
    #[error("the recall that it answers was replaced by another; the courier confirms that one next")]
    Number,
    #[error("the courier has not lapsed and expired; stop it and wait until it has")]
    StillThere,
}

/// What one courier holds for one tenant under one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// At most so many are open: this counts.
    pub granted: u32,
    /// To be lowered to this.
    pub recalled: Option<u32>,
    /// Of the last change; a confirmation names it. No number is given twice.
    pub number: u64,
}

impl Holding {
    /// What the courier may begin calls up to.
    pub fn usable(&self) -> u32 {
        self.recalled.unwrap_or(self.granted)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    pub epoch: u64,
    /// Its lease is over, and it has not joined again.
    pub lapsed: bool,
    /// Nothing is open of epochs before this one.
    pub aged: bool,
    /// It has ended as planned, with nothing open.
    pub left: bool,
}

type Held = BTreeMap<String, Holding>;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Partner {
    pub connections: u32,
    /// By courier: counted always.
    floors: BTreeMap<String, u32>,
    /// Floors that were raised, and have no room yet.
    raised: BTreeMap<String, u32>,
    /// By courier and epoch, what it holds for each tenant.
    holds: BTreeMap<String, BTreeMap<u64, Held>>,
}

/// The agreed state of all budgets; the same at every courier that has applied the same commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Agreed {
    members: BTreeMap<String, Member>,
    partners: BTreeMap<u64, Partner>,
    number: u64,
}

fn sum(held: &Held) -> u64 {
    held.values().map(|h| u64::from(h.granted)).sum()
}

impl Partner {
    /// The most that the courier may have open, all its lives together.
    ///
    /// A process uses its floor only when nothing of earlier ones is open any more, so at most one life at a
    /// time has more than it was granted.
    fn most(&self, courier: &str, member: Option<&Member>) -> u64 {
        let floor = u64::from(self.floor(courier));
        let Some(member) = member else { return floor };
        let lives = self.holds.get(courier);
        let now = lives.and_then(|l| l.get(&member.epoch)).map_or(0, sum);
        match member.aged {
            true => floor.max(now),
            false => {
                let older: u64 =
                    lives.into_iter().flat_map(|l| l.range(..member.epoch)).map(|(_, h)| sum(h)).sum();
                floor.max(older) + now
            }
        }
    }

    /// The sum of all that may be open; at most [`Partner::connections`], or what it was when that was
    /// lowered.
    pub fn committed(&self, members: &BTreeMap<String, Member>) -> u64 {
        let mut couriers: BTreeSet<&String> = self.floors.keys().collect();
        couriers.extend(self.holds.keys());
        couriers.into_iter().map(|c| self.most(c, members.get(c))).sum()
    }

    pub fn floor(&self, courier: &str) -> u32 {
        self.floors.get(courier).copied().unwrap_or(0)
    }

    /// The floor as it will be once there is room for it.
    pub fn floor_to_be(&self, courier: &str) -> u32 {
        self.floor(courier).max(self.raised.get(courier).copied().unwrap_or(0))
    }

    /// Couriers that have a floor or hold something.
    pub fn couriers(&self) -> BTreeSet<&str> {
        self.floors.keys().chain(self.raised.keys()).chain(self.holds.keys()).map(String::as_str).collect()
    }

    /// What a courier holds under an epoch, by tenant.
    pub fn held(&self, courier: &str, epoch: u64) -> impl Iterator<Item = (&str, &Holding)> {
        let held = self.holds.get(courier).and_then(|lives| lives.get(&epoch));
        held.into_iter().flatten().map(|(tenant, holding)| (tenant.as_str(), holding))
    }

    pub fn holding(&self, courier: &str, epoch: u64, tenant: &str) -> Holding {
        let held = self.holds.get(courier).and_then(|lives| lives.get(&epoch));
        held.and_then(|h| h.get(tenant)).copied().unwrap_or_default()
    }

    /// What counts for a courier beside that which it holds under its present epoch.
    pub fn beside(&self, courier: &str, member: Option<&Member>) -> u64 {
        let Some(member) = member else { return u64::from(self.floor(courier)) };
        let now: u64 = self.held(courier, member.epoch).map(|(_, h)| u64::from(h.granted)).sum();
        self.most(courier, Some(member)) - now
    }
}

impl Agreed {
    pub fn member(&self, courier: &str) -> Option<&Member> {
        self.members.get(courier)
    }

    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    pub fn partner(&self, dest: u64) -> Option<&Partner> {
        self.partners.get(&dest)
    }

    pub fn partners(&self) -> impl Iterator<Item = (u64, &Partner)> {
        self.partners.iter().map(|(dest, partner)| (*dest, partner))
    }

    /// The most that the whole fleet may have open at a partner; 0 if it has no budget.
    pub fn committed(&self, dest: u64) -> u64 {
        self.partners.get(&dest).map_or(0, |p| p.committed(&self.members))
    }

    /// Takes one command; the same at every courier.
    pub fn apply(&mut self, command: &Command) -> Vec<Event> {
        let mut events = Vec::new();
        if let Err(why) = self.take(command, &mut events) {
            events.push(Event::Refused { why });
        }
        // What may have made room lets raised floors in, in the order of names.
        if !matches!(command, Command::Set { .. }) {
            self.partners.values_mut().filter(|p| !p.raised.is_empty()).for_each(|p| p.raise(&self.members));
        }
        events
    }

    fn take(&mut self, command: &Command, events: &mut Vec<Event>) -> Result<(), Refused> {
        match command {
            Command::Budget { dest, connections, floor, couriers } => {
                self.budget(*dest, *connections, *floor, couriers)?;
                events.push(Event::Budget { dest: *dest, connections: *connections });
            }
            Command::Joined { courier, epoch } => {
                if self.members.get(courier).is_some_and(|m| *epoch <= m.epoch) {
                    return Err(Refused::Epoch);
                }
                let aged = self.members.get(courier).is_some_and(|m| m.left);
                let member = Member { epoch: *epoch, lapsed: false, aged, left: false };
                self.members.insert(courier.clone(), member);
                events.push(Event::Joined { courier: courier.clone(), epoch: *epoch });
            }
            Command::Lapsed { courier, epoch } => {
                let member = self.members.get_mut(courier).filter(|m| m.epoch == *epoch);
                member.ok_or(Refused::Epoch)?.lapsed = true;
                if on(Break::LapseFreesAtOnce) {
                    self.free(courier, epoch.saturating_add(1), events);
                }
                events.push(Event::Lapsed { courier: courier.clone(), epoch: *epoch });
            }
            Command::Expired { courier, epoch } => {
                // A courier that has joined anew since is free of what it held before; what it holds now
                // stays.
                let member = self.members.get(courier).ok_or(Refused::Epoch)?;
                if *epoch > member.epoch || (*epoch == member.epoch && !member.lapsed) {
                    return Err(Refused::Epoch);
                }
                self.free(courier, epoch.saturating_add(1), events);
            }
            Command::Aged { courier, epoch } => {
                let member = self.members.get_mut(courier).filter(|m| m.epoch == *epoch);
                member.ok_or(Refused::Epoch)?.aged = true;
                self.free(courier, *epoch, events);
            }
            Command::Left { courier, epoch } => {
                let member = self.members.get_mut(courier).filter(|m| m.epoch == *epoch && m.aged);
                let member = member.ok_or(Refused::Epoch)?;
                (member.lapsed, member.left) = (true, true);
                self.free(courier, epoch.saturating_add(1), events);
                events.push(Event::Lapsed { courier: courier.clone(), epoch: *epoch });
            }
            Command::Ended { dest } => {
                self.partners.remove(dest).ok_or(Refused::NoBudget { dest: *dest })?;
            }
            Command::Removed { courier } => {
                let holds = self.partners.values().any(|p| p.holds.contains_key(courier));
                if holds || self.members.get(courier).is_some_and(|m| !m.lapsed) {
                    return Err(Refused::StillThere);
                }
                for (dest, partner) in &mut self.partners {
                    partner.raised.remove(courier);
                    if let Some(connections) = partner.floors.remove(courier).filter(|n| *n > 0) {
                        events.push(Event::Freed { dest: *dest, courier: courier.clone(), connections });
                    }
                }
            }
            Command::Set { dest, tenant, courier, epoch, to } => {
                let event = self.set(*dest, tenant, courier, *epoch, *to)?;
                events.extend(event);
            }
            Command::Released { dest, tenant, courier, epoch, number, to } => {
                let partner = self.partners.get_mut(dest).ok_or(Refused::NoBudget { dest: *dest })?;
                let held = partner.holds.get_mut(courier).and_then(|lives| lives.get_mut(epoch));
                let held = held.ok_or(Refused::Epoch)?;
                let holding = held.get_mut(tenant).ok_or(Refused::Number)?;
                let to = (*to).max(holding.recalled.ok_or(Refused::Number)?);
                if holding.number != *number && !on(Break::NumberIgnored) {
                    return Err(Refused::Number);
                }
                let freed = holding.granted.saturating_sub(to);
                holding.granted -= freed;
                if holding.recalled == Some(holding.granted) {
                    holding.recalled = None;
                }
                held.retain(|_, h| h.granted > 0);
                partner.tidy();
                if freed > 0 {
                    events.push(Event::Freed { dest: *dest, courier: courier.clone(), connections: freed });
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
    ) -> Result<(), Refused> {
        let old = self.partners.get(&dest);
        let mut floors: BTreeMap<&String, u32> =
            old.into_iter().flat_map(|p| &p.floors).map(|(c, n)| (c, *n)).collect();
        for courier in couriers {
            let one = floors.entry(courier).or_insert(0);
            *one = floor.max(*one);
        }
        let all: u64 = floors.values().map(|n| u64::from(*n)).sum();
        if all > u64::from(connections) {
            return Err(Refused::Floors { dest, floors: all, connections });
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
    ) -> Result<Option<Event>, Refused> {
        let member = self.members.get(courier).filter(|m| m.epoch == epoch && !m.lapsed);
        let member = member.ok_or(Refused::Epoch)?;
        let partner = self.partners.get_mut(&dest).ok_or(Refused::NoBudget { dest })?;
        let old = partner.holding(courier, epoch, tenant);
        let mut new = old;
        if to > old.granted {
            // What is granted below the courier's floor costs nothing more.
            let slack = match member.aged {
                true => {
                    let now: u64 = partner.held(courier, epoch).map(|(_, h)| u64::from(h.granted)).sum();
                    u64::from(partner.floor(courier)).saturating_sub(now)
                }
                false => 0,
            };
            let room =
                u64::from(partner.connections).saturating_sub(partner.committed(&self.members)) + slack;
            let more = u64::from(to - old.granted).min(room) as u32;
            new.granted += if on(Break::RoomIgnored) { to - old.granted } else { more };
            new.recalled = None;
        } else {
            new.recalled = (to < old.granted).then_some(to);
        }
        if (new.granted, new.recalled) == (old.granted, old.recalled) {
            // Nothing to change, or nothing that there is room for.
            return if to > old.granted { Err(Refused::NoRoom { dest }) } else { Ok(None) };
        }
        self.number += 1;
        new.number = self.number;
        if on(Break::RecallUnconfirmed)
            && let Some(to) = new.recalled.take()
        {
            new.granted = to;
        }
        let held = partner.holds.entry(courier.to_string()).or_default().entry(epoch).or_default();
        held.insert(tenant.to_string(), new);
        let (tenant, courier) = (tenant.to_string(), courier.to_string());
        Ok(Some(match new.recalled {
            Some(to) => Event::Recalled { dest, tenant, courier, to, number: new.number },
            None => Event::Granted { dest, tenant, courier, to: new.granted },
        }))
    }

    /// Nothing counts any more that a courier held under epochs before this one.
    fn free(&mut self, courier: &str, before: u64, events: &mut Vec<Event>) {
        for (dest, partner) in &mut self.partners {
            let Some(lives) = partner.holds.get_mut(courier) else { continue };
            let kept = lives.split_off(&before);
            let freed: u64 = std::mem::replace(lives, kept).values().map(sum).sum();
            partner.tidy();
            if freed > 0 {
                let connections = u32::try_from(freed).unwrap_or(u32::MAX);
                events.push(Event::Freed { dest: *dest, courier: courier.to_string(), connections });
            }
        }
    }
}

impl Partner {
    fn tidy(&mut self) {
        for lives in self.holds.values_mut() {
            lives.retain(|_, held| !held.is_empty());
        }
        self.holds.retain(|_, lives| !lives.is_empty());
    }

    /// Lets in the raised floors that there is room for.
    fn raise(&mut self, members: &BTreeMap<String, Member>) {
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
