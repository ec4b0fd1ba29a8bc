//! A delivery call in flight with its connection. It passes inputs to the state machine of the attempt and updates the
//! connection pool with the results.

use crate::machine::attempt::{
    Attempt, AttemptInput, AttemptSnapshot, AttemptState, ConnectionAction, Decode,
};
use crate::machine::connection::{ConnectionInput, EndpointConnection};
use crate::pool::Pool;
use crate::{CallEnd, DeliveryCall};
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};
use serde::{Deserialize, Serialize};

/// A call in flight. `C` is the driver's type of a connection to an endpoint.
#[derive(Clone, Debug)]
pub struct Call<C> {
    /// The message to deliver, with its endpoint and its deadlines.
    pub delivery: DeliveryCall,
    attempt: Attempt,
    connection: Option<(EndpointConnection, C)>,
    /// Whether the pool counts the call, which it does until the connection is closed or becomes idle.
    is_counted: bool,
    /// Whether a rejection after which the endpoint closes the connection counts as a refused connection, because the
    /// endpoint's connection table is full. The driver sets this before the start if answers contain load reports, which
    /// identify a rejection by a limit. A call that starts on an idle connection clears it.
    pub closed_rejection_is_refusal: bool,
}

/// The outcome of a step, to be carried out by the driver.
#[derive(Debug)]
pub struct StepOutcome<C> {
    /// The result of the call if it has ended, to be reported to the [`Hub`](crate::hub::Hub).
    pub end: Option<CallEnd>,
    /// Close the sending side of the call's connection and continue to read.
    pub finish: bool,
    /// A connection to close: the one of the call, or an idle one that is evicted for the call's new connection.
    pub to_close: Option<C>,
}

/// A call without its connection, as it is handed over to another process. Encoded by position: the order of the fields
/// must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallSnapshot {
    /// The message to deliver, with its endpoint and its deadlines.
    pub delivery: DeliveryCall,
    attempt: AttemptSnapshot,
    /// The time at which the call times out, in microseconds.
    pub until: Micros,
}

impl<C> Call<C> {
    /// Converts the call for a handover, and removes it from the count of the pool. `until` is the time at which it times out.
    pub fn snapshot(self, pool: &mut Pool<C>, until: Micros) -> (CallSnapshot, Option<C>) {
        if self.is_counted {
            pool.end_call();
        }
        let Call { delivery, attempt, connection, .. } = self;
        (
            CallSnapshot { delivery, attempt: attempt.snapshot(), until },
            connection.map(|(_, connection)| connection),
        )
    }

    /// Resumes a call that another process has handed over. If no byte of it was sent, the driver must start it.
    pub fn resumed(
        snapshot: CallSnapshot,
        decode: Decode,
        max_answer_bytes: usize,
        connection: Option<C>,
        pool: &mut Pool<C>,
    ) -> Self {
        let attempt = Attempt::resumed(snapshot.attempt, decode, max_answer_bytes);
        let connection = connection.map(|connection| {
            let mut machine = pool.new_connection();
            machine.step(ConnectionInput::Connected, 0);
            (machine, connection)
        });
        let is_counted = connection.is_some();
        if is_counted {
            pool.resume_call();
        }
        Call {
            delivery: snapshot.delivery,
            attempt,
            connection,
            is_counted,
            closed_rejection_is_refusal: false,
        }
    }

    /// Creates a call that is not started. `decode` decodes the answer, of which at most `max_answer_bytes` bytes are read.
    pub fn new(delivery: DeliveryCall, decode: Decode, max_answer_bytes: usize) -> Self {
        let attempt = Attempt::new(decode, max_answer_bytes, delivery.send_before);
        Call { delivery, attempt, connection: None, is_counted: false, closed_rejection_is_refusal: false }
    }

    /// Like [`Call::new`], for a call whose body is forwarded while it is received.
    pub fn streamed(delivery: DeliveryCall, decode: Decode, max_answer_bytes: usize) -> Self {
        let attempt = Attempt::streamed(decode, max_answer_bytes, delivery.send_before);
        Call { delivery, attempt, connection: None, is_counted: false, closed_rejection_is_refusal: false }
    }

    /// The state machine of the attempt.
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// The connection and the buffer of the answer, for reading and writing; `None` while there is no connection.
    pub fn connection_and_answer(&mut self) -> Option<(&mut C, &mut Vec<u8>)> {
        let (_, connection) = self.connection.as_mut()?;
        Some((connection, self.attempt.answer_mut()))
    }

