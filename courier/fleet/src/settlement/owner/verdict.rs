//! Verdict: reports the ends of the messages, and proposes the command that closes the settlement.

use super::interface::OwnerOutput;
use super::machine::{Context, Phase, Settlement};
use crate::settlement::model::{End, Verdict};
use crate::settlement::progress::SettlementRecord;
use crate::settlement::registry::SettlementCommand;
use crate::settlement::session::SessionInput;

impl Settlement {
    /// Reports the end of the message at a position, if the message has ended.
    pub(super) fn report_end(&self, position: u64, cx: &mut Context) {
        let Some(state) = self.progress.positions.get(&position) else { return };
        if let Some(end) = state.end {
            let message_id = state.sequenced.message_id.clone();
            cx.outputs.push(OwnerOutput::End { id: self.id.clone(), position, message_id, end });
        }
    }

    /// Closes the settlement after the partner has confirmed the closing of the session.
    pub(super) fn closing_confirmed(&mut self, session: u32, cx: &mut Context) {
        if self.session_number != session || self.phase != Phase::Closing || !self.session.is_open() {
            return;
        }
        self.step_session(SessionInput::Confirmed, cx);
        self.lost_session = Some(session);
        self.phase = Phase::Idle;
        let verdict = Verdict::Closed { total: self.progress.next_position - 1 };
        self.advance(vec![SettlementRecord::Verdict { id: self.id.clone(), verdict }], cx);
    }

    /// Reports the ends that result from the verdict, which is in the journal, and proposes the closing.
    pub(super) fn announce_verdict(&mut self, cx: &mut Context) {
        let positions = self.progress.positions.iter();
        let undelivered: Vec<u64> = positions
            .filter(|(_, state)| state.end != Some(End::Delivered))
            .map(|(position, _)| *position)
            .collect();
        undelivered.into_iter().for_each(|position| self.report_end(position, cx));
        self.step_session(SessionInput::Leave, cx);
        self.propose_close(cx);
    }

    /// Proposes the verdict to the replicated log, and sets the time of the retry.
    pub(super) fn propose_close(&mut self, cx: &mut Context) {
        let Some(verdict) = self.progress.verdict else { return };
        let retry_at = cx.retry_at();
        self.phase = Phase::Decided { retry_at };
        self.next_wake = Some(retry_at);
        let retain_until = cx.now.saturating_add(cx.limits.verdict_retention);
        let (id, term) = (self.id.clone(), self.term);
        cx.outputs.push(OwnerOutput::Propose(SettlementCommand::Close { id, term, verdict, retain_until }));
    }
}
