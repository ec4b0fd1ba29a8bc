//! Adoption of the messages of a failed courier: it follows the rules of a restart, happens once, and is atomic.

mod common;
use common::{NOW, World, calls, class, endpoint, options, store_after_crash};
use quillmount_core::hub::{DriverAction, Hub};
use quillmount_core::journal::{
    AcceptedMessage, End, JournalContents, JournalEntry, JournalError, RecordedAttempt, Settlements,
};
use quillmount_core::note::Note;
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router, RouterLoad};
use quillmount_core::store::{Fault, Memory};
use quillmount_core::{DeliveryCall, Ending, EndpointList, Submission};
use quillmount_policy::EndpointState;
use quillmount_settings::{Category, SenderSettings};

const JOURNAL_LIMIT: u64 = 99_999;

fn open(store: Memory, disk: u64) -> World {
    let keyed = |name, scope: Option<&str>| Category {
        memory_span_ms: 6_000.0,
        dedup_scope: scope.map(String::from),
        ..class(name, "dedup")
    };
    let settings = SenderSettings {
        classes: vec![
            class("fee-debit", "fragile"),
            keyed("paid-notice", None),
            keyed("zone-notice", Some("zone")),
        ],
        ..SenderSettings::default()
    };
    let known =
        EndpointList { version: 1, full: true, endpoints: vec![endpoint("a", 1, EndpointState::Ready)] };
    let (router, actions) = Router::open(&options(&settings, disk), known.clone(), store, NOW).unwrap();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 9));
    hub.carry_out(actions, NOW);
    hub.list(known, NOW);
    hub
}

/// The entry of a message in another courier's journal.
fn owed(id: &str) -> JournalEntry {
    let (class, body) = ("fee-debit".into(), bytes::Bytes::from_static(b"body"));
    let message =
        AcceptedMessage { id: id.into(), class, key: None, dest: 1, deadline: NOW + 9_000_000, body };
    JournalEntry { message, attempts: Vec::new(), end: None, stream: false, source: None }
}

/// An entry like [`owed`], with an attempt whose outcome is not recorded.
fn in_flight(id: &str) -> JournalEntry {
    JournalEntry {
        attempts: vec![RecordedAttempt { sent_at: NOW - 9, effect: None, never_ran: None }],
        ..owed(id)
    }
}

fn with_class(class: &str, entry: JournalEntry) -> JournalEntry {
    JournalEntry {
        message: AcceptedMessage { class: class.into(), key: Some("k".into()), ..entry.message },
        ..entry
    }
}

fn notices(hub: &World) -> Vec<(String, Ending)> {
    hub.router.notices(99).into_iter().map(|notice| (notice.id, notice.ending)).collect()
}

fn ids(calls: Vec<DeliveryCall>) -> Vec<String> {
    calls.iter().flat_map(DeliveryCall::payloads).map(|payload| payload.id.clone()).collect()
}

#[test]
fn adopted_messages_go_on_as_after_a_restart() {
    let mut hub = open(Memory::default(), JOURNAL_LIMIT);
    let refused = JournalEntry {
        attempts: vec![RecordedAttempt { sent_at: 5, effect: None, never_ran: Some(true) }],
        ..owed("back")
    };
    let ended = JournalEntry { end: Some(End::Deferred { after: 70 }), ..owed("ended") };
    let late =
        JournalEntry { message: AcceptedMessage { deadline: NOW, ..owed("late").message }, ..owed("late") };
    let stream = JournalEntry { stream: true, ..in_flight("stream") };
    let entries = vec![in_flight("out"), owed("fresh"), refused, ended.clone(), late, stream];
    let driver_actions = hub.adopt(entries, &Settlements::default(), NOW).unwrap();
    assert!(driver_actions.iter().any(|action| matches!(action, DriverAction::Notify)));
    assert_eq!(ids(calls(driver_actions)), ["fresh", "back"], "only messages that never ran are sent");
    let mut ends = notices(&hub);
    ends.sort_by(|a, b| a.0.cmp(&b.0));
    let undeliverable = |id: &str| (id.to_string(), Ending::Undeliverable);
    let deferred = ("ended".to_string(), Ending::Deferred(70));
    assert_eq!(ends, [deferred, undeliverable("late"), undeliverable("out"), undeliverable("stream")]);
    assert_eq!(hub.router.counters.adopted, 6);
    // This courier's own journal contains all messages and their ends, so that nothing is sent again after a crash.
    let (contents, _) = JournalContents::read(store_after_crash(&hub).bytes());
    assert_eq!((contents.owed.len(), contents.owed.values().filter(|e| e.end.is_some()).count()), (6, 4));
    assert!(contents.owed.values().any(|e| *e == ended));
    let mut next = open(store_after_crash(&hub), JOURNAL_LIMIT);
    assert!(calls(next.tick(NOW)).is_empty());
    assert_eq!(notices(&next).len(), 6, "this process has sent the debits, so they may have run");
}

