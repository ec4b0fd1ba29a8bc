//! Differences of tables are computed only from retained versions and only to the published one.

use quillmount_control::{ControlState, TableHistory};

/// A state with this version of the configuration, whose text contains `route`.
fn state(version: u64, route: &str) -> ControlState {
    let tenants: String = (0..100).map(|number| format!("tenant-{number:04},")).collect();
    ControlState { version, configuration: format!("{route}{tenants}"), ..ControlState::default() }
}

/// The configuration of `subscriber` after it applied the difference to the newest one; `None` if no difference is
/// available.
fn apply_delta(history: &TableHistory, subscriber: &ControlState, newest: &ControlState) -> Option<String> {
    let delta = history.configuration_delta(subscriber.version, newest)?;
    let text = delta
        .apply(subscriber.configuration.as_bytes())
        .expect("the difference applies to the configuration from which it was computed");
    Some(String::from_utf8(text).expect("the configuration is UTF-8"))
}

#[test]
fn a_difference_leads_from_each_remembered_version_to_the_newest() {
    let mut history = TableHistory::default();
    let states: Vec<ControlState> = (1..=20).map(|number| state(number * 3, &format!("r{number}"))).collect();
    states.iter().for_each(|state| history.record(state));
    let newest = &states[19];
    for subscriber in &states[12..19] {
        assert_eq!(apply_delta(&history, subscriber, newest).as_ref(), Some(&newest.configuration));
    }
    assert_eq!(apply_delta(&history, &states[0], newest), None, "a version that is no longer retained");
    assert_eq!(history.configuration_delta(4, newest), None, "a version that never existed");
}

#[test]
fn a_difference_does_not_lead_to_a_replaced_proposal() {
    let mut history = TableHistory::default();
    let (first, lost, second) = (state(1, "first"), state(2, "lost"), state(2, "second"));
    history.record(&first);
    history.record(&lost);
    assert_eq!(history.configuration_delta(1, &second), None, "the published state was not recorded");
    history.record(&second);
    assert_eq!(apply_delta(&history, &first, &second).as_ref(), Some(&second.configuration));
    let third = state(3, "third");
    let mut follower = TableHistory::default();
    [&lost, &third].into_iter().for_each(|state| follower.record(state));
    let delta = follower.configuration_delta(2, &third).expect("a difference from the lost proposal");
    assert!(
        delta.apply(second.configuration.as_bytes()).is_err(),
        "the checksum of the result does not match"
    );
}

#[test]
fn a_table_without_common_content_is_sent_whole() {
    let mut history = TableHistory::default();
    let (old, new) = (state(1, "a"), ControlState { configuration: "x".repeat(1500), ..state(2, "") });
    history.record(&old);
    history.record(&new);
    assert_eq!(history.configuration_delta(1, &new), None);
}
