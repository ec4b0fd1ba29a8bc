//! Invoker calls on the wire: what an endpoint is sent, and what its answers mean, whole, cut or endless.

use quillmount_core::machine::attempt::Answer;
use quillmount_core::{CallEnd, DeliveryCall, MessagePayload};
use quillmount_policy::Micros;
use quillmount_protocol::delivery::{
    BundleResults, bundle_results, decode, decode_bundle, encode, load_report,
};

/// Whatever the pieces in which an answer comes, it says one thing, and only with its last byte where it is no 200.
#[test]
fn a_chunked_answer_with_a_trailer_is_whole_at_its_last_byte_and_no_sooner() {
    let answer = |code: &str| {
        format!(
            "HTTP/1.1 {code} \r\nTRANSFER-ENCODING:chunked\r\n\r\n007\r\nbf52041\r\n2;part=2\r\n4d\r\n0\r\n\
             X-Sum: 5f3a\r\nX-Done: 1\r\n\r\n"
        )
    };
    for (code, end) in [("200", CallEnd::Delivered), ("503", CallEnd::Full(0))] {
        let text = answer(code);
        for cut in 1..text.len() {
            assert_eq!(decode(&text.as_bytes()[..cut], false), Answer::Partial, "{code}, {cut} bytes");
        }
        assert_eq!(decode(text.as_bytes(), false), Answer::Whole { end, reusable: true });
    }
    let odd = answer("503").replace("X-Done: 1", "no field");
    let spoilt = Answer::Whole { end: CallEnd::Spoilt(0), reusable: false };
    assert_eq!(decode(odd.as_bytes(), false), spoilt);
    assert_eq!(decode(&answer("503").as_bytes()[..90], true), spoilt);
}

fn call(ids: &[&str]) -> DeliveryCall {
    let payload = |id: &&str| {
        let (id, key, body) = (id.to_string(), (*id == "b").then(|| "k\"1".into()), vec![0, 255, 10].into());
        std::sync::Arc::new(MessagePayload { id, key, tenant: None, body })
    };
    let id = |msg| quillmount_core::CallId { msg, attempt: 0 };
    let mut payloads = ids.iter().map(payload).zip(1..);
    let (payload, _) = payloads.next().unwrap();
    let bundled =
        payloads.map(|(payload, n)| quillmount_core::BundledMessage { call: id(n), payload }).collect();
    let (addr, timeout, time_left, by) = ("127.0.0.1:9".parse().unwrap(), 8_000_000, 1_500_000, Micros::MAX);
    DeliveryCall {
        call: id(1),
        endpoint: 0,
        dest: 0,
        addr,
        payload,
        timeout,
        send_before: by,
        stream: false,
        bundled,
        time_left,
    }
}

#[test]
fn a_call_with_several_messages_carries_any_bytes_and_the_least_time_left() {
    let text = String::from_utf8(encode(&call(&["a", "b"]))).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(
        head.starts_with("POST /events/bundle HTTP/1.1\r\n") && head.contains("X-Time-Left: 1500m"),
        "{head}"
    );
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{head}");
    assert_eq!(body, r#"[{"id":"a","body":"AP8K"},{"id":"b","key":"k\"1","body":"AP8K"}]"#);
    assert!(encode(&call(&["a"])).starts_with(b"POST /events HTTP/1.1"), "one message is a plain call");
}

/// Nothing is said of any message before the last byte of a 200, and all of them then.
#[test]
fn an_answer_for_several_counts_with_its_last_byte_and_each_message_gets_what_is_true_of_it() {
    use CallEnd::*;
    let body = r#"[{"id":"c","state":"later"},{"id":"a","state":"ok"},{"id":"x","state":"ok"},{"id":"b","state":"error"},
        {"id":"d","state":"gone"},{"id":"e","state":"exhausted"},{"id":"f","state":"odd"},{"id":"g","state":"ok"},
        {"id":"g","state":"later"}]"#;
    let plain =
        format!("HTTP/1.1 200 OK\r\nRetry-After: 0.5\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (one, two) = body.split_at(40);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nRetry-After: 0.5\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
        one.len(),
        two.len()
    );
    let order = call(&["a", "b", "c", "d", "e", "f", "g", "h"]);
    for answer in [plain, chunked] {
        for cut in 1..answer.len() {
            assert_eq!(decode_bundle(&answer.as_bytes()[..cut], false), Answer::Partial, "{cut} bytes");
            let cut_short = decode_bundle(&answer.as_bytes()[..cut], true);
            assert!(
                matches!(cut_short, Answer::Whole { end: Spoilt(_), reusable: false }),
                "{cut}: {cut_short:?}"
            );
        }
        assert_eq!(decode_bundle(answer.as_bytes(), false), Answer::Whole { end: Each, reusable: true });
        let ends = [Delivered, Error, Full(0), Gone, Exhausted, Spoilt(0), Spoilt(0), Spoilt(0)];
        let results = BundleResults { ends: ends.to_vec(), retry_after: 500_000 };
        assert_eq!(bundle_results(answer.as_bytes(), &order), results);
    }
    let empty = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(bundle_results(empty, &order).ends, [Spoilt(0); 8]);
    let too_many = b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(decode_bundle(too_many, false), Answer::Whole { end: NoSlot, reusable: true });
}

