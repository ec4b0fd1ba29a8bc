//! An endpoint whose connection table is full rejects a call on a new connection and closes the connection.

use bytes::Bytes;
use quillmount_core::call::Call;
use quillmount_core::machine::attempt::{Answer, AttemptInput};
use quillmount_core::pool::{Pool, PoolLoad};
use quillmount_core::{CallEnd, CallId, DeliveryCall, MessagePayload};
use std::sync::Arc;

const NOW: u64 = 1_000_000_000;

fn delivery_call() -> DeliveryCall {
    let payload = MessagePayload { id: "m".into(), key: None, tenant: None, body: Bytes::new() };
    DeliveryCall {
        call: CallId { msg: 1, attempt: 0 },
        endpoint: 7,
        dest: 1,
        addr: "127.0.0.1:1".parse().unwrap(),
        payload: Arc::new(payload),
        timeout: 1_000_000,
        send_before: u64::MAX,
        stream: false,
        bundled: Vec::new(),
        time_left: 1_000_000,
    }
}

/// Runs a call that is rejected with this answer on a new (`fresh`) or an idle connection; `reports`: answers have a load
/// report. Returns the call's end and the load of the pool.
fn end(answer: fn(&[u8], bool) -> Answer, fresh: bool, reports: bool) -> (Option<CallEnd>, PoolLoad) {
    let mut pool = Pool::new(15_000_000, 9);
    if !fresh {
        assert!(pool.add_idle(7, delivery_call().addr, NOW, 70).is_none());
    }
    let mut call = Call::new(delivery_call(), answer, 64);
    call.closed_rejection_is_refusal = reports;
    call.start(&mut pool, NOW, |_| true);
    if fresh {
        call.connected(&mut pool, 71, NOW);
    }
    call.step(&mut pool, AttemptInput::Wrote { bytes: 1, left: 0 }, NOW);
    let step = call.step(&mut pool, AttemptInput::Read, NOW + 1);
    (step.end, pool.load())
}

#[test]
fn a_rejection_that_closes_a_new_connection_is_a_failed_connect() {
    let load = |calls, idle| PoolLoad { calls, idle };
    let closes = |_: &[u8], _| Answer::Whole { end: CallEnd::Full(0), reusable: false };
    assert_eq!(end(closes, true, true), (Some(CallEnd::CouldNotConnect), load(0, 0)));
    // Without load reports the rejection may come from a limit other than the connection table.
    assert_eq!(end(closes, true, false), (Some(CallEnd::Full(0)), load(0, 0)));
    // It is no failed connect if the connection was in use before, if it stays open, or if the answer has a retry delay.
    assert_eq!(end(closes, false, true), (Some(CallEnd::Full(0)), load(0, 0)));
    let keeps = |_: &[u8], _| Answer::Whole { end: CallEnd::Full(0), reusable: true };
    assert_eq!(end(keeps, true, true), (Some(CallEnd::Full(0)), load(0, 1)));
    let waits = |_: &[u8], _| Answer::Whole { end: CallEnd::Full(9), reusable: false };
    assert_eq!(end(waits, true, true).0, Some(CallEnd::Full(9)));
}
