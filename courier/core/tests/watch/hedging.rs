//! Several requests in flight: which of them stay, and which one ends the others.

use crate::fleet::{HEARD, TICK, courier, next_ask};
use quillmount_core::machine::watch::{
    ANSWER_TIME_MAX, NOTIFICATION_DEADLINE, SILENCE_TIMEOUT, WatchInput, WatchOutput,
};

/// The request that would be answered is not cancelled for each new one.
#[test]
fn a_hedged_request_stays_in_flight_for_as_long_as_its_answer_may_take() {
    let mut watch = courier(3, 1, false, 500_000);
    let mut out = vec![0];
    for _ in 0..60 {
        let at = watch.wake_at().unwrap();
        match watch.step(TICK, at) {
            WatchOutput::Request => out.clear(),
            WatchOutput::Hedge { keep } => {
                assert!(keep == 1 || keep == 2, "three are out at most");
                let given_up = out.split_off(keep.min(out.len()));
                // The last of three is cancelled, or the second, whose time has passed.
                let second = given_up.first().filter(|_| keep == 1);
                assert!(second.is_none_or(|asked| at - asked >= ANSWER_TIME_MAX), "{second:?} at {at}");
            }
            other => panic!("{other:?}"),
        }
        out.push(at);
        assert!(
            out.first().is_some_and(|first| at - first < NOTIFICATION_DEADLINE + 500_000),
            "{out:?} at {at}"
        );
    }
}

/// One of two requests fails: the other may be answered, and the next one is sent at the same time as without the failure.
#[test]
fn a_failed_request_leaves_the_others_in_flight() {
    let mut watch = courier(100, 7, false, 500_000);
    next_ask(&mut watch);
    let until = watch.wake_at();
    assert_eq!(watch.step(WatchInput::Lost, until.unwrap() - 1), WatchOutput::Nothing);
    assert_eq!(watch.wake_at(), until);
    watch.step(WatchInput::Answered, until.unwrap() - 1);
    assert_eq!(watch.step(HEARD, until.unwrap()), WatchOutput::EndOlderWatches);
}

/// Discovery moved to another address and back: the other address's answer does not end the watch at the current one.
#[test]
fn only_a_watch_at_the_present_address_ends_the_others_and_only_once_it_received_something() {
    let mut watch = courier(3, 1, false, 500_000);
    assert_eq!(watch.step(WatchInput::Answered, 1), WatchOutput::Nothing, "a head says nothing of the list");
    assert_eq!(watch.step(WatchInput::Received { moved: true }, 2), WatchOutput::Nothing);
    assert_eq!(watch.step(HEARD, 3), WatchOutput::EndOlderWatches);
    assert_eq!(watch.step(WatchInput::Tick { moved: true }, 3 + SILENCE_TIMEOUT), WatchOutput::Stop);
}
