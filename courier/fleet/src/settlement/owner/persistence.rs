//! Persistence: writes records before the settlement acts on them, and continues once they are written.

use super::machine::{AfterWrite, Context, Phase, Settlement};
use super::order::NextStep;
use crate::settlement::breaks::{self, Break};
use crate::settlement::model::End;
use crate::settlement::progress::SettlementRecord;
use crate::settlement::session::SessionInput;

impl Settlement {
    /// Returns the record that opens the settlement, if the journal does not have it yet.
    pub(super) fn opening_record(&self) -> Option<SettlementRecord> {
        let first = SettlementRecord::Opened { id: self.id.clone(), term: self.term, mode: self.mode };
        self.progress.mode.is_none().then_some(first)
    }

    /// Writes these records together with the records of the next step.
    pub(super) fn advance(&mut self, mut records: Vec<SettlementRecord>, cx: &mut Context) {
        if self.phase != Phase::Idle {
            return;
        }
        let lost = self.lost_session.take();
        records.extend(lost.map(|number| SettlementRecord::SessionEnded { id: self.id.clone(), number }));
        let first = self.progress.next_position;
        records.iter().for_each(|record| self.progress.apply(record));
        let applied = records.len();
        let delivered = (self.progress.next_position > first).then_some(first);
        let step = self.chosen_step(cx);
        let Some(after_write) = self.begin_step(step, &mut records, cx) else { return };
        if records.is_empty() {
            return;
        }
        records[applied..].iter().for_each(|record| self.progress.apply(record));
        let opening = self.opening_record();
        (self.progress.term, self.progress.mode) = (self.term, Some(self.mode));
        let seq = cx.write(opening.into_iter().chain(records).collect());
        self.phase = Phase::Writing { seq, delivered, after_write };
        if after_write != AfterWrite::Continue {
            self.next_wake = None;
        }
        if breaks::is_enabled(Break::SendUnwritten) && matches!(after_write, AfterWrite::Send { .. }) {
            self.written(seq, cx);
        }
    }

    fn chosen_step(&mut self, cx: &mut Context) -> NextStep {
        let step = self.next_step(cx);
        if step != NextStep::DropSession {
            return step;
        }
        self.step_session(SessionInput::Leave, cx);
        // A session that is not open yet ends immediately and without a further input, so the next step is chosen
        // again.
        self.next_step(cx)
    }

    /// Adds the records of a step; returns the action that follows once they are written, or `None` if the step is
    /// already carried out.
    fn begin_step(
        &mut self,
        step: NextStep,
        records: &mut Vec<SettlementRecord>,
        cx: &mut Context,
    ) -> Option<AfterWrite> {
        let id = self.id.clone();
        match step {
            NextStep::Wait(wake) => {
                self.next_wake = wake;
                Some(AfterWrite::Continue)
            }
            NextStep::Pin(wake) => {
                self.session_number = self.progress.session_count + 1;
                self.step_session(SessionInput::Needed, cx);
                self.next_wake = wake;
                Some(AfterWrite::Continue)
            }
            NextStep::DropSession => Some(AfterWrite::Continue),
            NextStep::Release { opens_session } => {
                let number = self.session_number;
                records.extend(opens_session.then(|| SettlementRecord::Session { id: id.clone(), number }));
                records.push(SettlementRecord::Released {
                    id,
                    position: self.progress.next_position,
                    released_at: cx.now,
                });
                Some(AfterWrite::Send { opens_session })
            }
            NextStep::Decide(verdict) => {
                records.push(SettlementRecord::Verdict { id, verdict });
                Some(AfterWrite::Announce)
            }
            // The outcomes of all positions are in the journal before the closing is sent.
            NextStep::Close { opens_session: true } if records.is_empty() => {
                records.push(SettlementRecord::Session { id, number: self.session_number });
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
            NextStep::Leave { at_boundary } => {
                self.propose_move(at_boundary, cx);
                None
            }
        }
    }

    /// Continues with the action that waited for this write.
    pub(super) fn written(&mut self, seq: u64, cx: &mut Context) {
        if let Some(pending) = self.pending.remove(&seq) {
            return self.submission_written(pending, cx);
        }
        let Phase::Writing { seq: expected, delivered, after_write } = self.phase else { return };
        if expected != seq {
            return;
        }
        self.phase = Phase::Idle;
        delivered.into_iter().for_each(|position| self.report_end(position, cx));
        match after_write {
            AfterWrite::Continue => self.advance(Vec::new(), cx),
            AfterWrite::Send { opens_session } => self.send_attempt(seq, opens_session, cx),
            AfterWrite::Close => self.close_session(cx),
            AfterWrite::Announce => self.announce_verdict(cx),
            AfterWrite::CaughtUp => self.caught_up(cx),
        }
    }

    /// Continues once the records of earlier owners are in this journal.
    fn caught_up(&mut self, cx: &mut Context) {
        self.catch_up_retry_at = Some(cx.retry_at());
        // The lost owner may have written these ends without reporting them.
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
        self.next_wake = self.session.wake_at();
    }
}