    /// The connection, if the call has one.
    pub fn connection(&self) -> Option<&C> {
        self.connection.as_ref().map(|(_, connection)| connection)
    }

    /// The state of the attempt, which tells the driver whether to connect, write or read.
    pub fn state(&self) -> AttemptState {
        self.attempt.state()
    }

    /// Starts the call on an idle connection or on a new one ([`AttemptState::Connecting`]). If calls to the endpoint may not
    /// start, the call ends with [`CallEnd::HeldBack`]. `nothing_received` checks an idle connection for bytes or a close.
    pub fn start(
        &mut self,
        pool: &mut Pool<C>,
        now: Micros,
        nothing_received: impl Fn(&C) -> bool,
    ) -> StepOutcome<C> {
        let (endpoint, addr) = (self.delivery.endpoint, self.delivery.addr);
        let open = pool.is_open(endpoint, now);
        if open {
            self.connection = pool.begin_call(endpoint, addr, now, nothing_received);
            self.is_counted = true;
        }
        let reuses_connection = self.starts_on_idle();
        self.step(pool, AttemptInput::Start { open, reuses_connection }, now)
    }

    /// Starts the call on the given connection, or on a new one if there is none, but never on an idle one of the pool.
    pub fn start_on(
        &mut self,
        pool: &mut Pool<C>,
        connection: Option<(EndpointConnection, C)>,
        now: Micros,
    ) -> StepOutcome<C> {
        if !pool.is_open(self.delivery.endpoint, now) {
            let outcome = self.step(pool, AttemptInput::Start { open: false, reuses_connection: false }, now);
            return StepOutcome { to_close: connection.map(|(_, connection)| connection), ..outcome };
        }
        pool.resume_call();
        self.connection = connection;
        self.is_counted = true;
        let reuses_connection = self.starts_on_idle();
        self.step(pool, AttemptInput::Start { open: true, reuses_connection }, now)
    }

    /// Whether the call starts on an idle connection. The endpoint's connection table contains such a connection already, so
    /// that a rejection on it does not mean that the table is full.
    fn starts_on_idle(&mut self) -> bool {
        let reuses_connection = self.connection.is_some();
        self.closed_rejection_is_refusal &= !reuses_connection;
        reuses_connection
    }

    /// Handles the connection for which the call was waiting, after it was established.
    pub fn connected(&mut self, pool: &mut Pool<C>, connection: C, now: Micros) -> StepOutcome<C> {
        let mut machine = pool.new_connection();
        machine.step(ConnectionInput::Connected, now);
        self.connection = Some((machine, connection));
        let open = pool.is_open(self.delivery.endpoint, now);
        self.step(pool, AttemptInput::Connected { open }, now)
    }

    /// Applies any other input to the attempt and updates the pool.
    pub fn step(&mut self, pool: &mut Pool<C>, input: AttemptInput, now: Micros) -> StepOutcome<C> {
        let mut output = self.attempt.step(input, now);
        // An endpoint whose connection table is full accepts a new connection only to reject the call, and then closes it:
        // that counts as a refused connection. An endpoint that rejects a call by a limit keeps the connection open.
        if self.closed_rejection_is_refusal
            && output.action == ConnectionAction::Close
            && output.end == Some(CallEnd::Full(0))
        {
            output.end = Some(CallEnd::CouldNotConnect);
        }
        let to_close = match output.action {
            ConnectionAction::Nothing | ConnectionAction::Finish => None,
            ConnectionAction::Open => pool.evict_idle(),
            ConnectionAction::Close => self.connection.take().map(|(mut machine, connection)| {
                machine.step(ConnectionInput::CallFailed, now);
                connection
            }),
            ConnectionAction::Keep => self.connection.take().and_then(|(machine, connection)| {
                pool.keep_idle(self.delivery.endpoint, self.delivery.addr, machine, connection, now)
            }),
        };
        let leaks = matches!(output.end, Some(CallEnd::TimedOut | CallEnd::GivenUp));
        self.is_counted &= !(leaks && breaks::is_enabled(Break::PoolLeak));
        if self.is_counted && (output.end.is_some() || output.action == ConnectionAction::Close) {
            pool.end_call();
            self.is_counted = false;
        }
        StepOutcome { end: output.end, finish: output.action == ConnectionAction::Finish, to_close }
    }
}
