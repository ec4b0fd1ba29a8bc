//! What operators call, on sockets: each test causes one thing that they meet.

use quillmount_standins::client::{self, MessageRequest};
use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::endpoint::{self, EndpointScript};
use quillmount_standins::http::Reader;
use quillmount_standins::runtime::run_within;
use quillmount_standins::{Observation, ObservationKind, Observer, operator, platform};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// Only a broken program waits for so long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const LONG: Duration = Duration::from_secs(12);

/// One courier, and a provider for destination 7.
struct TestBed {
    courier: Courier,
    seen: mpsc::Receiver<Observation>,
    /// What discovery tells from here on.
    #[allow(dead_code)]
    list: watch::Sender<String>,
}

/// A test that has not ended after this time has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Plays a test on one thread.
fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    run_within(TEST_TIMEOUT, test);
}

async fn test_bed(script: EndpointScript) -> TestBed {
    stage_in(script, "").await
}

/// The same, in a folder whose name ends so.
async fn stage_in(script: EndpointScript, suffix: &str) -> TestBed {
    let (observer, seen) = Observer::channel();
    let (list, told) = watch::channel(String::new());
    let platform = platform::open(observer.clone(), told).await.unwrap();
    let provider = endpoint::open(observer, move |_| script.clone()).await.unwrap();
    let mut setup = Setup::new(env!("CARGO_BIN_EXE_quillmount"), platform, vec![(7, provider)]);
    setup.operators = true;
    TestBed { courier: Courier::start_in(setup, suffix).unwrap(), seen, list }
}

impl TestBed {
    fn operators(&self) -> SocketAddr {
        self.courier.operators.unwrap()
    }

    async fn call(&self, line: &str) -> String {
        operator::call(self.operators(), &[line.as_bytes(), b"\n"]).await.unwrap()
    }

    async fn submit(&self, id: &str) -> u16 {
        let message = MessageRequest::new("paid-notice", id, 7, LONG);
        client::submit(self.courier.addr, &message, b"body").await.unwrap().status()
    }

    /// Waits until this was seen of the message.
    async fn wait_for(&mut self, id: &str, wanted: impl Fn(&ObservationKind) -> bool) {
        loop {
            let seen = tokio::time::timeout(WAIT_TIMEOUT, self.seen.recv()).await;
            let Observation { id: of, what, .. } = seen.unwrap_or_else(|_| panic!("{id}: not seen")).unwrap();
            if of == id && wanted(&what) {
                return;
            }
        }
    }
}

impl TestBed {
    /// The calls that begin from here on, by message, until each of these has been answered.
    async fn calls_until_answered(&mut self, ids: &[&str]) -> BTreeMap<String, u32> {
        let (mut calls, mut left) = (BTreeMap::new(), ids.to_vec());
        while !left.is_empty() {
            let Observation { id, what, .. } = self.seen.recv().await.unwrap();
            match what {
                ObservationKind::CallBegan => *calls.entry(id).or_default() += 1,
                ObservationKind::Answered(_) => left.retain(|one| *one != id),
                _ => {}
            }
        }
        calls
    }
}

