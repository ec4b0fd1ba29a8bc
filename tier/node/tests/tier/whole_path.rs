//! The whole path on loopback: three core couriers and three stores, a stand-in platform with one endpoint, an operator, a
//! client, the loss of the primary of the core and of a store.

use crate::harness::{KEY, Tier, configuration, eventually, header, http, live, order};
use std::time::{Duration, Instant};

/// From the start of a courier, how long requests wait for its first configuration.
const FIRST_WAIT: Duration = Duration::from_millis(400);
#[test]
fn the_complete_path_serves_and_keeps_what_it_acknowledged() {
    let mut tier = Tier::start();

    // The first configuration is taken, and taken again when it comes again; an invalid one changes nothing.
    let first = configuration(3);
    assert_eq!(eventually("the first configuration", || order(&tier, "/-/config/put", 0, &first)), 200);
    assert_eq!(eventually("the same again", || order(&tier, "/-/config/put", 0, &first)), 200);
    assert_eq!(eventually("another base", || order(&tier, "/-/config/put", 2, &configuration(9))), 412);
    assert_eq!(eventually("cut short", || order(&tier, "/-/config/put", 3, &first[..200])), 400);

    // A stream is passed on whole, with the tenant of the key and without the key.
    let answer =
        eventually("a live answer", || live(&tier, 0, "/live/1", KEY).filter(|answer| answer.status == 200));
    assert_eq!(header(&answer.head, "Seal").as_deref(), Some("seal-1"));
    assert_eq!(answer.body, "id: 1\ndata: kaje\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n");
    // Another courier that serves, and so knows the configuration, refuses what it does not allow.
    eventually("a live answer elsewhere", || {
        live(&tier, 1, "/live/1b", KEY).filter(|answer| answer.status == 200)
    });
    assert_eq!(live(&tier, 1, "/live/2", "Token unknown").unwrap().status, 401);
    assert_eq!(live(&tier, 1, "/nowhere/2", KEY).unwrap().status, 404);

    // An endpoint that breaks off in the middle: the stream goes on in a run that resumes.
    let answer = eventually("a resumed answer", || {
        live(&tier, 0, "/live/break", KEY).filter(|answer| answer.status == 200)
    });
    assert_eq!(answer.body, "id: 1\ndata: kaje\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n");

    // A batch job is taken once and read back.
    let job = r#"{"Requests":[{"Id":"i0","Path":"/bulk/0","Headers":{"Model":"m"},"Body":"cXVpbGw=","Tokens":10},{"Id":"i1","Path":"/bulk/poison","Headers":{},"Body":"","Tokens":10}]}"#;
    let submit = format!(
        "POST /bulk/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: job-1\r\nAuthorization: {KEY}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{job}",
        job.len()
    );
    let submitted =
        |tier: &Tier| http(&tier.client_address(2), &submit).filter(|answer| answer.status == 202);
    eventually("the job is taken", || submitted(&tier));
    eventually("and taken again", || submitted(&tier));
    let read = |tier: &Tier, courier: usize| {
        let request = format!(
            "GET /-/lots/job-1?StartAfter=0 HTTP/1.1\r\nHost: a.example\r\nAuthorization: {KEY}\r\nWait: 1000\r\nConnection: close\r\n\r\n"
        );
        http(&tier.client_address(courier), &request)
    };
    let results = eventually("both results", || {
        read(&tier, 1).filter(|answer| answer.status == 200 && answer.body.contains(r#""NextCursor":2"#))
    });
    assert!(results.body.contains(r#""Total":2"#), "{}", results.body);
    assert!(results.body.contains(r#""Id":"i1","Phase":"dead_letter""#), "{}", results.body);
    assert!(
        results.body.contains(r#""Id":"i0","Phase":"done","Text":"kaje\ntwo\nthree""#),
        "{}",
        results.body
    );
    let item = format!(
        "GET /-/items/job-1?Id=i0 HTTP/1.1\r\nHost: a.example\r\nAuthorization: {KEY}\r\nConnection: close\r\n\r\n"
    );
    let body = eventually("the item's body", || {
        http(&tier.client_address(0), &item).filter(|answer| answer.status == 200)
    });
    assert_eq!(body.body, "quill");

    // The primary of the core and one store are killed: nothing acknowledged is lost, positions stay.
    let lost = eventually("who is primary", || tier.primary());
    tier.kill_courier(lost);
    tier.kill_store(0);
    assert_eq!(
        eventually("the next configuration", || order(&tier, "/-/config/put", 3, &configuration(5))),
        200
    );
    let left = (lost + 1) % 3;
    let repeated = eventually("the results again", || {
        read(&tier, left).filter(|answer| answer.status == 200 && answer.body.contains(r#""NextCursor":2"#))
    });
    assert_eq!(repeated.body, results.body);
    eventually("a live answer after the loss", || {
        live(&tier, left, "/live/3", KEY).filter(|answer| answer.status == 200)
    });

    // A courier that comes back keeps its first requests until it has a configuration, for a short time.
    let started = Instant::now();
    tier.start_courier(lost);
    let answer = eventually("the first answer", || live(&tier, lost, "/live/4", KEY));
    assert!(answer.status == 200 || started.elapsed() >= FIRST_WAIT, "{} {}", answer.status, answer.head);
}
