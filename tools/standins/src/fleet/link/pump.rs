//! Moves the bytes of one direction of a connection, as the mode of the link and the faults of its requests have it.

use super::pump_item::PumpItem;
use super::redelivery::redeliver;
use super::requests::RequestTracker;
use super::state::ConnectionState;
use crate::fault::{Direction, LinkEventKind, LinkMode};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Bytes that are read at once.
const READ: usize = 64 * 1024;
/// Bytes that a delayed or slow link buffers for each direction of a connection before it stops reading.
const BUFFERED_MAX: usize = 4 * 1024 * 1024;
/// Chunks per second into which a slow link divides its rate.
const SLOW_CHUNKS_PER_SECOND: u64 = 20;

struct QueuedItem {
    /// Not handled before this time.
    due: Instant,
    item: PumpItem,
}

/// One direction of a connection: reads into a queue, and writes from it what is due.
pub(super) struct Pump {
    direction: Direction,
    connection: Rc<ConnectionState>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    modes: watch::Receiver<LinkMode>,
    released: watch::Receiver<u64>,
    queue: VecDeque<QueuedItem>,
    /// Bytes in the queue.
    buffered: usize,
    /// When the last item of the queue is due; no item overtakes another.
    last_due: Instant,
    requests: RequestTracker,
    read_buffer: BytesMut,
    /// The sender has closed its side.
    read_ended: bool,
    /// Bytes were dropped.
    has_gap: bool,
}

impl Pump {
    pub fn new(
        direction: Direction,
        connection: Rc<ConnectionState>,
        reader: OwnedReadHalf,
        writer: OwnedWriteHalf,
    ) -> Self {
        let (modes, released) = (connection.shared.mode.subscribe(), connection.shared.released.subscribe());
        Pump {
            direction,
            connection,
            reader,
            writer,
            modes,
            released,
            queue: VecDeque::new(),
            buffered: 0,
            last_due: Instant::now(),
            requests: RequestTracker::default(),
            read_buffer: BytesMut::new(),
            read_ended: false,
            has_gap: false,
        }
    }

    /// Runs until the sender has closed its side and all bytes are written.
    ///
    /// # Errors
    /// The connection broke, or a fault or a gap in the stream ends it.
    pub async fn run(mut self) -> Result<()> {
        loop {
            let mode = *self.modes.borrow_and_update();
            if self.has_gap && !mode.drops(self.direction) && !mode.is_stalled() {
                // The receiver could not tell the bytes after the gap from those that are missing.
                return Err(ErrorKind::ConnectionAborted.into());
            }
            let is_due = self.queue.front().is_some_and(|front| front.due <= Instant::now());
            if is_due && !mode.is_stalled() && self.consume_front(mode).await? {
                continue;
            }
            if self.read_ended && self.queue.is_empty() && !mode.is_stalled() {
                return self.writer.shutdown().await;
            }
            self.wait(mode, is_due).await?;
        }
    }

    /// Handles the front of the queue if it is anything but bytes to be written; returns whether it was removed.
    ///
    /// # Errors
    /// The item ends the connection.
    async fn consume_front(&mut self, mode: LinkMode) -> Result<bool> {
        let drops_answer = self.direction == Direction::Answers && self.connection.drop_answer.get();
        let Some(front) = self.queue.front_mut() else { return Ok(false) };
        match &mut front.item {
            PumpItem::Block(number) => {
                if *self.released.borrow_and_update() <= *number {
                    return Ok(false);
                }
            }
            PumpItem::End(redelivery) => {
                let redelivery = redelivery.take();
                self.request_sent(redelivery);
            }
            PumpItem::Close(at) => {
                self.connection.record_event(LinkEventKind::CutAt(*at));
                // What was written before still arrives.
                self.writer.shutdown().await?;
                return Err(ErrorKind::ConnectionAborted.into());
            }
            PumpItem::Bytes(bytes) if mode.drops(self.direction) => {
                self.buffered -= bytes.len();
                if !std::mem::replace(&mut self.has_gap, true) {
                    self.connection.record_event(LinkEventKind::BytesDropped);
                }
            }
            PumpItem::Bytes(_) if drops_answer => {
                self.connection.record_event(LinkEventKind::BytesDropped);
                return Err(ErrorKind::ConnectionAborted.into());
            }
            PumpItem::Bytes(_) => return Ok(false),
        }
        self.queue.pop_front();
        Ok(true)
    }

