//! Modes and faults of a link between a plain client and a partner. What happens is shown by the order of events; where nothing
//! is to happen, exchanges over another link show that there was time for it.

use quillmount_standins::fleet::link::{Link, LinkEvent, LinkEventKind, LinkMode, RequestFault};
use quillmount_standins::fleet::{WAIT_TIMEOUT, run_test};
use quillmount_standins::gate::Port;
use quillmount_standins::http::Reader;
use quillmount_standins::listener;
use quillmount_standins::partner::{Answer, Partner};
use quillmount_standins::record::{BodyDigest, RecordedCall, Recorder, RunRecord};
use std::io::{ErrorKind, Result};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::spawn_local;

const LONG: Duration = Duration::from_secs(3_600);

struct Client(Reader<OwnedReadHalf>, OwnedWriteHalf);

impl Client {
    async fn of(link: &Link) -> Client {
        let (from, to) = TcpStream::connect(link.addr()).await.unwrap().into_split();
        Client(Reader::new(from), to)
    }

    async fn send(&mut self, id: &str, body: &[u8]) {
        let head = format!(
            "POST /{id} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.1.write_all(&[head.as_bytes(), body].concat()).await.unwrap();
    }

    /// The status of the answer; `None`: the connection ended or broke first.
    async fn answer(&mut self) -> Option<u16> {
        self.0.head().await.ok().flatten().map(|head| head.status())
    }
}

/// Two links to one partner: the one that is tested, and one that passes.
struct LinkFixture {
    recorder: Recorder,
    tried: Link,
    other: Link,
    partner: Partner,
    barriers: u32,
}

impl LinkFixture {
    fn new() -> LinkFixture {
        let recorder = Recorder::default();
        let answers =
            |call: &RecordedCall| if call.id.starts_with("held") { Answer::Pending } else { Answer::ok() };
        let partner = Partner::open(0, 1, 2, recorder.clone(), answers).unwrap();
        let link = |n| Link::open(n, 9, partner.addr(n), recorder.clone()).unwrap();
        LinkFixture { tried: link(0), other: link(1), barriers: 0, partner, recorder }
    }

    /// Makes ten exchanges over the other link: what was in flight has arrived.
    async fn barrier(&mut self) {
        for _ in 0..10 {
            self.barriers += 1;
            let mut client = Client::of(&self.other).await;
            client.send(&format!("barrier-{}", self.barriers), b"").await;
            assert_eq!(client.answer().await, Some(200));
        }
    }

    fn calls(&self, id: &str) -> Vec<RecordedCall> {
        self.recorder.read(|record| record.calls_of(id).cloned().collect())
    }

    async fn call(&self, id: &str, is: impl Fn(&RecordedCall) -> bool) -> RecordedCall {
        let found = |record: &RunRecord| record.calls_of(id).find(|call| is(call)).cloned();
        self.recorder.wait_until(id, WAIT_TIMEOUT, found).await.unwrap()
    }

