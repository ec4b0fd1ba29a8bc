//! Tests of the router together with the policy and the journal.

mod common;
use common::options;
use quillmount_core::journal::JournalContents;
use quillmount_core::router::{Intake, Router, RouterAction};
use quillmount_core::store::{Fault, Memory};
use quillmount_core::{CallEnd, CallId, EndpointList, EndpointListing, Submission};
use quillmount_policy::EndpointState;
use quillmount_settings::SenderSettings;

/// A router with a ready endpoint for destination 1 and a class whose messages must not be repeated; and the current time.
fn open_router(settings: SenderSettings) -> (Router<Memory>, u64) {
    let category = quillmount_settings::Category {
        name: "fee-debit".into(),
        effect: Some("fragile".into()),
        deadline_ms: 16_000.0,
        latency_target_ms: 3_000.0,
        ..Default::default()
    };
    let settings = SenderSettings { classes: vec![category], ..settings };
    let line = EndpointListing {
        id: "s".into(),
        addr: "127.0.0.1:1".parse().ok(),
        dest: 1,
        kind: String::new(),
        zone: String::new(),
        weight: 0.0,
        state: EndpointState::Ready,
    };
    let known = EndpointList { version: 1, full: true, endpoints: vec![line] };
    let now = 1_000_000_000;
    let (mut router, _) =
        Router::open(&options(&settings, 99_999), known.clone(), Memory::default(), now).unwrap();
    router.list(known, now);
    (router, now)
}

fn submit(router: &mut Router<Memory>, id: &str, now: u64) -> (Intake, Vec<RouterAction>) {
    let (id, class, time_left, body) = (id.into(), "fee-debit".into(), 16_000_000, bytes::Bytes::new());
    router.submit(Submission { id, class, key: None, dest: 1, tenant: None, time_left, body }, now)
}

fn started_call(actions: &[RouterAction]) -> Option<CallId> {
    actions.iter().find_map(|action| match action {
        RouterAction::Call(call) => Some(call.call),
        _ => None,
    })
}

/// The connection limit leaves no slot for the second message before its deadline. The message is rejected immediately, and
/// no notice is queued.
#[test]
fn a_message_shed_at_once_is_not_accepted() {
    let (mut router, now) = open_router(SenderSettings {
        sender_count: Some(3_000),
        sender_index: Some(1),
        ..SenderSettings::default()
    });
    let (intake, actions) = submit(&mut router, "a", now);
    let call = started_call(&actions);
    assert_eq!(intake, Intake::Accepted);
    router.call_ended(call.unwrap(), CallEnd::Full(0), now);
    for _ in 0..2 {
        let (intake, _) = submit(&mut router, "b", now);
        assert!(matches!(intake, Intake::Rejected { after } if after > 0), "{intake:?}");
    }
    let notices = router.notices(9).into_iter().map(|n| n.id).collect::<Vec<_>>();
    assert_eq!((notices, router.load().owed), (vec!["a".to_string()], 1));
    let (contents, _) = JournalContents::read(router.journal().store().bytes());
    assert_eq!(contents.owed.len(), 1, "the next process owes the rejected message nothing");
}

/// The store rejects the record of an attempt, so that the policy counts the attempt and the journal does not. The outcome
/// of the next attempt must still be recorded under that attempt's index in the journal.
#[test]
fn an_outcome_is_recorded_for_its_own_attempt_after_a_refused_record() {
    let (mut router, now) = open_router(SenderSettings::default());
    // The record of the acceptance is written, that of the attempt is not.
    router.journal_mut().store_mut().set_fault(Fault::Full { after: 1 });
    let (_, actions) = submit(&mut router, "m", now);
    let refused = actions.iter().find_map(|action| match action {
        RouterAction::NotWritten(call) => Some(*call),
        _ => None,
    });
    router.journal_mut().store_mut().set_fault(Fault::None);
    let actions = router.call_ended(refused.unwrap(), CallEnd::HeldBack, now);
    let call = started_call(&actions);
    assert_eq!(call.unwrap().attempt, 1);
    router.call_ended(call.unwrap(), CallEnd::Full(0), now);
    let (contents, _) = JournalContents::read(router.journal().store().bytes());
    let calls: Vec<_> = contents.owed.values().flat_map(|e| &e.attempts).map(|c| c.never_ran).collect();
    assert_eq!(calls[0], Some(true), "{calls:?}");
}
