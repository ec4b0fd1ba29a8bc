//! Streamed bodies on sockets: each test causes one thing that goes wrong on the way.

use quillmount_standins::client::{self, BodyScript, MessageRequest, StreamResult};
use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::endpoint::{self, EndpointScript};
use quillmount_standins::http::Head;
use quillmount_standins::runtime::run_within;
use quillmount_standins::{Observation, ObservationKind, Observer, platform};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};

const KIB: u64 = 1024;
/// Only a broken program waits for so long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const LONG: Duration = Duration::from_secs(60);

/// One courier, a provider with a script for each destination, and the platform.
struct TestBed {
    courier: Courier,
    seen: mpsc::Receiver<Observation>,
    list: watch::Sender<String>,
    providers: Vec<(u64, std::net::SocketAddr)>,
}

fn streams(more: Value) -> Option<Value> {
    let mut streams = json!({"on": true, "window": "64 KiB", "memory": "4 MiB",
        "provider": {"stall": "1s"}, "consumer": {"stall": "1s"}});
    for (name, value) in more.as_object().unwrap() {
        streams[name] = value.clone();
    }
    Some(json!({"version": 1, "streams": streams}))
}

/// A test that has not ended after this time has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Plays a test on one thread.
fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    run_within(TEST_TIMEOUT, test);
}

/// Provider `n` of the list stands at destination `dest`, and answers its calls by number with these scripts, the
/// last of which goes on for good.
async fn test_bed(operator: Option<Value>, scripts: &[(u64, Vec<EndpointScript>)]) -> TestBed {
    stage_with(operator, scripts, |_| {}).await
}

async fn stage_with(
    operator: Option<Value>,
    scripts: &[(u64, Vec<EndpointScript>)],
    set: impl FnOnce(&mut Setup),
) -> TestBed {
    let (observer, seen) = Observer::channel();
    let (list, told) = watch::channel(String::new());
    let platform = platform::open(observer.clone(), told).await.unwrap();
    let mut providers = Vec::new();
    for (dest, scripts) in scripts {
        let (scripts, calls) = (scripts.clone(), RefCell::new(0));
        let script = move |_: &Head| {
            let n = calls.replace_with(|n| *n + 1);
            scripts[n.min(scripts.len() - 1)].clone()
        };
        providers.push((*dest, endpoint::open(observer.clone(), script).await.unwrap()));
    }
    let mut setup = Setup::new(env!("CARGO_BIN_EXE_quillmount"), platform, providers.clone());
    setup.operator = operator;
    set(&mut setup);
    TestBed { courier: Courier::start(setup).unwrap(), seen, list, providers }
}

impl TestBed {
    fn sends(&self, message: MessageRequest, body: BodyScript) -> JoinHandle<StreamResult> {
        let addr = self.courier.addr;
        spawn_local(async move { client::stream(addr, &message, &body).await.unwrap() })
    }

    /// The next thing seen of a message that the test waits for; what is seen before it is let go.
    async fn wait_for<T>(&mut self, id: &str, wanted: impl Fn(&ObservationKind) -> Option<T>) -> T {
        loop {
            let seen = tokio::time::timeout(WAIT_TIMEOUT, self.seen.recv()).await;
            let Observation { id: of, what, .. } = seen.unwrap_or_else(|_| panic!("{id}: not seen")).unwrap();
            if let Some(found) = wanted(&what).filter(|_| of == id) {
                return found;
            }
        }
    }

    async fn body(&mut self, id: &str) -> (u64, u32, bool) {
        self.wait_for(id, |what| match what {
            ObservationKind::Body { bytes, crc, whole } => Some((*bytes, *crc, *whole)),
            _ => None,
        })
        .await
    }

    async fn begins(&mut self, id: &str) {
        self.wait_for(id, |what| (*what == ObservationKind::CallBegan).then_some(())).await;
    }

    async fn notice(&mut self, id: &str) -> String {
        self.wait_for(id, notice_line).await
    }

