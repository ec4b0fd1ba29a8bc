//! The part of the agreed state that is about settlements: their owners, and the verdicts of those that have ended.
//!
//! [`SettlementRegistry::apply`] reads no clock: times are in the commands. Each ownership has a term that no other
//! ever had, so that a late or repeated command changes nothing. State and commands are encoded by position.

mod command;
mod placement;

pub use command::{JournalRef, SettlementCommand, SettlementEvent};
pub use placement::successor;

use super::model::{SettlementId, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settlements that may be open at once in the fleet: some 200 bytes each, so 13 MB of state and snapshot at most.
pub const MAX_OPEN: usize = 65_536;
/// Settlements of one tenant that may be open at once: no tenant takes more than a quarter of the table.
pub const MAX_OPEN_PER_TENANT: u32 = 16_384;
/// Open settlements and remembered verdicts together. At this number nothing new is opened: forgetting a verdict early
/// would let a late message open its settlement a second time, after a break.
pub const MAX_VERDICTS: usize = 262_144;

/// The owner of a settlement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementOwner {
    /// The courier's name.
    pub courier: String,
    /// The epoch of its registration.
    pub epoch: u64,
    /// Grows with each change of owner of any settlement.
    pub term: u64,
    /// Journals of earlier owners whose records the present one has not copied into its own yet, earliest first.
    /// One more with each owner that was lost before it had.
    pub earlier_journals: Vec<JournalRef>,
}

impl SettlementOwner {
    /// Whether it is this courier in this registration.
    pub fn is_at(&self, courier: &str, epoch: u64) -> bool {
        self.courier == courier && self.epoch == epoch
    }
}

/// A settlement that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedSettlement {
    /// How it ended.
    pub verdict: Verdict,
    /// No message of it can arrive later than this; the verdict is remembered until then.
    pub until: Micros,
}

/// The agreed state of all settlements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementRegistry {
    open: BTreeMap<SettlementId, SettlementOwner>,
    /// The number of open settlements of each tenant.
    tenants: BTreeMap<String, u32>,
    ended: BTreeMap<SettlementId, EndedSettlement>,
    /// By courier: the last epoch whose registration has ended. One for each name that the fleet ever had.
    deregistered: BTreeMap<String, u64>,
    /// Couriers that are leaving, each in this epoch.
    leaving: BTreeMap<String, u64>,
    last_term: u64,
}

impl SettlementRegistry {
    /// The owner of an open settlement.
    pub fn owner(&self, id: &SettlementId) -> Option<&SettlementOwner> {
        self.open.get(id)
    }

    /// How a settlement ended, while that is remembered.
    pub fn verdict(&self, id: &SettlementId) -> Option<Verdict> {
        self.ended.get(id).map(|ended| ended.verdict)
    }

    /// The open settlements with their owners.
    pub fn owners(&self) -> impl Iterator<Item = (&SettlementId, &SettlementOwner)> {
        self.open.iter()
    }

