//! The way from one courier to another: a relay on loopback whose script changes at a call, at any moment.
//! It carries bytes; of HTTP/1.1 it knows where a request begins and ends (a head, `Content-Length`), so
//! that a fault can strike one request at a byte of it.

use super::fault::{Strike, Struck};
use crate::gate::{Entry, Gate};
use crate::http::{Left, Reader};
use crate::record::{Stamp, Witness};
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
const HELD_MAX: usize = 4 * 1024 * 1024;
/// Bytes of a request that is kept to be delivered again; a longer one is not.
const KEPT_MAX: usize = 16 * 1024 * 1024;
/// A longer head is none of a courier's.
const HEAD_MAX: usize = 64 * 1024;
const HEADERS_MAX: usize = 64;
/// A slow link's pieces: so many a second.
const PIECES: u64 = 20;

/// What a link does until it is told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    #[default]
    Pass,
    /// Nothing gets through either way, not even the end of a connection. Connections there are go silent,
    /// and their bytes come when it passes again, as TCP has it; new ones do not come up.
    Cut,
    /// The same, and new ones are refused.
    CutRefusing,
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

impl Way {
    fn stands(self) -> bool {
        matches!(self, Way::Cut | Way::CutRefusing)
    }

    fn loses(self, side: Side) -> bool {
        matches!((self, side), (Way::AnswersLost, Side::Answers) | (Way::RequestsLost, Side::Requests))
    }

    /// One of all, by the seed of the generator.
    pub fn pick(seed: &mut fastrand::Rng) -> Way {
        match seed.u8(0..7) {
            0 => Way::Pass,
            1 => Way::Cut,
            2 => Way::CutRefusing,
            3 => Way::AnswersLost,
            4 => Way::RequestsLost,
            5 => Way::Delay(Duration::from_millis(seed.u64(1..200))),
            _ => Way::Slow(seed.u64(2_000..200_000)),
        }
    }
}

/// What becomes of a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Once {
    /// So many bytes of it get there, its head's included; then the connection is closed on both sides.
    CutAt(usize),
    /// The same, reckoned from its body's first byte.
    CutInBody(usize),
    /// It gets there, and again on a connection of its own; the second answer is let go.
    Twice,
    /// It gets there, and is kept for [`Link::replay`].
    Keep,
    /// It gets there; when its answer begins to come, the connection is closed instead.
    LoseAnswer,
    /// It waits at its first byte for [`Link::release`].
    Hold,
}

impl Once {
    /// One of those that need no further call, by the seed of the generator.
    pub fn pick(seed: &mut fastrand::Rng) -> Once {
        match seed.u8(0..4) {
            0 => Once::CutAt(seed.usize(1..400)),
            1 => Once::CutInBody(seed.usize(0..400)),
            2 => Once::Twice,
            _ => Once::LoseAnswer,
        }
    }
}

/// Something that happened on a link.
#[derive(Clone, Debug)]
pub struct Passed {
    pub when: Stamp,
    pub from: usize,
    pub to: usize,
    /// The connection's number on this link, from 0.
    pub connection: u64,
    pub what: Saw,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Saw {
    /// A connection came.
    Came,
    /// A request's head was read, with this path, and so many bytes of body to come.
    Request { path: String, body: u64 },
    /// A request is held at its first byte.
    Held,
    /// All of a request has been written to the one that it is for.
    Sent,
    /// Bytes of an answer have been written back, the first since the request.
    AnswerBegan,
    /// Bytes were let go, the first on this connection since its way began.
    Lost,
    /// The request was cut off behind so many of its bytes.
    CutAt(usize),
    /// A request was delivered again, and answered with this status; 0: it was not answered.
    Again(u16),
    /// The connection is gone.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Requests,
    Answers,
}

/// What a link's connections share.
struct Shared {
    from: usize,
    to: usize,
    target: SocketAddr,
    witness: Witness,
    way: watch::Sender<Way>,
    /// What becomes of the next requests whose path begins so.
    once: RefCell<VecDeque<(String, Once)>>,
    kept: RefCell<Option<Bytes>>,
    /// Requests that were let go on, and requests that were held.
    released: watch::Sender<u64>,
    held: Cell<u64>,
    /// Connections are closed when it changes.
    close: watch::Sender<u64>,
    connections: Cell<u64>,
}

impl Shared {
    fn saw(&self, connection: u64, what: Saw) {
        let (from, to) = (self.from, self.to);
        self.witness.write(|record, when| record.passed.push(Passed { when, from, to, connection, what }));
    }
}

/// The way from one courier to another.
pub struct Link {
    shared: Rc<Shared>,
    addr: SocketAddr,
    entry: watch::Sender<Entry>,
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
    pub fn open(from: usize, to: usize, target: SocketAddr, witness: Witness) -> Result<Link> {
        let gate = Gate::open()?;
        let addr = gate.addr();
        let shared = Rc::new(Shared {
            from,
            to,
            target,
            witness,
            way: watch::Sender::default(),
            once: RefCell::default(),
            kept: RefCell::default(),
            released: watch::Sender::default(),
            held: Cell::default(),
            close: watch::Sender::default(),
            connections: Cell::default(),
        });
        let (entry, told) = watch::channel(Entry::Open);
        let task = spawn_local(listen(gate, told, shared.clone())).abort_handle();
        Ok(Link { shared, addr, entry, task })
    }

