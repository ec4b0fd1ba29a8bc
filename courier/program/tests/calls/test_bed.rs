//! One courier, the platform, and providers whose side of each connection the test plays itself.

use quillmount_standins::client::{self, MessageRequest};
use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::http::{BodyRemainder, Head, Reader};
use quillmount_standins::runtime::run_within;
use quillmount_standins::{Observation, ObservationKind, Observer, platform};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Only a broken program waits for so long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
pub const LONG: Duration = Duration::from_secs(16);
/// Long before a connection at rest is closed for its age, by the example's keep-alive of 15 s.
const SOON: Duration = Duration::from_secs(8);
/// A test that has not ended after this time has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(90);
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Plays a test on one thread.
pub fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    run_within(TEST_TIMEOUT, test);
}

/// One courier, the platform, and providers that the test plays itself.
pub struct TestBed {
    pub courier: Courier,
    seen: mpsc::Receiver<Observation>,
    list: watch::Sender<String>,
    version: u64,
    /// What the log has said and nobody has asked for yet.
    lines: Vec<String>,
}

impl TestBed {
    pub async fn open(providers: Vec<(u64, SocketAddr)>, config: Value) -> TestBed {
        let (observer, seen) = Observer::channel();
        let (list, told) = watch::channel(String::new());
        let platform = platform::open(observer, told).await.unwrap();
        let mut setup = Setup::new(env!("CARGO_BIN_EXE_quillmount"), platform, providers);
        (setup.config, setup.levels) = (config, "quillmount=debug".into());
        let courier = Courier::start(setup).unwrap();
        TestBed { courier, seen, list, version: 1, lines: Vec::new() }
    }

    pub async fn submit(&self, class: &str, id: &str, dest: u64, time_left: Duration) {
        let message =
            MessageRequest { key: Some(id.into()), ..MessageRequest::new(class, id, dest, time_left) };
        assert_eq!(client::submit(self.courier.addr, &message, b"body").await.unwrap().status(), 202);
    }

    /// Waits for a line of the log that has all of these words.
    pub async fn wait_for_log(&mut self, words: &[&str]) -> String {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            self.lines.extend(self.courier.log.try_iter());
            let has = |line: &String| words.iter().all(|word| line.contains(word));
            if let Some(n) = self.lines.iter().position(has) {
                return self.lines.remove(n);
            }
            assert!(Instant::now() < until, "the log says {words:?}: {:#?}", self.lines);
            sleep(Duration::from_millis(2)).await;
        }
    }

    /// How the call with this id ended.
    pub async fn end(&mut self, addr: SocketAddr) -> String {
        let line = self.wait_for_log(&["call ended: ", &format!(" to {addr}: ")]).await;
        line.split_once(&format!(" to {addr}: ")).unwrap().1.split(' ').next().unwrap().to_string()
    }

    /// Discovery lists the provider at this destination so, and the courier has it.
    pub async fn lists(&mut self, (dest, addr): (u64, SocketAddr), state: &str) {
        self.version += 1;
        let id =
            self.courier.endpoint_ids().into_iter().find(|id| id.contains(&addr.port().to_string())).unwrap();
        let entry = json!({"id": id, "addr": addr, "zone": "bkk-dc1", "kind": "bank", "cell": dest,
            "state": state, "weight": 1000.0, "started_ms": 0});
        let list = json!({"version": self.version, "full": false, "servers": [entry]});
        self.list.send(list.to_string()).unwrap();
        let words = format!("discovery: version {} with", self.version);
        self.wait_for_log(&[&words]).await;
    }

    /// Waits for the notice of a message.
    pub async fn notice(&mut self, id: &str) -> String {
        loop {
            let seen = timeout(WAIT_TIMEOUT, self.seen.recv()).await.expect("a notice comes").unwrap();
            if let ObservationKind::Notice(text) = seen.what
                && seen.id == id
            {
                return text;
            }
        }
    }
}

pub async fn provider() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

pub async fn accept(listener: &TcpListener) -> Reader<TcpStream> {
    let (stream, _) = timeout(WAIT_TIMEOUT, listener.accept()).await.expect("a connection comes").unwrap();
    stream.set_nodelay(true).unwrap();
    Reader::new(stream)
}

/// Reads a whole call.
pub async fn call(reader: &mut Reader<TcpStream>) -> Head {
    let head = timeout(WAIT_TIMEOUT, reader.head()).await.expect("a call comes").unwrap().unwrap();
    let mut left = BodyRemainder::from(head.framing());
    while reader.body(&mut left, usize::MAX).await.unwrap().is_some() {}
    head
}

/// A connection on which the courier sends nothing, and which it closes.
pub async fn is_closed_unused(reader: Reader<TcpStream>) {
    let mut stream = reader.into_inner();
    let mut bytes = [0; 64];
    let read = timeout(SOON, stream.read(&mut bytes)).await.expect("it is closed");
    assert!(matches!(read, Ok(0) | Err(_)), "bytes came: {:?}", String::from_utf8_lossy(&bytes));
}

/// Nothing of a call comes any more: the next connection that is seen is our own, or one that is closed unused.
pub async fn nothing_comes(listener: &TcpListener) {
    let marker = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    loop {
        let (stream, from) =
            timeout(WAIT_TIMEOUT, listener.accept()).await.expect("the marker comes").unwrap();
        if from == marker.local_addr().unwrap() {
            return;
        }
        is_closed_unused(Reader::new(stream)).await;
    }
}