/// Asks on a connection that stays open whether the courier is ready; the status, and whether it closes.
async fn ready(on: &mut TcpStream) -> (u16, bool) {
    on.write_all(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n").await.unwrap();
    let mut reader = Reader::new(&mut *on);
    let head = reader.head().await.unwrap().expect("an answer");
    let closes = head.header("connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
    (head.status(), closes)
}

#[test]
fn silent_callers_and_bad_lines_keep_no_call_out() {
    run_test(|| async {
        let test_bed = test_bed(EndpointScript::default()).await;
        let mut silent = Vec::new();
        for n in 0..100 {
            let mut caller = TcpStream::connect(test_bed.operators()).await.unwrap();
            if n % 2 == 0 {
                // Room is made for others meanwhile.
                let _ = caller.write_all(b"DISABLE par").await;
            }
            silent.push(caller);
        }
        assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
        // The longest silent has made room, and the latest has time left.
        assert_eq!(silent[0].read(&mut [0; 9]).await.unwrap_or(0), 0);
        assert!(tokio::time::timeout(Duration::ZERO, silent[99].read(&mut [0; 9])).await.is_err());
        let pieces: Vec<&[u8]> = b"READY\r\n".chunks(1).collect();
        assert_eq!(operator::call(test_bed.operators(), &pieces).await.unwrap(), "SUCCESS ready\n");
        for bad in ["ready", "", "READY 1", "DRAIN now", "DISABLE", "ENABLE a b", "\u{7f}"] {
            let said = test_bed.call(bad).await;
            assert!(said.starts_with("FAILURE ") && said.ends_with('\n'), "{bad:?}: {said:?}");
        }
        let endless = vec![b'A'; 300_000];
        let said = operator::call(test_bed.operators(), &[&endless]).await;
        assert!(said.is_err() || said.is_ok_and(|said| said.starts_with("FAILURE ")));
        assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
    });
}

#[test]
fn a_drained_courier_says_no_and_answers_and_empties_and_serves_again() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::default()).await;
        let mut rests = TcpStream::connect(test_bed.courier.addr).await.unwrap();
        let mut asks = TcpStream::connect(test_bed.courier.addr).await.unwrap();
        assert_eq!(ready(&mut rests).await, (200, false));
        assert_eq!(ready(&mut asks).await, (200, false));
        assert!(test_bed.call("UNDRAIN").await.starts_with("SUCCESS"));
        assert!(test_bed.call("DRAIN").await.starts_with("SUCCESS"));
        assert!(test_bed.call("DRAIN").await.starts_with("SUCCESS"));
        // The no is its last answer on that connection; the one that rests is closed with no word.
        assert_eq!(ready(&mut asks).await, (503, true));
        assert_eq!(rests.read(&mut [0; 9]).await.unwrap(), 0);
        // What the front still deals out is taken on and delivered.
        assert_eq!(test_bed.submit("late").await, 202);
        test_bed.wait_for("late", |what| *what == ObservationKind::Answered("200 OK".into())).await;
        assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
        assert!(test_bed.call("UNDRAIN").await.starts_with("SUCCESS"));
        let mut again = TcpStream::connect(test_bed.courier.addr).await.unwrap();
        assert_eq!(ready(&mut again).await, (200, false));
        assert_eq!(ready(&mut again).await, (200, false));
        // A drain is no stop, and a stop is one while drained.
        assert!(test_bed.call("DRAIN").await.starts_with("SUCCESS"));
        test_bed.courier.send_sigterm().unwrap();
        assert!(test_bed.courier.wait_for_exit().await.unwrap().success());
    });
}

/// A consumer's connection that stays open: hands in one message, and reads the answer.
async fn hand_in_on(on: &mut TcpStream, id: &str) -> u16 {
    let message = MessageRequest::new("paid-notice", id, 7, LONG);
    let mut with = message.clone();
    with.headers += "Content-Length: 4\r\n";
    on.write_all(&[with.head().as_bytes(), b"body"].concat()).await.unwrap();
    Reader::new(&mut *on).head().await.unwrap().expect("an answer").status()
}

#[test]
fn an_upgrade_goes_on_in_the_middle_of_calls_and_requests() {
    run_test(|| async {
        let delay = Duration::from_millis(700);
        let mut test_bed = test_bed(EndpointScript { delay, ..EndpointScript::default() }).await;
        let mut rests = TcpStream::connect(test_bed.courier.addr).await.unwrap();
        assert_eq!(hand_in_on(&mut rests, "before").await, 202);
        test_bed.wait_for("before", |what| matches!(what, ObservationKind::Body { .. })).await;
        // Two requests that have come in part: within the head, and within the body.
        let mut with = MessageRequest::new("paid-notice", "in-head", 7, LONG);
        with.headers += "Content-Length: 4\r\n";
        let (head, mut in_head) = (with.head(), TcpStream::connect(test_bed.courier.addr).await.unwrap());
        in_head.write_all(&head.as_bytes()[..40]).await.unwrap();
        with.id = "in-body".into();
        let mut in_body = TcpStream::connect(test_bed.courier.addr).await.unwrap();
        in_body.write_all(&[with.head().as_bytes(), b"bo"].concat()).await.unwrap();
        // The courier has read as far as that.
        assert_eq!(ready(&mut rests).await.0, 200);
        let mut old = test_bed.courier.upgrade().unwrap();
        assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
        assert_eq!(hand_in_on(&mut rests, "after").await, 202, "its connection is still open");
        in_head.write_all(&[&head.as_bytes()[40..], b"body"].concat()).await.unwrap();
        assert_eq!(Reader::new(&mut in_head).head().await.unwrap().unwrap().status(), 202);
        in_body.write_all(b"dy").await.unwrap();
        assert_eq!(Reader::new(&mut in_body).head().await.unwrap().unwrap().status(), 202);
        // The old process passes on what operators still tell it, and ends when it is told to.
        let said = operator::call(old.operators.unwrap(), &[b"DRAIN\n"]).await.unwrap();
        assert!(said.starts_with("SUCCESS"), "{said}");
        assert_eq!(ready(&mut rests).await, (503, true));
        old.send_sigterm().unwrap();
        assert!(old.wait_for_exit().await.unwrap().success());
        // The call that was out when the process changed was not made again: its one answer counts.
        let calls = test_bed.calls_until_answered(&["before", "after", "in-head", "in-body"]).await;
        assert_eq!(calls, [("after".into(), 1), ("in-body".into(), 1), ("in-head".into(), 1)].into());
        test_bed.courier.kill_and_restart().unwrap();
        assert_eq!(test_bed.submit("before").await, 200, "the journal has its delivery");
    });
}