    /// Whether it remembers any verdict.
    pub fn has_verdicts(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Whether this courier is leaving: no settlement moves to it.
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

    /// The owner, if it is still of this term.
    fn owner_in_term(&mut self, id: &SettlementId, term: u64) -> Option<&mut SettlementOwner> {
        self.open.get_mut(id).filter(|owner| owner.term == term)
    }

    /// Applies one committed command; returns what it changed, or why it did not.
    pub fn apply(&mut self, command: &SettlementCommand) -> Vec<SettlementEvent> {
        match command {
            SettlementCommand::Open { id, owner, owner_epoch } => self.open(id, owner, *owner_epoch),
            SettlementCommand::Move { id, term, to, to_epoch, boundary } => {
                let to = JournalRef { courier: to.clone(), epoch: *to_epoch };
                self.move_from_leaving(id, *term, to, *boundary)
            }
            SettlementCommand::CaughtUp { id, term } => self.caught_up(id, *term),
            SettlementCommand::Close { id, term, verdict, until } => {
                self.close(id, *term, EndedSettlement { verdict: *verdict, until: *until })
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

    /// The owner of this term is leaving and moves the settlement to another courier.
    fn move_from_leaving(
        &mut self,
        id: &SettlementId,
        term: u64,
        to: JournalRef,
        boundary: bool,
    ) -> Vec<SettlementEvent> {
        let is_rejected = self.is_gone(&to.courier, to.epoch) || self.is_leaving(&to.courier, to.epoch);
        let Some(owner) = self.owner_in_term(id, term) else { return Vec::new() };
        let (from, epoch) = (owner.courier.clone(), owner.epoch);
        if is_rejected {
            return vec![SettlementEvent::NotMoved { id: id.clone(), term, to }];
        }
        if from != to.courier {
            self.leaving.insert(from, epoch);
        }
        self.move_to(id, to, boundary).into_iter().collect()
    }

    fn caught_up(&mut self, id: &SettlementId, term: u64) -> Vec<SettlementEvent> {
        let Some(owner) = self.owner_in_term(id, term) else { return Vec::new() };
        let journals = std::mem::take(&mut owner.earlier_journals);
        if journals.is_empty() {
            return Vec::new();
        }
        vec![SettlementEvent::CaughtUp { id: id.clone(), journals }]
    }

    fn close(&mut self, id: &SettlementId, term: u64, ended: EndedSettlement) -> Vec<SettlementEvent> {
        if self.owner_in_term(id, term).is_none() {
            return Vec::new();
        }
        let Some(owner) = self.open.remove(id) else { return Vec::new() };
        if let Some(open) = self.tenants.get_mut(&id.tenant) {
            *open -= 1;
            if *open == 0 {
                self.tenants.remove(&id.tenant);
            }
        }
        self.ended.insert(id.clone(), ended);
        let journals = owner.earlier_journals;
        let owner = JournalRef { courier: owner.courier, epoch: owner.epoch };
        let mut events = vec![SettlementEvent::Closed { id: id.clone(), owner, verdict: ended.verdict }];
        if !journals.is_empty() {
            events.push(SettlementEvent::CaughtUp { id: id.clone(), journals });
        }
        events
    }

    fn move_to(&mut self, id: &SettlementId, to: JournalRef, boundary: bool) -> Option<SettlementEvent> {
        let term = self.next_term();
        let owner = self.open.get_mut(id)?;
        let from = JournalRef { courier: owner.courier.clone(), epoch: owner.epoch };
        owner.earlier_journals.push(from.clone());
        (owner.courier, owner.epoch, owner.term) = (to.courier.clone(), to.epoch, term);
        Some(SettlementEvent::Moved { id: id.clone(), from, to, term, boundary })
    }

    /// A courier's registration has ended and its journal is sealed: each of its settlements goes to one of the
    /// successors, by rendezvous hashing. Without a successor they stay where they are until there is one.
    pub fn end_registration(
        &mut self,
        courier: &str,
        epoch: u64,
        successors: &[JournalRef],
    ) -> Vec<SettlementEvent> {
        self.deregister(courier, epoch);
        let owned = self.open.iter().filter(|(_, owner)| owner.courier == courier && owner.epoch <= epoch);
        let owned: Vec<SettlementId> = owned.map(|(id, _)| id.clone()).collect();
        let successors: Vec<JournalRef> = successors
            .iter()
            .filter(|successor| !self.is_gone(&successor.courier, successor.epoch))
            .cloned()
            .collect();
        // A courier that is leaving itself gets what nobody else can own.
        let is_staying = |successor: &&JournalRef| !self.is_leaving(&successor.courier, successor.epoch);
        let staying = successors.iter().filter(is_staying).cloned();
        let staying: Vec<JournalRef> = staying.collect();
        let successors = if staying.is_empty() { successors } else { staying };
        let moved = owned.into_iter().filter_map(|id| {
            let to = successor(&id, &successors)?.clone();
            self.move_to(&id, to, false)
        });
        moved.collect()
    }

    /// Settlements whose owner no longer serves, as `serves` says of a courier and epoch, go to the `successor` for their
    /// destination: whoever adopts that partition of the lost journal. Without a successor they stay where they are
    /// until there is one.
    pub fn reassign_lost(
        &mut self,
        serves: impl Fn(&str, u64) -> bool,
        successor: impl Fn(u64) -> Option<JournalRef>,
    ) -> Vec<SettlementEvent> {
        let lost = self.open.iter().filter(|(_, owner)| !serves(&owner.courier, owner.epoch));
        let lost: Vec<SettlementId> = lost.map(|(id, _)| id.clone()).collect();
        lost.into_iter().filter_map(|id| self.move_to(&id, successor(id.dest)?, false)).collect()
    }

    /// A courier's registration has ended: no settlement moves to it any more.
    pub fn deregister(&mut self, courier: &str, epoch: u64) {
        let last = self.deregistered.entry(courier.to_string()).or_insert(epoch);
        *last = (*last).max(epoch);
        if self.leaving.get(courier).is_some_and(|leaving| *leaving <= epoch) {
            self.leaving.remove(courier);
        }
    }

    /// A courier continues with its journal under another epoch: it owns its settlements again, and those that others
    /// were to take over, as nobody has read that journal. `read(journal, dest)` says whether the partition of that
    /// destination has been copied from the journal into another.
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
            // It was an owner too, and never read the journals before its own: then it has written nothing.
            if n > 0 && !read(&owner.earlier_journals[n - 1], id.dest) {
                owner.earlier_journals.remove(n);
                continue;
            }
            owner.earlier_journals.truncate(n);
            moved.extend(self.move_to(&id, new.clone(), false));
            if let Some(owner) = self.open.get_mut(&id) {
                // Whoever was to own it has written nothing.
                owner.earlier_journals.truncate(n);
                owner.earlier_journals.push(old.clone());
            }
        }
        moved
    }
}