/// How an answer's length is told decides what may be believed of it, and whether its connection may carry another call.
#[test]
fn an_answer_whose_length_can_t_be_known_ends_its_connection() {
    let whole = |end, reusable| Answer::Whole { end, reusable };
    let rows = [
        ("Content-Length: 0\r\n", "", true),
        ("Content-Length: 2\r\n", "ab", true),
        ("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n", true),
        // It lasts until its connection ends.
        ("", "", false),
        ("Connection: close\r\nContent-Length: 0\r\n", "", false),
    ];
    for (headers, body, reusable) in rows {
        for (code, end) in [("200 OK", CallEnd::Delivered), ("503 X", CallEnd::Full(0))] {
            let text = format!("HTTP/1.1 {code}\r\n{headers}\r\n{body}");
            assert_eq!(decode(text.as_bytes(), false), whole(end, reusable), "{text:?}");
        }
    }
    let unknown = [
        "Content-Length: -1\r\n",
        "Content-Length: +0\r\n",
        "Content-Length: 0x0\r\n",
        "Content-Length: 0, 0\r\n",
        "Content-Length:\r\n",
        "Content-Length: 0\r\nContent-Length: 0\r\n",
        "Content-Length: 65537\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
    ];
    for headers in unknown {
        for (code, end) in [("200 OK", CallEnd::Delivered), ("503 X", CallEnd::Spoilt(0))] {
            let text = format!("HTTP/1.1 {code}\r\n{headers}\r\n");
            assert_eq!(decode(text.as_bytes(), false), whole(end, false), "{text:?}");
        }
    }
}

/// Interim answers stand before the one that counts: it says with them what it says without, to every reader, and nothing of
/// it is said before it begins. A 101 is none of them.
#[test]
fn interim_answers_change_nothing_of_the_one_behind_them() {
    let order = call(&["a", "b"]);
    let body = r#"[{"id":"a","state":"ok"},{"id":"b","state":"later"}]"#;
    let length = body.len();
    let interim =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nX-Backend-Load: in_use=9\r\nRetry-After: 7\r\n\r\n";
    for head in ["200 OK", "503 X"] {
        let plain = format!(
            "HTTP/1.1 {head}\r\nX-Backend-Load: in_use=2\r\nRetry-After: 1\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let text = [interim, &plain].concat();
        let (plain, text) = (plain.as_bytes(), text.as_bytes());
        for cut in interim.len() + 1..=text.len() {
            let rest = &plain[..cut - interim.len()];
            for over in [false, true] {
                assert_eq!(decode(&text[..cut], over), decode(rest, over), "{head}, {cut} bytes");
                assert_eq!(
                    decode_bundle(&text[..cut], over),
                    decode_bundle(rest, over),
                    "{head}, {cut} bytes"
                );
            }
        }
        assert_eq!(decode(interim.as_bytes(), false), Answer::Awaited);
        let ends = vec![CallEnd::Delivered, CallEnd::Full(0)];
        assert_eq!(bundle_results(text, &order), BundleResults { ends, retry_after: 1_000_000 });
        assert_eq!(load_report(text), [("in_use".to_string(), 2.0)]);
    }
    let switched = "HTTP/1.1 101 X\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(decode(switched.as_bytes(), false), Answer::Whole { end: CallEnd::Error, reusable: true });
}