#[test]
fn a_second_upgrade_follows_the_first() {
    run_test(|| async {
        // Its folder's name is longer than a socket's may be.
        let mut test_bed = stage_in(EndpointScript::silent(), &"-long".repeat(24)).await;
        let mut rests = TcpStream::connect(test_bed.courier.addr).await.unwrap();
        assert_eq!(hand_in_on(&mut rests, "out").await, 202);
        test_bed.wait_for("out", |what| matches!(what, ObservationKind::Body { .. })).await;
        let first = test_bed.courier.upgrade().unwrap();
        let second = test_bed.courier.upgrade().unwrap();
        drop((first, second));
        assert_eq!(ready(&mut rests).await, (200, false));
        // Killed in the middle of the call, the next one takes up the journal as ever.
        test_bed.courier.kill_and_restart().unwrap();
        assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
    });
}

#[test]
fn a_socket_without_a_process_and_a_folder_of_before_are_no_hindrance() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::default()).await;
        assert_eq!(test_bed.submit("a").await, 202);
        // Until the courier has read its answer too.
        while test_bed.submit("a").await != 200 {}
        // The kill leaves the socket's file; the version before had neither file.
        test_bed.courier.kill_and_restart().unwrap();
        assert_eq!(test_bed.submit("a").await, 200);
        // Who serves listens for the next process too.
        assert!(test_bed.courier.folder.join("state/handover").exists());
        test_bed.courier.send_sigterm().unwrap();
        assert!(test_bed.courier.wait_for_exit().await.unwrap().success());
        for file in ["handover", "lock"] {
            std::fs::remove_file(test_bed.courier.folder.join("state").join(file)).unwrap();
        }
        test_bed.courier.kill_and_restart().unwrap();
        assert_eq!(test_bed.submit("a").await, 200);
    });
}

/// A process that wants to take over, and has asked.
fn asks(test_bed: &TestBed) -> std::os::unix::net::UnixStream {
    use std::io::{Read, Write};
    let path = test_bed.courier.folder.join("state/handover");
    let mut taker = std::os::unix::net::UnixStream::connect(path).unwrap();
    taker.write_all(b"qmh\x00\x00\x03").unwrap();
    taker.write_all(&[1, 0, 0, 0, 0]).unwrap();
    let mut hello = [0; 6];
    taker.read_exact(&mut hello).unwrap();
    assert_eq!(&hello, b"qmh\x00\x00\x03");
    taker
}

/// A taker that says nothing once all has come: the holder goes on with every connection and call.
#[test]
fn a_handover_that_is_not_confirmed_is_taken_back() {
    use std::io::Read;
    run_test(|| async {
        let mut test_bed =
            test_bed(EndpointScript { delay: Duration::from_millis(900), ..EndpointScript::default() }).await;
        let mut rests = TcpStream::connect(test_bed.courier.addr).await.unwrap();
        assert_eq!(hand_in_on(&mut rests, "out").await, 202);
        test_bed.wait_for("out", |what| matches!(what, ObservationKind::Body { .. })).await;
        for says in [0, 1] {
            let mut taker = asks(&test_bed);
            if says == 0 {
                // It dies at the first bytes of what comes; the other time it is silent.
                taker.read_exact(&mut [0]).unwrap();
                drop(taker);
            } else {
                taker.read_to_end(&mut Vec::new()).unwrap();
            }
            assert_eq!(ready(&mut rests).await, (200, false), "the connection goes on");
        }
        assert_eq!(hand_in_on(&mut rests, "after").await, 202);
        let calls = test_bed.calls_until_answered(&["out", "after"]).await;
        assert_eq!(calls, [("after".into(), 1)].into(), "the call that was out is not made again");
        assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
    });
}

#[test]
fn a_process_that_hangs_is_ended_and_its_journal_taken_up() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::silent()).await;
        assert_eq!(test_bed.submit("owed").await, 202);
        test_bed.wait_for("owed", |what| matches!(what, ObservationKind::Body { .. })).await;
        test_bed.courier.suspend_nowait().unwrap();
        let mut old = test_bed.courier.upgrade().unwrap();
        assert!(!old.wait_for_exit().await.unwrap().success());
        assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
        // It is owed still, and its call is one that may have run: within its key's span it is made again.
        test_bed.wait_for("owed", |what| *what == ObservationKind::CallBegan).await;
    });
}

