//! The watch on discovery, on sockets: whatever became of a question, the courier asks anew in time, and has what it
//! missed.

use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::gate::AcceptMode;
use quillmount_standins::platform::{DiscoveryRequest, ManualDiscovery};
use quillmount_standins::{Observation, ObservationKind, Observer, platform};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Only a broken program waits for so long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// What a silent watch misses counts as told so long after it fell silent.
const TOLD: Duration = Duration::from_secs(6);
/// Within which the example's settings have a drain heeded, with the protocol's slack.
const HEED: Duration = Duration::from_millis(550);
/// An empty line is due so often.
const BEAT: Duration = Duration::from_secs(2);

fn run(run_test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, run_test);
}

/// When discovery was asked the next time.
async fn asked(seen: &mut mpsc::Receiver<Observation>) -> Instant {
    loop {
        let seen = timeout(WAIT_TIMEOUT, seen.recv()).await.expect("discovery is asked").unwrap();
        if seen.what == ObservationKind::Watched {
            return seen.at;
        }
    }
}

fn version(n: u64) -> String {
    let accept_mode = r#"{"id":"new","addr":"127.0.0.1:9","cell":7,"state":"draining"}"#;
    // Indented, as lists may be.
    format!("{{\n  \"version\": {n},\n  \"full\": false,\n  \"servers\": [\n    {accept_mode}\n  ]\n}}")
}

/// The same on one line.
fn line(n: u64) -> String {
    version(n).replace('\n', "") + "\n"
}

