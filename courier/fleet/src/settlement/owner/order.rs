//! Order: which step the records, the session and the clock call for next.
//!
//! Positions leave one at a time: only then does nothing that follows a break ever run.

use super::machine::{Context, Settlement, earlier};
use crate::settlement::breaks::{self, Break};
use crate::settlement::model::{Cause, End, Mode, Resume, Verdict};
use crate::settlement::progress::PositionState;
use crate::settlement::session::{MAX_SESSIONS, SessionState};
use quillmount_policy::Micros;

/// What comes next. A time is when to decide again at the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Nothing can be done now.
    Wait(Option<Micros>),
    /// Request a connection for a new session.
    Pin(Option<Micros>),
    /// Release the next position for an attempt; `opens`: on a session that is opened now.
    Release { opens: bool },
    /// Close the session, opening its connection first if `opens`.
    Close { opens: bool },
    /// Write this verdict.
    Decide(Verdict),
    /// Announce the verdict that the journal has.
    Announce,
    /// Propose a move to another courier.
    Leave { boundary: bool },
    /// Give the session up, to leave at a boundary.
    DropSession,
}

impl NextStep {
    /// The same step, decided again no later than this.
    fn no_later_than(self, at: Option<Micros>) -> NextStep {
        match self {
            NextStep::Wait(wake) => NextStep::Wait(earlier(wake, at)),
            NextStep::Pin(wake) => NextStep::Pin(earlier(wake, at)),
            step => step,
        }
    }
}

impl Settlement {
    /// The step to take now.
    pub(super) fn next_step(&mut self, cx: &Context) -> NextStep {
        if self.progress.verdict.is_some() {
            return NextStep::Announce;
        }
        if let Some(step) = self.handover_step(cx.now) {
            return step;
        }
        let by = self.handover.as_ref().map(|handover| handover.by);
        self.delivery_step(cx).no_later_than(by)
    }

    fn delivery_step(&mut self, cx: &Context) -> NextStep {
        let at = self.progress.next;
        if let Some(cause) =
            self.progress.positions.get(&at).and_then(|state| self.break_cause(state, cx.now))
        {
            if breaks::is_enabled(Break::AfterBreak) && self.progress.positions.contains_key(&(at + 1)) {
                self.progress.next += 1;
                return self.delivery_step(cx);
            }
            return self.broken(cause);
        }
        let is_complete = at > 1 && self.progress.total == Some(at - 1);
        if self.has_no_more_sessions() {
            return self.broken(if is_complete { Cause::Unconfirmed } else { Cause::SessionLost });
        }
        if is_complete {
            return self.closing_step(cx);
        }
        let Some(state) = self.progress.positions.get(&at) else { return self.missing_step(cx) };
        let by = self.progress.send_deadline(state);
        if cx.now < self.backoff_until {
            return NextStep::Wait(Some(self.backoff_until.min(by)));
        }
        match self.mode {
            Mode::Message => NextStep::Release { opens: false },
            Mode::Session { .. } => self.session_next_step(cx.now, Some(by)),
        }
    }

    fn broken(&self, cause: Cause) -> NextStep {
        NextStep::Decide(Verdict::Broken { at: self.progress.next, cause })
    }

    /// Why the settlement breaks at the next position, if it does.
    fn break_cause(&self, next: &PositionState, now: Micros) -> Option<Cause> {
        let is_late = now >= next.sequenced.deadline;
        match next.end {
            Some(End::Failed) => Some(Cause::Failed),
            Some(End::OutOfTime) => Some(Cause::OutOfTime),
            Some(End::MayHaveRun) => Some(Cause::MayHaveRun),
            _ if !self.progress.may_send(next, now) => Some(Cause::MayHaveRun),
            _ if is_late && next.first_attempt.is_some() => Some(Cause::MayHaveRun),
            _ if is_late => Some(Cause::OutOfTime),
            _ => None,
        }
    }

    /// Every position is delivered.
    fn closing_step(&self, cx: &Context) -> NextStep {
        let closed = NextStep::Decide(Verdict::Closed { total: self.progress.next - 1 });
        if self.mode == Mode::Message || breaks::is_enabled(Break::ClosedEarly) {
            return closed;
        }
        let idle = self.last_activity.saturating_add(cx.limits.idle);
        if cx.now >= idle && !self.session.is_open() {
            return self.broken(Cause::Unconfirmed);
        }
        self.session_next_step(cx.now, None).no_later_than(Some(idle))
    }

    /// A session was lost, and the partner accepts no other.
    fn has_no_more_sessions(&self) -> bool {
        let Mode::Session { resume, .. } = self.mode else { return false };
        let is_refused = resume == Resume::Never && self.progress.has_started();
        let is_none = matches!(self.session.state(), SessionState::None | SessionState::Dropping);
        is_none && self.progress.sessions > 0 && (is_refused || self.progress.sessions >= MAX_SESSIONS)
    }

    /// `by`: a position is to be sent until then; `None`: the session is to be closed.
    fn session_next_step(&self, now: Micros, by: Option<Micros>) -> NextStep {
        let send_or_close = |opens| match by {
            Some(_) => NextStep::Release { opens },
            None => NextStep::Close { opens },
        };
        match self.session.state() {
            SessionState::Open => send_or_close(false),
            SessionState::Pinned => send_or_close(true),
            SessionState::Waiting | SessionState::Closing { .. } | SessionState::Dropping => {
                NextStep::Wait(by)
            }
            SessionState::None if self.progress.session.is_some() && now < self.session_not_before => {
                NextStep::Wait(earlier(Some(self.session_not_before), by))
            }
            SessionState::None => NextStep::Pin(by),
        }
    }

    /// The next position has not been submitted, or its submission is not yet written.
    fn missing_step(&mut self, cx: &Context) -> NextStep {
        let at = self.progress.next;
        let mut unwritten = self.pending.values().filter_map(|pending| pending.request.sequenced());
        if unwritten.any(|sequenced| sequenced.position == at) {
            return NextStep::Wait(None);
        }
        match self.earliest_deadline() {
            Some(_) if breaks::is_enabled(Break::SkipHole) => {
                let first = self.progress.positions.iter().find(|(_, state)| state.end.is_none());
                self.progress.next = first.map_or(at, |(position, _)| *position);
                self.delivery_step(cx)
            }
            Some(deadline) if cx.now >= deadline => self.broken(Cause::Missing),
            Some(deadline) => NextStep::Wait(Some(deadline)),
            None if !self.pending.is_empty() => NextStep::Wait(None),
            None => match self.last_activity.saturating_add(cx.limits.idle) {
                idle if cx.now >= idle => self.broken(Cause::Idle),
                idle => NextStep::Wait(Some(idle)),
            },
        }
    }
}
