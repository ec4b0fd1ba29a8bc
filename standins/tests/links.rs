//! Each script of a link does what it says, between a plain client and a partner: what happens is told by
//! the order of events. Where nothing is to happen, another link's exchanges show that it had its time.

use quillmount_standins::door;
use quillmount_standins::fleet::link::{Link, Once, Passed, Saw, Way};
use quillmount_standins::fleet::{PATIENCE, play};
use quillmount_standins::gate::Port;
use quillmount_standins::http::Reader;
use quillmount_standins::partner::{Answer, Partner};
use quillmount_standins::record::{Body, Call, Record, Witness};
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

    /// The answer's status; none where the connection ended or broke first.
    async fn answer(&mut self) -> Option<u16> {
        self.0.head().await.ok().flatten().map(|head| head.status())
    }
}

/// Two links to one partner: the one that is tried, and one that passes.
struct Stage {
    witness: Witness,
    tried: Link,
    other: Link,
    partner: Partner,
    barriers: u32,
}

impl Stage {
    fn new() -> Stage {
        let witness = Witness::default();
        let answers = |call: &Call| if call.id.starts_with("held") { Answer::Held } else { Answer::ok() };
        let partner = Partner::open(0, 1, 2, witness.clone(), answers).unwrap();
        let link = |n| Link::open(n, 9, partner.addr(n), witness.clone()).unwrap();
        Stage { tried: link(0), other: link(1), barriers: 0, partner, witness }
    }

    /// Ten exchanges over the other link: what was on its way has come.
    async fn barrier(&mut self) {
        for _ in 0..10 {
            self.barriers += 1;
            let mut client = Client::of(&self.other).await;
            client.send(&format!("barrier-{}", self.barriers), b"").await;
            assert_eq!(client.answer().await, Some(200));
        }
    }

    fn calls(&self, id: &str) -> Vec<Call> {
        self.witness.read(|record| record.calls_of(id).cloned().collect())
    }

    async fn call(&self, id: &str, is: impl Fn(&Call) -> bool) -> Call {
        let found = |record: &Record| record.calls_of(id).find(|call| is(call)).cloned();
        self.witness.until(id, PATIENCE, found).await.unwrap()
    }

    async fn saw(&self, what: Saw) {
        let found = |record: &Record| {
            record.passed.iter().any(|passed| passed.from == 0 && passed.what == what).then_some(())
        };
        self.witness.until(&format!("{what:?}"), PATIENCE, found).await.unwrap();
    }
}

fn whole(call: &Call) -> bool {
    call.whole.is_some()
}

#[test]
fn a_link_passes_both_ways_on_one_connection() {
    play(async || {
        let stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        for id in ["one", "two"] {
            client.send(id, b"body").await;
            assert_eq!(client.answer().await, Some(200));
        }
        let (one, two) = (&stage.calls("one")[0], &stage.calls("two")[0]);
        assert_eq!((one.connection, one.body), (two.connection, Body::of(b"body")));
        stage.saw(Saw::Request { path: "/two".into(), body: 4 }).await;
        assert_eq!(stage.witness.read(|record| record.open_at(0)), (1, 1));
    });
}

#[test]
fn a_cut_link_is_silent_and_new_connections_do_not_come_up() {
    play(async || {
        let mut stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        client.send("before", b"").await;
        assert_eq!(client.answer().await, Some(200));
        // An answer that is out when it is cut stays out too.
        client.send("held", b"").await;
        stage.call("held", whole).await;
        stage.tried.set(Way::Cut);
        stage.partner.release("held", Answer::ok());
        let addr = stage.tried.addr();
        let new = spawn_local(async move { TcpStream::connect(addr).await.map(drop) });
        let answer = spawn_local(async move { (client.answer().await, client) });
        stage.barrier().await;
        assert!(!new.is_finished() && !answer.is_finished());
        stage.tried.set(Way::Pass);
        let (answer, mut client) = answer.await.unwrap();
        assert_eq!(answer, Some(200));
        new.await.unwrap().unwrap();
        stage.barrier().await;
        // What kept the queue full was none of anybody's.
        let came = |passed: &&Passed| passed.from == 0 && passed.what == Saw::Came;
        assert_eq!(stage.witness.read(|record| record.passed.iter().filter(came).count()), 2);
        stage.tried.set(Way::Cut);
        client.send("late", b"").await;
        stage.barrier().await;
        assert!(stage.calls("late").is_empty());
        stage.tried.set(Way::Pass);
        assert_eq!(client.answer().await, Some(200));
    });
}

