//! The server for consumers: actix-http's codec, and a task for each connection on the one thread.
//!
//! The loop around the codec is our own: actix-http's dispatcher buffers 128 KiB for each connection and
//! does not show what stands behind a request, so that neither can be bounded there.

use super::clock::Clock;
use super::courier::Courier;
use super::handle::Part;
use super::streams;
use actix_http::body::{BodySize, MessageBody};
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, HttpMessage, Method, Request, Response, ServiceConfig, StatusCode, header};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{Instant, sleep, sleep_until, timeout};
use bytes::{Bytes, BytesMut};
use quillmount_core::StreamHead;
use quillmount_core::crowd::{Crowd, Room};
use quillmount_core::flow::Cut;
use quillmount_core::machine::consumer::{Consumer, Input, Output, State};
use quillmount_core::router::{Intake, NO_ROOM_WAIT, StreamEnd};
use quillmount_protocol::invocation::{self, Head, Malformed};
use quillmount_protocol::stream::{self, Body, Digest, Framing};
use rustix::io::Errno;
use socket2::SockRef;
use spurshore::MsgId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout_at;
use tokio_util::codec::{Decoder, Encoder};

/// A whole request comes within this of the connect, or of the end of a rest: a consumer is owed a word
/// within 3 s, and waits 400 ms itself.
const REQUEST: Duration = Duration::from_millis(2_200);
/// How long a connection may rest between requests; the platform asks for 2 s at least.
const REST: Duration = Duration::from_secs(10);
/// An answer is small; a consumer that reads nothing for so long has gone.
const WRITE: Duration = Duration::from_secs(1);
/// After an answer that ends a connection, so long and so many bytes are waited for, so that a consumer
/// that still sends gets the answer before its connection is reset.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MAX: usize = 256 * 1024;
/// The platform's heads take some 300 bytes.
const HEAD_MAX: usize = 8 * 1024;
const READ: usize = 2 * 1024;
/// After an accept that failed, for want of descriptors mostly.
const ACCEPT_REST: Duration = Duration::from_millis(20);
/// So many connections may wait in the system while the thread is held up: who finds no room there tries again only
/// after a second, and consumers come by the hundred.
pub const BACKLOG: u32 = 1_024;
/// In a fleet that is the pace: it refuses a burst for which it has not asked the others for leave yet.
pub const BACKLOG_IN_FLEET: u32 = 128;
/// A connection that is to leave may have a request on its way: it is closed after this, if none has come.
const LAST_LOOK: Duration = Duration::from_millis(5);
/// One line tells of all malformed requests, or of all accepts that failed, within this.
const TELL: Duration = Duration::from_secs(1);

/// The task of a connection, and its word to leave.
struct Task {
    task: JoinHandle<()>,
    leave: Rc<Notify>,
}

/// The consumers' connections, by number.
pub struct Connections {
    clock: Clock,
    crowd: RefCell<Crowd>,
    tasks: RefCell<HashMap<u64, Task>>,
    /// Bytes of bodies that may be under way together, and that are.
    room: u64,
    under_way: Cell<u64>,
    closing: Cell<bool>,
    /// No connection is accepted any more: another process does it from here on, or the planned stop has begun.
    accepts: Notify,
    malformed: Cell<(u64, Option<Instant>)>,
    /// When an accept that failed was last told.
    unaccepted: Cell<Option<Instant>>,
    /// One of them has ended.
    left: Notify,
}

impl Connections {
    /// `most` connections at once, whose unfinished bodies take `room` bytes at most.
    pub fn new(clock: Clock, most: usize, room: u64) -> Self {
        Connections {
            clock,
            crowd: RefCell::new(Crowd::new(most)),
            tasks: RefCell::default(),
            room,
            under_way: Cell::new(0),
            closing: Cell::new(false),
            accepts: Notify::new(),
            malformed: Cell::default(),
            unaccepted: Cell::default(),
            left: Notify::new(),
        }
    }

    /// From now on every answer ends its connection, and no connection rests; or they do as ever again.
    pub fn close_after_answers(&self, closing: bool) {
        self.closing.set(closing);
    }

