//! The server for clients: actix-http's codec, and a task for each connection on the one thread.
//!
//! The loop around the codec is our own: actix-http's dispatcher buffers 128 KiB for each connection and
//! does not show what stands behind a request, so that neither can be bounded there.

use super::clock::Clock;
use super::courier::Courier;
use super::handle::HandoverPart;
use super::streams;
use actix_http::body::{BodySize, MessageBody};
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, HttpMessage, Method, Request, Response, ServiceConfig, StatusCode, header};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{Instant, sleep, sleep_until, timeout};
use bytes::{Bytes, BytesMut};
use quillmount_core::StreamHead;
use quillmount_core::admission::{Admission, Decision};
use quillmount_core::flow::Cut;
use quillmount_core::machine::client::{ClientConnection, ClientInput, ClientOutput, ClientState};
use quillmount_core::router::{Intake, OVERLOAD_RETRY_AFTER, StreamEnd};
use quillmount_policy::MsgId;
use quillmount_protocol::stream::{self, Body, Digest, Framing};
use quillmount_protocol::submission::{self, Head, Malformed};
use rustix::io::Errno;
use socket2::SockRef;
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

/// A whole request comes within this of the connect, or of the end of a rest: a client is owed a word
/// within 3 s, and waits 400 ms itself.
const REQUEST: Duration = Duration::from_millis(2_200);
/// How long a connection may rest between requests; the platform asks for 2 s at least.
const REST: Duration = Duration::from_secs(10);
/// An answer is small; a client that reads nothing for so long has gone.
const WRITE: Duration = Duration::from_secs(1);
/// After an answer that ends a connection, so long and so many bytes are waited for, so that a client
/// that still sends gets the answer before its connection is reset.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MAX: usize = 256 * 1024;
/// The platform's heads take some 300 bytes.
const HEAD_MAX: usize = 8 * 1024;
const READ: usize = 2 * 1024;
/// After an accept that failed, for want of descriptors mostly.
const ACCEPT_REST: Duration = Duration::from_millis(20);
/// So many connections may wait in the system while the thread is held up: who finds no room there tries again only
/// after a second, and clients come by the hundred.
pub const BACKLOG: u32 = 1_024;
/// In a fleet that is the pace: it refuses a burst for which it has not asked the others for leave yet.
pub const BACKLOG_IN_FLEET: u32 = 128;
/// A connection that is to leave may have a request on its way: it is closed after this, if none has come.
const LAST_LOOK: Duration = Duration::from_millis(5);
/// One line tells of all malformed requests, or of all accepts that failed, within this.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The task of a connection, and its word to leave.
struct Task {
    task: JoinHandle<()>,
    leave: Rc<Notify>,
}

