//! What is due as time passes: the lease, copies of this courier's book, sealed books that are read, what is wanted.

use super::*;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    pub(super) fn propose(
        &mut self,
        command: FleetCommand,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if !self.is_leader {
            return Ok(());
        }
        let command = postcard::to_allocvec(&command)?;
        self.ticket += 1;
        self.step_agreement(agreement::AgreementInput::Propose { ticket: self.ticket, command }, now, out)
    }

    /// What is to be done by what is known.
    pub(super) fn run_maintenance(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        self.maintenance_at = now + MAINTENANCE_INTERVAL;
        self.send_hello(now, out)?;
        if self.fenced || self.left {
            return Ok(());
        }
        self.renew_lease(now, out)?;
        self.maintain_replicas(now, out);
        self.maintain_budget_shares(now, out)?;
        self.fetch_sealed(now, out)?;
        self.propose_wanted(now, out)?;
        if self.is_leader {
            self.lead(now, out)?;
        }
        Ok(())
    }

    /// Says hello until it is a member; a fleet's first voter begins it.
    pub(super) fn send_hello(&mut self, now: Micros, out: &mut Vec<MemberOutput>) -> Result<(), MemberError> {
        self.fresh &= self.agreement.leader().is_none() && self.agreement.voters().is_empty();
        if self.epoch.is_some() || now < self.hello_at {
            return Ok(());
        }
        self.hello_at = now + RETRY_INTERVAL;
        let others: Vec<_> = self.config.others().cloned().collect();
        let (fresh, voters) = (self.fresh, &self.config.voters);
        let first = voters.first() == Some(&self.config.local_name);
        if fresh
            && first
            && self.initialized_peers.is_empty()
            && voters[1..].iter().all(|voter| self.fresh_voters.contains(voter))
        {
            out.push(MemberOutput::Notice(MemberNotice::Bootstrapping));
            self.fresh = false;
            let begun = self.agreement.bootstrap(now)?;
            return self.handle_agreement(begun, now, out);
        }
        out.extend(others.into_iter().map(|name| MemberOutput::Send(name, FleetMessage::Hello { fresh })));
        Ok(())
    }

    pub(super) fn renew_lease(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let Some(epoch) = self.epoch else { return Ok(()) };
        if let Some(leader) = self.leader()
            && let Some(ticket) = self.lease.next_renewal(&self.config, now)
        {
            self.send_to(leader, FleetMessage::RenewLease { epoch, ticket }, now, out)?;
        }
        let lease_lost = !self.lease.is_valid(now);
        if lease_lost != self.lease_lost {
            self.lease_lost = lease_lost;
            out.push(MemberOutput::Notice(MemberNotice::LeaseLost(lease_lost)));
        }
        Ok(())
    }

    pub(super) fn leader(&self) -> Option<Name> {
        self.agreement.leader().and_then(|node_id| {
            if node_id == self.agreement.node_id() {
                Some(self.config.local_name.clone())
            } else {
                self.names_by_node.get(&node_id).cloned()
            }
        })
    }

    /// The copies that this courier's book should have.
    pub(super) fn wanted_replicas(&self) -> BTreeSet<Name> {
        let serving = self.state.serving();
        let order = self.config.replica_order(&serving);
        order.into_iter().filter(|name| !self.lagging.contains_key(name)).take(self.config.replicas).collect()
    }

    pub(super) fn agreed_replicas(&self) -> Option<(u64, &BTreeSet<Name>)> {
        let journal = self.state.journals.get(&self.journal_id()?)?;
        Some((journal.version, &journal.replicas))
    }

    pub(super) fn maintain_replicas(&mut self, now: Micros, out: &mut Vec<MemberOutput>) {
        self.lagging.retain(|_, until| now < *until);
        let Some((version, agreed)) = self.agreed_replicas() else { return };
        let (agreed, span) = (agreed.clone(), self.config.lease * MAX_LAG_LEASES);
        let Some(replicator) = &self.replicator else { return };
        let wanted = self.wanted_replicas();
        // One that is not a copy yet, too: another is to be one instead.
        for name in agreed.union(&wanted) {
            if replicator.lag(name, now) > span && !self.lagging.contains_key(name) {
                self.lagging.insert(name.clone(), now + span);
                out.push(MemberOutput::Notice(MemberNotice::ReplicaLagging { name: name.clone() }));
            }
        }
        let wanted = self.wanted_replicas();
        let all: BTreeSet<Name> = agreed.iter().chain(&wanted).chain(&self.proposed).cloned().collect();
        let Some(replicator) = &mut self.replicator else { return };
        replicator.set_replicas(&all, now);
        out.extend(
            replicator.next_pages(now).into_iter().map(|(name, message)| MemberOutput::Send(name, message)),
        );
        let needed: BTreeSet<Name> = agreed.iter().chain(&self.proposed).cloned().collect();
        let replicas_suffice = match self.config.missing_replicas {
            MissingReplicas::Require => !agreed.is_empty(),
            MissingReplicas::Prefer => version > 0,
        };
        let replicated = if breaks::on(Break::ReplicatedAtOnce) {
            replicator.written()
        } else if replicas_suffice {
            replicator.replicated_offset(&needed)
        } else {
            self.replicated_offset
        };
        if replicated > self.replicated_offset {
            self.replicated_offset = replicated;
            out.push(MemberOutput::Replicated(replicated));
        }
        let reported = Some((agreed, replicas_suffice));
        if self.reported_replicas != reported {
            self.reported_replicas = reported;
            out.extend(
                self.reported_replicas.clone().map(|(at, enough)| MemberOutput::Replicas { at, enough }),
            );
        }
    }

    /// Reads sealed books of which parts are this courier's, from any copy.
    pub(super) fn fetch_sealed(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let Some(epoch) = self.epoch.filter(|_| self.replicator.is_some()) else { return Ok(()) };
        let given = self.state.assigned_to(&self.config.local_name, epoch);
        let wanted: BTreeSet<JournalId> =
            given.filter(|source| !self.pending.contains_key(source)).map(|source| source.journal).collect();
        self.fetches.retain(|journal, _| wanted.contains(journal));
        for journal in wanted {
            let replicas: Vec<Name> = self
                .state
                .journals
                .get(&journal)
                .map(|b| b.replicas.iter().cloned().collect())
                .unwrap_or_default();
            let fetch = self.fetches.entry(journal.clone()).or_insert(SealedFetch {
                bytes: Vec::new(),
                replica_index: 0,
                retry_at: now,
                missing_replies: 0,
            });
            if now < fetch.retry_at || replicas.is_empty() {
                continue;
            }
            if fetch.retry_at != now {
                // It did not answer in time: the next, from the beginning, as copies differ behind what counts.
                fetch.replica_index += 1;
                fetch.bytes.clear();
            }
            fetch.retry_at = now + FETCH_RETRY_INTERVAL;
            let (offset, from) =
                (fetch.bytes.len() as u64, replicas[fetch.replica_index % replicas.len()].clone());
            self.send_to(from, FleetMessage::Fetch { journal, offset }, now, out)?;
        }
        Ok(())
    }

    /// What this courier wants the fleet to agree on.
    pub(super) fn wanted_commands(&mut self) -> Vec<FleetCommand> {
        let (local_name, mut commands) = (self.config.local_name.clone(), Vec::new());
        let Some(epoch) = self.epoch else {
            if self.agreement.leader().is_some() {
                let (node_id, incarnation) = (self.agreement.node_id(), self.incarnation);
                commands.push(FleetCommand::Join {
                    name: local_name,
                    node_id,
                    incarnation,
                    journal: self.lineage,
                });
            }
            return commands;
        };
        if self.leaving {
            commands.push(FleetCommand::Deregister { name: local_name, epoch });
            return commands;
        }
        for (source, pending) in &self.pending {
            let (source, by) = (source.clone(), local_name.clone());
            match self.state.partition(&source) {
                Some(PartitionState::Assigned(..)) if pending.offset <= self.replicated_offset => {
                    commands.push(FleetCommand::Adopted { source, by, epoch });
                }
                Some(PartitionState::Adopted(..))
                    if pending.recorded && pending.offset <= self.replicated_offset =>
                {
                    commands.push(FleetCommand::Done { source, by, epoch });
                }
                _ => {}
            }
        }
        if self.replicator.is_some() {
            // Settled in the journal, by this process or the one before.
            let taken = PartitionState::Adopted(local_name.clone(), epoch);
            for (id, b) in &self.state.journals {
                for (partition, _) in b.sealed.iter().flatten().enumerate().filter(|(_, p)| **p == taken) {
                    let source = PartitionId { journal: id.clone(), partition };
                    if !self.pending.contains_key(&source) {
                        commands.push(FleetCommand::Done { source, by: local_name.clone(), epoch });
                    }
                }
            }
        }
        let wanted = self.wanted_replicas();
        let (Some((version, agreed)), Some(replicator), Some(journal)) =
            (self.agreed_replicas(), &self.replicator, self.journal_id())
        else {
            return commands;
        };
        // One that has the book, and all that counts by now: what is safe at the copies of now may be on its way to it.
        let has_all = |name: &&Name| {
            replicator.has_ever_completed(name)
                && replicator.replicated_offset(&BTreeSet::from([(*name).clone()])) >= self.replicated_offset
        };
        let caught_up: BTreeSet<Name> = wanted.iter().filter(has_all).cloned().collect();
        let all_caught_up = caught_up.len() == wanted.len();
        let mut next: BTreeSet<Name> = agreed.union(&caught_up).cloned().collect();
        if all_caught_up && !wanted.is_empty() {
            next = wanted;
        }
        if self.config.missing_replicas == MissingReplicas::Prefer {
            next.retain(|name| !self.lagging.contains_key(name));
        }
        let alone =
            next.is_empty() && self.config.missing_replicas == MissingReplicas::Prefer && version == 0;
        if next != *agreed || alone {
            self.proposed.extend(next.iter().cloned());
            commands.push(FleetCommand::SetReplicas { journal, version, replicas: next });
        }
        commands
    }

    pub(super) fn propose_wanted(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let commands = self.wanted_commands();
        self.resolve_pending(out);
        self.outstanding.retain(|(command, at)| commands.contains(command) && now < *at);
        for command in commands {
            if self.outstanding.iter().any(|(sent, _)| *sent == command) {
                continue;
            }
            let Some(leader) = self.leader() else { continue };
            self.outstanding.push((command.clone(), now + RETRY_INTERVAL));
            self.send_to(leader, FleetMessage::Propose(command), now, out)?;
        }
        Ok(())
    }

    /// Parts that were in the journal at the start, or whose end was agreed meanwhile.
    pub(super) fn resolve_pending(&mut self, out: &mut Vec<MemberOutput>) {
        if self.epoch.is_none() {
            return;
        }
        let sources: Vec<_> = self.pending.keys().cloned().collect();
        for source in sources {
            let taken = matches!(self.state.partition(&source), Some(PartitionState::Adopted(..)));
            let mine = self.is_assigned_here(&source);
            let Some(pending) = self.pending.get_mut(&source) else { continue };
            if pending.adopted {
                let ended = !mine;
                if ended && pending.recorded {
                    self.pending.remove(&source);
                }
            } else if !mine {
                self.pending.remove(&source);
                out.push(MemberOutput::ResolveAdoption { source, adopted: false });
            } else if taken || breaks::on(Break::AdoptedAtOnce) {
                pending.adopted = true;
                out.push(MemberOutput::ResolveAdoption { source, adopted: true });
            }
        }
    }
}
