//! One courier between stand-ins: its platform, and a provider for one destination; and consumers that write bytes.

use crate::client::{self, MessageRequest};
use crate::courier::{Courier, Setup};
use crate::endpoint::{self, EndpointScript};
use crate::http::{BodyRemainder, Head, Reader};
use crate::{Observation, ObservationKind, Observer, platform};
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
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The courier, and what its stand-ins see; must run in a `LocalSet`.
pub struct TestBed {
    /// The courier.
    pub courier: Courier,
    /// Observations of the platform and the endpoint.
    pub observations: mpsc::Receiver<Observation>,
    /// What discovery tells from here on.
    pub list: watch::Sender<String>,
    /// Whether discovery is down.
    pub down: watch::Sender<bool>,
}

impl TestBed {
    /// Starts them; `set` changes what the courier is started with.
    ///
    /// # Errors
    /// The courier did not start, or no port could be had.
    pub async fn open(
        program: impl Into<PathBuf>,
        script: impl Fn(&Head) -> EndpointScript + 'static,
        set: impl FnOnce(&mut Setup),
    ) -> Result<TestBed> {
        let (observer, seen) = Observer::channel();
        let (list, receiver) = watch::channel(String::new());
        let (down, is_down) = watch::channel(false);
        let platform = platform::open_with(observer.clone(), receiver, is_down).await?;
        let endpoint = endpoint::open(observer, script).await?;
        let mut setup = Setup::new(program, platform, vec![(DEST, endpoint)]);
        set(&mut setup);
        Ok(TestBed { courier: Courier::start(setup)?, observations: seen, list, down })
    }

    /// The next thing seen that is wanted; what is seen before it is let go.
    ///
    /// # Errors
    /// It was not seen in time.
    pub async fn wait_for(&mut self, wanted: impl Fn(&Observation) -> bool) -> Result<Observation> {
        let found = async {
            loop {
                match self.observations.recv().await {
                    Some(seen) if wanted(&seen) => return Ok(seen),
                    Some(_) => {}
                    None => return Err(Error::from(ErrorKind::BrokenPipe)),
                }
            }
        };
        timeout(WAIT_TIMEOUT, found).await.unwrap_or_else(|_| Err(Error::other("it was not seen")))
    }

    /// Waits for a call of the message.
    ///
    /// # Errors
    /// None came in time.
    pub async fn wait_for_call(&mut self, id: &str) -> Result<()> {
        self.wait_for(|seen| seen.id == id && seen.what == ObservationKind::CallBegan).await.map(drop)
    }

    /// Waits until the message has an answer of its provider.
    ///
    /// # Errors
    /// None came in time.
    pub async fn wait_for_answer(&mut self, id: &str) -> Result<()> {
        self.wait_for(|seen| seen.id == id && matches!(seen.what, ObservationKind::Answered(_)))
            .await
            .map(drop)
    }

    /// Hands a message in on a connection of its own; the answer's status.
    ///
    /// # Errors
    /// The connection broke, or no answer came.
    pub async fn submit(&self, id: &str) -> Result<u16> {
        ClientConnection::connect(self.courier.addr).await?.exchange(&request(id)).await
    }
}

/// The bytes of a whole request that hands a message in.
pub fn request(id: &str) -> Vec<u8> {
    request_within(id, Duration::from_secs(12))
}

/// The same, with another time.
pub fn request_within(id: &str, left: Duration) -> Vec<u8> {
    let mut message = MessageRequest::new("paid-notice", id, DEST, left);
    (message.key, message.headers) = (Some(id.into()), "Content-Length: 2\r\n".into());
    [message.head().as_bytes(), b"hi"].concat()
}

/// A consumer's connection, of which every byte is the test's own.
pub struct ClientConnection {
    /// The side that is read.
    pub from: Reader<OwnedReadHalf>,
    /// The side that is written.
    pub to: OwnedWriteHalf,
}

impl ClientConnection {
    /// # Errors
    /// The courier refuses it.
    pub async fn connect(courier: SocketAddr) -> Result<ClientConnection> {
        let stream = TcpStream::connect(courier).await?;
        stream.set_nodelay(true)?;
        let (from, to) = stream.into_split();
        Ok(ClientConnection { from: Reader::new(from), to })
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
    pub async fn read_answer(&mut self) -> Result<Option<Head>> {
        let whole = async {
            let Some(head) = self.from.head().await? else { return Ok(None) };
            let mut left = BodyRemainder::from(head.framing());
            while self.from.body(&mut left, usize::MAX).await?.is_some() {}
            Ok(Some(head))
        };
        timeout(WAIT_TIMEOUT, whole).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// The next answer's status.
    ///
    /// # Errors
    /// The connection ended or broke, or nothing came in time.
    pub async fn status(&mut self) -> Result<u16> {
        Ok(self.read_answer().await?.ok_or(ErrorKind::UnexpectedEof)?.status())
    }

    /// Sends a request, and returns the status of its answer.
    ///
    /// # Errors
    /// See [`ClientConnection::send`] and [`ClientConnection::status`].
    pub async fn exchange(&mut self, request: &[u8]) -> Result<u16> {
        self.send(request).await?;
        self.status().await
    }
}

/// Plays a test on one thread.
///
/// # Panics
/// The test did not come to its end within a minute, or panicked itself.
pub fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { panic!("no runtime could be had") };
    let played = async { timeout(3 * WAIT_TIMEOUT, test()).await };
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, played);
    assert!(outcome.is_ok(), "the test did not come to its end");
}

/// The status of a GET on a connection of its own.
///
/// # Errors
/// The courier refuses it, or does not answer.
pub async fn probe(courier: SocketAddr) -> Result<u16> {
    client::get(courier, "/-/ready").await.map(|(status, _)| status)
}