    /// Asks the connections that rest to leave; true if any remains.
    pub fn close_idle(&self) -> bool {
        let leaving = self.crowd.borrow_mut().all_leave();
        leaving.into_iter().for_each(|number| self.ask_to_leave(number));
        !self.crowd.borrow().is_empty()
    }

    /// The planned stop has begun: whoever accepts is to leave that.
    pub fn accept_no_more(&self) {
        self.accepts.notify_one();
    }

    /// Asks all connections, and whoever accepts them, to give their parts up to another process.
    pub fn give(&self) {
        self.accepts.notify_one();
        self.tasks.borrow().values().for_each(|task| task.leave.notify_one());
    }

    /// Connections whose parts are still to be given up; those that are closing are not.
    pub fn to_give(&self) -> usize {
        self.crowd.borrow().to_give()
    }

    /// Lets a connection in: a new one, or one of another process with what it had read of it.
    pub fn admit(self: &Rc<Self>, courier: &Rc<Courier>, stream: TcpStream, had: Option<(State, BytesMut)>) {
        // An answer must not wait for the acknowledgement of the one before; where it can't be said, it waits.
        let _ = stream.set_nodelay(true);
        let number = self.crowd.borrow_mut().enter(self.clock.now());
        let (state, buf) = had.unwrap_or_else(|| (Consumer::default().state(), BytesMut::new()));
        self.is(number, state);
        let entry = Entry(self.clone(), number);
        let codec = Codec::new(ServiceConfig::default());
        let (courier, leave) = (courier.clone(), Rc::new(Notify::new()));
        let head = Bytes::new();
        let conversation = Conversation { stream, codec, head, buf, courier, entry, leave: leave.clone() };
        let task = actix_rt::spawn(conversation.run(state));
        self.tasks.borrow_mut().insert(number, Task { task, leave });
    }

    fn ask_to_leave(&self, number: u64) {
        if let Some(task) = self.tasks.borrow().get(&number) {
            task.leave.notify_one();
        }
    }

    /// Makes room for one more.
    async fn make_room(&self) {
        loop {
            let room = self.crowd.borrow_mut().make_room(self.clock.now());
            match room {
                Room::Free => return,
                Room::Leave(number) => return self.ask_to_leave(number),
                Room::End(number) => return self.end(number).await,
                // Those that leave do so within 5 ms, or answer.
                Room::Wait => self.left.notified().await,
            }
        }
    }

    /// Ends a connection, and waits until its descriptor is free: a flood would else take many more than may be.
    async fn end(&self, number: u64) {
        let task = self.tasks.borrow_mut().remove(&number);
        if let Some(Task { task, .. }) = task {
            task.abort();
            // It says that it was ended, which is known.
            let _ = task.await;
        }
    }

    /// The process has no descriptor left: who says nothing gives one back, whatever their number; false: nobody can.
    async fn give_back(&self) -> bool {
        let room = self.crowd.borrow_mut().give_back(self.clock.now());
        match room {
            Room::Leave(number) => self.ask_to_leave(number),
            Room::End(number) => self.end(number).await,
            Room::Free => return false,
            Room::Wait => {}
        }
        true
    }

    fn is(&self, number: u64, state: State) {
        self.crowd.borrow_mut().is(number, state, self.clock.now());
        // One that was to leave may have stayed.
        self.left.notify_one();
    }

    /// Room for a body under way, if there is any.
    fn reserve(&self, len: u64) -> Option<Reserved<'_>> {
        let taken = self.under_way.get() + len;
        (taken <= self.room).then(|| self.under_way.set(taken)).map(|()| Reserved(self, len))
    }

    /// Tells that nobody can be accepted; it may go on for as long as descriptors are short.
    fn tell_accept(&self, why: &io::Error) {
        if self.unaccepted.get().is_none_or(|told| told.elapsed() >= TELL) {
            tracing::warn!("server: accept: {why}");
            self.unaccepted.set(Some(Instant::now()));
        }
    }

    /// Counts a malformed request; a line for each would cost more than its answer.
    fn tell(&self, why: Malformed) {
        let (count, told) = self.malformed.get();
        let now = told.is_none_or(|told| told.elapsed() >= TELL);
        if now {
            tracing::info!("malformed: {} requests, the last of them: {why}", count + 1);
        }
        self.malformed.set(if now { (0, Some(Instant::now())) } else { (count + 1, told) });
    }
}

