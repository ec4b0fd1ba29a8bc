//! Connections to other processes, opened when they are needed.

use super::{read_frame, set_socket_options};
use crate::clock;
use quillmount_wire::frame::{FrameKind, encode};
use quillmount_wire::messages::{Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Notify, mpsc, oneshot};

/// Frames that wait for one connection at most.
const QUEUE_LIMIT: usize = 1024;
/// A connection that does not come up in this time is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes sent and not acknowledged for so long end a connection.
const SILENCE: Duration = Duration::from_millis(1500);

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It was not sent: nothing happened.
    NotSent,
    /// It may have been received.
    Lost,
}

struct OutgoingFrame {
    frame: Vec<u8>,
    call: Option<(u64, oneshot::Sender<Response>)>,
}

/// State of one link that its calls look at.
#[derive(Default)]
struct LinkState {
    /// When bytes were last read, steady clock.
    heard: Cell<u64>,
    /// Ends the connection.
    close: Notify,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Response>>>,
}

#[derive(Clone)]
struct PeerLink {
    queue: mpsc::Sender<OutgoingFrame>,
    state: Rc<LinkState>,
}

/// All connections of this process to others, by address.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<String, PeerLink>>,
    calls: Cell<u64>,
}

impl PeerLinks {
    fn link(&self, address: &str) -> PeerLink {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(address) {
            return link.clone();
        }
        let (queue, outgoing) = mpsc::channel(QUEUE_LIMIT);
        let link = PeerLink { queue, state: Rc::default() };
        tokio::task::spawn_local(run_link(address.to_owned(), outgoing, link.state.clone()));
        links.insert(address.to_owned(), link.clone());
        link
    }

    /// Sends a message that nobody answers; it is lost if the other side can't be reached.
    pub fn notify(&self, address: &str, request: &Request) {
        let frame = encode(FrameKind::Notification, 0, &request.encode());
        let _ = self.link(address).queue.try_send(OutgoingFrame { frame, call: None });
    }

    /// Calls and waits for the answer.
    pub async fn call(
        &self,
        address: &str,
        request: &Request,
        time: Duration,
    ) -> Result<Response, CallError> {
        let number = self.calls.get() + 1;
        self.calls.set(number);
        let link = self.link(address);
        let (answer, receiver) = oneshot::channel();
        let frame = encode(FrameKind::Request, number, &request.encode());
        let sent = clock::micros();
        link.queue
            .try_send(OutgoingFrame { frame, call: Some((number, answer)) })
            .map_err(|_| CallError::NotSent)?;
        match tokio::time::timeout(time, receiver).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(CallError::Lost),
            Err(_) => {
                link.state.waiting.borrow_mut().remove(&number);
                // Nothing came back at all since: the connection is taken for dead.
                if link.state.heard.get() < sent {
                    link.state.close.notify_waiters();
                }
                Err(CallError::Lost)
            }
        }
    }
}

async fn run_link(address: String, mut outgoing: mpsc::Receiver<OutgoingFrame>, state: Rc<LinkState>) {
    while let Some(first) = outgoing.recv().await {
        match connect(&address).await {
            Some(stream) => run_connection(stream, first, &mut outgoing, &state).await,
            // What waits is dropped: its callers are told at once.
            None => while outgoing.try_recv().is_ok() {},
        }
        state.waiting.borrow_mut().clear();
    }
}

/// Opens a connection with the process's usual options.
pub async fn connect(address: &str) -> Option<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    set_socket_options(&stream, SILENCE);
    Some(stream)
}

async fn run_connection(
    stream: TcpStream,
    first: OutgoingFrame,
    outgoing: &mut mpsc::Receiver<OutgoingFrame>,
    state: &Rc<LinkState>,
) {
    state.heard.set(clock::micros());
    let (reader, mut writer) = stream.into_split();
    let mut reading = tokio::task::spawn_local(read_answers(reader, state.clone()));
    let mut next = Some(first);
    loop {
        if let Some(OutgoingFrame { mut frame, call }) = next.take() {
            register_call(state, call);
            // What else waits goes out with the same write.
            while let Ok(more) = outgoing.try_recv() {
                frame.extend_from_slice(&more.frame);
                register_call(state, more.call);
            }
            let written = tokio::select! {
                written = writer.write_all(&frame) => written.is_ok(),
                () = state.close.notified() => false,
            };
            if !written {
                break;
            }
        }
        tokio::select! {
            more = outgoing.recv() => match more {
                Some(more) => next = Some(more),
                None => break,
            },
            _ = &mut reading => break,
            () = state.close.notified() => break,
        }
    }
    reading.abort();
}

fn register_call(state: &LinkState, call: Option<(u64, oneshot::Sender<Response>)>) {
    if let Some((number, answer)) = call {
        state.waiting.borrow_mut().insert(number, answer);
    }
}

async fn read_answers(reader: OwnedReadHalf, state: Rc<LinkState>) {
    let mut reader = tokio::io::BufReader::with_capacity(4096, reader);
    while let Ok((head, body)) = read_frame(&mut reader).await {
        state.heard.set(clock::micros());
        let Ok(response) = Response::decode(&body) else {
            tracing::warn!("an answer that holds no message: connection closed");
            return;
        };
        if let Some(answer) = state.waiting.borrow_mut().remove(&head.call) {
            let _ = answer.send(response);
        }
    }
}
