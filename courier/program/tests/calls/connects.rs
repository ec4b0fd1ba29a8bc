//! Connections that come up late.

use crate::test_bed::{LONG, OK, TestBed, accept, call, is_closed_unused, nothing_comes, provider, run_test};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

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