struct Reserved<'a>(&'a Connections, u64);

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - self.1);
    }
}

/// Leaves the table with its task, however that ends.
struct Entry(Rc<Connections>, u64);

impl Drop for Entry {
    fn drop(&mut self) {
        self.0.crowd.borrow_mut().left(self.1);
        self.0.tasks.borrow_mut().remove(&self.1);
        self.0.left.notify_one();
    }
}

/// Listens for consumers.
///
/// # Errors
/// The address can't be had.
pub fn listen(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // The process before may have left connections there that the system still keeps.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

/// Accepts and serves until it is dropped, or another process accepts.
pub async fn serve(listener: Rc<TcpListener>, courier: Rc<Courier>, connections: Rc<Connections>) {
    loop {
        // What is accepted is served: a connection dropped in between would be one turned back unheard.
        let accepted = tokio::select! {
            biased;
            () = connections.accepts.notified() => match courier.handle.life() {
                life if life.hands_over() || life.stopping().is_some() => return,
                _ => continue,
            },
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                courier.count(|c| c.connections += 1);
                connections.make_room().await;
                connections.admit(&courier, stream, None);
            }
            // The one connection broke before it was accepted.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                connections.tell_accept(&e);
                if is_without_descriptor(&e) {
                    connections.give_back().await;
                }
                sleep(ACCEPT_REST).await;
            }
        }
    }
}

/// The process, or the system, has no descriptor left.
fn is_without_descriptor(e: &io::Error) -> bool {
    [Errno::MFILE, Errno::NFILE].map(|e| Some(e.raw_os_error())).contains(&e.raw_os_error())
}

/// Takes in whoever the system has accepted by now, and closes the listener in the moment in which there are none: one
/// that is closed over them resets them, with what they have sent.
pub async fn close_doors(listener: TcpListener, courier: &Rc<Courier>, connections: &Rc<Connections>) {
    let Ok(listener) = listener.into_std() else { return };
    // The system holds one more than it was asked to.
    for _ in 0..=BACKLOG {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(e) if is_without_descriptor(&e) && connections.give_back().await => {
                // Who rests has its last look first.
                sleep(LAST_LOOK).await;
                continue;
            }
            Err(_) => return,
        };
        let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) else {
            continue;
        };
        courier.count(|c| c.connections += 1);
        connections.make_room().await;
        connections.admit(courier, stream, None);
    }
}

/// One consumer's connection.
struct Conversation {
    stream: TcpStream,
    codec: Codec,
    /// The head of the request whose body is still to come whole, as it was read.
    head: Bytes,
    buf: BytesMut,
    courier: Rc<Courier>,
    entry: Entry,
    leave: Rc<Notify>,
}

impl Conversation {
    async fn run(mut self, state: State) {
        match self.converse(state).await {
            Err(e) => tracing::debug!("server: a consumer's connection: {e}"),
            // It leaves the table with its part given.
            Ok(Some(state)) => {
                let mut bytes = BytesMut::from(&self.head[..]);
                bytes.extend_from_slice(&self.buf);
                let Conversation { stream, courier, .. } = self;
                courier.handle.give(Part::Consumer { state, bytes: bytes.into() }, Some(stream));
            }
            Ok(None) => {}
        }
    }

