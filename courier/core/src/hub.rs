//! The courier without its sockets: the router and the connection pool, wired together.
//!
//! The driver reports what happened and carries out the [`DriverAction`]s that it gets back, in order. It moves the bytes,
//! provides the time and writes the log. Each delivery call in flight is a [`Call`](crate::call::Call) of the driver's.

use crate::disabled::DisableError;
use crate::journal::{JournalEntry, JournalError, Settlements, Source};
use crate::machine::attempt::AttemptInput;
use crate::note::Note;
use crate::pool::{EndpointBackoff, Pool};
use crate::router::{self, Intake, Router, RouterAction, RouterLoad, StreamEnd};
use crate::store::Store;
use crate::{AnswerReport, CallEnd, CallId, DeliveryCall, Ending, EndpointList, Notice, Submission};
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What the driver is to do. `C` is a connection to an endpoint.
#[derive(Debug)]
pub enum DriverAction<C> {
    /// Begin this call.
    Begin(DeliveryCall),
    /// Pass this input to a call in flight: `GiveUp`, `MessageEnded`, `Shut` or `BackOff`.
    Signal(CallId, AttemptInput),
    /// Close these idle connections.
    Close(Vec<C>),
    /// There are notices to send; see [`Router::notices`].
    Notify,
    /// Send the final answer of this stream; see [`RouterAction::Answer`].
    Answer(MsgId, StreamEnd),
    /// Write this to the log.
    Note(Note),
}

/// The courier's tables and decisions. `S` is the journal's store, `C` a connection to an endpoint.
#[derive(Clone, Debug)]
pub struct Hub<S, C> {
    /// The messages and calls.
    pub router: Router<S>,
    /// The connections to endpoints.
    pub pool: Pool<C>,
}

/// What one process hands over to the next, except for its sockets and their calls. Encoded by position.
#[derive(Debug, Serialize, Deserialize)]
pub struct HubState {
    /// The router's state.
    pub router: router::RouterState,
    /// The endpoints to which no call may start for a while.
    pub backoffs: Vec<EndpointBackoff>,
}

impl<S: Store, C> Hub<S, C> {
    /// A hub of these parts.
    pub fn new(router: Router<S>, pool: Pool<C>) -> Self {
        Hub { router, pool }
    }

    /// A client submits a message; see [`Router::submit`].
    pub fn submit(&mut self, submission: Submission, now: Micros) -> (Intake, Vec<DriverAction<C>>) {
        let (intake, actions) = self.router.submit(submission, now);
        (intake, self.carry_out(actions, now))
    }

    /// A client begins to submit a stream; see [`Router::submit_stream`].
    pub fn submit_stream(
        &mut self,
        submission: Submission,
        now: Micros,
    ) -> (Intake, MsgId, Vec<DriverAction<C>>) {
        let (intake, msg, actions) = self.router.submit_stream(submission, now);
        (intake, msg, self.carry_out(actions, now))
    }

    /// Something happened to a stream: applies it to the router.
    pub fn stream(
        &mut self,
        apply: impl FnOnce(&mut Router<S>) -> Vec<RouterAction>,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        let actions = apply(&mut self.router);
        self.carry_out(actions, now)
    }

    /// Discovery has sent a list of endpoints; see [`Router::list`].
    pub fn list(&mut self, list: EndpointList, now: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.list(list, now);
        self.carry_out(actions, now)
    }

