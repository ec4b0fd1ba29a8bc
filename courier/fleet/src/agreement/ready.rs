//! Processes the ready state of the Raft library: persists entries, then sends messages and delivers committed entries.

use quillmount_core::store::Store;
use raft::prelude::{Entry as RaftEntry, Message};
use raft::{ReadState, Ready};
use std::mem;

use super::log::{HardState, LogEntry, Payload, StateSnapshot};
use super::log_file::PersistedLog;
use super::{Agreement, AgreementError, AgreementOutput, Leadership, MembershipChange, RejectReason, wire};
use crate::NodeId;

impl<S: Store> Agreement<S> {
    /// Processes everything that is ready, then requests a snapshot if one is due.
    pub(super) fn process_ready(&mut self, out: &mut Vec<AgreementOutput>) {
        self.drain_ready(out);
        self.request_snapshot_if_due(out);
    }

    pub(super) fn drain_ready(&mut self, out: &mut Vec<AgreementOutput>) {
        let mut confirmed_reads = Vec::new();
        while !self.halted && self.node.has_ready() {
            let mut ready = self.node.ready();
            // Messages that depend on this state are sent only after it has been written.
            if let Err(error) = self.persist(&ready) {
                return self.halt(error, out);
            }
            if !ready.snapshot().is_empty() {
                let index = ready.snapshot().get_metadata().index;
                self.delivered_index = index;
                out.push(AgreementOutput::Restored { index, state: ready.snapshot().data.to_vec() });
            }
            confirmed_reads.extend(ready.take_read_states());
            self.send(ready.take_messages(), out);
            self.send(ready.take_persisted_messages(), out);
            self.apply(ready.take_committed_entries(), out);
            let mut light_ready = self.node.advance_append(ready);
            self.send(light_ready.take_messages(), out);
            self.apply(light_ready.take_committed_entries(), out);
            self.node.advance_apply();
            if let Err(error) = self.persist_membership_commit() {
                return self.halt(error, out);
            }
        }
        self.report_leader(out);
        self.report_reads(confirmed_reads, out);
    }

    /// Halts the agreement. The library must not be called again, as its state may assume that data was written which
    /// was not.
    pub(super) fn halt(&mut self, error: AgreementError, out: &mut Vec<AgreementOutput>) {
        self.halted = true;
        self.end_pending(RejectReason::Halted, None, out);
        out.push(AgreementOutput::Halted(error));
    }

    /// Ends all pending requests: proposals become indeterminate, reads are rejected.
    fn end_pending(&mut self, reason: RejectReason, leader: Option<NodeId>, out: &mut Vec<AgreementOutput>) {
        for proposal in mem::take(&mut self.pending_proposals).into_values() {
            out.push(AgreementOutput::Indeterminate { ticket: proposal.ticket });
        }
        for ticket in mem::take(&mut self.pending_reads).into_values() {
            out.push(AgreementOutput::Rejected { ticket, reason, leader });
        }
    }

    /// Reports a new leader or term. If this courier was leader before, all of its pending requests end.
    fn report_leader(&mut self, out: &mut Vec<AgreementOutput>) {
        let current = Leadership { leader: self.leader(), term: self.term() };
        if current == self.reported {
            return;
        }
        let previous = mem::replace(&mut self.reported, current);
        if current.term != previous.term {
            self.redraw_election_timeout();
        }
        if previous.leader == Some(self.node_id) {
            self.end_pending(RejectReason::NotLeader, current.leader, out);
            self.snapshot_ticks.clear();
        }
        out.push(AgreementOutput::LeaderChanged { leader: current.leader, term: current.term });
    }

    fn report_reads(&mut self, confirmed: Vec<ReadState>, out: &mut Vec<AgreementOutput>) {
        for state in confirmed {
            let Ok(context) = state.request_ctx.as_slice().try_into() else { continue };
            if let Some(ticket) = self.pending_reads.remove(&u64::from_be_bytes(context)) {
                out.push(AgreementOutput::ReadReady { ticket });
            }
        }
    }

    fn persist(&mut self, ready: &Ready) -> Result<(), AgreementError> {
        let entries: Vec<LogEntry> = ready.entries().iter().map(LogEntry::from_raft).collect();
        let hard_state = HardState::from_raft(&self.node.raft.hard_state());
        if !ready.snapshot().is_empty() {
            let snapshot = StateSnapshot::from_raft(ready.snapshot());
            let persisted = PersistedLog { node_id: self.node_id, hard_state, snapshot, entries };
            self.file.rewrite(&persisted)?;
            let memory = self.node.mut_store();
            memory.restore(persisted.snapshot);
            memory.append(ready.entries());
            self.snapshot_threshold = self.file.rewritten_len + self.limits.log_bytes;
            self.snapshot_requested = false;
        } else if !entries.is_empty() || ready.must_sync() {
            self.file.append(hard_state, &entries)?;
            self.node.mut_store().append(ready.entries());
        } else {
            // A change of the commit index alone is not written: the next record contains it, and after a restart the
            // leader sends it.
            return Ok(());
        }
        self.node.mut_store().hard_state = hard_state;
        Ok(())
    }

    /// Persists the commit index after a membership change, so that this courier has the same membership after a
    /// restart.
    fn persist_membership_commit(&mut self) -> Result<(), AgreementError> {
        let hard_state = HardState::from_raft(&self.node.raft.hard_state());
        if mem::take(&mut self.membership_changed) && hard_state != self.node.store().hard_state {
            self.file.append(hard_state, &[])?;
            self.node.mut_store().hard_state = hard_state;
        }
        Ok(())
    }

    fn send(&mut self, mut messages: Vec<Message>, out: &mut Vec<AgreementOutput>) {
        // The library returns messages in the order of a hash table; sorting makes runs deterministic.
        messages.sort_by_key(|m| m.to);
        for message in messages {
            if let Some(bytes) = wire::encode(&message) {
                out.push(AgreementOutput::Send { to: message.to, bytes });
            }
        }
    }

    fn apply(&mut self, entries: Vec<RaftEntry>, out: &mut Vec<AgreementOutput>) {
        for entry in entries {
            let index = entry.index;
            let pending = self.pending_proposals.remove(&index);
            let ticket = pending.filter(|pending| pending.term == entry.term).map(|pending| pending.ticket);
            match LogEntry::from_raft(&entry).payload {
                Payload::Noop => {}
                Payload::Command(command) => {
                    self.delivered_index = index;
                    out.push(AgreementOutput::Committed { index, ticket, command });
                }
                Payload::Membership(change) => {
                    self.apply_membership(change, out);
                    out.push(AgreementOutput::MembershipChanged { index, ticket, change });
                }
            }
        }
    }

    fn apply_membership(&mut self, change: MembershipChange, out: &mut Vec<AgreementOutput>) {
        match self.node.apply_conf_change(&change.to_raft()) {
            Ok(membership) => self.node.mut_store().membership = membership,
            Err(e) => out.push(AgreementOutput::Failed(AgreementError::RaftLibrary(e.to_string()))),
        }
        let membership = &self.node.store().membership;
        self.last_heard.retain(|id, _| membership.voters.contains(id) || membership.learners.contains(id));
        self.membership_changed = true;
    }
}