    /// Does what the connection's machine says, until it closes; gives its state where another process goes on.
    async fn converse(&mut self, state: State) -> io::Result<Option<State>> {
        let (connections, number) = (self.entry.0.clone(), self.entry.1);
        let (mut machine, mut todo) = Consumer::resumed(state);
        let mut answer = None;
        loop {
            if self.courier.handle.life().hands_over() && matches!(todo, Output::Read | Output::Rest) {
                return Ok(Some(machine.state()));
            }
            let input = match todo {
                Output::Read => {
                    let Some((given, input)) = self.asked(&connections).await? else { continue };
                    answer = given;
                    input
                }
                Output::Answer { closes } => {
                    let Some((mut answer, msg)) = answer.take() else { return Ok(None) };
                    if closes {
                        answer.head_mut().set_connection_type(ConnectionType::Close);
                    }
                    let bytes = self.encode(answer)?;
                    let told = timeout(WRITE, self.stream.write_all(&bytes)).await;
                    if let Some(msg) = msg {
                        self.courier.stream_answered(msg, matches!(told, Ok(Ok(()))));
                    }
                    told??;
                    Input::Answered
                }
                Output::Rest => {
                    self.buf = BytesMut::new();
                    tokio::select! {
                        biased;
                        _ = self.stream.readable() => Input::Readable,
                        () = self.leave.notified() => match self.courier.handle.life().hands_over() {
                            true => continue,
                            false => Input::Leave,
                        },
                        () = sleep(REST) => Input::Leave,
                    }
                }
                Output::Look => match timeout(LAST_LOOK, self.stream.readable()).await {
                    Ok(_) => Input::Readable,
                    Err(_) if self.arrived() => Input::Readable,
                    Err(_) => Input::Looked,
                },
                Output::Linger => {
                    self.linger().await?;
                    Input::Lingered
                }
                Output::Nothing | Output::Close => return Ok(None),
            };
            todo = machine.step(input);
            // Who is answered counts as asking still: the answer is small.
            if matches!(todo, Output::Read | Output::Rest | Output::Look | Output::Linger) {
                connections.is(number, machine.state());
            }
        }
    }

    /// Waits for a request, and gives its answer; nothing where another process goes on waiting.
    async fn asked(&mut self, connections: &Connections) -> io::Result<Option<(Option<Answer>, Input)>> {
        let (number, leave, mut by) = (self.entry.1, self.leave.clone(), Instant::now() + REQUEST);
        let courier = self.courier.clone();
        let mut looked = false;
        let asked = loop {
            let asked = {
                let request = self.request(connections);
                tokio::pin!(request);
                loop {
                    tokio::select! {
                        biased;
                        asked = &mut request => break Some(asked?),
                        () = leave.notified() => {
                            if courier.handle.life().hands_over() {
                                return Ok(None);
                            }
                            // Room is short: what is on its way has a moment left. A word that it was told as it
                            // rested does not count: its request had come by then, and has its time like any other.
                            if connections.crowd.borrow().is_asked(number) {
                                by = by.min(Instant::now() + LAST_LOOK);
                            }
                        }
                        () = sleep_until(by) => break None,
                    }
                }
            };
            // A request that came in this very moment would be lost with the connection.
            let silent =
                asked.is_none() && self.buf.is_empty() && self.codec.message_type() == MessageType::None;
            if !silent || std::mem::replace(&mut looked, true) || !self.arrived() {
                break asked;
            }
            by = Instant::now() + LAST_LOOK;
        };
        let asked = match asked {
            Some(asked) => asked,
            // Who says nothing is owed nothing.
            None if self.buf.is_empty() && self.codec.message_type() == MessageType::None => Asked::Nothing,
            None => Asked::Malformed(Malformed::Slow),
        };
        let probe = matches!(asked, Asked::Probed(_));
        let mut streamed = None;
        let (answer, closes) = match asked {
            Asked::Stream(request) => {
                // On the heap: every other connection would carry the room for it along.
                let (answer, msg) = Box::pin(self.stream(&request, connections)).await;
                streamed = msg;
                (answer, true)
            }
            Asked::Nothing => return Ok(Some((None, Input::Silent))),
            Asked::Answered(answer) | Asked::Probed(answer) => (answer, false),
            Asked::Malformed(why) => {
                self.courier.count(|c| c.malformed += 1);
                connections.tell(why);
                (invocation::refuse(why), why.ends_connection())
            }
        };
        let told = answer.head().connection_type() == ConnectionType::Close;
        let closes = closes || told || !self.codec.keep_alive() || connections.closing.get();
        Ok(Some((Some((answer, streamed)), Input::Asked { probe, closes })))
    }

