//! Applies commands to the replicated state.

use super::{
    Epoch, FleetCommand, FleetEvent, FleetState, JournalId, MAX_JOURNALS, PARTITIONS, PartitionId,
    PartitionState, Registration, ReplicatedJournal, partition_of,
};
use crate::NodeId;
use crate::breaks::{self, Break};
use crate::config::{Name, rendezvous_weight};
use crate::settlement;
use std::collections::BTreeSet;

/// The fields of [`FleetCommand::Join`].
struct JoinRequest {
    name: Name,
    node_id: NodeId,
    incarnation: u64,
    journal: Option<Epoch>,
}

impl JoinRequest {
    fn is_of(&self, registration: &Registration) -> bool {
        registration.node_id == self.node_id && registration.incarnation == self.incarnation
    }
}

impl FleetState {
    /// Applies a command and returns the resulting changes. A command whose conditions no longer hold changes nothing.
    pub fn apply(&mut self, command: FleetCommand) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        match command {
            FleetCommand::Join { name, node_id, incarnation, journal } => {
                self.join(JoinRequest { name, node_id, incarnation, journal }, &mut events);
            }
            FleetCommand::Deregister { name, epoch } => {
                if self.epoch_of(&name) == Some(epoch) {
                    self.deregister(&name, epoch, &mut events);
                }
            }
            FleetCommand::SetReplicas { journal, version, replicas } => {
                self.set_replicas(journal, version, replicas, &mut events);
            }
            FleetCommand::Adopted { source, by, epoch } => self.adopt(source, by, epoch, &mut events),
            FleetCommand::Done { source, by, epoch } => {
                if let Some(partition) = self.partition_mut(&source)
                    && *partition == PartitionState::Adopted(by, epoch)
                {
                    *partition = PartitionState::Done;
                    self.retire_completed(&mut events);
                }
            }
            FleetCommand::Budget(kind, command) => {
                if self.shared.apply(kind, &command) {
                    events.push(FleetEvent::BudgetsChanged);
                }
            }
            FleetCommand::Settlement(command) => {
                if self.owner_is_serving(&command) {
                    events.extend(self.settlements.apply(&command).into_iter().map(FleetEvent::Settlement));
                }
            }
        }
        events
    }

    fn set_replicas(
        &mut self,
        id: JournalId,
        version: u64,
        replicas: BTreeSet<Name>,
        events: &mut Vec<FleetEvent>,
    ) {
        let serving = self.serving();
        let Some(journal) = self.journals.get_mut(&id) else { return };
        if journal.sealed.is_none()
            && journal.version == version
            && replicas.is_subset(&serving)
            && !replicas.contains(&id.owner)
        {
            journal.replicas = replicas;
            journal.version = version + 1;
            events.push(FleetEvent::ReplicasChanged(id));
        }
    }

    fn adopt(&mut self, source: PartitionId, by: Name, epoch: Epoch, events: &mut Vec<FleetEvent>) {
        if self.epoch_of(&by) != Some(epoch) {
            return;
        }
        let Some(partition) = self.partition_mut(&source) else { return };
        if *partition == PartitionState::Assigned(by.clone(), epoch) {
            *partition = PartitionState::Adopted(by.clone(), epoch);
            events.push(FleetEvent::Adopted(source, by, epoch));
        }
    }

    /// Whether the new owner that a settlement command names is a member under the given epoch. Commands without a new
    /// owner are always valid in this respect.
    fn owner_is_serving(&self, command: &settlement::SettlementCommand) -> bool {
        match command {
            settlement::SettlementCommand::Open { owner, owner_epoch, .. } => {
                self.epoch_of(owner) == Some(*owner_epoch)
            }
            settlement::SettlementCommand::Move { to, to_epoch, .. } => self.epoch_of(to) == Some(*to_epoch),
            _ => true,
        }
    }

    fn partition_mut(&mut self, source: &PartitionId) -> Option<&mut PartitionState> {
        self.journals.get_mut(&source.journal)?.sealed.as_mut()?.get_mut(source.partition)
    }

    fn join(&mut self, request: JoinRequest, events: &mut Vec<FleetEvent>) {
        let former = self.members.get(&request.name).cloned();
        // The same process may repeat its request if the reply was lost.
        if former.as_ref().is_some_and(|former| former.serving && request.is_of(former)) {
            return;
        }
        if self.journals.len() >= MAX_JOURNALS {
            return;
        }
        self.epoch += 1;
        let epoch = self.epoch;
        if former.as_ref().is_some_and(|former| former.node_id != request.node_id)
            && !breaks::is_enabled(Break::EmptyReplicaTrusted)
        {
            // A new node id means that the courier lost its folder with all replicas in it.
            self.drop_replicas_at(&request.name, true, events);
        }
        let former_journal =
            former.map(|former| JournalId { owner: request.name.clone(), epoch: former.epoch });
        let retained = former_journal.filter(|id| self.is_retained(id, request.journal));
        match &retained {
            Some(from) => self.rename_journal(from, epoch, events),
            None => self.begin_journal(&request.name, epoch, events),
        }
        let JoinRequest { name, node_id, incarnation, .. } = request;
        self.members.insert(name.clone(), Registration { node_id, incarnation, epoch, serving: true });
        self.shared.joined(&name, epoch);
        events.push(FleetEvent::Joined {
            name: name.clone(),
            epoch,
            incarnation,
            retained: retained.is_some(),
        });
        if let Some(from) = retained {
            self.reclaim_settlements(&name, from.epoch, epoch, events);
        }
        self.assign_partitions(events);
    }

    /// Whether a courier with a journal of the lineage `lineage` in its folder continues the journal `id`. It does if
    /// the lineage is that of `id` and no partition of the journal has been adopted.
    fn is_retained(&self, id: &JournalId, lineage: Option<Epoch>) -> bool {
        let Some(journal) = self.journals.get(id) else { return false };
        lineage == Some(journal.lineage)
            && journal.sealed.iter().flatten().all(|partition| {
                matches!(partition, PartitionState::Unassigned | PartitionState::Assigned(..))
            })
    }

    /// Continues the owner's journal under a new epoch.
    fn rename_journal(&mut self, from: &JournalId, epoch: Epoch, events: &mut Vec<FleetEvent>) {
        let to = JournalId { owner: from.owner.clone(), epoch };
        if let Some(mut journal) = self.journals.remove(from) {
            let serving = self.serving();
            journal.sealed = None;
            journal.version += 1;
            journal.replicas.retain(|replica| serving.contains(replica));
            self.journals.insert(to.clone(), journal);
        }
        self.reassign_partitions(&from.owner, from.epoch, epoch);
        events.push(FleetEvent::Renamed { from: from.clone(), to });
    }

    /// Creates a new journal for the courier. A former journal that never had replicas is removed, because no other
    /// courier can read it.
    fn begin_journal(&mut self, name: &Name, epoch: Epoch, events: &mut Vec<FleetEvent>) {
        if let Some(former) = self.members.get(name).cloned() {
            if former.serving {
                self.deregister(name, former.epoch, events);
            }
            let id = JournalId { owner: name.clone(), epoch: former.epoch };
            if self.journals.get(&id).is_some_and(|journal| journal.version == 0) {
                self.journals.remove(&id);
                events.push(FleetEvent::Retired(id));
            }
        }
        self.journals.insert(
            JournalId { owner: name.clone(), epoch },
            ReplicatedJournal { lineage: epoch, replicas: BTreeSet::new(), version: 0, sealed: None },
        );
    }

    /// Transfers the takeovers of a courier that continues its journal to its new epoch.
    fn reassign_partitions(&mut self, name: &str, from: Epoch, to: Epoch) {
        let partitions = self.journals.values_mut().filter_map(|journal| journal.sealed.as_mut()).flatten();
        for partition in partitions {
            match partition {
                PartitionState::Assigned(by, epoch) | PartitionState::Adopted(by, epoch)
                    if by == name && *epoch == from =>
                {
                    *epoch = to;
                }
                _ => {}
            }
        }
    }

    /// Removes a courier from the replicas. Its replicas of sealed journals stay listed, because they may be needed
    /// when the courier returns, unless its folder is lost (`lost`).
    fn drop_replicas_at(&mut self, name: &str, lost: bool, events: &mut Vec<FleetEvent>) {
        let affected = self.journals.iter_mut().filter(|(_, journal)| lost || journal.sealed.is_none());
        for (id, journal) in affected {
            // An owner that doesn't know of the loss yet may propose the lost replica; the new version invalidates
            // that.
            let may_be_requested = lost && journal.sealed.is_none() && journal.version > 0;
            if journal.replicas.remove(name) || may_be_requested {
                journal.version += 1;
                events.push(FleetEvent::ReplicasChanged(id.clone()));
            }
        }
    }

    fn deregister(&mut self, name: &str, epoch: Epoch, events: &mut Vec<FleetEvent>) {
        if let Some(member) = self.members.get_mut(name) {
            member.serving = false;
        }
        self.shared.end_registration(name, epoch);
        self.settlements.deregister(name, epoch);
        events.push(FleetEvent::Deregistered { name: name.into(), epoch });
        self.drop_replicas_at(name, false, events);
        let id = JournalId { owner: name.into(), epoch };
        // A journal that never had a replica can't be taken over, so it stays with its owner.
        if let Some(journal) = self.journals.get_mut(&id).filter(|journal| journal.version > 0) {
            journal.sealed = Some(vec![PartitionState::Unassigned; PARTITIONS]);
            events.push(FleetEvent::Sealed(id));
        }
        for journal in self.journals.values_mut() {
            for partition in journal.sealed.iter_mut().flatten() {
                if *partition == PartitionState::Assigned(name.into(), epoch) {
                    *partition = PartitionState::Unassigned;
                }
            }
        }
        self.assign_partitions(events);
    }

    /// Restores the ownership of settlements to a courier that continues its journal.
    fn reclaim_settlements(&mut self, name: &str, from: Epoch, to: Epoch, events: &mut Vec<FleetEvent>) {
        let journals = &self.journals;
        let read = |journal: &settlement::JournalRef, dest: u64| {
            let id = JournalId { owner: journal.courier.clone(), epoch: journal.epoch };
            let sealed = journals.get(&id).and_then(|journal| journal.sealed.as_ref());
            let partition = sealed.and_then(|partitions| partitions.get(partition_of(dest)));
            !matches!(partition, Some(PartitionState::Unassigned | PartitionState::Assigned(..)))
        };
        events.extend(self.settlements.reclaim(name, from, to, read).into_iter().map(FleetEvent::Settlement));
    }

    /// Assigns unassigned partitions and lost settlements to serving couriers by rendezvous hashing of the partition's
    /// number, so that each message has exactly one courier and the load is distributed.
    fn assign_partitions(&mut self, events: &mut Vec<FleetEvent>) {
        let serving: Vec<(Name, Epoch)> =
            self.serving_members().map(|(name, member)| (name.clone(), member.epoch)).collect();
        for (id, journal) in &mut self.journals {
            for (index, partition) in journal.sealed.iter_mut().flatten().enumerate() {
                let best =
                    serving.iter().max_by_key(|(name, _)| rendezvous_weight(&index.to_le_bytes(), name));
                if let (PartitionState::Unassigned, Some((name, epoch))) = (&*partition, best) {
                    *partition = PartitionState::Assigned(name.clone(), *epoch);
                    events.push(FleetEvent::Assigned(PartitionId { journal: id.clone(), partition: index }));
                }
            }
        }
        // A settlement's records are in the partition of its destination.
        let members = &self.members;
        let serves =
            |name: &str, epoch: Epoch| members.get(name).is_some_and(|m| m.serving && m.epoch == epoch);
        let successor = |dest: u64| {
            let partition = partition_of(dest).to_le_bytes();
            let best = serving.iter().max_by_key(|(name, _)| rendezvous_weight(&partition, name));
            best.map(|(name, epoch)| settlement::JournalRef { courier: name.clone(), epoch: *epoch })
        };
        events.extend(
            self.settlements.reassign_lost(serves, successor).into_iter().map(FleetEvent::Settlement),
        );
    }

    /// Removes journals whose partitions are all done. Partitions that such a journal had adopted are done as well,
    /// because its own partitions included their records. That may complete further journals.
    fn retire_completed(&mut self, events: &mut Vec<FleetEvent>) {
        loop {
            let complete = self.journals.iter().find(|(_, journal)| journal.is_complete());
            let Some(id) = complete.map(|(id, _)| id.clone()) else { return };
            self.journals.remove(&id);
            let adopted = PartitionState::Adopted(id.owner.clone(), id.epoch);
            let partitions =
                self.journals.values_mut().filter_map(|journal| journal.sealed.as_mut()).flatten();
            for partition in partitions.filter(|partition| **partition == adopted) {
                *partition = PartitionState::Done;
            }
            events.push(FleetEvent::Retired(id));
        }
    }
}
