//! Sends messages to other couriers and handles received ones.

use super::registration::PendingRenewal;
use super::replica_host::AppendRequest;
use super::takeover::ReceivedPage;
use super::{AgreementLog, Member, MemberError, MemberOutput, StoreDirectory};
use crate::agreement::AgreementInput;
use crate::config::Name;
use crate::message::{Envelope, FleetMessage};
use quillmount_policy::Micros;

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// Sends a message. A message to this courier itself is handled immediately.
    pub(super) fn send_to(
        &mut self,
        to: Name,
        message: FleetMessage,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if to == self.config.local_name {
            return self.handle_message(to, message, now, out);
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
        let Envelope { from, to, node_id, messages } = envelope;
        if to != self.config.local_name || from == self.config.local_name {
            return Ok(());
        }
        self.names_by_node.insert(node_id, from.clone());
        for message in messages {
            match message {
                FleetMessage::Agreement(bytes) => {
                    let input = AgreementInput::Receive { from: node_id, bytes: bytes.to_vec() };
                    self.step_agreement(input, now, out)?;
                }
                FleetMessage::Hello { fresh } => self.handle_hello(&from, node_id, fresh, now, out)?,
                message => self.handle_message(from.clone(), message, now, out)?,
            }
        }
        Ok(())
    }

    /// Handles a message that requires only the sender's name, not its node id.
    fn handle_message(
        &mut self,
        from: Name,
        message: FleetMessage,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        match message {
            // `receive` handles these messages, as they require the sender's node id. A courier never sends them to
            // itself.
            FleetMessage::Hello { .. } | FleetMessage::Agreement(_) => {}
            FleetMessage::HelloReply { fresh } => self.discovery.handle_reply(from, fresh),
            FleetMessage::Propose(command) => self.propose(command, now, out)?,
            FleetMessage::RenewLease { epoch, ticket } => {
                self.handle_lease_renewal(PendingRenewal { member: from, epoch, ticket }, now, out)?;
            }
            FleetMessage::LeaseGranted { epoch, ticket } => self.handle_lease_grant(epoch, ticket, out),
            FleetMessage::Append { journal, generation, complete_len, offset, bytes } => {
                let request = AppendRequest { journal, generation, complete_len, offset, bytes };
                self.append_to_replica(from, request, out)?;
            }
            FleetMessage::AppendAck { journal, position, staged } => {
                if let Some(replicator) = &mut self.replication.replicator
                    && replicator.journal == journal
                {
                    replicator.acknowledged(&from, position, staged, now);
                }
            }
            FleetMessage::Fetch { journal, offset } => self.serve_fetch(from, journal, offset, now, out)?,
            FleetMessage::Page { journal, offset, total, bytes } => {
                self.receive_page(&from, ReceivedPage { journal, offset, total, bytes }, now, out);
            }
            FleetMessage::BudgetReport(kind, report) => {
                if self.is_leader && report.courier == from {
                    self.shares.receive_report(kind, report, now);
                }
            }
            FleetMessage::Settlement { message, payload } => {
                out.push(MemberOutput::SettlementReceived { from, message: *message, payload });
            }
            FleetMessage::UnknownJournal { journal } => self.replica_missing(journal, out),
        }
        Ok(())
    }
}