/// Each courier numbers zones differently (0 is its own zone), so the zone number of another courier's attempt is unknown.
#[test]
fn an_adopted_message_deduplicated_by_an_unknown_zone_is_not_repeated() {
    let mut hub = open(Memory::default(), JOURNAL_LIMIT);
    let entries =
        vec![with_class("paid-notice", in_flight("anywhere")), with_class("zone-notice", in_flight("zone"))];
    assert_eq!(ids(calls(hub.adopt(entries, &Settlements::default(), NOW).unwrap())), ["anywhere"]);
    let fresh = with_class("zone-notice", owed("first"));
    assert_eq!(ids(calls(hub.adopt(vec![fresh], &Settlements::default(), NOW).unwrap())), ["first"]);
}

#[test]
fn a_message_that_is_owed_or_ended_here_is_not_adopted() {
    let mut hub = open(Memory::default(), JOURNAL_LIMIT);
    let entries = || vec![in_flight("out"), owed("fresh"), owed("fresh")];
    let skipped = |driver_actions: &[DriverAction<u32>]| -> Vec<String> {
        let id = |action: &DriverAction<u32>| match action {
            DriverAction::Note(Note::NotAdopted { id }) => Some(id.clone()),
            _ => None,
        };
        driver_actions.iter().filter_map(id).collect()
    };
    let driver_actions = hub.adopt(entries(), &Settlements::default(), NOW).unwrap();
    assert_eq!(skipped(&driver_actions), ["fresh"]);
    let call = calls(driver_actions).remove(0).call;
    for _ in 0..2 {
        let before = store_after_crash(&hub).bytes().to_vec();
        let driver_actions = hub.adopt(entries(), &Settlements::default(), NOW).unwrap();
        assert_eq!((skipped(&driver_actions).len(), calls(driver_actions).len()), (3, 0));
        assert_eq!(store_after_crash(&hub).bytes(), before);
        // In the second iteration both messages have ended.
        hub.call_ended(call, quillmount_core::CallEnd::Delivered, NOW);
        let notices = hub.router.notices(9);
        hub.notices_confirmed(&notices, NOW);
    }
    assert_eq!((hub.router.counters.adopted, hub.router.load()), (2, RouterLoad::default()));
    // A message that another courier delivered is not processed further.
    let delivered = JournalEntry { end: Some(End::Delivered), ..owed("delivered") };
    assert_eq!(skipped(&hub.adopt(vec![delivered], &Settlements::default(), NOW).unwrap()), ["delivered"]);
}

