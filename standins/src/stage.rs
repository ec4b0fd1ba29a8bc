//! One courier between stand-ins: its platform, and a provider for one destination; and consumers that write bytes.

use crate::consumer::{self, Invocation};
use crate::courier::{Courier, Setup};
use crate::http::{Head, Left, Reader};
use crate::provider::{self, Script};
use crate::{Eyes, Seen, What, platform};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// The provider's destination.
pub const DEST: u64 = 7;
/// Only a broken program waits for so long.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// The courier, and what its stand-ins see; must run in a `LocalSet`.
pub struct Stage {
    pub courier: Courier,
    pub seen: mpsc::Receiver<Seen>,
    /// What discovery tells from here on.
    pub list: watch::Sender<String>,
    /// Whether discovery is down.
    pub down: watch::Sender<bool>,
}

impl Stage {
    /// Starts them; `set` changes what the courier is started with.
    ///
    /// # Errors
    /// The courier did not start, or no port could be had.
    pub async fn open(
        program: impl Into<PathBuf>,
        script: impl Fn(&Head) -> Script + 'static,
        set: impl FnOnce(&mut Setup),
    ) -> Result<Stage> {
        let (eyes, seen) = Eyes::open();
        let (list, told) = watch::channel(String::new());
        let (down, is_down) = watch::channel(false);
        let platform = platform::open_with(eyes.clone(), told, is_down).await?;
        let provider = provider::open(eyes, script).await?;
        let mut setup = Setup::new(program, platform, vec![(DEST, provider)]);
        set(&mut setup);
        Ok(Stage { courier: Courier::start(setup)?, seen, list, down })
    }

    /// The next thing seen that is wanted; what is seen before it is let go.
    ///
    /// # Errors
    /// It was not seen in time.
    pub async fn sees(&mut self, wanted: impl Fn(&Seen) -> bool) -> Result<Seen> {
        let found = async {
            loop {
                match self.seen.recv().await {
                    Some(seen) if wanted(&seen) => return Ok(seen),
                    Some(_) => {}
                    None => return Err(Error::from(ErrorKind::BrokenPipe)),
                }
            }
        };
        timeout(PATIENCE, found).await.unwrap_or_else(|_| Err(Error::other("it was not seen")))
    }

    /// Waits for a call of the message.
    ///
    /// # Errors
    /// None came in time.
    pub async fn called(&mut self, id: &str) -> Result<()> {
        self.sees(|seen| seen.id == id && seen.what == What::CallBegan).await.map(drop)
    }

    /// Waits until the message has an answer of its provider.
    ///
    /// # Errors
    /// None came in time.
    pub async fn answered(&mut self, id: &str) -> Result<()> {
        self.sees(|seen| seen.id == id && matches!(seen.what, What::Answered(_))).await.map(drop)
    }

    /// Hands a message in on a connection of its own; the answer's status.
    ///
    /// # Errors
    /// The connection broke, or no answer came.
    pub async fn hand_in(&self, id: &str) -> Result<u16> {
        Client::connect(self.courier.addr).await?.ask(&request(id)).await
    }
}

/// The bytes of a whole request that hands a message in.
pub fn request(id: &str) -> Vec<u8> {
    request_within(id, Duration::from_secs(12))
}

/// The same, with another time.
pub fn request_within(id: &str, left: Duration) -> Vec<u8> {
    let mut invocation = Invocation::new("paid-notice", id, DEST, left);
    (invocation.key, invocation.headers) = (Some(id.into()), "Content-Length: 2\r\n".into());
    [invocation.head().as_bytes(), b"hi"].concat()
}

/// A consumer's connection, of which every byte is the test's own.
pub struct Client {
    pub from: Reader<OwnedReadHalf>,
    pub to: OwnedWriteHalf,
}

impl Client {
    /// # Errors
    /// The courier refuses it.
    pub async fn connect(courier: SocketAddr) -> Result<Client> {
        let stream = TcpStream::connect(courier).await?;
        stream.set_nodelay(true)?;
        let (from, to) = stream.into_split();
        Ok(Client { from: Reader::new(from), to })
    }

    /// # Errors
    /// The connection broke.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.to.write_all(bytes).await
    }

    /// The next answer's head, once its body has come; `None`: the connection ended, and was not reset.
    ///
    /// # Errors
    /// The connection broke, or nothing came in time.
    pub async fn hear(&mut self) -> Result<Option<Head>> {
        let whole = async {
            let Some(head) = self.from.head().await? else { return Ok(None) };
            let mut left = Left::from(head.framing());
            while self.from.body(&mut left, usize::MAX).await?.is_some() {}
            Ok(Some(head))
        };
        timeout(PATIENCE, whole).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// The next answer's status.
    ///
    /// # Errors
    /// The connection ended or broke, or nothing came in time.
    pub async fn status(&mut self) -> Result<u16> {
        Ok(self.hear().await?.ok_or(ErrorKind::UnexpectedEof)?.status())
    }

    /// Sends a request, and returns the status of its answer.
    ///
    /// # Errors
    /// See [`Client::send`] and [`Client::status`].
    pub async fn ask(&mut self, request: &[u8]) -> Result<u16> {
        self.send(request).await?;
        self.status().await
    }
}

/// Plays a test on one thread.
///
/// # Panics
/// The test did not come to its end within a minute, or panicked itself.
pub fn play<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { panic!("no runtime could be had") };
    let played = async { timeout(3 * PATIENCE, test()).await };
    let over = tokio::task::LocalSet::new().block_on(&runtime, played);
    assert!(over.is_ok(), "the test did not come to its end");
}

/// The status of a GET on a connection of its own.
///
/// # Errors
/// The courier refuses it, or does not answer.
pub async fn probe(courier: SocketAddr) -> Result<u16> {
    consumer::get(courier, "/-/ready").await.map(|(status, _)| status)
}