#[test]
fn a_refusing_cut_refuses_new_connections_and_silences_the_old() {
    play(async || {
        let mut stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.saw(Saw::Came).await;
        stage.tried.set(Way::CutRefusing);
        stage.barrier().await;
        let new = TcpStream::connect(stage.tried.addr()).await;
        assert_eq!(new.unwrap_err().kind(), ErrorKind::ConnectionRefused);
        client.send("old", b"").await;
        stage.barrier().await;
        assert!(stage.calls("old").is_empty());
        stage.tried.set(Way::Pass);
        assert_eq!(client.answer().await, Some(200));
        Client::of(&stage.tried).await.send("new", b"").await;
        stage.call("new", whole).await;
    });
}

#[test]
fn cut_one_way_requests_get_there_and_answers_do_not() {
    play(async || {
        let stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.tried.set(Way::AnswersLost);
        client.send("one-way", b"").await;
        stage.call("one-way", |call| call.answered.is_some()).await;
        stage.saw(Saw::Lost).await;
        stage.tried.set(Way::Pass);
        // The answer is not there to come: the connection ends.
        assert_eq!(client.answer().await, None);
    });
}

#[test]
fn cut_the_other_way_requests_do_not_get_there() {
    play(async || {
        let mut stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        client.send("held", b"").await;
        stage.call("held", whole).await;
        stage.tried.set(Way::RequestsLost);
        stage.partner.release("held", Answer::ok());
        assert_eq!(client.answer().await, Some(200));
        client.send("other-way", b"").await;
        stage.saw(Saw::Lost).await;
        stage.barrier().await;
        assert!(stage.calls("other-way").is_empty());
        stage.tried.set(Way::Pass);
        assert_eq!(client.answer().await, None);
    });
}

#[test]
fn what_is_delayed_is_overtaken_and_comes_whole() {
    play(async || {
        let mut stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.tried.set(Way::Delay(Duration::from_millis(20)));
        client.send("first", b"").await;
        assert_eq!(client.answer().await, Some(200));
        // A link that passes again brings what was delayed at once.
        stage.tried.set(Way::Delay(LONG));
        client.send("second", b"").await;
        stage.saw(Saw::Request { path: "/second".into(), body: 0 }).await;
        stage.barrier().await;
        assert!(stage.calls("second").is_empty());
        stage.tried.set(Way::Pass);
        assert_eq!(client.answer().await, Some(200));
    });
}

#[test]
fn what_is_slow_comes_piece_by_piece() {
    play(async || {
        let mut stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.tried.set(Way::Slow(2_000));
        client.send("slow", &[b'x'; 50_000]).await;
        stage.call("slow", |_| true).await;
        stage.barrier().await;
        assert!(!whole(&stage.calls("slow")[0]));
        stage.tried.set(Way::Pass);
        assert_eq!(client.answer().await, Some(200));
        assert_eq!(stage.calls("slow")[0].body, Body::of(&[b'x'; 50_000]));
    });
}

#[test]
fn a_request_is_cut_in_its_middle_and_the_next_one_passes() {
    play(async || {
        let stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.tried.once_at("/record", Once::CutInBody(3));
        client.send("other", b"whole").await;
        assert_eq!(client.answer().await, Some(200));
        client.send("record", b"1234567").await;
        assert_eq!(client.answer().await, None);
        let cut = stage.call("record", |call| call.abandoned.is_some()).await;
        assert_eq!((cut.body, cut.whole, cut.ran), (Body::of(b"123"), None, false));
        // In the head there is no call yet.
        stage.tried.once(Once::CutAt(10));
        let mut client = Client::of(&stage.tried).await;
        client.send("head", b"").await;
        assert_eq!(client.answer().await, None);
        stage.saw(Saw::CutAt(10)).await;
        let mut client = Client::of(&stage.tried).await;
        client.send("again", b"1234567").await;
        assert_eq!(client.answer().await, Some(200));
        assert!(stage.calls("head").is_empty());
    });
}