    /// Operators disable or enable an endpoint; see [`Router::disable`] and [`Router::enable`].
    ///
    /// # Errors
    /// No endpoint has the id, too many are disabled, or the record could not be written: nothing has changed.
    pub fn set_disabled(
        &mut self,
        id: &str,
        disabled: bool,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, DisableError> {
        let actions = if disabled { self.router.disable(id, now) } else { self.router.enable(id, now) };
        Ok(self.carry_out(actions?, now))
    }

    /// Adopts the messages of another courier's journal; see [`Router::adopt`].
    ///
    /// # Errors
    /// The journal is full, or its store refused the records: nothing was adopted.
    pub fn adopt(
        &mut self,
        entries: Vec<JournalEntry>,
        settlements: &Settlements,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, JournalError> {
        let actions = self.router.adopt(entries, settlements, now)?;
        Ok(self.carry_out(actions, now))
    }

    /// Ends a message that was never submitted, with a notice; see [`Router::end_unsent`].
    ///
    /// # Errors
    /// The store refused the records: nothing has changed.
    pub fn end_unsent(
        &mut self,
        submission: Submission,
        ending: Ending,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, JournalError> {
        let actions = self.router.end_unsent(submission, ending, now)?;
        Ok(self.carry_out(actions, now))
    }

    /// The fleet has decided whether this courier owns the messages of a source; see [`Router::settle_source`].
    ///
    /// # Errors
    /// The store refused the record: the messages go on waiting.
    pub fn settle_source(
        &mut self,
        source: &Source,
        accepted: bool,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, JournalError> {
        let actions = self.router.settle_source(source, accepted, now)?;
        Ok(self.carry_out(actions, now))
    }

    /// Time has passed; to be called at [`Router::wake_at`] at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.tick(now);
        self.carry_out(actions, now)
    }

    /// Begins a graceful shutdown; the process ends at `at`. See [`Router::stop`].
    pub fn stop(&mut self, now: Micros, at: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.stop(now, at);
        self.carry_out(actions, now)
    }

    /// The platform has confirmed these notices.
    pub fn notices_confirmed(&mut self, notices: &[Notice], now: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.notices_confirmed(notices, now);
        self.carry_out(actions, now)
    }

    /// A call ended in the same way for all of its messages.
    pub fn call_ended(&mut self, call: CallId, end: CallEnd, now: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.call_ended(call, end, now);
        self.carry_out(actions, now)
    }

    /// A call ended in the same way for all of its messages, and its answer had a report.
    pub fn call_ended_with_report(
        &mut self,
        call: CallId,
        end: CallEnd,
        report: &AnswerReport,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        let actions = self.router.call_ended_with_report(call, end, report, now);
        self.carry_out(actions, now)
    }

    /// A call ended with an end for each of its messages; see [`Router::call_ended_each`].
    pub fn call_ended_each(
        &mut self,
        call: CallId,
        ends: &[CallEnd],
        report: &AnswerReport,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        let actions = self.router.call_ended_each(call, ends, report, now);
        self.carry_out(actions, now)
    }

    /// The state to hand over; `settings` is their [`settings_fingerprint`](router::settings_fingerprint).
    pub fn state(&self, settings: u32) -> HubState {
        HubState { router: self.router.state(settings), backoffs: self.pool.backoffs() }
    }

    /// Resumes from another process's state: the part of it that is not the router's, and the router's first actions.
    pub fn resume(
        &mut self,
        backoffs: &[EndpointBackoff],
        actions: Vec<RouterAction>,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        backoffs.iter().for_each(|backoff| self.pool.back_off(backoff.endpoint, backoff.until));
        self.carry_out(actions, now)
    }

    /// Whether no message is owed an end and none is in flight.
    pub fn is_quiet(&self) -> bool {
        self.router.load() == RouterLoad::default()
    }

    /// Applies the router's actions to the pool; returns the actions for the driver.
    pub fn carry_out(&mut self, actions: Vec<RouterAction>, now: Micros) -> Vec<DriverAction<C>> {
        let mut todo = Vec::with_capacity(actions.len());
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                RouterAction::Call(call) => todo.push(DriverAction::Begin(call)),
                RouterAction::NotWritten(_) if breaks::is_enabled(Break::HeldBackLost) => {}
                RouterAction::NotWritten(call) => {
                    actions.extend(self.router.call_ended(call, CallEnd::HeldBack, now));
                }
                RouterAction::CancelCall(call) => todo.push(DriverAction::Signal(call, AttemptInput::GiveUp)),
                RouterAction::Ended(call) => {
                    todo.push(DriverAction::Signal(call, AttemptInput::MessageEnded));
                }
                RouterAction::Forget(endpoint) => close(&mut todo, self.pool.forget(endpoint)),
                RouterAction::CloseIdle(endpoint) => close(&mut todo, self.pool.close_idle(endpoint)),
                RouterAction::Gate { endpoint, open } => {
                    let open = open || breaks::is_enabled(Break::IgnoreDrain);
                    close(&mut todo, self.pool.set_gate(endpoint, open));
                    if !open {
                        self.signal_calls_at(endpoint, AttemptInput::Shut, &mut todo);
                    }
                }
                RouterAction::BackOff { .. } if breaks::is_enabled(Break::IgnoreWait) => {}
                RouterAction::BackOff { endpoint, until } => {
                    self.pool.back_off(endpoint, until);
                    self.signal_calls_at(endpoint, AttemptInput::BackOff, &mut todo);
                }
                RouterAction::Notify => todo.push(DriverAction::Notify),
                RouterAction::Answer { msg, end } => todo.push(DriverAction::Answer(msg, end)),
                RouterAction::Note(note) => todo.push(DriverAction::Note(note)),
            }
        }
        todo
    }

    fn signal_calls_at(&self, endpoint: u32, input: AttemptInput, todo: &mut Vec<DriverAction<C>>) {
        todo.extend(self.router.calls_at(endpoint).map(|call| DriverAction::Signal(call, input)));
    }
}

fn close<C>(todo: &mut Vec<DriverAction<C>>, gone: Vec<C>) {
    if !gone.is_empty() {
        todo.push(DriverAction::Close(gone));
    }
}
