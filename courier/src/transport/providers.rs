//! The sockets of the invoker calls: moves the bytes of the attempts, which decide in the core.
//!
//! It stands below awc, which gives the word of an interim answer for that of the call, fails a call
//! whose answer begins with 200 and can't be read to its end, lets go unseen what stands behind an
//! answer, and can't bound the connections of all hosts together (README).

use super::clock::Clock;
use super::handle::Handle;
use super::socket;
use crate::fleet::budget::{Conn, Leave};
use actix_rt::net::TcpStream;
use actix_rt::time::{sleep, timeout};
use quillmount_core::call::{self, Call, Told};
use quillmount_core::machine::attempt::{Input, State};
use quillmount_core::{CallEnd, InvokerCall, Said};
use quillmount_protocol::invoker::{self, ANSWER_MAX};
use spurshore::Micros;
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Most answers fit into one read of this.
const READ: usize = 1_024;

/// What a call that is out is told.
#[derive(Default)]
pub struct Words {
    give_up: Cell<bool>,
    hold: Cell<bool>,
    ended: Cell<bool>,
    late: Cell<bool>,
    said: Notify,
    /// Another process goes on with the call.
    give: Notify,
}

impl Words {
    /// A drain says nothing to a call whose first byte may have left, and the others ask at the gate.
    pub fn say(&self, input: Input) {
        match input {
            Input::GiveUp => self.give_up.set(true),
            Input::Hold => self.hold.set(true),
            Input::Ended => self.ended.set(true),
            _ => return,
        }
        self.said.notify_one();
    }

    /// Its time on its connection is up.
    pub fn cut(&self) {
        self.late.set(true);
        self.said.notify_one();
    }

    /// The call is to be given up to another process.
    pub fn give(&self) {
        self.give.notify_one();
    }

    /// What was told to wait for is told to a call that has begun only.
    pub fn forget_hold(&self) {
        self.hold.set(false);
    }

    /// The next word that matters to a stream's attempt. Its time counts from its last byte, which may be later
    /// than its message's time allows: it ends with its message.
    pub async fn heard_by_stream(&self, state: State) -> Input {
        loop {
            if self.ended.get() && !matches!(state, State::Connecting | State::Writing { .. }) {
                return Input::Deadline;
            }
            if let Some(word) = self.word(state) {
                return word;
            }
            self.said.notified().await;
        }
    }

    /// The next word that matters to an attempt in this state.
    pub async fn heard(&self, state: State) -> Input {
        loop {
            if let Some(word) = self.word(state) {
                return word;
            }
            self.said.notified().await;
        }
    }

    fn word(&self, state: State) -> Option<Input> {
        let unsent = matches!(state, State::Connecting | State::Writing { .. });
        match state {
            _ if self.give_up.get() => Some(Input::GiveUp),
            _ if unsent && self.ended.get() => Some(Input::Ended),
            _ if self.late.get() => Some(Input::Deadline),
            State::Writing { .. } if self.hold.take() => Some(Input::Hold),
            _ => None,
        }
    }
}

/// See [`socket::is_quiet`].
pub fn is_quiet(conn: &Conn) -> bool {
    socket::is_quiet(conn.stream())
}

/// Opens a connection; one that counts has leave for it.
pub async fn connect(addr: SocketAddr, leave: Option<&mut Leave>) -> Option<Conn> {
    let conn = match leave {
        None => Conn::Plain(TcpStream::connect(addr).await.ok()?),
        Some(leave) => leave.connect(addr).await?,
    };
    // Else the last part of a larger call waits for the provider's acknowledgement.
    conn.stream().set_nodelay(true).ok()?;
    Some(conn)
}

/// Adds to an answer what has come.
pub async fn read(stream: &mut (impl AsyncRead + Unpin), answer: &mut Vec<u8>) -> Input {
    answer.reserve(READ);
    match stream.read_buf(answer).await {
        Ok(0) => Input::End,
        Ok(_) => Input::Read,
        Err(_) => Input::Reset,
    }
}

/// Writes what is left of a request; from the time `by` on not a byte leaves.
async fn write(stream: &mut TcpStream, left: &[u8], clock: &Clock, by: Option<Micros>) -> Input {
    match socket::write(stream, left, || by.is_some_and(|by| clock.now() >= by)).await {
        None => Input::Tick,
        Some(Ok(bytes)) if bytes > 0 => Input::Wrote { bytes, left: left.len() - bytes },
        Some(_) => Input::WriteFailed,
    }
}

/// Waits for the time that an attempt's state waits for; for ever where there is none.
pub async fn tick(clock: &Clock, at: Option<Micros>) -> Input {
    match at {
        Some(at) => sleep(clock.until(at)).await,
        None => std::future::pending().await,
    }
    Input::Tick
}

/// Reads what the provider of a call that is given up still says, if its connection stands.
pub async fn last_words(
    parts: Option<(&mut Conn, &mut Vec<u8>)>,
    clock: &Clock,
    rest: Option<Micros>,
) -> Input {
    let Some((stream, answer)) = parts else { return tick(clock, rest).await };
    tokio::select! {
        biased;
        read = read(stream.stream_mut(), answer) => read,
        tick = tick(clock, rest) => tick,
    }
}

/// A call at its beginning, or in the middle where another process had it until now.
pub fn begin(order: InvokerCall, now: Micros) -> (Call<Conn>, Micros) {
    let until = now.saturating_add(order.timeout);
    let decode = invoker::decoder(&order);
    (Call::new(order, decode, ANSWER_MAX), until)
}

