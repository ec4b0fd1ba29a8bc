//! Answers that are cut, never end, or come as the time of their message ends.

use crate::test_bed::{LONG, OK, TestBed, WAIT_TIMEOUT, accept, call, provider, run_test};
use quillmount_standins::client::{self, MessageRequest};
use quillmount_standins::http::Reader;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

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

/// The answer lies in the system as its message's time ends: by whose clock it came in time is not known here, and its
/// consumer would wait for ever if it did not.
#[test]
fn a_delivery_that_crosses_the_end_of_its_messages_time_is_followed_by_a_notice() {
    for class in ["fee-debit", "paid-notice"] {
        run_test(async || {
            let (listener, addr) = provider().await;
            let mut test_bed = TestBed::open(vec![(1, addr)], json!({})).await;
            let time = Duration::from_secs(2);
            test_bed.submit(class, "crosses", 1, time).await;
            // From the acknowledgement on: the message's time began before it.
            let begun = Instant::now();
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