/// The clients' connections, by number.
pub struct Connections {
    clock: Clock,
    admission: RefCell<Admission>,
    tasks: RefCell<HashMap<u64, Task>>,
    /// Bytes of bodies that may be under way together, and that are.
    bodies_max: u64,
    bodies_in_flight: Cell<u64>,
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
    pub fn new(clock: Clock, most: usize, bodies_max: u64) -> Self {
        Connections {
            clock,
            admission: RefCell::new(Admission::new(most)),
            tasks: RefCell::default(),
            bodies_max,
            bodies_in_flight: Cell::new(0),
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
        let leaving = self.admission.borrow_mut().close_all_idle();
        leaving.into_iter().for_each(|number| self.request_close(number));
        !self.admission.borrow().is_empty()
    }

    /// The planned stop has begun: whoever accepts is to leave that.
    pub fn stop_accepting(&self) {
        self.accepts.notify_one();
    }

    /// Asks all connections, and whoever accepts them, to give their parts up to another process.
    pub fn release(&self) {
        self.accepts.notify_one();
        self.tasks.borrow().values().for_each(|task| task.leave.notify_one());
    }

    /// Connections whose parts are still to be given up; those that are closing are not.
    pub fn handover_pending(&self) -> usize {
        self.admission.borrow().handover_pending()
    }

    /// Lets a connection in: a new one, or one of another process with what it had read of it.
    pub fn admit(
        self: &Rc<Self>,
        courier: &Rc<Courier>,
        stream: TcpStream,
        had: Option<(ClientState, BytesMut)>,
    ) {
        // An answer must not wait for the acknowledgement of the one before; where it can't be said, it waits.
        let _ = stream.set_nodelay(true);
        let number = self.admission.borrow_mut().enter(self.clock.now());
        let (state, buf) = had.unwrap_or_else(|| (ClientConnection::default().state(), BytesMut::new()));
        self.set_state(number, state);
        let registration = Registration(self.clone(), number);
        let codec = Codec::new(ServiceConfig::default());
        let (courier, leave) = (courier.clone(), Rc::new(Notify::new()));
        let head = Bytes::new();
        let client = ClientTask { stream, codec, head, buf, courier, registration, leave: leave.clone() };
        let task = actix_rt::spawn(client.run(state));
        self.tasks.borrow_mut().insert(number, Task { task, leave });
    }

    fn request_close(&self, number: u64) {
        if let Some(task) = self.tasks.borrow().get(&number) {
            task.leave.notify_one();
        }
    }

    /// Makes room for one more.
    async fn wait_for_capacity(&self) {
        loop {
            let decision = self.admission.borrow_mut().decide(self.clock.now());
            match decision {
                Decision::Admit => return,
                Decision::RequestClose(number) => return self.request_close(number),
                Decision::Evict(number) => return self.end(number).await,
                // Those that leave do so within 5 ms, or answer.
                Decision::Wait => self.left.notified().await,
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
    async fn reclaim_descriptor(&self) -> bool {
        let decision = self.admission.borrow_mut().reclaim_descriptor(self.clock.now());
        match decision {
            Decision::RequestClose(number) => self.request_close(number),
            Decision::Evict(number) => self.end(number).await,
            Decision::Admit => return false,
            Decision::Wait => {}
        }
        true
    }

    fn set_state(&self, number: u64, state: ClientState) {
        self.admission.borrow_mut().set_state(number, state, self.clock.now());
        // One that was to leave may have stayed.
        self.left.notify_one();
    }

    /// Room for a body under way, if there is any.
    fn reserve(&self, len: u64) -> Option<Reserved<'_>> {
        let taken = self.bodies_in_flight.get() + len;
        (taken <= self.bodies_max).then(|| self.bodies_in_flight.set(taken)).map(|()| Reserved(self, len))
    }

    /// Tells that nobody can be accepted; it may go on for as long as descriptors are short.
    fn log_accept_error(&self, why: &io::Error) {
        if self.unaccepted.get().is_none_or(|logged| logged.elapsed() >= LOG_INTERVAL) {
            tracing::warn!("server: accept: {why}");
            self.unaccepted.set(Some(Instant::now()));
        }
    }

    /// Counts a malformed request; a line for each would cost more than its answer.
    fn log_malformed(&self, why: Malformed) {
        let (count, last_logged) = self.malformed.get();
        let now = last_logged.is_none_or(|logged| logged.elapsed() >= LOG_INTERVAL);
        if now {
            tracing::info!("malformed: {} requests, the last of them: {why}", count + 1);
        }
        self.malformed.set(if now { (0, Some(Instant::now())) } else { (count + 1, last_logged) });
    }
}

struct Reserved<'a>(&'a Connections, u64);

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        self.0.bodies_in_flight.set(self.0.bodies_in_flight.get() - self.1);
    }
}

/// Leaves the table with its task, however that ends.
struct Registration(Rc<Connections>, u64);

impl Drop for Registration {
    fn drop(&mut self) {
        self.0.admission.borrow_mut().remove(self.1);
        self.0.tasks.borrow_mut().remove(&self.1);
        self.0.left.notify_one();
    }
}

