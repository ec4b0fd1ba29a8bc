//! Compares all encoded and decoded forms with stored fixtures: endpoint lists, heads of submissions and responses
//! to them, calls to endpoints and their responses, notices and operator commands. `WRITE_FIXTURES=1` regenerates
//! the fixtures.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use quillmount_core::flow::{Cut, Late};
use quillmount_core::machine::attempt::Answer;
use quillmount_core::router::{Intake, StreamEnd};
use quillmount_core::{
    BundledMessage, CallEnd, CallId, DeliveryCall, Ending, EndpointList, EndpointListing, MessagePayload,
    Notice, StreamHead, Submission,
};
use quillmount_policy::EndpointState;
use quillmount_protocol::delivery::BundleResults;
use quillmount_protocol::discovery::{ListDecoder, watch_path};
use quillmount_protocol::operator::{self, Line, OperatorCall, OperatorCallError};
use quillmount_protocol::submission::{self, Head, Malformed};
use quillmount_protocol::{delivery, notice, stream};
use quillmount_test_support::fixtures::Fixtures;
use std::sync::Arc;

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

fn endpoint(id: &str, addr: Option<&str>, dest: u64, state: EndpointState) -> EndpointListing {
    let (kind, zone) = (String::new(), String::new());
    EndpointListing {
        id: id.into(),
        addr: addr.map(|a| a.parse().unwrap()),
        dest,
        kind,
        zone,
        weight: 0.0,
        state,
    }
}

/// Decodes a file with a full list, a list of changes and an empty one, which contain fields that the decoder
/// ignores.
#[test]
fn decoding_of_endpoint_lists_is_unchanged() {
    let bytes = include_bytes!("fixtures/discovery_lists.json");
    let outcome = ListDecoder::default().feed(bytes);
    assert!(outcome.error.is_none() && outcome.alive);
    let first = EndpointListing {
        kind: "bank".into(),
        zone: "ü".into(),
        weight: 2.5,
        ..endpoint("s-\"1\"", Some("10.1.0.18:7070"), 3, EndpointState::Ready)
    };
    let second = EndpointListing {
        weight: 1.0,
        ..endpoint("s-2", Some("[2001:db8::1]:7070"), 4, EndpointState::Draining)
    };
    let full = EndpointList { version: 42, full: true, endpoints: vec![first, second] };
    let gone =
        vec![endpoint("s-2", None, 4, EndpointState::Gone), endpoint("s-3", None, 4, EndpointState::Gone)];
    let delta = EndpointList { version: 43, full: false, endpoints: gone };
    let empty = EndpointList { version: 44, full: false, endpoints: vec![] };
    assert_eq!(outcome.lists, [full, delta, empty]);
    assert_eq!(watch_path(44), "/api/targets?watch=1&after=44");
}

#[test]
fn encoding_of_notices_is_unchanged() {
    let notice = |id: &str, ending| Notice { msg: 1, id: id.into(), ending };
    let notices = [
        notice("m1", Ending::Undeliverable),
        notice("m\"2", Ending::Deferred(0)),
        notice("m3", Ending::Deferred(1)),
        notice("m4", Ending::Deferred(250_000)),
    ];
    FIXTURES.check("notices.jsonl", notice::encode(&notices).as_bytes());
    assert_eq!(notice::PATH, "/v2/finals");
}

fn headers(text: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in text {
        headers
            .append(HeaderName::from_bytes(name.as_bytes()).unwrap(), HeaderValue::from_str(value).unwrap());
    }
    headers
}

const VALID_HEADERS: [(&str, &str); 6] = [
    ("X-Correlation-Id", "m1"),
    ("Idempotency-Key", "k1"),
    ("X-Time-Left", "480m"),
    ("X-Addressing", "zone=z1; dest=700"),
    ("X-Account", "north"),
    ("Content-Length", "4"),
];

/// The valid headers with this one replaced, or removed without a value.
fn with_header(name: &str, value: Option<&str>) -> HeaderMap {
    let all = VALID_HEADERS.iter().filter(|(other, _)| *other != name).copied();
    headers(&all.chain(value.map(|value| (name, value))).collect::<Vec<_>>())
}

