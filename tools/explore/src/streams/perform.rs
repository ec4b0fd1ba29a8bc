//! What each event does: the client, the endpoint, the platform and the process.

use super::event::{BodyEvent, StreamEvent};
use super::world::{ReceivedBody, StartedCourier, StreamWorld, StreamedBody, TIME_LEFT, start_courier};
use crate::case::{CLASSES, NOTICE};
use crate::property::{Property, Violation, violated};
use quillmount_core::flow::{Cut, Flow, Pace};
use quillmount_core::machine::attempt::AttemptInput;
use quillmount_core::router::{Intake, StreamEnd};
use quillmount_core::store::Memory;
use quillmount_core::{Ending, Notice, Submission};
use quillmount_policy::Micros;

/// The wait that an endpoint asks for, in microseconds.
const WAIT_TIME: Micros = 700_000;
/// The pace that client and endpoint have to keep: stalls shorter than a second, any rate.
const PACE: Pace = Pace { stall_timeout: 1_000_000, span: 60_000_000, min_bytes: 0 };
/// Notices that the platform confirms at once, more than there are bodies.
const NOTICES_MAX: usize = 9;

impl StreamWorld {
    /// Carries out one event, and checks every property afterwards.
    pub(super) fn apply(&mut self, event: BodyEvent) -> Result<(), Violation> {
        self.perform(event)?;
        self.check_invariants()
    }

    fn perform(&mut self, BodyEvent { body, event }: BodyEvent) -> Result<(), Violation> {
        match event {
            StreamEvent::HeadSubmitted => self.submit(body),
            StreamEvent::UnitArrived => self.receive_unit(body),
            StreamEvent::BodyCompleted => self.complete_body(body),
            StreamEvent::DigestMismatch => self.cut(body, Cut::Digest),
            StreamEvent::ClientDisconnected => self.disconnect_client(body),
            StreamEvent::Connected => self.connect(body),
            StreamEvent::ConnectionRefused => self.input(body, AttemptInput::Refused),
            StreamEvent::UnitWritten => self.write_unit(body),
            StreamEvent::EndWritten => self.write_end(body),
            StreamEvent::WriteFailed => self.input(body, AttemptInput::WriteFailed),
            StreamEvent::AnsweredOk => self.answer_call(body, "200 OK", false),
            StreamEvent::AnsweredError => self.answer_call(body, "500 Internal Server Error", false),
            StreamEvent::AnsweredFull => self.answer_call(body, "503 Service Unavailable", true),
            StreamEvent::AnsweredWait => self.answer_wait(body),
            StreamEvent::ConnectionReset => self.input(body, AttemptInput::Reset),
            StreamEvent::TimedOut => self.input(body, AttemptInput::Deadline),
            StreamEvent::CallTick => self.input(body, AttemptInput::Tick),
            StreamEvent::WritingResumed => self.resume_writing(body),
            StreamEvent::AdmissionExpired => self.expire_admission(body),
            StreamEvent::ClockAdvanced => self.advance_clock(),
            StreamEvent::AnswerReceived => self.receive_answer(body),
            StreamEvent::AnswerMissed => self.miss_answer(body),
            StreamEvent::NoticesConfirmed => self.confirm_notices(),
            StreamEvent::Kill => self.kill(),
        }
    }

    /// The client submits the head of the message.
    fn submit(&mut self, body: usize) -> Result<(), Violation> {
        let class = self.case.class;
        let submission = Submission {
            id: format!("m{body}"),
            class: CLASSES[usize::from(class)].to_string(),
            key: (class == NOTICE).then(|| format!("k{body}")),
            dest: 0,
            tenant: None,
            time_left: TIME_LEFT,
            body: Default::default(),
        };
        let (intake, message, actions) = self.hub.submit_stream(submission, self.now);
        if intake != Intake::Accepted {
            return violated(Property::FinalAnswer, format!("it is not taken on: {intake:?}"));
        }
        let length = (!self.case.chunked).then_some(self.case.body_length());
        let flow = Flow::new(self.case.window(), length, PACE, PACE, self.now);
        self.bodies[body] = StreamedBody {
            message: Some(message),
            flow: Some(flow),
            connected: true,
            ..StreamedBody::default()
        };
        self.execute(actions)
    }

    /// The courier receives a unit of the body.
    fn receive_unit(&mut self, body: usize) -> Result<(), Violation> {
        let now = self.now;
        self.update_flow(body, |flow| flow.receive(1, now));
        Ok(())
    }

    /// The client has sent the body to its end, with the digest that it promised.
    fn complete_body(&mut self, body: usize) -> Result<(), Violation> {
        let now = self.now;
        self.bodies[body].intact = true;
        self.update_flow(body, |flow| flow.complete(now));
        Ok(())
    }

    /// The body will never be complete.
    fn cut(&mut self, body: usize, reason: Cut) -> Result<(), Violation> {
        let now = self.now;
        self.update_flow(body, |flow| flow.cut(reason, now));
        let Some(message) = self.bodies[body].message else { return Ok(()) };
        let actions = self.hub.stream(|router| router.stream_cut(message, Some(reason), now), now);
        self.execute(actions)
    }