    async fn wait_for_event(&self, what: LinkEventKind) {
        let found = |record: &RunRecord| {
            record.link_events.iter().any(|passed| passed.from == 0 && passed.what == what).then_some(())
        };
        self.recorder.wait_until(&format!("{what:?}"), WAIT_TIMEOUT, found).await.unwrap();
    }
}

fn is_complete(call: &RecordedCall) -> bool {
    call.completed.is_some()
}

#[test]
fn a_link_passes_both_ways_on_one_connection() {
    run_test(async || {
        let fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        for id in ["one", "two"] {
            client.send(id, b"body").await;
            assert_eq!(client.answer().await, Some(200));
        }
        let (one, two) = (&fixture.calls("one")[0], &fixture.calls("two")[0]);
        assert_eq!((one.connection, one.body), (two.connection, BodyDigest::of(b"body")));
        fixture.wait_for_event(LinkEventKind::Request { path: "/two".into(), body: 4 }).await;
        assert_eq!(fixture.recorder.read(|record| record.open_connections(0)), (1, 1));
    });
}

#[test]
fn a_partitioned_link_is_silent_and_accepts_no_new_connections() {
    run_test(async || {
        let mut fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        client.send("before", b"").await;
        assert_eq!(client.answer().await, Some(200));
        // An answer that is pending when the partition begins does not arrive either.
        client.send("held", b"").await;
        fixture.call("held", is_complete).await;
        fixture.tried.set(LinkMode::Partitioned);
        fixture.partner.release("held", Answer::ok());
        let addr = fixture.tried.addr();
        let new = spawn_local(async move { TcpStream::connect(addr).await.map(drop) });
        let answer = spawn_local(async move { (client.answer().await, client) });
        fixture.barrier().await;
        assert!(!new.is_finished() && !answer.is_finished());
        fixture.tried.set(LinkMode::Pass);
        let (answer, mut client) = answer.await.unwrap();
        assert_eq!(answer, Some(200));
        new.await.unwrap().unwrap();
        fixture.barrier().await;
        // The connections that filled the queue were not relayed.
        let opened = |event: &&LinkEvent| event.from == 0 && event.what == LinkEventKind::ConnectionOpened;
        assert_eq!(fixture.recorder.read(|record| record.link_events.iter().filter(opened).count()), 2);
        fixture.tried.set(LinkMode::Partitioned);
        client.send("late", b"").await;
        fixture.barrier().await;
        assert!(fixture.calls("late").is_empty());
        fixture.tried.set(LinkMode::Pass);
        assert_eq!(client.answer().await, Some(200));
    });
}

#[test]
fn a_refusing_partition_refuses_new_connections_and_silences_the_old() {
    run_test(async || {
        let mut fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.wait_for_event(LinkEventKind::ConnectionOpened).await;
        fixture.tried.set(LinkMode::PartitionedRefusing);
        fixture.barrier().await;
        let new = TcpStream::connect(fixture.tried.addr()).await;
        assert_eq!(new.unwrap_err().kind(), ErrorKind::ConnectionRefused);
        client.send("old", b"").await;
        fixture.barrier().await;
        assert!(fixture.calls("old").is_empty());
        fixture.tried.set(LinkMode::Pass);
        assert_eq!(client.answer().await, Some(200));
        Client::of(&fixture.tried).await.send("new", b"").await;
        fixture.call("new", is_complete).await;
    });
}

#[test]
fn with_answers_lost_requests_arrive() {
    run_test(async || {
        let fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.tried.set(LinkMode::AnswersLost);
        client.send("one-way", b"").await;
        fixture.call("one-way", |call| call.answered.is_some()).await;
        fixture.wait_for_event(LinkEventKind::BytesDropped).await;
        fixture.tried.set(LinkMode::Pass);
        // The answer was dropped: the connection ends.
        assert_eq!(client.answer().await, None);
    });
}

#[test]
fn with_requests_lost_answers_arrive() {
    run_test(async || {
        let mut fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        client.send("held", b"").await;
        fixture.call("held", is_complete).await;
        fixture.tried.set(LinkMode::RequestsLost);
        fixture.partner.release("held", Answer::ok());
        assert_eq!(client.answer().await, Some(200));
        client.send("other-way", b"").await;
        fixture.wait_for_event(LinkEventKind::BytesDropped).await;
        fixture.barrier().await;
        assert!(fixture.calls("other-way").is_empty());
        fixture.tried.set(LinkMode::Pass);
        assert_eq!(client.answer().await, None);
    });
}

#[test]
fn delayed_bytes_are_overtaken_and_arrive_complete() {
    run_test(async || {
        let mut fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.tried.set(LinkMode::Delay(Duration::from_millis(20)));
        client.send("first", b"").await;
        assert_eq!(client.answer().await, Some(200));
        // A link that passes again delivers at once what was delayed.
        fixture.tried.set(LinkMode::Delay(LONG));
        client.send("second", b"").await;
        fixture.wait_for_event(LinkEventKind::Request { path: "/second".into(), body: 0 }).await;
        fixture.barrier().await;
        assert!(fixture.calls("second").is_empty());
        fixture.tried.set(LinkMode::Pass);
        assert_eq!(client.answer().await, Some(200));
    });
}

#[test]
fn a_slow_link_delivers_chunk_by_chunk() {
    run_test(async || {
        let mut fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.tried.set(LinkMode::Slow(2_000));
        client.send("slow", &[b'x'; 50_000]).await;
        fixture.call("slow", |_| true).await;
        fixture.barrier().await;
        assert!(!is_complete(&fixture.calls("slow")[0]));
        fixture.tried.set(LinkMode::Pass);
        assert_eq!(client.answer().await, Some(200));
        assert_eq!(fixture.calls("slow")[0].body, BodyDigest::of(&[b'x'; 50_000]));
    });
}

#[test]
fn a_request_is_truncated_and_the_next_one_passes() {
    run_test(async || {
        let fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.tried.fault_next_request_to("/record", RequestFault::CutInBody(3));
        client.send("other", b"whole").await;
        assert_eq!(client.answer().await, Some(200));
        client.send("record", b"1234567").await;
        assert_eq!(client.answer().await, None);
        let cut = fixture.call("record", |call| call.abandoned.is_some()).await;
        assert_eq!((cut.body, cut.completed, cut.ran), (BodyDigest::of(b"123"), None, false));
        // A request that is truncated in its head is no call.
        fixture.tried.fault_next_request(RequestFault::CutAt(10));
        let mut client = Client::of(&fixture.tried).await;
        client.send("head", b"").await;
        assert_eq!(client.answer().await, None);
        fixture.wait_for_event(LinkEventKind::CutAt(10)).await;
        let mut client = Client::of(&fixture.tried).await;
        client.send("again", b"1234567").await;
        assert_eq!(client.answer().await, Some(200));
        assert!(fixture.calls("head").is_empty());
    });
}

#[test]
fn a_link_closes_what_is_open_and_takes_new_connections() {
    run_test(async || {
        let fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        client.send("held", b"").await;
        fixture.call("held", is_complete).await;
        fixture.tried.close();
        assert_eq!(client.answer().await, None);
        fixture.call("held", |call| call.abandoned.is_some()).await;
        let mut client = Client::of(&fixture.tried).await;
        client.send("new", b"").await;
        assert_eq!(client.answer().await, Some(200));
    });
}

#[test]
fn a_request_is_delivered_twice_and_answered_once() {
    run_test(async || {
        let fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.tried.fault_next_request(RequestFault::Duplicate);
        client.send("twice", b"same").await;
        assert_eq!(client.answer().await, Some(200));
        fixture.wait_for_event(LinkEventKind::Redelivered(200)).await;
        client.send("after", b"").await;
        assert_eq!(client.answer().await, Some(200));
        let calls = fixture.calls("twice");
        assert_eq!(calls.len(), 2);
        assert_ne!(calls[0].connection, calls[1].connection);
        assert!(calls.iter().all(|call| call.body == BodyDigest::of(b"same") && is_complete(call)));
    });
}

#[test]
fn a_captured_request_is_replayed() {
    run_test(async || {
        let fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.tried.fault_next_request(RequestFault::Capture);
        for id in ["kept", "between"] {
            client.send(id, b"").await;
            assert_eq!(client.answer().await, Some(200));
        }
        assert_eq!(fixture.calls("kept").len(), 1);
        let again: Result<u16> = fixture.tried.replay().await;
        assert_eq!(again.unwrap(), 200);
        let calls = fixture.calls("kept");
        assert!(calls[0].began < fixture.calls("between")[0].began);
        assert!(calls[1].began > fixture.calls("between")[0].began);
    });
}

#[test]
fn one_answer_is_dropped_after_its_request_arrived() {
    run_test(async || {
        let fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.tried.fault_next_request(RequestFault::LoseAnswer);
        client.send("lost", b"").await;
        assert_eq!(client.answer().await, None);
        fixture.call("lost", |call| call.answered.is_some_and(|(_, status)| status == 200)).await;
    });
}

#[test]
fn a_request_is_blocked_at_its_first_byte() {
    run_test(async || {
        let mut fixture = LinkFixture::new();
        let mut client = Client::of(&fixture.tried).await;
        fixture.tried.fault_next_request(RequestFault::Block);
        client.send("waits", b"").await;
        fixture.wait_for_event(LinkEventKind::RequestBlocked).await;
        fixture.barrier().await;
        assert!(fixture.calls("waits").is_empty());
        fixture.tried.release();
        assert_eq!(client.answer().await, Some(200));
    });
}

#[test]
fn a_link_without_a_listening_target_closes_its_connections() {
    run_test(async || {
        let port = Port::reserve().unwrap();
        let link = Link::open(0, 1, port.addr, Recorder::default()).unwrap();
        let reset = Client::of(&link).await.0.head().await;
        assert_eq!(reset.unwrap_err().kind(), ErrorKind::ConnectionReset);
        let refused = TcpStream::connect(port.addr).await;
        assert_eq!(refused.unwrap_err().kind(), ErrorKind::ConnectionRefused);
    });
}

#[test]
fn a_partner_counts_open_connections_only() {
    run_test(async || {
        let recorder = Recorder::default();
        let partner = Partner::open(0, 1, 2, recorder.clone(), |_| Answer::ok()).unwrap();
        let came = |n: usize| {
            recorder.wait_until("a connection", WAIT_TIMEOUT, move |r| r.connection_changes.get(n).copied())
        };
        let first = TcpStream::connect(partner.addr(0)).await.unwrap();
        assert_eq!(came(0).await.unwrap().open, 1);
        // A partitioned listener does not read the end of a closed connection.
        partner.set(0, listener::ListenerMode::Partitioned);
        drop(first);
        let _second = TcpStream::connect(partner.addr(1)).await.unwrap();
        let (went, came) = (came(1).await.unwrap(), came(2).await.unwrap());
        assert_eq!((went.opened, went.open, came.opened, came.open), (false, 0, true, 1));
        assert_eq!(recorder.read(|record| record.open_connections(0)), (1, 1));
    });
}
