//! The platform's forms on HTTP as text: discovery's lists, submissions' heads and answers, calls to endpoints and their
//! answers, notices and operators' lines. `WRITE_FIXTURES=1` writes the files anew.

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

/// A file of two lists, one whole and one of changes, with fields that nobody here reads.
#[test]
fn lists_are_read_as_ever() {
    let bytes = include_bytes!("fixtures/discovery_lists.json");
    let said = ListDecoder::default().feed(bytes);
    assert!(said.error.is_none() && said.alive);
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
    let whole = EndpointList { version: 42, full: true, endpoints: vec![first, second] };
    let gone =
        vec![endpoint("s-2", None, 4, EndpointState::Gone), endpoint("s-3", None, 4, EndpointState::Gone)];
    let delta = EndpointList { version: 43, full: false, endpoints: gone };
    let empty = EndpointList { version: 44, full: false, endpoints: vec![] };
    assert_eq!(said.lists, [whole, delta, empty]);
    assert_eq!(watch_path(44), "/api/targets?watch=1&after=44");
}

#[test]
fn notices_are_written_as_ever() {
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

const ALL: [(&str, &str); 6] = [
    ("X-Correlation-Id", "m1"),
    ("Idempotency-Key", "k1"),
    ("X-Time-Left", "480m"),
    ("X-Addressing", "zone=z1; dest=700"),
    ("X-Account", "north"),
    ("Content-Length", "4"),
];

/// All headers but this one, which has another value, or is absent.
fn but(name: &str, value: Option<&str>) -> HeaderMap {
    let all = ALL.iter().filter(|(other, _)| *other != name).copied();
    headers(&all.chain(value.map(|value| (name, value))).collect::<Vec<_>>())
}

#[test]
fn heads_of_submissions_are_read_as_ever() {
    let head = Head::decode(&Method::POST, "/fee-debit/more", &headers(&ALL)).unwrap();
    assert_eq!((head.length, head.class()), (4, "fee-debit"));
    let wanted = Submission {
        id: "m1".into(),
        class: "fee-debit".into(),
        key: Some("k1".into()),
        dest: 700,
        tenant: Some("north".into()),
        time_left: 480_000,
        body: Bytes::from_static(b"body"),
    };
    assert_eq!(head.with_body(Bytes::from_static(b"body")), wanted);
    let read = |headers: &HeaderMap| Head::decode(&Method::POST, "/fee-debit", headers);
    let bare = read(&but("Idempotency-Key", None)).unwrap().with_body(Bytes::new());
    assert_eq!((bare.key, bare.tenant.as_deref()), (None, Some("north")));
    assert_eq!(read(&but("X-Account", None)).unwrap().with_body(Bytes::new()).tenant, None);
    let left =
        |text| read(&but("X-Time-Left", Some(text))).map(|head| head.with_body(Bytes::new()).time_left);
    assert_eq!([left("250u"), left("1.5m"), left("600000m")], [Ok(250), Ok(1_500), Ok(600_000_000)]);
    for (headers, why) in [
        (but("X-Correlation-Id", None), Malformed::Id),
        (but("Idempotency-Key", Some("a b")), Malformed::Key),
        (but("X-Time-Left", Some("480")), Malformed::TimeLeft),
        (but("X-Time-Left", Some("600001m")), Malformed::TimeLeft),
        (but("X-Addressing", Some("cell=700")), Malformed::Dest),
        (but("Content-Length", None), Malformed::Length),
        (but("Content-Length", Some("65537")), Malformed::TooLarge),
    ] {
        assert_eq!(read(&headers).unwrap_err(), why);
    }
    let other = |method, path| Head::decode(&method, path, &headers(&ALL)).unwrap_err();
    assert_eq!(other(Method::GET, "/fee-debit"), Malformed::Method);
    assert_eq!([other(Method::POST, "/"), other(Method::POST, "/-/x")], [Malformed::Path, Malformed::Path]);
}

/// An answer as text: status, headers, body.
fn text(response: Response<Bytes>) -> String {
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
fn answers_to_clients_are_written_as_ever() {
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
        .map(text)
        .collect();
    FIXTURES.check("answers.txt", all.join("----\n").as_bytes());
    let ending: Vec<bool> = malformed.iter().map(|why| why.ends_connection()).collect();
    let wanted = [false, false, false, false, false, false];
    assert_eq!((&ending[..6], ending[6..].iter().all(|ends| *ends)), (&wanted[..], true));
}

fn call(several: bool, key: Option<&str>) -> DeliveryCall {
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
        bundled: if several { vec![bundled(2, "m2"), bundled(3, "m\"3")] } else { vec![] },
        time_left: 1_500_000,
    }
}

#[test]
fn calls_to_endpoints_are_written_as_ever() {
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
fn answers_of_endpoints_are_read_as_ever() {
    let answer = |head: &str| format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").into_bytes();
    let whole = |end| Answer::Whole { end, reusable: true };
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
        assert_eq!(delivery::decode(&answer(head), false), whole(end), "{head}");
    }
    for (head, end) in [("200 OK", CallEnd::Each), ("400 X", CallEnd::NoSlot), ("413 X", CallEnd::NoSlot)] {
        assert_eq!(delivery::decode_bundle(&answer(head), false), whole(end), "{head}");
    }
    let states = ["ok", "error", "later", "gone", "exhausted", "other"];
    let wanted = [
        CallEnd::Delivered,
        CallEnd::Error,
        CallEnd::Full(0),
        CallEnd::Gone,
        CallEnd::Exhausted,
        CallEnd::Spoilt(0),
    ];
    for (state, end) in states.into_iter().zip(wanted) {
        let body = format!(r#"[{{"id":"m2","state":"{state}"}},{{"id":"m1","state":"ok"}}]"#);
        let head = format!("HTTP/1.1 200 OK\r\nRetry-After: 2\r\nContent-Length: {}\r\n\r\n", body.len());
        let bytes = [head.as_bytes(), body.as_bytes()].concat();
        let ends = vec![CallEnd::Delivered, end, CallEnd::Spoilt(0)];
        let results = BundleResults { ends, retry_after: 2_000_000 };
        assert_eq!(delivery::bundle_results(&bytes, &call(true, None)), results, "{state}");
    }
    let load = delivery::load_report(&answer("200 OK\r\nX-Backend-Load: x0=0.4,x1=25"));
    assert_eq!(load, [("x0".to_string(), 0.4), ("x1".to_string(), 25.0)]);
}

#[test]
fn operators_lines_are_read_and_answered_as_ever() {
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
    let bad = [
        OperatorCallError::TooLong,
        OperatorCallError::NotText,
        OperatorCallError::Empty,
        OperatorCallError::Unknown,
        OperatorCallError::NoId,
        OperatorCallError::Surplus,
        OperatorCallError::Unended,
    ];
    let mut all: String = bad.iter().map(|why| operator::answer(Err(&why.to_string()))).collect();
    all += &operator::answer(Ok("ready"));
    FIXTURES.check("operator_answers.txt", all.as_bytes());
}