    /// Passes a request's body on as it comes; gives the final answer, and the number of the message that it ends.
    async fn stream(&mut self, request: &Request, connections: &Connections) -> Answer {
        let refused = |why: Malformed, courier: &Courier| {
            courier.count(|c| c.malformed += 1);
            connections.tell(why);
            (invocation::refuse(why), None)
        };
        let courier = self.courier.clone();
        let Some(rules) = &courier.rules else { return refused(Malformed::Length, &courier) };
        let headers = request.headers();
        let parts = || {
            let framing = stream::framing(headers)?;
            let head = Head::decode_stream(request.method(), request.path(), headers, rules.longest)?;
            let expects = match headers.get(header::EXPECT) {
                None => false,
                Some(value) if value.as_bytes().eq_ignore_ascii_case(b"100-continue") => true,
                Some(_) => return Err(Malformed::Expect),
            };
            match framing {
                Framing::Length(length) if length > rules.largest => Err(Malformed::OverLimit),
                _ if !rules.allow(head.class()) => Err(Malformed::OverLimit),
                framing => Ok((framing, head, Digest::of(headers)?, expects)),
            }
        };
        let (framing, head, digest, expects) = match parts() {
            Ok(parts) => parts,
            Err(why) => return refused(why, &courier),
        };
        let length = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        };
        let told = StreamHead { length, digest: stream::digest_text(headers) };
        let taken = courier.take_on_stream(head.with_body(Bytes::new()), told, rules);
        let pipe = match taken {
            Ok(pipe) => pipe,
            Err(intake) => return (invocation::answer(intake), None),
        };
        connections.crowd.borrow_mut().streams(self.entry.1);
        let mut gone = Gone { courier: courier.clone(), msg: Some(pipe.msg) };
        let body = (Body::new(framing, rules.largest), digest);
        let end =
            streams::take(&mut self.stream, &mut self.buf, &courier.handle, &pipe, body, expects, |why| {
                courier.stream_fails(&pipe, why)
            })
            .await;
        if end == StreamEnd::Cut(Cut::Gone) {
            // What is written to it now goes nowhere, though the socket may take it: the platform is told.
            return (stream::answer(end), None);
        }
        // From here on whoever writes the answer says what came of it.
        gone.msg = None;
        (stream::answer(end), Some(pipe.msg))
    }

    /// Reads one request whole, and acts on it; nothing of it holds before its last byte has come.
    async fn request(&mut self, connections: &Connections) -> io::Result<Asked> {
        while !invocation::is_whole_head(&self.buf) {
            let refused = match self.buf.len() {
                n if n > HEAD_MAX => Some(Malformed::HeadTooLarge),
                _ if invocation::has_bare_line_end(&self.buf) => Some(Malformed::Unreadable),
                _ => None,
            };
            if let Some(why) = refused {
                return Ok(Asked::Malformed(why));
            }
            if self.read().await? == 0 {
                return Ok(if self.buf.is_empty() { Asked::Nothing } else { Malformed::Unreadable.into() });
            }
        }
        if invocation::has_bare_line_end(&self.buf) {
            return Ok(Malformed::Unreadable.into());
        }
        let before = self.buf.clone().freeze();
        let Ok(Some(Message::Item(request))) = self.codec.decode(&mut self.buf) else {
            return Ok(Malformed::Unreadable.into());
        };
        self.head = before.slice(..before.len().saturating_sub(self.buf.len()));
        if self.streams(&request) {
            return Ok(Asked::Stream(request));
        }
        let head = match Head::decode(request.method(), request.path(), request.headers()) {
            Err(why) if why.ends_connection() => return Ok(why.into()),
            head => head,
        };
        let length = head.as_ref().map_or(invocation::length(request.headers()), |head| Ok(head.length));
        let length = match length {
            Ok(length) => length,
            Err(why) => return Ok(why.into()),
        };
        let Some(_reserved) = connections.reserve(length as u64) else {
            self.courier.count(|c| c.rejected += 1);
            let mut answer = invocation::answer(Intake::Rejected { after: NO_ROOM_WAIT });
            answer.head_mut().set_connection_type(ConnectionType::Close);
            return Ok(Asked::Answered(answer));
        };
        if request.head().expect() && self.buf.len() < length {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        while self.buf.len() < length {
            if self.read().await? == 0 {
                return Ok(Malformed::Unreadable.into());
            }
        }
        let mut body = Bytes::new();
        while self.codec.message_type() == MessageType::Payload {
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(chunk)))) => body = chunk,
                Ok(Some(Message::Chunk(None))) => {}
                _ => return Ok(Malformed::Unreadable.into()),
            }
        }
        self.head = Bytes::new();
        // A consumer sends one request at a time: what stands behind this one has no good reason.
        if !self.buf.is_empty() || self.stream.try_read_buf(&mut self.buf).is_ok_and(|n| n > 0) {
            return Ok(Malformed::Behind.into());
        }
        Ok(match request.path() {
            "/-/ready" | "/-/healthy" => Asked::Probed(probe(&self.courier, &request)),
            _ => match head {
                Err(why) => why.into(),
                Ok(head) => {
                    let invocation = head.with_body(body);
                    if let Some(settles) = self.courier.settles() {
                        let addressing = invocation::addressing(request.headers());
                        if let Some(answer) = (settles.hand_in)(&invocation, addressing) {
                            return Ok(Asked::Answered(answer.await));
                        }
                    }
                    let intake = self.courier.take_on(invocation);
                    if intake == Intake::TakenOn {
                        self.courier.copied().await;
                    }
                    Asked::Answered(invocation::answer(intake))
                }
            },
        })
    }

    /// Whether this request's body is passed on as it comes: where streams are on, one in chunks or of more than a
    /// small body may have.
    fn streams(&self, request: &Request) -> bool {
        let large = || match stream::framing(request.headers()) {
            Ok(Framing::Chunked) => true,
            Ok(Framing::Length(length)) => length > invocation::BODY_MAX as u64,
            Err(_) => false,
        };
        self.courier.rules.is_some() && large()
    }

    /// Takes what the system has for it by now. The runtime knows of that only from its last round on, and a thread
    /// that was held up since then would close over a request.
    fn arrived(&mut self) -> bool {
        let mut bytes = [0; READ];
        let mut socket = &*SockRef::from(&self.stream);
        let read = socket.read(&mut bytes).unwrap_or(0);
        self.buf.extend_from_slice(&bytes[..read]);
        read > 0
    }

    async fn read(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ);
        self.stream.read_buf(&mut self.buf).await
    }

    fn encode(&mut self, answer: Response<Bytes>) -> io::Result<BytesMut> {
        let mut bytes = BytesMut::with_capacity(256);
        let (head, body) = answer.into_parts();
        let size = body.size();
        self.codec.encode(Message::Item((head, size)), &mut bytes)?;
        if let BodySize::Sized(1..) = size {
            self.codec.encode(Message::Chunk(Some(body)), &mut bytes)?;
        }
        self.codec.encode(Message::Chunk(None), &mut bytes)?;
        Ok(bytes)
    }

    /// The answer is on its way; what the consumer still sends is let go.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let (until, mut left) = (Instant::now() + LINGER, LINGER_MAX);
        self.buf = BytesMut::with_capacity(READ);
        while left > 0 {
            self.buf.clear();
            match timeout_at(until, self.stream.read_buf(&mut self.buf)).await {
                Ok(Ok(n)) if n > 0 => left = left.saturating_sub(n),
                _ => return Ok(()),
            }
        }
        sleep_until(until).await;
        Ok(())
    }
}

