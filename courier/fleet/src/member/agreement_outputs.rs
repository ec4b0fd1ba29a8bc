//! Handles the agreement's outputs: committed commands, snapshots, confirmed reads and leader changes.

use super::{AgreementLog, Member, MemberError, MemberNotice, MemberOutput, StoreDirectory};
use crate::agreement::{AgreementInput, AgreementOutput};
use crate::breaks::{self, Break};
use crate::config::Name;
use crate::message::FleetMessage;
use crate::state::{FleetCommand, FleetEvent, FleetState, JournalId, PartitionId};
use bytes::Bytes;
use quillmount_policy::Micros;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    pub(super) fn step_agreement(
        &mut self,
        input: AgreementInput,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let outputs = self.agreement.step(input, now);
        self.handle_agreement_outputs(outputs, now, out)
    }

    pub(super) fn handle_agreement_outputs(
        &mut self,
        outputs: Vec<AgreementOutput>,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let mut snapshot_requested = false;
        for output in outputs {
            match output {
                AgreementOutput::Send { to, bytes } => {
                    if let Some(name) = self.names_by_node.get(&to) {
                        let message = FleetMessage::Agreement(Bytes::from(bytes));
                        out.push(MemberOutput::Send(name.clone(), message));
                    }
                }
                AgreementOutput::Committed { index, command, .. } => {
                    self.applied_index = index;
                    self.apply_command(&command, now, out)?;
                }
                AgreementOutput::Restored { index, state } => {
                    self.applied_index = index;
                    let before = std::mem::take(&mut self.state);
                    self.restore(&state)?;
                    self.apply_restored(&before, now, out)?;
                }
                AgreementOutput::ReadReady { ticket } => {
                    if let Some(renewal) = self.pending_renewals.remove(&ticket) {
                        let reply =
                            FleetMessage::LeaseGranted { epoch: renewal.epoch, ticket: renewal.ticket };
                        self.send_to(renewal.member, reply, now, out)?;
                    }
                }
                AgreementOutput::Rejected { ticket, .. } | AgreementOutput::Indeterminate { ticket } => {
                    self.pending_renewals.remove(&ticket);
                }
                AgreementOutput::SnapshotRequested => snapshot_requested = true,
                AgreementOutput::MembershipChanged { .. } => self.report_voters(out),
                AgreementOutput::LeaderChanged { .. } => self.leader_changed(now, out),
                AgreementOutput::Failed(e) => {
                    out.push(MemberOutput::Notice(MemberNotice::Agreement(e.to_string())));
                }
                AgreementOutput::Halted(e) => return Err(e.into()),
            }
        }
        if snapshot_requested {
            let state = postcard::to_allocvec(&self.state)?;
            let snapshot = AgreementInput::Snapshot { through: self.applied_index, state };
            self.step_agreement(snapshot, now, out)?;
        }
        Ok(())
    }

    fn leader_changed(&mut self, now: Micros, out: &mut Vec<MemberOutput>) {
        let is_leader = self.agreement.is_leader();
        if is_leader && !self.is_leader {
            self.shares.begin_leadership(self.config.time_bounds());
            let leading_since = if breaks::is_enabled(Break::NoGrace) { 0 } else { now };
            self.granted_leases.begin_leadership(leading_since);
        }
        if is_leader != self.is_leader {
            out.push(MemberOutput::Notice(MemberNotice::Leading(is_leader)));
        }
        self.is_leader = is_leader;
        self.pending_renewals.clear();
    }

    fn report_voters(&mut self, out: &mut Vec<MemberOutput>) {
        let mut voters: Vec<Name> = self
            .agreement
            .voters()
            .iter()
            .map(|node_id| self.names_by_node.get(node_id).cloned().unwrap_or_else(|| format!("{node_id:x}")))
            .collect();
        voters.sort_unstable();
        if voters != self.reported_voters {
            self.reported_voters.clone_from(&voters);
            out.push(MemberOutput::Notice(MemberNotice::Voters(voters)));
        }
    }

    pub(super) fn apply_command(
        &mut self,
        command: &[u8],
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        // A command that can't be decoded was proposed by a later version. All couriers of this version skip it.
        let Ok(command) = postcard::from_bytes::<FleetCommand>(command) else { return Ok(()) };
        let registered = self.state.members.get(&self.config.local_name);
        // If a process with another data directory was registered under this name, other couriers take over all
        // journals of the name, including the one in this directory.
        self.is_first &= registered.is_none_or(|member| member.node_id == self.agreement.node_id());
        let events = self.state.apply(command);
        if !events.is_empty() {
            self.index_node_names();
        }
        events.into_iter().try_for_each(|event| self.apply_event(event, now, out))
    }

    /// Replaces the state by a decoded one; empty bytes stand for the state before the first command.
    pub(super) fn restore(&mut self, bytes: &[u8]) -> Result<(), MemberError> {
        self.state = if bytes.is_empty() { FleetState::default() } else { postcard::from_bytes(bytes)? };
        self.index_node_names();
        Ok(())
    }

    /// Applies the events between the state `before` and the current one, after a snapshot that replaced the commands
    /// between them.
    fn apply_restored(
        &mut self,
        before: &FleetState,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        self.forget_restarted_replicas(before);
        let mut events = self.removed_journals(before);
        events.extend(self.sealed_journals());
        events.extend(self.own_registration());
        events.into_iter().try_for_each(|event| self.apply_event(event, now, out))?;
        out.push(MemberOutput::SettlementsRestored);
        Ok(())
    }

    /// Discards the known positions of replicas at processes that have started since `before`: their data directories
    /// may be empty.
    fn forget_restarted_replicas(&mut self, before: &FleetState) {
        let Some(replicator) = &mut self.replication.replicator else { return };
        for (name, member) in &self.state.members {
            let earlier = before.members.get(name);
            if earlier.is_none_or(|earlier| earlier.incarnation != member.incarnation) {
                replicator.forget(name);
            }
        }
    }

    fn removed_journals(&self, before: &FleetState) -> Vec<FleetEvent> {
        let removed = before.journals.iter().filter(|(id, _)| !self.state.journals.contains_key(id));
        removed
            .map(|(id, earlier)| {
                let mut journals = self.state.journals.iter();
                let renamed =
                    journals.find(|(to, journal)| to.owner == id.owner && journal.lineage == earlier.lineage);
                match renamed {
                    Some((to, _)) => FleetEvent::Renamed { from: id.clone(), to: to.clone() },
                    None => FleetEvent::Retired(id.clone()),
                }
            })
            .collect()
    }

    fn sealed_journals(&self) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        for (id, journal) in &self.state.journals {
            let Some(partitions) = &journal.sealed else { continue };
            events.push(FleetEvent::Sealed(id.clone()));
            events.extend(
                (0..partitions.len())
                    .map(|partition| FleetEvent::Assigned(PartitionId { journal: id.clone(), partition })),
            );
        }
        events
    }

    /// Returns the event of this process's registration, if the snapshot contains the registration and it was not
    /// applied before.
    fn own_registration(&self) -> Option<FleetEvent> {
        let name = &self.config.local_name;
        let member = self.state.members.get(name)?;
        if member.incarnation != self.incarnation || !member.serving || self.epoch.is_some() {
            return None;
        }
        let id = JournalId { owner: name.clone(), epoch: member.epoch };
        let lineage = self.state.journals.get(&id).map(|journal| journal.lineage);
        Some(FleetEvent::Joined {
            name: name.clone(),
            epoch: member.epoch,
            incarnation: member.incarnation,
            // If the lineages are equal, this courier still owns the journal in its data directory.
            retained: lineage.is_some() && lineage == self.lineage,
        })
    }

    pub(super) fn index_node_names(&mut self) {
        for (name, member) in &self.state.members {
            self.names_by_node.insert(member.node_id, name.clone());
        }
    }
}