#[test]
fn decoding_of_submission_heads_is_unchanged() {
    let head = Head::decode(&Method::POST, "/fee-debit/more", &headers(&VALID_HEADERS)).unwrap();
    assert_eq!((head.length, head.class()), (4, "fee-debit"));
    let expected = Submission {
        id: "m1".into(),
        class: "fee-debit".into(),
        key: Some("k1".into()),
        dest: 700,
        tenant: Some("north".into()),
        time_left: 480_000,
        body: Bytes::from_static(b"body"),
    };
    assert_eq!(head.with_body(Bytes::from_static(b"body")), expected);
    let read = |headers: &HeaderMap| Head::decode(&Method::POST, "/fee-debit", headers);
    let without_key = read(&with_header("Idempotency-Key", None)).unwrap().with_body(Bytes::new());
    assert_eq!((without_key.key, without_key.tenant.as_deref()), (None, Some("north")));
    assert_eq!(read(&with_header("X-Account", None)).unwrap().with_body(Bytes::new()).tenant, None);
    let time_left = |text| {
        read(&with_header("X-Time-Left", Some(text))).map(|head| head.with_body(Bytes::new()).time_left)
    };
    assert_eq!(
        [time_left("250u"), time_left("1.5m"), time_left("600000m")],
        [Ok(250), Ok(1_500), Ok(600_000_000)]
    );
    for (headers, error) in [
        (with_header("X-Correlation-Id", None), Malformed::Id),
        (with_header("Idempotency-Key", Some("a b")), Malformed::Key),
        (with_header("X-Time-Left", Some("480")), Malformed::TimeLeft),
        (with_header("X-Time-Left", Some("600001m")), Malformed::TimeLeft),
        (with_header("X-Addressing", Some("cell=700")), Malformed::Dest),
        (with_header("Content-Length", None), Malformed::Length),
        (with_header("Content-Length", Some("65537")), Malformed::TooLarge),
    ] {
        assert_eq!(read(&headers).unwrap_err(), error);
    }
    let decode_error = |method, path| Head::decode(&method, path, &headers(&VALID_HEADERS)).unwrap_err();
    assert_eq!(decode_error(Method::GET, "/fee-debit"), Malformed::Method);
    assert_eq!(
        [decode_error(Method::POST, "/"), decode_error(Method::POST, "/-/x")],
        [Malformed::Path, Malformed::Path]
    );
}

/// Formats a response as text: status, headers, body.
fn response_text(response: Response<Bytes>) -> String {
    let status = response.status().as_u16();
    let mut headers: Vec<String> = response
        .headers()
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
        .collect();
    headers.sort();
    let body = response.into_body();
    format!("{status}\n{}\n\n{}", headers.join("\n"), std::str::from_utf8(&body).unwrap())
}

#[test]
fn encoding_of_responses_to_clients_is_unchanged() {
    let intakes = [
        Intake::Accepted,
        Intake::Delivered,
        Intake::Rejected { after: 2_000_000 },
        Intake::Rejected { after: 1 },
        Intake::Failed,
        Intake::Open,
        Intake::UnknownClass,
        Intake::UnknownDest,
    ];
    let malformed = [
        Malformed::Path,
        Malformed::Method,
        Malformed::Id,
        Malformed::Key,
        Malformed::TimeLeft,
        Malformed::Dest,
        Malformed::Unreadable,
        Malformed::HeadTooLarge,
        Malformed::Length,
        Malformed::TooLarge,
        Malformed::ExceedsClassLimit,
        Malformed::Digest,
        Malformed::Expect,
        Malformed::Pipelined,
        Malformed::Slow,
    ];
    let cuts = [
        Cut::Gone,
        Cut::Malformed,
        Cut::TooLarge,
        Cut::Digest,
        Cut::Late(Late::Stalled),
        Cut::Late(Late::Slow),
    ];
    let ends = [StreamEnd::Delivered, StreamEnd::Deferred(250_000), StreamEnd::Failed];
    let ends = ends.into_iter().chain(cuts.map(StreamEnd::Cut));
    let other = submission::answer_with(StatusCode::BAD_GATEWAY, "other\n", Some(1_500));
    let all: Vec<String> = intakes
        .map(submission::answer)
        .into_iter()
        .chain(malformed.map(submission::refuse))
        .chain(ends.map(stream::answer))
        .chain([other])
        .map(response_text)
        .collect();
    FIXTURES.check("answers.txt", all.join("----\n").as_bytes());
    let ends_connection: Vec<bool> = malformed.iter().map(|reason| reason.ends_connection()).collect();
    let expected = [false, false, false, false, false, false];
    assert_eq!((&ends_connection[..6], ends_connection[6..].iter().all(|ends| *ends)), (&expected[..], true));
}

fn call(is_bundle: bool, key: Option<&str>) -> DeliveryCall {
    let payload = |id: &str, key: Option<&str>| {
        let (key, body) = (key.map(Into::into), Bytes::from_static(b"\x00\xff\n"));
        Arc::new(MessagePayload { id: id.into(), key, tenant: Some("north".into()), body })
    };
    let bundled = |msg, id| BundledMessage { call: CallId { msg, attempt: 0 }, payload: payload(id, None) };
    DeliveryCall {
        call: CallId { msg: 1, attempt: 0 },
        endpoint: 0,
        dest: 7,
        addr: "10.1.0.18:7070".parse().unwrap(),
        payload: payload("m1", key),
        timeout: 8_000_001,
        send_before: u64::MAX,
        stream: false,
        bundled: if is_bundle { vec![bundled(2, "m2"), bundled(3, "m\"3")] } else { vec![] },
        time_left: 1_500_000,
    }
}

