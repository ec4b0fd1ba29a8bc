//! Attempts: sends the next position once its release is in the journal, and handles the outcome.

use super::interface::{ATTEMPT_BACKOFF, OwnerOutput};
use super::machine::{Context, Phase, Settlement};
use crate::settlement::model::{Mode, Outcome};
use crate::settlement::progress::SettlementRecord;
use crate::settlement::session::{SESSION_OPEN_TIMEOUT, SessionInput, SessionOutput, SessionState};

impl Settlement {
    /// Sends the position whose release is in the journal, unless its send deadline has passed.
    pub(super) fn send_attempt(&mut self, seq: u64, opens_session: bool, cx: &mut Context) {
        let position = self.progress.next_position;
        let Some(state) = self.progress.positions.get(&position) else { return };
        let mut send_deadline = self.progress.send_deadline(state);
        if opens_session {
            send_deadline =
                send_deadline.min(state.sent_at.unwrap_or(cx.now).saturating_add(SESSION_OPEN_TIMEOUT));
        }
        let (message_id, deadline) = (state.sequenced.message_id.clone(), state.sequenced.deadline);
        let is_session = matches!(self.mode, Mode::Session { .. });
        // The session may have been lost while the record was written.
        let has_connection =
            !is_session || self.step_session(SessionInput::Send, cx) != SessionOutput::Nothing;
        if cx.now >= send_deadline || !has_connection {
            if opens_session && has_connection {
                self.abandon_session(cx);
            }
            let is_late = cx.now >= deadline;
            let outcome = if is_late { Outcome::OutOfTime } else { Outcome::NeverRan { after: 0 } };
            return self.apply_outcome(outcome, cx);
        }
        self.phase = Phase::InFlight { attempt: seq };
        self.next_wake = self.handover.as_ref().map(|handover| handover.graceful_until);
        cx.outputs.push(OwnerOutput::Send {
            id: self.id.clone(),
            position,
            message_id,
            attempt: seq,
            send_deadline,
            session: is_session.then_some(self.session_number),
            opens_session,
        });
    }

    /// Handles the end of an attempt. `session_lost` is true if the connection of its session is lost as well.
    pub(super) fn attempt_ended(
        &mut self,
        attempt: u64,
        outcome: Outcome,
        session_lost: bool,
        cx: &mut Context,
    ) {
        if self.phase != (Phase::InFlight { attempt }) {
            return;
        }
        if session_lost && self.session.is_open() {
            self.abandon_session(cx);
        }
        self.apply_outcome(outcome, cx);
    }

    /// Marks the current session as lost; it may never have been opened.
    fn abandon_session(&mut self, cx: &mut Context) {
        self.step_session(SessionInput::Lost, cx);
        self.lost_session = Some(self.session_number);
    }

    fn apply_outcome(&mut self, outcome: Outcome, cx: &mut Context) {
        let position = self.progress.next_position;
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

    /// Handles the loss of a session's connection: an attempt in flight on it may have run.
    pub(super) fn session_lost(&mut self, session: u32, cx: &mut Context) {
        let is_live = self.session.is_open() || self.session.state() == SessionState::Dropping;
        if self.session_number != session || !is_live {
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

    /// Handles the reservation of a connection for this session; returns whether the session still needs it.
    pub(super) fn session_pinned(&mut self, session: u32, cx: &mut Context) -> bool {
        let is_wanted = self.session_number == session && self.session.state() == SessionState::Waiting;
        if is_wanted {
            self.step_session(SessionInput::Pinned, cx);
            self.advance(Vec::new(), cx);
        }
        is_wanted
    }
}
