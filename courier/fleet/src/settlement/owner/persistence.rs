//! Persistence: what is written before anything is done about it, and what follows once it is written.

use super::machine::{AfterWrite, Context, Phase, Settlement};
use super::order::NextStep;
use crate::settlement::breaks::{self, Break};
use crate::settlement::model::End;
use crate::settlement::progress::SettlementRecord;
use crate::settlement::session::SessionInput;

impl Settlement {
    /// The record that opens the settlement, where the journal does not have it yet.
    pub(super) fn opening_record(&self) -> Option<SettlementRecord> {
        let first = SettlementRecord::Opened { id: self.id.clone(), term: self.term, mode: self.mode };
        self.progress.mode.is_none().then_some(first)
    }

    /// Writes these records, and with them those of what comes next.
    pub(super) fn advance(&mut self, mut records: Vec<SettlementRecord>, cx: &mut Context) {
        if self.phase != Phase::Idle {
            return;
        }
        let lost = self.lost.take();
        records.extend(lost.map(|n| SettlementRecord::SessionEnded { id: self.id.clone(), n }));
        let first = self.progress.next;
        records.iter().for_each(|record| self.progress.apply(record));
        let applied = records.len();
        let delivered = (self.progress.next > first).then_some(first);
        let step = self.chosen_step(cx);
        let Some(then) = self.begin_step(step, &mut records, cx) else { return };
        if records.is_empty() {
            return;
        }
        records[applied..].iter().for_each(|record| self.progress.apply(record));
        let opening = self.opening_record();
        (self.progress.term, self.progress.mode) = (self.term, Some(self.mode));
        let seq = cx.write(opening.into_iter().chain(records).collect());
        self.phase = Phase::Writing { seq, delivered, then };
        if then != AfterWrite::Continue {
            self.wake = None;
        }
        if breaks::is_enabled(Break::SendUnwritten) && matches!(then, AfterWrite::Send { .. }) {
            self.written(seq, cx);
        }
    }

    fn chosen_step(&mut self, cx: &mut Context) -> NextStep {
        let step = self.next_step(cx);
        if step != NextStep::DropSession {
            return step;
        }
        self.step_session(SessionInput::Leave, cx);
        // A session that was not opened yet is gone at once, and nobody reports it.
        self.next_step(cx)
    }

    /// Adds the records of a step, and returns what follows once they are written; `None`: it is done already.
    fn begin_step(
        &mut self,
        step: NextStep,
        records: &mut Vec<SettlementRecord>,
        cx: &mut Context,
    ) -> Option<AfterWrite> {
        let id = self.id.clone();
        match step {
            NextStep::Wait(wake) => {
                self.wake = wake;
                Some(AfterWrite::Continue)
            }
            NextStep::Pin(wake) => {
                self.number = self.progress.sessions + 1;
                self.step_session(SessionInput::Want, cx);
                self.wake = wake;
                Some(AfterWrite::Continue)
            }
            NextStep::DropSession => Some(AfterWrite::Continue),
            NextStep::Release { opens } => {
                let n = self.number;
                records.extend(opens.then(|| SettlementRecord::Session { id: id.clone(), n }));
                records.push(SettlementRecord::Released { id, position: self.progress.next, at: cx.now });
                Some(AfterWrite::Send { opens })
            }
            NextStep::Decide(verdict) => {
                records.push(SettlementRecord::Verdict { id, verdict });
                Some(AfterWrite::Announce)
            }
            // What was answered is in the journal before the closing leaves.
            NextStep::Close { opens: true } if records.is_empty() => {
                records.push(SettlementRecord::Session { id, n: self.number });
                Some(AfterWrite::Close)
            }
            NextStep::Close { .. } | NextStep::Announce | NextStep::Leave { .. } if !records.is_empty() => {
                Some(AfterWrite::Continue)
            }
            NextStep::Close { .. } => {
                self.close_session(cx);
                None
            }
            NextStep::Announce => {
                self.announce_verdict(cx);
                None
            }
            NextStep::Leave { boundary } => {
                self.propose_move(boundary, cx);
                None
            }
        }
    }

    /// A write is in the journal: what waited for it is done.
    pub(super) fn written(&mut self, seq: u64, cx: &mut Context) {
        if let Some(pending) = self.pending.remove(&seq) {
            return self.submission_written(pending, cx);
        }
        let Phase::Writing { seq: expected, delivered, then } = self.phase else { return };
        if expected != seq {
            return;
        }
        self.phase = Phase::Idle;
        delivered.into_iter().for_each(|position| self.report_end(position, cx));
        match then {
            AfterWrite::Continue => self.advance(Vec::new(), cx),
            AfterWrite::Send { opens } => self.send_attempt(seq, opens, cx),
            AfterWrite::Close => self.close_session(cx),
            AfterWrite::Announce => self.announce_verdict(cx),
            AfterWrite::CaughtUp => self.caught_up(cx),
        }
    }

    /// The earlier owners' records are in this journal.
    fn caught_up(&mut self, cx: &mut Context) {
        self.confirm_at = Some(cx.retry_at());
        // The lost owner may have written these ends and notified nobody.
        let positions = self.progress.positions.iter();
        let delivered: Vec<u64> = positions
            .filter(|(_, state)| state.end == Some(End::Delivered))
            .map(|(position, _)| *position)
            .collect();
        delivered.into_iter().for_each(|position| self.report_end(position, cx));
        self.propose_caught_up(cx);
        self.advance(Vec::new(), cx);
    }

    fn close_session(&mut self, cx: &mut Context) {
        self.step_session(SessionInput::Close, cx);
        self.phase = Phase::Closing;
        self.wake = self.session.wake_at();
    }
}
