//! An owner that stands still and goes on: whatever it was about to do, others have done by then.

use super::*;
use quillmount_standins::fleet::link::{LinkEventKind, RequestFault};

/// Longer than what else couriers say to each other.
const LARGE: usize = 20_000;

/// Hands a message in at an owner, pauses it when the record of its attempt is on its way to the copy, and lets the copy have
/// it and answer: the answer lies there for the owner to read when it goes on.
async fn paused_behind_the_record(fleet: &mut Fleet, owner: usize, handed: &MessageRequest) {
    let copy = copies_of(fleet, owner, 1)[0];
    let begun = now(fleet);
    fleet.link(owner, copy).fault_next_request(RequestFault::Block);
    let (consumer, message) = (fleet.client(owner), handed.clone());
    tokio::task::spawn_local(async move { consumer.submit(&message, &[b'x'; LARGE]).await });
    let mut after = begun;
    loop {
        let held = |record: &RunRecord| {
            let mut passed = record.link_events.iter().filter(|p| (p.from, p.to) == (owner, copy));
            let held = passed.clone().find(|p| p.when > after && p.what == LinkEventKind::RequestBlocked)?;
            let of = |p: &&quillmount_standins::fleet::link::LinkEvent| {
                p.connection == held.connection && p.when < held.when
            };
            let body = passed.by_ref().filter(of).filter_map(|p| match p.what {
                LinkEventKind::Request { body, .. } => Some(body),
                _ => None,
            });
            Some((held.when, body.last()?))
        };
        let (when, body) = fleet.wait_until("a request is held", WAIT_TIMEOUT, held).await.unwrap();
        if body as usize > LARGE {
            break;
        }
        // It is another word: the record is in the next, or behind it.
        after = when;
        fleet.link(owner, copy).fault_next_request(RequestFault::Block);
        fleet.link(owner, copy).release();
    }
    fleet.suspend(owner).unwrap();
    let paused = now(fleet);
    fleet.link(owner, copy).release();
    let has = |record: &RunRecord| {
        let mut passed = record.link_events.iter().filter(|p| (p.from, p.to) == (owner, copy));
        passed.find(|p| p.when > paused && p.what == LinkEventKind::AnswerBegan).map(|_| ())
    };
    fleet.wait_until("the copy's answer", WAIT_TIMEOUT, has).await.unwrap();
}

/// The debit counts as one that may have run, and is ended without any call; the notice is called by its taker alone.
#[test]
fn an_owner_paused_before_its_first_byte_does_not_write_it_after_the_takeover() {
    for (class, id, most) in [("fee-debit", "debit", 0), ("paid-notice", "paid", 1)] {
        run_test(async || {
            let mut fleet = fleet(3).await;
            paused_behind_the_record(&mut fleet, 1, &message(class, id, 1)).await;
            ends(&fleet, id).await;
            let seen = now(&fleet);
            fleet.resume(1).unwrap();
            anybody_says(&fleet, seen, "the process restarts").await;
            anybody_says(&fleet, seen, "b: serving on").await;
            heals(&mut fleet).await;
            let by_owner = fleet.recorder.read(|r| r.calls_of(id).filter(|call| call.courier == 1).count());
            assert_eq!((by_owner, calls(&fleet, id)), (0, most));
        });
    }
}

/// A call that is out when its owner stands still is answered while nobody hears it.
#[test]
fn an_owner_paused_with_a_call_in_flight_reports_no_end_after_the_takeover() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        fleet.suspend(1).unwrap();
        taken_over(&fleet, 1, "debit", "paid").await;
        fleet.partner(1).release("debit", Answer::failed());
        let seen = now(&fleet);
        fleet.resume(1).unwrap();
        anybody_says(&fleet, seen, "the process restarts").await;
        anybody_says(&fleet, seen, "b: serving on").await;
        heals(&mut fleet).await;
        let told = fleet.recorder.read(|r| r.notices_of("debit").map(|n| n.courier).collect::<Vec<_>>());
        assert!(!told.contains(&1), "{told:?}");
    });
}

/// Too short for its lease to lapse: it goes on with its own.
#[test]
fn an_owner_paused_for_a_moment_goes_on_with_its_own() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        fleet.suspend(1).unwrap();
        fleet.resume(1).unwrap();
        for id in ["debit", "paid"] {
            fleet.partner(1).release(id, Answer::ok());
            ends(&fleet, id).await;
        }
        assert_eq!((calls(&fleet, "debit"), calls(&fleet, "paid"), said(&fleet, "takes over")), (1, 1, 0));
        heals(&mut fleet).await;
    });
}

/// The file of the program was taken away meanwhile, as by an upgrade: the process begins anew all the same.
#[test]
fn a_courier_whose_binary_is_gone_restarts() {
    run_test(async || {
        let program = format!("{}/quillmount-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::hard_link(env!("CARGO_BIN_EXE_quillmount"), &program).unwrap();
        let mut setup = setup(3);
        setup.programs.insert(1, program.clone().into());
        let mut fleet = start(setup).await;
        std::fs::remove_file(&program).unwrap();
        fleet.suspend(1).unwrap();
        let paused = now(&fleet);
        anybody_says(&fleet, paused, "b is deregistered").await;
        fleet.resume(1).unwrap();
        anybody_says(&fleet, paused, "b: serving on").await;
        heals(&mut fleet).await;
    });
}
