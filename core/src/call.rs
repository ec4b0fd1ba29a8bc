//! One invoker call with its connection: the attempt's machine, and what the connection pool is to know of it.

use crate::machine::attempt::{Attempt, Decode, Input, Link as Todo, State};
use crate::machine::link::{self, Link};
use crate::pool::Pool;
use crate::{CallEnd, InvokerCall};
use serde::{Deserialize, Serialize};
use spurshore::Micros;
use spurshore::breaks::{self, Break};

/// A call that is out. `C` is a connection to a provider.
#[derive(Clone, Debug)]
pub struct Call<C> {
    pub order: InvokerCall,
    attempt: Attempt,
    held: Option<(Link, C)>,
    /// The pool counts the call, until its connection is closed or kept.
    counts: bool,
    /// A refusal that closes its connection is taken for a full table of connections there. The driver says so before it
    /// starts, where answers hold reports of load, so that a refusal by a limit is known for one; it is over where the call
    /// starts on a connection that rested.
    pub full_closes: bool,
}

/// What a step came to.
#[derive(Debug)]
pub struct Told<C> {
    /// The call is over, and is to be reported.
    pub end: Option<CallEnd>,
    /// The call's connection is to send nothing more, and is still read.
    pub finish: bool,
    /// A connection to close: the call's own, or one that rested elsewhere and makes room.
    pub gone: Option<C>,
}

/// A call as another process goes on with it, beside its connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Part {
    pub order: InvokerCall,
    attempt: crate::machine::attempt::Part,
    /// When its time is up.
    pub until: Micros,
}

impl<C> Call<C> {
    /// Gives the call up to another process, with its connection; the pool does not count it any more.
    pub fn part(self, pool: &mut Pool<C>, until: Micros) -> (Part, Option<C>) {
        if self.counts {
            pool.end();
        }
        let Call { order, attempt, held, .. } = self;
        (Part { order, attempt: attempt.part(), until }, held.map(|(_, connection)| connection))
    }

    /// Goes on with another process's call. One that had not left yet is to be started.
    pub fn resumed(
        part: Part,
        decode: Decode,
        most: usize,
        connection: Option<C>,
        pool: &mut Pool<C>,
    ) -> Self {
        let attempt = Attempt::resumed(part.attempt, decode, most);
        let held = connection.map(|connection| {
            let mut link = pool.open();
            link.step(link::Input::Up, 0);
            (link, connection)
        });
        let counts = held.is_some();
        if counts {
            pool.goes_on();
        }
        Call { order: part.order, attempt, held, counts, full_closes: false }
    }

    /// `decode` reads answers, and never more than `most` bytes of one.
    pub fn new(order: InvokerCall, decode: Decode, most: usize) -> Self {
        let attempt = Attempt::new(decode, most, order.by);
        Call { order, attempt, held: None, counts: false, full_closes: false }
    }

    /// The same for a stream, whose body is passed on as it comes.
    pub fn streamed(order: InvokerCall, decode: Decode, most: usize) -> Self {
        let attempt = Attempt::streamed(decode, most, order.by);
        Call { order, attempt, held: None, counts: false, full_closes: false }
    }

    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// The connection and the answer's buffer, for whoever moves the bytes.
    pub fn parts(&mut self) -> Option<(&mut C, &mut Vec<u8>)> {
        let (_, connection) = self.held.as_mut()?;
        Some((connection, self.attempt.answer_mut()))
    }

    pub fn connection(&self) -> Option<&C> {
        self.held.as_ref().map(|(_, connection)| connection)
    }

    pub fn state(&self) -> State {
        self.attempt.state()
    }

    /// Begins: takes a connection that rests, or wants a new one ([`State::Connecting`]), or is held back.
    pub fn start(&mut self, pool: &mut Pool<C>, now: Micros, quiet: impl Fn(&C) -> bool) -> Told<C> {
        let (provider, addr) = (self.order.provider, self.order.addr);
        let open = pool.lets_through(provider, now);
        if open {
            self.held = pool.begin(provider, addr, now, quiet);
            self.counts = true;
        }
        let resting = self.rests();
        self.step(pool, Input::Start { open, resting }, now)
    }

    /// Begins on this connection, or on a new one where there is none: it has leave for no other.
    pub fn start_on(&mut self, pool: &mut Pool<C>, on: Option<(Link, C)>, now: Micros) -> Told<C> {
        if !pool.lets_through(self.order.provider, now) {
            let told = self.step(pool, Input::Start { open: false, resting: false }, now);
            return Told { gone: on.map(|(_, connection)| connection), ..told };
        }
        pool.goes_on();
        (self.held, self.counts) = (on, true);
        let resting = self.rests();
        self.step(pool, Input::Start { open: true, resting }, now)
    }

    /// Whether it starts on a connection that rested: a table that was full would not have let that one in.
    fn rests(&mut self) -> bool {
        let resting = self.held.is_some();
        self.full_closes &= !resting;
        resting
    }

    /// The connection that it waited for is up.
    pub fn connected(&mut self, pool: &mut Pool<C>, connection: C, now: Micros) -> Told<C> {
        let mut link = pool.open();
        link.step(link::Input::Up, now);
        self.held = Some((link, connection));
        let open = pool.lets_through(self.order.provider, now);
        self.step(pool, Input::Connected { open }, now)
    }

    /// Anything else that happened.
    pub fn step(&mut self, pool: &mut Pool<C>, input: Input, now: Micros) -> Told<C> {
        let mut output = self.attempt.step(input, now);
        // A provider whose table of connections is full takes a new one only to say so, and closes it: that is a connect
        // that failed. A destination that is over its limit keeps the connection.
        if self.full_closes && output.link == Todo::Close && output.end == Some(CallEnd::Full(0)) {
            output.end = Some(CallEnd::CouldNotConnect);
        }
        let gone = match output.link {
            Todo::Nothing | Todo::Finish => None,
            Todo::Open => pool.make_room(),
            Todo::Close => self.held.take().map(|(mut link, connection)| {
                link.step(link::Input::Dropped, now);
                connection
            }),
            Todo::Keep => self.held.take().and_then(|(link, connection)| {
                pool.keep(self.order.provider, self.order.addr, link, connection, now)
            }),
        };
        let leaks = matches!(output.end, Some(CallEnd::TimedOut | CallEnd::GivenUp));
        self.counts &= !(leaks && breaks::on(Break::PoolLeak));
        if self.counts && (output.end.is_some() || output.link == Todo::Close) {
            pool.end();
            self.counts = false;
        }
        Told { end: output.end, finish: output.link == Todo::Finish, gone }
    }
}