/// Waits until the courier's log has a line with these words; the platform goes on meanwhile.
async fn logged(courier: &Courier, words: &str) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !courier.log.try_iter().any(|line| line.contains(words)) {
        assert!(Instant::now() < until, "not in the log: {words}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until the courier has taken on this version.
async fn listed(courier: &Courier, n: u64) {
    logged(courier, &format!("discovery: version {n} with")).await;
}

async fn run_test() {
    let (observer, mut seen) = Observer::channel();
    let (list, told) = watch::channel(version(2));
    let (down, is_down) = watch::channel(false);
    let platform = platform::open_with(observer, told, is_down).await.unwrap();
    let courier = Courier::start(Setup::new(env!("CARGO_BIN_EXE_quillmount"), platform, Vec::new())).unwrap();
    asked(&mut seen).await;
    listed(&courier, 2).await;

    let silent = Instant::now();
    down.send(true).unwrap();
    let anew = asked(&mut seen).await;
    // It waits for the line that is due.
    assert!(anew - silent > Duration::from_millis(400) && anew - silent < TOLD - HEED, "{:?}", anew - silent);
    // What is not answered is asked again, and a change that the agent has after the outage is heeded.
    let again = asked(&mut seen).await;
    assert!(again - anew < HEED, "{:?}", again - anew);
    list.send(version(3)).unwrap();
    down.send(false).unwrap();
    let back = Instant::now();
    listed(&courier, 3).await;
    assert!(back.elapsed() < HEED, "{:?}", back.elapsed());
}

#[test]
fn a_watch_that_falls_silent_is_requested_again_until_discovery_is_back() {
    run(run_test());
}

/// A discovery by hand, and a courier that watches it and has version 2 from there.
struct TestBed {
    hand: ManualDiscovery,
    courier: Courier,
    /// The question that was answered, and is followed.
    followed: DiscoveryRequest,
}

async fn next(hand: &mut ManualDiscovery) -> DiscoveryRequest {
    timeout(WAIT_TIMEOUT, hand.next_request()).await.expect("discovery is asked").unwrap()
}

/// Answers with a version, and leaves the watch open.
async fn answer(asked: &mut DiscoveryRequest, n: u64) {
    asked.head().await.unwrap();
    asked.send_chunk(&version(n)).await.unwrap();
}

impl TestBed {
    async fn open() -> TestBed {
        TestBed::of_fleet(1).await
    }

    /// It is one of so many, which are told of changes unasked.
    async fn of_fleet(couriers: u32) -> TestBed {
        let mut hand = ManualDiscovery::open().await.unwrap();
        let mut setup = Setup::new(env!("CARGO_BIN_EXE_quillmount"), hand.addr, Vec::new());
        setup.config = json!({"settings": {"siblings": couriers, "discovery": "automatic"}});
        let courier = Courier::start(setup).unwrap();
        let mut followed = next(&mut hand).await;
        answer(&mut followed, 2).await;
        listed(&courier, 2).await;
        TestBed { hand, courier, followed }
    }
}

/// Discovery has this version and can be reached again, from now on: each question is answered with it.
async fn is_back(hand: &mut ManualDiscovery, courier: &Courier, n: u64) {
    let back = Instant::now();
    let answers = async {
        let mut held = Vec::new();
        loop {
            let mut asked = next(hand).await;
            assert!(asked.after < n, "asked after {}", asked.after);
            // What was given up meanwhile is closed.
            let _ = asked.head().await;
            let _ = asked.send_chunk(&version(n)).await;
            held.push(asked);
        }
    };
    tokio::select! {
        () = answers => {}
        () = listed(courier, n) => {}
    }
    assert!(back.elapsed() < TOLD - HEED, "{:?}", back.elapsed());
}

/// SIGHUP, with discovery there.
fn moves_to(courier: &Courier, hand: &ManualDiscovery) {
    let path = courier.folder.join("config.json");
    let mut config: serde_json::Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    config["discovery"] = hand.addr.to_string().into();
    std::fs::write(&path, config.to_string()).unwrap();
    courier.send_sighup().unwrap();
}

/// Each of the next three questions is met so, and the next one is answered. Every question comes in time, and each
/// on a connection of its own.
async fn failed_each_time(meet: impl AsyncFn(DiscoveryRequest) -> Option<DiscoveryRequest>) {
    let mut test_bed = TestBed::open().await;
    let (mut last, mut held) = (Instant::now(), Vec::new());
    for _ in 0..3 {
        let asked = next(&mut test_bed.hand).await;
        assert!(asked.at - last < TOLD - HEED, "{:?}", asked.at - last);
        assert_eq!(asked.after, 2);
        last = asked.at;
        held.extend(meet(asked).await);
    }
    is_back(&mut test_bed.hand, &test_bed.courier, 3).await;
    timeout(WAIT_TIMEOUT, test_bed.followed.wait_for_close()).await.expect("the first is given up").unwrap();
    for mut asked in held {
        timeout(WAIT_TIMEOUT, asked.wait_for_close()).await.expect("what failed is given up").unwrap();
    }
}

#[test]
fn silence_before_the_head_again_after_each_reopening() {
    run(failed_each_time(async |asked| Some(asked)));
}

#[test]
fn silence_within_the_head() {
    run(failed_each_time(async |mut asked| {
        asked.write(b"HTTP/1.1 200 OK\r\nTransfer-Enc").await.unwrap();
        Some(asked)
    }));
}

#[test]
fn silence_after_the_head_again_after_each_reopening() {
    run(failed_each_time(async |mut asked| {
        asked.head().await.unwrap();
        Some(asked)
    }));
}

#[test]
fn silence_in_the_middle_of_a_line_again_after_each_reopening() {
    run(failed_each_time(async |mut asked| {
        asked.head().await.unwrap();
        asked.send_chunk(&line(3)[..40]).await.unwrap();
        Some(asked)
    }));
}

#[test]
fn silence_in_the_middle_of_an_indented_list_again_after_each_reopening() {
    run(failed_each_time(async |mut asked| {
        asked.head().await.unwrap();
        let list = version(3);
        let (begun, _) = list.split_at(list.find("\"id\"").unwrap());
        for line in begun.split_inclusive('\n') {
            asked.send_chunk(line).await.unwrap();
        }
        Some(asked)
    }));
}

#[test]
fn rubbish_again_after_each_reopening() {
    run(failed_each_time(async |mut asked| {
        asked.head().await.unwrap();
        asked.send_chunk("<html>no such list</html>\n").await.unwrap();
        Some(asked)
    }));
}

#[test]
fn an_answer_that_ends_at_once_again_after_each_reopening() {
    run(failed_each_time(async |mut asked| {
        answer(&mut asked, 2).await;
        // The connection stays, and no question comes on it.
        asked.send_chunk("").await.unwrap();
        Some(asked)
    }));
}

#[test]
fn another_status_than_200_again_after_each_reopening() {
    run(failed_each_time(async |mut asked| {
        asked.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        Some(asked)
    }));
    run(failed_each_time(async |mut asked| {
        asked.write(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        Some(asked)
    }));
    run(failed_each_time(async |mut asked| {
        let list = line(3);
        let head = format!("HTTP/1.1 203 Other\r\nContent-Length: {}\r\n\r\n", list.len());
        asked.write((head + &list).as_bytes()).await.unwrap();
        Some(asked)
    }));
}

/// Bytes go on coming, and never become a list: empty lines and more of it, for longer than the watch may be silent.
async fn trickle() {
    let mut test_bed = TestBed::open().await;
    let begun = Instant::now();
    let trickles = async {
        let followed = &mut test_bed.followed;
        let mut broken = followed.send_chunk("{\n  \"version\": 1").await;
        while broken.is_ok() && begun.elapsed() < WAIT_TIMEOUT {
            tokio::time::sleep(BEAT / 8).await;
            broken = followed.send_chunk("0\n").await;
        }
    };
    let mut asked = tokio::select! {
        asked = next(&mut test_bed.hand) => asked,
        () = async { trickles.await; std::future::pending().await } => unreachable!(),
    };
    assert!(asked.at - begun < TOLD - HEED, "{:?}", asked.at - begun);
    answer(&mut asked, 3).await;
    listed(&test_bed.courier, 3).await;
}

#[test]
fn bytes_that_never_become_a_list_are_no_heartbeat() {
    run(trickle());
}

/// What is whole holds, whatever comes behind it.
async fn list_and_rubbish() {
    let mut test_bed = TestBed::open().await;
    test_bed.followed.send_chunk(&(line(3) + "<html>")).await.unwrap();
    listed(&test_bed.courier, 3).await;
    let mut asked = next(&mut test_bed.hand).await;
    assert_eq!(asked.after, 3);
    answer(&mut asked, 4).await;
    listed(&test_bed.courier, 4).await;
}

#[test]
fn a_list_with_rubbish_behind_it_holds() {
    run(list_and_rubbish());
}

#[test]
fn a_cut_in_the_middle_of_a_list_again_after_each_reopening() {
    for by_reset in [false, true] {
        run(failed_each_time(async |mut asked| {
            asked.head().await.unwrap();
            asked.send_chunk(&line(3)[..40]).await.unwrap();
            if by_reset {
                asked.reset();
            }
            None
        }));
    }
}

#[test]
fn a_reset_before_the_head_again_after_each_reopening() {
    run(failed_each_time(async |asked| {
        asked.reset();
        None
    }));
}

/// Two questions are out as discovery is back: it resets the first, which it no longer knows, and answers the
/// second.
async fn two_are_out() {
    let mut test_bed = TestBed::open().await;
    let first = next(&mut test_bed.hand).await;
    let mut second = next(&mut test_bed.hand).await;
    first.reset();
    logged(&test_bed.courier, "another request is pending").await;
    answer(&mut second, 3).await;
    listed(&test_bed.courier, 3).await;
    // It is the one that is followed now.
    second.send_chunk(&line(4)).await.unwrap();
    listed(&test_bed.courier, 4).await;
}

#[test]
fn the_first_of_two_questions_is_reset_and_the_second_answered() {
    run(two_are_out());
}

/// Discovery can be reached again while the pause between two questions that are refused is longest.
async fn refused() {
    let TestBed { mut hand, courier, followed } = TestBed::open().await;
    hand.set(AcceptMode::Refused);
    // The gate shuts before anything else happens there.
    tokio::task::yield_now().await;
    followed.reset();
    for _ in 0..8 {
        logged(&courier, "again in").await;
    }
    hand.set(AcceptMode::Open);
    is_back(&mut hand, &courier, 3).await;
}

#[test]
fn discovery_is_back_while_the_pause_between_refused_questions_is_longest() {
    run(refused());
}

/// Its connections do not come up, so that the system repeats its first packets ever more seldom; discovery is back
/// in the longest gap between two of them, and with two questions out.
async fn hangs() {
    let TestBed { mut hand, courier, mut followed } = TestBed::open().await;
    hand.set(AcceptMode::Silent);
    logged(&courier, "again in").await;
    timeout(WAIT_TIMEOUT, followed.wait_for_close()).await.expect("it is given up").unwrap();
    logged(&courier, "requested again").await;
    hand.set(AcceptMode::Open);
    let back = Instant::now();
    is_back(&mut hand, &courier, 3).await;
    assert!(back.elapsed() < HEED, "{:?}", back.elapsed());
}

#[test]
fn discovery_is_back_while_connections_there_hang() {
    run(hangs());
}

/// The new place answers with a head and no more: the watch at the old one goes on.
async fn moved_to_silence() {
    let TestBed { hand: _old, courier, mut followed } = TestBed::open().await;
    let mut new = ManualDiscovery::open().await.unwrap();
    moves_to(&courier, &new);
    let mut asked = next(&mut new).await;
    asked.head().await.unwrap();
    // The head is there: it is followed, and found to be silent, while the old watch lives.
    tokio::select! {
        () = logged(&courier, "silent for 2.5s; again in") => {}
        () = async {
            loop {
                followed.send_chunk("\n").await.unwrap();
                tokio::time::sleep(BEAT / 8).await;
            }
        } => {}
    }
    followed.send_chunk(&line(3)).await.unwrap();
    listed(&courier, 3).await;
    is_back(&mut new, &courier, 4).await;
    timeout(WAIT_TIMEOUT, followed.wait_for_close()).await.expect("the old watch ends").unwrap();
}

#[test]
fn discovery_moves_to_a_place_that_begins_an_answer_and_falls_silent() {
    run(moved_to_silence());
}

/// Moved there and back before the new place has answered; it answers then, and the old place does not: the watch
/// there goes on.
async fn moved_there_and_back() {
    let TestBed { hand: mut old, courier, mut followed } = TestBed::open().await;
    let mut new = ManualDiscovery::open().await.unwrap();
    moves_to(&courier, &new);
    let mut there = next(&mut new).await;
    moves_to(&courier, &old);
    let _back = next(&mut old).await;
    answer(&mut there, 3).await;
    listed(&courier, 3).await;
    followed.send_chunk(&line(4)).await.unwrap();
    listed(&courier, 4).await;
    // Where it is now it is asked until it answers, and only that ends the others.
    is_back(&mut old, &courier, 5).await;
    for mut ended in [followed, there] {
        timeout(WAIT_TIMEOUT, ended.wait_for_close()).await.expect("it ends").unwrap();
    }
}

#[test]
fn discovery_moves_there_and_back_before_the_new_place_has_answered() {
    run(moved_there_and_back());
}

/// Moved while questions at the old place are refused, or get no answer: the new one is asked at once.
async fn moved_during(accept_mode: AcceptMode) {
    let TestBed { hand, courier, mut followed } = TestBed::open().await;
    hand.set(accept_mode);
    tokio::task::yield_now().await;
    if accept_mode == AcceptMode::Refused {
        followed.reset();
    } else {
        timeout(WAIT_TIMEOUT, followed.wait_for_close()).await.expect("it is given up").unwrap();
    }
    for _ in 0..if accept_mode == AcceptMode::Refused { 7 } else { 1 } {
        logged(&courier, "again in").await;
    }
    let mut new = ManualDiscovery::open().await.unwrap();
    moves_to(&courier, &new);
    let back = Instant::now();
    is_back(&mut new, &courier, 3).await;
    assert!(back.elapsed() < HEED, "{:?}", back.elapsed());
}

#[test]
fn discovery_moves_while_the_old_place_refuses_or_is_silent() {
    run(moved_during(AcceptMode::Refused));
    run(moved_during(AcceptMode::Silent));
}

/// A start finds no discovery, and discovery moves twice: what is told at last holds.
async fn started_without() {
    let (first, second) = (ManualDiscovery::open().await.unwrap(), ManualDiscovery::open().await.unwrap());
    let mut third = ManualDiscovery::open().await.unwrap();
    first.set(AcceptMode::Refused);
    second.set(AcceptMode::Silent);
    tokio::task::yield_now().await;
    let courier =
        Courier::start(Setup::new(env!("CARGO_BIN_EXE_quillmount"), first.addr, Vec::new())).unwrap();
    logged(&courier, "again in").await;
    moves_to(&courier, &second);
    logged(&courier, "read again").await;
    moves_to(&courier, &third);
    is_back(&mut third, &courier, 2).await;
}

#[test]
fn discovery_moves_twice_before_anything_was_told() {
    run(started_without());
}

/// What an agent gets at its return counts as told at once: here it is back in the moment in which its silence is
/// found, and the next question is answered.
async fn back_as_the_silence_is_found() {
    let TestBed { mut hand, courier, followed: _silent } = TestBed::of_fleet(300).await;
    logged(&courier, "silent for 2.5s; again in").await;
    let back = Instant::now();
    is_back(&mut hand, &courier, 3).await;
    assert!(back.elapsed() < HEED, "{:?}", back.elapsed());
}

#[test]
fn one_of_a_large_fleet_is_told_at_once_by_an_agent_that_is_back_as_its_silence_is_found() {
    run(back_as_the_silence_is_found());
}

/// The silence lasts until a second question is out; then the first is answered, and the second is not.
async fn back_with_an_answer_to_the_first() {
    let TestBed { mut hand, courier, followed: _silent } = TestBed::of_fleet(30).await;
    let mut first = next(&mut hand).await;
    let _second = next(&mut hand).await;
    let back = Instant::now();
    answer(&mut first, 3).await;
    listed(&courier, 3).await;
    assert!(back.elapsed() < HEED, "{:?}", back.elapsed());
}

#[test]
fn what_was_asked_in_a_silence_stays_out_and_is_answered_at_its_end() {
    run(back_with_an_answer_to_the_first());
}

/// It resets what it no longer knows, and answers what comes then.
async fn back_with_resets() {
    let TestBed { mut hand, courier, followed: _silent } = TestBed::of_fleet(300).await;
    let mut out = vec![next(&mut hand).await];
    // So long that no answer can be on its way any more.
    while out[out.len() - 1].at - out[0].at < Duration::from_secs(1) {
        out.push(next(&mut hand).await);
    }
    let back = Instant::now();
    out.into_iter().for_each(DiscoveryRequest::reset);
    is_back(&mut hand, &courier, 3).await;
    assert!(back.elapsed() < HEED, "{:?}", back.elapsed());
}

#[test]
fn an_agent_that_is_back_and_resets_what_was_asked_is_requested_again_at_once() {
    run(back_with_resets());
}
