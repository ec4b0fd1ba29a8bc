//! Verdict: the settlement has ended; everyone is notified and a command to close it is proposed to the agreement.

use super::interface::OwnerOutput;
use super::machine::{Context, Phase, Settlement};
use crate::settlement::model::{End, Verdict};
use crate::settlement::progress::SettlementRecord;
use crate::settlement::registry::SettlementCommand;
use crate::settlement::session::SessionInput;

impl Settlement {
    /// Reports how the message of a position ended, if it has.
    pub(super) fn report_end(&self, position: u64, cx: &mut Context) {
        let Some(state) = self.progress.positions.get(&position) else { return };
        if let Some(end) = state.end {
            let message_id = state.sequenced.message_id.clone();
            cx.outputs.push(OwnerOutput::End { id: self.id.clone(), position, message_id, end });
        }
    }

    /// The partner has confirmed the closing.
    pub(super) fn closing_confirmed(&mut self, session: u32, cx: &mut Context) {
        if self.number != session || self.phase != Phase::Closing || !self.session.is_open() {
            return;
        }
        self.step_session(SessionInput::Confirmed, cx);
        self.lost = Some(session);
        self.phase = Phase::Idle;
        let verdict = Verdict::Closed { total: self.progress.next - 1 };
        self.advance(vec![SettlementRecord::Verdict { id: self.id.clone(), verdict }], cx);
    }

    /// The verdict is in the journal: the ends that it decided are reported.
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

    /// Proposes the verdict to the agreement, until it is agreed on.
    pub(super) fn propose_close(&mut self, cx: &mut Context) {
        let Some(verdict) = self.progress.verdict else { return };
        let retry_at = cx.retry_at();
        self.phase = Phase::Decided { retry_at };
        self.wake = Some(retry_at);
        let until = cx.now.saturating_add(cx.limits.remember);
        let (id, term) = (self.id.clone(), self.term);
        cx.outputs.push(OwnerOutput::Propose(SettlementCommand::Close { id, term, verdict, until }));
    }
}