#[test]
fn a_link_closes_what_is_open_and_takes_new_connections() {
    play(async || {
        let stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        client.send("held", b"").await;
        stage.call("held", whole).await;
        stage.tried.close();
        assert_eq!(client.answer().await, None);
        stage.call("held", |call| call.abandoned.is_some()).await;
        let mut client = Client::of(&stage.tried).await;
        client.send("new", b"").await;
        assert_eq!(client.answer().await, Some(200));
    });
}

#[test]
fn a_request_is_delivered_twice_and_answered_once() {
    play(async || {
        let stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.tried.once(Once::Twice);
        client.send("twice", b"same").await;
        assert_eq!(client.answer().await, Some(200));
        stage.saw(Saw::Again(200)).await;
        client.send("after", b"").await;
        assert_eq!(client.answer().await, Some(200));
        let calls = stage.calls("twice");
        assert_eq!(calls.len(), 2);
        assert_ne!(calls[0].connection, calls[1].connection);
        assert!(calls.iter().all(|call| call.body == Body::of(b"same") && whole(call)));
    });
}

#[test]
fn a_request_that_was_kept_is_delivered_again_when_told_to() {
    play(async || {
        let stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.tried.once(Once::Keep);
        for id in ["kept", "between"] {
            client.send(id, b"").await;
            assert_eq!(client.answer().await, Some(200));
        }
        assert_eq!(stage.calls("kept").len(), 1);
        let again: Result<u16> = stage.tried.replay().await;
        assert_eq!(again.unwrap(), 200);
        let calls = stage.calls("kept");
        assert!(calls[0].began < stage.calls("between")[0].began);
        assert!(calls[1].began > stage.calls("between")[0].began);
    });
}

#[test]
fn one_answer_is_lost_after_its_request_was_met() {
    play(async || {
        let stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.tried.once(Once::LoseAnswer);
        client.send("lost", b"").await;
        assert_eq!(client.answer().await, None);
        stage.call("lost", |call| call.answered.is_some_and(|(_, status)| status == 200)).await;
    });
}

#[test]
fn a_request_is_held_at_its_first_byte() {
    play(async || {
        let mut stage = Stage::new();
        let mut client = Client::of(&stage.tried).await;
        stage.tried.once(Once::Hold);
        client.send("waits", b"").await;
        stage.saw(Saw::Held).await;
        stage.barrier().await;
        assert!(stage.calls("waits").is_empty());
        stage.tried.release();
        assert_eq!(client.answer().await, Some(200));
    });
}

#[test]
fn nobody_behind_a_link_ends_its_connections() {
    play(async || {
        let port = Port::reserve().unwrap();
        let link = Link::open(0, 1, port.addr, Witness::default()).unwrap();
        let reset = Client::of(&link).await.0.head().await;
        assert_eq!(reset.unwrap_err().kind(), ErrorKind::ConnectionReset);
        let refused = TcpStream::connect(port.addr).await;
        assert_eq!(refused.unwrap_err().kind(), ErrorKind::ConnectionRefused);
    });
}

#[test]
fn a_partner_counts_what_is_open_and_not_what_it_has_not_heard_the_end_of() {
    play(async || {
        let witness = Witness::default();
        let partner = Partner::open(0, 1, 2, witness.clone(), |_| Answer::ok()).unwrap();
        let came = |n: usize| witness.until("a connection", PATIENCE, move |r| r.opens.get(n).copied());
        let first = TcpStream::connect(partner.addr(0)).await.unwrap();
        assert_eq!(came(0).await.unwrap().open, 1);
        // Behind a door that is cut, nobody reads the end of what is closed.
        partner.set(0, door::Way::Cut);
        drop(first);
        let _second = TcpStream::connect(partner.addr(1)).await.unwrap();
        let (went, came) = (came(1).await.unwrap(), came(2).await.unwrap());
        assert_eq!((went.came, went.open, came.came, came.open), (false, 0, true, 1));
        assert_eq!(witness.read(|record| record.open_at(0)), (1, 1));
    });
}
