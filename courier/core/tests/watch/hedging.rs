//! Several requests in flight: which of them are kept, and which answer ends the others.

use crate::fleet::{RECEIVED, TICK, courier, next_request};
use quillmount_core::machine::watch::{
    ANSWER_TIME_MAX, NOTIFICATION_DEADLINE, SILENCE_TIMEOUT, WatchInput, WatchOutput,
};

/// A request must not be cancelled for each new one: with slow answers none would ever be answered.
#[test]
fn a_hedged_request_stays_in_flight_for_as_long_as_its_answer_may_take() {
    let mut watch = courier(3, 1, false, 500_000);
    let mut in_flight = vec![0];
    for _ in 0..60 {
        let now = watch.wake_at().unwrap();
        match watch.step(TICK, now) {
            WatchOutput::Request => in_flight.clear(),
            WatchOutput::Hedge { keep } => {
                assert!(keep == 1 || keep == 2, "at most three requests are in flight");
                let cancelled = in_flight.split_off(keep.min(in_flight.len()));
                // The third request is cancelled, or the second one after `ANSWER_TIME_MAX`.
                let second = cancelled.first().filter(|_| keep == 1);
                assert!(second.is_none_or(|sent_at| now - sent_at >= ANSWER_TIME_MAX), "{second:?} at {now}");
            }
            other => panic!("{other:?}"),
        }
        in_flight.push(now);
        assert!(
            in_flight.first().is_some_and(|first| now - first < NOTIFICATION_DEADLINE + 500_000),
            "{in_flight:?} at {now}"
        );
    }
}

/// When one of two requests fails, the other can still be answered, and the time of the next request does not change.
#[test]
fn a_failed_request_leaves_the_others_in_flight() {
    let mut watch = courier(100, 7, false, 500_000);
    next_request(&mut watch);
    let until = watch.wake_at();
    assert_eq!(watch.step(WatchInput::Lost, until.unwrap() - 1), WatchOutput::Nothing);
    assert_eq!(watch.wake_at(), until);
    watch.step(WatchInput::Answered, until.unwrap() - 1);
    assert_eq!(watch.step(RECEIVED, until.unwrap()), WatchOutput::EndOlderWatches);
}

/// Discovery moves to another address and back: an answer of the other address must not end the watch at the current one.
#[test]
fn only_a_watch_at_the_present_address_ends_the_others_and_only_once_it_received_something() {
    let mut watch = courier(3, 1, false, 500_000);
    assert_eq!(
        watch.step(WatchInput::Answered, 1),
        WatchOutput::Nothing,
        "the head of an answer contains no list"
    );
    assert_eq!(watch.step(WatchInput::Received { moved: true }, 2), WatchOutput::Nothing);
    assert_eq!(watch.step(RECEIVED, 3), WatchOutput::EndOlderWatches);
    assert_eq!(watch.step(WatchInput::Tick { moved: true }, 3 + SILENCE_TIMEOUT), WatchOutput::Stop);
}
