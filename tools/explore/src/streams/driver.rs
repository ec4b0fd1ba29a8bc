//! The driver of streamed calls, as `courier/program/src/transport/streams.rs` has it: it carries out what the hub requests,
//! writes bodies, and reports what became of calls.

use super::world::StreamWorld;
use crate::property::{Property, Violation, violated};
use quillmount_core::call::{Call, StepOutcome};
use quillmount_core::flow::Flow;
use quillmount_core::hub::DriverAction;
use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use quillmount_core::pool::Pool;
use quillmount_core::router::StreamEnd;
use quillmount_core::{CallEnd, CallId, DeliveryCall};
use quillmount_policy::MsgId;
use quillmount_protocol::delivery;

impl StreamWorld {
    /// Carries out what the hub requests of its driver.
    pub(super) fn execute(&mut self, actions: Vec<DriverAction<u32>>) -> Result<(), Violation> {
        for action in actions {
            match action {
                DriverAction::Begin(order) => self.begin_call(order)?,
                DriverAction::Signal(id, input) => self.signal(id, input)?,
                DriverAction::Answer(message, end) => self.queue_answer(message, end)?,
                DriverAction::Close(_) | DriverAction::Notify | DriverAction::Note(_) => {}
            }
        }
        Ok(())
    }

    /// Begins a call, unless its client is gone.
    fn begin_call(&mut self, order: DeliveryCall) -> Result<(), Violation> {
        let (id, now) = (order.call, self.now);
        if self.body_of(id.msg).is_none_or(|body| !self.bodies[body].connected) {
            return self.finish_call(id, CallEnd::HeldBack);
        }
        self.calls.insert(id, Call::streamed(order, delivery::decode, delivery::RESPONSE_MAX));
        self.step_call(id, |call, pool| call.start(pool, now, |_| true))
    }

    /// Passes a signal to an attempt; where it is to back off and goes on writing, its driver pauses.
    fn signal(&mut self, id: CallId, input: AttemptInput) -> Result<(), Violation> {
        let now = self.now;
        self.step_call(id, |call, pool| call.step(pool, input, now))?;
        let writing = self.calls.get(&id).filter(|call| is_writing(call.state()));
        if let (AttemptInput::BackOff, Some(call), Some(body)) = (input, writing, self.body_of(id.msg)) {
            self.bodies[body].paused_until = Some(self.hub.pool.backoff_until(call.delivery.endpoint));
            self.update_flow(body, |flow| flow.set_paused(true, now));
        }
        Ok(())
    }

    /// The answer for the client of a message is to be written.
    fn queue_answer(&mut self, message: MsgId, end: StreamEnd) -> Result<(), Violation> {
        let Some(body) = self.body_of(message) else {
            return violated(Property::FinalAnswer, format!("an answer to nobody: {end:?}"));
        };
        let body = &mut self.bodies[body];
        if body.answer.is_some() || !body.ends.is_empty() {
            return violated(Property::FinalAnswer, format!("a second answer: {end:?}"));
        }
        body.answer = Some(end);
        Ok(())
    }

    /// Writes the unit that is next in the window.
    pub(super) fn write_unit(&mut self, body: usize) -> Result<(), Violation> {
        let now = self.now;
        self.check_may_write()?;
        if let Some(flow) = self.bodies[body].flow.as_ref().filter(|flow| flow.sent() < flow.base()) {
            return violated(Property::Unchanged, format!("unit {} is to leave, and is gone", flow.sent()));
        }
        self.update_flow(body, |flow| flow.send(1, now));
        self.update_received(body, |received| received.units += 1);
        self.input(body, AttemptInput::Wrote { bytes: 1, left: 1 })
    }

    /// Writes the end of the body.
    pub(super) fn write_end(&mut self, body: usize) -> Result<(), Violation> {
        self.check_may_write()?;
        self.update_received(body, |received| received.complete = true);
        self.input(body, AttemptInput::Wrote { bytes: 0, left: 0 })
    }

    /// Checks that a byte may leave: not during a wait that the destination asked for.
    fn check_may_write(&self) -> Result<(), Violation> {
        if self.now < self.wait_until {
            return violated(
                Property::Wait,
                format!("a byte leaves {} us before the wait is over", self.wait_until - self.now),
            );
        }
        Ok(())
    }

    /// Changes a flow, and notifies the router once it can't be replayed from its beginning any more.
    pub(super) fn update_flow(&mut self, body: usize, change: impl FnOnce(&mut Flow)) {
        let body = &mut self.bodies[body];
        if let Some(flow) = &mut body.flow {
            change(flow);
        }
        let is_replayable = body.flow.as_ref().is_none_or(Flow::is_replayable);
        if let Some(message) = body.message.filter(|_| !is_replayable) {
            self.hub.router.stream_committed(message);
        }
    }

    /// Passes an input to the state machine of the body's call.
    pub(super) fn input(&mut self, body: usize, input: AttemptInput) -> Result<(), Violation> {
        let now = self.now;
        self.step(body, |call, pool| call.step(pool, input, now))
    }

    /// Applies a step to the body's call, if one is in flight.
    pub(super) fn step(
        &mut self,
        body: usize,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>) -> StepOutcome<u32>,
    ) -> Result<(), Violation> {
        let Some((id, _)) = self.call_of(body) else { return Ok(()) };
        self.step_call(id, step)
    }

    /// Applies a step to a call, and carries out what follows from it.
    fn step_call(
        &mut self,
        id: CallId,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>) -> StepOutcome<u32>,
    ) -> Result<(), Violation> {
        let Some(body) = self.body_of(id.msg) else { return Ok(()) };
        let Some(call) = self.calls.get_mut(&id) else { return Ok(()) };
        let before = call.state();
        let outcome = step(call, &mut self.hub.pool);
        let (state, answer_timeout) = (call.state(), call.delivery.timeout);
        if is_writing(state) && !is_writing(before) {
            self.begin_body(body, id)?;
        }
        if state == AttemptState::Awaiting && before != AttemptState::Awaiting && outcome.end.is_none() {
            let now = self.now;
            self.answer_deadlines.insert(id, now + answer_timeout);
            let actions = self.hub.stream(|router| router.stream_written(id, now), now);
            self.execute(actions)?;
        }
        match outcome.end {
            Some(end) => self.finish_call(id, end),
            None => Ok(()),
        }
    }

    /// The driver begins the body as soon as it has the connection.
    fn begin_body(&mut self, body: usize, id: CallId) -> Result<(), Violation> {
        let now = self.now;
        let mut is_complete = true;
        self.update_flow(body, |flow| is_complete = flow.begin_attempt(now));
        if !is_complete {
            return violated(Property::Unchanged, format!("call {} can't have all of it", id.attempt));
        }
        let body = &mut self.bodies[body];
        body.received.entry(id.attempt).or_default();
        body.begun = true;
        body.paused_until = None;
        Ok(())
    }

    /// A call has ended: the hub decides what follows.
    fn finish_call(&mut self, id: CallId, end: CallEnd) -> Result<(), Violation> {
        let now = self.now;
        self.calls.remove(&id);
        self.answer_deadlines.remove(&id);
        if let Some(body) = self.body_of(id.msg) {
            self.update_flow(body, |flow| flow.end_attempt(now));
            self.bodies[body].paused_until = None;
        }
        let actions = self.hub.call_ended(id, end, now);
        self.execute(actions)
    }
}

/// Whether the attempt is writing its request.
fn is_writing(state: AttemptState) -> bool {
    matches!(state, AttemptState::Writing { .. })
}