/// Goes on with a call of another process.
pub fn go_on(handle: &Handle, part: call::Part, connection: Option<TcpStream>) -> (Call<Conn>, Micros) {
    let (until, decode) = (part.until, invoker::decoder(&part.order));
    let connection = connection.map(Conn::Plain);
    let call = handle.pool(|pool| Call::resumed(part, decode, ANSWER_MAX, connection, pool));
    (call, until)
}

/// What a call came to in this process.
pub enum Came {
    /// For all of its messages alike, and what its answer says besides.
    Ended(CallEnd, Said),
    /// The answer tells of each message.
    Each(Vec<CallEnd>, Said),
    /// Another process goes on with it.
    Given(Box<call::Part>, Option<TcpStream>),
}

/// Makes one call, once; `until`: when its time is up.
pub async fn call(
    handle: &Handle,
    (mut call, until): (Call<Conn>, Micros),
    words: &Words,
    mut leave: Option<&mut Leave>,
) -> Came {
    let (clock, addr) = (&handle.clock, call.order.addr);
    let deadline = sleep(clock.until(until));
    tokio::pin!(deadline);
    let mut request = Vec::new();
    if handle.life().hands_over() {
        return given(handle, call, until);
    }
    let mut told = match call.state() {
        State::New => start(handle, &mut call, leave.as_deref_mut()),
        State::Writing { written: 1.. } => {
            request = invoker::encode(&call.order);
            Told { end: None, finish: false, gone: None }
        }
        _ => Told { end: None, finish: false, gone: None },
    };
    loop {
        // What is to be closed is closed with it.
        drop(told.gone.take());
        match told.end {
            Some(CallEnd::Each) => {
                let (ends, wait) = invoker::each(call.attempt().answer(), &call.order);
                return Came::Each(ends, Said { wait, ..said(handle, &call) });
            }
            Some(end) => return Came::Ended(end, said(handle, &call)),
            None => {}
        }
        if std::mem::take(&mut told.finish)
            && let Some((stream, _)) = call.parts()
        {
            // Where it can't be told, the connection is gone already.
            let _ = stream.stream_mut().shutdown().await;
        }
        let (state, rest) = (call.state(), call.attempt().wake_at());
        if matches!(state, State::Writing { written: 0 }) {
            words.forget_hold();
            request = invoker::encode(&call.order);
        }
        if handle.life().hands_over() {
            return given(handle, call, until);
        }
        let input = match (state, call.parts()) {
            (State::Connecting, _) => tokio::select! {
                biased;
                // The word first: it may keep the call from leaving.
                () = words.give.notified() => continue,
                word = words.heard(state) => word,
                stream = timeout(handle.connect, connect(addr, leave.as_deref_mut())) => match stream.ok().flatten() {
                    Some(stream) => {
                        told = handle.pool(|pool| call.connected(pool, stream, clock.now()));
                        continue;
                    }
                    None => Input::Refused,
                },
                () = &mut deadline => Input::Deadline,
                tick = tick(clock, rest) => tick,
            },
            (State::Writing { written }, Some((stream, _))) => {
                tokio::select! {
                    biased;
                    () = words.give.notified() => continue,
                    word = words.heard(state) => word,
                    wrote = write(stream.stream_mut(), &request[written..], clock, rest) => wrote,
                    () = &mut deadline => Input::Deadline,
                    tick = tick(clock, rest) => tick,
                }
            }
            (State::Awaiting | State::Reading { .. }, Some((stream, answer))) => {
                request = Vec::new();
                tokio::select! {
                    biased;
                    read = read(stream.stream_mut(), answer) => read,
                    () = words.give.notified() => continue,
                    word = words.heard(state) => word,
                    () = &mut deadline => Input::Deadline,
                    tick = tick(clock, rest) => tick,
                }
            }
            (State::Closing { .. }, parts) => last_words(parts, clock, rest).await,
            // No connection where there has to be one can't be; it would prove nothing.
            _ => Input::GiveUp,
        };
        told = handle.pool(|pool| call.step(pool, input, clock.now()));
        if told.gone.is_some() {
            let bytes = call.attempt().answer().len();
            tracing::debug!("connection closed: {input:?} while {state:?}, {bytes} bytes of an answer");
        }
    }
}

/// What the answer says beside how the messages fared: a report of load, where the settings name one.
fn said(handle: &Handle, call: &Call<Conn>) -> Said {
    let answer = call.attempt().answer();
    let hears = !answer.is_empty() && handle.hub.borrow().router.hears_load();
    Said { load: if hears { invoker::load(answer) } else { Vec::new() }, wait: 0 }
}

/// Begins on what rests, or on what it has leave for where its partner's connections are counted.
pub fn start(handle: &Handle, call: &mut Call<Conn>, leave: Option<&mut Leave>) -> Told<Conn> {
    let now = handle.clock.now();
    handle.pool(|pool| match leave {
        None => call.start(pool, now, is_quiet),
        Some(leave) => call.start_on(pool, leave.resting.take(), now),
    })
}

fn given(handle: &Handle, call: Call<Conn>, until: Micros) -> Came {
    let (part, connection) = handle.pool(|pool| call.part(pool, until));
    Came::Given(Box::new(part), connection.and_then(Conn::into_stream))
}
