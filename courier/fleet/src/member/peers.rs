//! Messages of other couriers, and to them.

use super::*;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    pub(super) fn send_to(
        &mut self,
        to: Name,
        message: FleetMessage,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if to == self.config.local_name {
            let local_name = to.clone();
            return self.handle_message(local_name, message, now, out);
        }
        out.push(MemberOutput::Send(to, message));
        Ok(())
    }

    pub(super) fn receive(
        &mut self,
        envelope: Envelope,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if envelope.to != self.config.local_name || envelope.from == self.config.local_name {
            return Ok(());
        }
        self.names_by_node.insert(envelope.node_id, envelope.from.clone());
        for message in envelope.messages {
            if let FleetMessage::Agreement(bytes) = &message {
                let input =
                    agreement::AgreementInput::Receive { from: envelope.node_id, bytes: bytes.to_vec() };
                self.step_agreement(input, now, out)?;
                continue;
            }
            if let FleetMessage::Hello { fresh } = message {
                self.handle_hello(&envelope.from, envelope.node_id, fresh, now, out)?;
                continue;
            }
            self.handle_message(envelope.from.clone(), message, now, out)?;
        }
        Ok(())
    }

    /// Somebody who is no member yet asks who is there.
    pub(super) fn handle_hello(
        &mut self,
        from: &Name,
        node_id: NodeId,
        fresh: bool,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if fresh && self.fresh {
            self.fresh_voters.insert(from.clone());
        }
        out.push(MemberOutput::Send(from.clone(), FleetMessage::HelloReply { fresh: self.fresh }));
        if !self.is_leader || !self.config.peers.iter().any(|peer| peer.name == *from) {
            return Ok(());
        }
        let known = |tokens: Vec<NodeId>| tokens.contains(&node_id);
        if known(self.agreement.voters()) || known(self.agreement.learners()) {
            return Ok(());
        }
        // Its folder is a new one: whatever it was before does not come back.
        let all = self.agreement.voters().into_iter().chain(self.agreement.learners());
        let old = all.into_iter().find(|t| *t != node_id && self.names_by_node.get(t) == Some(from));
        let change = old.map_or(MembershipChange::AddLearner(node_id), MembershipChange::Remove);
        self.propose_membership_change(change, now, out)
    }

    pub(super) fn handle_message(
        &mut self,
        from: Name,
        message: FleetMessage,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        match message {
            FleetMessage::Hello { .. } | FleetMessage::Agreement(_) => {}
            FleetMessage::HelloReply { fresh } => {
                if fresh {
                    self.fresh_voters.insert(from);
                } else {
                    self.initialized_peers.insert(from);
                }
            }
            FleetMessage::Propose(command) => self.propose(command, now, out)?,
            FleetMessage::RenewLease { epoch, ticket } => {
                if self.is_leader
                    && self.state.epoch_of(&from) == Some(epoch)
                    && self.granted_leases.renew(&from, epoch, now)
                {
                    self.ticket += 1;
                    self.reads.insert(self.ticket, (from, epoch, ticket));
                    self.step_agreement(
                        agreement::AgreementInput::ReadIndex { ticket: self.ticket },
                        now,
                        out,
                    )?;
                }
            }
            FleetMessage::LeaseGranted { epoch, ticket } => {
                if self.epoch == Some(epoch) && !self.fenced {
                    self.lease.granted(ticket, &self.config);
                    self.shares.gate.extend_lease(self.lease.until());
                    out.push(MemberOutput::Lease(self.lease.until()));
                }
            }
            FleetMessage::Append { journal, generation, complete_len, offset, bytes } => {
                let known = self.state.journals.get(&journal).is_some_and(|b| b.sealed.is_none());
                if !known || journal.owner != from {
                    return Ok(());
                }
                if !self.replicas.contains_key(&journal) {
                    let store = self.stores.open(&store_name(&journal))?;
                    self.replicas.insert(journal.clone(), JournalReplica::open(store)?);
                }
                let used =
                    self.replicas.values().map(JournalReplica::used_bytes).sum::<u64>() + bytes.len() as u64;
                let Some(replica) = self.replicas.get_mut(&journal) else { return Ok(()) };
                let full = || {
                    io::Error::new(
                        io::ErrorKind::StorageFull,
                        format!(
                            "{used} bytes of copies, where {} are the most (limits.disk_mb)",
                            self.replica_capacity
                        ),
                    )
                };
                let done = if used > self.replica_capacity {
                    Err(full())
                } else {
                    replica.append(generation, complete_len, offset, &bytes)
                };
                match done {
                    Ok(Some((position, staged))) => {
                        self.rejected_replicas.remove(&journal);
                        out.push(MemberOutput::Send(
                            from,
                            FleetMessage::AppendAck { journal, position, staged },
                        ));
                    }
                    Ok(None) => {}
                    Err(e) => {
                        if self.rejected_replicas.insert(journal.clone()) {
                            out.push(MemberOutput::Notice(MemberNotice::ReplicaRejected {
                                journal,
                                what: e.to_string(),
                            }));
                        }
                    }
                }
            }
            FleetMessage::AppendAck { journal, position, staged } => {
                if let Some(replicator) =
                    self.replicator.as_mut().filter(|replicator| replicator.journal == journal)
                {
                    replicator.acknowledged(&from, position, staged, now);
                }
            }
            FleetMessage::Fetch { journal, offset } => {
                let reply = match self.replicas.get_mut(&journal) {
                    None => FleetMessage::UnknownJournal { journal },
                    Some(replica) => {
                        // Whoever asks knows that it is sealed; nothing may come to it after the first page.
                        replica.seal()?;
                        let (total, bytes) = replica.page(offset)?;
                        FleetMessage::Page { journal, offset, total, bytes }
                    }
                };
                self.send_to(from, reply, now, out)?;
            }
            FleetMessage::Page { journal, offset, total, bytes } => {
                let replicas = self.state.journals.get(&journal).map(|b| &b.replicas);
                let Some(fetch) = self.fetches.get_mut(&journal) else { return Ok(()) };
                let current = replicas.and_then(|c| c.iter().nth(fetch.replica_index % c.len().max(1)));
                if current != Some(&from) || total > MAX_JOURNAL_BYTES || fetch.bytes.len() as u64 != offset {
                    return Ok(());
                }
                fetch.bytes.extend_from_slice(&bytes);
                (fetch.retry_at, fetch.missing_replies) = (now, 0);
                if fetch.bytes.len() as u64 >= total {
                    self.finish_fetch(journal, out);
                }
            }
            FleetMessage::BudgetReport(kind, report) => {
                if self.is_leader && report.courier == from {
                    self.shares.receive_report(kind, report, now);
                }
            }
            FleetMessage::Settlement { message, payload } => {
                out.push(MemberOutput::SettlementReceived { from, message: *message, payload });
            }
            FleetMessage::UnknownJournal { journal } => {
                if let Some(fetch) = self.fetches.get_mut(&journal) {
                    fetch.missing_replies += 1;
                    let replicas = self.state.journals.get(&journal).map_or(0, |b| b.replicas.len());
                    if fetch.missing_replies == replicas.max(1) {
                        out.push(MemberOutput::Notice(MemberNotice::ReplicaUnavailable { journal }));
                    }
                }
            }
        }
        Ok(())
    }

    /// All of a sealed book is here: the parts that are this courier's go into its journal.
    pub(super) fn finish_fetch(&mut self, journal: JournalId, out: &mut Vec<MemberOutput>) {
        let Some(fetch) = self.fetches.remove(&journal) else { return };
        let Some(epoch) = self.epoch else { return };
        let partitions: Vec<_> = self
            .state
            .assigned_to(&self.config.local_name, epoch)
            .filter(|source| source.journal == journal && !self.pending.contains_key(source))
            .collect();
        if partitions.is_empty() {
            return;
        }
        // What had come to that book from others, and was settled as its own before it was sealed.
        let settled = self.state.journals.iter().flat_map(|(id, b)| {
            let partitions = b.sealed.iter().flatten().enumerate();
            let taken = PartitionState::Adopted(journal.owner.clone(), journal.epoch);
            partitions
                .filter(move |(_, p)| **p == taken)
                .map(|(partition, _)| PartitionId { journal: id.clone(), partition })
        });
        let settled = settled.collect();
        let bytes = fetch.bytes;
        for source in &partitions {
            // Not in the journal yet.
            self.pending.insert(
                source.clone(),
                PendingAdoption { offset: u64::MAX, adopted: false, recorded: false },
            );
        }
        out.push(MemberOutput::Notice(MemberNotice::TakeoverStarted {
            journal,
            partitions: partitions.len(),
            bytes: bytes.len(),
        }));
        out.push(MemberOutput::Adopt { partitions, settled, bytes });
    }
}
