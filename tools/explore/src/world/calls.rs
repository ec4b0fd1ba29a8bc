//! Connections, requests and answers: what the driver and the endpoints do to calls.

use crate::action::{Answer, CallRef, WriteExtent};
use crate::case::NOTICE;
use crate::monitor::SLACK;
use crate::property::{Property, Violation, violated};
use crate::world::state::{OutstandingCall, World};
use quillmount_core::call::{Call, StepOutcome};
use quillmount_core::hub::DriverAction;
use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use quillmount_core::pool::Pool;
use quillmount_core::{CallEnd, CallId, DeliveryCall};
use quillmount_policy::Micros;
use quillmount_protocol::delivery;
use std::collections::BTreeSet;

/// A connection that is not established after this time counts as failed; `dial_timeout_ms` of the settings.
const DIAL_TIMEOUT: Micros = 1_000_000;

impl World {
    /// Carries out what the hub requests of its driver.
    pub(super) fn execute(&mut self, todo: Vec<DriverAction<u32>>) -> Result<(), Violation> {
        if self.crashing {
            return Ok(());
        }
        for one in todo {
            match one {
                DriverAction::Begin(order) => self.begin_call(order)?,
                DriverAction::Signal(id, input) => {
                    if self.calls.contains_key(&id) {
                        self.step_id(id, |call, pool, now| call.step(pool, input, now))?;
                    }
                }
                // No stream is submitted here; the module `streams` explores them.
                DriverAction::Close(_)
                | DriverAction::Notify
                | DriverAction::Note(_)
                | DriverAction::Answer(..) => {}
            }
        }
        Ok(())
    }

    /// Passes an input to the state machine of a call.
    pub(super) fn input(&mut self, call_ref: CallRef, input: AttemptInput) -> Result<(), Violation> {
        self.step(call_ref, |call, pool, now| call.step(pool, input, now))
    }

    /// The connection of a call is established.
    pub(super) fn connected(&mut self, call_ref: CallRef) -> Result<(), Violation> {
        let connection = self.next_connection;
        self.next_connection += 1;
        self.step(call_ref, |call, pool, now| call.connected(pool, connection, now))
    }

    /// The driver writes as much of a request as the extent says.
    pub(super) fn write(&mut self, call_ref: CallRef, how: WriteExtent) -> Result<(), Violation> {
        let Some(id) = self.find(call_ref) else { return Ok(()) };
        let out = &self.calls[&id];
        let (message, endpoint) = (out.message, out.endpoint);
        let request = delivery::encode(&out.call.order);
        let AttemptState::Writing { written } = out.call.state() else { return Ok(()) };
        if how == WriteExtent::Broken {
            return self.input(call_ref, AttemptInput::WriteFailed);
        }
        if written == 0 && out.call.connection().is_some_and(|c| self.unusable.contains(c)) {
            return violated(
                Property::Unchanged,
                format!("{call_ref} goes out behind an answer that broke off"),
            );
        }
        if written == 0 {
            self.check_request(id, message, endpoint, &request)?;
            self.monitor.first_byte(&self.case, self.now, message, id.attempt, endpoint)?;
        }
        let left = request.len() - written;
        let bytes = if how == WriteExtent::Partial { left / 2 } else { left };
        if bytes == left {
            self.monitor.last_byte(&self.case, self.now, message, id.attempt)?;
        }
        self.input(call_ref, AttemptInput::Wrote { bytes, left: left - bytes })
    }

    /// The endpoint answers, and the courier reads it at once.
    pub(super) fn answer(&mut self, call_ref: CallRef, answer: Answer) -> Result<(), Violation> {
        self.answer_arrives(call_ref, answer)?;
        self.read(call_ref)
    }

    /// The endpoint has written its answer, which now stands in the courier's socket.
    pub(super) fn answer_arrives(&mut self, call_ref: CallRef, answer: Answer) -> Result<(), Violation> {
        let Some(out) = self.find(call_ref).and_then(|id| self.calls.get_mut(&id)) else { return Ok(()) };
        let message = out.message;
        out.arrived = Some(answer);
        if answer == Answer::Interim {
            out.interim = true;
        } else {
            self.monitor.call_ended(message, call_ref.attempt, answer.never_ran());
        }
        let m = &mut self.monitor.messages[message];
        // After the deadline only the endpoint counts it.
        m.delivered |= answer.delivers() && self.now < m.deadline;
        m.gone |= answer == Answer::Gone;
        if answer == Answer::Wait {
            let until = self.now + Answer::WAIT_MS * 1_000;
            let wait = self.monitor.waits.entry(m.dest).or_insert((self.now, until));
            // A wait that is extended began with the first answer that asked for it.
            *wait = if self.now < wait.1 { (wait.0, wait.1.max(until)) } else { (self.now, until) };
        }
        Ok(())
    }

    /// The courier reads the answer that stands in its socket.
    pub(super) fn read(&mut self, call_ref: CallRef) -> Result<(), Violation> {
        let Some(out) = self.find(call_ref).and_then(|id| self.calls.get_mut(&id)) else { return Ok(()) };
        let Some(answer) = out.arrived.take() else { return Ok(()) };
        if let Some((connection, bytes)) = out.call.parts() {
            if matches!(answer, Answer::CutOk | Answer::CutFull | Answer::Copy) {
                self.unusable.insert(*connection);
            }
            bytes.extend_from_slice(answer.bytes());
        }
        self.input(call_ref, AttemptInput::Read)
    }

