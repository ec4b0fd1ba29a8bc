//! Attempts: sending the next position once its release is in the journal, and what its outcome leads to.

use super::interface::{ATTEMPT_BACKOFF, OwnerOutput};
use super::machine::{Context, Phase, Settlement};
use crate::settlement::model::{Mode, Outcome};
use crate::settlement::progress::SettlementRecord;
use crate::settlement::session::{SESSION_OPEN_TIMEOUT, SessionInput, SessionOutput, SessionState};

impl Settlement {
    /// The release is in the journal: sends the position, unless its time has passed.
    pub(super) fn send_attempt(&mut self, seq: u64, opens: bool, cx: &mut Context) {
        let position = self.progress.next;
        let Some(state) = self.progress.positions.get(&position) else { return };
        let mut by = self.progress.send_deadline(state);
        if opens {
            by = by.min(state.sent_at.unwrap_or(cx.now).saturating_add(SESSION_OPEN_TIMEOUT));
        }
        let (message_id, deadline) = (state.sequenced.message_id.clone(), state.sequenced.deadline);
        let is_session = matches!(self.mode, Mode::Session { .. });
        // The session may have been lost while the record was written.
        let has_connection =
            !is_session || self.step_session(SessionInput::Send, cx) != SessionOutput::Nothing;
        if cx.now >= by || !has_connection {
            if opens && has_connection {
                self.abandon_session(cx);
            }
            let is_late = cx.now >= deadline;
            let outcome = if is_late { Outcome::OutOfTime } else { Outcome::NeverRan { after: 0 } };
            return self.apply_outcome(outcome, cx);
        }
        self.phase = Phase::InFlight { attempt: seq };
        self.wake = self.handover.as_ref().map(|handover| handover.by);
        cx.outputs.push(OwnerOutput::Send {
            id: self.id.clone(),
            position,
            message_id,
            attempt: seq,
            by,
            session: is_session.then_some(self.number),
            opens,
        });
    }

    /// An attempt has ended, and with it the session if `lost`.
    pub(super) fn attempt_ended(&mut self, attempt: u64, outcome: Outcome, lost: bool, cx: &mut Context) {
        if self.phase != (Phase::InFlight { attempt }) {
            return;
        }
        if lost && self.session.is_open() {
            self.abandon_session(cx);
        }
        self.apply_outcome(outcome, cx);
    }

    /// The session is lost, or was never opened.
    fn abandon_session(&mut self, cx: &mut Context) {
        self.step_session(SessionInput::Lost, cx);
        self.lost = Some(self.number);
    }

    fn apply_outcome(&mut self, outcome: Outcome, cx: &mut Context) {
        let position = self.progress.next;
        self.last_activity = cx.now;
        let backoff = match outcome {
            Outcome::NeverRan { after } => after.max(ATTEMPT_BACKOFF),
            Outcome::MayHaveRun => ATTEMPT_BACKOFF,
            Outcome::Delivered | Outcome::Failed | Outcome::OutOfTime => 0,
        };
        self.backoff_until = cx.now.saturating_add(backoff);
        self.phase = Phase::Idle;
        self.advance(vec![SettlementRecord::Outcome { id: self.id.clone(), position, outcome }], cx);
    }

    /// A session's connection is gone: an attempt in flight on it may have run.
    pub(super) fn session_lost(&mut self, session: u32, cx: &mut Context) {
        let is_live = self.session.is_open() || self.session.state() == SessionState::Dropping;
        if self.number != session || !is_live {
            return;
        }
        self.abandon_session(cx);
        match self.phase {
            Phase::InFlight { .. } => self.apply_outcome(Outcome::MayHaveRun, cx),
            Phase::Closing => {
                self.phase = Phase::Idle;
                self.advance(Vec::new(), cx);
            }
            _ => self.advance(Vec::new(), cx),
        }
    }

    /// A connection is reserved for this session; whether it is still wanted.
    pub(super) fn session_pinned(&mut self, session: u32, cx: &mut Context) -> bool {
        let is_wanted = self.number == session && self.session.state() == SessionState::Waiting;
        if is_wanted {
            self.step_session(SessionInput::Pinned, cx);
            self.advance(Vec::new(), cx);
        }
        is_wanted
    }
}
