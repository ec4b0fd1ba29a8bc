//! Restarts and hand-overs on sockets, and folders and files of another customer: each test forces one moment.

use bytes::Bytes;
use quillmount_core::journal::{AcceptedMessage, JournalRecord, frame};
use quillmount_standins::client::{self, MessageRequest};
use quillmount_standins::courier::{Courier, PreviousProcess, Setup};
use quillmount_standins::endpoint::{self, EndpointScript};
use quillmount_standins::runtime::run_within;
use quillmount_standins::{Observation, ObservationKind, Observer, platform};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::TryLockError;
use std::future::Future;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, watch};

/// Only a broken program waits for so long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const LONG: Duration = Duration::from_secs(12);

/// One courier, and a provider for destination 7.
struct TestBed {
    courier: Courier,
    seen: mpsc::Receiver<Observation>,
    #[allow(dead_code)]
    list: watch::Sender<String>,
    #[allow(dead_code)]
    down: watch::Sender<bool>,
}

/// A test that has not ended after this time has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Plays a test on one thread.
fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    run_within(TEST_TIMEOUT, test);
}

/// `down`: discovery is silent from the start.
async fn test_bed(script: EndpointScript, down: bool, set: impl FnOnce(&mut Setup)) -> TestBed {
    let (observer, seen) = Observer::channel();
    let (list, told) = watch::channel(String::new());
    let (down, is_down) = watch::channel(down);
    let platform = platform::open_with(observer.clone(), told, is_down).await.unwrap();
    let provider = endpoint::open(observer, move |_| script.clone()).await.unwrap();
    let mut setup = Setup::new(env!("CARGO_BIN_EXE_quillmount"), platform, vec![(7, provider)]);
    set(&mut setup);
    TestBed { courier: Courier::start(setup).unwrap(), seen, list, down }
}

impl TestBed {
    async fn submit(&self, class: &str, id: &str) -> u16 {
        let message = MessageRequest::new(class, id, 7, LONG);
        client::submit(self.courier.addr, &message, b"body").await.unwrap().status()
    }

    async fn next(&mut self) -> Observation {
        tokio::time::timeout(WAIT_TIMEOUT, self.seen.recv()).await.expect("nothing more is seen").unwrap()
    }

    /// Waits until each of these is delivered or told of, and counts the calls of each; how many were told of.
    async fn ends(
        &mut self,
        ids: impl IntoIterator<Item = String>,
        calls: &mut BTreeMap<String, u32>,
    ) -> u32 {
        let mut left: BTreeSet<String> = ids.into_iter().collect();
        let mut told = 0;
        while !left.is_empty() {
            let Observation { id, what, .. } = self.next().await;
            match what {
                ObservationKind::CallBegan => *calls.entry(id).or_default() += 1,
                ObservationKind::Answered(_) => drop(left.remove(&id)),
                ObservationKind::Notice(_) => {
                    told += 1;
                    left.remove(&id);
                }
                _ => {}
            }
        }
        told
    }
}

/// Waits for a line of the log with these words.
async fn logged(log: &Receiver<String>, words: &str) -> String {
    let by = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < by {
        match log.try_recv() {
            Ok(line) if line.contains(words) => return line,
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
    panic!("not logged: {words}");
}

/// A SIGHUP with the file of another courier or customer changes nothing; with this courier's own, other figures in it do
/// not matter.
#[test]
fn a_file_of_another_customer_moves_nothing() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::default(), false, |_| {}).await;
        let (observer, mut seen) = Observer::channel();
        let (_list, told) = watch::channel(String::new());
        let elsewhere = platform::open(observer, told).await.unwrap();
        let own: Value =
            serde_json::from_slice(&std::fs::read(test_bed.courier.folder.join("config.json")).unwrap())
                .unwrap();
        let others: [(&str, Value); 7] = [
            ("/name", json!("n9")),
            ("/settings/me", json!(5)),
            ("/settings/categories/0/name", json!("levy")),
            ("/settings/categories/0/effect", json!("retryable")),
            ("/settings/categories", json!([])),
            ("/settings/tenants", json!([{"name": "t", "allowance_per_s": 1.0}])),
            ("/settings/skus", json!(["post"])),
        ];
        for (place, value) in others {
            test_bed
                .courier
                .configure(|file| {
                    *file = own.clone();
                    file["discovery"] = elsewhere.to_string().into();
                    match file.pointer_mut(place) {
                        Some(found) => *found = value,
                        None => file["settings"]["tenants"] = value,
                    }
                })
                .unwrap();
            test_bed.courier.send_sighup().unwrap();
            let line = logged(&test_bed.courier.log, "configuration: ").await;
            assert!(
                line.contains("not read again") && line.contains("put this courier's own file"),
                "{place}: {line}"
            );
        }
        // Notices go where they went, and nobody has called elsewhere.
        assert_eq!(test_bed.submit("paid-notice", "m").await, 202);
        test_bed.ends(["m".to_string()], &mut BTreeMap::new()).await;
        assert!(seen.try_recv().is_err());
        test_bed
            .courier
            .configure(|file| {
                *file = own.clone();
                file["discovery"] = elsewhere.to_string().into();
                file["settings"]["rules"]["cold_ms"] = 100.into();
                file["settings"]["categories"].as_array_mut().unwrap().reverse();
            })
            .unwrap();
        test_bed.courier.send_sighup().unwrap();
        let line = logged(&test_bed.courier.log, "configuration: ").await;
        assert!(line.contains("read again; discovery at"), "{line}");
        let seen = tokio::time::timeout(WAIT_TIMEOUT, seen.recv()).await.unwrap().unwrap();
        assert_eq!(seen.what, ObservationKind::Watched);
    });
}

