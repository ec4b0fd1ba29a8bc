//! Who goes first where room for consumers' connections is short.

use quillmount_core::crowd::{Crowd, GRACE, LEAVING_MAX, Room};
use quillmount_core::machine::consumer::State;

#[test]
fn who_goes_first() {
    let mut crowd = Crowd::new(4);
    let states = [
        State::Asking { first: true, last: false },
        State::Resting { probed: true },
        State::Resting { probed: false },
        State::Closing,
    ];
    states.into_iter().enumerate().for_each(|(n, state)| crowd.is(n as u64, state, 10 + n as u64));
    let mut order = Vec::new();
    for _ in 0..5 {
        order.push(crowd.make_room(20));
    }
    assert_eq!(order[..2], [Room::End(3), Room::Free]);
    crowd.is(4, State::Asking { first: true, last: false }, 20);
    assert_eq!([crowd.make_room(20), crowd.make_room(20)], [Room::Leave(2), Room::Leave(1)]);
    // Who leaves holds a place still: of the rest the slow one goes first, then the first to have come.
    assert_eq!([crowd.make_room(20 + GRACE), crowd.make_room(20 + GRACE)], [Room::End(0), Room::Free]);
}

#[test]
fn who_streams_does_not_make_room() {
    let mut crowd = Crowd::new(2);
    let asking = State::Asking { first: true, last: false };
    (0..2).for_each(|n| crowd.is(n, asking, 10 + n));
    crowd.streams(0);
    assert_eq!(crowd.make_room(20 + 2 * GRACE), Room::End(1), "the slower to ask streams");
    crowd.is(2, asking, 30);
    crowd.streams(2);
    assert_eq!(crowd.make_room(99 * GRACE), Room::Free, "their number is bounded elsewhere");
}

#[test]
fn only_so_many_leave_at_a_time() {
    let mut crowd = Crowd::new(LEAVING_MAX + 2);
    (0..LEAVING_MAX as u64 + 2).for_each(|n| crowd.is(n, State::Resting { probed: false }, n));
    (0..LEAVING_MAX as u64).for_each(|n| assert_eq!(crowd.make_room(99), Room::Leave(n)));
    assert_eq!(crowd.make_room(99), Room::Wait);
    crowd.left(0);
    crowd.left(1);
    assert_eq!(crowd.make_room(99), Room::Free);
}

/// Without a descriptor whoever has nothing to ask goes, below the table's own bound too; who asks stays.
#[test]
fn only_those_that_have_nothing_to_ask_give_a_descriptor_back() {
    let mut crowd = Crowd::new(100);
    assert_eq!(crowd.give_back(9), Room::Free);
    let asking = State::Asking { first: true, last: false };
    crowd.is(0, asking, 10);
    crowd.is(1, State::Resting { probed: false }, 11);
    crowd.is(2, State::Asking { first: false, last: false }, 12);
    crowd.is(3, State::Closing, 13);
    let given: Vec<Room> = (0..4).map(|_| crowd.give_back(20)).collect();
    assert_eq!(given, [Room::End(3), Room::Leave(1), Room::Free, Room::Free]);
    assert_eq!(crowd.give_back(10 + GRACE), Room::End(0), "slow to ask by now");
    crowd.streams(2);
    assert_eq!(crowd.give_back(99 * GRACE), Room::Free, "a stream is no idle connection");
}
