//! A link to one address: a queue of frames, and a connection that is opened when there is a frame to send.

use super::read_frame::read_frame;
use super::traffic::PeerTraffic;
use crate::{clock, socket};
use quillmount_wire::Micros;
use quillmount_wire::frame::HEADER_BYTES;
use quillmount_wire::messages::Response;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc, oneshot};

/// Largest number of frames queued for one connection.
const MAX_QUEUED_FRAMES: usize = 1024;
/// Largest total size of the frames in a queue at which a notification is still added, bytes. Calls are limited by their callers,
/// which wait for responses; nobody waits for a notification.
const MAX_BYTES_BEFORE_NOTIFICATION: usize = 16 << 20;
/// Size of a connection's read buffer, bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// A call that waits for its response.
pub(super) struct PendingCall {
    /// Number of the call, unique among the calls of this process.
    pub(super) number: u64,
    /// Receives the response; dropped if the connection ends first.
    pub(super) response: oneshot::Sender<Response>,
}

struct OutgoingFrame {
    bytes: Vec<u8>,
    /// Call that the frame contains; `None` for a notification.
    call: Option<PendingCall>,
    queued: QueuedBytes,
}

/// Counts a frame among the queued bytes of a link, until this is dropped.
struct QueuedBytes {
    state: Rc<LinkState>,
    bytes: usize,
}

impl QueuedBytes {
    fn new(state: &Rc<LinkState>, bytes: usize) -> QueuedBytes {
        state.queued_bytes.set(state.queued_bytes.get() + bytes);
        QueuedBytes { state: state.clone(), bytes }
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        self.state.queued_bytes.set(self.state.queued_bytes.get().saturating_sub(self.bytes));
    }
}

/// State that the calls and the connection of a link share.
#[derive(Default)]
struct LinkState {
    traffic: Rc<PeerTraffic>,
    /// Total size of the frames that are queued or being written.
    queued_bytes: Cell<usize>,
    /// Time at which the last frame was received, or the connection was opened.
    last_received_at: Cell<Micros>,
    /// Notified to close the connection.
    close: Notify,
    /// Calls in flight on the current connection, by number.
    pending_calls: RefCell<HashMap<u64, oneshot::Sender<Response>>>,
}

impl LinkState {
    fn register(&self, call: Option<PendingCall>) {
        if let Some(PendingCall { number, response }) = call {
            self.pending_calls.borrow_mut().insert(number, response);
        }
    }
}

/// A queue of frames for one address, and the connection that sends them.
#[derive(Clone)]
pub(super) struct PeerLink {
    queue: mpsc::Sender<OutgoingFrame>,
    state: Rc<LinkState>,
}

/// The queue of a link is full; the frame was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many frames are queued for a peer")]
pub(super) struct QueueFull;

impl PeerLink {
    /// Creates a link to an address. It connects when the first frame is queued.
    pub(super) fn open(address: &str, traffic: &Rc<PeerTraffic>) -> PeerLink {
        let (queue, outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
        let state = LinkState { traffic: traffic.clone(), ..LinkState::default() };
        let link = PeerLink { queue, state: Rc::new(state) };
        // The task is detached. It ends when the last clone of the link is dropped, which is at the end of the process.
        tokio::task::spawn_local(run_link(address.to_owned(), outgoing, link.state.clone()));
        link
    }

    /// Queues a frame with the call that it contains, `None` for a notification.
    pub(super) fn send(&self, bytes: Vec<u8>, call: Option<PendingCall>) -> Result<(), QueueFull> {
        if call.is_none() && self.state.queued_bytes.get() > MAX_BYTES_BEFORE_NOTIFICATION {
            return Err(QueueFull);
        }
        let queued = QueuedBytes::new(&self.state, bytes.len());
        self.queue.try_send(OutgoingFrame { bytes, call, queued }).map_err(|_| QueueFull)
    }

    /// Removes a call that timed out. If no frame at all was received since the call was sent, the connection is presumed dead and is
    /// closed.
    pub(super) fn abandon(&self, number: u64, sent_at: Micros) {
        self.state.pending_calls.borrow_mut().remove(&number);
        if self.state.last_received_at.get() < sent_at {
            self.state.close.notify_waiters();
        }
    }
}

/// Opens a connection when there is a frame and no connection, and serves the connection until it breaks.
async fn run_link(address: String, mut outgoing: mpsc::Receiver<OutgoingFrame>, state: Rc<LinkState>) {
    while let Some(first) = outgoing.recv().await {
        match socket::connect(&address).await {
            Some(stream) => run_connection(&address, stream, first, &mut outgoing, &state).await,
            // Dropping the queued frames fails their calls immediately.
            None => while outgoing.try_recv().is_ok() {},
        }
        state.pending_calls.borrow_mut().clear();
    }
}

/// Writes frames and reads responses until the connection breaks or has to be closed.
async fn run_connection(
    address: &str,
    stream: TcpStream,
    first: OutgoingFrame,
    outgoing: &mut mpsc::Receiver<OutgoingFrame>,
    state: &Rc<LinkState>,
) {
    state.last_received_at.set(clock::now());
    let (reader, mut writer) = stream.into_split();
    let mut read_task = tokio::task::spawn_local(read_responses(address.to_owned(), reader, state.clone()));
    let mut next = first;
    while write_queued(&mut writer, next, outgoing, state).await {
        next = tokio::select! {
            frame = outgoing.recv() => match frame {
                Some(frame) => frame,
                None => break,
            },
            _ = &mut read_task => break,
            () = state.close.notified() => break,
        };
    }
    read_task.abort();
}

/// Writes a frame and all frames queued after it with one write. Returns whether the write succeeded.
async fn write_queued(
    writer: &mut OwnedWriteHalf,
    first: OutgoingFrame,
    outgoing: &mut mpsc::Receiver<OutgoingFrame>,
    state: &LinkState,
) -> bool {
    let mut bytes = first.bytes;
    // They count until the bytes are written.
    let mut queued = vec![first.queued];
    state.register(first.call);
    while let Ok(frame) = outgoing.try_recv() {
        bytes.extend_from_slice(&frame.bytes);
        queued.push(frame.queued);
        state.register(frame.call);
    }
    state.traffic.count_sent(bytes.len());
    tokio::select! {
        written = writer.write_all(&bytes) => written.is_ok(),
        () = state.close.notified() => false,
    }
}

/// Passes responses to their calls until the connection ends or a response can't be decoded.
async fn read_responses(address: String, reader: OwnedReadHalf, state: Rc<LinkState>) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    while let Ok((header, body)) = read_frame(&mut reader).await {
        state.last_received_at.set(clock::now());
        state.traffic.count_received(HEADER_BYTES + body.len());
        let response = match Response::decode(&body) {
            Ok(response) => response,
            Err(error) => {
                tracing::warn!(peer = address, %error, "closing the connection to a peer: unreadable response");
                return;
            }
        };
        if let Some(call) = state.pending_calls.borrow_mut().remove(&header.call) {
            // Fails if the caller does not wait any more.
            let _ = call.send(response);
        }
    }
}
