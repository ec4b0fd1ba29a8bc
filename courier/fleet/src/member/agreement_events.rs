//! What the couriers agreed on, applied to this one.

use super::*;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    pub(super) fn step_agreement(
        &mut self,
        input: agreement::AgreementInput,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let outputs = self.agreement.step(input, now);
        self.handle_agreement(outputs, now, out)
    }

    pub(super) fn handle_agreement(
        &mut self,
        outputs: Vec<agreement::AgreementOutput>,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let mut shorten = false;
        for output in outputs {
            match output {
                agreement::AgreementOutput::Send { to, bytes } => {
                    if let Some(name) = self.names_by_node.get(&to) {
                        out.push(MemberOutput::Send(
                            name.clone(),
                            FleetMessage::Agreement(Bytes::from(bytes)),
                        ));
                    }
                }
                agreement::AgreementOutput::Committed { index, command, .. } => {
                    self.applied_index = index;
                    self.apply(&command, now, out)?;
                }
                agreement::AgreementOutput::Restored { index, state } => {
                    self.applied_index = index;
                    let before = std::mem::take(&mut self.state);
                    self.restore(&state)?;
                    self.apply_restored(&before, now, out)?;
                }
                agreement::AgreementOutput::ReadReady { ticket } => {
                    if let Some((name, epoch, ticket)) = self.reads.remove(&ticket) {
                        self.send_to(name, FleetMessage::LeaseGranted { epoch, ticket }, now, out)?;
                    }
                }
                agreement::AgreementOutput::Rejected { ticket, .. }
                | agreement::AgreementOutput::Indeterminate { ticket } => {
                    self.reads.remove(&ticket);
                }
                agreement::AgreementOutput::SnapshotWanted => shorten = true,
                agreement::AgreementOutput::MembershipChanged { .. } => self.voters_changed(out),
                agreement::AgreementOutput::LeaderChanged { .. } => {
                    let leads = self.agreement.leads();
                    if leads && !self.is_leader {
                        self.shares.begin_leadership(self.config.time_bounds());
                        self.granted_leases.begin_leadership(if breaks::on(Break::NoGrace) {
                            0
                        } else {
                            now
                        });
                    }
                    if leads != self.is_leader {
                        out.push(MemberOutput::Notice(MemberNotice::Leading(leads)));
                    }
                    self.is_leader = leads;
                    self.reads.clear();
                }
                agreement::AgreementOutput::Failed(e) => {
                    out.push(MemberOutput::Notice(MemberNotice::Agreement(e.to_string())))
                }
                agreement::AgreementOutput::Halted(e) => return Err(e.into()),
            }
        }
        if shorten {
            let state = postcard::to_allocvec(&self.state)?;
            self.step_agreement(
                agreement::AgreementInput::Snapshot { through: self.applied_index, state },
                now,
                out,
            )?;
        }
        Ok(())
    }

    pub(super) fn voters_changed(&mut self, out: &mut Vec<MemberOutput>) {
        let name = |node_id: &NodeId| {
            self.names_by_node.get(node_id).cloned().unwrap_or_else(|| format!("{node_id:x}"))
        };
        let mut voters: Vec<Name> = self.agreement.voters().iter().map(name).collect();
        voters.sort_unstable();
        if voters != self.voters {
            self.voters.clone_from(&voters);
            out.push(MemberOutput::Notice(MemberNotice::Voters(voters)));
        }
    }

    pub(super) fn restore(&mut self, bytes: &[u8]) -> Result<(), MemberError> {
        self.state = if bytes.is_empty() { FleetState::default() } else { postcard::from_bytes(bytes)? };
        self.index_node_names();
        Ok(())
    }

    /// The state is a later one, and what led there was not told: what matters is in the difference.
    pub(super) fn apply_restored(
        &mut self,
        before: &FleetState,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let mut events = Vec::new();
        if let Some(replicator) = &mut self.replicator {
            let other = |(name, m): &(&Name, &Registration)| {
                before.members.get(*name).is_none_or(|b| b.incarnation != m.incarnation)
            };
            self.state.members.iter().filter(other).for_each(|(name, _)| replicator.forget(name));
        }
        for id in before.journals.keys().filter(|id| !self.state.journals.contains_key(id)) {
            let lineage = before.journals[id].lineage;
            let renamed =
                self.state.journals.iter().find(|(to, b)| to.owner == id.owner && b.lineage == lineage);
            events.push(match renamed {
                Some((to, _)) => FleetEvent::Renamed { from: id.clone(), to: to.clone() },
                None => FleetEvent::Retired(id.clone()),
            });
        }
        for (id, journal) in self.state.journals.iter().filter(|(_, b)| b.sealed.is_some()) {
            events.push(FleetEvent::Sealed(id.clone()));
            let partitions = 0..journal.sealed.as_ref().map_or(0, Vec::len);
            events.extend(
                partitions
                    .map(|partition| FleetEvent::Assigned(PartitionId { journal: id.clone(), partition })),
            );
        }
        if let Some(m) = self
            .state
            .members
            .get(&self.config.local_name)
            .filter(|m| m.incarnation == self.incarnation && m.serving)
        {
            // Its own line is known: it is the same where the book in its folder is still its own.
            let lineage = self
                .state
                .journals
                .get(&JournalId { owner: self.config.local_name.clone(), epoch: m.epoch })
                .map(|b| b.lineage);
            let (name, epoch, incarnation) = (self.config.local_name.clone(), m.epoch, m.incarnation);
            if self.epoch.is_none() {
                events.push(FleetEvent::Joined {
                    name,
                    epoch,
                    incarnation,
                    retained: lineage.is_some() && lineage == self.lineage,
                });
            }
        }
        events.into_iter().try_for_each(|event| self.apply_event(event, now, out))?;
        out.push(MemberOutput::SettlementsRestored);
        Ok(())
    }

    pub(super) fn apply(
        &mut self,
        command: &[u8],
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        // One that can't be read is of a later version: all of this version skip it alike.
        let Ok(command) = postcard::from_bytes::<FleetCommand>(command) else { return Ok(()) };
        let known = self.state.members.get(&self.config.local_name);
        // Another folder's process had this name: what it owed is others', wherever it is read from.
        self.is_first &= known.is_none_or(|m| m.node_id == self.agreement.node_id());
        let events = self.state.apply(command);
        if !events.is_empty() {
            self.index_node_names();
        }
        events.into_iter().try_for_each(|event| self.apply_event(event, now, out))
    }

    pub(super) fn index_node_names(&mut self) {
        for (name, m) in &self.state.members {
            self.names_by_node.insert(m.node_id, name.clone());
        }
    }

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
                if let Some(replicator) = &mut self.replicator {
                    replicator.forget(&name);
                }
                // A word that was said again may register the same process twice: what it has begun on is over then.
                if name == self.config.local_name && incarnation == self.incarnation && self.epoch.is_none() {
                    self.epoch = Some(epoch);
                    self.shares.gate.joined(epoch);
                    self.drop_unknown_replicas()?;
                    out.push(MemberOutput::Notice(MemberNotice::Joined { epoch, retained }));
                    out.push(MemberOutput::Joined { epoch, retained });
                } else if name == self.config.local_name && self.epoch.is_some() {
                    self.fence(out);
                }
            }
            FleetEvent::BudgetsChanged => self.apply_budget_shares(now, out),
            FleetEvent::Settlement(event) => out.push(MemberOutput::Settlement(event)),
            FleetEvent::Deregistered { name, epoch } => {
                self.apply_budget_shares(now, out);
                out.push(MemberOutput::Notice(MemberNotice::Deregistered { name: name.clone(), epoch }));
                if name == self.config.local_name && self.epoch == Some(epoch) {
                    if self.leaving {
                        self.left = true;
                        out.push(MemberOutput::Left);
                    } else {
                        self.fence(out);
                    }
                }
            }
            FleetEvent::Renamed { from, to } => {
                if let Some(replica) = self.replicas.remove(&from) {
                    if !self.replicas.contains_key(&to) {
                        let store = self.stores.open(&store_name(&to))?;
                        self.replicas.insert(to, replica.rename(store)?);
                    }
                    self.stores.remove(&store_name(&from))?;
                }
            }
            FleetEvent::Sealed(journal) => {
                let is_replica = self
                    .state
                    .journals
                    .get(&journal)
                    .is_some_and(|b| b.replicas.contains(&self.config.local_name));
                if is_replica && let Some(replica) = self.replicas.get_mut(&journal) {
                    replica.seal()?;
                } else if !is_replica {
                    self.drop_replica(&journal)?;
                }
                out.push(MemberOutput::Notice(MemberNotice::Sealed(journal)));
            }
            FleetEvent::ReplicasChanged(journal) => {
                if self.journal_id() == Some(journal) {
                    self.proposed.clear();
                }
            }
            FleetEvent::Assigned(source) => {
                if self.pending.get(&source).is_some_and(|p| !p.adopted) && !self.is_assigned_here(&source) {
                    self.pending.remove(&source);
                    out.push(MemberOutput::ResolveAdoption { source, adopted: false });
                }
            }
            FleetEvent::Adopted(source, name, epoch) => {
                let mine = name == self.config.local_name && self.epoch == Some(epoch);
                match self.pending.get_mut(&source) {
                    Some(pending) if mine => {
                        let before = std::mem::replace(&mut pending.adopted, true);
                        out.extend(
                            (!before).then_some(MemberOutput::ResolveAdoption { source, adopted: true }),
                        );
                    }
                    Some(_) => {
                        self.pending.remove(&source);
                        out.push(MemberOutput::ResolveAdoption { source, adopted: false });
                    }
                    None => {}
                }
            }
            FleetEvent::Retired(journal) => {
                self.drop_replica(&journal)?;
                self.fetches.remove(&journal);
                let lost: Vec<_> = self.pending.keys().filter(|s| s.journal == journal).cloned().collect();
                for source in lost {
                    if self.pending.remove(&source).is_some_and(|p| !p.adopted) {
                        out.push(MemberOutput::ResolveAdoption { source, adopted: false });
                    }
                }
            }
        }
        Ok(())
    }

    /// What this courier may use of partners' budgets.
    pub fn shares(&mut self) -> &mut BudgetShares {
        &mut self.shares
    }

    pub(super) fn apply_budget_shares(&mut self, now: Micros, out: &mut Vec<MemberOutput>) {
        if self.shares.is_configured() {
            let orders = self.shares.apply_state(&self.state.shared, now);
            out.extend((!orders.is_empty()).then_some(MemberOutput::CloseConnections(orders)));
        }
    }

    /// Tells the leader what is used and wanted; whoever leads moves what is to be moved.
    pub(super) fn maintain_budget_shares(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if !self.shares.is_configured() {
            return Ok(());
        }
        let orders = self.shares.gate.tick(now);
        out.extend((!orders.is_empty()).then_some(MemberOutput::CloseConnections(orders)));
        if let Some(leader) = self.leader().filter(|_| self.epoch.is_some()) {
            for (kind, report) in self.shares.reports(now) {
                self.send_to(leader.clone(), FleetMessage::BudgetReport(kind, report), now, out)?;
            }
        }
        if self.is_leader {
            for (kind, command) in self.shares.commands(&self.state.shared, now) {
                self.propose(FleetCommand::Budget(kind, command), now, out)?;
            }
        }
        Ok(())
    }

    pub(super) fn fence(&mut self, out: &mut Vec<MemberOutput>) {
        if !self.fenced {
            self.fenced = true;
            self.shares.revoke_lease();
            self.lease.revoke();
            out.push(MemberOutput::Fenced);
        }
    }

    pub(super) fn drop_replica(&mut self, journal: &JournalId) -> Result<(), MemberError> {
        self.rejected_replicas.remove(journal);
        if self.replicas.remove(journal).is_some() {
            self.stores.remove(&store_name(journal))?;
        }
        Ok(())
    }

    /// Copies of books that nobody knows any more: what was agreed up to the own registration is all that was before it.
    pub(super) fn drop_unknown_replicas(&mut self) -> Result<(), MemberError> {
        let gone: Vec<_> =
            self.replicas.keys().filter(|id| !self.state.journals.contains_key(id)).cloned().collect();
        gone.iter().try_for_each(|id| self.drop_replica(id))
    }

    pub(super) fn is_assigned_here(&self, source: &PartitionId) -> bool {
        let mine = |name: &Name, epoch: Epoch| *name == self.config.local_name && self.epoch == Some(epoch);
        match self.state.partition(source) {
            Some(PartitionState::Assigned(name, epoch) | PartitionState::Adopted(name, epoch)) => {
                mine(name, *epoch)
            }
            _ => false,
        }
    }
}
