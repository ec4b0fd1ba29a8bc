//! The part of the agreed state that is about settlements: their homes, and the verdicts of those that are
//! over.
//!
//! [`SettlementRegistry::apply`] knows no clock: times come in as values. Each home has a term, which no other home ever
//! had, so that a command that comes late or twice changes nothing.

use super::{SettlementId, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settlements open at once in the fleet: some 200 bytes each, so 13 MB of state and snapshot at most.
pub const MAX_OPEN: usize = 65_536;
/// Of one tenant: no tenant takes more than a quarter of the table.
pub const MAX_OPEN_PER_TENANT: u32 = 16_384;
/// Verdicts remembered at once. When so many are, nothing new is opened: forgetting one early would let a
/// late message open its settlement anew, after a break.
pub const MAX_VERDICTS: usize = 262_144;

/// One courier's book in one registration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JournalRef {
    pub courier: String,
    pub epoch: u64,
}

/// Where a settlement lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementOwner {
    pub courier: String,
    pub epoch: u64,
    /// Greater with each home of any settlement.
    pub term: u64,
    /// Books of earlier homes whose records the present one has not written into its own yet, oldest first.
    /// One more with each home that was lost before it had.
    pub earlier_journals: Vec<JournalRef>,
}

impl SettlementOwner {
    pub fn is_at(&self, courier: &str, epoch: u64) -> bool {
        self.courier == courier && self.epoch == epoch
    }
}

/// A settlement that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedSettlement {
    pub verdict: Verdict,
    /// No message of it can come later than this.
    pub until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementCommand {
    /// The first of them makes the home.
    Open { id: SettlementId, owner: String, owner_epoch: u64 },
    /// The home of this term gives it away; `boundary`: with nothing out and no session open. Who gives one
    /// away is leaving, and is given none: two that are drained at once would hand one to and fro.
    Move { id: SettlementId, term: u64, to: String, to_epoch: u64, boundary: bool },
    /// The home of this term has all that was in earlier books in its own.
    CaughtUp { id: SettlementId, term: u64 },
    /// The home of this term has decided; the verdict is kept until then.
    Close { id: SettlementId, term: u64, verdict: Verdict, until: Micros },
    /// This courier is not leaving any more.
    CancelDrain { courier: String, epoch: u64 },
    /// By the leader's clock, less the drift that is allowed for, this time is over.
    Forget { before: Micros },
}