    /// Waits until the mode changes, a request is released, bytes can be written or read, or the next item is due.
    async fn wait(&mut self, mode: LinkMode, is_due: bool) -> Result<()> {
        let is_stalled = mode.is_stalled();
        let can_read = !self.read_ended && !is_stalled && self.buffered < BUFFERED_MAX;
        let next_due = self.queue.front().map(|front| front.due);
        let is_blocked = self.queue.front().is_some_and(|front| matches!(front.item, PumpItem::Block(_)));
        self.read_buffer.reserve(READ);
        tokio::select! {
            biased;
            changed = self.modes.changed() => {
                changed.map_err(|_| Error::from(ErrorKind::NotConnected))?;
                if *self.modes.borrow() == LinkMode::Pass {
                    self.make_all_due();
                }
            }
            _ = self.released.changed(), if is_blocked => {}
            written = write(&mut self.writer, self.queue.front()), if is_due && !is_stalled && !is_blocked => {
                self.bytes_written(written?);
            }
            () = sleep_until(next_due.unwrap_or_else(Instant::now)), if next_due.is_some() && !is_due && !is_stalled => {}
            read = self.reader.read_buf(&mut self.read_buffer), if can_read => match read? {
                0 => self.read_ended = true,
                _ => {
                    let bytes = self.read_buffer.split().freeze();
                    self.enqueue(bytes, mode);
                }
            },
        }
        Ok(())
    }

    /// A link that passes again delays nothing any more.
    fn make_all_due(&mut self) {
        let now = Instant::now();
        self.queue.iter_mut().for_each(|queued| queued.due = now.min(queued.due));
        self.last_due = now;
    }

    /// Removes bytes that have been written from the front of the queue.
    fn bytes_written(&mut self, written: usize) {
        let Some(QueuedItem { item: PumpItem::Bytes(bytes), .. }) = self.queue.front_mut() else { return };
        let _ = bytes.split_to(written);
        self.buffered -= written;
        if bytes.is_empty() {
            self.queue.pop_front();
        }
        if self.direction == Direction::Answers && self.connection.awaiting_answer.replace(false) {
            self.connection.record_event(LinkEventKind::AnswerBegan);
        }
    }

    /// The last byte of a request has been written.
    fn request_sent(&self, redelivery: Option<Bytes>) {
        let connection = &self.connection;
        connection.awaiting_answer.set(true);
        connection.record_event(LinkEventKind::Sent);
        if let Some(request) = redelivery {
            spawn_local(redeliver(connection.shared.clone(), connection.number, request));
        }
    }

    /// Puts received bytes into the queue.
    fn enqueue(&mut self, bytes: Bytes, mode: LinkMode) {
        let items = match self.direction {
            Direction::Requests => self.requests.feed(bytes, &self.connection),
            Direction::Answers => vec![PumpItem::Bytes(bytes)],
        };
        for item in items {
            match item {
                PumpItem::Bytes(bytes) => self.enqueue_bytes(bytes, mode),
                item => {
                    let due = self.next_due(0, mode);
                    self.queue.push_back(QueuedItem { due, item });
                }
            }
        }
    }

    /// Puts bytes into the queue, in chunks if the link is slow.
    fn enqueue_bytes(&mut self, bytes: Bytes, mode: LinkMode) {
        self.buffered += bytes.len();
        let chunk_size = match mode {
            LinkMode::Slow(rate) => (rate / SLOW_CHUNKS_PER_SECOND).max(1) as usize,
            _ => bytes.len().max(1),
        };
        for chunk in bytes.chunks(chunk_size) {
            let due = self.next_due(chunk.len() as u64, mode);
            let item = PumpItem::Bytes(bytes.slice_ref(chunk));
            self.queue.push_back(QueuedItem { due, item });
        }
    }

    /// When an item of this many bytes is due behind all others.
    fn next_due(&mut self, bytes: u64, mode: LinkMode) -> Instant {
        let now = Instant::now();
        self.last_due = match mode {
            LinkMode::Delay(delay) => self.last_due.max(now + delay),
            LinkMode::Slow(rate) => {
                let transfer = Duration::from_micros(bytes * 1_000_000 / rate.max(1));
                self.last_due.max(now) + transfer
            }
            _ => self.last_due.max(now),
        };
        self.last_due
    }
}

/// Writes from the front of the queue if it has bytes, and never returns otherwise.
async fn write(writer: &mut OwnedWriteHalf, front: Option<&QueuedItem>) -> Result<usize> {
    match front {
        Some(QueuedItem { item: PumpItem::Bytes(bytes), .. }) => writer.write(bytes).await,
        _ => std::future::pending().await,
    }
}
