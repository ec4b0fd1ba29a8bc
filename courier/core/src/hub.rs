//! The courier's decisions without I/O: the router combined with the connection pool.
//!
//! The driver reports events and carries out the returned [`DriverAction`]s in order. It does the I/O, provides the time
//! and writes the log. It owns the delivery calls in flight, each of which is a [`Call`](crate::call::Call).

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

/// What the driver must do. `C` is the driver's type of a connection to an endpoint.
#[derive(Debug)]
pub enum DriverAction<C> {
    /// Start this delivery call.
    Begin(DeliveryCall),
    /// Pass this input to a call in flight: `GiveUp`, `MessageEnded`, `EndpointUnavailable` or `BackOff`.
    Signal(CallId, AttemptInput),
    /// Close these idle connections, which were removed from the pool.
    Close(Vec<C>),
    /// Send notices to the platform; see [`Router::notices`].
    Notify,
    /// Send the final answer to the client of this stream; see [`RouterAction::Answer`].
    Answer(MsgId, StreamEnd),
    /// Write this note to the log.
    Note(Note),
}

/// The state and the decisions of a courier. `S` is the store of the journal, `C` a connection to an endpoint.
#[derive(Clone, Debug)]
pub struct Hub<S, C> {
    /// The messages and their delivery calls.
    pub router: Router<S>,
    /// The idle connections to endpoints, and whether calls to an endpoint may start.
    pub pool: Pool<C>,
}

/// The state that is handed over to another process, except for the sockets and the calls on them. Encoded by position:
/// the order of the fields must not change.
#[derive(Debug, Serialize, Deserialize)]
pub struct HubState {
    /// The state of the router, with all messages.
    pub router: router::RouterState,
    /// The endpoints in a backoff.
    pub backoffs: Vec<EndpointBackoff>,
}

impl<S: Store, C> Hub<S, C> {
    /// Combines a router and a pool.
    pub fn new(router: Router<S>, pool: Pool<C>) -> Self {
        Hub { router, pool }
    }

    /// Handles the submission of a message; see [`Router::submit`].
    pub fn submit(&mut self, submission: Submission, now: Micros) -> (Intake, Vec<DriverAction<C>>) {
        let (intake, actions) = self.router.submit(submission, now);
        (intake, self.carry_out(actions, now))
    }

    /// Handles the beginning of the submission of a stream; see [`Router::submit_stream`].
    pub fn submit_stream(
        &mut self,
        submission: Submission,
        now: Micros,
    ) -> (Intake, MsgId, Vec<DriverAction<C>>) {
        let (intake, msg, actions) = self.router.submit_stream(submission, now);
        (intake, msg, self.carry_out(actions, now))
    }

    /// Applies an event of a stream to the router.
    pub fn stream(
        &mut self,
        apply: impl FnOnce(&mut Router<S>) -> Vec<RouterAction>,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        let actions = apply(&mut self.router);
        self.carry_out(actions, now)
    }

    /// Handles a list of endpoints from discovery; see [`Router::list`].
    pub fn list(&mut self, list: EndpointList, now: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.list(list, now);
        self.carry_out(actions, now)
    }