    /// Whether the endpoint saw the complete body, and the notice to the platform. The two come on connections of
    /// their own, so either may be seen first.
    async fn body_and_notice(&mut self, id: &str) -> (bool, String) {
        let (mut complete, mut notice) = (None, None);
        while complete.is_none() || notice.is_none() {
            let what = self
                .wait_for(id, |what| {
                    matches!(what, ObservationKind::Body { .. } | ObservationKind::Notice(_))
                        .then(|| what.clone())
                })
                .await;
            match &what {
                ObservationKind::Body { whole, .. } => {
                    assert_eq!(complete.replace(*whole), None, "{id}: a second body");
                }
                other => {
                    assert_eq!(notice.replace(notice_line(other).unwrap()), None, "{id}: a second notice");
                }
            }
        }
        complete.zip(notice).unwrap()
    }

    /// What has been seen and not been looked at.
    fn rest(&mut self) -> Vec<Observation> {
        std::iter::from_fn(|| self.seen.try_recv().ok()).collect()
    }
}

fn notice_line(what: &ObservationKind) -> Option<String> {
    match what {
        ObservationKind::Notice(line) => Some(line.clone()),
        _ => None,
    }
}

fn debit(id: &str) -> MessageRequest {
    MessageRequest::new("fee-debit", id, 1, LONG)
}

fn notice(id: &str) -> MessageRequest {
    MessageRequest { key: Some(id.into()), ..MessageRequest::new("paid-notice", id, 1, LONG) }
}

async fn raw_later(test_bed: &TestBed, text: Vec<u8>) -> String {
    let addr = test_bed.courier.addr;
    tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(&text).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    })
    .await
    .unwrap()
}

#[test]
fn a_body_passes_whole_in_its_own_framing_whichever_side_is_slow() {
    run_test(|| async {
        let slow = EndpointScript { rate: 2_000 * KIB, ..EndpointScript::default() };
        let mut test_bed =
            test_bed(streams(json!({})), &[(1, vec![EndpointScript::default()]), (2, vec![slow])]).await;
        let cases = [
            ("length", 1, BodyScript::of(3_000_001)),
            ("chunks", 1, BodyScript { chunk: 1_000, ..BodyScript::of(300_000) }),
            ("small-chunks", 1, BodyScript { chunk: 7, ..BodyScript::of(100) }),
            ("asks", 1, BodyScript { expects_continue: true, ..BodyScript::of(200_000) }),
            ("slow-consumer", 1, BodyScript { rate: 2_000 * KIB, ..BodyScript::of(500_000) }),
            ("slow-provider", 2, BodyScript::of(1_000_000)),
        ];
        for (id, dest, body) in cases {
            let expects_continue = body.expects_continue;
            let told = test_bed.sends(MessageRequest { dest, ..debit(id) }, body.clone());
            assert_eq!(test_bed.body(id).await, (body.bytes, client::crc(body.bytes), true), "{id}");
            let told = told.await.unwrap();
            assert_eq!((told.status(), told.continued), (200, expects_continue), "{id}");
        }
        assert!(
            test_bed
                .rest()
                .iter()
                .all(|seen| !matches!(seen.what, ObservationKind::Notice(_) | ObservationKind::CallBegan))
        );
    });
}

#[test]
fn without_the_operator_file_nothing_streams() {
    run_test(|| async {
        let test_bed = test_bed(None, &[(1, vec![EndpointScript::default()])]).await;
        let head = debit("m").head();
        let large = head.replace("\r\n\r\n", "\r\nContent-Length: 65537\r\n\r\n");
        let chunks = head.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        assert!(raw_later(&test_bed, large.into()).await.starts_with("HTTP/1.1 413"));
        assert!(raw_later(&test_bed, chunks.into()).await.starts_with("HTTP/1.1 411"));
    });
}

