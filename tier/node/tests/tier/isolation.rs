//! Work of one service, whose endpoint is lost, beside work of another one.

use crate::callers::{done_items, order, plain_item, submit_job};
use crate::configurations::{configuration, configuration_with};
use crate::harness::{Tier, eventually};
use crate::platform::SILENT_PREFIX;
use std::time::{Duration, Instant};

/// Jobs of each route: enough for every store to be primary of some.
const JOBS: usize = 12;
const ITEMS: usize = 5;
/// Time in which the jobs of a service that is well are done; those of the lost service are given up after 40 s (`RetainS`).
const DONE_WITHIN: Duration = Duration::from_secs(20);

/// Routes for batch jobs whose items are late at once: of the lost service, of the one that is well, and divided between both.
const ROUTES: &str = r#"
    {"Name":"lost","Host":"a.example","PathPrefix":"/bulk/lost/","Mode":"bulk","DeadlineMs":6000,"TargetMs":2000,"Prio":2,"Backend":"gone","Tries":3,"Public":false,"DueMs":500,"RetainS":40},
    {"Name":"well","Host":"a.example","PathPrefix":"/bulk/well/","Mode":"bulk","DeadlineMs":6000,"TargetMs":2000,"Prio":2,"Backend":"llm","Tries":3,"Public":false,"DueMs":500,"RetainS":40},
    {"Name":"both","Host":"a.example","PathPrefix":"/bulk/both/","Mode":"bulk","DeadlineMs":6000,"TargetMs":2000,"Prio":2,"Shares":[{"Backend":"gone","Wt":95},{"Backend":"llm","Wt":5}],"Tries":3,"Public":false,"DueMs":500,"RetainS":40},"#;

/// Services for which the platform does not answer: a call takes a second to fail.
const SILENT_SERVICES: usize = 12;
/// Time in which endpoints of another service are requested after the first of them; demand is evaluated every 500 ms.
const REQUESTED_WITHIN: Duration = Duration::from_secs(3);

fn started() -> Tier {
    let tier = Tier::start_listing(&["gone"]);
    let services = r#"{"Name":"gone","Probe":"/healthz","MaxConns":100,"Proto":"h1","Tls":false},"#;
    let first =
        configuration_with(3, ROUTES).replace(r#""Backends":["#, &format!(r#""Backends":[{services}"#));
    assert_eq!(eventually("the first configuration", || order(&tier, "/-/config/put", 0, &first)), 200);
    tier
}

fn submit(tier: &Tier, route: &str, job: usize) {
    submit_items(tier, route, &format!("{route}-{job}"), &format!("/bulk/{route}/{job}"));
}

/// Submits a job whose items have this path.
fn submit_items(tier: &Tier, route: &str, id: &str, path: &str) {
    let items: Vec<String> = (0..ITEMS).map(|item| plain_item(&format!("{id}-{item}"), path)).collect();
    let prefix = format!("/bulk/{route}/");
    eventually("the job is taken", || {
        let answer = submit_job(&tier.client_address(0), &prefix, id, &items);
        answer.filter(|answer| answer.status == 202)
    });
}

/// Number of results of all jobs of a route.
fn results(tier: &Tier, route: &str) -> usize {
    (0..JOBS).map(|job| done_items(&tier.client_address(0), &format!("{route}-{job}"))).sum()
}

fn wait_until_done(tier: &Tier, route: &str) {
    let submitted_at = Instant::now();
    let mut done = 0;
    while submitted_at.elapsed() < DONE_WITHIN {
        done = results(tier, route);
        if done == JOBS * ITEMS {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("{done} of {} items of the route {route} are done", JOBS * ITEMS);
}

// Guards against review case 6 (LOST): late items of a service without endpoints held back the items of every other service.
#[test]
fn items_of_a_lost_service_hold_back_no_items_of_another() {
    let tier = started();
    (0..JOBS).for_each(|job| submit(&tier, "lost", job));
    (0..JOBS).for_each(|job| submit(&tier, "well", job));
    wait_until_done(&tier, "well");
    assert_eq!(results(&tier, "lost"), 0);
}

// Guards against items that are never attempted: endpoints in backoff take few calls, and earlier items whose attempts all fail got
// every one of them.
#[test]
fn items_whose_attempts_fail_hold_back_no_items_of_their_route() {
    let tier = started();
    (0..JOBS).for_each(|job| submit_items(&tier, "well", &format!("failing-{job}"), "/no-events/own-300"));
    (0..JOBS).for_each(|job| submit(&tier, "well", job));
    wait_until_done(&tier, "well");
}

// Holds the related property within one route: items drawn for a part that is lost run at the part that is well.
#[test]
fn items_of_a_divided_route_run_at_the_part_that_is_well() {
    let tier = started();
    (0..JOBS).for_each(|job| submit(&tier, "both", job));
    wait_until_done(&tier, "both");
}

/// A configuration that asks for more endpoints than there are, first of the silent services, then of `llm`.
fn scaled_configuration(silent_services: &[String]) -> String {
    let bounds = r#""Autoscale":{"Floor":4,"Ceil":6,"BootS":1},"Probe":"/healthz","MaxConns":100,"Proto":"h1","Tls":false},"#;
    let silent: String =
        silent_services.iter().map(|service| format!(r#"{{"Name":"{service}",{bounds}"#)).collect();
    let scaled = r#""Name":"llm","Autoscale":{"Floor":4,"Ceil":6,"BootS":1},"#;
    configuration(3)
        .replace(r#""Name":"llm","#, scaled)
        .replace(r#""Backends":["#, &format!(r#""Backends":[{silent}"#))
}

// Guards against endpoints that are requested late: calls to the platform were made in turn, so that one that is not answered held
// back those for all other services.
#[test]
fn a_silent_platform_call_for_one_service_holds_back_no_call_for_another() {
    let names: Vec<String> = (0..SILENT_SERVICES).map(|number| format!("{SILENT_PREFIX}{number}")).collect();
    let listed: Vec<&str> = names.iter().map(String::as_str).collect();
    let tier = Tier::start_listing(&listed);
    let first = scaled_configuration(&names);
    assert_eq!(eventually("the first configuration", || order(&tier, "/-/config/put", 0, &first)), 200);
    let silent_call = eventually("a call for a silent service", || tier.first_scaling_call(&names[0]));
    let call = eventually("a call for llm", || tier.first_scaling_call("llm"));
    let delay = call.saturating_duration_since(silent_call);
    assert!(delay < REQUESTED_WITHIN, "{delay:?} after the first call");
}
