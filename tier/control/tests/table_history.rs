//! Subscribers get differences only to tables that they can have.

use quillmount_control::{ControlState, TableHistory};

/// A state with this version of the configuration.
fn state(version: u64, route: &str) -> ControlState {
    let tenants: String = (0..100).map(|number| format!("tenant-{number:04},")).collect();
    ControlState { version, configuration: format!("{route}{tenants}"), ..ControlState::default() }
}

/// The configuration to which the difference from a version leads; `None` if there is no difference.
fn follow(history: &TableHistory, known: &ControlState, newest: &ControlState) -> Option<String> {
    let delta = history.configuration_delta(known.version, newest)?;
    let text = delta.apply(known.configuration.as_bytes()).expect("a difference to what is known");
    Some(String::from_utf8(text).expect("a text"))
}

#[test]
fn a_difference_leads_from_each_remembered_version_to_the_newest() {
    let mut history = TableHistory::default();
    let states: Vec<ControlState> = (1..=20).map(|number| state(number * 3, &format!("r{number}"))).collect();
    states.iter().for_each(|state| history.record(state));
    let newest = &states[19];
    for known in &states[12..19] {
        assert_eq!(follow(&history, known, newest).as_ref(), Some(&newest.configuration));
    }
    assert_eq!(follow(&history, &states[0], newest), None, "a version that is no longer remembered");
    assert_eq!(history.configuration_delta(4, newest), None, "a version that never was");
}

#[test]
fn a_proposal_that_was_replaced_is_not_what_a_difference_leads_to() {
    let mut history = TableHistory::default();
    let (first, lost, second) = (state(1, "first"), state(2, "lost"), state(2, "second"));
    history.record(&first);
    history.record(&lost);
    assert_eq!(history.configuration_delta(1, &second), None, "the state that is published was not recorded");
    history.record(&second);
    assert_eq!(follow(&history, &first, &second).as_ref(), Some(&second.configuration));
    let third = state(3, "third");
    let mut follower = TableHistory::default();
    [&lost, &third].into_iter().for_each(|state| follower.record(state));
    let delta = follower.configuration_delta(2, &third).expect("a difference to the proposal");
    assert!(delta.apply(second.configuration.as_bytes()).is_err(), "the checksum does not fit");
}

#[test]
fn a_table_that_is_new_throughout_is_sent_whole() {
    let mut history = TableHistory::default();
    let (old, new) = (state(1, "a"), ControlState { configuration: "x".repeat(1500), ..state(2, "") });
    history.record(&old);
    history.record(&new);
    assert_eq!(history.configuration_delta(1, &new), None);
}
