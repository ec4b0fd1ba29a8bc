//! The way from one courier to another: a relay on loopback whose script changes at a call, at any moment.
//! It carries bytes; of HTTP/1.1 it knows where a request begins and ends (a head, `Content-Length`), so
//! that a fault can strike one request at a byte of it.

use super::fault::{Fault, InjectedFault};
use crate::gate::{AcceptMode, Gate};
use crate::http::{BodyRemainder, Reader};
use crate::record::{Recorder, Stamp};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Bytes that are read at once.
const READ: usize = 64 * 1024;
/// Bytes that a delayed or slow link holds for each direction of a connection; then it reads no further.
const BUFFERED_MAX: usize = 4 * 1024 * 1024;
/// Bytes of a request that is kept to be delivered again; a longer one is not.
const CAPTURE_MAX: usize = 16 * 1024 * 1024;
/// A longer head is none of a courier's.
const HEAD_MAX: usize = 64 * 1024;
const HEADERS_MAX: usize = 64;
/// A slow link's pieces: so many a second.
const SLOW_CHUNKS_PER_SECOND: u64 = 20;

/// What a link does until it is told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes pass at once.
    #[default]
    Pass,
    /// Nothing gets through either way, not even the end of a connection. Connections there are go silent,
    /// and their bytes come when it passes again, as TCP has it; new ones do not come up.
    Partitioned,
    /// The same, and new ones are refused.
    PartitionedRefusing,
    /// Requests get there, answers do not. A connection that lost bytes so is closed when the link passes
    /// again.
    AnswersLost,
    /// Answers get back, requests do not get there; else as above.
    RequestsLost,
    /// Both directions, so much later each.
    Delay(Duration),
    /// Bytes a second, each direction.
    Slow(u64),
}

impl LinkMode {
    fn is_stalled(self) -> bool {
        matches!(self, LinkMode::Partitioned | LinkMode::PartitionedRefusing)
    }

    fn loses(self, direction: Direction) -> bool {
        matches!(
            (self, direction),
            (LinkMode::AnswersLost, Direction::Answers) | (LinkMode::RequestsLost, Direction::Requests)
        )
    }

    /// One of all, by the seed of the generator.
    pub fn random(seed: &mut fastrand::Rng) -> LinkMode {
        match seed.u8(0..7) {
            0 => LinkMode::Pass,
            1 => LinkMode::Partitioned,
            2 => LinkMode::PartitionedRefusing,
            3 => LinkMode::AnswersLost,
            4 => LinkMode::RequestsLost,
            5 => LinkMode::Delay(Duration::from_millis(seed.u64(1..200))),
            _ => LinkMode::Slow(seed.u64(2_000..200_000)),
        }
    }
}

/// What becomes of a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// So many bytes of it get there, its head's included; then the connection is closed on both sides.
    CutAt(usize),
    /// The same, reckoned from its body's first byte.
    CutInBody(usize),
    /// It gets there, and again on a connection of its own; the second answer is let go.
    Duplicate,
    /// It gets there, and is kept for [`Link::replay`].
    Capture,
    /// It gets there; when its answer begins to come, the connection is closed instead.
    LoseAnswer,
    /// It waits at its first byte for [`Link::release`].
    Block,
}

impl RequestFault {
    /// One of those that need no further call, by the seed of the generator.
    pub fn random(seed: &mut fastrand::Rng) -> RequestFault {
        match seed.u8(0..4) {
            0 => RequestFault::CutAt(seed.usize(1..400)),
            1 => RequestFault::CutInBody(seed.usize(0..400)),
            2 => RequestFault::Duplicate,
            _ => RequestFault::LoseAnswer,
        }
    }
}

/// Something that happened on a link.
#[derive(Clone, Debug)]
pub struct LinkEvent {
    /// When it happened.
    pub when: Stamp,
    /// The courier that calls.
    pub from: usize,
    /// The courier that is called.
    pub to: usize,
    /// The connection's number on this link, from 0.
    pub connection: u64,
    /// What happened.
    pub what: LinkEventKind,
}

/// What happens on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEventKind {
    /// A connection came.
    ConnectionOpened,
    /// A request's head was read, with this path, and so many bytes of body to come.
    Request {
        /// Its path.
        path: String,
        /// Bytes of its body.
        body: u64,
    },
    /// A request is held at its first byte.
    RequestBlocked,
    /// All of a request has been written to the one that it is for.
    Sent,
    /// Bytes of an answer have been written back, the first since the request.
    AnswerBegan,
    /// Bytes were let go, the first on this connection since its way began.
    BytesDropped,
    /// The request was cut off behind so many of its bytes.
    CutAt(usize),
    /// A request was delivered again, and answered with this status; 0: it was not answered.
    Redelivered(u16),
    /// The connection is gone.
    ConnectionClosed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

