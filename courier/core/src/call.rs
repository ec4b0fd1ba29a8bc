//! One delivery call in flight with its connection: passes inputs to the attempt's machine and notifies the connection pool of
//! the results.

use crate::machine::attempt::{
    Attempt, AttemptInput, AttemptSnapshot, AttemptState, ConnectionAction, Decode,
};
use crate::machine::connection::{ConnectionInput, EndpointConnection};
use crate::pool::Pool;
use crate::{CallEnd, DeliveryCall};
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};
use serde::{Deserialize, Serialize};

/// A call in flight. `C` is a connection to an endpoint.
#[derive(Clone, Debug)]
pub struct Call<C> {
    /// What is to be delivered, and where.
    pub order: DeliveryCall,
    attempt: Attempt,
    connection: Option<(EndpointConnection, C)>,
    /// The pool counts the call, until its connection is closed or becomes idle.
    is_counted: bool,
    /// A rejection that closes its connection is taken for a full connection table at the endpoint. The driver sets this
    /// before the start where answers have load reports, which distinguish a rejection by a limit; a call that starts on an
    /// idle connection clears it.
    pub full_closes: bool,
}

/// The outcome of a step.
#[derive(Debug)]
pub struct StepOutcome<C> {
    /// The end of the call, which is to be reported.
    pub end: Option<CallEnd>,
    /// End the sending side of the call's connection, and go on reading it.
    pub finish: bool,
    /// A connection to close: the call's own, or an idle one to make way for the call's.
    pub to_close: Option<C>,
}

/// A call as it is handed over to another process, without its connection. Encoded by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallSnapshot {
    /// What is to be delivered, and where.
    pub order: DeliveryCall,
    attempt: AttemptSnapshot,
    /// When its time is up.
    pub until: Micros,
}

impl<C> Call<C> {
    /// The call and its connection for another process; the pool counts it no more. `until` is when its time is up.
    pub fn snapshot(self, pool: &mut Pool<C>, until: Micros) -> (CallSnapshot, Option<C>) {
        if self.is_counted {
            pool.end();
        }
        let Call { order, attempt, connection, .. } = self;
        (
            CallSnapshot { order, attempt: attempt.snapshot(), until },
            connection.map(|(_, connection)| connection),
        )
    }

    /// Resumes another process's call. If nothing of it was sent, it is to be started.
    pub fn resumed(
        snapshot: CallSnapshot,
        decode: Decode,
        most: usize,
        connection: Option<C>,
        pool: &mut Pool<C>,
    ) -> Self {
        let attempt = Attempt::resumed(snapshot.attempt, decode, most);
        let connection = connection.map(|connection| {
            let mut machine = pool.open();
            machine.step(ConnectionInput::Connected, 0);
            (machine, connection)
        });
        let is_counted = connection.is_some();
        if is_counted {
            pool.resume_call();
        }
        Call { order: snapshot.order, attempt, connection, is_counted, full_closes: false }
    }

    /// A call to be started. `decode` reads its answer, of which at most `most` bytes are read.
    pub fn new(order: DeliveryCall, decode: Decode, most: usize) -> Self {
        let attempt = Attempt::new(decode, most, order.send_before);
        Call { order, attempt, connection: None, is_counted: false, full_closes: false }
    }

    /// The same for a call whose body is forwarded as it arrives.
    pub fn streamed(order: DeliveryCall, decode: Decode, most: usize) -> Self {
        let attempt = Attempt::streamed(decode, most, order.send_before);
        Call { order, attempt, connection: None, is_counted: false, full_closes: false }
    }

    /// The attempt's machine.
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// The connection and the answer's buffer, for moving bytes.
    pub fn parts(&mut self) -> Option<(&mut C, &mut Vec<u8>)> {
        let (_, connection) = self.connection.as_mut()?;
        Some((connection, self.attempt.answer_mut()))
    }

    /// The connection, if the call has one.
    pub fn connection(&self) -> Option<&C> {
        self.connection.as_ref().map(|(_, connection)| connection)
    }

    /// The attempt's state.
    pub fn state(&self) -> AttemptState {
        self.attempt.state()
    }

    /// Starts the call on an idle connection, or on a new one ([`AttemptState::Connecting`]), or holds it back.
    pub fn start(&mut self, pool: &mut Pool<C>, now: Micros, quiet: impl Fn(&C) -> bool) -> StepOutcome<C> {
        let (endpoint, addr) = (self.order.endpoint, self.order.addr);
        let open = pool.is_open(endpoint, now);
        if open {
            self.connection = pool.begin(endpoint, addr, now, quiet);
            self.is_counted = true;
        }
        let resting = self.starts_on_idle();
        self.step(pool, AttemptInput::Start { open, resting }, now)
    }

    /// Starts the call on this connection, or on a new one if there is none; it may use no other.
    pub fn start_on(
        &mut self,
        pool: &mut Pool<C>,
        on: Option<(EndpointConnection, C)>,
        now: Micros,
    ) -> StepOutcome<C> {
        if !pool.is_open(self.order.endpoint, now) {
            let outcome = self.step(pool, AttemptInput::Start { open: false, resting: false }, now);
            return StepOutcome { to_close: on.map(|(_, connection)| connection), ..outcome };
        }
        pool.resume_call();
        self.connection = on;
        self.is_counted = true;
        let resting = self.starts_on_idle();
        self.step(pool, AttemptInput::Start { open: true, resting }, now)
    }

    /// Whether the call starts on an idle connection; a full connection table would not have admitted that one.
    fn starts_on_idle(&mut self) -> bool {
        let resting = self.connection.is_some();
        self.full_closes &= !resting;
        resting
    }

    /// The connection that the call waited for is established.
    pub fn connected(&mut self, pool: &mut Pool<C>, connection: C, now: Micros) -> StepOutcome<C> {
        let mut machine = pool.open();
        machine.step(ConnectionInput::Connected, now);
        self.connection = Some((machine, connection));
        let open = pool.is_open(self.order.endpoint, now);
        self.step(pool, AttemptInput::Connected { open }, now)
    }

    /// Anything else happened.
    pub fn step(&mut self, pool: &mut Pool<C>, input: AttemptInput, now: Micros) -> StepOutcome<C> {
        let mut output = self.attempt.step(input, now);
        // An endpoint whose connection table is full accepts a new connection only to reject the call, and closes it: that is
        // a failed connect. A destination that is over its limit keeps the connection open.
        if self.full_closes
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
                pool.keep_idle(self.order.endpoint, self.order.addr, machine, connection, now)
            }),
        };
        let leaks = matches!(output.end, Some(CallEnd::TimedOut | CallEnd::GivenUp));
        self.is_counted &= !(leaks && breaks::is_enabled(Break::PoolLeak));
        if self.is_counted && (output.end.is_some() || output.action == ConnectionAction::Close) {
            pool.end();
            self.is_counted = false;
        }
        StepOutcome { end: output.end, finish: output.action == ConnectionAction::Finish, to_close }
    }
}
