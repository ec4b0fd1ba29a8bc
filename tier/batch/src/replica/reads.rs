//! Confirmation of reads: before a read is answered, all required members confirm that this primary's epoch is
//! still in force, as with the read index of Raft (Ongaro's thesis, section 6.4). One round of confirmation
//! requests confirms all reads that were pending when it started.

use super::member_calls::{MEMBER_TIMEOUT, RETRY_DELAY};
use super::primary::{CallPurpose, PendingRead, ReadRound};
use super::state::ShardReplica;
use crate::action::ShardAction;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Response, ShardMessage};

impl ShardReplica {
    /// Rejects reads whose deadline has passed, and starts a round for the others if none is in progress.
    pub(super) fn start_read_round(&mut self, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        let overdue: Vec<PendingRead> = primary.reads.extract_if(.., |read| read.deadline <= now).collect();
        let rejected = overdue.into_iter().map(|read| ShardAction::ReadRejected { read: read.read });
        self.actions.extend(rejected);
        let may_start = primary.round.is_none() && primary.serving && primary.next_round_at <= now;
        if !may_start || primary.reads.is_empty() {
            return;
        }
        let waiting = primary.group.required();
        let members: Vec<DiskId> = waiting.iter().copied().collect();
        primary.round = Some(ReadRound { reads: std::mem::take(&mut primary.reads), waiting });
        for member in members {
            self.call(member, ShardMessage::Confirm, MEMBER_TIMEOUT, CallPurpose::Confirm(member));
        }
        self.finish_read_round();
    }

    /// Handles a member's answer in the round; `None` after a timeout.
    pub(super) fn on_confirm_answer(&mut self, member: DiskId, answer: Option<Response>, now: Micros) {
        let Some(primary) = &mut self.primary else { return };
        if answer == Some(Response::Done) {
            if let Some(round) = &mut primary.round {
                round.waiting.remove(&member);
            }
            return self.finish_read_round();
        }
        // The round failed: its reads stay pending for another one until their deadlines.
        primary.calls.retain(|_, purpose| !matches!(purpose, CallPurpose::Confirm(_)));
        primary.next_round_at = now + RETRY_DELAY;
        if let Some(round) = primary.round.take() {
            primary.reads.extend(round.reads);
        }
    }

    fn finish_read_round(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        if primary.round.as_ref().is_some_and(|round| round.waiting.is_empty()) {
            let reads = primary.round.take().into_iter().flat_map(|round| round.reads);
            self.actions.extend(reads.map(|read| ShardAction::ReadConfirmed { read: read.read }));
        }
    }
}