/// What a command changed, or why it did not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementEvent {
    Opened {
        id: SettlementId,
        owner: JournalRef,
        term: u64,
    },
    /// There are too many; so many are open.
    NotOpened {
        id: SettlementId,
        open: u64,
    },
    Moved {
        id: SettlementId,
        from: JournalRef,
        to: JournalRef,
        term: u64,
        boundary: bool,
    },
    /// The courier that was to have it is no member any more, or is leaving itself.
    NotMoved {
        id: SettlementId,
        term: u64,
        to: JournalRef,
    },
    /// Nobody needs the records in these books any more.
    CaughtUp {
        id: SettlementId,
        journals: Vec<JournalRef>,
    },
    Closed {
        id: SettlementId,
        owner: JournalRef,
        verdict: Verdict,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementRegistry {
    open: BTreeMap<SettlementId, SettlementOwner>,
    tenants: BTreeMap<String, u32>,
    ended: BTreeMap<SettlementId, EndedSettlement>,
    /// By courier: the last epoch that is gone. As many as the fleet ever had names.
    deregistered: BTreeMap<String, u64>,
    /// Couriers that are leaving, each in this epoch.
    leaving: BTreeMap<String, u64>,
    last_term: u64,
}

impl SettlementRegistry {
    pub fn owner(&self, id: &SettlementId) -> Option<&SettlementOwner> {
        self.open.get(id)
    }

    pub fn verdict(&self, id: &SettlementId) -> Option<Verdict> {
        self.ended.get(id).map(|ended| ended.verdict)
    }

    /// Settlements that are open, with their homes.
    pub fn owners(&self) -> impl Iterator<Item = (&SettlementId, &SettlementOwner)> {
        self.open.iter()
    }

    /// How many are open, and how many verdicts are remembered.
    pub fn sizes(&self) -> (usize, usize) {
        (self.open.len(), self.ended.len())
    }

    pub fn is_leaving(&self, courier: &str, epoch: u64) -> bool {
        self.leaving.get(courier) == Some(&epoch)
    }

    fn is_gone(&self, courier: &str, epoch: u64) -> bool {
        self.deregistered.get(courier).is_some_and(|gone| epoch <= *gone)
    }

    fn next_term(&mut self) -> u64 {
        self.last_term += 1;
        self.last_term
    }

    /// The home, if it is of this term.
    fn owner_in_term(&mut self, id: &SettlementId, term: u64) -> Option<&mut SettlementOwner> {
        self.open.get_mut(id).filter(|owner| owner.term == term)
    }

    pub fn apply(&mut self, command: &SettlementCommand) -> Vec<SettlementEvent> {
        match command {
            SettlementCommand::Open { id, owner, owner_epoch } => self.open(id, owner, *owner_epoch),
            SettlementCommand::Move { id, term, to, to_epoch, boundary } => {
                let to = JournalRef { courier: to.clone(), epoch: *to_epoch };
                let is_refused =
                    self.is_gone(&to.courier, to.epoch) || self.is_leaving(&to.courier, to.epoch);
                let Some(owner) = self.owner_in_term(id, *term) else { return Vec::new() };
                let (from, epoch) = (owner.courier.clone(), owner.epoch);
                if is_refused {
                    return vec![SettlementEvent::NotMoved { id: id.clone(), term: *term, to }];
                }
                if from != to.courier {
                    self.leaving.insert(from, epoch);
                }
                self.move_to(id, to, *boundary).into_iter().collect()
            }
            SettlementCommand::CaughtUp { id, term } => {
                let journals =
                    self.owner_in_term(id, *term).map(|owner| std::mem::take(&mut owner.earlier_journals));
                let journals = journals.filter(|journals| !journals.is_empty());
                journals
                    .map(|journals| SettlementEvent::CaughtUp { id: id.clone(), journals })
                    .into_iter()
                    .collect()
            }
            SettlementCommand::Close { id, term, verdict, until } => {
                if self.owner_in_term(id, *term).is_none() {
                    return Vec::new();
                }
                let Some(owner) = self.open.remove(id) else { return Vec::new() };
                if let Some(open) = self.tenants.get_mut(&id.tenant) {
                    *open -= 1;
                    if *open == 0 {
                        self.tenants.remove(&id.tenant);
                    }
                }
                self.ended.insert(id.clone(), EndedSettlement { verdict: *verdict, until: *until });
                let journals = (!owner.earlier_journals.is_empty())
                    .then(|| SettlementEvent::CaughtUp { id: id.clone(), journals: owner.earlier_journals });
                let owner = JournalRef { courier: owner.courier, epoch: owner.epoch };
                let closed = SettlementEvent::Closed { id: id.clone(), owner, verdict: *verdict };
                std::iter::once(closed).chain(journals).collect()
            }
            SettlementCommand::CancelDrain { courier, epoch } => {
                if self.is_leaving(courier, *epoch) {
                    self.leaving.remove(courier);
                }
                Vec::new()
            }
            SettlementCommand::Forget { before } => {
                self.ended.retain(|_, ended| ended.until >= *before);
                Vec::new()
            }
        }
    }

    fn open(&mut self, id: &SettlementId, owner: &str, epoch: u64) -> Vec<SettlementEvent> {
        let is_known = self.open.contains_key(id) || self.ended.contains_key(id);
        if is_known || self.is_gone(owner, epoch) {
            return Vec::new();
        }
        let tenant = self.tenants.get(&id.tenant).copied().unwrap_or(0);
        let is_full = self.open.len() >= MAX_OPEN || self.open.len() + self.ended.len() >= MAX_VERDICTS;
        if is_full || tenant >= MAX_OPEN_PER_TENANT {
            return vec![SettlementEvent::NotOpened { id: id.clone(), open: self.open.len() as u64 }];
        }
        let term = self.next_term();
        self.tenants.insert(id.tenant.clone(), tenant + 1);
        let opened =
            SettlementOwner { courier: owner.to_string(), epoch, term, earlier_journals: Vec::new() };
        self.open.insert(id.clone(), opened);
        vec![SettlementEvent::Opened {
            id: id.clone(),
            owner: JournalRef { courier: owner.to_string(), epoch },
            term,
        }]
    }

    fn move_to(&mut self, id: &SettlementId, to: JournalRef, boundary: bool) -> Option<SettlementEvent> {
        let term = self.next_term();
        let owner = self.open.get_mut(id)?;
        let from = JournalRef { courier: owner.courier.clone(), epoch: owner.epoch };
        owner.earlier_journals.push(from.clone());
        (owner.courier, owner.epoch, owner.term) = (to.courier.clone(), to.epoch, term);
        Some(SettlementEvent::Moved { id: id.clone(), from, to, term, boundary })
    }

    /// A courier's registration is over and its book sealed: each of its settlements goes to one of the
    /// takers, by rendezvous hashing. Without a taker they stay where they are until there is one.
    pub fn gone(&mut self, courier: &str, epoch: u64, successors: &[JournalRef]) -> Vec<SettlementEvent> {
        let last = self.deregistered.entry(courier.to_string()).or_insert(epoch);
        *last = (*last).max(epoch);
        if self.leaving.get(courier).is_some_and(|leaving| *leaving <= epoch) {
            self.leaving.remove(courier);
        }
        let theirs = self.open.iter().filter(|(_, owner)| owner.courier == courier && owner.epoch <= epoch);
        let theirs: Vec<SettlementId> = theirs.map(|(id, _)| id.clone()).collect();
        let successors: Vec<JournalRef> = successors
            .iter()
            .filter(|successor| !self.is_gone(&successor.courier, successor.epoch))
            .cloned()
            .collect();
        // One that is leaving takes what nobody else can.
        let staying = successors.iter().filter(|t| !self.is_leaving(&t.courier, t.epoch)).cloned();
        let staying: Vec<JournalRef> = staying.collect();
        let successors = if staying.is_empty() { successors } else { staying };
        let moved = theirs.into_iter().filter_map(|id| {
            let to = successor(&id, &successors)?.clone();
            self.move_to(&id, to, false)
        });
        moved.collect()
    }
}

impl SettlementRegistry {
    /// Settlements whose home serves no more (`serves` says so) go to whoever has the part of the lost book that their
    /// destination is in. Without a taker they stay where they are until there is one.
    pub fn reassign_lost(
        &mut self,
        serves: impl Fn(&str, u64) -> bool,
        successor: impl Fn(u64) -> Option<JournalRef>,
    ) -> Vec<SettlementEvent> {
        let lost = self.open.iter().filter(|(_, owner)| !serves(&owner.courier, owner.epoch));
        let lost: Vec<SettlementId> = lost.map(|(id, _)| id.clone()).collect();
        lost.into_iter().filter_map(|id| self.move_to(&id, successor(id.dest)?, false)).collect()
    }

    /// A courier's registration is over: it is given none any more.
    pub fn deregister(&mut self, courier: &str, epoch: u64) {
        let last = self.deregistered.entry(courier.to_string()).or_insert(epoch);
        *last = (*last).max(epoch);
        if self.leaving.get(courier).is_some_and(|leaving| *leaving <= epoch) {
            self.leaving.remove(courier);
        }
    }

    /// A courier goes on with its book under another epoch: what it was home to is its own again, and so is what others
    /// were to take over, as nobody has read that book. `read(journal, dest)`: that book's part is in another by now.
    pub fn reclaim(
        &mut self,
        courier: &str,
        from: u64,
        to: u64,
        read: impl Fn(&JournalRef, u64) -> bool,
    ) -> Vec<SettlementEvent> {
        self.deregister(courier, from);
        let (old, new) = (
            JournalRef { courier: courier.into(), epoch: from },
            JournalRef { courier: courier.into(), epoch: to },
        );
        let mut moved = Vec::new();
        let ids: Vec<SettlementId> = self.open.keys().cloned().collect();
        for id in ids {
            let Some(owner) = self.open.get_mut(&id) else { continue };
            if owner.is_at(&old.courier, old.epoch) {
                moved.extend(self.move_to(&id, new.clone(), false));
                continue;
            }
            let Some(n) = owner.earlier_journals.iter().position(|journal| *journal == old) else { continue };
            // It was home too, and never came to read what was before it: then it has written nothing.
            if n > 0 && !read(&owner.earlier_journals[n - 1], id.dest) {
                owner.earlier_journals.remove(n);
                continue;
            }
            owner.earlier_journals.truncate(n);
            moved.extend(self.move_to(&id, new.clone(), false));
            if let Some(owner) = self.open.get_mut(&id) {
                // Whoever was to have it has written nothing.
                owner.earlier_journals.truncate(n);
                owner.earlier_journals.push(old.clone());
            }
        }
        moved
    }
}

/// Whom this settlement goes to: the same for everybody, and spread over all of them.
pub fn successor<'a>(id: &SettlementId, successors: &'a [JournalRef]) -> Option<&'a JournalRef> {
    successors.iter().max_by_key(|successor| (rendezvous_weight(id, &successor.courier), *successor))
}

/// FNV-1a, written out: couriers of different builds have to agree on it.
fn rendezvous_weight(id: &SettlementId, courier: &str) -> u64 {
    let fields = [id.tenant.as_bytes(), id.name.as_bytes(), &id.dest.to_le_bytes(), courier.as_bytes()];
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    let hash =
        fields.iter().fold(0xcbf2_9ce4_8422_2325, |hash, field| step(field.iter().fold(hash, step), &0xff));
    // The last bytes alone would decide: names often differ there only.
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