/// What a link's connections share.
struct LinkState {
    from: usize,
    to: usize,
    target: SocketAddr,
    recorder: Recorder,
    mode: watch::Sender<LinkMode>,
    /// What becomes of the next requests whose path begins so.
    request_fault: RefCell<VecDeque<(String, RequestFault)>>,
    captured: RefCell<Option<Bytes>>,
    /// Requests that were let go on, and requests that were held.
    released: watch::Sender<u64>,
    blocked: Cell<u64>,
    /// Connections are closed when it changes.
    close: watch::Sender<u64>,
    connections: Cell<u64>,
}

impl LinkState {
    fn record_event(&self, connection: u64, what: LinkEventKind) {
        let (from, to) = (self.from, self.to);
        self.recorder
            .write(|record, when| record.link_events.push(LinkEvent { when, from, to, connection, what }));
    }
}

/// The way from one courier to another.
pub struct Link {
    shared: Rc<LinkState>,
    addr: SocketAddr,
    accept_mode: watch::Sender<AcceptMode>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.close.send_modify(|n| *n += 1);
    }
}

impl Link {
    /// Opens a way to `target`, told of as `from` and `to`; must run in a `LocalSet`.
    ///
    /// # Errors
    /// No port could be had.
    pub fn open(from: usize, to: usize, target: SocketAddr, recorder: Recorder) -> Result<Link> {
        let gate = Gate::open()?;
        let addr = gate.addr();
        let shared = Rc::new(LinkState {
            from,
            to,
            target,
            recorder,
            mode: watch::Sender::default(),
            request_fault: RefCell::default(),
            captured: RefCell::default(),
            released: watch::Sender::default(),
            blocked: Cell::default(),
            close: watch::Sender::default(),
            connections: Cell::default(),
        });
        let (accept_mode, receiver) = watch::channel(AcceptMode::Open);
        let task = spawn_local(listen(gate, receiver, shared.clone())).abort_handle();
        Ok(Link { shared, addr, accept_mode, task })
    }

    /// Where the one side reaches the other.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The mode now.
    pub fn mode(&self) -> LinkMode {
        *self.shared.mode.borrow()
    }

    /// From now on.
    pub fn set(&self, mode: LinkMode) {
        self.note(|from, to| Fault::Link { from, to, mode });
        self.shared.mode.send_replace(mode);
        self.accept_mode.send_replace(match mode {
            LinkMode::Partitioned => AcceptMode::Silent,
            LinkMode::PartitionedRefusing => AcceptMode::Refused,
            _ => AcceptMode::Open,
        });
    }

    fn note(&self, fault: impl FnOnce(usize, usize) -> Fault) {
        InjectedFault::note(&self.shared.recorder, fault(self.shared.from, self.shared.to));
    }

    /// For the next request that begins, on whichever connection; several wait in their order.
    pub fn fault_next_request(&self, what: RequestFault) {
        self.fault_next_request_to("", what);
    }

    /// For the next request whose path begins so.
    pub fn fault_next_request_to(&self, path: &str, what: RequestFault) {
        self.note(|from, to| Fault::Request { from, to, fault: what });
        self.shared.request_fault.borrow_mut().push_back((path.into(), what));
    }

    /// Lets the request go on that was held first.
    pub fn release(&self) {
        self.shared.released.send_modify(|n| *n += 1);
    }

    /// Delivers the request again that was kept last, and returns the answer's status.
    ///
    /// # Errors
    /// None was kept, or it was not answered.
    pub async fn replay(&self) -> Result<u16> {
        let captured = self.shared.captured.borrow().clone();
        let request = captured.ok_or_else(|| Error::other("no request was kept"))?;
        redeliver(self.shared.clone(), u64::MAX, request).await
    }

    /// Closes all its connections now, on both sides, with what they hold; its way stays.
    pub fn close(&self) {
        self.note(|from, to| Fault::Close { from, to });
        self.shared.close.send_modify(|n| *n += 1);
    }
}

