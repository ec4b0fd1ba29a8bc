//! The order in which client connections are closed when the limit is reached.

use quillmount_core::admission::{Admission, CLOSING_MAX, Decision, SLOW_CLIENT_TIMEOUT};
use quillmount_core::machine::client::ClientState;

#[test]
fn connections_are_evicted_in_the_order_of_their_rank() {
    let mut admission = Admission::new(4);
    let states = [
        ClientState::Requesting { first: true, last: false },
        ClientState::Idle { probed: true },
        ClientState::Idle { probed: false },
        ClientState::Closing,
    ];
    states.into_iter().enumerate().for_each(|(n, state)| admission.set_state(n as u64, state, 10 + n as u64));
    let mut order = Vec::new();
    for _ in 0..5 {
        order.push(admission.decide(20));
    }
    assert_eq!(order[..2], [Decision::Evict(3), Decision::Admit]);
    admission.set_state(4, ClientState::Requesting { first: true, last: false }, 20);
    assert_eq!(
        [admission.decide(20), admission.decide(20)],
        [Decision::RequestClose(2), Decision::RequestClose(1)]
    );
    // Connections that are closing still count towards the limit. Of the others, the slow one is closed.
    assert_eq!(
        [admission.decide(20 + SLOW_CLIENT_TIMEOUT), admission.decide(20 + SLOW_CLIENT_TIMEOUT)],
        [Decision::Evict(0), Decision::Admit]
    );
}

#[test]
fn a_streaming_client_is_not_evicted() {
    let mut admission = Admission::new(2);
    let requesting = ClientState::Requesting { first: true, last: false };
    (0..2).for_each(|n| admission.set_state(n, requesting, 10 + n));
    admission.mark_streaming(0);
    assert_eq!(
        admission.decide(20 + 2 * SLOW_CLIENT_TIMEOUT),
        Decision::Evict(1),
        "the older connection streams a body"
    );
    admission.set_state(2, requesting, 30);
    admission.mark_streaming(2);
    assert_eq!(
        admission.decide(99 * SLOW_CLIENT_TIMEOUT),
        Decision::Admit,
        "the number of streams has a limit of its own"
    );
}

#[test]
fn only_a_limited_number_of_connections_closes_at_a_time() {
    let mut admission = Admission::new(CLOSING_MAX + 2);
    (0..CLOSING_MAX as u64 + 2).for_each(|n| admission.set_state(n, ClientState::Idle { probed: false }, n));
    (0..CLOSING_MAX as u64).for_each(|n| assert_eq!(admission.decide(99), Decision::RequestClose(n)));
    assert_eq!(admission.decide(99), Decision::Wait);
    admission.remove(0);
    admission.remove(1);
    assert_eq!(admission.decide(99), Decision::Admit);
}

/// When the process has no free file descriptor, a connection without a request is closed although the limit is not
/// reached.
#[test]
fn descriptors_are_reclaimed_only_from_connections_without_a_request() {
    let mut admission = Admission::new(100);
    assert_eq!(admission.reclaim_descriptor(9), Decision::Admit);
    let requesting = ClientState::Requesting { first: true, last: false };
    admission.set_state(0, requesting, 10);
    admission.set_state(1, ClientState::Idle { probed: false }, 11);
    admission.set_state(2, ClientState::Requesting { first: false, last: false }, 12);
    admission.set_state(3, ClientState::Closing, 13);
    let decisions: Vec<Decision> = (0..4).map(|_| admission.reclaim_descriptor(20)).collect();
    assert_eq!(decisions, [Decision::Evict(3), Decision::RequestClose(1), Decision::Admit, Decision::Admit]);
    assert_eq!(
        admission.reclaim_descriptor(10 + SLOW_CLIENT_TIMEOUT),
        Decision::Evict(0),
        "its request is slow"
    );
    admission.mark_streaming(2);
    assert_eq!(
        admission.reclaim_descriptor(99 * SLOW_CLIENT_TIMEOUT),
        Decision::Admit,
        "a stream is not idle"
    );
}
