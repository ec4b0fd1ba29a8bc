//! The platform's agent: the watch on discovery, which stays open, and the notices, which it confirms.

use crate::door::{Door, Way};
use crate::fleet::fault::{Strike, Struck};
use crate::gate::{Entry, Gate};
use crate::http::{Left, Reader};
use crate::record::{Notice, Witness};
use crate::{Eyes, What};
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
const BEAT: Duration = Duration::from_secs(2);

/// Serves until its task ends. Every line that `list` takes on is told to whoever watches: one JSON object,
/// as PROTOCOL has it; an empty text tells nothing.
///
/// # Errors
/// No port could be had.
pub async fn open(eyes: Eyes, list: watch::Receiver<String>) -> Result<SocketAddr> {
    // Its sender is gone: it stays as it is.
    open_with(eyes, list, watch::channel(false).1).await
}

/// The same; while `down` says so, discovery is down: watches that are open fall silent, and what is asked
/// gets no answer, both for good.
///
/// # Errors
/// No port could be had.
pub async fn open_with(
    eyes: Eyes,
    list: watch::Receiver<String>,
    down: watch::Receiver<bool>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let eyes = eyes.clone();
            let tell = async move |id: &str, what| {
                eyes.see(id, what).await;
                true
            };
            tokio::task::spawn_local(serve(stream, tell, list.clone(), down.clone()));
        }
    });
    Ok(addr)
}

