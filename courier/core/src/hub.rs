//! The courier without its sockets: the router, the pool and the calls that are out, wired together. What
//! is left to the driver is to move bytes, keep time and write the log.

use crate::disabled::DisableError;
use crate::journal::{JournalEntry, JournalError, Settlements, Source};
use crate::machine::attempt::AttemptInput;
use crate::note::Note;
use crate::pool::Pool;
use crate::router::{self, Intake, Router, RouterAction, StreamEnd};
use crate::store::Store;
use crate::{AnswerReport, CallEnd, CallId, DeliveryCall, Ending, EndpointList, Notice, Submission};
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What the driver is to do, in order.
#[derive(Debug)]
pub enum DriverAction<C> {
    /// Begin an attempt, with a machine of its own.
    Begin(DeliveryCall),
    /// Tell an attempt that is out: `GiveUp`, `Ended`, `Shut` or `Hold`.
    Signal(CallId, AttemptInput),
    /// Close these connections, which rested.
    Close(Vec<C>),
    /// There are notices to send.
    Notify,
    /// A stream has its final answer.
    Answer(MsgId, StreamEnd),
    /// A line for the log.
    Note(Note),
}

/// The courier's tables and decisions; `C` is a connection to an endpoint.
#[derive(Clone, Debug)]
pub struct Hub<S, C> {
    pub router: Router<S>,
    pub pool: Pool<C>,
}

/// What one process hands to the next, but for its sockets and what goes with them.
#[derive(Debug, Serialize, Deserialize)]
pub struct HubState {
    pub router: router::RouterState,
    /// Until when endpoints take no call, by number.
    pub backoffs: Vec<(u32, Micros)>,
}

impl<S: Store, C> Hub<S, C> {
    pub fn new(router: Router<S>, pool: Pool<C>) -> Self {
        Hub { router, pool }
    }

    /// A client hands in a submission; see [`Router::submit`].
    pub fn submit(&mut self, submission: Submission, now: Micros) -> (Intake, Vec<DriverAction<C>>) {
        let (intake, steps) = self.router.submit(submission, now);
        (intake, self.carry_out(steps, now))
    }

    /// A client begins to hand in a stream; see [`Router::submit_stream`].
    pub fn submit_stream(
        &mut self,
        submission: Submission,
        now: Micros,
    ) -> (Intake, MsgId, Vec<DriverAction<C>>) {
        let (intake, msg, steps) = self.router.submit_stream(submission, now);
        (intake, msg, self.carry_out(steps, now))
    }

    /// Something happened to a stream.
    pub fn stream(
        &mut self,
        act: impl FnOnce(&mut Router<S>) -> Vec<RouterAction>,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        let steps = act(&mut self.router);
        self.carry_out(steps, now)
    }

    /// Discovery told of endpoints.
    pub fn list(&mut self, list: EndpointList, now: Micros) -> Vec<DriverAction<C>> {
        let steps = self.router.list(list, now);
        self.carry_out(steps, now)
    }

    /// Operators take an endpoint out or put it back; see [`Router::disable`].
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn set_disabled(
        &mut self,
        id: &str,
        disabled: bool,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, DisableError> {
        let steps = if disabled { self.router.disable(id, now) } else { self.router.enable(id, now) };
        Ok(self.carry_out(steps?, now))
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
        let steps = self.router.adopt(entries, settlements, now)?;
        Ok(self.carry_out(steps, now))
    }

    /// Ends what was never handed in here, with a notice; see [`Router::end_unsent`].
    ///
    /// # Errors
    /// The journal has no room, or its store refused the records: then nothing has changed.
    pub fn end_unsent(
        &mut self,
        submission: Submission,
        ending: Ending,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, JournalError> {
        let steps = self.router.end_unsent(submission, ending, now)?;
        Ok(self.carry_out(steps, now))
    }

    /// The fleet has said whose the messages of a source are; see [`Router::settle_source`].
    ///
    /// # Errors
    /// The store refused the record: they go on to wait.
    pub fn settle_source(
        &mut self,
        source: &Source,
        accepted: bool,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, JournalError> {
        let steps = self.router.settle_source(source, accepted, now)?;
        Ok(self.carry_out(steps, now))
    }

    /// Time has passed; wanted at the router's `wake_at` at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<DriverAction<C>> {
        let steps = self.router.tick(now);
        self.carry_out(steps, now)
    }

    /// Takes nothing on any more; the process ends at `at`.
    pub fn stop(&mut self, now: Micros, at: Micros) -> Vec<DriverAction<C>> {
        let steps = self.router.stop(now, at);
        self.carry_out(steps, now)
    }

    /// The platform has confirmed these notices.
    pub fn notices_confirmed(&mut self, notices: &[Notice], now: Micros) -> Vec<DriverAction<C>> {
        let steps = self.router.notices_confirmed(notices, now);
        self.carry_out(steps, now)
    }

    /// An attempt is over.
    pub fn call_ended(&mut self, call: CallId, end: CallEnd, now: Micros) -> Vec<DriverAction<C>> {
        let steps = self.router.call_ended(call, end, now);
        self.carry_out(steps, now)
    }

    /// The same, with what its answer says besides.
    pub fn call_ended_with_report(
        &mut self,
        call: CallId,
        end: CallEnd,
        report: &AnswerReport,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        let steps = self.router.call_ended_with_report(call, end, report, now);
        self.carry_out(steps, now)
    }

    /// An attempt is over, with a word for each of its messages; see [`Router::call_ended_each`].
    pub fn call_ended_each(
        &mut self,
        call: CallId,
        ends: &[CallEnd],
        report: &AnswerReport,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        let steps = self.router.call_ended_each(call, ends, report, now);
        self.carry_out(steps, now)
    }

    /// All that is decided from; `settings`: their mark.
    pub fn state(&self, settings: u32) -> HubState {
        HubState { router: self.router.state(settings), backoffs: self.pool.backoffs() }
    }

    /// Goes on from another process's state: what of it is not the router's, and its first steps.
    pub fn resume(
        &mut self,
        backoffs: &[(u32, Micros)],
        steps: Vec<RouterAction>,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        backoffs.iter().for_each(|(endpoint, until)| self.pool.back_off(*endpoint, *until));
        self.carry_out(steps, now)
    }

    /// Nothing is owed, and no call is out.
    pub fn is_quiet(&self) -> bool {
        self.router.load() == (0, 0)
    }

    /// What the router's steps come to.
    pub fn carry_out(&mut self, steps: Vec<RouterAction>, now: Micros) -> Vec<DriverAction<C>> {
        let mut todo = Vec::with_capacity(steps.len());
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                RouterAction::Call(call) => todo.push(DriverAction::Begin(call)),
                RouterAction::NotWritten(_) if breaks::is_enabled(Break::HeldBackLost) => {}
                RouterAction::NotWritten(call) => {
                    steps.extend(self.router.call_ended(call, CallEnd::HeldBack, now));
                }
                RouterAction::GiveUp(call) => todo.push(DriverAction::Signal(call, AttemptInput::GiveUp)),
                RouterAction::Ended(call) => {
                    todo.push(DriverAction::Signal(call, AttemptInput::MessageEnded))
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
