//! Changes of owner: applies the ownership in the replicated state to the settlements of one courier.

use super::interface::OwnerOutput;
use super::machine::{PendingLoad, Phase, Settlement};
use super::owned::{OwnedSettlements, OwnerStep};
use crate::settlement::model::SettlementId;
use crate::settlement::registry::{JournalRef, SettlementEvent};
use crate::settlement::session::{SessionInput, SessionKey, SessionOutput, SessionState};

impl OwnedSettlements {
    /// Handles a change of the replicated state.
    pub(super) fn committed(&mut self, event: SettlementEvent, step: &mut OwnerStep) {
        match event {
            SettlementEvent::Opened { id, owner, term } if self.is_local(&owner) => {
                self.opened(id, term, step);
            }
            SettlementEvent::Moved { id, from, to, .. } => {
                if self.is_local(&from) {
                    self.remove(&id, &mut step.outputs);
                }
                if self.is_local(&to) {
                    self.take_ownership(&id, step);
                }
            }
            SettlementEvent::NotMoved { id, term, to } => self.move_rejected(id, term, to, step),
            SettlementEvent::CaughtUp { id, journals } => {
                let was_here = journals.iter().any(|journal| self.is_local(journal));
                let owner = step.registry.owner(&id);
                let is_here = owner.is_some_and(|owner| owner.is_registered_as(&self.local_name, self.epoch));
                if was_here && !is_here {
                    step.outputs.push(OwnerOutput::Forget { id });
                }
            }
            SettlementEvent::Closed { id, owner, .. } if self.is_local(&owner) => {
                self.remove(&id, &mut step.outputs);
                step.outputs.push(OwnerOutput::Forget { id });
            }
            SettlementEvent::Opened { .. }
            | SettlementEvent::NotOpened { .. }
            | SettlementEvent::Closed { .. } => {}
        }
    }

    fn is_local(&self, journal: &JournalRef) -> bool {
        journal.courier == self.local_name && journal.epoch == self.epoch
    }

    /// Creates a settlement in its first phase at this courier. If the courier drains, the settlement has to leave
    /// too.
    fn new_settlement(&self, id: &SettlementId, term: u64, phase: Phase, step: &OwnerStep) -> Settlement {
        let mode = self.modes.get(&id.dest).copied().unwrap_or_default();
        let mut settlement = Settlement::new(id.clone(), term, mode, phase, step.now);
        settlement.handover = self.draining.clone();
        settlement
    }

    fn opened(&mut self, id: SettlementId, term: u64, step: &mut OwnerStep) {
        let settlement = self.new_settlement(&id, term, Phase::Idle, step);
        self.settlements.entry(id.clone()).or_insert(settlement);
        self.with_settlement(&id, step, |s, _, cx| s.advance(Vec::new(), cx));
    }

    fn move_rejected(&mut self, id: SettlementId, term: u64, to: JournalRef, step: &mut OwnerStep) {
        if let Some(draining) = &mut self.draining {
            draining.successors.retain(|successor| *successor != to);
        }
        let mut stays = false;
        self.with_settlement(&id, step, |s, _, cx| stays = s.move_rejected(term, &to, cx));
        // This reads the journal again, because writes that completed after the move was proposed were ignored in
        // memory.
        if stays {
            self.remove(&id, &mut step.outputs);
            self.take_ownership(&id, step);
        }
    }

    /// Begins the ownership of a settlement by reading the records of its earlier owners.
    fn take_ownership(&mut self, id: &SettlementId, step: &mut OwnerStep) {
        let owner =
            step.registry.owner(id).filter(|owner| owner.is_registered_as(&self.local_name, self.epoch));
        let Some(owner) = owner else { return };
        self.remove(id, &mut step.outputs);
        let settlement = self.new_settlement(id, owner.term, Phase::Fetching { retry_at: step.now }, step);
        self.settlements.insert(id.clone(), settlement);
        self.with_settlement(id, step, |s, owner, cx| s.fetch(owner, cx));
    }

    /// Handles the replacement of the replicated state by a snapshot: removes settlements that this courier no
    /// longer owns, and begins the ownership of new ones.
    pub(super) fn snapshot_installed(&mut self, step: &mut OwnerStep) {
        let registry = step.registry;
        let is_here = |id: &SettlementId, term| {
            registry.owner(id).is_some_and(|owner| {
                owner.is_registered_as(&self.local_name, self.epoch) && owner.term == term
            })
        };
        let gone = self.settlements.iter().filter(|(id, settlement)| !is_here(id, settlement.term));
        let gone: Vec<SettlementId> = gone.map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| self.remove(id, &mut step.outputs));
        let owned =
            registry.owners().filter(|(_, owner)| owner.is_registered_as(&self.local_name, self.epoch));
        let new = owned.map(|(id, _)| id).filter(|id| !self.settlements.contains_key(id));
        let new: Vec<SettlementId> = new.cloned().collect();
        new.iter().for_each(|id| self.take_ownership(id, step));
    }

    /// Removes a settlement that this courier no longer owns, and drops its session.
    pub(super) fn remove(&mut self, id: &SettlementId, outputs: &mut Vec<OwnerOutput>) {
        let Some(mut settlement) = self.settlements.remove(id) else { return };
        if let Some(at) = settlement.wake_at() {
            self.due.remove(&(at, id.clone()));
        }
        if let Phase::Writing { seq, .. } = settlement.phase {
            self.writes.remove(&seq);
        }
        for seq in settlement.pending.keys() {
            self.writes.remove(seq);
        }
        self.change_load(id, settlement.load(), PendingLoad::default());
        let session = settlement.session_number;
        match settlement.session.state() {
            SessionState::None => {}
            SessionState::Dropping => {
                self.dropping.insert(SessionKey { settlement: id.clone(), session });
            }
            _ => match settlement.session.step(SessionInput::Leave, 0) {
                SessionOutput::Drop => {
                    outputs.push(OwnerOutput::Drop { id: id.clone(), session });
                    self.dropping.insert(SessionKey { settlement: id.clone(), session });
                }
                _ => self.unpin(id, session, outputs),
            },
        }
    }
}
