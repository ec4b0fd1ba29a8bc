//! The way to one address: a queue of frames, and a connection that is opened when a frame needs one.

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
const QUEUE_LIMIT: usize = 1024;
/// Size of a connection's read buffer, bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// A call that waits for its response.
pub(super) struct PendingCall {
    /// Unique among the calls of this process.
    pub(super) number: u64,
    /// Where the response is passed; dropped if the connection ends first.
    pub(super) response: oneshot::Sender<Response>,
}

struct OutgoingFrame {
    bytes: Vec<u8>,
    /// The call that the frame carries; `None` for a notification.
    call: Option<PendingCall>,
}

/// State of a link that its calls and its connection share.
#[derive(Default)]
struct LinkState {
    traffic: Rc<PeerTraffic>,
    /// When a frame was last received or the connection opened.
    last_received: Cell<Micros>,
    /// Closes the connection.
    close: Notify,
    /// Calls on the current connection, by number.
    pending: RefCell<HashMap<u64, oneshot::Sender<Response>>>,
}

impl LinkState {
    fn register(&self, call: Option<PendingCall>) {
        if let Some(PendingCall { number, response }) = call {
            self.pending.borrow_mut().insert(number, response);
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
    /// A link to an address. It connects when there is a first frame.
    pub(super) fn open(address: &str, traffic: &Rc<PeerTraffic>) -> PeerLink {
        let (queue, outgoing) = mpsc::channel(QUEUE_LIMIT);
        let state = LinkState { traffic: traffic.clone(), ..LinkState::default() };
        let link = PeerLink { queue, state: Rc::new(state) };
        // Detached: it ends when the last clone of the link is dropped, with the process.
        tokio::task::spawn_local(run_link(address.to_owned(), outgoing, link.state.clone()));
        link
    }

    /// Queues a frame with the call that it carries, `None` for a notification.
    pub(super) fn send(&self, bytes: Vec<u8>, call: Option<PendingCall>) -> Result<(), QueueFull> {
        self.queue.try_send(OutgoingFrame { bytes, call }).map_err(|_| QueueFull)
    }

    /// Forgets a call without a response. If nothing at all was received since it was sent, the connection is presumed dead and
    /// closed.
    pub(super) fn abandon(&self, number: u64, sent_at: Micros) {
        self.state.pending.borrow_mut().remove(&number);
        if self.state.last_received.get() < sent_at {
            self.state.close.notify_waiters();
        }
    }
}

/// Opens a connection for each frame that finds none, and serves it until it breaks.
async fn run_link(address: String, mut outgoing: mpsc::Receiver<OutgoingFrame>, state: Rc<LinkState>) {
    while let Some(first) = outgoing.recv().await {
        match socket::connect(&address).await {
            Some(stream) => run_connection(&address, stream, first, &mut outgoing, &state).await,
            // Dropping the queued frames fails their calls at once.
            None => while outgoing.try_recv().is_ok() {},
        }
        state.pending.borrow_mut().clear();
    }
}

/// Writes frames and reads responses until the connection breaks or is to be closed.
async fn run_connection(
    address: &str,
    stream: TcpStream,
    first: OutgoingFrame,
    outgoing: &mut mpsc::Receiver<OutgoingFrame>,
    state: &Rc<LinkState>,
) {
    state.last_received.set(clock::now());
    let (reader, mut writer) = stream.into_split();
    let mut reading = tokio::task::spawn_local(read_responses(address.to_owned(), reader, state.clone()));
    let mut next = first;
    while write_queued(&mut writer, next, outgoing, state).await {
        next = tokio::select! {
            frame = outgoing.recv() => match frame {
                Some(frame) => frame,
                None => break,
            },
            _ = &mut reading => break,
            () = state.close.notified() => break,
        };
    }
    reading.abort();
}

/// Writes a frame and all that are queued after it with one write. Returns whether that succeeded.
async fn write_queued(
    writer: &mut OwnedWriteHalf,
    first: OutgoingFrame,
    outgoing: &mut mpsc::Receiver<OutgoingFrame>,
    state: &LinkState,
) -> bool {
    let mut bytes = first.bytes;
    state.register(first.call);
    while let Ok(frame) = outgoing.try_recv() {
        bytes.extend_from_slice(&frame.bytes);
        state.register(frame.call);
    }
    state.traffic.count_sent(bytes.len());
    tokio::select! {
        written = writer.write_all(&bytes) => written.is_ok(),
        () = state.close.notified() => false,
    }
}

/// Passes responses to their calls until the connection ends or a response is unreadable.
async fn read_responses(address: String, reader: OwnedReadHalf, state: Rc<LinkState>) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    while let Ok((header, body)) = read_frame(&mut reader).await {
        state.last_received.set(clock::now());
        state.traffic.count_received(HEADER_BYTES + body.len());
        let response = match Response::decode(&body) {
            Ok(response) => response,
            Err(error) => {
                tracing::warn!(peer = address, %error, "closing the connection to a peer: unreadable response");
                return;
            }
        };
        if let Some(call) = state.pending.borrow_mut().remove(&header.call) {
            // Fails if the caller no longer waits.
            let _ = call.send(response);
        }
    }
}
