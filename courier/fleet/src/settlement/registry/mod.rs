//! The settlement part of the replicated state: the owners of open settlements, and the verdicts of ended ones.
//!
//! [`SettlementRegistry::apply`] reads no clock: commands contain the times. Each ownership has a unique term, so
//! that a late or repeated command has no effect. State and commands are encoded by position.

mod command;
mod placement;

pub use command::{JournalRef, SettlementCommand, SettlementEvent};
pub use placement::choose_successor;

use super::model::{SettlementId, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of open settlements in the fleet. Each takes about 200 bytes, so state and snapshot have at most
/// 13 MB.
pub const MAX_OPEN: usize = 65_536;
/// Maximum number of open settlements of one tenant: a quarter of [`MAX_OPEN`].
pub const MAX_OPEN_PER_TENANT: u32 = 16_384;
/// Maximum number of open settlements and retained verdicts together. At this limit no settlement is opened: if a
/// verdict were deleted early instead, a late message could reopen a settlement after its break.
pub const MAX_OPEN_AND_ENDED: usize = 262_144;

/// The owner of an open settlement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementOwner {
    /// The name of the courier.
    pub courier: String,
    /// The epoch of the courier's registration.
    pub epoch: u64,
    /// The term of this ownership; it grows with each change of the owner of any settlement.
    pub term: u64,
    /// Journals of earlier owners whose records the current owner has not yet copied into its own, earliest first.
    /// The list grows with each owner that is lost before it has copied them.
    pub earlier_journals: Vec<JournalRef>,
}

impl SettlementOwner {
    /// Returns whether the owner is this courier in the registration with this epoch.
    pub fn is_registered_as(&self, courier: &str, epoch: u64) -> bool {
        self.courier == courier && self.epoch == epoch
    }
}

/// The retained result of a settlement that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedSettlement {
    /// The final state of the settlement.
    pub verdict: Verdict,
    /// The time until which the verdict is retained, in microseconds; no message of the settlement can arrive later.
    #[serde(rename = "until")]
    pub retain_until: Micros,
}

/// The replicated state of all settlements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementRegistry {
    open: BTreeMap<SettlementId, SettlementOwner>,
    /// The number of open settlements by tenant.
    #[serde(rename = "tenants")]
    open_by_tenant: BTreeMap<String, u32>,
    ended: BTreeMap<SettlementId, EndedSettlement>,
    /// The latest ended registration epoch by courier, for every courier name that the fleet ever had.
    deregistered: BTreeMap<String, u64>,
    /// The couriers that are leaving, with the epoch of their registration.
    leaving: BTreeMap<String, u64>,
    last_term: u64,
}

impl SettlementRegistry {
    /// Returns the owner of a settlement; `None` if the settlement is not open.
    pub fn owner(&self, id: &SettlementId) -> Option<&SettlementOwner> {
        self.open.get(id)
    }

    /// Returns the verdict of an ended settlement while the verdict is retained.
    pub fn verdict(&self, id: &SettlementId) -> Option<Verdict> {
        self.ended.get(id).map(|ended| ended.verdict)
    }

    /// Returns the open settlements with their owners, in the order of their ids.
    pub fn owners(&self) -> impl Iterator<Item = (&SettlementId, &SettlementOwner)> {
        self.open.iter()
    }