#[test]
fn encoding_of_calls_to_endpoints_is_unchanged() {
    let stream = |length, digest: Option<&str>| {
        stream::encode_head(&call(false, Some("k1")), &StreamHead { length, digest: digest.map(Into::into) })
    };
    let digest = "sha-256=:RK/0qy18MlBSVnWgjwz6lZEWjP/lF5HF9bvEF8FabDg=:";
    for (name, bytes) in [
        ("call_plain.http", delivery::encode(&call(false, None))),
        ("call_keyed.http", delivery::encode(&call(false, Some("k1")))),
        ("call_several.http", delivery::encode(&call(true, Some("k1")))),
        ("call_stream_length.http", stream(Some(300), Some(digest)).into_bytes()),
        ("call_stream_chunked.http", stream(None, None).into_bytes()),
    ] {
        FIXTURES.check(name, &bytes);
    }
    assert_eq!(stream::chunk_line(300), "12c\r\n");
    assert_eq!((stream::CHUNK_END, stream::LAST_CHUNK), ("\r\n".into(), "0\r\n\r\n".into()));
}

#[test]
fn decoding_of_endpoint_responses_is_unchanged() {
    let response = |head: &str| format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").into_bytes();
    let complete = |end| Answer::Whole { end, reusable: true };
    for (head, end) in [
        ("200 OK", CallEnd::Delivered),
        ("429 X\r\nRetry-After: 1.5", CallEnd::Full(1_500_000)),
        ("429 X\r\nRetry-After: 0", CallEnd::Full(0)),
        ("429 X", CallEnd::Error),
        ("503 X\r\nX-Over-Slots: 1", CallEnd::NoSlot),
        ("503 X", CallEnd::Full(0)),
        ("504 X", CallEnd::Exhausted),
        ("410 X", CallEnd::Gone),
        ("500 X", CallEnd::Error),
    ] {
        assert_eq!(delivery::decode(&response(head), false), complete(end), "{head}");
    }
    for (head, end) in [("200 OK", CallEnd::Each), ("400 X", CallEnd::NoSlot), ("413 X", CallEnd::NoSlot)] {
        assert_eq!(delivery::decode_bundle(&response(head), false), complete(end), "{head}");
    }
    let states = ["ok", "error", "later", "gone", "exhausted", "other"];
    let expected = [
        CallEnd::Delivered,
        CallEnd::Error,
        CallEnd::Full(0),
        CallEnd::Gone,
        CallEnd::Exhausted,
        CallEnd::Spoilt(0),
    ];
    for (state, end) in states.into_iter().zip(expected) {
        let body = format!(r#"[{{"id":"m2","state":"{state}"}},{{"id":"m1","state":"ok"}}]"#);
        let head = format!("HTTP/1.1 200 OK\r\nRetry-After: 2\r\nContent-Length: {}\r\n\r\n", body.len());
        let bytes = [head.as_bytes(), body.as_bytes()].concat();
        let ends = vec![CallEnd::Delivered, end, CallEnd::Spoilt(0)];
        let results = BundleResults { ends, retry_after: 2_000_000 };
        assert_eq!(delivery::bundle_results(&bytes, &call(true, None)), results, "{state}");
    }
    let load = delivery::load_report(&response("200 OK\r\nX-Backend-Load: x0=0.4,x1=25"));
    assert_eq!(load, [("x0".to_string(), 0.4), ("x1".to_string(), 25.0)]);
}

#[test]
fn decoding_of_operator_commands_and_encoding_of_replies_are_unchanged() {
    let calls = [
        ("READY\n", OperatorCall::Ready),
        ("DISABLE s-1\n", OperatorCall::Disable("s-1".into())),
        ("ENABLE s-1\r\n", OperatorCall::Enable("s-1".into())),
        ("DRAIN\n", OperatorCall::Drain),
        ("UNDRAIN\n", OperatorCall::Undrain),
    ];
    for (line, call) in calls {
        assert_eq!(operator::read(line.as_bytes(), false), Line::Complete(Ok(call)));
    }
    let errors = [
        OperatorCallError::TooLong,
        OperatorCallError::NotText,
        OperatorCallError::Empty,
        OperatorCallError::Unknown,
        OperatorCallError::MissingId,
        OperatorCallError::TrailingFields,
        OperatorCallError::Unterminated,
    ];
    let mut all: String = errors.iter().map(|error| operator::answer(Err(&error.to_string()))).collect();
    all += &operator::answer(Ok("ready"));
    FIXTURES.check("operator_answers.txt", all.as_bytes());
}
