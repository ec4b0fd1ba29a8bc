//! Calls to providers on sockets, in the moments where two things fall together: answers that are cut or never end,
//! connections that come up late, and connections at rest that are closed as a call is written.

#[path = "../src/transport/socket.rs"]
mod socket;

use quillmount_standins::client::{self, MessageRequest};
use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::http::{BodyRemainder, Head, Reader};
use quillmount_standins::runtime::run_within;
use quillmount_standins::{Observation, ObservationKind, Observer, platform};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Only a broken program waits for so long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const LONG: Duration = Duration::from_secs(16);
/// Long before a connection at rest is closed for its age, by the example's keep-alive of 15 s.
const SOON: Duration = Duration::from_secs(8);

/// A test that has not ended after this time has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(90);

/// Plays a test on one thread.
fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    run_within(TEST_TIMEOUT, test);
}

/// One courier, the platform, and providers that the test plays itself.
struct TestBed {
    courier: Courier,
    seen: mpsc::Receiver<Observation>,
    list: watch::Sender<String>,
    version: u64,
    /// What the log has said and nobody has asked for yet.
    lines: Vec<String>,
}

impl TestBed {
    async fn open(providers: Vec<(u64, SocketAddr)>, config: Value) -> TestBed {
        let (observer, seen) = Observer::channel();
        let (list, told) = watch::channel(String::new());
        let platform = platform::open(observer, told).await.unwrap();
        let mut setup = Setup::new(env!("CARGO_BIN_EXE_quillmount"), platform, providers);
        (setup.config, setup.levels) = (config, "quillmount=debug".into());
        let courier = Courier::start(setup).unwrap();
        TestBed { courier, seen, list, version: 1, lines: Vec::new() }
    }

    async fn submit(&self, class: &str, id: &str, dest: u64, time_left: Duration) {
        let message =
            MessageRequest { key: Some(id.into()), ..MessageRequest::new(class, id, dest, time_left) };
        assert_eq!(client::submit(self.courier.addr, &message, b"body").await.unwrap().status(), 202);
    }