#[test]
fn an_endpoint_that_stops_in_a_body_holds_up_nobody_else() {
    run_test(|| async {
        let stops = EndpointScript { stop_at: Some(100_000), ..EndpointScript::default() };
        let mut scripts = vec![stops];
        scripts.push(EndpointScript::default());
        let limits = streams(json!({"provider": {"stall": "3s"}}));
        let mut test_bed = test_bed(limits, &[(1, scripts)]).await;
        let stuck = test_bed.sends(debit("stuck"), BodyScript::of(20_000_000));
        test_bed.begins("stuck").await;
        for n in 0..200 {
            let small = client::submit(test_bed.courier.addr, &debit(&format!("small-{n}")), b"fee").await;
            assert_eq!(small.unwrap().status(), 202);
        }
        let mut delivered = 0;
        while delivered < 200 {
            let seen = tokio::time::timeout(WAIT_TIMEOUT, test_bed.seen.recv()).await.unwrap().unwrap();
            assert!(!matches!(seen.what, ObservationKind::Notice(_)), "{seen:?}");
            delivered += usize::from(matches!(seen.what, ObservationKind::Answered(_)));
        }
        assert!(!stuck.is_finished(), "the stream is stuck still");
        assert_eq!(stuck.await.unwrap().status(), 502, "a debit half sent may have taken effect");
        assert!(
            !test_bed.rest().iter().any(|seen| seen.id == "stuck" && seen.what == ObservationKind::CallBegan)
        );
    });
}

#[test]
fn a_body_that_is_cut_short_never_looks_whole() {
    run_test(|| async {
        let mut test_bed = test_bed(streams(json!({})), &[(1, vec![EndpointScript::default()])]).await;
        let cases = [
            ("length", BodyScript { cut_at: Some(300_000), ..BodyScript::of(300_001) }),
            ("within-the-window", BodyScript { cut_at: Some(65_999), ..BodyScript::of(66_000) }),
            ("chunks", BodyScript { chunk: 5_000, cut_at: Some(300_000), ..BodyScript::of(300_000) }),
        ];
        for (id, body) in cases {
            let told = test_bed.sends(debit(id), body);
            let (complete, notice) = test_bed.body_and_notice(id).await;
            assert!(!complete, "{id}");
            assert_eq!(notice, format!("{{\"id\":\"{id}\",\"status\":\"undeliverable\"}}"));
            assert_eq!(told.await.unwrap().status(), 0, "{id}: it has gone");
        }
    });
}

#[test]
fn a_client_that_stalls_is_told_and_its_body_is_not_whole() {
    run_test(|| async {
        let limits = streams(json!({"consumer": {"stall": "200ms"}}));
        let mut test_bed = test_bed(limits, &[(1, vec![EndpointScript::default()])]).await;
        let body = BodyScript { stall: Some((100_000, LONG)), ..BodyScript::of(200_000) };
        let told = test_bed.sends(debit("stalls"), body);
        assert!(!test_bed.body("stalls").await.2);
        assert_eq!(told.await.unwrap().status(), 408);
        let body = BodyScript { rate: 20 * KIB, ..BodyScript::of(200_000) };
        drop(told_slow(&mut test_bed, body).await);
    });
}

/// Too slow for a least rate, though never stalled.
async fn told_slow(test_bed: &mut TestBed, body: BodyScript) -> StreamResult {
    let limits = streams(json!({"consumer": {"stall": "10s", "least": "1 MiB", "over": "300ms"}}));
    *test_bed = self::test_bed(limits, &[(1, vec![EndpointScript::default()])]).await;
    let told = test_bed.sends(debit("slow"), body).await.unwrap();
    assert_eq!(told.status(), 408);
    told
}

#[test]
fn a_digest_is_checked_before_the_last_byte() {
    run_test(|| async {
        let mut test_bed = test_bed(streams(json!({})), &[(1, vec![EndpointScript::default()])]).await;
        // The digest of nothing at all.
        let digest = "Content-Digest: sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:\r\n";
        for (id, chunk) in [("length", 0), ("chunks", 9_999)] {
            let message = MessageRequest { headers: digest.into(), ..debit(id) };
            let told = test_bed.sends(message, BodyScript { chunk, ..BodyScript::of(200_000) });
            assert!(!test_bed.body(id).await.2, "{id}: it must not look whole");
            assert_eq!(told.await.unwrap().status(), 400, "{id}");
        }
        // Chunks of nothing: the digest holds.
        let empty = MessageRequest { headers: digest.into(), ..debit("empty") }.head();
        let empty = empty.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        assert!(raw_later(&test_bed, empty.into()).await.starts_with("HTTP/1.1 200"));
        assert_eq!(test_bed.body("empty").await, (0, client::crc(0), true));
    });
}