/// Listens for clients.
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
            () = connections.accepts.notified() => match courier.handle.lifecycle() {
                lifecycle if lifecycle.is_releasing() || lifecycle.stopping().is_some() => return,
                _ => continue,
            },
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                courier.count(|c| c.connections += 1);
                connections.wait_for_capacity().await;
                connections.admit(&courier, stream, None);
            }
            // The one connection broke before it was accepted.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                connections.log_accept_error(&e);
                if is_without_descriptor(&e) {
                    connections.reclaim_descriptor().await;
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
pub async fn close_listener(listener: TcpListener, courier: &Rc<Courier>, connections: &Rc<Connections>) {
    let Ok(listener) = listener.into_std() else { return };
    // The system holds one more than it was asked to.
    for _ in 0..=BACKLOG {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(e) if is_without_descriptor(&e) && connections.reclaim_descriptor().await => {
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
        connections.wait_for_capacity().await;
        connections.admit(courier, stream, None);
    }
}

/// One client's connection.
struct ClientTask {
    stream: TcpStream,
    codec: Codec,
    /// The head of the request whose body is still to come whole, as it was read.
    head: Bytes,
    buf: BytesMut,
    courier: Rc<Courier>,
    registration: Registration,
    leave: Rc<Notify>,
}

impl ClientTask {
    async fn run(mut self, state: ClientState) {
        match self.run_machine(state).await {
            Err(e) => tracing::debug!("server: a consumer's connection: {e}"),
            // It leaves the table with its part given.
            Ok(Some(state)) => {
                let mut bytes = BytesMut::from(&self.head[..]);
                bytes.extend_from_slice(&self.buf);
                let ClientTask { stream, courier, .. } = self;
                courier.handle.release(HandoverPart::Client { state, bytes: bytes.into() }, Some(stream));
            }
            Ok(None) => {}
        }
    }

    /// Does what the connection's machine says, until it closes; gives its state where another process goes on.
    async fn run_machine(&mut self, state: ClientState) -> io::Result<Option<ClientState>> {
        let (connections, number) = (self.registration.0.clone(), self.registration.1);
        let (mut machine, mut todo) = ClientConnection::resumed(state);
        let mut answer = None;
        loop {
            if self.courier.handle.lifecycle().is_releasing()
                && matches!(todo, ClientOutput::Read | ClientOutput::Rest)
            {
                return Ok(Some(machine.state()));
            }
            let input = match todo {
                ClientOutput::Read => {
                    let Some((given, input)) = self.next_request(&connections).await? else { continue };
                    answer = given;
                    input
                }
                ClientOutput::Answer { closes } => {
                    let Some((mut answer, msg)) = answer.take() else { return Ok(None) };
                    if closes {
                        answer.head_mut().set_connection_type(ConnectionType::Close);
                    }
                    let bytes = self.encode(answer)?;
                    let written = timeout(WRITE, self.stream.write_all(&bytes)).await;
                    if let Some(msg) = msg {
                        self.courier.stream_answered(msg, matches!(written, Ok(Ok(()))));
                    }
                    written??;
                    ClientInput::Answered
                }
                ClientOutput::Rest => {
                    self.buf = BytesMut::new();
                    tokio::select! {
                        biased;
                        _ = self.stream.readable() => ClientInput::Readable,
                        () = self.leave.notified() => match self.courier.handle.lifecycle().is_releasing() {
                            true => continue,
                            false => ClientInput::Leave,
                        },
                        () = sleep(REST) => ClientInput::Leave,
                    }
                }
                ClientOutput::AwaitLastRequest => match timeout(LAST_LOOK, self.stream.readable()).await {
                    Ok(_) => ClientInput::Readable,
                    Err(_) if self.read_arrived() => ClientInput::Readable,
                    Err(_) => ClientInput::NothingArrived,
                },
                ClientOutput::Linger => {
                    self.linger().await?;
                    ClientInput::Lingered
                }
                ClientOutput::Nothing | ClientOutput::Close => return Ok(None),
            };
            todo = machine.step(input);
            // Who is answered counts as asking still: the answer is small.
            if matches!(
                todo,
                ClientOutput::Read
                    | ClientOutput::Rest
                    | ClientOutput::AwaitLastRequest
                    | ClientOutput::Linger
            ) {
                connections.set_state(number, machine.state());
            }
        }
    }

    /// Waits for a request, and gives its answer; nothing where another process goes on waiting.
    async fn next_request(
        &mut self,
        connections: &Connections,
    ) -> io::Result<Option<(Option<Answer>, ClientInput)>> {
        let (number, leave, mut by) = (self.registration.1, self.leave.clone(), Instant::now() + REQUEST);
        let courier = self.courier.clone();
        let mut looked = false;
        let received = loop {
            let received = {
                let request = self.request(connections);
                tokio::pin!(request);
                loop {
                    tokio::select! {
                        biased;
                        received = &mut request => break Some(received?),
                        () = leave.notified() => {
                            if courier.handle.lifecycle().is_releasing() {
                                return Ok(None);
                            }
                            // Room is short: what is on its way has a moment left. A word that it was told as it
                            // rested does not count: its request had come by then, and has its time like any other.
                            if connections.admission.borrow().is_asked_to_close(number) {
                                by = by.min(Instant::now() + LAST_LOOK);
                            }
                        }
                        () = sleep_until(by) => break None,
                    }
                }
            };
            // A request that came in this very moment would be lost with the connection.
            let silent =
                received.is_none() && self.buf.is_empty() && self.codec.message_type() == MessageType::None;
            if !silent || std::mem::replace(&mut looked, true) || !self.read_arrived() {
                break received;
            }
            by = Instant::now() + LAST_LOOK;
        };
        let received = match received {
            Some(received) => received,
            // Who says nothing is owed nothing.
            None if self.buf.is_empty() && self.codec.message_type() == MessageType::None => {
                Received::Nothing
            }
            None => Received::Malformed(Malformed::Slow),
        };
        let probe = matches!(received, Received::Probed(_));
        let mut streamed = None;
        let (answer, closes) = match received {
            Received::Stream(request) => {
                // On the heap: every other connection would carry the room for it along.
                let (answer, msg) = Box::pin(self.stream(&request, connections)).await;
                streamed = msg;
                (answer, true)
            }
            Received::Nothing => return Ok(Some((None, ClientInput::Silent))),
            Received::Answered(answer) | Received::Probed(answer) => (answer, false),
            Received::Malformed(why) => {
                self.courier.count(|c| c.malformed += 1);
                connections.log_malformed(why);
                (submission::refuse(why), why.ends_connection())
            }
        };
        let answer_closes = answer.head().connection_type() == ConnectionType::Close;
        let closes = closes || answer_closes || !self.codec.keep_alive() || connections.closing.get();
        Ok(Some((Some((answer, streamed)), ClientInput::Requested { probe, closes })))
    }

    /// Passes a request's body on as it comes; gives the final answer, and the number of the message that it ends.
    async fn stream(&mut self, request: &Request, connections: &Connections) -> Answer {
        let refused = |why: Malformed, courier: &Courier| {
            courier.count(|c| c.malformed += 1);
            connections.log_malformed(why);
            (submission::refuse(why), None)
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
                Framing::Length(length) if length > rules.largest => Err(Malformed::ExceedsClassLimit),
                _ if !rules.allow(head.class()) => Err(Malformed::ExceedsClassLimit),
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
        let stream_head = StreamHead { length, digest: stream::digest_text(headers) };
        let taken = courier.submit_stream(head.with_body(Bytes::new()), stream_head, rules);
        let pipe = match taken {
            Ok(pipe) => pipe,
            Err(intake) => return (submission::answer(intake), None),
        };
        connections.admission.borrow_mut().mark_streaming(self.registration.1);
        let mut guard = StreamGuard { courier: courier.clone(), msg: Some(pipe.msg) };
        let body = (Body::new(framing, rules.largest), digest);
        let end =
            streams::receive(&mut self.stream, &mut self.buf, &courier.handle, &pipe, body, expects, |why| {
                courier.stream_fails(&pipe, why)
            })
            .await;
        if end == StreamEnd::Cut(Cut::Gone) {
            // What is written to it now goes nowhere, though the socket may take it: the platform is told.
            return (stream::answer(end), None);
        }
        // From here on whoever writes the answer says what came of it.
        guard.msg = None;
        (stream::answer(end), Some(pipe.msg))
    }

    /// Reads one request whole, and acts on it; nothing of it holds before its last byte has come.
    async fn request(&mut self, connections: &Connections) -> io::Result<Received> {
        while !submission::is_whole_head(&self.buf) {
            let refused = match self.buf.len() {
                n if n > HEAD_MAX => Some(Malformed::HeadTooLarge),
                _ if submission::has_bare_line_end(&self.buf) => Some(Malformed::Unreadable),
                _ => None,
            };
            if let Some(why) = refused {
                return Ok(Received::Malformed(why));
            }
            if self.read().await? == 0 {
                return Ok(if self.buf.is_empty() {
                    Received::Nothing
                } else {
                    Malformed::Unreadable.into()
                });
            }
        }
        if submission::has_bare_line_end(&self.buf) {
            return Ok(Malformed::Unreadable.into());
        }
        let before = self.buf.clone().freeze();
        let Ok(Some(Message::Item(request))) = self.codec.decode(&mut self.buf) else {
            return Ok(Malformed::Unreadable.into());
        };
        self.head = before.slice(..before.len().saturating_sub(self.buf.len()));
        if self.streams(&request) {
            return Ok(Received::Stream(request));
        }
        let head = match Head::decode(request.method(), request.path(), request.headers()) {
            Err(why) if why.ends_connection() => return Ok(why.into()),
            head => head,
        };
        let length = head.as_ref().map_or(submission::length(request.headers()), |head| Ok(head.length));
        let length = match length {
            Ok(length) => length,
            Err(why) => return Ok(why.into()),
        };
        let Some(_reserved) = connections.reserve(length as u64) else {
            self.courier.count(|c| c.rejected += 1);
            let mut answer = submission::answer(Intake::Rejected { after: OVERLOAD_RETRY_AFTER });
            answer.head_mut().set_connection_type(ConnectionType::Close);
            return Ok(Received::Answered(answer));
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
        // A client sends one request at a time: what stands behind this one has no good reason.
        if !self.buf.is_empty() || self.stream.try_read_buf(&mut self.buf).is_ok_and(|n| n > 0) {
            return Ok(Malformed::Behind.into());
        }
        Ok(match request.path() {
            "/-/ready" | "/-/healthy" => Received::Probed(probe(&self.courier, &request)),
            _ => match head {
                Err(why) => why.into(),
                Ok(head) => {
                    let submission = head.with_body(body);
                    if let Some(hooks) = self.courier.settlement_hooks() {
                        let addressing = submission::addressing(request.headers());
                        if let Some(answer) = (hooks.hand_in)(&submission, addressing) {
                            return Ok(Received::Answered(answer.await));
                        }
                    }
                    let intake = self.courier.submit(submission);
                    if intake == Intake::Accepted {
                        self.courier.copied().await;
                    }
                    Received::Answered(submission::answer(intake))
                }
            },
        })
    }

    /// Whether this request's body is passed on as it comes: where streams are on, one in chunks or of more than a
    /// small body may have.
    fn streams(&self, request: &Request) -> bool {
        let large = || match stream::framing(request.headers()) {
            Ok(Framing::Chunked) => true,
            Ok(Framing::Length(length)) => length > submission::BODY_MAX as u64,
            Err(_) => false,
        };
        self.courier.rules.is_some() && large()
    }

    /// Takes what the system has for it by now. The runtime knows of that only from its last round on, and a thread
    /// that was held up since then would close over a request.
    fn read_arrived(&mut self) -> bool {
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

    /// The answer is on its way; what the client still sends is let go.
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
struct StreamGuard {
    courier: Rc<Courier>,
    msg: Option<MsgId>,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if let Some(msg) = self.msg {
            self.courier.stream_lost(msg);
        }
    }
}

/// What came of one wait for a request.
enum Received {
    /// Its body is to be passed on.
    Stream(Request),
    /// The connection ended between requests.
    Nothing,
    Answered(Response<Bytes>),
    Probed(Response<Bytes>),
    Malformed(Malformed),
}

impl From<Malformed> for Received {
    fn from(why: Malformed) -> Self {
        Received::Malformed(why)
    }
}

fn probe(courier: &Courier, request: &Request) -> Response<Bytes> {
    let serving = courier.accepts_clients() || request.path() == "/-/healthy";
    match (request.method(), serving) {
        (&Method::GET | &Method::HEAD, true) => submission::plain(StatusCode::OK, "ready\n"),
        (&Method::GET | &Method::HEAD, false) => {
            let fleet = courier.gate.as_ref().and_then(|gate| gate.closed());
            submission::plain(StatusCode::SERVICE_UNAVAILABLE, fleet.unwrap_or("not ready\n"))
        }
        _ => submission::refuse(Malformed::Method),
    }
}
