//! Handles messages of other couriers, and the caller's proposals, reads and membership changes.

use quillmount_core::store::Store;
use quillmount_policy::Micros;
use raft::INVALID_ID;
use raft::prelude::{Message, MessageType};

use super::{
    Agreement, AgreementError, AgreementOutput, MembershipChange, PendingProposal, RejectReason, log, wire,
};
use crate::NodeId;

impl<S: Store> Agreement<S> {
    pub(super) fn receive(
        &mut self,
        from: NodeId,
        bytes: &[u8],
        now: Micros,
        out: &mut Vec<AgreementOutput>,
    ) {
        if self.halted {
            return;
        }
        let message = wire::decode(bytes, from, self.node_id).and_then(|m| self.validate_index(m));
        match message {
            Ok(message) => {
                if self.node.raft.prs().get(from).is_some() {
                    self.last_heard.insert(from, now);
                }
                // The library rejects messages of an old term or of an unknown sender. Such messages count as lost.
                let _ = self.node.step(message);
            }
            // A courier that lacks an entry it has acknowledged may also have lost its vote, and could vote twice.
            Err(error @ AgreementError::AcknowledgedEntryMissing { .. }) => self.halt(error, out),
            Err(error) => out.push(AgreementOutput::Failed(error)),
        }
    }

    /// Rejects a message that refers to entries beyond the end of this log, on which the library would panic.
    fn validate_index(&self, message: Message) -> Result<Message, AgreementError> {
        let last_index = self.node.raft.raft_log.last_index();
        let index = match message.get_msg_type() {
            MessageType::MsgHeartbeat if message.term >= self.node.raft.term => message.commit,
            MessageType::MsgAppendResponse if !message.reject && message.term == self.node.raft.term => {
                message.index
            }
            _ => 0,
        };
        if index > last_index {
            return Err(AgreementError::AcknowledgedEntryMissing { from: message.from, index, last_index });
        }
        Ok(message)
    }

    pub(super) fn propose(&mut self, ticket: u64, command: Vec<u8>) -> Result<(), RejectReason> {
        self.check_leadership()?;
        if command.is_empty() || command.len() > self.limits.max_command_bytes {
            return Err(RejectReason::InvalidSize);
        }
        self.check_capacity()?;
        self.node.propose(Vec::new(), command).map_err(|_| RejectReason::Busy)?;
        self.track_proposal(ticket);
        Ok(())
    }

    pub(super) fn read_index(&mut self, ticket: u64) -> Result<(), RejectReason> {
        self.check_leadership()?;
        if self.pending_reads.len() >= self.limits.max_reads {
            return Err(RejectReason::QueueFull);
        }
        // Until an entry of its own term is committed, a leader does not know the commit index of its predecessors.
        if !self.node.raft.commit_to_current_term() {
            return Err(RejectReason::Busy);
        }
        let read_number = self.next_read;
        self.next_read += 1;
        self.pending_reads.insert(read_number, ticket);
        self.node.read_index(read_number.to_be_bytes().to_vec());
        Ok(())
    }

    pub(super) fn change_membership(
        &mut self,
        ticket: u64,
        change: MembershipChange,
        now: Micros,
    ) -> Result<(), RejectReason> {
        self.check_leadership()?;
        self.check_capacity()?;
        if self.node.raft.has_pending_conf() || !self.node.raft.commit_to_current_term() {
            return Err(RejectReason::Busy);
        }
        let voters = self.voters_after(change, now)?;
        let reachable =
            voters.iter().filter(|v| **v == self.node_id || self.was_heard_recently(**v, now)).count();
        if reachable <= voters.len() / 2 {
            return Err(RejectReason::QuorumAtRisk);
        }
        self.node.propose_conf_change(change.encoded(), change.to_raft()).map_err(|_| RejectReason::Busy)?;
        self.track_proposal(ticket);
        Ok(())
    }

    /// Returns the voters after a change, or the reason why the change is not possible.
    fn voters_after(&self, change: MembershipChange, now: Micros) -> Result<Vec<NodeId>, RejectReason> {
        let log::MemberIds { mut voters, learners } = log::MemberIds::of(&self.node.store().membership);
        match change {
            MembershipChange::AddLearner(node_id) => {
                if node_id == INVALID_ID || learners.contains(&node_id) {
                    return Err(RejectReason::NoChange);
                }
                if node_id == self.node_id {
                    return Err(RejectReason::QuorumAtRisk);
                }
                // The courier may be a voter, which this change demotes.
                voters.retain(|v| *v != node_id);
            }
            MembershipChange::Promote(node_id) => {
                if !learners.contains(&node_id) {
                    return Err(RejectReason::NoChange);
                }
                let required =
                    self.node.raft.raft_log.committed.saturating_sub(self.limits.max_promotion_lag);
                let matched = self.node.raft.prs().get(node_id).map_or(0, |p| p.matched);
                if matched == 0 || matched < required || !self.was_heard_recently(node_id, now) {
                    return Err(RejectReason::LearnerBehind);
                }
                voters.push(node_id);
            }
            MembershipChange::Remove(node_id) => {
                if !voters.contains(&node_id) && !learners.contains(&node_id) {
                    return Err(RejectReason::NoChange);
                }
                if node_id == self.node_id {
                    return Err(RejectReason::QuorumAtRisk);
                }
                voters.retain(|v| *v != node_id);
            }
        }
        Ok(voters)
    }

    pub(super) fn transfer_leadership(&mut self, to: NodeId) {
        if !self.halted && self.is_leader() && to != self.node_id && self.voters().contains(&to) {
            self.node.transfer_leader(to);
        }
    }

    /// Whether a message of the courier arrived within the minimum election timeout, after which a leader steps down.
    fn was_heard_recently(&self, node_id: NodeId, now: Micros) -> bool {
        let timeout = self.limits.tick_interval * self.limits.election_ticks as Micros;
        self.last_heard(node_id).is_some_and(|heard_at| now.saturating_sub(heard_at) <= timeout)
    }

    fn check_leadership(&self) -> Result<(), RejectReason> {
        if self.halted {
            return Err(RejectReason::Halted);
        }
        if !self.is_leader() {
            return Err(RejectReason::NotLeader);
        }
        if self.node.raft.lead_transferee.is_some() {
            return Err(RejectReason::Busy);
        }
        Ok(())
    }

    fn check_capacity(&self) -> Result<(), RejectReason> {
        let growth = self.file.store.len().saturating_sub(self.file.rewritten_len);
        if self.pending_proposals.len() >= self.limits.max_proposals || growth >= self.limits.log_bytes * 2 {
            return Err(RejectReason::QueueFull);
        }
        Ok(())
    }

    /// Records the last appended entry as the pending proposal with this ticket.
    fn track_proposal(&mut self, ticket: u64) {
        let index = self.node.raft.raft_log.last_index();
        let term = self.node.raft.term;
        self.pending_proposals.insert(index, PendingProposal { term, ticket });
    }

    pub(super) fn report_rejection(
        &self,
        ticket: u64,
        result: Result<(), RejectReason>,
        out: &mut Vec<AgreementOutput>,
    ) {
        if let Err(reason) = result {
            out.push(AgreementOutput::Rejected { ticket, reason, leader: self.leader() });
        }
    }
}
