//! Replies that reach a primary long after it has sent what they answer, as after the process stood still.

use crate::harness::Primary;

/// Time after the last answer of a majority for which a primary serves its state, microseconds.
const SILENCE_TIMEOUT: u64 = 500_000;
/// The same after the sending of what the majority has answered, microseconds.
const MAX_STATE_AGE: u64 = quillmount_replication::MAX_PUBLISHED_STATE_AGE;
/// Interval between two heartbeats, microseconds.
const HEARTBEAT_INTERVAL: u64 = 150_000;
/// Time for which the process stands still, microseconds.
const STOP: u64 = 3_000_000;

fn serves_state(primary: &Primary) -> bool {
    primary.member.committed_if_recent(primary.now).is_some()
}

#[test]
fn a_primary_serves_its_state_until_the_silence_timeout_after_an_answer() {
    let mut primary = Primary::serving();
    primary.tick_after(HEARTBEAT_INTERVAL);
    primary.now += HEARTBEAT_INTERVAL;
    primary.reply();
    primary.now += SILENCE_TIMEOUT - 1;
    assert!(serves_state(&primary));
    primary.now += 1;
    assert!(!serves_state(&primary));
}

#[test]
fn a_primary_serves_no_state_that_a_majority_has_not_confirmed_within_its_largest_age() {
    let mut primary = Primary::serving();
    primary.tick_after(HEARTBEAT_INTERVAL);
    primary.now += MAX_STATE_AGE - 1;
    primary.reply();
    assert!(serves_state(&primary));
    primary.now += 1;
    assert!(!serves_state(&primary));
}

// Guards against an old configuration that is confirmed as the newest one (MIXED): replies that had waited in the socket of a primary
// that stood still counted as recent contact with a majority.
#[test]
fn a_reply_to_a_heartbeat_from_before_a_stop_is_no_recent_contact() {
    let mut primary = Primary::serving();
    primary.tick_after(HEARTBEAT_INTERVAL);
    primary.now += STOP;
    primary.reply();
    assert!(!serves_state(&primary));
}

// The same for acknowledgements of a proposal.
#[test]
fn an_acknowledgement_of_a_proposal_from_before_a_stop_is_no_recent_contact() {
    let mut primary = Primary::serving();
    let ticket = primary.set_version(5);
    primary.now += STOP;
    primary.acknowledge();
    assert_eq!(primary.confirmed, [ticket]);
    assert!(!serves_state(&primary));
}