async fn listen(
    mut gate: Gate,
    mut accept_mode: watch::Receiver<AcceptMode>,
    shared: Rc<LinkState>,
) -> Result<()> {
    loop {
        tokio::select! {
            biased;
            changed = accept_mode.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let accept_mode = *accept_mode.borrow_and_update();
                gate.set(accept_mode)?;
            }
            stream = gate.accept() => {
                let Ok(stream) = stream else { continue };
                let number = shared.connections.get();
                shared.connections.set(number + 1);
                shared.record_event(number, LinkEventKind::ConnectionOpened);
                let (shared, mut close) = (shared.clone(), shared.close.subscribe());
                spawn_local(async move {
                    tokio::select! {
                        biased;
                        _ = close.changed() => {}
                        // What broke is told of as gone.
                        _ = carry(stream, number, &shared) => {}
                    }
                    shared.record_event(number, LinkEventKind::ConnectionClosed);
                });
            }
        }
    }
}

async fn carry(client: TcpStream, number: u64, shared: &Rc<LinkState>) -> Result<()> {
    let server = match TcpStream::connect(shared.target).await {
        Ok(server) => server,
        Err(e) => {
            // Nobody listens there: as near to a refusal as a connection that is up can come.
            client.set_zero_linger()?;
            return Err(e);
        }
    };
    server.set_nodelay(true)?;
    let ((from_client, to_client), (from_server, to_server)) = (client.into_split(), server.into_split());
    let state = Rc::new(ConnectionState {
        number,
        shared: shared.clone(),
        drop_answer: Cell::new(false),
        awaiting_answer: Cell::new(false),
    });
    let requests = Pump::new(Direction::Requests, state.clone()).run(from_client, to_server);
    let answers = Pump::new(Direction::Answers, state).run(from_server, to_client);
    tokio::try_join!(requests, answers).map(drop)
}

/// What the two directions of a connection share.
struct ConnectionState {
    number: u64,
    shared: Rc<LinkState>,
    /// The connection is closed where an answer begins to come.
    drop_answer: Cell<bool>,
    /// A request has been sent, and nothing of its answer has come.
    awaiting_answer: Cell<bool>,
}

enum PumpItem {
    Bytes(Bytes),
    /// Waits for the release with this number.
    Block(u64),
    /// A request's last byte is behind it; the request, if it is to be delivered again.
    End(Option<Bytes>),
    /// Close the connection: the request was cut off behind so many bytes.
    Close(usize),
}

/// One direction of a connection.
struct Pump {
    direction: Direction,
    conn: Rc<ConnectionState>,
    queue: VecDeque<(Instant, PumpItem)>,
    buffered: usize,
    /// When what is slow has passed.
    free: Instant,
    requests: RequestTracker,
}

impl Pump {
    fn new(direction: Direction, conn: Rc<ConnectionState>) -> Self {
        let requests = RequestTracker::default();
        Pump { direction, conn, queue: VecDeque::new(), buffered: 0, free: Instant::now(), requests }
    }

    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> Result<()> {
        let shared = self.conn.shared.clone();
        let (mut modes, mut released) = (shared.mode.subscribe(), shared.released.subscribe());
        let (mut ended, mut lost) = (false, false);
        let mut buf = BytesMut::new();
        loop {
            let mode = *modes.borrow_and_update();
            let (stalled, loses) = (mode.is_stalled(), mode.loses(self.direction));
            if lost && !loses && !stalled {
                // The stream has a hole: nothing that follows could be told from something else.
                return Err(ErrorKind::ConnectionAborted.into());
            }
            let next = self.queue.front().map(|(due, _)| *due);
            let due = next.is_some_and(|due| due <= Instant::now());
            if due && !stalled {
                match self.queue.front_mut().map(|(_, item)| item) {
                    Some(PumpItem::Block(number)) if *released.borrow_and_update() > *number => {
                        self.queue.pop_front();
                        continue;
                    }
                    Some(PumpItem::End(redelivery)) => {
                        let redelivery = redelivery.take();
                        self.queue.pop_front();
                        self.sent(redelivery);
                        continue;
                    }
                    Some(PumpItem::Close(at)) => {
                        shared.record_event(self.conn.number, LinkEventKind::CutAt(*at));
                        // What was written still gets there.
                        to.shutdown().await?;
                        return Err(ErrorKind::ConnectionAborted.into());
                    }
                    Some(PumpItem::Bytes(bytes)) if loses => {
                        self.buffered -= bytes.len();
                        self.queue.pop_front();
                        if !std::mem::replace(&mut lost, true) {
                            shared.record_event(self.conn.number, LinkEventKind::BytesDropped);
                        }
                        continue;
                    }
                    Some(PumpItem::Bytes(_))
                        if self.direction == Direction::Answers && self.conn.drop_answer.get() =>
                    {
                        shared.record_event(self.conn.number, LinkEventKind::BytesDropped);
                        return Err(ErrorKind::ConnectionAborted.into());
                    }
                    _ => {}
                }
            }
            if ended && self.queue.is_empty() && !stalled {
                return to.shutdown().await;
            }
            let can_read = !ended && !stalled && self.buffered < BUFFERED_MAX;
            let waits = matches!(self.queue.front(), Some((_, PumpItem::Block(_))));
            buf.reserve(READ);
            tokio::select! {
                biased;
                changed = modes.changed() => {
                    changed.map_err(|_| Error::from(ErrorKind::NotConnected))?;
                    if *modes.borrow() == LinkMode::Pass {
                        let now = Instant::now();
                        self.queue.iter_mut().for_each(|(due, _)| *due = now.min(*due));
                        self.free = now;
                    }
                }
                _ = released.changed(), if waits => {}
                written = write(&mut to, self.queue.front()), if due && !stalled && !waits => self.bytes_written(written?),
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() && !due && !stalled => {}
                read = from.read_buf(&mut buf), if can_read => match read? {
                    0 => ended = true,
                    _ => {
                        let bytes = buf.split().freeze();
                        self.enqueue(bytes, mode);
                    }
                },
            }
        }
    }