    /// Where the one side reaches the other.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn way(&self) -> Way {
        *self.shared.way.borrow()
    }

    /// From now on.
    pub fn set(&self, way: Way) {
        self.note(|from, to| Strike::Link { from, to, way });
        self.shared.way.send_replace(way);
        self.entry.send_replace(match way {
            Way::Cut => Entry::Silent,
            Way::CutRefusing => Entry::Refused,
            _ => Entry::Open,
        });
    }

    fn note(&self, strike: impl FnOnce(usize, usize) -> Strike) {
        Struck::note(&self.shared.witness, strike(self.shared.from, self.shared.to));
    }

    /// For the next request that begins, on whichever connection; several wait in their order.
    pub fn once(&self, what: Once) {
        self.once_at("", what);
    }

    /// For the next request whose path begins so.
    pub fn once_at(&self, path: &str, what: Once) {
        self.note(|from, to| Strike::Once { from, to, once: what });
        self.shared.once.borrow_mut().push_back((path.into(), what));
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
        let kept = self.shared.kept.borrow().clone();
        let request = kept.ok_or_else(|| Error::other("no request was kept"))?;
        again(self.shared.clone(), u64::MAX, request).await
    }

    /// Closes all its connections now, on both sides, with what they hold; its way stays.
    pub fn close(&self) {
        self.note(|from, to| Strike::Close { from, to });
        self.shared.close.send_modify(|n| *n += 1);
    }
}

async fn listen(mut gate: Gate, mut entry: watch::Receiver<Entry>, shared: Rc<Shared>) -> Result<()> {
    loop {
        tokio::select! {
            biased;
            changed = entry.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let entry = *entry.borrow_and_update();
                gate.set(entry)?;
            }
            stream = gate.accept() => {
                let Ok(stream) = stream else { continue };
                let number = shared.connections.get();
                shared.connections.set(number + 1);
                shared.saw(number, Saw::Came);
                let (shared, mut close) = (shared.clone(), shared.close.subscribe());
                spawn_local(async move {
                    tokio::select! {
                        biased;
                        _ = close.changed() => {}
                        // What broke is told of as gone.
                        _ = carry(stream, number, &shared) => {}
                    }
                    shared.saw(number, Saw::Gone);
                });
            }
        }
    }
}

async fn carry(client: TcpStream, number: u64, shared: &Rc<Shared>) -> Result<()> {
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
    let state =
        Rc::new(Conn { number, shared: shared.clone(), lose: Cell::new(false), awaits: Cell::new(false) });
    let requests = Pump::new(Side::Requests, state.clone()).run(from_client, to_server);
    let answers = Pump::new(Side::Answers, state).run(from_server, to_client);
    tokio::try_join!(requests, answers).map(drop)
}

/// What the two directions of a connection share.
struct Conn {
    number: u64,
    shared: Rc<Shared>,
    /// The connection is closed where an answer begins to come.
    lose: Cell<bool>,
    /// A request has been sent, and nothing of its answer has come.
    awaits: Cell<bool>,
}

enum Item {
    Bytes(Bytes),
    /// Waits for the release with this number.
    Hold(u64),
    /// A request's last byte is behind it; the request, if it is to be delivered again.
    End(Option<Bytes>),
    /// Close the connection: the request was cut off behind so many bytes.
    Close(usize),
}

/// One direction of a connection.
struct Pump {
    side: Side,
    conn: Rc<Conn>,
    queue: VecDeque<(Instant, Item)>,
    held: usize,
    /// When what is slow has passed.
    free: Instant,
    requests: Requests,
}

