//! Takeover: reading what earlier owners wrote, and giving the settlement to a successor.

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
    /// Requests the records of earlier owners.
    pub(super) fn fetch(&mut self, owner: &SettlementOwner, cx: &mut Context) {
        let retry_at = cx.retry_at();
        self.phase = Phase::Fetching { retry_at };
        self.wake = Some(retry_at);
        // This journal has what this courier wrote as an earlier owner, or in an earlier attempt to read the others.
        let own = JournalRef { courier: cx.local_name.into(), epoch: owner.epoch };
        let journals = owner.earlier_journals.iter().cloned().chain([own]).collect();
        cx.outputs.push(OwnerOutput::Fetch { id: self.id.clone(), term: self.term, journals });
    }

    /// Goes on from what earlier owners wrote, once a copy of it is in this journal.
    pub(super) fn fetched(&mut self, term: u64, progress: SettlementProgress, cx: &mut Context) {
        if self.term != term || !matches!(self.phase, Phase::Fetching { .. }) {
            return;
        }
        self.progress = progress;
        self.progress.term = self.term;
        self.progress.begin_ownership();
        self.mode = *self.progress.mode.get_or_insert(self.mode);
        if let (Mode::Session { linger, .. }, Some(_)) = (self.mode, self.progress.session)
            && !breaks::is_enabled(Break::NoLinger)
        {
            self.session_not_before = cx.now.saturating_add(linger);
        }
        self.last_activity = cx.now;
        let progress = Box::new(self.progress.clone());
        let seq = cx.write(vec![SettlementRecord::Snapshot { id: self.id.clone(), progress }]);
        self.phase = Phase::Writing { seq, delivered: None, then: AfterWrite::CaughtUp };
        self.wake = None;
    }

    /// No replica of an earlier owner's journal is left: the settlement is broken.
    pub(super) fn records_lost(&mut self, term: u64, cx: &mut Context) {
        let verdict = Some(Verdict::Broken { at: 0, cause: Cause::RecordsLost });
        self.fetched(term, SettlementProgress { verdict, ..SettlementProgress::default() }, cx);
    }

    /// Whether the settlement can leave now or has to prepare to; `None`: it continues here for now.
    pub(super) fn handover_step(&self, now: Micros) -> Option<NextStep> {
        let handover = self.handover.as_ref()?;
        if now >= handover.by {
            return Some(NextStep::Leave { boundary: false });
        }
        let is_bound_to_session = matches!(self.mode, Mode::Session { resume: Resume::Never, .. });
        if is_bound_to_session && self.progress.has_started() {
            return None;
        }
        match self.session.state() {
            SessionState::None if self.pending.is_empty() => Some(NextStep::Leave { boundary: true }),
            SessionState::None | SessionState::Dropping => Some(NextStep::Wait(Some(handover.by))),
            _ => Some(NextStep::DropSession),
        }
    }

    /// Proposes the move; from now on nothing is done here, as otherwise the successor's records would not be all.
    pub(super) fn propose_move(&mut self, boundary: bool, cx: &mut Context) {
        let handover = self.handover.as_ref();
        let successor = handover.and_then(|handover| registry::successor(&self.id, &handover.successors));
        let Some(JournalRef { courier, epoch }) = successor.cloned() else {
            self.handover = None;
            return self.advance(Vec::new(), cx);
        };
        self.step_session(SessionInput::Leave, cx);
        let retry_at = cx.retry_at();
        self.wake = Some(retry_at);
        if !breaks::is_enabled(Break::ReleaseInMove) {
            self.phase = Phase::Leaving { boundary, retry_at };
        }
        cx.outputs.push(OwnerOutput::Propose(SettlementCommand::Move {
            id: self.id.clone(),
            term: self.term,
            to: courier,
            to_epoch: epoch,
            boundary,
        }));
        if breaks::is_enabled(Break::ReleaseInMove) {
            self.handover = None;
            self.advance(Vec::new(), cx);
        }
    }

    /// The move was rejected: tries another successor. True: there is none, and the settlement continues here.
    pub(super) fn move_rejected(&mut self, term: u64, to: &JournalRef, cx: &mut Context) -> bool {
        if self.term != term {
            return false;
        }
        if let Some(handover) = &mut self.handover {
            handover.successors.retain(|successor| successor != to);
        }
        let Phase::Leaving { boundary, .. } = self.phase else { return false };
        let is_last = self.handover.as_ref().is_none_or(|handover| handover.successors.is_empty());
        if !is_last {
            self.propose_move(boundary, cx);
        }
        is_last
    }

    /// Leave for another courier.
    pub(super) fn drain(&mut self, handover: Handover, cx: &mut Context) {
        let by = handover.by;
        self.handover = Some(handover);
        match self.phase {
            Phase::Idle => self.advance(Vec::new(), cx),
            Phase::InFlight { .. } => self.wake = Some(by),
            _ => {}
        }
    }

    /// Stay here after all, unless a move is proposed already.
    pub(super) fn cancel_drain(&mut self) {
        if !matches!(self.phase, Phase::Leaving { .. }) {
            self.handover = None;
        }
    }

    /// The graceful phase of a handover is over.
    pub(super) fn is_handover_overdue(&self, now: Micros) -> bool {
        self.handover.as_ref().is_some_and(|handover| now >= handover.by)
    }
}