#[test]
fn what_readers_might_not_agree_on_gets_4xx_and_a_close_and_nothing_passes_whole() {
    run_test(|| async {
        let mut test_bed = test_bed(streams(json!({})), &[(1, vec![EndpointScript::default()])]).await;
        let chunked = "Transfer-Encoding: chunked";
        let bomb = format!("1;{}\r\nx\r\n", "e".repeat(200)).repeat(2_000) + "0\r\n\r\n";
        let cases: [(&str, &str, &str); 11] = [
            (chunked, "3\nabc\r\n0\r\n\r\n", "400"),
            (chunked, "3\r\nabcd\r\n0\r\n\r\n", "400"),
            (chunked, "-1\r\nabc\r\n0\r\n\r\n", "400"),
            (chunked, "fffffffffffffffff\r\nabc\r\n0\r\n\r\n", "400"),
            (chunked, "ffffffffffffffff\r\nabc\r\n0\r\n\r\n", "413"),
            (chunked, "3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n", "400"),
            (chunked, &bomb, "400"),
            ("Transfer-Encoding: gzip, chunked", "3\r\nabc\r\n0\r\n\r\n", "4"),
            ("Transfer-Encoding: chunked\r\nContent-Length: 3", "3\r\nabc\r\n0\r\n\r\n", "4"),
            ("Content-Length: 70000\r\nContent-Length: 70001", "abc", "4"),
            ("Content-Length: 70000\r\nExpect: a-miracle", "abc", "417"),
        ];
        for (n, (headers, body, status)) in cases.into_iter().enumerate() {
            let head = debit(&format!("m{n}")).head().replace("\r\n\r\n", &format!("\r\n{headers}\r\n\r\n"));
            let answer = raw_later(&test_bed, (head + body).into()).await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{headers} {body:.40}: {answer}");
            assert_eq!(answer.matches("connection: close").count(), 1, "{answer}");
        }
        let digest = debit("d")
            .head()
            .replace("\r\n\r\n", "\r\nContent-Length: 70000\r\nContent-Digest: sha-256=:no:\r\n\r\n");
        assert!(raw_later(&test_bed, digest.into()).await.starts_with("HTTP/1.1 400"));
        let whole = |seen: &Observation| matches!(seen.what, ObservationKind::Body { whole: true, .. });
        assert!(!test_bed.rest().iter().any(whole));
    });
}

#[test]
fn an_early_answer_is_read_at_once() {
    run_test(|| async {
        let early = |answer: &str| EndpointScript { early: Some(150_000), ..EndpointScript::answers(answer) };
        for (answer, status) in [
            ("413 Content Too Large", 502),
            ("503 Service Unavailable", 503),
            ("429 Too Many Requests\r\nRetry-After: 0.2", 503),
            ("200 OK", 200),
        ] {
            let mut test_bed = test_bed(streams(json!({})), &[(1, vec![early(answer)])]).await;
            let told =
                test_bed.sends(debit("early"), BodyScript { rate: 500 * KIB, ..BodyScript::of(50_000_000) });
            let told = told.await.unwrap();
            assert_eq!(told.status(), status, "{answer}");
            assert!(told.took < Duration::from_secs(20), "the body would take 100 s");
            assert_eq!(told.answer.unwrap().header("retry-after").is_some(), status == 503, "{answer}");
            assert!(!test_bed.rest().iter().any(|seen| matches!(seen.what, ObservationKind::Notice(_))));
        }
    });
}