/// `tell` says whether a notice is confirmed.
async fn serve(
    stream: TcpStream,
    tell: impl AsyncFn(&str, What) -> bool,
    mut list: watch::Receiver<String>,
    mut down: watch::Receiver<bool>,
) -> Result<()> {
    let (from, mut to) = stream.into_split();
    let mut reader = Reader::new(from);
    while let Some(head) = reader.head().await? {
        if head.first.starts_with("POST /v2/finals ") {
            let (mut left, mut text) = (Left::from(head.framing()), Vec::new());
            while let Some(part) = reader.body(&mut left, usize::MAX).await? {
                text.extend_from_slice(&part);
            }
            let mut confirmed = true;
            for line in String::from_utf8_lossy(&text).lines() {
                confirmed &= tell(id_of(line), What::Notice(line.to_string())).await;
            }
            to.write_all(match confirmed {
                true => b"HTTP/1.1 204 No Content\r\n\r\n",
                false => b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
            })
            .await?;
            continue;
        }
        tell("", What::Watched).await;
        if *down.borrow() {
            break;
        }
        to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            let line = list.borrow_and_update().clone() + "\n";
            to.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            tokio::select! {
                changed = list.changed() => if changed.is_err() { return Ok(()) },
                () = sleep(BEAT) => {}
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
const ASKED_MAX: usize = 256;

/// A discovery whose every answer is written by hand; closed when it is dropped.
pub struct ByHand {
    pub addr: SocketAddr,
    entry: watch::Sender<Entry>,
    asked: mpsc::Receiver<Asked>,
    task: AbortHandle,
}

impl Drop for ByHand {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A question that has come, and its connection; dropped, that is closed.
pub struct Asked {
    pub at: Instant,
    /// The version after which changes are wanted.
    pub after: u64,
    reader: Reader<OwnedReadHalf>,
    to: OwnedWriteHalf,
}

impl ByHand {
    /// Must run in a `LocalSet`.
    ///
    /// # Errors
    /// No port could be had.
    pub async fn open() -> Result<ByHand> {
        let mut gate = Gate::open()?;
        let addr = gate.addr();
        let (entry, mut told) = watch::channel(Entry::Open);
        let (to, asked) = mpsc::channel(ASKED_MAX);
        let task = spawn_local(async move {
            loop {
                tokio::select! {
                    biased;
                    changed = told.changed() => {
                        let entry = *told.borrow_and_update();
                        if changed.is_err() || gate.set(entry).is_err() {
                            return;
                        }
                    }
                    stream = gate.accept() => {
                        let Ok(stream) = stream else { continue };
                        let to = to.clone();
                        spawn_local(async move {
                            if let Ok(Some(asked)) = Asked::read(stream).await {
                                let _ = to.send(asked).await;
                            }
                        });
                    }
                }
            }
        });
        Ok(ByHand { addr, entry, asked, task: task.abort_handle() })
    }

    /// How those who come are met from now on.
    pub fn set(&self, entry: Entry) {
        self.entry.send_replace(entry);
    }

    /// The next question.
    ///
    /// # Errors
    /// None can come any more.
    pub async fn asked(&mut self) -> Result<Asked> {
        self.asked.recv().await.ok_or_else(|| ErrorKind::NotConnected.into())
    }
}

impl Asked {
    async fn read(stream: TcpStream) -> Result<Option<Asked>> {
        let (from, to) = stream.into_split();
        let mut reader = Reader::new(from);
        let Some(head) = reader.head().await? else { return Ok(None) };
        let after =
            head.first.split_once("after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        let after = after.ok_or_else(|| Error::new(ErrorKind::InvalidData, head.first))?;
        Ok(Some(Asked { at: Instant::now(), after, reader, to }))
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
    pub async fn say(&mut self, text: &str) -> Result<()> {
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
    pub async fn given_up(&mut self) -> Result<()> {
        match self.reader.head().await {
            Ok(Some(head)) => Err(Error::new(ErrorKind::InvalidData, head.first)),
            Ok(None) | Err(_) => Ok(()),
        }
    }
}

/// The platform of a whole fleet: a door for each courier, and a record of every notice in the order in
/// which they came.
pub struct Platform {
    doors: Vec<Door>,
    lists: Vec<watch::Sender<String>>,
    confirms: Rc<Cell<bool>>,
    witness: Witness,
}

impl Platform {
    /// Must run in a `LocalSet`.
    ///
    /// # Errors
    /// No port could be had.
    pub fn open(couriers: usize, witness: Witness) -> Result<Platform> {
        let confirms = Rc::new(Cell::new(true));
        let lists: Vec<watch::Sender<String>> = (0..couriers).map(|_| watch::Sender::default()).collect();
        let door = |(courier, list): (usize, &watch::Sender<String>)| {
            let (witness, confirms, list) = (witness.clone(), confirms.clone(), list.subscribe());
            Door::open(move |stream, way| {
                let (witness, confirms, list) = (witness.clone(), confirms.clone(), list.clone());
                async move {
                    let tell = async |id: &str, what| {
                        if let What::Notice(line) = what {
                            let id = id.to_string();
                            witness.write(|record, when| {
                                record.notice(Notice { when, courier, id, line });
                            });
                            if *way.borrow() == Way::AnswersLost {
                                std::future::pending::<()>().await;
                            }
                        }
                        confirms.get()
                    };
                    // A connection that breaks is the courier's to open again.
                    let _ = serve(stream, tell, list, watch::channel(false).1).await;
                }
            })
        };
        let doors = lists.iter().enumerate().map(door).collect::<Result<_>>()?;
        Ok(Platform { doors, lists, confirms, witness })
    }

    /// Where this courier reaches it.
    pub fn addr(&self, courier: usize) -> SocketAddr {
        self.doors[courier].addr()
    }

    /// From now on, for this courier.
    pub fn set(&self, courier: usize, way: Way) {
        self.doors[courier].set(way);
        Struck::note(&self.witness, Strike::Platform { courier, way });
    }

    pub(crate) fn is_open(&self, courier: usize) -> bool {
        self.doors[courier].way() == Way::Open
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
fn id_of(line: &str) -> &str {
    let rest = line.split_once("\"id\":\"").map(|(_, rest)| rest);
    rest.and_then(|rest| rest.split('"').next()).unwrap_or_default()
}
