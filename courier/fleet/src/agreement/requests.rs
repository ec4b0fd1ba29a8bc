//! Requests of the caller and of other couriers: messages, proposals, reads and membership changes.

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
                // The library rejects messages that are old or of an unknown sender: they count as lost.
                let _ = self.node.step(message);
            }
            // A courier that has acknowledged an entry it does not have might also vote twice.
            Err(error @ AgreementError::Ahead { .. }) => self.halt(error, out),
            Err(error) => out.push(AgreementOutput::Failed(error)),
        }
    }

    /// Rejects a message that refers to entries beyond the end of this log: the library would panic.
    fn validate_index(&self, message: Message) -> Result<Message, AgreementError> {
        let last = self.node.raft.raft_log.last_index();
        let index = match message.get_msg_type() {
            MessageType::MsgHeartbeat if message.term >= self.node.raft.term => message.commit,
            MessageType::MsgAppendResponse if !message.reject && message.term == self.node.raft.term => {
                message.index
            }
            _ => 0,
        };
        if index > last {
            return Err(AgreementError::Ahead { from: message.from, index, last });
        }
        Ok(message)
    }

    pub(super) fn propose(&mut self, ticket: u64, command: Vec<u8>) -> Result<(), RejectReason> {
        self.check_leadership()?;
        if command.is_empty() || command.len() > self.limits.entry_bytes {
            return Err(RejectReason::InvalidSize);
        }
        self.check_capacity()?;
        self.node.propose(Vec::new(), command).map_err(|_| RejectReason::Busy)?;
        self.track_proposal(ticket);
        Ok(())
    }

    pub(super) fn read_index(&mut self, ticket: u64) -> Result<(), RejectReason> {
        self.check_leadership()?;
        if self.pending_reads.len() >= self.limits.reads {
            return Err(RejectReason::QueueFull);
        }
        // Until an entry of its term is committed a leader does not know what its predecessors have committed.
        if !self.node.raft.commit_to_current_term() {
            return Err(RejectReason::Busy);
        }
        let read = self.next_read;
        self.next_read += 1;
        self.pending_reads.insert(read, ticket);
        self.node.read_index(read.to_be_bytes().to_vec());
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

    /// The voters after a change, if the change is possible by itself.
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
                // It may be a voter that is demoted.
                voters.retain(|v| *v != node_id);
            }
            MembershipChange::Promote(node_id) => {
                if !learners.contains(&node_id) {
                    return Err(RejectReason::NoChange);
                }
                let required = self.node.raft.raft_log.committed.saturating_sub(self.limits.promote_lag);
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
        if !self.halted && self.leads() && to != self.node_id && self.voters().contains(&to) {
            self.node.transfer_leader(to);
        }
    }

    /// Whether the courier was heard from within the time after which a leader steps down.
    fn was_heard_recently(&self, node_id: NodeId, now: Micros) -> bool {
        let span = self.limits.tick * self.limits.election_ticks as Micros;
        self.last_heard(node_id).is_some_and(|at| now.saturating_sub(at) <= span)
    }

    fn check_leadership(&self) -> Result<(), RejectReason> {
        if self.halted {
            return Err(RejectReason::Halted);
        }
        if !self.leads() {
            return Err(RejectReason::NotLeader);
        }
        if self.node.raft.lead_transferee.is_some() {
            return Err(RejectReason::Busy);
        }
        Ok(())
    }

    fn check_capacity(&self) -> Result<(), RejectReason> {
        let growth = self.file.store.len().saturating_sub(self.file.base);
        if self.pending_proposals.len() >= self.limits.proposals || growth >= self.limits.log_bytes * 2 {
            return Err(RejectReason::QueueFull);
        }
        Ok(())
    }

    /// Remembers the entry that was just appended as the one of `ticket`.
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