#[test]
fn a_stream_is_sent_again_only_while_all_of_it_is_kept_and_nothing_ran() {
    run_test(|| async {
        let full = EndpointScript { early: Some(0), ..EndpointScript::answers("503 Service Unavailable") };
        let broken = |at| EndpointScript { reset_at: Some(at), ..EndpointScript::default() };
        // Turned away before its body: a debit goes on to its next attempt.
        let one = test_bed(streams(json!({})), &[(1, vec![full, EndpointScript::default()])]).await;
        let told = one.sends(debit("kept"), BodyScript::of(2_000_000)).await.unwrap();
        assert_eq!(told.status(), 200);
        // Broken off in a body that is still kept whole: a repeat of a notice is dropped by its key.
        let mut one_more =
            test_bed(streams(json!({})), &[(1, vec![broken(30_000), EndpointScript::default()])]).await;
        let told = one_more
            .sends(notice("again"), BodyScript { chunk: 9_000, ..BodyScript::of(60_000) })
            .await
            .unwrap();
        assert_eq!(told.status(), 200);
        assert!(!one_more.body("again").await.2);
        assert_eq!(one_more.body("again").await, (60_000, client::crc(60_000), true));
        // A debit, and a notice of which a part is gone, are not sent again.
        for (id, message, bytes) in [("debit", debit("debit"), 66_000), ("gone", notice("gone"), 2_000_000)] {
            let mut last =
                test_bed(streams(json!({})), &[(1, vec![broken(50_000), EndpointScript::default()])]).await;
            let told = last.sends(message, BodyScript::of(bytes)).await.unwrap();
            assert_eq!(told.status(), 502, "{id}");
            assert_eq!(
                last.rest().iter().filter(|s| s.what == ObservationKind::CallBegan).count(),
                1,
                "{id}"
            );
        }
    });
}