    /// So many bytes of the front have been written.
    fn bytes_written(&mut self, written: usize) {
        let Some((_, PumpItem::Bytes(bytes))) = self.queue.front_mut() else { return };
        let _ = bytes.split_to(written);
        self.buffered -= written;
        if bytes.is_empty() {
            self.queue.pop_front();
        }
        if self.direction == Direction::Answers && self.conn.awaiting_answer.replace(false) {
            self.conn.shared.record_event(self.conn.number, LinkEventKind::AnswerBegan);
        }
    }

    fn sent(&self, request: Option<Bytes>) {
        let conn = &self.conn;
        conn.awaiting_answer.set(true);
        conn.shared.record_event(conn.number, LinkEventKind::Sent);
        if let Some(request) = request {
            spawn_local(redeliver(conn.shared.clone(), conn.number, request));
        }
    }

    /// Bytes that have come.
    fn enqueue(&mut self, bytes: Bytes, mode: LinkMode) {
        let items = match self.direction {
            Direction::Requests => self.requests.feed(bytes, &self.conn),
            Direction::Answers => vec![PumpItem::Bytes(bytes)],
        };
        for item in items {
            let PumpItem::Bytes(bytes) = item else {
                let due = self.due(0, mode);
                self.queue.push_back((due, item));
                continue;
            };
            self.buffered += bytes.len();
            let most = match mode {
                LinkMode::Slow(rate) => (rate / SLOW_CHUNKS_PER_SECOND).max(1) as usize,
                _ => bytes.len().max(1),
            };
            for chunk in bytes.chunks(most) {
                let due = self.due(chunk.len() as u64, mode);
                self.queue.push_back((due, PumpItem::Bytes(bytes.slice_ref(chunk))));
            }
        }
    }

    /// When a piece of so many bytes has passed; none overtakes another.
    fn due(&mut self, bytes: u64, mode: LinkMode) -> Instant {
        let now = Instant::now();
        match mode {
            LinkMode::Delay(by) => self.free = self.free.max(now + by),
            LinkMode::Slow(rate) => {
                self.free = self.free.max(now) + Duration::from_micros(bytes * 1_000_000 / rate.max(1));
            }
            _ => self.free = self.free.max(now),
        }
        self.free
    }
}

async fn write(to: &mut OwnedWriteHalf, front: Option<&(Instant, PumpItem)>) -> Result<usize> {
    match front {
        Some((_, PumpItem::Bytes(bytes))) => to.write(bytes).await,
        _ => std::future::pending().await,
    }
}

/// Delivers a request on a connection of its own, and lets its answer go.
async fn redeliver(shared: Rc<LinkState>, connection: u64, request: Bytes) -> Result<u16> {
    let status = async {
        let mut stream = TcpStream::connect(shared.target).await?;
        stream.write_all(&request).await?;
        let mut reader = Reader::new(stream);
        let head = reader.head().await?.ok_or(ErrorKind::UnexpectedEof)?;
        let mut left = BodyRemainder::from(head.framing());
        while reader.body(&mut left, READ).await?.is_some() {}
        Ok(head.status())
    };
    let status: Result<u16> = status.await;
    shared.record_event(connection, LinkEventKind::Redelivered(status.as_ref().map_or(0, |status| *status)));
    status
}