/// Killed with calls out, and started again with one class gone and the other in its place.
#[test]
fn a_folder_under_other_settings_goes_by_names_and_says_what_it_ended() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::silent(), false, |_| {}).await;
        for (class, id) in [("fee-debit", "debit"), ("paid-notice", "notice")] {
            assert_eq!(test_bed.submit(class, id).await, 202);
        }
        let mut begun = BTreeSet::new();
        while begun.len() < 2 {
            let Observation { id, what, .. } = test_bed.next().await;
            begun.extend((what == ObservationKind::CallBegan).then_some(id));
        }
        let renamed = |file: &mut Value| {
            let classes = file["settings"]["categories"].as_array_mut().unwrap();
            classes.reverse();
            classes[1]["name"] = "levy".into();
        };
        test_bed.courier.configure(renamed).unwrap();
        test_bed.courier.kill_and_restart().unwrap();
        let line = logged(&test_bed.courier.log, "the settings lack its class").await;
        assert!(
            line.contains("ERROR") && line.contains("\"debit\"") && line.contains("\"fee-debit\""),
            "{line}"
        );
        // The one is called again by its name, the other told of.
        let (mut again, mut told) = (0, String::new());
        while again == 0 || told.is_empty() {
            let Observation { id, what, .. } = test_bed.next().await;
            match what {
                ObservationKind::CallBegan => {
                    assert_eq!(id, "notice");
                    again += 1;
                }
                ObservationKind::Notice(line) => {
                    assert_eq!(id, "debit");
                    told = line;
                }
                _ => {}
            }
        }
        assert!(told.contains("undeliverable"), "{told}");
        assert_eq!(test_bed.submit("fee-debit", "more").await, 404);
    });
}

/// The new process is told to end while the old one, which hangs for a moment, has not answered it.
#[test]
fn a_new_process_told_to_end_before_it_holds_anything_leaves_all_where_it_is() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::default(), false, |_| {}).await;
        // It answers, so it listens for the next process too.
        assert_eq!(test_bed.submit("paid-notice", "first").await, 202);
        test_bed.ends(["first".to_string()], &mut BTreeMap::new()).await;
        test_bed.courier.suspend_nowait().unwrap();
        let mut next = test_bed.courier.spawn_another().unwrap();
        logged(&next.log, "upgrade: asking process").await;
        next.send_sigterm().unwrap();
        assert!(next.wait_for_exit().await.unwrap().success());
        test_bed.courier.resume().unwrap();
        assert_eq!(test_bed.submit("paid-notice", "m").await, 202);
        test_bed.ends(["m".to_string()], &mut BTreeMap::new()).await;
    });
}

/// Another process at the old one's socket, as far as it is to come.
struct HandoverReceiver(UnixStream);

impl HandoverReceiver {
    async fn open(test_bed: &TestBed) -> HandoverReceiver {
        HandoverReceiver(UnixStream::connect(test_bed.courier.folder.join("state/handover")).await.unwrap())
    }

    /// Says the version that it hears.
    async fn greet(&mut self) {
        let mut version = [0; 6];
        self.0.read_exact(&mut version).await.unwrap();
        self.0.write_all(&version).await.unwrap();
    }

    /// One frame of one byte: the word's number.
    async fn say(&mut self, word: u8) {
        self.0.write_all(&[1, 0, 0, 0, word]).await.unwrap();
    }

    /// The number of the word that it hears, and how long its frame is.
    async fn read_answer(&mut self) -> (u8, u32) {
        let mut head = [0; 5];
        self.0.read_exact(&mut head).await.unwrap();
        (head[4], u32::from_le_bytes([head[0], head[1], head[2], head[3]]))
    }
}

/// Words between two processes, by number.
const ASK: u8 = 0;
const BUSY: u8 = 3;
const STATE: u8 = 4;
const GOT: u8 = 5;

