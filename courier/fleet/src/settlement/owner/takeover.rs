//! Takeover: reads the records of earlier owners, and moves a settlement to a successor.

use super::interface::OwnerOutput;
use super::machine::{AfterWrite, Context, Handover, Phase, Settlement};
use super::order::NextStep;
use crate::settlement::breaks::{self, Break};
use crate::settlement::model::{Cause, Mode, Resume, Verdict};
use crate::settlement::progress::{SettlementProgress, SettlementRecord};
use crate::settlement::registry::{self, JournalRef, SettlementCommand, SettlementOwner};
use crate::settlement::session::{SessionInput, SessionState};
use quillmount_policy::Micros;

impl Settlement {
    /// Requests the records of earlier owners from their journals.
    pub(super) fn fetch(&mut self, owner: &SettlementOwner, cx: &mut Context) {
        let retry_at = cx.retry_at();
        self.phase = Phase::Fetching { retry_at };
        self.next_wake = Some(retry_at);
        // This courier's own journal has its records from an earlier ownership or an earlier attempt to copy the
        // others.
        let own = JournalRef { courier: cx.local_name.into(), epoch: owner.epoch };
        let journals = owner.earlier_journals.iter().cloned().chain([own]).collect();
        cx.outputs.push(OwnerOutput::Fetch { id: self.id.clone(), term: self.term, journals });
    }

    /// Continues from the progress of earlier owners, once a snapshot of it is in this journal.
    pub(super) fn fetched(&mut self, term: u64, progress: SettlementProgress, cx: &mut Context) {
        if self.term != term || !matches!(self.phase, Phase::Fetching { .. }) {
            return;
        }
        self.progress = progress;
        self.progress.term = self.term;
        self.progress.begin_ownership();
        self.mode = *self.progress.mode.get_or_insert(self.mode);
        if let (Mode::Session { linger, .. }, Some(_)) = (self.mode, self.progress.open_session)
            && !breaks::is_enabled(Break::SkipLinger)
        {
            self.session_not_before = cx.now.saturating_add(linger);
        }
        self.last_activity = cx.now;
        let progress = Box::new(self.progress.clone());
        let seq = cx.write(vec![SettlementRecord::Snapshot { id: self.id.clone(), progress }]);
        self.phase = Phase::Writing { seq, delivered: None, after_write: AfterWrite::CaughtUp };
        self.next_wake = None;
    }

    /// Breaks the settlement, because no replica of an earlier owner's journal is left.
    pub(super) fn records_lost(&mut self, term: u64, cx: &mut Context) {
        let verdict = Some(Verdict::Broken { break_position: 0, cause: Cause::RecordsLost });
        self.fetched(term, SettlementProgress { verdict, ..SettlementProgress::default() }, cx);
    }

    /// Returns the step of a drain that moves the settlement or prepares the move; `None` if it continues here for
    /// now.
    pub(super) fn handover_step(&self, now: Micros) -> Option<NextStep> {
        let handover = self.handover.as_ref()?;
        if now >= handover.graceful_until {
            return Some(NextStep::Leave { at_boundary: false });
        }
        let is_bound_to_session = matches!(self.mode, Mode::Session { resume: Resume::Never, .. });
        if is_bound_to_session && self.progress.has_started() {
            return None;
        }
        match self.session.state() {
            SessionState::None if self.pending.is_empty() => Some(NextStep::Leave { at_boundary: true }),
            SessionState::None | SessionState::Dropping => {
                Some(NextStep::Wait(Some(handover.graceful_until)))
            }
            _ => Some(NextStep::DropSession),
        }
    }

    /// Proposes the move. From now on this courier does nothing for the settlement, as otherwise the successor
    /// could read the journal before its last record.
    pub(super) fn propose_move(&mut self, at_boundary: bool, cx: &mut Context) {
        let handover = self.handover.as_ref();
        let successor =
            handover.and_then(|handover| registry::choose_successor(&self.id, &handover.successors));
        let Some(JournalRef { courier, epoch }) = successor.cloned() else {
            self.handover = None;
            return self.advance(Vec::new(), cx);
        };
        self.step_session(SessionInput::Leave, cx);
        let retry_at = cx.retry_at();
        self.next_wake = Some(retry_at);
        if !breaks::is_enabled(Break::ContinueDuringMove) {
            self.phase = Phase::Leaving { at_boundary, retry_at };
        }
        cx.outputs.push(OwnerOutput::Propose(SettlementCommand::Move {
            id: self.id.clone(),
            term: self.term,
            to: courier,
            to_epoch: epoch,
            at_boundary,
        }));
        if breaks::is_enabled(Break::ContinueDuringMove) {
            self.handover = None;
            self.advance(Vec::new(), cx);
        }
    }

    /// Handles the rejection of a move by proposing another successor. Returns true if there is none, in which case
    /// the settlement continues here.
    pub(super) fn move_rejected(&mut self, term: u64, to: &JournalRef, cx: &mut Context) -> bool {
        if self.term != term {
            return false;
        }
        if let Some(handover) = &mut self.handover {
            handover.successors.retain(|successor| successor != to);
        }
        let Phase::Leaving { at_boundary, .. } = self.phase else { return false };
        let is_last = self.handover.as_ref().is_none_or(|handover| handover.successors.is_empty());
        if !is_last {
            self.propose_move(at_boundary, cx);
        }
        is_last
    }

    /// Starts the drain of the settlement.
    pub(super) fn drain(&mut self, handover: Handover, cx: &mut Context) {
        let graceful_until = handover.graceful_until;
        self.handover = Some(handover);
        match self.phase {
            Phase::Idle => self.advance(Vec::new(), cx),
            Phase::InFlight { .. } => self.next_wake = Some(graceful_until),
            _ => {}
        }
    }

    /// Cancels the drain, unless a move is already proposed.
    pub(super) fn cancel_drain(&mut self) {
        if !matches!(self.phase, Phase::Leaving { .. }) {
            self.handover = None;
        }
    }

    /// Returns whether the graceful phase of the drain has ended.
    pub(super) fn is_handover_overdue(&self, now: Micros) -> bool {
        self.handover.as_ref().is_some_and(|handover| now >= handover.graceful_until)
    }
}