#[test]
fn a_kill_in_a_body_leads_to_one_end_and_no_second_send() {
    run_test(|| async {
        let slow = EndpointScript { rate: 200 * KIB, ..EndpointScript::default() };
        let mut test_bed = test_bed(streams(json!({})), &[(1, vec![slow])]).await;
        let told = test_bed.sends(debit("half"), BodyScript::of(5_000_000));
        test_bed.begins("half").await;
        test_bed.courier.kill_and_restart().unwrap();
        assert_eq!(test_bed.notice("half").await, r#"{"id":"half","status":"undeliverable"}"#);
        assert_eq!(told.await.unwrap().status(), 0);
        let again = test_bed.sends(debit("half"), BodyScript::of(100_000)).await.unwrap();
        assert_eq!(again.status(), 409, "ended, perhaps with an effect");
        assert!(!test_bed.rest().iter().any(|seen| seen.what == ObservationKind::CallBegan));
    });
}

#[test]
fn a_planned_stop_lets_streams_end_and_ends_the_others_truthfully() {
    run_test(|| async {
        let slow = EndpointScript { rate: 100 * KIB, ..EndpointScript::default() };
        let limits = streams(json!({"provider": {"stall": "30s"}}));
        let scripts =
            [(1, vec![slow]), (2, vec![EndpointScript { rate: 400 * KIB, ..EndpointScript::default() }])];
        let mut test_bed = test_bed(limits, &scripts).await;
        let long = test_bed.sends(debit("long"), BodyScript::of(50_000_000));
        test_bed.begins("long").await;
        let short = test_bed.sends(MessageRequest { dest: 2, ..debit("short") }, BodyScript::of(500_000));
        test_bed.begins("short").await;
        test_bed.courier.send_sigterm().unwrap();
        assert_eq!(short.await.unwrap().status(), 200, "it had time enough");
        assert_eq!(long.await.unwrap().status(), 502);
        assert!(test_bed.courier.wait_for_exit().await.unwrap().success());
        let whole = |seen: &Observation| {
            seen.id == "long" && matches!(seen.what, ObservationKind::Body { whole: true, .. })
        };
        assert!(!test_bed.rest().iter().any(whole));
    });
}

#[test]
fn a_drain_in_a_body_ends_nothing_and_a_wait_pauses_it() {
    run_test(|| async {
        let slow = EndpointScript { rate: 300 * KIB, ..EndpointScript::default() };
        let waits = EndpointScript::answers("429 Too Many Requests\r\nRetry-After: 0.6");
        let mut test_bed =
            test_bed(streams(json!({})), &[(1, vec![slow, waits, EndpointScript::default()])]).await;
        let told = test_bed.sends(debit("long"), BodyScript::of(900_000));
        test_bed.begins("long").await;
        let small = client::submit(test_bed.courier.addr, &debit("small"), b"fee").await.unwrap();
        assert_eq!(small.status(), 202);
        test_bed
            .wait_for("small", |what| {
                matches!(what, ObservationKind::Answered(a) if a.starts_with("429")).then_some(())
            })
            .await;
        let (dest, addr) = test_bed.providers[0];
        let id = format!("partner-{dest}-{}", addr.port());
        let line = json!({"version": 9, "full": false, "servers": [{"id": id, "addr": addr, "zone": "bkk-dc1",
            "kind": "bank", "cell": dest, "state": "draining", "weight": 1000.0, "started_ms": 0}]});
        test_bed.list.send(line.to_string()).unwrap();
        assert_eq!(test_bed.body("long").await, (900_000, client::crc(900_000), true));
        assert_eq!(told.await.unwrap().status(), 200);
    });
}

#[test]
fn a_thousand_streams_against_a_cap_of_64() {
    run_test(|| async {
        let limits = streams(json!({"share_of_slots": 1.0, "share_of_window": 1.0}));
        let hold = EndpointScript { rate: 100 * KIB, ..EndpointScript::default() };
        let dests: Vec<(u64, Vec<EndpointScript>)> =
            (1..=16).map(|dest| (dest, vec![hold.clone()])).collect();
        let mut test_bed =
            stage_with(limits, &dests, |setup| (setup.slots, setup.open_cap) = (200, 400)).await;
        let mut told = Vec::new();
        for n in 0..1_000 {
            let message = MessageRequest { dest: n % 16 + 1, ..debit(&format!("m{n}")) };
            told.push(
                test_bed.sends(message, BodyScript { expects_continue: true, ..BodyScript::of(70_000) }),
            );
            // Connections are made a few at a time: a full backlog would be another test.
            if n % 50 == 49 {
                tokio::task::yield_now().await;
            }
        }
        let mut ends: BTreeMap<(u16, bool), usize> = BTreeMap::new();
        for told in told {
            let told = told.await.unwrap();
            let when = told.answer.as_ref().is_some_and(|a| a.header("retry-after").is_some());
            *ends.entry((told.status(), when)).or_default() += 1;
        }
        let delivered = ends.get(&(200, false)).copied().unwrap_or(0);
        assert!(delivered >= 16, "{ends:?}");
        assert_eq!(delivered + ends.get(&(503, true)).copied().unwrap_or(0), 1_000, "{ends:?}");
        let whole = test_bed
            .rest()
            .iter()
            .filter(|s| matches!(s.what, ObservationKind::Body { whole: true, .. }))
            .count();
        assert_eq!(whole, delivered);
    });
}

#[test]
fn a_window_is_set_aside_for_each_stream_or_it_is_turned_away() {
    run_test(|| async {
        let limits = streams(json!({"memory": "128 KiB", "share_of_window": 1.0, "share_of_slots": 1.0}));
        let hold = EndpointScript { stop_at: Some(1), ..EndpointScript::default() };
        let mut test_bed = test_bed(limits, &[(1, vec![hold])]).await;
        let held: Vec<_> = ["a", "b"].map(|id| test_bed.sends(debit(id), BodyScript::of(40_000_000))).into();
        for id in ["a", "b"] {
            test_bed.begins(id).await;
        }
        let third = test_bed
            .sends(debit("c"), BodyScript { expects_continue: true, ..BodyScript::of(200_000) })
            .await
            .unwrap();
        assert_eq!((third.status(), third.continued), (503, false));
        for told in held {
            assert_eq!(told.await.unwrap().status(), 502, "stalled");
        }
    });
}

#[test]
fn a_stream_without_a_slot_is_rejected_before_its_body_is_requested() {
    run_test(|| async {
        let mut test_bed = test_bed(
            streams(json!({"share_of_slots": 0.0})),
            &[
                (1, vec![EndpointScript { stop_at: Some(1), ..EndpointScript::default() }]),
                (2, vec![EndpointScript::default()]),
            ],
        )
        .await;
        // More than the sockets on the way take.
        let held = test_bed.sends(debit("held"), BodyScript::of(40_000_000));
        test_bed.begins("held").await;
        let other = MessageRequest { dest: 2, ..debit("other") };
        let told = test_bed
            .sends(other, BodyScript { expects_continue: true, ..BodyScript::of(200_000) })
            .await
            .unwrap();
        assert_eq!((told.status(), told.continued), (503, false), "one slot is theirs, and it is taken");
        assert!(told.answer.unwrap().header("retry-after").is_some());
        assert_eq!(held.await.unwrap().status(), 502);
    });
}

#[test]
fn an_endpoint_that_never_answers_is_given_up_at_the_messages_time() {
    run_test(|| async {
        let mut test_bed = test_bed(streams(json!({})), &[(1, vec![EndpointScript::silent()])]).await;
        let message = MessageRequest { time_left: Duration::from_millis(2_500), ..debit("silent") };
        // Most of its time goes into the body: counted from there, the call would go on for as long again.
        let body = BodyScript { rate: 50 * KIB, ..BodyScript::of(100_000) };
        let begun = std::time::Instant::now();
        assert_eq!(test_bed.sends(message, body).await.unwrap().status(), 502);
        test_bed.wait_for("silent", |what| (*what == ObservationKind::Abandoned).then_some(())).await;
        let took = begun.elapsed();
        assert!(took < Duration::from_millis(3_800), "{took:?}, where it would be 4.4 s");
    });
}

/// Lines of the log, as JSON, until one says this.
fn lines_until(test_bed: &TestBed, words: &str) -> Vec<Value> {
    let mut lines = Vec::new();
    loop {
        let line = test_bed.courier.log.recv_timeout(WAIT_TIMEOUT).expect(words);
        lines.push(serde_json::from_str(&line).unwrap());
        if line.contains(words) {
            return lines;
        }
    }
}

#[test]
fn a_log_of_json_names_the_call_and_a_sighup_changes_its_levels() {
    run_test(|| async {
        let file = |filter: &str| json!({"version": 1, "log": {"format": "json", "filter": filter}});
        let scripts = [(1, vec![EndpointScript::default()])];
        let mut test_bed = stage_with(Some(file("debug")), &scripts, |setup| setup.levels.clear()).await;
        let answer = client::submit(test_bed.courier.addr, &debit("told"), b"fee").await.unwrap();
        assert_eq!(answer.status(), 202);
        test_bed.wait_for("told", |what| matches!(what, ObservationKind::Answered(_)).then_some(())).await;
        let line = lines_until(&test_bed, "call ended").pop().unwrap();
        let named = |line: &Value, name: &str| line[name].as_str().map(str::to_string);
        assert!(named(&line, "timestamp").is_some(), "{line}");
        assert_eq!(named(&line, "level").as_deref(), Some("DEBUG"));
        assert_eq!(named(&line, "target").as_deref(), Some("quillmount::transport::courier"));
        assert_eq!(line["span"], json!({"name": "call", "id": "told", "dest": 1, "attempt": 0}));

        let path = test_bed.courier.folder.join("operator.json");
        std::fs::write(&path, file("info").to_string()).unwrap();
        test_bed.courier.send_sighup().unwrap();
        lines_until(&test_bed, "operator file: read again");
        // What can't be read changes nothing, and is told with its path.
        std::fs::write(&path, r#"{"version": 1, "log": {"filter": "loud=very"}}"#).unwrap();
        test_bed.courier.send_sighup().unwrap();
        let told = lines_until(&test_bed, "operator file: not read again");
        let told = named(told.last().unwrap(), "message").unwrap();
        assert!(told.contains("$.log.filter") && told.contains("loud=very"), "{told}");
        let answer = client::submit(test_bed.courier.addr, &debit("untold"), b"fee").await.unwrap();
        assert_eq!(answer.status(), 202);
        test_bed.wait_for("untold", |what| matches!(what, ObservationKind::Answered(_)).then_some(())).await;
        test_bed.courier.send_sigterm().unwrap();
        let lines = lines_until(&test_bed, "stopped; ");
        assert!(lines.iter().all(|line| named(line, "level").as_deref() != Some("DEBUG")), "{lines:?}");
    });
}