/// The old process has ended, and the new one has not heard yet that the folder is its own: a third that looks for the
/// lock just then must not find it free, or what was handed over is of no use.
#[test]
fn the_folder_is_nobody_elses_while_the_word_that_it_was_let_go_is_on_its_way() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::default(), false, |_| {}).await;
        assert_eq!(test_bed.submit("paid-notice", "m").await, 202);
        test_bed.ends(["m".to_string()], &mut BTreeMap::new()).await;
        let mut taker = HandoverReceiver::open(&test_bed).await;
        taker.greet().await;
        taker.say(ASK).await;
        assert_eq!(taker.read_answer().await.0, STATE);
        taker.say(GOT).await;
        assert!(test_bed.courier.wait_for_exit().await.unwrap().success());
        let lock = std::fs::File::open(test_bed.courier.folder.join("state/lock")).unwrap();
        assert!(matches!(lock.try_lock(), Err(TryLockError::WouldBlock)));
        // The new one dies before it has read the word: nobody holds the folder.
        drop(taker);
        while lock.try_lock().is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreaksOff {
    Reached,
    Greeted,
    Asked,
    HasState,
    Silent,
    Rubbish,
}

/// The process that takes over dies, falls silent or says rubbish at each step, and the old one is told to end, to read its
/// configuration again, or is asked by a third just then: it goes on with all that was out, and gives nobody two answers.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn a_handover_that_breaks_off_at_any_step_is_taken_back_whole() {
    use BreaksOff::*;
    run_test(|| async {
        for (step, signal) in [Reached, Greeted, Asked, HasState, Silent, Rubbish]
            .into_iter()
            .flat_map(|step| ["none", "TERM", "HUP"].map(|signal| (step, signal)))
        {
            let what = format!("{step:?}-{signal}");
            let slow = EndpointScript { delay: Duration::from_millis(400), ..EndpointScript::default() };
            let mut test_bed = test_bed(slow, false, |_| {}).await;
            let ids = ["fee-debit", "paid-notice"].map(|class| (class, format!("{what}-{class}")));
            for (class, id) in &ids {
                assert_eq!(test_bed.submit(class, id).await, 202, "{what}");
            }
            let mut calls = BTreeMap::new();
            while calls.len() < 2 {
                let Observation { id, what, .. } = test_bed.next().await;
                if what == ObservationKind::CallBegan {
                    *calls.entry(id).or_default() += 1;
                }
            }
            let mut taker = HandoverReceiver::open(&test_bed).await;
            if step != Reached {
                taker.greet().await;
            }
            if ![Reached, Greeted].contains(&step) {
                taker.say(ASK).await;
            }
            let frozen = [HasState, Silent, Rubbish].contains(&step);
            if frozen {
                assert_eq!(taker.read_answer().await.0, STATE, "{what}");
                let mut third = HandoverReceiver::open(&test_bed).await;
                third.greet().await;
                third.say(ASK).await;
                assert_eq!(third.read_answer().await, (BUSY, 1), "{what}: it serves another");
            }
            match signal {
                "TERM" => test_bed.courier.send_sigterm().unwrap(),
                "HUP" => test_bed.courier.send_sighup().unwrap(),
                _ => {}
            }
            match step {
                Rubbish => taker.say(99).await,
                Silent => {}
                _ => drop(taker.0.shutdown().await),
            }
            if step != Silent {
                drop(taker);
            }
            let told = test_bed.ends(ids.iter().map(|(_, id)| id.clone()), &mut calls).await;
            assert_eq!(
                (told, calls.values().max()),
                (0, Some(&1)),
                "{what}: each call came to its end, once"
            );
            if signal == "TERM" {
                assert!(test_bed.courier.wait_for_exit().await.unwrap().success(), "{what}");
            } else {
                assert_eq!(test_bed.submit("paid-notice", "later").await, 202, "{what}");
                test_bed.ends(["later".to_string()], &mut calls).await;
                // The next one gets all.
                let next = test_bed.courier.spawn_another().unwrap();
                assert!(test_bed.courier.wait_for_exit().await.unwrap().success(), "{what}");
                logged(&next.log, "parts received").await;
            }
        }
    });
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    TermOld,
    TermNew,
    HangUpOld,
    HangUpNew,
    KillOld,
    KillNew,
    KillBoth,
    /// A third process begins too.
    Third,
}

