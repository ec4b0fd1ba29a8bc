//! Decisions about batch items.

use quillmount_dataplane::batch_item::{GiveUpReason, ItemDecision, ItemProgress, decide};
use quillmount_dataplane::routes::CompiledRoute;
use quillmount_wire::configuration::Configuration;

const SECOND: u64 = 1_000_000;
const RETENTION: u64 = 40 * SECOND;
const MAX_ATTEMPTS: u32 = 3;

/// A route that keeps items for [`RETENTION`] and allows [`MAX_ATTEMPTS`].
fn route() -> CompiledRoute {
    route_with("bulk", MAX_ATTEMPTS)
}

/// A route of a mode that allows so many attempts.
fn route_with(mode: &str, max_attempts: u32) -> CompiledRoute {
    let text = format!(
        r#"{{"Gen":1,"Routes":[{{"Name":"r","Host":"h","PathPrefix":"/r/","Mode":"{mode}","DeadlineMs":4000,"Backend":"s","Tries":{max_attempts},"RetainS":40}}],"Backends":[{{"Name":"s","MaxConns":64}}]}}"#
    );
    let configuration = Configuration::parse(&text).expect("a valid configuration");
    CompiledRoute::from(&configuration.routes[0])
}

fn progress(age: u64, failures: u32) -> ItemProgress {
    ItemProgress { age, failures, has_configuration_of_job: true }
}

/// The reason for which an item is given up with this progress, by a configuration that is new enough.
fn reason(route: Option<&CompiledRoute>, progress: ItemProgress) -> Option<GiveUpReason> {
    match decide(route, progress) {
        ItemDecision::GiveUp(reason) => Some(reason),
        ItemDecision::Run(_) => None,
        ItemDecision::Defer => panic!("deferred although the configuration is new enough: {progress:?}"),
    }
}

#[test]
fn an_item_is_given_up_by_its_route_its_age_and_its_failures() {
    let route = route();
    assert_eq!(reason(Some(&route), progress(0, 0)), None);
    assert_eq!(reason(Some(&route), progress(RETENTION, MAX_ATTEMPTS - 1)), None);
    assert_eq!(reason(Some(&route), progress(RETENTION + 1, 0)), Some(GiveUpReason::Expired));
    assert_eq!(reason(Some(&route), progress(0, MAX_ATTEMPTS)), Some(GiveUpReason::Failed));
    assert_eq!(reason(None, progress(0, 0)), Some(GiveUpReason::RouteEnded));
}

/// Guards against dead-letter results by a configuration that is older than the one under which the job was accepted: there the route
/// may be missing, its retention time shorter, or its number of attempts lower.
#[test]
fn an_older_configuration_gives_up_nothing() {
    let route = route();
    let cases = [(None, 0, 0), (Some(&route), RETENTION + 1, 0), (Some(&route), 0, MAX_ATTEMPTS)];
    for (route, age, failures) in cases {
        let progress = ItemProgress { has_configuration_of_job: false, ..progress(age, failures) };
        assert!(matches!(decide(route, progress), ItemDecision::Defer), "{progress:?}");
    }
    let progress = ItemProgress { has_configuration_of_job: false, ..progress(RETENTION, 0) };
    assert!(matches!(decide(Some(&route), progress), ItemDecision::Run(_)));
}

/// Guards against dead-letter results before `Tries` failures on routes with more than 16 of them, the bound for single requests.
#[test]
fn an_item_is_attempted_as_often_as_its_route_says() {
    let route = route_with("bulk", 40);
    assert_eq!(reason(Some(&route), progress(0, 39)), None);
    assert_eq!(reason(Some(&route), progress(0, 40)), Some(GiveUpReason::Failed));
    assert_eq!(route_with("safe", 40).max_attempts, 16);
}