    /// Disables or enables an endpoint for operators; see [`Router::disable`] and [`Router::enable`].
    ///
    /// # Errors
    /// Returns an error if no endpoint has the id, too many are disabled, or the record could not be written. Nothing has
    /// changed then.
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
    /// Returns an error if the journal is full or its store failed to write the records. Nothing was adopted then.
    pub fn adopt(
        &mut self,
        entries: Vec<JournalEntry>,
        settlements: &Settlements,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, JournalError> {
        let actions = self.router.adopt(entries, settlements, now)?;
        Ok(self.carry_out(actions, now))
    }

    /// Ends a message that was never submitted to this courier, with a notice; see [`Router::end_unsent`].
    ///
    /// # Errors
    /// Returns an error if the store failed to write the records. Nothing has changed then.
    pub fn end_unsent(
        &mut self,
        submission: Submission,
        ending: Ending,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, JournalError> {
        let actions = self.router.end_unsent(submission, ending, now)?;
        Ok(self.carry_out(actions, now))
    }

    /// Handles the fleet's decision whether this courier owns the messages of a source; see [`Router::settle_source`].
    ///
    /// # Errors
    /// Returns an error if the store failed to write the record. The messages continue to wait for the decision.
    pub fn settle_source(
        &mut self,
        source: &Source,
        accepted: bool,
        now: Micros,
    ) -> Result<Vec<DriverAction<C>>, JournalError> {
        let actions = self.router.settle_source(source, accepted, now)?;
        Ok(self.carry_out(actions, now))
    }

    /// Handles timers that are due. The driver must call this at [`Router::wake_at`] at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.tick(now);
        self.carry_out(actions, now)
    }

    /// Begins a graceful shutdown; the process ends at `ends_at`. See [`Router::stop`].
    pub fn stop(&mut self, now: Micros, ends_at: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.stop(now, ends_at);
        self.carry_out(actions, now)
    }

    /// Handles the platform's confirmation of these notices, which are not sent again.
    pub fn notices_confirmed(&mut self, notices: &[Notice], now: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.notices_confirmed(notices, now);
        self.carry_out(actions, now)
    }

    /// Handles the end of a call with the same result for all of its messages.
    pub fn call_ended(&mut self, call: CallId, end: CallEnd, now: Micros) -> Vec<DriverAction<C>> {
        let actions = self.router.call_ended(call, end, now);
        self.carry_out(actions, now)
    }

    /// Handles the end of a call with the same result for all of its messages, and the report in its answer.
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

    /// Handles the end of a call with a separate result for each of its messages; see [`Router::call_ended_each`].
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

    /// The state to hand over; `settings` is the [`settings_fingerprint`](router::settings_fingerprint).
    pub fn state(&self, settings: u32) -> HubState {
        HubState { router: self.router.state(settings), backoffs: self.pool.backoffs() }
    }

    /// Resumes the state that another process has handed over: applies its backoffs and the first actions of the resumed
    /// router.
    pub fn resume(
        &mut self,
        backoffs: &[EndpointBackoff],
        actions: Vec<RouterAction>,
        now: Micros,
    ) -> Vec<DriverAction<C>> {
        backoffs.iter().for_each(|backoff| self.pool.back_off(backoff.endpoint, backoff.until));
        self.carry_out(actions, now)
    }

    /// Whether no message waits for its final result and no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.router.load() == RouterLoad::default()
    }

    /// Applies the router's actions to the pool. Returns the actions that the driver must carry out.
    pub fn carry_out(&mut self, actions: Vec<RouterAction>, now: Micros) -> Vec<DriverAction<C>> {
        let mut driver_actions = Vec::with_capacity(actions.len());
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                RouterAction::Call(call) => driver_actions.push(DriverAction::Begin(call)),
                RouterAction::NotWritten(_) if breaks::is_enabled(Break::HeldBackLost) => {}
                RouterAction::NotWritten(call) => {
                    actions.extend(self.router.call_ended(call, CallEnd::HeldBack, now));
                }
                RouterAction::CancelCall(call) => {
                    driver_actions.push(DriverAction::Signal(call, AttemptInput::GiveUp));
                }
                RouterAction::Ended(call) => {
                    driver_actions.push(DriverAction::Signal(call, AttemptInput::MessageEnded));
                }
                RouterAction::Forget(endpoint) => close(&mut driver_actions, self.pool.forget(endpoint)),
                RouterAction::CloseIdle(endpoint) => {
                    close(&mut driver_actions, self.pool.close_idle(endpoint));
                }
                RouterAction::Gate { endpoint, open } => {
                    let open = open || breaks::is_enabled(Break::IgnoreDrain);
                    close(&mut driver_actions, self.pool.set_gate(endpoint, open));
                    if !open {
                        self.signal_calls_at(
                            endpoint,
                            AttemptInput::EndpointUnavailable,
                            &mut driver_actions,
                        );
                    }
                }
                RouterAction::BackOff { .. } if breaks::is_enabled(Break::IgnoreWait) => {}
                RouterAction::BackOff { endpoint, until } => {
                    self.pool.back_off(endpoint, until);
                    self.signal_calls_at(endpoint, AttemptInput::BackOff, &mut driver_actions);
                }
                RouterAction::Notify => driver_actions.push(DriverAction::Notify),
                RouterAction::Answer { msg, end } => driver_actions.push(DriverAction::Answer(msg, end)),
                RouterAction::Note(note) => driver_actions.push(DriverAction::Note(note)),
            }
        }
        driver_actions
    }

    fn signal_calls_at(&self, endpoint: u32, input: AttemptInput, driver_actions: &mut Vec<DriverAction<C>>) {
        driver_actions.extend(self.router.calls_at(endpoint).map(|call| DriverAction::Signal(call, input)));
    }
}

fn close<C>(driver_actions: &mut Vec<DriverAction<C>>, connections: Vec<C>) {
    if !connections.is_empty() {
        driver_actions.push(DriverAction::Close(connections));
    }
}
