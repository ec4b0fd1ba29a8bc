//! The tasks of delivery calls: each waits for the fleet's gate and for a connection permit where it needs them, makes
//! its call, and reports the end to the router.

use super::Courier;
use crate::transport::connection::ConnectionPermit;
use crate::transport::endpoints::{self, CallOutcome, TimedCall};
use crate::transport::gate::Gate;
use crate::transport::handle::HandoverPart;
use crate::transport::signals::CallSignals;
use crate::transport::streams::StreamCall;
use actix_rt::net::TcpStream;
use quillmount_core::call::CallSnapshot;
use quillmount_core::machine::attempt::AttemptInput;
use quillmount_core::{AnswerReport, CallEnd, CallId, DeliveryCall};
use quillmount_policy::Micros;
use std::rc::Rc;
use tracing::Instrument;

/// The log target of the calls' lines, which operators filter by.
const LOG_TARGET: &str = "quillmount::transport::courier";

/// What a call waits for before its first byte, where the courier is one of a fleet.
struct GatePass {
    gate: Rc<Gate>,
    /// The records of the journal that have to be replicated.
    mark: u64,
    /// The call is held back if it has not passed by then.
    by: Micros,
}

impl GatePass {
    async fn wait(self) -> bool {
        self.gate.pass(self.mark, self.by).await
    }
}

impl Courier {
    /// Resumes a call of another process, or of this one if a handover failed.
    pub fn resume_call(self: &Rc<Self>, snapshot: CallSnapshot, stream: Option<TcpStream>) {
        let (dest, id, addr) = (snapshot.delivery.dest, snapshot.delivery.call, snapshot.delivery.addr);
        let call = endpoints::resume(&self.handle, snapshot, stream);
        tracing::debug!(target: LOG_TARGET, "call: {id:?} to {addr}, destination {dest}, goes on");
        self.spawn_call(call, None, tracing::Span::none());
    }

    /// Reports the calls as failed that are in flight by the state of another process and were not handed over: they
    /// may have run.
    pub fn calls_lost(self: &Rc<Self>) {
        let in_flight = self.handle.hub.borrow().router.calls_in_flight();
        for call in in_flight.into_iter().filter(|call| !self.signals.borrow().contains_key(call)) {
            tracing::warn!(target: LOG_TARGET, ?call, "upgrade: a call in flight was not handed over");
            let actions = self.handle.hub.borrow_mut().call_ended(call, CallEnd::Reset, self.clock.now());
            self.carry_out(actions);
        }
    }

    /// A call's connection has been used for as long as any may be: the call ends.
    pub fn expire_call(&self, call: CallId) {
        if let Some(signals) = self.signals.borrow().get(&call) {
            signals.expire();
        }
    }

    /// The process ends: calls of which nothing is sent end here, and the next process knows that they never ran.
    pub fn keep_unsent(&self) {
        self.signals.borrow().values().for_each(|signals| signals.signal(AttemptInput::MessageEnded));
    }

    /// Begins a call.
    pub(super) fn begin_call(self: &Rc<Self>, mut order: DeliveryCall) {
        tracing::debug!(target: LOG_TARGET, "call: {:?} to {}, {} us", order.call, order.addr, order.timeout);
        // Without a parent: a call that the end of another one begins would inherit its span, and so on without end.
        let span = tracing::debug_span!(
            target: LOG_TARGET,
            parent: None,
            "call",
            id = order.payload.id.as_str(),
            dest = order.dest,
            attempt = order.call.attempt
        );
        let pass = self.gate.as_ref().map(|gate| {
            order.send_before = order.send_before.min(gate.send_deadline(self.clock.now()));
            GatePass { gate: gate.clone(), mark: gate.written(), by: order.send_before }
        });
        let mut timed = endpoints::begin(order, self.clock.now());
        timed.call.closed_rejection_is_refusal = self.handle.hub.borrow().router.reads_load_reports();
        self.spawn_call(timed, pass, span);
    }

    /// Spawns the task of a call, from where it stands.
    fn spawn_call(self: &Rc<Self>, timed: TimedCall, pass: Option<GatePass>, span: tracing::Span) {
        let signals = Rc::new(CallSignals::default());
        self.signals.borrow_mut().insert(timed.call.delivery.call, signals.clone());
        let task = self.clone().run_call(timed, pass, signals);
        // The tasks are detached: the router waits for the end of each, and a handover collects them by their signals.
        // An instrumented task costs more even if its span is disabled.
        match span.is_disabled() {
            true => drop(actix_rt::spawn(task)),
            false => drop(actix_rt::spawn(task.instrument(span))),
        }
    }

    /// Makes a call and reports its end; one that is to pass the gate does so before its first byte.
    async fn run_call(
        self: Rc<Self>,
        mut timed: TimedCall,
        pass: Option<GatePass>,
        signals: Rc<CallSignals>,
    ) {
        let (id, addr, dest) = (timed.call.delivery.call, timed.call.delivery.addr, timed.call.delivery.dest);
        // Rare futures are on the heap here: every other call's task would be as large otherwise.
        let passed = match pass {
            None => true,
            Some(pass) => Box::pin(pass.wait()).await,
        };
        let budgets = self.budgets.as_ref().filter(|budgets| passed && budgets.is_budgeted(dest));
        let mut permit = match budgets {
            Some(budgets) => budgets.clone().acquire(&self.handle, &mut timed, &signals).await,
            None => None,
        };
        let held_back = !passed || (budgets.is_some() && permit.is_none());
        let outcome = if held_back {
            CallOutcome::Ended(CallEnd::HeldBack, AnswerReport::default())
        } else if timed.call.delivery.stream {
            let end =
                Box::pin(self.run_stream_call(timed.call.delivery, &signals, permit.as_deref_mut())).await;
            CallOutcome::Ended(end, AnswerReport::default())
        } else {
            endpoints::call(&self.handle, timed, &signals, permit.as_deref_mut()).await
        };
        self.signals.borrow_mut().remove(&id);
        if let (Some(budgets), Some(permit)) = (budgets, permit) {
            budgets.release(*permit);
        }
        let now = self.clock.now();
        let (end, each, report, actions) = match outcome {
            CallOutcome::Ended(end, report) => {
                let actions = self.handle.hub.borrow_mut().call_ended_with_report(id, end, &report, now);
                (end, Vec::new(), report, actions)
            }
            CallOutcome::Each(ends, report) => {
                let actions = self.handle.hub.borrow_mut().call_ended_each(id, &ends, &report, now);
                (CallEnd::Each, ends, report, actions)
            }
            CallOutcome::Released(snapshot, stream) => {
                return self.handle.release(HandoverPart::Call(snapshot), stream);
            }
        };
        tracing::debug!(target: LOG_TARGET, "call ended: {id:?} to {addr}: {end:?} {each:?} {report:?}");
        self.carry_out(actions);
    }

    async fn run_stream_call(
        self: &Rc<Self>,
        order: DeliveryCall,
        signals: &CallSignals,
        permit: Option<&mut ConnectionPermit>,
    ) -> CallEnd {
        let id = order.call;
        let pipe = self.pipes.borrow().get(&id.msg).cloned();
        match pipe {
            Some(pipe) => {
                let call = StreamCall::new(&self.handle, order, signals, &pipe, permit);
                call.run(|| self.stream_written(id)).await
            }
            // The client has disconnected: there is no body.
            None => CallEnd::HeldBack,
        }
    }
}
