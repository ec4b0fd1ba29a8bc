//! What a process knows about the primary from its answers.

use quillmount_control::CoreContact;
use std::time::Duration;

const SECOND: u64 = 1_000_000;
const PRIMARY: &str = "10.0.0.1:1";

#[test]
fn a_busy_answer_does_not_confirm_the_tables() {
    let mut contact = CoreContact::new(Duration::from_millis(1500));
    contact.record_busy(PRIMARY, SECOND);
    assert!(!contact.has_ever_answered() && !contact.has_recent_primary(SECOND));
    contact.record_answer(PRIMARY, &[], 2 * SECOND, 2 * SECOND);
    contact.record_newest_configuration(2 * SECOND);
    contact.set_poll_address(None);
    contact.record_busy(PRIMARY, 4 * SECOND);
    assert_eq!(contact.poll_address(), Some(PRIMARY), "the busy primary is polled again");
    assert!(contact.has_recent_primary(5 * SECOND));
    assert_eq!(
        contact.silence(5 * SECOND),
        3 * SECOND,
        "an answer without tables does not end the silence after which the process fetches the endpoint list itself"
    );
    assert_eq!(
        contact.configuration_age(5 * SECOND),
        3 * SECOND,
        "an answer without tables does not make the configuration recent enough to refuse requests"
    );
}

/// Guards against results of batch items that rest on an old configuration: the primary may have published its state without
/// contact with a majority for up to a second.
#[test]
fn a_configuration_is_new_enough_for_a_time_only_if_a_later_poll_confirmed_it() {
    let mut contact = CoreContact::new(Duration::from_millis(1500));
    assert!(!contact.has_configurations_of(0), "there was no answer");
    contact.record_answer(PRIMARY, &[], 4 * SECOND, 5 * SECOND);
    assert!(!contact.has_configurations_of(2 * SECOND), "the configuration of the answer was rejected");
    contact.record_newest_configuration(4 * SECOND);
    assert!(contact.has_configurations_of(3 * SECOND));
    assert!(!contact.has_configurations_of(3 * SECOND + 1));
}