/// An answer, and the number of the streamed message that it ends.
type Answer = (Response<Bytes>, Option<MsgId>);

/// A stream whose connection ends before its answer: the platform is told its end instead.
struct Gone {
    courier: Rc<Courier>,
    msg: Option<MsgId>,
}

impl Drop for Gone {
    fn drop(&mut self) {
        if let Some(msg) = self.msg {
            self.courier.stream_lost(msg);
        }
    }
}

/// What came of one wait for a request.
enum Asked {
    /// Its body is to be passed on.
    Stream(Request),
    /// The connection ended between requests.
    Nothing,
    Answered(Response<Bytes>),
    Probed(Response<Bytes>),
    Malformed(Malformed),
}

impl From<Malformed> for Asked {
    fn from(why: Malformed) -> Self {
        Asked::Malformed(why)
    }
}

fn probe(courier: &Courier, request: &Request) -> Response<Bytes> {
    let serving = courier.wants_consumers() || request.path() == "/-/healthy";
    match (request.method(), serving) {
        (&Method::GET | &Method::HEAD, true) => invocation::plain(StatusCode::OK, "ready\n"),
        (&Method::GET | &Method::HEAD, false) => {
            let fleet = courier.gate.as_ref().and_then(|gate| gate.closed());
            invocation::plain(StatusCode::SERVICE_UNAVAILABLE, fleet.unwrap_or("not ready\n"))
        }
        _ => invocation::refuse(Malformed::Method),
    }
}
