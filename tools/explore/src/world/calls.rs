//! Connections, requests and answers: what the driver and the endpoints do to calls.

use crate::action::{Answer, CallRef, WriteExtent};
use crate::case::NOTICE;
use crate::monitor::{ObservedMessage, SLACK, Wait};
use crate::property::{Property, Violation, violated};
use crate::world::state::{OutstandingCall, World};
use quillmount_core::call::{Call, StepOutcome};
use quillmount_core::hub::DriverAction;
use quillmount_core::machine::attempt::{AttemptInput, AttemptState};
use quillmount_core::pool::Pool;
use quillmount_core::router::OwedView;
use quillmount_core::{CallEnd, CallId, DeliveryCall};
use quillmount_policy::Micros;
use quillmount_protocol::delivery;
use std::collections::BTreeSet;

/// A connection that is not established after this time counts as failed; `dial_timeout_ms` of the settings.
const DIAL_TIMEOUT: Micros = 1_000_000;

impl World {
    /// Carries out what the hub requests of its driver.
    pub(super) fn execute(&mut self, actions: Vec<DriverAction<u32>>) -> Result<(), Violation> {
        if self.crashing {
            return Ok(());
        }
        for action in actions {
            match action {
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
    pub(super) fn write(&mut self, call_ref: CallRef, extent: WriteExtent) -> Result<(), Violation> {
        let Some(id) = self.find(call_ref) else { return Ok(()) };
        let outstanding = &self.calls[&id];
        let (message, endpoint) = (outstanding.message, outstanding.endpoint);
        let request = delivery::encode(&outstanding.call.delivery);
        let AttemptState::Writing { written } = outstanding.call.state() else { return Ok(()) };
        if extent == WriteExtent::Broken {
            return self.input(call_ref, AttemptInput::WriteFailed);
        }
        if written == 0 {
            if outstanding.call.connection().is_some_and(|connection| self.unusable.contains(connection)) {
                return violated(
                    Property::Unchanged,
                    format!("{call_ref} goes out behind an answer that broke off"),
                );
            }
            self.check_request(outstanding, &request)?;
            self.monitor.first_byte(&self.case, self.now, message, id.attempt, endpoint)?;
        }
        let left = request.len() - written;
        let bytes = if extent == WriteExtent::Partial { left / 2 } else { left };
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

    /// The endpoint has written its answer, which is now in the courier's socket.
    pub(super) fn answer_arrives(&mut self, call_ref: CallRef, answer: Answer) -> Result<(), Violation> {
        let Some(outstanding) = self.find_mut(call_ref) else { return Ok(()) };
        let message = outstanding.message;
        outstanding.arrived = Some(answer);
        if answer == Answer::Interim {
            outstanding.interim = true;
        } else {
            self.monitor.call_ended(message, call_ref.attempt, answer.never_ran());
        }
        let observed = &mut self.monitor.messages[message];
        // After the deadline only the endpoint counts it.
        observed.delivered |= answer.delivers() && self.now < observed.deadline;
        observed.gone |= answer == Answer::Gone;
        if answer == Answer::Wait {
            let asked = Wait { since: self.now, until: self.now + Answer::WAIT_MS * 1_000 };
            let wait = self.monitor.waits.entry(observed.dest).or_insert(asked);
            // A wait that is extended began with the first answer that asked for it.
            if self.now < wait.until {
                wait.until = wait.until.max(asked.until);
            } else {
                *wait = asked;
            }
        }
        Ok(())
    }

    /// The courier reads the answer in its socket.
    pub(super) fn read(&mut self, call_ref: CallRef) -> Result<(), Violation> {
        let Some(id) = self.find(call_ref) else { return Ok(()) };
        let Some(outstanding) = self.calls.get_mut(&id) else { return Ok(()) };
        let Some(answer) = outstanding.arrived.take() else { return Ok(()) };
        if let Some((connection, bytes)) = outstanding.call.connection_and_answer() {
            if matches!(answer, Answer::TruncatedOk | Answer::TruncatedFull | Answer::DuplicateOk) {
                self.unusable.insert(*connection);
            }
            bytes.extend_from_slice(answer.bytes());
        }
        self.input(call_ref, AttemptInput::Read)
    }

    /// The endpoint closes the first of its idle connections that it has not closed yet.
    pub(super) fn close_idle(&mut self, endpoint: u32) -> Result<(), Violation> {
        let mut idle = self.hub.pool.idle();
        let first = idle.find(|idle| idle.endpoint == endpoint && !self.closed.contains(idle.connection));
        let first = first.map(|idle| *idle.connection);
        drop(idle);
        self.closed.extend(first);
        Ok(())
    }

    /// Forgets what is noted about connections that no longer exist.
    pub(super) fn retain_live_connections(&mut self) {
        let idle: BTreeSet<u32> = self.hub.pool.idle().map(|idle| *idle.connection).collect();
        let in_calls: BTreeSet<u32> =
            self.calls.values().filter_map(|outstanding| outstanding.call.connection().copied()).collect();
        self.closed.retain(|connection| idle.contains(connection));
        self.unusable.retain(|connection| idle.contains(connection) || in_calls.contains(connection));
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
            call: Call::new(order, delivery::decode, delivery::RESPONSE_MAX),
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
        let Some(outstanding) = self.calls.get_mut(&id) else { return Ok(()) };
        let outcome = step(&mut outstanding.call, &mut self.hub.pool, self.now);
        let message = outstanding.message;
        let is_connecting = outstanding.call.state() == AttemptState::Connecting;
        let is_disconnected = outstanding.call.connection().is_none() && !is_connecting;
        if is_disconnected || outcome.finish {
            // Its connection is closed, or idle, or sends nothing more: for its endpoint the call has ended.
            self.monitor.call_ended(message, id.attempt, false);
        }
        match outcome.end {
            Some(end) => self.finish_call(id, message, end),
            None => Ok(()),
        }
    }

    /// A call has ended: the hub decides what follows.
    fn finish_call(&mut self, id: CallId, message: usize, end: CallEnd) -> Result<(), Violation> {
        self.calls.remove(&id);
        let actions = self.hub.call_ended(id, end, self.now);
        let observed = &mut self.monitor.messages[message];
        // A delivery close to the message's deadline may count or not: then the platform is notified as well.
        let in_time = self.now.saturating_add(SLACK) < observed.deadline;
        if (end == CallEnd::Gone || end == CallEnd::Delivered && in_time) && !self.crashing {
            observed.settled = true;
        }
        self.execute(actions)
    }

    /// Checks that the request carries what was submitted, and goes to an endpoint of its destination.
    fn check_request(&self, outstanding: &OutstandingCall, request: &[u8]) -> Result<(), Violation> {
        let (message, endpoint) = (outstanding.message, outstanding.endpoint);
        let text = String::from_utf8_lossy(request);
        let observed = &self.monitor.messages[message];
        if !carries_message(&text, message, observed) {
            return violated(Property::Unchanged, format!("m{message} goes out as {text:?}"));
        }
        let entry = &self.endpoint_list[usize::from(endpoint)];
        let port = outstanding.call.delivery.addr.port();
        if port != entry.port || entry.dest != observed.dest {
            return violated(Property::Unchanged, format!("m{message} goes to provider {endpoint}"));
        }
        // Once the end of a message is chosen nothing of it may be sent.
        let id = format!("m{message}");
        match self.hub.router.owed().find(|owed| owed.id == id) {
            None => violated(Property::FinalAnswer, format!("m{message} is sent after its end")),
            Some(OwedView { end: Some(end), .. }) => {
                violated(Property::FinalAnswer, format!("m{message} is sent after it has ended as {end:?}"))
            }
            Some(OwedView { end: None, .. }) => Ok(()),
        }
    }
}

/// Whether a request has the id, the key and the body of the message.
fn carries_message(request: &str, message: usize, observed: &ObservedMessage) -> bool {
    let has_key = if observed.class == NOTICE {
        request.contains(&format!("\r\nIdempotency-Key: k{}\r\n", observed.key))
    } else {
        !request.contains("Idempotency-Key")
    };
    has_key
        && request.starts_with("POST /events HTTP/1.1\r\n")
        && request.contains(&format!("\r\nX-Correlation-Id: m{message}\r\n"))
        && request.contains(&format!("\r\n\r\nbody of m{message}"))
}
