//! Admission: checks submissions and closings, writes accepted ones, and replies to them.

use super::interface::OwnerOutput;
use super::machine::{Context, PendingSubmission, Phase, Settlement, TenantOverload};
use crate::settlement::breaks::{self, Break};
use crate::settlement::error::SettlementError;
use crate::settlement::model::{Mode, SequencedMessage};
use crate::settlement::progress::SettlementRecord;
use crate::settlement::request::{SettlementReply, SettlementRequest};
use crate::settlement::session::PINNABLE_FRACTION;
use crate::settlement::translator;

impl Settlement {
    /// Replies at once to a request that is already in the journal or is rejected, and writes a new one.
    pub(super) fn handle_request(&mut self, from: &str, request: SettlementRequest, cx: &mut Context) {
        let reply = match self.known_reply(&request) {
            Some(reply) => reply,
            None => match self.check(&request, cx) {
                Err(error) => SettlementReply::Rejected(error),
                Ok(()) => return self.submit(from, request, cx),
            },
        };
        cx.outputs.push(OwnerOutput::Reply { to: from.into(), id: self.id.clone(), request, reply });
    }

    /// Returns the reply to a request that is already in the journal.
    pub(super) fn known_reply(&self, request: &SettlementRequest) -> Option<SettlementReply> {
        match request {
            SettlementRequest::Submit(sequenced) => self.known_submission(sequenced),
            SettlementRequest::Closing { total } => {
                let is_known = self.progress.total == Some(*total) && self.progress.verdict.is_none();
                is_known.then_some(SettlementReply::Accepted)
            }
        }
    }

    fn known_submission(&self, sequenced: &SequencedMessage) -> Option<SettlementReply> {
        let state = self.progress.positions.get(&sequenced.position)?;
        let first = &state.sequenced;
        if first.message_id != sequenced.message_id || first.checksum != sequenced.checksum {
            let position_ref = self.id.position_ref(sequenced.position);
            let first_id = first.message_id.clone();
            return Some(SettlementReply::Rejected(SettlementError::PositionConflict {
                position_ref,
                first_id,
            }));
        }
        match state.end {
            // The number of messages is new or contradicts the recorded one: it has to be checked.
            None if sequenced.total.is_some() && sequenced.total != self.progress.total => None,
            Some(end) => Some(SettlementReply::Ended(end)),
            None => Some(SettlementReply::Accepted),
        }
    }

    fn check(&self, request: &SettlementRequest, cx: &Context) -> Result<(), SettlementError> {
        let (position, total) = request.position_and_total();
        let position_ref = self.id.position_ref(position);
        if let Some(verdict) = self.progress.verdict {
            return Err(SettlementError::Ended { position_ref, verdict });
        }
        let pending = self.pending.values().map(|pending| pending.request.position_and_total());
        let known_total = self.progress.total.or(pending.clone().find_map(|(_, total)| total));
        let highest_position =
            self.progress.positions.keys().next_back().copied().max(pending.map(|(p, _)| p).max());
        translator::check_position(&position_ref, total, known_total, highest_position)?;
        let max_positions = cx.limits.max_positions;
        if position > max_positions || total.is_some_and(|total| total > max_positions) {
            return Err(SettlementError::TooLong { position_ref, max_positions });
        }
        match request {
            SettlementRequest::Submit(sequenced) => self.check_submission(sequenced, cx),
            SettlementRequest::Closing { .. } => Ok(()),
        }
    }

    fn check_submission(&self, sequenced: &SequencedMessage, cx: &Context) -> Result<(), SettlementError> {
        let position = sequenced.position;
        let position_ref = self.id.position_ref(position);
        let mut unwritten = self.pending.values().filter_map(|pending| pending.request.sequenced());
        if let Some(first) = unwritten.find(|first| first.position == position)
            && (first.message_id != sequenced.message_id || first.checksum != sequenced.checksum)
        {
            return Err(SettlementError::PositionConflict {
                position_ref,
                first_id: first.message_id.clone(),
            });
        }
        if cx.now >= sequenced.deadline {
            return Err(SettlementError::DeadlinePassed(position_ref));
        }
        let needs_session = matches!(self.mode, Mode::Session { .. }) && self.progress.session_count == 0;
        if needs_session && cx.budget < PINNABLE_FRACTION {
            let (budget, min_budget) = (cx.budget, PINNABLE_FRACTION);
            return Err(SettlementError::NoPinnableConnection { position_ref, budget, min_budget });
        }
        match cx.tenant_load {
            Err(TenantOverload { pending_messages, bytes, retry_after })
                if position != self.progress.next_position =>
            {
                Err(SettlementError::TooManyWaiting { position_ref, pending_messages, bytes, retry_after })
            }
            _ => Ok(()),
        }
    }

    fn submit(&mut self, from: &str, request: SettlementRequest, cx: &mut Context) {
        // The forwarding courier repeats the request, and the owner at that time replies.
        if matches!(self.phase, Phase::Fetching { .. } | Phase::Leaving { .. }) {
            return;
        }
        let key = request.key();
        if let Some(pending) = self.pending.values_mut().find(|pending| pending.request.key() == key) {
            if !pending.reply_to.iter().any(|courier| courier == from) {
                pending.reply_to.push(from.into());
            }
            return;
        }
        let id = self.id.clone();
        let record = match &request {
            SettlementRequest::Submit(sequenced) => {
                SettlementRecord::Submitted { id, sequenced: sequenced.clone() }
            }
            SettlementRequest::Closing { total } => SettlementRecord::Count { id, total: *total },
        };
        let records: Vec<SettlementRecord> = self.opening_record().into_iter().chain([record]).collect();
        let seq = cx.write(records.clone());
        let pending = PendingSubmission { request, records, reply_to: vec![from.into()] };
        if breaks::is_enabled(Break::ReplyUnwritten) {
            self.reply_to_all(pending.clone(), &SettlementReply::Accepted, cx);
        }
        self.pending.insert(seq, pending);
    }

    /// Acknowledges a request whose records are in the journal.
    pub(super) fn submission_written(&mut self, pending: PendingSubmission, cx: &mut Context) {
        if matches!(self.phase, Phase::Leaving { .. }) && !breaks::is_enabled(Break::ContinueDuringMove) {
            return;
        }
        pending.records.iter().for_each(|record| self.progress.apply(record));
        self.last_activity = cx.now;
        let position = pending.request.position_and_total().0;
        let reply = match (self.known_reply(&pending.request), self.progress.verdict) {
            (Some(reply), _) => reply,
            (None, Some(verdict)) => SettlementReply::Rejected(SettlementError::Ended {
                position_ref: self.id.position_ref(position),
                verdict,
            }),
            (None, None) => return,
        };
        self.reply_to_all(pending, &reply, cx);
        self.advance(Vec::new(), cx);
    }

    /// Rejects a request for which the journal has no space.
    pub(super) fn write_rejected(&mut self, seq: u64, cx: &mut Context) {
        let Some(pending) = self.pending.remove(&seq) else { return };
        let position_ref = self.id.position_ref(pending.request.position_and_total().0);
        self.reply_to_all(
            pending,
            &SettlementReply::Rejected(SettlementError::StorageFull(position_ref)),
            cx,
        );
        self.advance(Vec::new(), cx);
    }

    fn reply_to_all(&self, pending: PendingSubmission, reply: &SettlementReply, cx: &mut Context) {
        for to in pending.reply_to {
            let (id, request, reply) = (self.id.clone(), pending.request.clone(), reply.clone());
            cx.outputs.push(OwnerOutput::Reply { to, id, request, reply });
        }
    }
}
