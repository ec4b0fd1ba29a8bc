//! Connections at rest: which of them carry another call, and which are closed.

use crate::test_bed::{LONG, OK, TestBed, accept, call, is_closed_unused, nothing_comes, provider, run_test};
use quillmount_standins::http::Reader;
use serde_json::json;
use tokio::io::AsyncWriteExt;

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
