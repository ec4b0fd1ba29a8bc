//! What may happen next in the world of streams: every event that is possible in a state.

use super::event::{BodyEvent, StreamEvent};
use super::world::{START, StreamWorld, StreamedBody, TIME_LEFT};
use quillmount_core::CallId;
use quillmount_core::call::Call;
use quillmount_core::flow::{BodySource, Flow};
use quillmount_core::machine::attempt::AttemptState;
use quillmount_policy::Micros;

/// Time until a call has to begin, of the 400 ms that a client waits for its answer to the head; in microseconds.
const ADMISSION_TIME: Micros = 300_000;
/// Time of the world beyond which nothing is awaited, in microseconds.
const TIME_SPAN: Micros = 2 * TIME_LEFT;

impl StreamWorld {
    /// What may happen now. Time goes on only where nothing is left to do at this moment.
    pub(super) fn events(&self) -> Vec<BodyEvent> {
        if let Some(immediate) = self.immediate_events() {
            return immediate;
        }
        let mut events = Vec::new();
        for body in 0..self.bodies.len() {
            events.extend(self.client_events(body).into_iter().map(|event| BodyEvent { body, event }));
            events.extend(self.call_events(body).into_iter().map(|event| BodyEvent { body, event }));
        }
        if self.case.kills && !self.killed {
            events.push(BodyEvent { body: 0, event: StreamEvent::Kill });
        }
        if self.next_time().is_some() {
            events.push(BodyEvent { body: 0, event: StreamEvent::ClockAdvanced });
        }
        events
    }

    /// Events that wait for nothing and come before all others.
    fn immediate_events(&self) -> Option<Vec<BodyEvent>> {
        let find = |wanted: fn(&StreamedBody) -> bool| self.bodies.iter().position(wanted);
        if !self.killed
            && let Some(body) = find(|body| body.message.is_none())
        {
            return Some(vec![BodyEvent { body, event: StreamEvent::HeadSubmitted }]);
        }
        if let Some(body) = find(|body| body.answer.is_some() && body.connected) {
            let outcomes = [StreamEvent::AnswerReceived, StreamEvent::AnswerMissed];
            return Some(outcomes.map(|event| BodyEvent { body, event }).to_vec());
        }
        let has_notices = !self.hub.router.notices(1).is_empty();
        has_notices.then(|| vec![BodyEvent { body: 0, event: StreamEvent::NoticesConfirmed }])
    }

    /// What the client of a body may do, and what it may wait for in vain.
    fn client_events(&self, body: usize) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        let is_single = self.case.is_single();
        let body = &self.bodies[body];
        let Some(flow) = body.flow.as_ref().filter(|_| body.connected && body.ends.is_empty()) else {
            return events;
        };
        let is_coming = flow.source() == BodySource::Receiving;
        let length = self.case.body_length();
        if is_coming && body.begun && flow.capacity() > 0 && flow.received() < length {
            events.push(StreamEvent::UnitArrived);
        }
        if is_coming && flow.received() == length {
            events.push(StreamEvent::BodyCompleted);
            events.extend(is_single.then_some(StreamEvent::DigestMismatch));
        }
        if is_coming && (is_single || body.begun) {
            events.push(StreamEvent::ClientDisconnected);
        }
        if !body.begun && self.now >= START + ADMISSION_TIME {
            events.push(StreamEvent::AdmissionExpired);
        }
        events
    }

    /// What may happen to the call of a body.
    fn call_events(&self, body: usize) -> Vec<StreamEvent> {
        let Some((id, call)) = self.call_of(body) else { return Vec::new() };
        match call.state() {
            AttemptState::Connecting => vec![StreamEvent::Connected, StreamEvent::ConnectionRefused],
            AttemptState::Writing { .. } => self.writing_events(&self.bodies[body]),
            AttemptState::Awaiting => self.awaiting_events(id),
            _ if is_tick_due(call, self.now) => vec![StreamEvent::CallTick],
            _ => Vec::new(),
        }
    }

    /// What may happen to a body that is being written.
    fn writing_events(&self, body: &StreamedBody) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        let is_single = self.case.is_single();
        if body.paused_until.is_some_and(|paused_until| self.now >= paused_until) {
            events.push(StreamEvent::WritingResumed);
        }
        if body.flow.as_ref().is_some_and(|flow| flow.sendable() > 0) {
            events.push(StreamEvent::UnitWritten);
            events.extend(is_single.then_some(StreamEvent::WriteFailed));
        }
        if body.flow.as_ref().is_some_and(Flow::may_finish) {
            events.push(StreamEvent::EndWritten);
        }
        events.extend([StreamEvent::AnsweredWait, StreamEvent::ConnectionReset, StreamEvent::TimedOut]);
        if is_single {
            events.extend([StreamEvent::AnsweredOk, StreamEvent::AnsweredError, StreamEvent::AnsweredFull]);
        }
        events
    }

    /// What may happen to a call whose body is written to its end.
    fn awaiting_events(&self, id: CallId) -> Vec<StreamEvent> {
        let mut events =
            vec![StreamEvent::AnsweredOk, StreamEvent::AnsweredWait, StreamEvent::ConnectionReset];
        if self.case.is_single() {
            events.extend([StreamEvent::AnsweredError, StreamEvent::AnsweredFull]);
        }
        if self.answer_deadlines.get(&id).is_some_and(|deadline| self.now >= *deadline) {
            events.push(StreamEvent::TimedOut);
        }
        events
    }

    /// The next moment that anything waits for.
    pub(super) fn next_time(&self) -> Option<Micros> {
        let mut moments: Vec<Micros> = Vec::new();
        if let Some(wake_at) = self.hub.router.wake_at() {
            // A timer that is already due is served a microsecond later.
            moments.extend([wake_at, wake_at.max(self.now + 1)]);
        }
        moments.extend(self.calls.values().filter_map(|call| call.attempt().wake_at()));
        moments.extend(self.answer_deadlines.values());
        moments.extend(self.bodies.iter().filter_map(|body| body.paused_until));
        if self.bodies.iter().any(|body| !body.begun && body.connected) {
            moments.push(START + ADMISSION_TIME);
        }
        moments.into_iter().filter(|at| *at > self.now && *at <= START + TIME_SPAN).min()
    }
}

/// Whether a timer of the attempt has expired.
fn is_tick_due(call: &Call<u32>, now: Micros) -> bool {
    call.attempt().wake_at().is_some_and(|at| at <= now)
}
