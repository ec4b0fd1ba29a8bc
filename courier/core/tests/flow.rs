//! Flow control of a streamed body: its window, and the minimum pace of its two sides.

use quillmount_core::flow::{BodySource, Cut, Flow, FlowSide, Late, Pace, PaceDeadline};

const PACE: Pace = Pace { stall_timeout: 10, span: 60, min_bytes: 6 };

fn flow(window: u64, length: Option<u64>) -> Flow {
    Flow::new(window, length, PACE, PACE, 0)
}

#[test]
fn a_body_within_its_window_can_be_sent_again_completely() {
    let mut flow = flow(8, Some(5));
    flow.receive(5, 1);
    assert!(
        flow.begin_attempt(1) && flow.capacity() == 0 && flow.sendable() == 4,
        "the last byte is withheld"
    );
    flow.send(4, 2);
    assert!(!flow.may_finish());
    flow.end_attempt(3);
    flow.complete(3);
    assert!(flow.begin_attempt(4) && flow.sendable() == 5);
    flow.send(5, 4);
    assert!(flow.may_finish() && flow.is_replayable());
}

#[test]
fn a_full_window_of_sent_bytes_is_dropped_and_commits_the_body() {
    let mut flow = flow(4, None);
    assert!(flow.begin_attempt(0));
    flow.receive(4, 1);
    assert!(flow.is_replayable() && flow.capacity() == 0);
    flow.send(3, 1);
    assert!(!flow.is_replayable() && flow.capacity() == 3 && flow.base() == 3);
    flow.end_attempt(2);
    assert!(!flow.begin_attempt(2), "three bytes are dropped");
}

#[test]
fn a_cut_body_never_finishes_and_no_more_of_it_is_sent() {
    let mut flow = flow(4, Some(4));
    assert!(flow.begin_attempt(0));
    flow.receive(4, 1);
    flow.cut(Cut::Digest, 1);
    assert_eq!((flow.sendable(), flow.may_finish(), flow.is_replayable()), (0, false, false));
    flow.complete(2);
    assert_eq!(flow.source(), BodySource::Cut(Cut::Digest));
}

/// Only the time in which a side could transfer bytes counts towards its deadlines.
#[test]
fn each_side_is_late_by_its_own_time_only() {
    let mut flow = flow(4, None);
    assert_eq!(
        flow.pace_deadline(FlowSide::Client),
        Some(PaceDeadline { due_at: 10, reason: Late::Stalled })
    );
    flow.receive(4, 9);
    assert_eq!(flow.pace_deadline(FlowSide::Client), None, "the window is full");
    assert_eq!(flow.pace_deadline(FlowSide::Endpoint), None, "no attempt is in flight");
    assert!(flow.begin_attempt(1_000));
    assert_eq!(flow.late(FlowSide::Endpoint, 1_009), None);
    assert_eq!(flow.late(FlowSide::Endpoint, 1_010), Some(Late::Stalled));
    flow.set_paused(true, 1_005);
    assert_eq!(flow.late(FlowSide::Endpoint, 9_000), None, "a backoff does not count against the endpoint");
    flow.set_paused(false, 9_000);
    // One byte every 9 microseconds never stalls, but is too slow after 60 microseconds of its own time, of which 5 have
    // elapsed.
    for now in (9_009..9_050).step_by(9) {
        flow.send(1, now);
        flow.receive(flow.capacity(), now);
        assert_eq!(flow.late(FlowSide::Endpoint, now), None);
    }
    assert_eq!(
        flow.pace_deadline(FlowSide::Endpoint),
        Some(PaceDeadline { due_at: 9_055, reason: Late::Stalled })
    );
    flow.set_paused(true, 9_047);
    flow.set_paused(false, 9_050);
    assert_eq!(
        flow.pace_deadline(FlowSide::Endpoint),
        Some(PaceDeadline { due_at: 9_058, reason: Late::Slow }),
        "8 microseconds of the span remain"
    );
    assert_eq!(flow.pace_deadline(FlowSide::Client), None);
}