impl Pump {
    fn new(side: Side, conn: Rc<Conn>) -> Self {
        let requests = Requests::default();
        Pump { side, conn, queue: VecDeque::new(), held: 0, free: Instant::now(), requests }
    }

    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> Result<()> {
        let shared = self.conn.shared.clone();
        let (mut ways, mut released) = (shared.way.subscribe(), shared.released.subscribe());
        let (mut over, mut lost) = (false, false);
        let mut buf = BytesMut::new();
        loop {
            let way = *ways.borrow_and_update();
            let (stands, loses) = (way.stands(), way.loses(self.side));
            if lost && !loses && !stands {
                // The stream has a hole: nothing that follows could be told from something else.
                return Err(ErrorKind::ConnectionAborted.into());
            }
            let next = self.queue.front().map(|(due, _)| *due);
            let due = next.is_some_and(|due| due <= Instant::now());
            if due && !stands {
                match self.queue.front_mut().map(|(_, item)| item) {
                    Some(Item::Hold(number)) if *released.borrow_and_update() > *number => {
                        self.queue.pop_front();
                        continue;
                    }
                    Some(Item::End(again)) => {
                        let again = again.take();
                        self.queue.pop_front();
                        self.sent(again);
                        continue;
                    }
                    Some(Item::Close(at)) => {
                        shared.saw(self.conn.number, Saw::CutAt(*at));
                        // What was written still gets there.
                        to.shutdown().await?;
                        return Err(ErrorKind::ConnectionAborted.into());
                    }
                    Some(Item::Bytes(bytes)) if loses => {
                        self.held -= bytes.len();
                        self.queue.pop_front();
                        if !std::mem::replace(&mut lost, true) {
                            shared.saw(self.conn.number, Saw::Lost);
                        }
                        continue;
                    }
                    Some(Item::Bytes(_)) if self.side == Side::Answers && self.conn.lose.get() => {
                        shared.saw(self.conn.number, Saw::Lost);
                        return Err(ErrorKind::ConnectionAborted.into());
                    }
                    _ => {}
                }
            }
            if over && self.queue.is_empty() && !stands {
                return to.shutdown().await;
            }
            let room = !over && !stands && self.held < HELD_MAX;
            let waits = matches!(self.queue.front(), Some((_, Item::Hold(_))));
            buf.reserve(READ);
            tokio::select! {
                biased;
                changed = ways.changed() => {
                    changed.map_err(|_| Error::from(ErrorKind::NotConnected))?;
                    if *ways.borrow() == Way::Pass {
                        let now = Instant::now();
                        self.queue.iter_mut().for_each(|(due, _)| *due = now.min(*due));
                        self.free = now;
                    }
                }
                _ = released.changed(), if waits => {}
                written = write(&mut to, self.queue.front()), if due && !stands && !waits => self.took(written?),
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() && !due && !stands => {}
                read = from.read_buf(&mut buf), if room => match read? {
                    0 => over = true,
                    _ => {
                        let bytes = buf.split().freeze();
                        self.take(bytes, way);
                    }
                },
            }
        }
    }

    /// So many bytes of the front have been written.
    fn took(&mut self, written: usize) {
        let Some((_, Item::Bytes(bytes))) = self.queue.front_mut() else { return };
        let _ = bytes.split_to(written);
        self.held -= written;
        if bytes.is_empty() {
            self.queue.pop_front();
        }
        if self.side == Side::Answers && self.conn.awaits.replace(false) {
            self.conn.shared.saw(self.conn.number, Saw::AnswerBegan);
        }
    }

    fn sent(&self, request: Option<Bytes>) {
        let conn = &self.conn;
        conn.awaits.set(true);
        conn.shared.saw(conn.number, Saw::Sent);
        if let Some(request) = request {
            spawn_local(again(conn.shared.clone(), conn.number, request));
        }
    }

    /// Bytes that have come.
    fn take(&mut self, bytes: Bytes, way: Way) {
        let items = match self.side {
            Side::Requests => self.requests.feed(bytes, &self.conn),
            Side::Answers => vec![Item::Bytes(bytes)],
        };
        for item in items {
            let Item::Bytes(bytes) = item else {
                let due = self.due(0, way);
                self.queue.push_back((due, item));
                continue;
            };
            self.held += bytes.len();
            let most = match way {
                Way::Slow(rate) => (rate / PIECES).max(1) as usize,
                _ => bytes.len().max(1),
            };
            for piece in bytes.chunks(most) {
                let due = self.due(piece.len() as u64, way);
                self.queue.push_back((due, Item::Bytes(bytes.slice_ref(piece))));
            }
        }
    }

