//! Sends calls to other processes, on connections that are opened when they are needed.

use super::read_frame::read_frame;
use crate::{clock, socket};
use quillmount_wire::frame::{FrameKind, encode};
use quillmount_wire::messages::{Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc, oneshot};

/// Largest number of frames queued for one connection.
const QUEUE_LIMIT: usize = 1024;
/// Size of a connection's read buffer, bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It was not sent, so it has no effect.
    NotSent,
    /// The peer may have received it.
    Lost,
}

/// A call that waits for its response.
struct PendingCall {
    number: u64,
    response: oneshot::Sender<Response>,
}

struct OutgoingFrame {
    bytes: Vec<u8>,
    /// The call that the frame carries; `None` for a notification.
    call: Option<PendingCall>,
}

/// State of a link that its calls and its connection share.
#[derive(Default)]
struct LinkState {
    /// When a frame was last received or the connection opened, microseconds of the steady clock.
    last_received: Cell<u64>,
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

/// The way to one address, with a connection while one is needed.
#[derive(Clone)]
struct PeerLink {
    queue: mpsc::Sender<OutgoingFrame>,
    state: Rc<LinkState>,
}

/// The links of this process to others, by address.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<String, PeerLink>>,
    /// Number of the last call.
    last_call: Cell<u64>,
}

impl PeerLinks {
    /// Sends a message without a response. It is lost if the peer can't be reached.
    pub fn notify(&self, address: &str, request: &Request) {
        let bytes = encode(FrameKind::Notification, 0, &request.encode());
        let _ = self.link(address).queue.try_send(OutgoingFrame { bytes, call: None });
    }

    /// Sends a request and waits for the response, at most for `time_limit`.
    pub async fn call(
        &self,
        address: &str,
        request: &Request,
        time_limit: Duration,
    ) -> Result<Response, CallError> {
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        let link = self.link(address);
        let (response, receiver) = oneshot::channel();
        let bytes = encode(FrameKind::Request, number, &request.encode());
        let sent_at = clock::micros();
        let frame = OutgoingFrame { bytes, call: Some(PendingCall { number, response }) };
        link.queue.try_send(frame).map_err(|_| CallError::NotSent)?;
        match tokio::time::timeout(time_limit, receiver).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(CallError::Lost),
            Err(_) => {
                link.state.pending.borrow_mut().remove(&number);
                // Nothing at all was received since then: the connection is presumed dead.
                if link.state.last_received.get() < sent_at {
                    link.state.close.notify_waiters();
                }
                Err(CallError::Lost)
            }
        }
    }

    fn link(&self, address: &str) -> PeerLink {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(address) {
            return link.clone();
        }
        let (queue, outgoing) = mpsc::channel(QUEUE_LIMIT);
        let link = PeerLink { queue, state: Rc::default() };
        // Detached: it ends when these links are dropped, with the process.
        tokio::task::spawn_local(run_link(address.to_owned(), outgoing, link.state.clone()));
        links.insert(address.to_owned(), link.clone());
        link
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
    state.last_received.set(clock::micros());
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

/// Writes a frame and all that are queued behind it with one write. Returns whether that succeeded.
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
    tokio::select! {
        written = writer.write_all(&bytes) => written.is_ok(),
        () = state.close.notified() => false,
    }
}

/// Passes responses to their calls until the connection ends or a response is unreadable.
async fn read_responses(address: String, reader: OwnedReadHalf, state: Rc<LinkState>) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    while let Ok((header, body)) = read_frame(&mut reader).await {
        state.last_received.set(clock::micros());
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