    /// The endpoint closes the first of its idle connections that it has not closed yet.
    pub(super) fn close_idle(&mut self, endpoint: u32) -> Result<(), Violation> {
        let is_open = |of: u32, connection: &u32| of == endpoint && !self.closed.contains(connection);
        let first = self.hub.pool.idle().find(|(of, connection, _)| is_open(*of, connection));
        self.closed.extend(first.map(|(_, connection, _)| *connection));
        Ok(())
    }

    /// Forgets marks of connections that no longer exist.
    pub(super) fn retain_live_connections(&mut self) {
        let resting: BTreeSet<u32> = self.hub.pool.idle().map(|(_, c, _)| *c).collect();
        self.closed.retain(|c| resting.contains(c));
        self.unusable
            .retain(|c| resting.contains(c) || self.calls.values().any(|o| o.call.connection() == Some(c)));
    }

    /// Begins a call: on an idle connection, or with a new one.
    fn begin_call(&mut self, order: DeliveryCall) -> Result<(), Violation> {
        let message = self.messages_by_number.get(&order.call.msg).copied();
        let endpoint = self.hub.router.endpoint_name(order.endpoint);
        let endpoint = endpoint.strip_prefix('p').and_then(|n| n.parse().ok());
        let (Some(message), Some(endpoint)) = (message, endpoint) else {
            return violated(Property::Unchanged, format!("a call for nobody: {:?}", order.call));
        };
        let id = order.call;
        let deadline = self.now + order.timeout;
        let outstanding = OutstandingCall {
            call: Call::new(order, delivery::decode, delivery::ANSWER_MAX),
            message,
            endpoint,
            deadline,
            dial_deadline: self.now + DIAL_TIMEOUT,
            interim: false,
            arrived: None,
        };
        self.calls.insert(id, outstanding);
        let closed = self.closed.clone();
        let is_usable = |connection: &u32| !closed.contains(connection);
        self.step_id(id, |call, pool, now| call.start(pool, now, is_usable))
    }

    /// Applies a step to the call that this reference names.
    fn step(
        &mut self,
        call_ref: CallRef,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>, Micros) -> StepOutcome<u32>,
    ) -> Result<(), Violation> {
        match self.find(call_ref) {
            Some(id) => self.step_id(id, step),
            None => violated(Property::Unchanged, format!("{call_ref} is not out")),
        }
    }

    /// Applies a step to a call, and reports to monitor and hub what has ended with it.
    fn step_id(
        &mut self,
        id: CallId,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>, Micros) -> StepOutcome<u32>,
    ) -> Result<(), Violation> {
        let Some(out) = self.calls.get_mut(&id) else { return Ok(()) };
        let result = step(&mut out.call, &mut self.hub.pool, self.now);
        let message = out.message;
        let gone = out.call.connection().is_none() && out.call.state() != AttemptState::Connecting;
        if gone || result.finish {
            // Its connection is closed, or idle, or sends nothing more: for its endpoint the call has ended.
            self.monitor.call_ended(message, id.attempt, false);
        }
        if let Some(end) = result.end {
            self.calls.remove(&id);
            let todo = self.hub.call_ended(id, end, self.now);
            // A delivery close to the message's deadline may count or not: then the platform is notified as well.
            let in_time = self.now.saturating_add(SLACK) < self.monitor.messages[message].deadline;
            if (end == CallEnd::Gone || end == CallEnd::Delivered && in_time) && !self.crashing {
                self.monitor.messages[message].settled = true;
            }
            self.execute(todo)?;
        }
        Ok(())
    }

    /// Checks that the request carries what was submitted, and goes to an endpoint of its destination.
    fn check_request(
        &self,
        id: CallId,
        message: usize,
        endpoint: u8,
        request: &[u8],
    ) -> Result<(), Violation> {
        let text = String::from_utf8_lossy(request);
        let m = &self.monitor.messages[message];
        let line = &self.endpoint_list[endpoint as usize];
        let key = (m.class == NOTICE).then(|| format!("\r\nIdempotency-Key: k{}\r\n", m.key));
        let wanted = [format!("\r\nX-Correlation-Id: m{message}\r\n"), format!("\r\n\r\nbody of m{message}")];
        let same = text.starts_with("POST /events HTTP/1.1\r\n")
            && wanted.iter().all(|part| text.contains(part.as_str()))
            && key.as_ref().map_or(!text.contains("Idempotency-Key"), |key| text.contains(key.as_str()));
        let there = self.calls[&id].call.order.addr.port() == line.port && line.dest == m.dest;
        // Once the end of a message is chosen nothing of it may be sent.
        let name = format!("m{message}");
        let owed = self.hub.router.owed().find(|(id, ..)| *id == name);
        match (same, there, owed) {
            (false, ..) => violated(Property::Unchanged, format!("m{message} goes out as {text:?}")),
            (_, false, _) => violated(Property::Unchanged, format!("m{message} goes to provider {endpoint}")),
            (.., None) => violated(Property::FinalAnswer, format!("m{message} is sent after its end")),
            (.., Some((.., Some(end)))) => {
                violated(Property::FinalAnswer, format!("m{message} is sent after it has ended as {end:?}"))
            }
            _ => Ok(()),
        }
    }
}
