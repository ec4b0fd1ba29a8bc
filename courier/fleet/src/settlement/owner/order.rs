//! Order: chooses the next step from the records, the session and the time.
//!
//! At most one position is in flight, so that no position after a break ever runs.

use super::machine::{Context, Settlement, earlier};
use crate::settlement::breaks::{self, Break};
use crate::settlement::model::{Cause, End, Mode, Resume, Verdict};
use crate::settlement::progress::PositionState;
use crate::settlement::session::{MAX_SESSIONS, SessionState};
use quillmount_policy::Micros;

/// The next step of a settlement. A time in it is the latest time for the next decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Wait: no step is possible now.
    Wait(Option<Micros>),
    /// Request a connection for a new session.
    Pin(Option<Micros>),
    /// Release the next position for an attempt, and open the connection of its session if `opens_session`.
    Release { opens_session: bool },
    /// Close the session, and open its connection first if `opens_session`.
    Close { opens_session: bool },
    /// Write this verdict.
    Decide(Verdict),
    /// Report the verdict that is in the journal.
    Announce,
    /// Propose a move to another courier.
    Leave { at_boundary: bool },
    /// Drop the session, so that the settlement can move at a boundary.
    DropSession,
}

impl NextStep {
    /// Returns the step with its next decision no later than `deadline`.
    fn no_later_than(self, deadline: Option<Micros>) -> NextStep {
        match self {
            NextStep::Wait(wake) => NextStep::Wait(earlier(wake, deadline)),
            NextStep::Pin(wake) => NextStep::Pin(earlier(wake, deadline)),
            step => step,
        }
    }
}

impl Settlement {
    /// Chooses the step to take now.
    pub(super) fn next_step(&mut self, cx: &Context) -> NextStep {
        if self.progress.verdict.is_some() {
            return NextStep::Announce;
        }
        if let Some(step) = self.handover_step(cx.now) {
            return step;
        }
        let graceful_until = self.handover.as_ref().map(|handover| handover.graceful_until);
        self.delivery_step(cx).no_later_than(graceful_until)
    }

    fn delivery_step(&mut self, cx: &Context) -> NextStep {
        let position = self.progress.next_position;
        if let Some(cause) =
            self.progress.positions.get(&position).and_then(|state| self.break_cause(state, cx.now))
        {
            if breaks::is_enabled(Break::SendAfterBreak)
                && self.progress.positions.contains_key(&(position + 1))
            {
                self.progress.next_position += 1;
                return self.delivery_step(cx);
            }
            return self.broken(cause);
        }
        let is_complete = position > 1 && self.progress.total == Some(position - 1);
        if self.has_no_more_sessions() {
            return self.broken(if is_complete { Cause::Unconfirmed } else { Cause::SessionLost });
        }
        if is_complete {
            return self.closing_step(cx);
        }
        let Some(state) = self.progress.positions.get(&position) else { return self.missing_step(cx) };
        let send_deadline = self.progress.send_deadline(state);
        if cx.now < self.backoff_until {
            return NextStep::Wait(Some(self.backoff_until.min(send_deadline)));
        }
        match self.mode {
            Mode::Message => NextStep::Release { opens_session: false },
            Mode::Session { .. } => self.session_next_step(cx.now, Some(send_deadline)),
        }
    }

    fn broken(&self, cause: Cause) -> NextStep {
        NextStep::Decide(Verdict::Broken { break_position: self.progress.next_position, cause })
    }

    /// Returns the cause if the settlement breaks at the next position.
    fn break_cause(&self, next: &PositionState, now: Micros) -> Option<Cause> {
        let is_past_deadline = now >= next.sequenced.deadline;
        match next.end {
            Some(End::Failed) => Some(Cause::Failed),
            Some(End::OutOfTime) => Some(Cause::OutOfTime),
            Some(End::MayHaveRun) => Some(Cause::MayHaveRun),
            _ if !self.progress.may_send(next, now) => Some(Cause::MayHaveRun),
            _ if is_past_deadline && next.first_attempt.is_some() => Some(Cause::MayHaveRun),
            _ if is_past_deadline => Some(Cause::OutOfTime),
            _ => None,
        }
    }

    /// Chooses the step once every position is delivered.
    fn closing_step(&self, cx: &Context) -> NextStep {
        let closed = NextStep::Decide(Verdict::Closed { total: self.progress.next_position - 1 });
        if self.mode == Mode::Message || breaks::is_enabled(Break::CloseUnconfirmed) {
            return closed;
        }
        let idle_until = self.last_activity.saturating_add(cx.limits.idle_timeout);
        if cx.now >= idle_until && !self.session.is_open() {
            return self.broken(Cause::Unconfirmed);
        }
        self.session_next_step(cx.now, None).no_later_than(Some(idle_until))
    }

    /// Returns whether a session was lost and no further session is allowed.
    fn has_no_more_sessions(&self) -> bool {
        let Mode::Session { resume, .. } = self.mode else { return false };
        let allows_no_session = resume == Resume::Never && self.progress.has_started();
        let has_no_session = matches!(self.session.state(), SessionState::None | SessionState::Dropping);
        has_no_session
            && self.progress.session_count > 0
            && (allows_no_session || self.progress.session_count >= MAX_SESSIONS)
    }

    /// Chooses the step in session mode: to send a position before `send_deadline`, or to close the session if that
    /// is `None`.
    fn session_next_step(&self, now: Micros, send_deadline: Option<Micros>) -> NextStep {
        let send_or_close = |opens_session| match send_deadline {
            Some(_) => NextStep::Release { opens_session },
            None => NextStep::Close { opens_session },
        };
        match self.session.state() {
            SessionState::Open => send_or_close(false),
            SessionState::Pinned => send_or_close(true),
            SessionState::Waiting | SessionState::Closing { .. } | SessionState::Dropping => {
                NextStep::Wait(send_deadline)
            }
            SessionState::None if self.progress.open_session.is_some() && now < self.session_not_before => {
                NextStep::Wait(earlier(Some(self.session_not_before), send_deadline))
            }
            SessionState::None => NextStep::Pin(send_deadline),
        }
    }

    /// Chooses the step while the next position is not submitted or its submission is not yet written.
    fn missing_step(&mut self, cx: &Context) -> NextStep {
        let position = self.progress.next_position;
        let mut unwritten = self.pending.values().filter_map(|pending| pending.request.sequenced());
        if unwritten.any(|sequenced| sequenced.position == position) {
            return NextStep::Wait(None);
        }
        match self.earliest_deadline() {
            Some(_) if breaks::is_enabled(Break::SkipMissing) => {
                let first = self.progress.positions.iter().find(|(_, state)| state.end.is_none());
                self.progress.next_position = first.map_or(position, |(position, _)| *position);
                self.delivery_step(cx)
            }
            Some(deadline) if cx.now >= deadline => self.broken(Cause::Missing),
            Some(deadline) => NextStep::Wait(Some(deadline)),
            None if !self.pending.is_empty() => NextStep::Wait(None),
            None => match self.last_activity.saturating_add(cx.limits.idle_timeout) {
                idle_until if cx.now >= idle_until => self.broken(Cause::Idle),
                idle_until => NextStep::Wait(Some(idle_until)),
            },
        }
    }
}