#[test]
fn a_refused_write_or_a_crash_adopts_nothing_in_part() {
    let entries = || vec![in_flight("a"), in_flight("b"), owed("c")];
    let mut hub = open(Memory::default(), JOURNAL_LIMIT);
    hub.adopt(vec![owed("own")], &Settlements::default(), NOW).unwrap();
    let before = store_after_crash(&hub);
    hub.router.journal_mut().store_mut().set_fault(Fault::Full { after: 0 });
    assert!(matches!(hub.adopt(entries(), &Settlements::default(), NOW), Err(JournalError::Io { .. })));
    hub.router.journal_mut().store_mut().set_fault(Fault::None);
    assert_eq!((hub.router.load().owed, store_after_crash(&hub).bytes()), (1, before.bytes()));
    assert_eq!(
        ids(calls(hub.adopt(entries(), &Settlements::default(), NOW).unwrap())),
        ["c"],
        "the adoption succeeds once writes succeed"
    );
    // The entries do not fit into the limit on disk space; the journal is unchanged.
    let mut small = open(Memory::default(), 4_000);
    assert!(matches!(small.adopt(entries(), &Settlements::default(), NOW), Err(JournalError::Full)));
    assert_eq!((small.router.load(), store_after_crash(&small).bytes().len()), (RouterLoad::default(), 0));
    // Wherever a crash interrupts the write, no debit that was in flight is owed without its attempt.
    for after in 0..8 {
        for bytes in 0..200 {
            let mut hub = open(Memory::default(), JOURNAL_LIMIT);
            hub.router.journal_mut().store_mut().set_fault(Fault::Crash { after, bytes });
            hub.adopt(entries(), &Settlements::default(), NOW).unwrap();
            let (contents, _) = JournalContents::read(store_after_crash(&hub).bytes());
            let safe =
                contents.owed.values().all(|entry| entry.message.id == "c" || !entry.attempts.is_empty());
            assert!(safe, "write {after}, {bytes} bytes: {contents:?}");
            let mut next = open(store_after_crash(&hub), JOURNAL_LIMIT);
            next.adopt(entries(), &Settlements::default(), NOW).unwrap();
            assert_eq!(next.router.load().owed, 3);
        }
    }
}

/// Between the write and the fleet's decision the messages are not processed. After a crash in between they are still
/// unsettled, and those that another courier owns are later removed from the journal.
#[test]
fn adopted_messages_with_a_source_wait_for_the_decision_of_the_fleet() {
    use quillmount_core::journal::Source;
    let source = |part| Source { owner: "a".into(), epoch: 3, part };
    let from = |part, entry| JournalEntry { source: Some(source(part)), ..entry };
    let mut hub = open(Memory::default(), JOURNAL_LIMIT);
    let driver_actions =
        hub.adopt(vec![from(1, owed("m1")), from(2, owed("m2"))], &Settlements::default(), NOW).unwrap();
    assert!(ids(calls(driver_actions)).is_empty() && hub.router.load().owed == 0);
    let store = Memory::from_bytes(hub.router.journal().store().bytes().to_vec());
    let mut hub = open(store, JOURNAL_LIMIT);
    assert_eq!(hub.router.unsettled().cloned().collect::<Vec<_>>(), [source(1), source(2)]);
    let (id, class, time_left) = ("m2".into(), "fee-debit".into(), 9_000_000);
    let again = Submission { id, class, key: None, dest: 1, tenant: None, time_left, body: [][..].into() };
    assert_eq!(hub.submit(again, NOW).0, Intake::Open, "the id is reserved until the decision");
    let driver_actions = hub.settle_source(&source(1), true, NOW).unwrap();
    assert_eq!(ids(calls(driver_actions)), ["m1"]);
    assert!(hub.settle_source(&source(2), false, NOW).unwrap().is_empty());
    let (contents, _) = JournalContents::read(hub.router.journal().store().bytes());
    let left: Vec<_> = contents.owed.values().map(|e| (e.message.id.as_str(), e.source.clone())).collect();
    assert_eq!(left, [("m1", None)]);
    let again = owed("m2");
    // The id of the dropped message may be used again.
    let driver_actions = hub.adopt(vec![again], &Settlements::default(), NOW).unwrap();
    assert_eq!(ids(calls(driver_actions)), ["m2"]);
}
