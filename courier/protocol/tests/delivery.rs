//! Delivery calls on the wire: the requests to endpoints, and the meaning of complete, truncated and unframed
//! responses.

use quillmount_core::machine::attempt::Answer;
use quillmount_core::{CallEnd, DeliveryCall, MessagePayload};
use quillmount_policy::Micros;
use quillmount_protocol::delivery::{
    BundleResults, bundle_results, decode, decode_bundle, encode, load_report,
};

/// Guards against results that depend on how a response is split: a chunked response is complete at its last byte
/// and not before.
#[test]
fn a_chunked_response_with_a_trailer_is_complete_at_its_last_byte_and_not_before() {
    let response = |code: &str| {
        format!(
            "HTTP/1.1 {code} \r\nTRANSFER-ENCODING:chunked\r\n\r\n007\r\nbf52041\r\n2;part=2\r\n4d\r\n0\r\n\
             X-Sum: 5f3a\r\nX-Done: 1\r\n\r\n"
        )
    };
    for (code, end) in [("200", CallEnd::Delivered), ("503", CallEnd::Full(0))] {
        let text = response(code);
        for cut in 1..text.len() {
            assert_eq!(decode(&text.as_bytes()[..cut], false), Answer::Partial, "{code}, {cut} bytes");
        }
        assert_eq!(decode(text.as_bytes(), false), Answer::Whole { end, reusable: true });
    }
    let invalid_trailer = response("503").replace("X-Done: 1", "no field");
    let malformed = Answer::Whole { end: CallEnd::Spoilt(0), reusable: false };
    assert_eq!(decode(invalid_trailer.as_bytes(), false), malformed);
    assert_eq!(decode(&response("503").as_bytes()[..90], true), malformed);
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
    let (addr, timeout, time_left, deadline) =
        ("127.0.0.1:9".parse().unwrap(), 8_000_000, 1_500_000, Micros::MAX);
    DeliveryCall {
        call: id(1),
        endpoint: 0,
        dest: 0,
        addr,
        payload,
        timeout,
        send_before: deadline,
        stream: false,
        bundled,
        time_left,
    }
}

#[test]
fn a_bundle_carries_binary_bodies_and_the_shortest_time_left() {
    let text = String::from_utf8(encode(&call(&["a", "b"]))).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(
        head.starts_with("POST /events/bundle HTTP/1.1\r\n") && head.contains("X-Time-Left: 1500m"),
        "{head}"
    );
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{head}");
    assert_eq!(body, r#"[{"id":"a","body":"AP8K"},{"id":"b","key":"k\"1","body":"AP8K"}]"#);
    assert!(
        encode(&call(&["a"])).starts_with(b"POST /events HTTP/1.1"),
        "a call with one message is not a bundle"
    );
}

/// Guards against results from a truncated response: no message of a bundle has one before the last byte of a 200.
#[test]
fn a_bundle_response_counts_at_its_last_byte_and_has_a_result_for_each_message() {
    use CallEnd::*;
    let body = r#"[{"id":"c","state":"later"},{"id":"a","state":"ok"},{"id":"x","state":"ok"},{"id":"b","state":"error"},
        {"id":"d","state":"gone"},{"id":"e","state":"exhausted"},{"id":"f","state":"odd"},{"id":"g","state":"ok"},
        {"id":"g","state":"later"}]"#;
    let plain =
        format!("HTTP/1.1 200 OK\r\nRetry-After: 0.5\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (first_chunk, second_chunk) = body.split_at(40);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nRetry-After: 0.5\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first_chunk}\r\n{:x}\r\n{second_chunk}\r\n0\r\n\r\n",
        first_chunk.len(),
        second_chunk.len()
    );
    let bundle = call(&["a", "b", "c", "d", "e", "f", "g", "h"]);
    for response in [plain, chunked] {
        for cut in 1..response.len() {
            assert_eq!(decode_bundle(&response.as_bytes()[..cut], false), Answer::Partial, "{cut} bytes");
            let cut_short = decode_bundle(&response.as_bytes()[..cut], true);
            assert!(
                matches!(cut_short, Answer::Whole { end: Spoilt(_), reusable: false }),
                "{cut}: {cut_short:?}"
            );
        }
        assert_eq!(decode_bundle(response.as_bytes(), false), Answer::Whole { end: Each, reusable: true });
        let ends = [Delivered, Error, Full(0), Gone, Exhausted, Spoilt(0), Spoilt(0), Spoilt(0)];
        let results = BundleResults { ends: ends.to_vec(), retry_after: 500_000 };
        assert_eq!(bundle_results(response.as_bytes(), &bundle), results);
    }
    let empty = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(bundle_results(empty, &bundle).ends, [Spoilt(0); 8]);
    let too_large = b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(decode_bundle(too_large, false), Answer::Whole { end: NoSlot, reusable: true });
}

/// The framing headers of a response decide whether its status can be trusted and whether its connection can be
/// reused.
#[test]
fn a_response_of_unknown_length_ends_its_connection() {
    let complete = |end, reusable| Answer::Whole { end, reusable };
    let rows = [
        ("Content-Length: 0\r\n", "", true),
        ("Content-Length: 2\r\n", "ab", true),
        ("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n", true),
        // The body lasts until the connection closes.
        ("", "", false),
        ("Connection: close\r\nContent-Length: 0\r\n", "", false),
    ];
    for (headers, body, reusable) in rows {
        for (code, end) in [("200 OK", CallEnd::Delivered), ("503 X", CallEnd::Full(0))] {
            let text = format!("HTTP/1.1 {code}\r\n{headers}\r\n{body}");
            assert_eq!(decode(text.as_bytes(), false), complete(end, reusable), "{text:?}");
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
            assert_eq!(decode(text.as_bytes(), false), complete(end, false), "{text:?}");
        }
    }
}

/// Interim responses precede the final one and do not change its meaning in any of the decoders. Before the final
/// response begins, the result is awaited. A 101 is not an interim response.
#[test]
fn interim_responses_do_not_affect_the_final_response() {
    let bundle = call(&["a", "b"]);
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
            for ended in [false, true] {
                assert_eq!(decode(&text[..cut], ended), decode(rest, ended), "{head}, {cut} bytes");
                assert_eq!(
                    decode_bundle(&text[..cut], ended),
                    decode_bundle(rest, ended),
                    "{head}, {cut} bytes"
                );
            }
        }
        assert_eq!(decode(interim.as_bytes(), false), Answer::Awaited);
        let ends = vec![CallEnd::Delivered, CallEnd::Full(0)];
        assert_eq!(bundle_results(text, &bundle), BundleResults { ends, retry_after: 1_000_000 });
        assert_eq!(load_report(text), [("in_use".to_string(), 2.0)]);
    }
    let switching_protocols = "HTTP/1.1 101 X\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(
        decode(switching_protocols.as_bytes(), false),
        Answer::Whole { end: CallEnd::Error, reusable: true }
    );
}