#[test]
fn an_endpoint_is_out_from_the_yes_on_over_an_upgrade_and_a_kill_until_it_is_put_back() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::default()).await;
        let id = test_bed.courier.endpoint_ids().remove(0);
        assert!(test_bed.call("DISABLE nobody").await.starts_with("FAILURE no endpoint"));
        assert!(test_bed.call("ENABLE nobody").await.starts_with("FAILURE no endpoint"));
        assert!(test_bed.call(&format!("DISABLE {id}")).await.starts_with("SUCCESS"));
        assert_eq!(test_bed.submit("held").await, 202);
        let old = test_bed.courier.upgrade().unwrap();
        drop(old);
        assert_eq!(test_bed.submit("held-2").await, 202);
        test_bed.courier.kill_and_restart().unwrap();
        assert_eq!(test_bed.submit("held-3").await, 202);
        assert!(test_bed.call(&format!("DISABLE {id}")).await.starts_with("SUCCESS"));
        while let Ok(seen) = test_bed.seen.try_recv() {
            assert_ne!(seen.what, ObservationKind::CallBegan, "{}", seen.id);
        }
        assert!(test_bed.call(&format!("ENABLE {id}")).await.starts_with("SUCCESS"));
        let calls = test_bed.calls_until_answered(&["held", "held-2", "held-3"]).await;
        assert_eq!(calls.len(), 3);
    });
}

/// A process that has handed over forwards operators' calls for ten seconds, unless it is asked to end: by either signal.
#[test]
fn a_process_that_has_handed_over_ends_at_once_when_it_is_asked_to() {
    for interrupts in [false, true] {
        run_test(|| async {
            let mut test_bed = test_bed(EndpointScript::default()).await;
            let mut old = test_bed.courier.upgrade().unwrap();
            assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
            let asked_at = Instant::now();
            match interrupts {
                true => old.send_sigint().unwrap(),
                false => old.send_sigterm().unwrap(),
            }
            assert!(old.wait_for_exit().await.unwrap().success());
            let took = asked_at.elapsed();
            assert!(took < Duration::from_secs(5), "SIGINT: {interrupts}; it ended after {took:?}");
        });
    }
}

/// SIGTERM came before anybody asked: the next process waits for the lock, and reads the journal.
#[test]
fn a_process_that_is_stopping_hands_nothing_over_and_the_next_restores() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::silent()).await;
        assert_eq!(test_bed.submit("owed").await, 202);
        test_bed.wait_for("owed", |what| matches!(what, ObservationKind::Body { .. })).await;
        test_bed.courier.send_sigterm().unwrap();
        let mut old = test_bed.courier.upgrade().unwrap();
        assert!(old.wait_for_exit().await.unwrap().success());
        assert_eq!(test_bed.call("READY").await, "SUCCESS ready\n");
        test_bed.wait_for("owed", |what| *what == ObservationKind::CallBegan).await;
    });
}

/// SIGTERM comes while another process takes all over: who holds the lock in the end stops as planned, and who has let
/// go ends at once. Without an answer of the taker in time it is the first of the two, so that case is tried until the
/// signal has come in between.
#[test]
fn a_stop_in_the_middle_of_a_handover_waits_for_who_decides_then() {
    use std::io::{Read, Write};
    for confirms in [false, true] {
        run_test(|| async {
            let (mut test_bed, mut taker) = loop {
                let test_bed = test_bed(EndpointScript::silent()).await;
                assert_eq!(test_bed.submit("owed").await, 202);
                let taker = asks(&test_bed);
                test_bed.courier.send_sigterm().unwrap();
                let mut lines = std::iter::from_fn(|| test_bed.courier.log.recv_timeout(WAIT_TIMEOUT).ok());
                let decides = |line: &String| line.contains("stop requested") || line.contains("stopping");
                if lines.find(decides).unwrap().contains("stop requested") {
                    break (test_bed, taker);
                }
            };
            if confirms {
                taker.write_all(&[1, 0, 0, 0, 5]).unwrap();
                taker.read_to_end(&mut Vec::new()).unwrap();
            }
            drop(taker);
            assert!(test_bed.courier.wait_for_exit().await.unwrap().success());
            let lines: Vec<String> = test_bed.courier.log.iter().collect();
            let at = |word: &str| lines.iter().position(|line| line.contains(word));
            let (back, stops) = (at("not handed over"), at("stopping; "));
            let ends = at("stopped; another process has taken over");
            match confirms {
                true => assert!(back.is_none() && stops.is_none() && ends.is_some(), "{lines:?}"),
                false => assert!(back.is_some() && back < stops && ends.is_none(), "{lines:?}"),
            }
            // Either way the journal has what is owed.
            test_bed.courier.kill_and_restart().unwrap();
            test_bed.wait_for("owed", |what| *what == ObservationKind::CallBegan).await;
        });
    }
}
