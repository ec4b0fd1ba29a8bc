//! Admission: whether a submission or a closing is accepted, and the replies to it.

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
    /// Replies to what the journal has or what is rejected; writes what is new.
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

    /// The reply that the journal's records give already.
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
            let at = self.id.at(sequenced.position);
            let first = first.message_id.clone();
            return Some(SettlementReply::Rejected(SettlementError::PositionTwice { at, first }));
        }
        match state.end {
            // The count is new, or a contradiction: it is checked.
            None if sequenced.total.is_some() && sequenced.total != self.progress.total => None,
            Some(end) => Some(SettlementReply::Ended(end)),
            None => Some(SettlementReply::Accepted),
        }
    }

    fn check(&self, request: &SettlementRequest, cx: &Context) -> Result<(), SettlementError> {
        let (position, total) = request.position_and_total();
        let at = self.id.at(position);
        if let Some(verdict) = self.progress.verdict {
            return Err(SettlementError::Ended { at, verdict });
        }
        let pending = self.pending.values().map(|pending| pending.request.position_and_total());
        let known = self.progress.total.or(pending.clone().find_map(|(_, total)| total));
        let greatest = self.progress.positions.keys().next_back().copied().max(pending.map(|(p, _)| p).max());
        translator::check(&at, total, known, greatest)?;
        let most = cx.limits.positions;
        if position > most || total.is_some_and(|total| total > most) {
            return Err(SettlementError::TooLong { at, most });
        }
        match request {
            SettlementRequest::Submit(sequenced) => self.check_submission(sequenced, cx),
            SettlementRequest::Closing { .. } => Ok(()),
        }
    }

    fn check_submission(&self, sequenced: &SequencedMessage, cx: &Context) -> Result<(), SettlementError> {
        let position = sequenced.position;
        let at = self.id.at(position);
        let mut unwritten = self.pending.values().filter_map(|pending| pending.request.sequenced());
        if let Some(first) = unwritten.find(|first| first.position == position)
            && (first.message_id != sequenced.message_id || first.checksum != sequenced.checksum)
        {
            return Err(SettlementError::PositionTwice { at, first: first.message_id.clone() });
        }
        if cx.now >= sequenced.deadline {
            return Err(SettlementError::Late(at));
        }
        let needs_session = matches!(self.mode, Mode::Session { .. }) && self.progress.sessions == 0;
        if needs_session && cx.budget < PINNABLE_FRACTION {
            let (budget, least) = (cx.budget, PINNABLE_FRACTION);
            return Err(SettlementError::NoPinnableConnection { at, budget, least });
        }
        match cx.tenant_load {
            Err(TenantOverload { waiting, bytes, after }) if position != self.progress.next => {
                Err(SettlementError::TooManyWaiting { at, waiting, bytes, after })
            }
            _ => Ok(()),
        }
    }

    fn submit(&mut self, from: &str, request: SettlementRequest, cx: &mut Context) {
        // A repeated request is answered by whoever is the owner then.
        if matches!(self.phase, Phase::Fetching { .. } | Phase::Leaving { .. }) {
            return;
        }
        let key = request.key();
        if let Some(pending) = self.pending.values_mut().find(|pending| pending.request.key() == key) {
            if !pending.from.iter().any(|courier| courier == from) {
                pending.from.push(from.into());
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
        let pending = PendingSubmission { request, records, from: vec![from.into()] };
        if breaks::is_enabled(Break::ReplyUnwritten) {
            self.reply_to_all(pending.clone(), &SettlementReply::Accepted, cx);
        }
        self.pending.insert(seq, pending);
    }

    /// The submission's records are in the journal: it is acknowledged.
    pub(super) fn submission_written(&mut self, pending: PendingSubmission, cx: &mut Context) {
        if matches!(self.phase, Phase::Leaving { .. }) && !breaks::is_enabled(Break::ReleaseInMove) {
            return;
        }
        pending.records.iter().for_each(|record| self.progress.apply(record));
        self.last_activity = cx.now;
        let position = pending.request.position_and_total().0;
        let reply = match (self.known_reply(&pending.request), self.progress.verdict) {
            (Some(reply), _) => reply,
            (None, Some(verdict)) => {
                SettlementReply::Rejected(SettlementError::Ended { at: self.id.at(position), verdict })
            }
            (None, None) => return,
        };
        self.reply_to_all(pending, &reply, cx);
        self.advance(Vec::new(), cx);
    }

    /// The journal has no space for the submission.
    pub(super) fn write_rejected(&mut self, seq: u64, cx: &mut Context) {
        let Some(pending) = self.pending.remove(&seq) else { return };
        let at = self.id.at(pending.request.position_and_total().0);
        self.reply_to_all(pending, &SettlementReply::Rejected(SettlementError::StorageFull(at)), cx);
        self.advance(Vec::new(), cx);
    }

    fn reply_to_all(&self, pending: PendingSubmission, reply: &SettlementReply, cx: &mut Context) {
        for to in pending.from {
            let (id, request, reply) = (self.id.clone(), pending.request.clone(), reply.clone());
            cx.outputs.push(OwnerOutput::Reply { to, id, request, reply });
        }
    }
}