/// Finds where requests begin and end.
#[derive(Default)]
struct RequestTracker {
    head: BytesMut,
    /// Of the request under way.
    body: u64,
    /// Bytes that may still pass, and have passed, where it is to be cut off.
    cut: Option<(usize, usize)>,
    copy: Option<(BytesMut, RequestFault)>,
    /// What came is no request: it passes as it is.
    unknown: bool,
    ended: bool,
}

impl RequestTracker {
    fn feed(&mut self, mut bytes: Bytes, conn: &ConnectionState) -> Vec<PumpItem> {
        let mut items = Vec::new();
        while !bytes.is_empty() && !self.ended {
            if self.unknown {
                items.push(PumpItem::Bytes(std::mem::take(&mut bytes)));
            } else if self.body > 0 {
                let part = bytes.split_to(bytes.len().min(self.body as usize));
                self.body -= part.len() as u64;
                self.pass(part, &mut items, conn);
            } else {
                self.head.extend_from_slice(&bytes);
                bytes = self.begin(&mut items, conn);
            }
        }
        items
    }

    /// Passes the head, if it is whole, and returns what follows it.
    fn begin(&mut self, items: &mut Vec<PumpItem>, conn: &ConnectionState) -> Bytes {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        let end = match request.parse(&self.head) {
            Ok(httparse::Status::Complete(end)) => end,
            Ok(httparse::Status::Partial) if self.head.len() <= HEAD_MAX => return Bytes::new(),
            _ => {
                self.unknown = true;
                return self.head.split().freeze();
            }
        };
        let path = request.path.unwrap_or_default().to_string();
        let length = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
        let length = length.and_then(|h| std::str::from_utf8(h.value).ok()?.trim().parse().ok()).unwrap_or(0);
        let head = self.head.split_to(end).freeze();
        let rest = self.head.split().freeze();
        let (shared, number) = (&conn.shared, conn.number);
        shared.record_event(number, LinkEventKind::Request { path: path.clone(), body: length });
        let mut waiting = shared.request_fault.borrow_mut();
        let request_fault = waiting.iter().position(|(begins, _)| path.starts_with(begins.as_str()));
        let request_fault =
            request_fault.and_then(|at| waiting.remove(at)).map(|(_, request_fault)| request_fault);
        drop(waiting);
        self.body = length;
        match request_fault {
            Some(RequestFault::CutAt(at)) => self.cut = Some((at, 0)),
            Some(RequestFault::CutInBody(at)) => self.cut = Some((end + at, 0)),
            Some(request_fault @ (RequestFault::Duplicate | RequestFault::Capture))
                if length < CAPTURE_MAX as u64 =>
            {
                self.copy = Some((BytesMut::new(), request_fault));
            }
            Some(RequestFault::LoseAnswer) => conn.drop_answer.set(true),
            Some(RequestFault::Block) => {
                items.push(PumpItem::Block(shared.blocked.get()));
                shared.blocked.set(shared.blocked.get() + 1);
                shared.record_event(number, LinkEventKind::RequestBlocked);
            }
            Some(RequestFault::Duplicate | RequestFault::Capture) | None => {}
        }
        self.pass(head, items, conn);
        rest
    }

    /// Passes a part of the request under way, which has been taken off what is to come.
    fn pass(&mut self, mut part: Bytes, items: &mut Vec<PumpItem>, conn: &ConnectionState) {
        if let Some((copy, _)) = &mut self.copy {
            copy.extend_from_slice(&part);
        }
        if let Some((left, passed)) = &mut self.cut {
            part.truncate(*left);
            *left -= part.len();
            *passed += part.len();
            let (left, passed) = (*left, *passed);
            items.push(PumpItem::Bytes(part));
            if left == 0 || self.body == 0 {
                items.push(PumpItem::Close(passed));
                self.ended = true;
            }
            return;
        }
        items.push(PumpItem::Bytes(part));
        if self.body > 0 {
            return;
        }
        let redelivery = match self.copy.take() {
            Some((copy, RequestFault::Capture)) => {
                conn.shared.captured.replace(Some(copy.freeze()));
                None
            }
            copy => copy.map(|(copy, _)| copy.freeze()),
        };
        items.push(PumpItem::End(redelivery));
    }
}
