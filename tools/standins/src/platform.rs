//! The platform's agent: the watch on discovery, which stays open, and the notices, which it confirms.

use crate::fleet::fault::Fault;
use crate::gate::{AcceptMode, Gate};
use crate::http::{BodyRemainder, Reader};
use crate::listener::{CourierListener, ListenerMode};
use crate::record::{RecordedNotice, Recorder};
use crate::{ObservationKind, Observer};
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

/// As long as nothing changes, an empty line comes so often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Serves until its task ends. Every line that `list` takes on is told to whoever watches: one JSON object,
/// as PROTOCOL has it; an empty text tells nothing.
///
/// # Errors
/// No port could be had.
pub async fn open(observer: Observer, list: watch::Receiver<String>) -> Result<SocketAddr> {
    // Its sender is gone: it stays as it is.
    open_with(observer, list, watch::channel(false).1).await
}

/// The same; while `down` says so, discovery is down: watches that are open fall silent, and what is asked
/// gets no answer, both for good.
///
/// # Errors
/// No port could be had.
pub async fn open_with(
    observer: Observer,
    list: watch::Receiver<String>,
    down: watch::Receiver<bool>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let observer = observer.clone();
            let report = async move |id: &str, what| {
                observer.observe(id, what).await;
                true
            };
            tokio::task::spawn_local(serve(stream, report, list.clone(), down.clone()));
        }
    });
    Ok(addr)
}

/// `report` says whether a notice is confirmed.
async fn serve(
    stream: TcpStream,
    report: impl AsyncFn(&str, ObservationKind) -> bool,
    mut list: watch::Receiver<String>,
    mut down: watch::Receiver<bool>,
) -> Result<()> {
    let (from, mut to) = stream.into_split();
    let mut reader = Reader::new(from);
    while let Some(head) = reader.head().await? {
        if head.first_line.starts_with("POST /v2/finals ") {
            let (mut left, mut text) = (BodyRemainder::from(head.framing()), Vec::new());
            while let Some(part) = reader.body(&mut left, usize::MAX).await? {
                text.extend_from_slice(&part);
            }
            let mut confirmed = true;
            for line in String::from_utf8_lossy(&text).lines() {
                confirmed &= report(notice_id(line), ObservationKind::Notice(line.to_string())).await;
            }
            to.write_all(match confirmed {
                true => b"HTTP/1.1 204 No Content\r\n\r\n",
                false => b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
            })
            .await?;
            continue;
        }
        report("", ObservationKind::Watched).await;
        if *down.borrow() {
            break;
        }
        to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            let line = list.borrow_and_update().clone() + "\n";
            to.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            tokio::select! {
                changed = list.changed() => if changed.is_err() { return Ok(()) },
                () = sleep(HEARTBEAT_INTERVAL) => {}
                Ok(_) = down.wait_for(|down| *down) => break,
            }
        }
        break;
    }
    // Silent until the courier has closed it.
    while reader.head().await?.is_some() {}
    drop(to);
    Ok(())
}

/// Questions that may wait to be looked at; who has so many waits with the next.
const PENDING_REQUESTS_MAX: usize = 256;

/// A discovery whose every answer is written by hand; closed when it is dropped.
pub struct ManualDiscovery {
    /// The address of the platform.
    pub addr: SocketAddr,
    accept_mode: watch::Sender<AcceptMode>,
    requests: mpsc::Receiver<DiscoveryRequest>,
    task: AbortHandle,
}

impl Drop for ManualDiscovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A question that has come, and its connection; dropped, that is closed.
pub struct DiscoveryRequest {
    /// When it was received.
    pub at: Instant,
    /// The version after which changes are wanted.
    pub after: u64,
    reader: Reader<OwnedReadHalf>,
    to: OwnedWriteHalf,
}

impl ManualDiscovery {
    /// Must run in a `LocalSet`.
    ///
    /// # Errors
    /// No port could be had.
    pub async fn open() -> Result<ManualDiscovery> {
        let mut gate = Gate::open()?;
        let addr = gate.addr();
        let (accept_mode, mut receiver) = watch::channel(AcceptMode::Open);
        let (to, requests) = mpsc::channel(PENDING_REQUESTS_MAX);
        let task = spawn_local(async move {
            loop {
                tokio::select! {
                    biased;
                    changed = receiver.changed() => {
                        let accept_mode = *receiver.borrow_and_update();
                        if changed.is_err() || gate.set(accept_mode).is_err() {
                            return;
                        }
                    }
                    stream = gate.accept() => {
                        let Ok(stream) = stream else { continue };
                        let to = to.clone();
                        spawn_local(async move {
                            if let Ok(Some(request)) = DiscoveryRequest::read(stream).await {
                                let _ = to.send(request).await;
                            }
                        });
                    }
                }
            }
        });
        Ok(ManualDiscovery { addr, accept_mode, requests, task: task.abort_handle() })
    }

