//! Commands that this member proposes. They are sent to the leader until they are committed.

use super::{AgreementLog, Member, MemberError, MemberOutput, RETRY_INTERVAL, StoreDirectory};
use crate::agreement::AgreementInput;
use crate::message::FleetMessage;
use crate::state::{Epoch, FleetCommand, PartitionState};
use quillmount_policy::Micros;

/// A command that was sent to the leader.
#[derive(Clone, Debug)]
pub(super) struct OutstandingProposal {
    command: FleetCommand,
    /// Time of the next retry, if the command still has to be proposed.
    retry_at: Micros,
}

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// Proposes a command to the agreement. Without effect if this courier is not the leader.
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
        let ticket = self.next_ticket();
        self.step_agreement(AgreementInput::Propose { ticket, command }, now, out)
    }

    /// Sends the commands that are to be committed to the leader, each once per [`RETRY_INTERVAL`].
    pub(super) fn propose_wanted(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let commands = self.wanted_commands();
        self.resolve_pending(out);
        self.outstanding_proposals
            .retain(|proposal| commands.contains(&proposal.command) && now < proposal.retry_at);
        for command in commands {
            if self.outstanding_proposals.iter().any(|proposal| proposal.command == command) {
                continue;
            }
            let Some(leader) = self.leader() else { continue };
            let retry_at = now + RETRY_INTERVAL;
            self.outstanding_proposals.push(OutstandingProposal { command: command.clone(), retry_at });
            self.send_to(leader, FleetMessage::Propose(command), now, out)?;
        }
        Ok(())
    }

    fn wanted_commands(&mut self) -> Vec<FleetCommand> {
        let Some(epoch) = self.epoch else {
            return self.wanted_registration().into_iter().collect();
        };
        if self.leaving {
            return vec![FleetCommand::Deregister { name: self.config.local_name.clone(), epoch }];
        }
        let mut commands = self.wanted_adoptions(epoch);
        commands.extend(self.wanted_replica_change());
        commands
    }

    fn wanted_registration(&self) -> Option<FleetCommand> {
        self.agreement.leader()?;
        Some(FleetCommand::Join {
            name: self.config.local_name.clone(),
            node_id: self.agreement.node_id(),
            incarnation: self.incarnation,
            journal: self.lineage,
        })
    }

    /// Returns the commands for adoptions whose records are replicated, and for adoptions whose resolution is
    /// replicated.
    fn wanted_adoptions(&self, epoch: Epoch) -> Vec<FleetCommand> {
        let mut commands = Vec::new();
        let replicated_offset = self.replication.replicated_offset;
        for (source, pending) in &self.takeovers.pending {
            let Some(agreed) = self.state.partition(source) else { continue };
            if !pending.may_be_proposed(agreed, replicated_offset) {
                continue;
            }
            let (source, by) = (source.clone(), self.config.local_name.clone());
            commands.push(if matches!(agreed, PartitionState::Assigned(..)) {
                FleetCommand::Adopted { source, by, epoch }
            } else {
                FleetCommand::Done { source, by, epoch }
            });
        }
        if self.replication.replicator.is_some() {
            // The journal already contains the resolution of these adoptions, by this process or an earlier one.
            let recorded = self
                .state
                .adopted_by(&self.config.local_name, epoch)
                .filter(|source| !self.takeovers.pending.contains_key(source));
            commands.extend(recorded.map(|source| FleetCommand::Done {
                source,
                by: self.config.local_name.clone(),
                epoch,
            }));
        }
        commands
    }
}
