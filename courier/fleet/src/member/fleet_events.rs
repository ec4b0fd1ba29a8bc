//! Applies changes of the agreed state to this member.

use super::stores::replica_store_name;
use super::{AgreementLog, Member, MemberError, MemberNotice, MemberOutput, StoreDirectory};
use crate::config::Name;
use crate::state::{Epoch, FleetEvent, JournalId};
use quillmount_policy::Micros;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    pub(super) fn apply_event(
        &mut self,
        event: FleetEvent,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        match event {
            FleetEvent::Joined { name, epoch, incarnation, retained } => {
                self.granted_leases.joined(&name, epoch, now);
                self.apply_budget_shares(now, out);
                if let Some(replicator) = &mut self.replication.replicator {
                    replicator.forget(&name);
                }
                if name == self.config.local_name {
                    self.registered(epoch, incarnation, retained, out)?;
                }
            }
            FleetEvent::BudgetsChanged => self.apply_budget_shares(now, out),
            FleetEvent::Settlement(event) => out.push(MemberOutput::Settlement(event)),
            FleetEvent::Deregistered { name, epoch } => {
                self.apply_budget_shares(now, out);
                self.deregistered(name, epoch, out);
            }
            FleetEvent::Renamed { from, to } => self.rename_replica(&from, to)?,
            FleetEvent::Sealed(journal) => {
                self.seal_replica(&journal)?;
                out.push(MemberOutput::Notice(MemberNotice::Sealed(journal)));
            }
            FleetEvent::ReplicasChanged(journal) => {
                if self.journal_id() == Some(journal) {
                    self.replication.proposed.clear();
                }
            }
            FleetEvent::Assigned(source) => self.partition_assigned(source, out),
            FleetEvent::Adopted(source, name, epoch) => self.partition_adopted(source, name, epoch, out),
            FleetEvent::Retired(journal) => {
                self.drop_replica(&journal)?;
                self.takeovers.fetches.remove(&journal);
                self.journal_retired(&journal, out);
            }
        }
        Ok(())
    }

    /// Handles the registration of a process with this courier's name.
    fn registered(
        &mut self,
        epoch: Epoch,
        incarnation: u64,
        retained: bool,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if self.epoch.is_some() {
            // The registration is of another process, or of this one by a repeated request. In both cases the first
            // registration of this process is void.
            self.fence(out);
        } else if incarnation == self.incarnation {
            self.epoch = Some(epoch);
            self.shares.gate.joined(epoch);
            self.drop_unknown_replicas()?;
            out.push(MemberOutput::Notice(MemberNotice::Joined { epoch, retained }));
            out.push(MemberOutput::Joined { epoch, retained });
        }
        Ok(())
    }

    fn deregistered(&mut self, name: Name, epoch: Epoch, out: &mut Vec<MemberOutput>) {
        let is_own = name == self.config.local_name && self.epoch == Some(epoch);
        out.push(MemberOutput::Notice(MemberNotice::Deregistered { name, epoch }));
        if !is_own {
            return;
        }
        if self.leaving {
            self.left = true;
            out.push(MemberOutput::Left);
        } else {
            self.fence(out);
        }
    }

    /// Fences this process, as its registration is void: it may not accept messages or start calls any more.
    fn fence(&mut self, out: &mut Vec<MemberOutput>) {
        if !self.fenced {
            self.fenced = true;
            self.shares.revoke_lease();
            self.lease.revoke();
            out.push(MemberOutput::Fenced);
        }
    }

    fn rename_replica(&mut self, from: &JournalId, to: JournalId) -> Result<(), MemberError> {
        let Some(replica) = self.replicas.remove(from) else { return Ok(()) };
        if !self.replicas.contains_key(&to) {
            let store = self.stores.open(&replica_store_name(&to))?;
            self.replicas.insert(to, replica.rename(store)?);
        }
        self.stores.remove(&replica_store_name(from))?;
        Ok(())
    }

    /// Seals the replica of a sealed journal, or drops it if this courier is not one of the agreed replicas.
    fn seal_replica(&mut self, journal: &JournalId) -> Result<(), MemberError> {
        let agreed = self.state.journals.get(journal);
        if !agreed.is_some_and(|agreed| agreed.replicas.contains(&self.config.local_name)) {
            return self.drop_replica(journal);
        }
        if let Some(replica) = self.replicas.get_mut(journal) {
            replica.seal()?;
        }
        Ok(())
    }
}