    /// How those who come are met from now on.
    pub fn set(&self, accept_mode: AcceptMode) {
        self.accept_mode.send_replace(accept_mode);
    }

    /// The next question.
    ///
    /// # Errors
    /// None can come any more.
    pub async fn next_request(&mut self) -> Result<DiscoveryRequest> {
        self.requests.recv().await.ok_or_else(|| ErrorKind::NotConnected.into())
    }
}

impl DiscoveryRequest {
    async fn read(stream: TcpStream) -> Result<Option<DiscoveryRequest>> {
        let (from, to) = stream.into_split();
        let mut reader = Reader::new(from);
        let Some(head) = reader.head().await? else { return Ok(None) };
        let after =
            head.first_line.split_once("after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        let after = after.ok_or_else(|| Error::new(ErrorKind::InvalidData, head.first_line))?;
        Ok(Some(DiscoveryRequest { at: Instant::now(), after, reader, to }))
    }

    /// Writes these bytes.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.to.write_all(bytes).await
    }

    /// The head of an answer that goes on.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn head(&mut self) -> Result<()> {
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await
    }

    /// A part of such an answer; without any text its end.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn send_chunk(&mut self, text: &str) -> Result<()> {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = self.to.as_ref().set_zero_linger();
    }

    /// Waits until the courier has closed the connection.
    ///
    /// # Errors
    /// Another question came on it, which only a new connection is to carry.
    pub async fn wait_for_close(&mut self) -> Result<()> {
        match self.reader.head().await {
            Ok(Some(head)) => Err(Error::new(ErrorKind::InvalidData, head.first_line)),
            Ok(None) | Err(_) => Ok(()),
        }
    }
}

/// The platform of a whole fleet: a door for each courier, and a record of every notice in the order in
/// which they came.
pub struct Platform {
    listeners: Vec<CourierListener>,
    lists: Vec<watch::Sender<String>>,
    confirms: Rc<Cell<bool>>,
    recorder: Recorder,
}

impl Platform {
    /// Must run in a `LocalSet`.
    ///
    /// # Errors
    /// No port could be had.
    pub fn open(couriers: usize, recorder: Recorder) -> Result<Platform> {
        let confirms = Rc::new(Cell::new(true));
        let lists: Vec<watch::Sender<String>> = (0..couriers).map(|_| watch::Sender::default()).collect();
        let listener = |(courier, list): (usize, &watch::Sender<String>)| {
            let (recorder, confirms, list) = (recorder.clone(), confirms.clone(), list.subscribe());
            CourierListener::open(move |stream, mode| {
                let (recorder, confirms, list) = (recorder.clone(), confirms.clone(), list.clone());
                async move {
                    let report = async |id: &str, what| {
                        if let ObservationKind::Notice(line) = what {
                            let id = id.to_string();
                            recorder.write(|record, when| {
                                record.notice(RecordedNotice { when, courier, id, line });
                            });
                            if *mode.borrow() == ListenerMode::AnswersLost {
                                std::future::pending::<()>().await;
                            }
                        }
                        confirms.get()
                    };
                    // A connection that breaks is the courier's to open again.
                    let _ = serve(stream, report, list, watch::channel(false).1).await;
                }
            })
        };
        let listeners = lists.iter().enumerate().map(listener).collect::<Result<_>>()?;
        Ok(Platform { listeners, lists, confirms, recorder })
    }

    /// Where this courier reaches it.
    pub fn addr(&self, courier: usize) -> SocketAddr {
        self.listeners[courier].addr()
    }

    /// From now on, for this courier.
    pub fn set(&self, courier: usize, mode: ListenerMode) {
        self.listeners[courier].set(mode);
        self.recorder.record_fault(Fault::Platform { courier, mode });
    }

    pub(crate) fn is_open(&self, courier: usize) -> bool {
        self.listeners[courier].mode() == ListenerMode::Open
    }

    /// Tells this courier a line of discovery: one JSON object, as PROTOCOL has it.
    pub fn list(&self, courier: usize, line: &str) {
        self.lists[courier].send_replace(line.into());
    }

    /// From now on notices are confirmed, or answered 500; they are recorded either way.
    pub fn confirm(&self, confirms: bool) {
        self.confirms.set(confirms);
    }
}

/// The id in a notice's line.
fn notice_id(line: &str) -> &str {
    let rest = line.split_once("\"id\":\"").map(|(_, rest)| rest);
    rest.and_then(|rest| rest.split('"').next()).unwrap_or_default()
}