    /// Waits for a line of the log that has all of these words.
    async fn wait_for_log(&mut self, words: &[&str]) -> String {
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
    async fn end(&mut self, addr: SocketAddr) -> String {
        let line = self.wait_for_log(&["call ended: ", &format!(" to {addr}: ")]).await;
        line.split_once(&format!(" to {addr}: ")).unwrap().1.split(' ').next().unwrap().to_string()
    }

    /// Discovery lists the provider at this destination so, and the courier has it.
    async fn lists(&mut self, (dest, addr): (u64, SocketAddr), state: &str) {
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
    async fn notice(&mut self, id: &str) -> String {
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

async fn provider() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

async fn accept(listener: &TcpListener) -> Reader<TcpStream> {
    let (stream, _) = timeout(WAIT_TIMEOUT, listener.accept()).await.expect("a connection comes").unwrap();
    stream.set_nodelay(true).unwrap();
    Reader::new(stream)
}

/// Reads a whole call.
async fn call(reader: &mut Reader<TcpStream>) -> Head {
    let head = timeout(WAIT_TIMEOUT, reader.head()).await.expect("a call comes").unwrap().unwrap();
    let mut left = BodyRemainder::from(head.framing());
    while reader.body(&mut left, usize::MAX).await.unwrap().is_some() {}
    head
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// What a provider does behind the bytes that it has written.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    /// It says no more, and keeps the connection.
    Rests,
    /// It writes this again and again.
    GoesOn(&'static [u8], Duration),
    Ends,
    Resets,
}

/// Writes an answer, and waits until the courier has closed the connection; how long that took.
async fn answers(reader: Reader<TcpStream>, parts: &[&[u8]], then: Then) -> Duration {
    let mut stream = reader.into_inner();
    let begun = Instant::now();
    for (n, part) in parts.iter().enumerate() {
        stream.write_all(part).await.unwrap();
        // Each comes alone, mostly; what follows a whole interim answer, after the time for the rest of one.
        let whole = part.ends_with(b"\r\n") && n + 2 == parts.len();
        sleep(Duration::from_millis(if whole { 150 } else { 1 })).await;
    }
    let (mut from, mut to) = stream.split();
    match then {
        Then::Rests => {}
        Then::GoesOn(bytes, gap) => {
            let until = Instant::now() + WAIT_TIMEOUT;
            while to.write_all(bytes).await.is_ok() {
                assert!(Instant::now() < until, "the courier reads on and on");
                sleep(gap).await;
            }
            return begun.elapsed();
        }
        Then::Ends => to.shutdown().await.unwrap(),
        Then::Resets => {
            stream.set_zero_linger().unwrap();
            return begun.elapsed();
        }
    }
    let mut rest = [0; 64];
    while timeout(WAIT_TIMEOUT, from.read(&mut rest)).await.expect("it is closed").is_ok_and(|n| n > 0) {}
    begun.elapsed()
}

/// Whatever comes back, the outcome is the one that is true of it, the connection is closed in bounded time, and the
/// only slot is free for the next message.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn an_answer_that_is_cut_or_never_ends_has_a_true_outcome_in_bounded_time() {
    use Then::*;
    const SLOW: Duration = Duration::from_millis(5);
    let rows: [(&str, &[&[u8]], Then, &str); 20] = [
        ("head without end, 200", &[b"HTTP/1.1 200 OK\r\n"], GoesOn(b"X: y\r\n", SLOW), "Delivered"),
        ("head without end, 503", &[b"HTTP/1.1 503 X\r\n"], GoesOn(b"X: y\r\n", SLOW), "Spoilt(0)"),
        ("first line without end", &[b"HTTP/1.1 503 "], GoesOn(b"x", SLOW), "Spoilt(0)"),
        (
            "body larger than what comes, 200",
            &[b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"],
            Rests,
            "Delivered",
        ),
        ("the same, ended", &[b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"], Ends, "Delivered"),
        ("the same, reset", &[b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"], Resets, "Delivered"),
        (
            "body larger than what comes, 503",
            &[b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nab"],
            Rests,
            "Spoilt(0)",
        ),
        ("the same, ended", &[b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nab"], Ends, "Spoilt(0)"),
        (
            "chunks without end, 200",
            &[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"],
            GoesOn(b"1\r\nx\r\n", SLOW),
            "Delivered",
        ),
        (
            "chunks without end, 429",
            &[b"HTTP/1.1 429 X\r\nRetry-After: 1\r\nTransfer-Encoding: chunked\r\n\r\n"],
            GoesOn(b"1\r\nx\r\n", SLOW),
            "Spoilt(1000000)",
        ),
        ("a negative length, 200", &[b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"], Rests, "Delivered"),
        ("a negative length, 503", &[b"HTTP/1.1 503 X\r\nContent-Length: -1\r\n\r\n"], Rests, "Spoilt(0)"),
        (
            "two lengths, 503",
            &[b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n"],
            Rests,
            "Spoilt(0)",
        ),
        (
            "a huge length, 200",
            &[b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\n"],
            Rests,
            "Delivered",
        ),
        (
            "a huge length, 503",
            &[b"HTTP/1.1 503 X\r\nContent-Length: 4294967296\r\n\r\n"],
            Rests,
            "Spoilt(0)",
        ),
        ("interim answers without end", &[], GoesOn(&[b'x'; 0], SLOW), "Spoilt(0)"),
        ("half a first line, ended", &[b"HTTP/1.1 20"], Ends, "Spoilt(0)"),
        ("nothing, ended", &[], Ends, "Reset"),
        ("nothing, reset", &[], Resets, "Reset"),
        (
            "an interim answer in two parts",
            &[
                b"HTTP/1.1 102 X\r\n",
                b"\r\n",
                b"HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            ],
            Rests,
            "Full(0)",
        ),
    ];
    run_test(async || {
        let mut providers = Vec::new();
        for n in 0..rows.len() as u64 {
            let (listener, addr) = provider().await;
            providers.push((n + 1, addr, listener));
        }
        let listed = providers.iter().map(|(dest, addr, _)| (*dest, *addr)).collect();
        let mut test_bed =
            TestBed::open(listed, json!({"settings": {"family_info": {"call_slots": 1}}})).await;
        for ((dest, addr, listener), (what, parts, then, end)) in providers.iter().zip(rows) {
            let id = &format!("m{dest}");
            let then = if what.starts_with("interim") {
                // As much as the system takes at once: bounded by bytes, not by time.
                GoesOn(b"HTTP/1.1 102 X\r\n\r\n".repeat(64).leak(), Duration::from_micros(100))
            } else {
                then
            };
            test_bed.submit("fee-debit", id, *dest, LONG).await;
            let mut reader = accept(listener).await;
            call(&mut reader).await;
            let took = answers(reader, parts, then).await;
            assert_eq!(test_bed.end(*addr).await, end, "{what}");
            assert!(took < Duration::from_secs(4), "{what}: {took:?}");
            // What may have run is not sent again; what has run has no notice; what never ran is tried again.
            match end {
                "Delivered" => {
                    let again = MessageRequest::new("fee-debit", id, *dest, LONG);
                    let answer = client::submit(test_bed.courier.addr, &again, b"body").await.unwrap();
                    assert_eq!(answer.status(), 200, "{what}");
                }
                "Full(0)" => {
                    let mut reader = accept(listener).await;
                    call(&mut reader).await;
                    reader.into_inner().write_all(OK).await.unwrap();
                    assert_eq!(test_bed.end(*addr).await, "Delivered", "{what}");
                }
                _ => assert!(test_bed.notice(id).await.contains("undeliverable"), "{what}"),
            }
        }
    });
}

/// A provider to which no connection comes up: its table of those that wait to be accepted is full.
struct Jam {
    listener: TcpListener,
    addr: SocketAddr,
    filler: TcpStream,
}

impl Jam {
    async fn open() -> Jam {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let addr = listener.local_addr().unwrap();
        let filler = TcpStream::connect(addr).await.unwrap();
        let probe = timeout(Duration::from_millis(100), TcpStream::connect(addr)).await;
        assert!(probe.is_err(), "one waits, and the next does not come up");
        Jam { listener, addr, filler }
    }

    /// Connections come up from now on, those that were begun before among them.
    async fn clear(self) -> TcpListener {
        accept(&self.listener).await;
        drop(self.filler);
        self.listener
    }
}

/// A connection on which the courier sends nothing, and which it closes.
async fn is_closed_unused(reader: Reader<TcpStream>) {
    let mut stream = reader.into_inner();
    let mut bytes = [0; 64];
    let read = timeout(SOON, stream.read(&mut bytes)).await.expect("it is closed");
    assert!(matches!(read, Ok(0) | Err(_)), "bytes came: {:?}", String::from_utf8_lossy(&bytes));
}

/// Nothing of a call comes any more: the next connection that is seen is our own, or one that is closed unused.
async fn nothing_comes(listener: &TcpListener) {
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

/// Longer than the system's first repeat of a connect.
fn patient() -> Value {
    json!({"settings": {"limits": {"dial_timeout_ms": 12_000}}})
}

#[test]
fn a_connection_that_comes_up_after_its_endpoint_drained_or_went_carries_no_byte() {
    for state in ["draining", "gone"] {
        run_test(async || {
            let jam = Jam::open().await;
            let addr = jam.addr;
            let mut test_bed = TestBed::open(vec![(1, addr)], patient()).await;
            test_bed.submit("fee-debit", "late", 1, LONG).await;
            test_bed.wait_for_log(&["call: ", &addr.to_string()]).await;
            test_bed.lists((1, addr), state).await;
            let listener = jam.clear().await;
            is_closed_unused(accept(&listener).await).await;
            assert_eq!(test_bed.end(addr).await, "HeldBack", "{state}");
            // It never ran, and goes once the endpoint is back.
            test_bed.lists((1, addr), "ready").await;
            let mut reader = accept(&listener).await;
            assert_eq!(call(&mut reader).await.header("x-correlation-id"), Some("late"));
            reader.into_inner().write_all(OK).await.unwrap();
            assert_eq!(test_bed.end(addr).await, "Delivered", "{state}");
        });
    }
}

#[test]
fn a_connection_that_comes_up_within_a_wait_carries_no_byte() {
    run_test(async || {
        let jam = Jam::open().await;
        let (open, other) = provider().await;
        let addr = jam.addr;
        let mut test_bed = TestBed::open(vec![(1, addr), (1, other)], patient()).await;
        // They go to both.
        for id in ["m1", "m2"] {
            test_bed.submit("fee-debit", id, 1, LONG).await;
        }
        test_bed.wait_for_log(&["call: ", &addr.to_string()]).await;
        let mut reader = accept(&open).await;
        call(&mut reader).await;
        let wait = b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n";
        reader.into_inner().write_all(wait).await.unwrap();
        assert_eq!(test_bed.end(other).await, "Full(9000000)");
        let told = Instant::now();
        let listener = jam.clear().await;
        is_closed_unused(accept(&listener).await).await;
        assert_eq!(test_bed.end(addr).await, "HeldBack");
        assert!(told.elapsed() < Duration::from_secs(9));
    });
}

/// The time of the message, or of the process, is over before the connection is up: it never ran.
#[test]
fn a_connection_that_comes_up_after_its_message_ended_carries_no_byte() {
    run_test(async || {
        let jam = Jam::open().await;
        let addr = jam.addr;
        let mut test_bed = TestBed::open(vec![(1, addr)], patient()).await;
        test_bed.submit("fee-debit", "short", 1, Duration::from_millis(700)).await;
        // The message's end and the call's time are one moment, and either may be heard of first.
        let end = test_bed.end(addr).await;
        assert!(["CouldNotConnect", "HeldBack"].contains(&end.as_str()), "{end}");
        test_bed.notice("short").await;
        nothing_comes(&jam.clear().await).await;
    });
}

#[test]
fn a_call_that_waits_for_its_connection_as_the_process_ends_is_made_by_the_next() {
    run_test(async || {
        let jam = Jam::open().await;
        let addr = jam.addr;
        let mut test_bed = TestBed::open(vec![(1, addr)], patient()).await;
        test_bed.submit("fee-debit", "once", 1, LONG).await;
        test_bed.wait_for_log(&["call: ", &addr.to_string()]).await;
        test_bed.courier.send_sigterm().unwrap();
        assert!(test_bed.courier.wait_for_exit().await.unwrap().success());
        let listener = jam.clear().await;
        nothing_comes(&listener).await;
        test_bed.courier.kill_and_restart().unwrap();
        let mut reader = accept(&listener).await;
        assert_eq!(call(&mut reader).await.header("x-correlation-id"), Some("once"));
        reader.into_inner().write_all(OK).await.unwrap();
        assert_eq!(test_bed.end(addr).await, "Delivered");
    });
}

/// A span of one second, and connects that last longer: a call that did not leave does not begin the span.
#[test]
fn what_could_not_connect_for_longer_than_its_span_is_delivered() {
    run_test(async || {
        let jam = Jam::open().await;
        let addr = jam.addr;
        let span = json!({"settings": {"categories": [{"name": "keyed", "effect": "dedup", "dedup_scope": "all",
            "memory_span_ms": 1_000, "promise_ms": 3_000, "deadline_ms": 16_000, "worth": 1, "late_worth": 0.4}]}});
        let mut test_bed = TestBed::open(vec![(1, addr)], span).await;
        let begun = Instant::now();
        test_bed.submit("keyed", "k", 1, LONG).await;
        while begun.elapsed() < Duration::from_millis(1_100) {
            assert_eq!(test_bed.end(addr).await, "CouldNotConnect");
        }
        let listener = jam.clear().await;
        loop {
            let mut reader = accept(&listener).await;
            // One whose call was over as it came up.
            let Ok(Some(head)) = reader.head().await else { continue };
            assert_eq!(
                (head.header("x-correlation-id"), head.header("idempotency-key")),
                (Some("k"), Some("k"))
            );
            reader.into_inner().write_all(OK).await.unwrap();
            break;
        }
        while test_bed.end(addr).await != "Delivered" {}
    });
}

/// What has come on a connection is seen though nothing was polled since.
#[test]
fn an_end_or_a_byte_that_has_just_come_is_seen() {
    run_test(async || {
        let (listener, addr) = provider().await;
        for what in ["nothing", "a byte", "half a line", "an end", "a reset"] {
            let ours = TcpStream::connect(addr).await.unwrap();
            let (theirs, _) = listener.accept().await.unwrap();
            assert!(socket::is_quiet(&ours), "{what}: nothing has come yet");
            let mut theirs = theirs.into_std().unwrap();
            // No await from here on: the runtime has no chance to hear of it.
            match what {
                "a byte" => std::io::Write::write_all(&mut theirs, b"H").unwrap(),
                "half a line" => std::io::Write::write_all(&mut theirs, b"HTTP/1.1 200").unwrap(),
                "an end" => theirs.shutdown(std::net::Shutdown::Write).unwrap(),
                "a reset" => {
                    socket2::SockRef::from(&theirs).set_linger(Some(Duration::ZERO)).unwrap();
                    drop(theirs);
                    assert!(has_arrived(&ours), "{what}: the system has it");
                    assert!(!socket::is_quiet(&ours), "{what}");
                    continue;
                }
                _ => {}
            }
            assert_eq!(has_arrived(&ours), what != "nothing", "{what}: whether the system has it");
            assert_eq!(socket::is_quiet(&ours), what == "nothing", "{what}");
        }
    });
}

/// Whether the system has something to read, or an end, for the socket. On a busy machine that takes a moment even on loopback;
/// the runtime is not asked.
fn has_arrived(stream: &TcpStream) -> bool {
    let mut waiting = [rustix::event::PollFd::new(stream, rustix::event::PollFlags::IN)];
    let limit = rustix::event::Timespec { tv_sec: 0, tv_nsec: 300_000_000 };
    rustix::event::poll(&mut waiting, Some(&limit)).unwrap() > 0
}

/// A provider that reads slowly: what had no room until it was too late does not leave when there is some.
#[test]
fn a_write_that_waits_for_room_until_it_is_too_late_sends_no_more() {
    run_test(async || {
        let (listener, addr) = provider().await;
        let mut ours = TcpStream::connect(addr).await.unwrap();
        let (mut theirs, _) = listener.accept().await.unwrap();
        let block = vec![b'x'; 64 * 1024];
        let mut sent = 0;
        // Until the system takes no more.
        while let Ok(wrote) =
            timeout(Duration::from_millis(300), socket::write(&mut ours, &block, || false)).await
        {
            sent += wrote.unwrap().unwrap();
        }
        let late = std::cell::Cell::new(false);
        let waits = socket::write(&mut ours, &block, || late.get());
        tokio::pin!(waits);
        // Asked once: there is no room yet.
        tokio::select! {
            biased;
            wrote = &mut waits => panic!("{wrote:?}"),
            () = std::future::ready(()) => {}
        }
        late.set(true);
        let read = async {
            let (mut room, mut got) = (vec![0; 1024 * 1024], 0);
            while got < sent {
                got += theirs.read(&mut room).await.unwrap();
            }
            got
        };
        let (wrote, got) =
            timeout(WAIT_TIMEOUT, async { tokio::join!(waits, read) }).await.expect("there is room");
        assert!(wrote.is_none(), "{wrote:?}");
        assert_eq!(got, sent);
    });
}

/// A provider says something on a connection at rest, in the moment before the next call: the call goes elsewhere.
#[test]
fn a_connection_on_which_something_came_carries_no_other_call() {
    let said: [&[u8]; 3] = [b"H", b"HTTP/1.1 200 OK\r\n", OK];
    for words in said {
        run_test(async || {
            let (listener, addr) = provider().await;
            let mut test_bed = TestBed::open(vec![(1, addr)], json!({})).await;
            test_bed.submit("fee-debit", "first", 1, LONG).await;
            let mut reader = accept(&listener).await;
            call(&mut reader).await;
            let mut rests = reader.into_inner();
            rests.write_all(OK).await.unwrap();
            assert_eq!(test_bed.end(addr).await, "Delivered");
            rests.write_all(words).await.unwrap();
            test_bed.submit("fee-debit", "second", 1, LONG).await;
            let mut reader = accept(&listener).await;
            assert_eq!(call(&mut reader).await.header("x-correlation-id"), Some("second"));
            is_closed_unused(Reader::new(rests)).await;
            // Not the words on the other connection: this answer counts.
            let busy = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
            reader.into_inner().write_all(busy).await.unwrap();
            assert_eq!(test_bed.end(addr).await, "Full(0)");
        });
    }
}

/// An answer without a length lasts as long as its connection: what comes behind it is not the next call's answer.
#[test]
fn an_answer_without_a_length_ends_its_connection() {
    run_test(async || {
        let (listener, addr) = provider().await;
        let mut test_bed = TestBed::open(vec![(1, addr)], json!({})).await;
        test_bed.submit("fee-debit", "first", 1, LONG).await;
        let mut reader = accept(&listener).await;
        call(&mut reader).await;
        let mut stream = reader.into_inner();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        assert_eq!(test_bed.end(addr).await, "Delivered");
        is_closed_unused(Reader::new(stream)).await;
    });
}

/// The provider of a call resets its connection as the call is on it: what may be repeated is, with its key; what may
/// not is ended. A connection that had rested tells no more than a new one.
#[test]
fn a_call_whose_connection_is_reset_is_repeated_as_its_class_allows() {
    for rested in [false, true] {
        run_test(async || {
            let (listener, addr) = provider().await;
            let (other_listener, other) = provider().await;
            let mut test_bed = TestBed::open(vec![(1, addr), (2, other)], json!({})).await;
            let cases = [("paid-notice", 1, addr, &listener), ("fee-debit", 2, other, &other_listener)];
            for (class, dest, addr, listener) in cases {
                test_bed.submit(class, &format!("before-{dest}"), dest, LONG).await;
                let mut reader = accept(listener).await;
                call(&mut reader).await;
                let mut stream = reader.into_inner();
                let last: &[u8] = if rested { OK } else { b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" };
                stream.write_all(last).await.unwrap();
                assert_eq!(test_bed.end(addr).await, "Delivered");
                let id = format!("reset-{dest}");
                test_bed.submit(class, &id, dest, LONG).await;
                let mut reader = if rested { Reader::new(stream) } else { accept(listener).await };
                assert_eq!(call(&mut reader).await.header("x-correlation-id"), Some(id.as_str()));
                reader.into_inner().set_zero_linger().unwrap();
                assert_eq!(test_bed.end(addr).await, "Reset", "{class}");
                if class == "fee-debit" {
                    assert!(test_bed.notice(&id).await.contains("undeliverable"));
                    nothing_comes(listener).await;
                } else {
                    let mut reader = accept(listener).await;
                    assert_eq!(call(&mut reader).await.header("idempotency-key"), Some(id.as_str()));
                    reader.into_inner().write_all(OK).await.unwrap();
                    assert_eq!(test_bed.end(addr).await, "Delivered");
                }
            }
        });
    }
}

#[test]
fn what_rests_at_an_endpoint_that_went_is_closed() {
    for state in ["draining", "gone"] {
        run_test(async || {
            let (listener, addr) = provider().await;
            let mut test_bed = TestBed::open(vec![(1, addr)], json!({})).await;
            test_bed.submit("fee-debit", "m", 1, LONG).await;
            let mut reader = accept(&listener).await;
            call(&mut reader).await;
            let mut stream = reader.into_inner();
            stream.write_all(OK).await.unwrap();
            assert_eq!(test_bed.end(addr).await, "Delivered");
            test_bed.lists((1, addr), state).await;
            is_closed_unused(Reader::new(stream)).await;
        });
    }
}

/// The answer lies in the system as its message's time ends: by whose clock it came in time is not known here, and its
/// consumer would wait for ever if it did not.
#[test]
fn a_delivery_that_crosses_the_end_of_its_messages_time_is_followed_by_a_notice() {
    for class in ["fee-debit", "paid-notice"] {
        run_test(async || {
            let (listener, addr) = provider().await;
            let mut test_bed = TestBed::open(vec![(1, addr)], json!({})).await;
            let (begun, time) = (Instant::now(), Duration::from_secs(2));
            test_bed.submit(class, "crosses", 1, time).await;
            let mut reader = accept(&listener).await;
            call(&mut reader).await;
            test_bed.courier.suspend().unwrap();
            reader.into_inner().write_all(OK).await.unwrap();
            tokio::time::sleep_until((begun + time + Duration::from_millis(100)).into()).await;
            test_bed.courier.resume().unwrap();
            assert_eq!(test_bed.end(addr).await, "Delivered", "{class}");
            // Of whichever end came first, the module's or the courier's own.
            test_bed.notice("crosses").await;
        });
    }
}
