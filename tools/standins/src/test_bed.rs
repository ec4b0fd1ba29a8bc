//! One courier between stand-ins: its platform, an endpoint for one destination, and clients whose bytes a test writes.

mod connection;

pub use connection::ClientConnection;

use crate::client::{self, MessageRequest};
use crate::courier::{Courier, Setup};
use crate::endpoint::{self, EndpointScript};
use crate::http::Head;
use crate::{Observation, ObservationKind, Observer, platform, runtime};
use std::io::Result;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// The destination of the endpoint.
pub const DEST: u64 = 7;
/// How long a test waits for a step of the program; only a faulty one exceeds it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test may take.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a test did not get an observation that it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObservationError {
    /// There was none in time.
    #[error("nothing of this kind was observed within {within:?}")]
    Timeout {
        /// How long it was waited for.
        within: Duration,
    },
    /// The stand-ins have ended.
    #[error("the stand-ins have ended, and observe nothing any more")]
    Ended,
}

/// A courier with its stand-ins, and what they observe; must run in a `LocalSet`.
pub struct TestBed {
    /// The courier.
    pub courier: Courier,
    /// Observations of the platform and the endpoint.
    pub observations: mpsc::Receiver<Observation>,
    /// The endpoint list: each value is sent as a line of discovery.
    pub list: watch::Sender<String>,
    /// Whether discovery is down.
    pub down: watch::Sender<bool>,
}

impl TestBed {
    /// Starts the stand-ins and the courier; `set` changes what the courier is started with.
    ///
    /// # Errors
    /// The courier did not start, or the system has no port.
    pub async fn open(
        program: impl Into<PathBuf>,
        script: impl Fn(&Head) -> EndpointScript + 'static,
        set: impl FnOnce(&mut Setup),
    ) -> Result<TestBed> {
        let (observer, observations) = Observer::channel();
        let (list, receiver) = watch::channel(String::new());
        let (down, is_down) = watch::channel(false);
        let platform = platform::open_with(observer.clone(), receiver, is_down).await?;
        let endpoint = endpoint::open(observer, script).await?;
        let mut setup = Setup::new(program, platform, vec![(DEST, endpoint)]);
        set(&mut setup);
        Ok(TestBed { courier: Courier::start(setup)?, observations, list, down })
    }

    /// Waits for an observation that is wanted; those before it are dropped.
    ///
    /// # Errors
    /// There was none in time, or the stand-ins have ended.
    pub async fn wait_for(
        &mut self,
        wanted: impl Fn(&Observation) -> bool,
    ) -> std::result::Result<Observation, ObservationError> {
        let found = async {
            loop {
                let observation = self.observations.recv().await.ok_or(ObservationError::Ended)?;
                if wanted(&observation) {
                    return Ok(observation);
                }
            }
        };
        let timed_out = Err(ObservationError::Timeout { within: WAIT_TIMEOUT });
        timeout(WAIT_TIMEOUT, found).await.unwrap_or(timed_out)
    }

    /// Waits for a call of the message.
    ///
    /// # Errors
    /// As of [`TestBed::wait_for`].
    pub async fn wait_for_call(&mut self, id: &str) -> std::result::Result<(), ObservationError> {
        let is_call = |seen: &Observation| seen.id == id && seen.what == ObservationKind::CallBegan;
        self.wait_for(is_call).await.map(drop)
    }

    /// Waits until the endpoint has answered a call of the message.
    ///
    /// # Errors
    /// As of [`TestBed::wait_for`].
    pub async fn wait_for_answer(&mut self, id: &str) -> std::result::Result<(), ObservationError> {
        let is_answer =
            |seen: &Observation| seen.id == id && matches!(seen.what, ObservationKind::Answered(_));
        self.wait_for(is_answer).await.map(drop)
    }

    /// Submits a message on a connection of its own, and returns the status of the answer.
    ///
    /// # Errors
    /// The connection broke, or there was no answer in time.
    pub async fn submit(&self, id: &str) -> Result<u16> {
        ClientConnection::connect(self.courier.addr).await?.exchange(&request(id)).await
    }
}

/// The bytes of a complete request that submits a message.
pub fn request(id: &str) -> Vec<u8> {
    request_within(id, Duration::from_secs(12))
}

/// The same, with the time that the message may take.
pub fn request_within(id: &str, left: Duration) -> Vec<u8> {
    const BODY: &[u8] = b"hi";
    let mut message = MessageRequest::new("paid-notice", id, DEST, left);
    message.key = Some(id.into());
    message.headers = format!("Content-Length: {}\r\n", BODY.len());
    [message.head().as_bytes(), BODY].concat()
}

/// Runs a test on one thread, in a `LocalSet`.
///
/// # Panics
/// The test did not finish within a minute, or panicked itself.
pub fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    runtime::run_within(TEST_TIMEOUT, test);
}

/// Asks a courier whether it is ready, on a connection of its own, and returns the status of the answer.
///
/// # Errors
/// The courier refuses it, or does not answer.
pub async fn probe(courier: SocketAddr) -> Result<u16> {
    client::get(courier, "/-/ready").await.map(|(status, _)| status)
}