    /// When a piece of so many bytes has passed; none overtakes another.
    fn due(&mut self, bytes: u64, way: Way) -> Instant {
        let now = Instant::now();
        match way {
            Way::Delay(by) => self.free = self.free.max(now + by),
            Way::Slow(rate) => {
                self.free = self.free.max(now) + Duration::from_micros(bytes * 1_000_000 / rate.max(1));
            }
            _ => self.free = self.free.max(now),
        }
        self.free
    }
}

async fn write(to: &mut OwnedWriteHalf, front: Option<&(Instant, Item)>) -> Result<usize> {
    match front {
        Some((_, Item::Bytes(bytes))) => to.write(bytes).await,
        _ => std::future::pending().await,
    }
}

/// Delivers a request on a connection of its own, and lets its answer go.
async fn again(shared: Rc<Shared>, connection: u64, request: Bytes) -> Result<u16> {
    let status = async {
        let mut stream = TcpStream::connect(shared.target).await?;
        stream.write_all(&request).await?;
        let mut reader = Reader::new(stream);
        let head = reader.head().await?.ok_or(ErrorKind::UnexpectedEof)?;
        let mut left = Left::from(head.framing());
        while reader.body(&mut left, READ).await?.is_some() {}
        Ok(head.status())
    };
    let status: Result<u16> = status.await;
    shared.saw(connection, Saw::Again(status.as_ref().map_or(0, |status| *status)));
    status
}

/// Finds where requests begin and end.
#[derive(Default)]
struct Requests {
    head: BytesMut,
    /// Of the request under way.
    body: u64,
    /// Bytes that may still pass, and have passed, where it is to be cut off.
    cut: Option<(usize, usize)>,
    copy: Option<(BytesMut, Once)>,
    /// What came is no request: it passes as it is.
    unknown: bool,
    over: bool,
}

impl Requests {
    fn feed(&mut self, mut bytes: Bytes, conn: &Conn) -> Vec<Item> {
        let mut items = Vec::new();
        while !bytes.is_empty() && !self.over {
            if self.unknown {
                items.push(Item::Bytes(std::mem::take(&mut bytes)));
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
    fn begin(&mut self, items: &mut Vec<Item>, conn: &Conn) -> Bytes {
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
        shared.saw(number, Saw::Request { path: path.clone(), body: length });
        let mut waiting = shared.once.borrow_mut();
        let once = waiting.iter().position(|(begins, _)| path.starts_with(begins.as_str()));
        let once = once.and_then(|at| waiting.remove(at)).map(|(_, once)| once);
        drop(waiting);
        self.body = length;
        match once {
            Some(Once::CutAt(at)) => self.cut = Some((at, 0)),
            Some(Once::CutInBody(at)) => self.cut = Some((end + at, 0)),
            Some(once @ (Once::Twice | Once::Keep)) if length < KEPT_MAX as u64 => {
                self.copy = Some((BytesMut::new(), once));
            }
            Some(Once::LoseAnswer) => conn.lose.set(true),
            Some(Once::Hold) => {
                items.push(Item::Hold(shared.held.get()));
                shared.held.set(shared.held.get() + 1);
                shared.saw(number, Saw::Held);
            }
            Some(Once::Twice | Once::Keep) | None => {}
        }
        self.pass(head, items, conn);
        rest
    }

    /// Passes a part of the request under way, which has been taken off what is to come.
    fn pass(&mut self, mut part: Bytes, items: &mut Vec<Item>, conn: &Conn) {
        if let Some((copy, _)) = &mut self.copy {
            copy.extend_from_slice(&part);
        }
        if let Some((left, passed)) = &mut self.cut {
            part.truncate(*left);
            *left -= part.len();
            *passed += part.len();
            let (left, passed) = (*left, *passed);
            items.push(Item::Bytes(part));
            if left == 0 || self.body == 0 {
                items.push(Item::Close(passed));
                self.over = true;
            }
            return;
        }
        items.push(Item::Bytes(part));
        if self.body > 0 {
            return;
        }
        let again = match self.copy.take() {
            Some((copy, Once::Keep)) => {
                conn.shared.kept.replace(Some(copy.freeze()));
                None
            }
            copy => copy.map(|(copy, _)| copy.freeze()),
        };
        items.push(Item::End(again));
    }
}
