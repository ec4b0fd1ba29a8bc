//! Stores whose configuration is older than the one under which a batch job was accepted.

use crate::callers::{KEY, order, plain_item, read_results, send_request, submit_job};
use crate::configurations::{configuration, configuration_with};
use crate::harness::{Tier, eventually};
use std::time::{Duration, Instant};

/// Number of the courier without a disk.
const OUTER: usize = 3;
const STORES: usize = 3;
/// Jobs of a test: enough that each store is likely to be the primary of one of them.
const JOBS: usize = 8;
/// After this time a stopped store waits for no answer to an earlier poll.
const POLLS_ENDED: Duration = Duration::from_millis(1000);
/// Time in which a store that took its configuration for the newest one would have given the items up.
const OBSERVED: Duration = Duration::from_millis(2500);

/// A route for batch jobs and one that shows which couriers have the configuration, each followed by a comma.
const ADDED_ROUTES: &str = r#"{"Name":"added","Host":"a.example","PathPrefix":"/added/","Mode":"safe","DeadlineMs":4000,"Backend":"llm","Tries":2,"Public":false},
{"Name":"added-bulk","Host":"a.example","PathPrefix":"/added-bulk/","Mode":"bulk","DeadlineMs":6000,"TargetMs":2000,"Prio":2,"Backend":"llm","Tries":3,"Public":false,"DueMs":8000,"RetainS":40},"#;

/// Submits a job with one item of five tokens at the outer courier.
fn submit_once(tier: &Tier, prefix: &str, job: &str, item_path: &str) -> Option<u16> {
    let items = [plain_item(&format!("{job}-item"), item_path)];
    submit_job(&tier.client_address(OUTER), prefix, job, &items).map(|answer| answer.status)
}

/// Submits a job with one item until it is accepted.
fn submit(tier: &Tier, prefix: &str, job: &str, item_path: &str) {
    let accepted = || submit_once(tier, prefix, job, item_path).filter(|status| *status == 202);
    eventually("the job is accepted", accepted);
}

/// The results of a job, once a store can be asked.
fn results(tier: &Tier, job: &str) -> String {
    read_results(&tier.client_address(OUTER), job)
}

fn put(tier: &Tier, base: u64, text: &str) {
    assert_eq!(eventually("a configuration", || order(tier, "/-/config/put", base, text)), 200);
}

fn started(first: &str) -> Tier {
    let mut tier = Tier::start();
    put(&tier, 0, first);
    tier.add_courier();
    eventually("the outer courier serves", || {
        send_request(&tier, OUTER, "/safe/first", KEY, 4000).filter(|answer| answer.status == 200)
    });
    tier
}

/// A tier whose stores have not got the configuration of version 5 with the added routes, and can't get it, as the core is gone. The
/// outer courier has it.
fn started_with_outdated_stores(first: &str, changed: &str) -> Tier {
    let mut tier = started(first);
    submit(&tier, "/bulk/", "job-before", "/bulk/before");
    eventually("the stores serve", || {
        results(&tier, "job-before").contains(r#""Phase":"done""#).then_some(())
    });
    // The stores miss the change: they stand still until it is in force at the couriers.
    (0..STORES).for_each(|store| assert!(tier.signal("store", store, "STOP")));
    std::thread::sleep(POLLS_ENDED);
    put(&tier, 3, changed);
    eventually("the outer courier has the change", || {
        send_request(&tier, OUTER, "/added/first", KEY, 4000).filter(|answer| answer.status == 200)
    });
    (0..OUTER).for_each(|courier| tier.kill_courier(courier));
    (0..STORES).for_each(|store| assert!(tier.signal("store", store, "CONT")));
    tier
}

/// Guards against dead-letter results of items that no endpoint has seen: a store gave items up because it did not know the route of
/// their job yet, while the courier that accepted the job did.
#[test]
fn a_store_gives_up_no_item_of_a_route_that_it_does_not_know_yet() {
    let (first, changed) = (configuration(3), configuration_with(5, ADDED_ROUTES));
    let mut tier = started_with_outdated_stores(&first, &changed);
    let jobs: Vec<String> = (0..JOBS).map(|job| format!("job-{job}")).collect();
    jobs.iter().for_each(|job| submit(&tier, "/added-bulk/", job, &format!("/bulk/{job}")));
    let observed_until = Instant::now() + OBSERVED;
    while Instant::now() < observed_until {
        for job in &jobs {
            let text = results(&tier, job);
            assert!(!text.contains("dead_letter"), "given up without a run: {text}");
        }
    }
    (0..OUTER).for_each(|courier| tier.start_courier(courier));
    for job in &jobs {
        let done = || results(&tier, job).contains(r#""Phase":"done""#).then_some(());
        eventually("the item is done once the store knows the route", done);
    }
}

/// The items of a route that has ended are given up, though not before the store knows that its configuration is new enough.
#[test]
fn items_of_a_removed_route_are_given_up() {
    let tier = started(&configuration(3));
    put(&tier, 3, &configuration_with(5, ADDED_ROUTES));
    // Each attempt ends with an answer that is no event stream, and is repeated.
    submit(&tier, "/added-bulk/", "job-removed", "/added-bulk/own-300");
    eventually("the item is attempted", || (tier.arrivals("job-removed-item") > 0).then_some(()));
    put(&tier, 5, &configuration(7));
    eventually("the item is given up", || {
        results(&tier, "job-removed").contains(r#""Phase":"dead_letter""#).then_some(())
    });
}

/// Guards against jobs over the limit on queued tokens: a store that did not know the route of a job yet took it for one without a
/// limit.
#[test]
fn a_store_accepts_no_job_over_a_limit_that_it_does_not_know_yet() {
    let with_limit = |text: String, tokens: u32| {
        text.replace(r#""RetainS":40"#, &format!(r#""RetainS":40,"MaxQueued":{tokens}"#))
    };
    let first = with_limit(configuration(3), 1_000);
    // The item of each job has five tokens.
    let changed = with_limit(configuration_with(5, ADDED_ROUTES), 4);
    let mut tier = started_with_outdated_stores(&first, &changed);
    let submit = |tier: &Tier| submit_once(tier, "/added-bulk/", "job-over", "/bulk/over");
    let refused = eventually("a clear answer", || submit(&tier).filter(|status| *status != 504));
    assert_eq!(refused, 503, "the stores can't know the limit");
    (0..OUTER).for_each(|courier| tier.start_courier(courier));
    eventually("the job is over the limit", || {
        let status = submit(&tier);
        assert_ne!(status, Some(202), "over the limit");
        (status == Some(429)).then_some(())
    });
}
