//! One delivery call with its connection: the attempt's machine, and what the connection pool is to know of it.

use crate::machine::attempt::{
    Attempt, AttemptInput, AttemptSnapshot, AttemptState, ConnectionAction, Decode,
};
use crate::machine::connection::{ConnectionInput, EndpointConnection};
use crate::pool::Pool;
use crate::{CallEnd, DeliveryCall};
use quillmount_policy::Micros;
use quillmount_policy::breaks::{self, Break};
use serde::{Deserialize, Serialize};

/// A call that is out. `C` is a connection to an endpoint.
#[derive(Clone, Debug)]
pub struct Call<C> {
    pub order: DeliveryCall,
    attempt: Attempt,
    connection: Option<(EndpointConnection, C)>,
    /// The pool counts the call, until its connection is closed or kept.
    is_counted: bool,
    /// A refusal that closes its connection is taken for a full table of connections there. The driver says so before it
    /// starts, where answers hold reports of load, so that a refusal by a limit is known for one; it is over where the call
    /// starts on a connection that rested.
    pub full_closes: bool,
}

/// What a step came to.
#[derive(Debug)]
pub struct StepOutcome<C> {
    /// The call is over, and is to be reported.
    pub end: Option<CallEnd>,
    /// The call's connection is to send nothing more, and is still read.
    pub finish: bool,
    /// A connection to close: the call's own, or one that rested elsewhere and makes room.
    pub to_close: Option<C>,
}

/// A call as another process goes on with it, beside its connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallSnapshot {
    pub order: DeliveryCall,
    attempt: AttemptSnapshot,
    /// When its time is up.
    pub until: Micros,
}

impl<C> Call<C> {
    /// Gives the call up to another process, with its connection; the pool does not count it any more.
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

    /// Goes on with another process's call. One that had not left yet is to be started.
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

    /// `decode` reads answers, and never more than `most` bytes of one.
    pub fn new(order: DeliveryCall, decode: Decode, most: usize) -> Self {
        let attempt = Attempt::new(decode, most, order.by);
        Call { order, attempt, connection: None, is_counted: false, full_closes: false }
    }

    /// The same for a stream, whose body is passed on as it comes.
    pub fn streamed(order: DeliveryCall, decode: Decode, most: usize) -> Self {
        let attempt = Attempt::streamed(decode, most, order.by);
        Call { order, attempt, connection: None, is_counted: false, full_closes: false }
    }

    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// The connection and the answer's buffer, for whoever moves the bytes.
    pub fn parts(&mut self) -> Option<(&mut C, &mut Vec<u8>)> {
        let (_, connection) = self.connection.as_mut()?;
        Some((connection, self.attempt.answer_mut()))
    }

    pub fn connection(&self) -> Option<&C> {
        self.connection.as_ref().map(|(_, connection)| connection)
    }

    pub fn state(&self) -> AttemptState {
        self.attempt.state()
    }

    /// Begins: takes a connection that rests, or wants a new one ([`State::Connecting`]), or is held back.
    pub fn start(&mut self, pool: &mut Pool<C>, now: Micros, quiet: impl Fn(&C) -> bool) -> StepOutcome<C> {
        let (endpoint, addr) = (self.order.endpoint, self.order.addr);
        let open = pool.is_open(endpoint, now);
        if open {
            self.connection = pool.begin(endpoint, addr, now, quiet);
            self.is_counted = true;
        }
        let resting = self.rests();
        self.step(pool, AttemptInput::Start { open, resting }, now)
    }

    /// Begins on this connection, or on a new one where there is none: it has leave for no other.
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
        (self.connection, self.is_counted) = (on, true);
        let resting = self.rests();
        self.step(pool, AttemptInput::Start { open: true, resting }, now)
    }

    /// Whether it starts on a connection that rested: a table that was full would not have let that one in.
    fn rests(&mut self) -> bool {
        let resting = self.connection.is_some();
        self.full_closes &= !resting;
        resting
    }

    /// The connection that it waited for is up.
    pub fn connected(&mut self, pool: &mut Pool<C>, connection: C, now: Micros) -> StepOutcome<C> {
        let mut machine = pool.open();
        machine.step(ConnectionInput::Connected, now);
        self.connection = Some((machine, connection));
        let open = pool.is_open(self.order.endpoint, now);
        self.step(pool, AttemptInput::Connected { open }, now)
    }

    /// Anything else that happened.
    pub fn step(&mut self, pool: &mut Pool<C>, input: AttemptInput, now: Micros) -> StepOutcome<C> {
        let mut output = self.attempt.step(input, now);
        // An endpoint whose table of connections is full takes a new one only to say so, and closes it: that is a connect
        // that failed. A destination that is over its limit keeps the connection.
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