/// A signal, a kill or a third process in the milliseconds of a hand-over. Afterwards one more process begins: whoever
/// holds the folder by then, or the journal, gives it all; no message is lost, and no debit called twice.
async fn struck(strike: Fault) {
    for after in [0, 5, 15, 40] {
        let slow = EndpointScript { delay: Duration::from_millis(120), ..EndpointScript::default() };
        let mut test_bed = test_bed(slow, false, |_| {}).await;
        let ids: Vec<String> = (0..6).map(|n| format!("{strike:?}-{after}-{n}")).collect();
        for (n, id) in ids.iter().enumerate() {
            let class = if n % 2 == 0 { "fee-debit" } else { "paid-notice" };
            assert_eq!(test_bed.submit(class, id).await, 202, "{id}");
        }
        let mut next = test_bed.courier.spawn_another().unwrap();
        // No event tells of the steps of a hand-over: each of these lengths falls into another.
        tokio::time::sleep(Duration::from_millis(after)).await;
        let mut third: Option<PreviousProcess> = None;
        // Where one has ended by itself there is nobody to signal.
        let _ = match strike {
            Fault::TermOld => test_bed.courier.send_sigterm(),
            Fault::TermNew => next.send_sigterm(),
            Fault::HangUpOld => test_bed.courier.send_sighup(),
            Fault::HangUpNew => next.send_sighup(),
            Fault::KillOld => test_bed.courier.kill(),
            Fault::KillNew => next.kill(),
            Fault::KillBoth => test_bed.courier.kill().and(next.kill()),
            Fault::Third => test_bed.courier.spawn_another().map(|begun| third = Some(begun)),
        };
        let last = test_bed.courier.spawn_another().unwrap();
        let line = logged(&last.log, "serving on ").await;
        let addr = line.split_once("serving on ").unwrap().1.split(';').next().unwrap();
        test_bed.courier.addr = addr.parse().unwrap();
        let mut calls = BTreeMap::new();
        let told = test_bed.ends(ids.clone(), &mut calls).await;
        // Where nobody was killed who decided, each call came to its end.
        let whole = match strike {
            Fault::KillOld | Fault::KillBoth => false,
            Fault::KillNew => last.log.try_iter().any(|line| line.contains("parts received")),
            _ => true,
        };
        assert!(told == 0 || !whole, "{strike:?} after {after} ms: {told} were given up");
        let twice: Vec<_> =
            ids.iter().step_by(2).filter(|id| calls.get(*id).is_some_and(|n| *n > 1)).collect();
        assert_eq!(twice, Vec::<&String>::new(), "{strike:?} after {after} ms: a debit was called twice");
        let id = format!("{strike:?}-{after}-last");
        assert_eq!(test_bed.submit("paid-notice", &id).await, 202, "{id}");
        test_bed.ends([id], &mut calls).await;
        drop((last, next, third));
    }
}

#[test]
fn sigterm_in_a_handover_loses_nothing() {
    run_test(|| async {
        struck(Fault::TermOld).await;
        struck(Fault::TermNew).await;
    });
}

#[test]
fn sighup_in_a_handover_loses_nothing() {
    run_test(|| async {
        struck(Fault::HangUpOld).await;
        struck(Fault::HangUpNew).await;
    });
}

#[test]
fn a_kill_of_either_or_both_in_a_handover_loses_nothing() {
    run_test(|| async {
        struck(Fault::KillOld).await;
        struck(Fault::KillNew).await;
        struck(Fault::KillBoth).await;
    });
}

#[test]
fn three_processes_that_want_one_folder_lose_nothing() {
    run_test(|| struck(Fault::Third));
}

/// A journal as full as its share of the disk lets it be, and discovery that says nothing: ready within the time that nine
/// in ten have, and what is owed is tried.
#[test]
fn a_full_journal_and_a_silent_discovery_keep_no_restart_from_being_ready() {
    run_test(|| async {
        let mut test_bed = test_bed(EndpointScript::default(), true, |setup| setup.open_cap = 5_000).await;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
        let mut bytes = Vec::new();
        let mut owed = 0;
        while bytes.len() < 1_400_000 {
            let (id, body) = (format!("m{owed}"), Bytes::from(vec![b'x'; 500]));
            let (class, dest, deadline) = ("paid-notice".to_string(), 7, now + 60_000_000);
            let message = AcceptedMessage { id, class, key: None, dest, deadline, body };
            bytes.extend(frame(&JournalRecord::Accept { msg: owed, message }).unwrap());
            owed += 1;
        }
        test_bed.courier.kill().unwrap();
        std::fs::write(test_bed.courier.folder.join("state/journal"), &bytes).unwrap();
        let begun = Instant::now();
        test_bed.courier.kill_and_restart().unwrap();
        let (status, _) = client::get(test_bed.courier.addr, "/-/ready").await.unwrap();
        let took = begun.elapsed();
        println!("{owed} invocations: ready after {took:?}");
        assert_eq!(status, 200);
        assert!(took < Duration::from_secs(10), "{took:?}");
        let mut called = BTreeSet::new();
        while called.len() < 100 {
            let Observation { id, what, .. } = test_bed.next().await;
            assert!(!matches!(what, ObservationKind::Notice(_)), "{id} was given up");
            called.extend((what == ObservationKind::CallBegan).then_some(id));
        }
    });
}