    /// Returns whether any verdict is retained.
    pub fn has_verdicts(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns whether this courier is leaving, in which case no settlement moves to it.
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

    /// Returns the owner if its term is this one.
    fn owner_in_term(&mut self, id: &SettlementId, term: u64) -> Option<&mut SettlementOwner> {
        self.open.get_mut(id).filter(|owner| owner.term == term)
    }

    /// Applies one committed command; returns its effects, or the reason why it had none.
    pub fn apply(&mut self, command: &SettlementCommand) -> Vec<SettlementEvent> {
        match command {
            SettlementCommand::Open { id, owner, owner_epoch } => self.open(id, owner, *owner_epoch),
            SettlementCommand::Move { id, term, to, to_epoch, at_boundary } => {
                let to = JournalRef { courier: to.clone(), epoch: *to_epoch };
                self.move_from_leaving(id, *term, to, *at_boundary)
            }
            SettlementCommand::CaughtUp { id, term } => self.caught_up(id, *term),
            SettlementCommand::Close { id, term, verdict, retain_until } => {
                self.close(id, *term, EndedSettlement { verdict: *verdict, retain_until: *retain_until })
            }
            SettlementCommand::CancelDrain { courier, epoch } => {
                if self.is_leaving(courier, *epoch) {
                    self.leaving.remove(courier);
                }
                Vec::new()
            }
            SettlementCommand::Forget { retained_before } => {
                self.ended.retain(|_, ended| ended.retain_until >= *retained_before);
                Vec::new()
            }
        }
    }

    fn open(&mut self, id: &SettlementId, owner: &str, epoch: u64) -> Vec<SettlementEvent> {
        let is_known = self.open.contains_key(id) || self.ended.contains_key(id);
        if is_known || self.is_gone(owner, epoch) {
            return Vec::new();
        }
        let tenant_open = self.open_by_tenant.get(&id.tenant).copied().unwrap_or(0);
        let is_full = self.open.len() >= MAX_OPEN || self.open.len() + self.ended.len() >= MAX_OPEN_AND_ENDED;
        if is_full || tenant_open >= MAX_OPEN_PER_TENANT {
            return vec![SettlementEvent::NotOpened {
                id: id.clone(),
                open_settlements: self.open.len() as u64,
            }];
        }
        let term = self.next_term();
        self.open_by_tenant.insert(id.tenant.clone(), tenant_open + 1);
        let opened =
            SettlementOwner { courier: owner.to_string(), epoch, term, earlier_journals: Vec::new() };
        self.open.insert(id.clone(), opened);
        vec![SettlementEvent::Opened {
            id: id.clone(),
            owner: JournalRef { courier: owner.to_string(), epoch },
            term,
        }]
    }

    /// Moves the settlement away from the owner of this term, and marks that courier as leaving.
    fn move_from_leaving(
        &mut self,
        id: &SettlementId,
        term: u64,
        to: JournalRef,
        at_boundary: bool,
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
        self.move_to(id, to, at_boundary).into_iter().collect()
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
        if let Some(open) = self.open_by_tenant.get_mut(&id.tenant) {
            *open -= 1;
            if *open == 0 {
                self.open_by_tenant.remove(&id.tenant);
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

    fn move_to(&mut self, id: &SettlementId, to: JournalRef, at_boundary: bool) -> Option<SettlementEvent> {
        let term = self.next_term();
        let owner = self.open.get_mut(id)?;
        let from = JournalRef { courier: owner.courier.clone(), epoch: owner.epoch };
        owner.earlier_journals.push(from.clone());
        (owner.courier, owner.epoch, owner.term) = (to.courier.clone(), to.epoch, term);
        Some(SettlementEvent::Moved { id: id.clone(), from, to, term, at_boundary })
    }

    /// Moves the settlements of a courier whose registration has ended and whose journal is sealed to the
    /// successors, by rendezvous hashing. Without any successor they keep their owner until there is one.
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
        // A leaving courier receives settlements only if all successors are leaving.
        let is_staying = |successor: &&JournalRef| !self.is_leaving(&successor.courier, successor.epoch);
        let staying = successors.iter().filter(is_staying).cloned();
        let staying: Vec<JournalRef> = staying.collect();
        let successors = if staying.is_empty() { successors } else { staying };
        let moved = owned.into_iter().filter_map(|id| {
            let to = choose_successor(&id, &successors)?.clone();
            self.move_to(&id, to, false)
        });
        moved.collect()
    }

    /// Moves each settlement whose owner no longer serves to the `successor` for its destination, which is the
    /// courier that adopts this partition of the lost journal. `serves` tells whether a courier serves under an
    /// epoch. Without a successor they keep their owner until there is one.
    pub fn reassign_lost(
        &mut self,
        serves: impl Fn(&str, u64) -> bool,
        successor: impl Fn(u64) -> Option<JournalRef>,
    ) -> Vec<SettlementEvent> {
        let lost = self.open.iter().filter(|(_, owner)| !serves(&owner.courier, owner.epoch));
        let lost: Vec<SettlementId> = lost.map(|(id, _)| id.clone()).collect();
        lost.into_iter().filter_map(|id| self.move_to(&id, successor(id.dest)?, false)).collect()
    }

    /// Records that a registration has ended: no settlement moves to this registration or an earlier one any more.
    pub fn deregister(&mut self, courier: &str, epoch: u64) {
        let last = self.deregistered.entry(courier.to_string()).or_insert(epoch);
        *last = (*last).max(epoch);
        if self.leaving.get(courier).is_some_and(|leaving| *leaving <= epoch) {
            self.leaving.remove(courier);
        }
    }

    /// Returns settlements to a courier that continues with its journal under a new epoch: those that it owned, and
    /// those assigned to other couriers that have not read that journal yet. `is_copied(journal, dest)` tells whether
    /// the partition of that destination has been copied from the journal into another.
    pub fn reclaim(
        &mut self,
        courier: &str,
        from_epoch: u64,
        to_epoch: u64,
        is_copied: impl Fn(&JournalRef, u64) -> bool,
    ) -> Vec<SettlementEvent> {
        self.deregister(courier, from_epoch);
        let (old, new) = (
            JournalRef { courier: courier.into(), epoch: from_epoch },
            JournalRef { courier: courier.into(), epoch: to_epoch },
        );
        let mut moved = Vec::new();
        let ids: Vec<SettlementId> = self.open.keys().cloned().collect();
        for id in ids {
            let Some(owner) = self.open.get_mut(&id) else { continue };
            if owner.is_registered_as(&old.courier, old.epoch) {
                moved.extend(self.move_to(&id, new.clone(), false));
                continue;
            }
            let Some(n) = owner.earlier_journals.iter().position(|journal| *journal == old) else { continue };
            // The courier was an intermediate owner that never read the earlier journals, so it wrote no records.
            if n > 0 && !is_copied(&owner.earlier_journals[n - 1], id.dest) {
                owner.earlier_journals.remove(n);
                continue;
            }
            owner.earlier_journals.truncate(n);
            moved.extend(self.move_to(&id, new.clone(), false));
            if let Some(owner) = self.open.get_mut(&id) {
                // The assigned successors have written no records: their journals are not needed.
                owner.earlier_journals.truncate(n);
                owner.earlier_journals.push(old.clone());
            }
        }
        moved
    }
}