    /// The client disconnects before the end of its body.
    fn disconnect_client(&mut self, body: usize) -> Result<(), Violation> {
        self.bodies[body].connected = false;
        self.cut(body, Cut::Gone)?;
        self.report_answer(body, false)
    }

    /// The connection for the body's call is established.
    fn connect(&mut self, body: usize) -> Result<(), Violation> {
        self.last_connection += 1;
        let (connection, now) = (self.last_connection, self.now);
        self.step(body, |call, pool| call.connected(pool, connection, now))
    }

    /// The endpoint answers 429, with a wait.
    fn answer_wait(&mut self, body: usize) -> Result<(), Violation> {
        self.wait_until = self.wait_until.max(self.now + WAIT_TIME);
        self.answer_call(body, "429 Too Many Requests\r\nRetry-After: 0.7", true)
    }

    /// The endpoint answers, and the courier reads the answer at once.
    fn answer_call(&mut self, body: usize, status: &str, never_ran: bool) -> Result<(), Violation> {
        self.update_received(body, |received| received.never_ran |= never_ran);
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        let id = self.call_of(body).map(|(id, _)| id);
        if let Some(call) = id.and_then(|id| self.calls.get_mut(&id))
            && let Some((_, bytes)) = call.connection_and_answer()
        {
            bytes.extend_from_slice(answer.as_bytes());
        }
        self.input(body, AttemptInput::Read)
    }

    /// The wait that the destination asked for has ended.
    fn resume_writing(&mut self, body: usize) -> Result<(), Violation> {
        let now = self.now;
        self.bodies[body].paused_until = None;
        self.update_flow(body, |flow| flow.set_paused(false, now));
        Ok(())
    }

    /// No call has begun within the time for admission.
    fn expire_admission(&mut self, body: usize) -> Result<(), Violation> {
        let now = self.now;
        let Some(message) = self.bodies[body].message else { return Ok(()) };
        let actions = self.hub.stream(|router| router.stream_unbegun(message, now), now);
        // This happens once: a call in flight begins the body, or has ended.
        self.bodies[body].begun = true;
        self.execute(actions)
    }

    /// The clock goes on to the next moment that anything waits for.
    fn advance_clock(&mut self) -> Result<(), Violation> {
        self.now = self.next_time().unwrap_or(self.now);
        let actions = self.hub.tick(self.now);
        self.execute(actions)
    }

    /// The client receives its answer.
    fn receive_answer(&mut self, body: usize) -> Result<(), Violation> {
        let end = self.bodies[body].answer.take();
        self.bodies[body].ends.extend(end);
        self.bodies[body].connected = false;
        self.report_answer(body, true)
    }

    /// The client has disconnected before its answer could be written.
    fn miss_answer(&mut self, body: usize) -> Result<(), Violation> {
        let streamed = &mut self.bodies[body];
        let delivered = streamed.answer.take() == Some(StreamEnd::Delivered);
        // Nothing more is owed for what was delivered.
        streamed.ends.extend(delivered.then_some(StreamEnd::Delivered));
        streamed.connected = false;
        self.report_answer(body, false)
    }

    /// Reports to the router whether the client has received its answer.
    fn report_answer(&mut self, body: usize, received: bool) -> Result<(), Violation> {
        let Some(message) = self.bodies[body].message else { return Ok(()) };
        let now = self.now;
        let actions = self.hub.stream(|router| router.answered(message, received, now), now);
        self.execute(actions)
    }

    /// The platform receives all notices, and confirms them.
    fn confirm_notices(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let notices = self.hub.router.notices(NOTICES_MAX);
        for Notice { ending, id, .. } in &notices {
            let body = id.strip_prefix('m').and_then(|n| n.parse::<usize>().ok());
            let Some(body) = body.and_then(|body| self.bodies.get_mut(body)) else {
                return violated(Property::FinalAnswer, format!("an end of {id:?}, which nobody handed in"));
            };
            body.ends.push(match ending {
                Ending::Undeliverable => StreamEnd::Failed,
                Ending::Deferred(after) => StreamEnd::Deferred(*after),
            });
        }
        let actions = self.hub.notices_confirmed(&notices, now);
        self.execute(actions)
    }

    /// SIGKILL, and a new start on what the store contains.
    fn kill(&mut self) -> Result<(), Violation> {
        self.killed = true;
        let bytes = self.hub.router.journal().store().bytes().to_vec();
        for body in &mut self.bodies {
            // What client, endpoint and platform have seen stays.
            *body = StreamedBody {
                received: std::mem::take(&mut body.received),
                ends: std::mem::take(&mut body.ends),
                intact: body.intact,
                ..StreamedBody::default()
            };
        }
        self.calls.clear();
        self.answer_deadlines.clear();
        match start_courier(self.case, Memory::from_bytes(bytes), self.now) {
            Ok(StartedCourier { hub, actions }) => {
                self.hub = hub;
                self.execute(actions)
            }
            Err(error) => violated(Property::Durability, error.to_string()),
        }
    }

    /// Changes what the endpoint has received of the call in flight.
    pub(super) fn update_received(&mut self, body: usize, change: impl FnOnce(&mut ReceivedBody)) {
        if let Some((id, _)) = self.call_of(body) {
            change(self.bodies[body].received.entry(id.attempt).or_default());
        }
    }
}
