//! Restarts: restored messages are attempted regardless of the load, and classes are matched by name under new settings.

mod common;
use bytes::Bytes;
use common::{NOW, World, calls, class, endpoint, options, store_after_crash};
use quillmount_core::hub::Hub;
use quillmount_core::journal::{
    AcceptedMessage, End, Journal, JournalContents, JournalRecord, RepeatEffect, frame,
};
use quillmount_core::note::{Level, Note};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router, RouterAction, RouterLoad, settings_fingerprint};
use quillmount_core::store::{Fault, Memory};
use quillmount_core::{CallEnd, DeliveryCall, Ending, EndpointList, EndpointListing, Notice, Submission};
use quillmount_policy::{EndpointState, Micros, MsgId};
use quillmount_settings::{Category, SenderSettings, Tenant};
use std::collections::BTreeSet;

const JOURNAL_LIMIT: u64 = 3_000_000;
const TIME_LEFT: Micros = 16_000_000;

fn dedup(name: &str, span_ms: f64, scope: &str) -> Category {
    Category { memory_span_ms: span_ms, dedup_scope: Some(scope.into()), ..class(name, "dedup") }
}

fn env(classes: Vec<Category>) -> SenderSettings {
    SenderSettings { classes, ..SenderSettings::default() }
}

fn list(lines: &[(&str, u64, &str)]) -> EndpointList {
    // The port of each endpoint is its position in the list, from 1.
    let line = |((id, dest, zone), port): (&(&str, u64, &str), u16)| EndpointListing {
        zone: (*zone).into(),
        addr: Some(([127, 0, 0, 1], port).into()),
        ..endpoint(id, *dest, EndpointState::Ready)
    };
    EndpointList { version: 2, full: true, endpoints: lines.iter().zip(1..).map(line).collect() }
}

fn empty_list() -> EndpointList {
    EndpointList { version: 0, full: true, endpoints: Vec::new() }
}

fn accepted_message(n: u64, class: &str) -> AcceptedMessage {
    let (id, key) = (format!("m{n}"), Some(format!("k{n}")));
    AcceptedMessage {
        id,
        class: class.into(),
        key,
        dest: 1,
        deadline: NOW + TIME_LEFT,
        body: Bytes::from_static(b"body"),
    }
}

/// A store with a journal of these records.
fn store_with(records: &[JournalRecord]) -> Memory {
    Memory::from_bytes(records.iter().flat_map(|record| frame(record).unwrap()).collect())
}

/// Starts the next process; returns it, the calls that it starts immediately, and the errors that it logs.
fn open(
    env: &SenderSettings,
    known: EndpointList,
    store: Memory,
    now: Micros,
) -> (World, Vec<DeliveryCall>, Vec<String>) {
    let (router, actions) = Router::open(&options(env, JOURNAL_LIMIT), known, store, now).unwrap();
    let errors = actions.iter().filter_map(|action| match action {
        RouterAction::Note(note) if note.level() == Level::Error => Some(note.to_string()),
        _ => None,
    });
    let errors = errors.collect();
    let mut hub = Hub::new(router, Pool::new(15_000_000, 99));
    let begun = calls(hub.carry_out(actions, now));
    (hub, begun, errors)
}

fn submit(hub: &mut World, id: &str, class: &str, now: Micros) -> (Intake, Vec<DeliveryCall>) {
    let (id, class, body) = (id.to_string(), class.to_string(), Bytes::from_static(b"body"));
    let key = Some(id.clone());
    let submission = Submission { id, class, key, dest: 1, tenant: None, time_left: TIME_LEFT, body };
    let (intake, actions) = hub.submit(submission, now);
    (intake, calls(actions))
}

fn ends(hub: &World) -> Vec<(MsgId, Ending)> {
    hub.router.notices(9_999).into_iter().map(|Notice { msg, ending, .. }| (msg, ending)).collect()
}

/// Runs the courier until the time `until`, delivers each call, and returns the messages of all calls.
fn deliver_all(
    hub: &mut World,
    mut out: Vec<DeliveryCall>,
    mut now: Micros,
    until: Micros,
) -> BTreeSet<MsgId> {
    let mut called = BTreeSet::new();
    loop {
        while let Some(call) = out.pop() {
            called.insert(call.call.msg);
            out.extend(calls(hub.call_ended(call.call, CallEnd::Delivered, now)));
        }
        match hub.router.wake_at().filter(|wake_at| *wake_at <= until) {
            Some(wake_at) => now = now.max(wake_at),
            None => return called,
        }
        out.extend(calls(hub.tick(now)));
    }
}

/// The process crashed with a full table. The policy sheds new messages above nine tenths of the table and can't tell
/// restored messages from new ones, so without extra capacity it would shed restored messages.
#[test]
fn messages_that_fill_the_table_survive_a_restart_and_are_tried_before_new_ones() {
    for (cap, owed) in [(20, 20), (10, 20), (1, 3), (20, 18), (1_000, 1)] {
        let settings = SenderSettings {
            limits: quillmount_settings::Limits { max_open_messages: Some(cap), ..Default::default() },
            ..env(vec![class("fee-debit", "fragile")])
        };
        let records: Vec<_> = (0..owed)
            .map(|msg| JournalRecord::Accept { msg, message: accepted_message(msg, "fee-debit") })
            .collect();
        let (mut hub, begun, _) = open(&settings, empty_list(), store_with(&records), NOW);
        assert_eq!((ends(&hub).len(), begun.len()), (0, 0), "{owed} in a table of {cap}");
        // An upgrade at this time keeps the messages, too.
        let state = hub.state(settings_fingerprint(&settings, None).unwrap());
        let (next, _) = Router::resume(
            &options(&settings, JOURNAL_LIMIT),
            state.router,
            store_after_crash(&hub),
            NOW + 1_000,
        )
        .unwrap();
        hub = Hub::new(next, Pool::new(15_000_000, 99));
        hub.tick(NOW + 1_000_000);
        assert_eq!(ends(&hub).len(), 0, "{owed} in a table of {cap}");
        let now = NOW + 1_000_000;
        let begun = calls(hub.list(list(&[("a", 1, "z")]), now));
        if owed >= u64::from(cap) {
            let (intake, _) = submit(&mut hub, "new", "fee-debit", now);
            assert!(matches!(intake, Intake::Rejected { .. }), "{intake:?}");
        }
        assert_eq!(deliver_all(&mut hub, begun, now, now + 10_000_000), (0..owed).collect(), "{cap}");
        // The extra capacity is gone with the restored messages: the limit of the settings applies again.
        let accepted = (0..2 * u64::from(cap).min(50)).filter(|n| {
            submit(&mut hub, &format!("n{n}"), "fee-debit", now + 10_000_000).0 == Intake::Accepted
        });
        assert!(accepted.count() <= cap as usize);
    }
}

/// No message ends before its deadline because the endpoint list is empty, lacks the destination, or because discovery does
/// not respond. The first list with the destination is sufficient to deliver all messages.
#[test]
fn an_untried_message_waits_for_a_list_until_its_deadline() {
    let settings = env(vec![class("fee-debit", "fragile")]);
    for known in [empty_list(), list(&[("x", 9, "z")])] {
        let records: Vec<_> = (0..9)
            .map(|msg| JournalRecord::Accept { msg, message: accepted_message(msg, "fee-debit") })
            .collect();
        let (mut hub, begun, _) = open(&settings, known, store_with(&records), NOW);
        let late = NOW + TIME_LEFT - 1_000_000;
        assert!(deliver_all(&mut hub, begun, NOW, late).is_empty());
        assert_eq!(ends(&hub), []);
        let begun = calls(hub.list(list(&[("a", 1, "z")]), late));
        assert_eq!(deliver_all(&mut hub, begun, late, late + 500_000).len(), 9);
    }
}

/// The settings rename, reorder and remove classes: a class in the journal is identified by its name alone.
#[test]
fn a_restored_message_has_the_class_of_its_name_and_ends_with_an_error_without_one() {
    let records = [
        JournalRecord::Accept { msg: 1, message: accepted_message(1, "fee-debit") },
        JournalRecord::Sent { msg: 1, sent_at: NOW - 9, effect: RepeatEffect::Unsafe },
        JournalRecord::Accept { msg: 2, message: accepted_message(2, "paid-notice") },
        JournalRecord::Sent { msg: 2, sent_at: NOW - 9, effect: RepeatEffect::Safe },
        JournalRecord::Accept { msg: 3, message: accepted_message(3, "gone") },
        JournalRecord::Accept { msg: 4, message: accepted_message(4, "gone") },
        JournalRecord::Sent { msg: 4, sent_at: NOW - 9, effect: RepeatEffect::Safe },
        JournalRecord::Accept { msg: 5, message: accepted_message(5, "gone") },
        JournalRecord::Sent { msg: 5, sent_at: NOW - 9, effect: RepeatEffect::Safe },
        JournalRecord::Outcome { msg: 5, attempt: 0, never_ran: true },
    ];
    let settings = env(vec![class("paid-notice", "retryable"), class("fee-debit", "fragile")]);
    let (mut hub, begun, errors) = open(&settings, list(&[("a", 1, "z")]), store_with(&records), NOW);
    // A message that never ran may be submitted again; the others may have had an effect.
    let failed = Ending::Undeliverable;
    let expected = [(1, failed), (3, Ending::Deferred(0)), (4, failed), (5, Ending::Deferred(0))];
    let mut found = ends(&hub);
    found.sort_by_key(|(msg, _)| *msg);
    assert_eq!(found, expected);
    assert_eq!(deliver_all(&mut hub, begun, NOW, NOW + 1_000_000), BTreeSet::from([2]));
    assert_eq!(errors.len(), 3, "{errors:?}");
    for (error, id) in errors.iter().zip(["m3", "m4", "m5"]) {
        for word in [id, "\"gone\"", "the old name"] {
            assert!(error.contains(word), "{error}");
        }
    }
}

/// The effect of a class has changed. For an attempt that may have run under the old effect, the stricter of both applies.
#[test]
fn the_stricter_effect_applies_to_attempts_that_may_have_run() {
    let keyed = |span: Micros, zone: Option<&str>| RepeatEffect::Keyed { span, zone: zone.map(Into::into) };
    let class_safe = || class("c", "retryable");
    let class_once = || class("c", "fragile");
    let class_keyed = |span_ms| dedup("c", span_ms, "all");
    let second = 1_000_000;
    // The attempt's effect, the class's present effect, the attempt's age, and whether the message is sent again.
    let cases = [
        (RepeatEffect::Safe, class_safe(), 5 * second, true),
        (RepeatEffect::Unsafe, class_safe(), 0, false),
        (RepeatEffect::Unsafe, class_keyed(6_000.0), 0, false),
        (RepeatEffect::Safe, class_once(), 0, false),
        (keyed(6 * second, None), class_once(), 0, false),
        (keyed(6 * second, None), class_safe(), 0, false),
        (keyed(6 * second, None), class_keyed(6_000.0), 5 * second, true),
        (keyed(6 * second, None), class_keyed(6_000.0), 6 * second, false),
        (keyed(2 * second, None), class_keyed(6_000.0), second, true),
        (keyed(2 * second, None), class_keyed(6_000.0), 2 * second, false),
        (keyed(6 * second, None), class_keyed(2_000.0), second, true),
        (keyed(6 * second, None), class_keyed(2_000.0), 2 * second, false),
        (keyed(6 * second, Some("z")), class_keyed(6_000.0), 0, false),
        (keyed(6 * second, Some("z")), dedup("c", 6_000.0, "zone"), second, true),
        (keyed(6 * second, Some("y")), dedup("c", 6_000.0, "zone"), second, false),
        (keyed(6 * second, None), dedup("c", 6_000.0, "zone"), second, false),
    ];
    for (recorded_effect, present_class, age, is_repeated) in cases {
        let context = format!("{recorded_effect:?} and {:?}, {age} us ago", present_class.effect);
        let sent = JournalRecord::Sent { msg: 1, sent_at: NOW - age, effect: recorded_effect.clone() };
        let settings = env(vec![class("other", "retryable"), present_class]);
        let ran = [JournalRecord::Accept { msg: 1, message: accepted_message(1, "c") }, sent];
        let (mut hub, begun, errors) = open(&settings, list(&[("a", 1, "z")]), store_with(&ran), NOW);
        assert_eq!(!deliver_all(&mut hub, begun, NOW, NOW + TIME_LEFT).is_empty(), is_repeated, "{context}");
        assert_eq!(ends(&hub).len(), usize::from(!is_repeated), "{context}");
        assert!(errors.iter().all(|error| error.contains("\"m1\"") && error.contains("\"c\"")), "{errors:?}");
        // For an attempt that is known not to have run, the present effect applies.
        let never = JournalRecord::Outcome { msg: 1, attempt: 0, never_ran: true };
        let not = [ran[0].clone(), ran[1].clone(), never];
        let (mut hub, begun, errors) = open(&settings, list(&[("a", 1, "z")]), store_with(&not), NOW);
        assert_eq!(
            (deliver_all(&mut hub, begun, NOW, NOW + TIME_LEFT).len(), errors.len()),
            (1, 0),
            "{context}"
        );
    }
}

/// Only one zone deduplicates the message. The journal identifies that zone by name, also after a compaction, however the
/// settings and endpoint lists of the next process number the zones.
#[test]
fn a_repeat_that_one_zone_alone_would_drop_goes_to_the_zone_with_that_name() {
    let zoned = |zones: &[&str], own: &str| SenderSettings {
        zones: zones.iter().map(|z| z.to_string()).collect(),
        zone: Some(own.into()),
        ..env(vec![dedup("c", 6_000.0, "zone")])
    };
    let (mut hub, ..) = open(&zoned(&["west", "east"], "west"), empty_list(), Memory::default(), NOW);
    hub.list(list(&[("w", 1, "west"), ("f", 2, "far")]), NOW);
    let (_, out) = submit(&mut hub, "m", "c", NOW);
    assert_eq!(out.len(), 1);
    let crashed = store_after_crash(&hub);
    assert!(crashed.bytes().windows(4).any(|word| word == b"west"));
    let mut torn = crashed.bytes().to_vec();
    torn.extend([9, 0, 0, 0, 1]);
    for store in [crashed, Memory::from_bytes(torn)] {
        for zones in [vec!["east", "west"], vec!["west", "east"], vec![]] {
            let settings = zoned(&zones, "east");
            let known = list(&[("f", 1, "far"), ("e", 1, "east")]);
            let (mut hub, begun, _) = open(&settings, known, store.clone(), NOW + 1_000_000);
            assert_eq!(begun.len(), 0, "{zones:?}: no other zone deduplicates the message");
            let all = list(&[("f", 1, "far"), ("e", 1, "east"), ("w", 1, "west")]);
            let begun = calls(hub.list(all, NOW + 1_000_000));
            assert_eq!(begun.len(), 1, "{zones:?}");
            assert_eq!(begun[0].addr.port(), 3, "{zones:?}");
        }
    }
    // Earlier versions recorded zone numbers, which identify no zone.
    let old = [
        JournalRecord::Accept { msg: 1, message: accepted_message(1, "c") },
        JournalRecord::Attempt { msg: 1, zone: 0, sent_at: NOW },
    ];
    let (_, begun, _) = open(&zoned(&["west"], "west"), list(&[("w", 1, "west")]), store_with(&old), NOW);
    assert_eq!(begun.len(), 0);
}

/// The wall clock was set back between two processes, so the age of an attempt is unknown and must not count as recent.
#[test]
fn a_clock_that_was_set_back_lengthens_no_span_for_repeats() {
    let settings = env(vec![dedup("c", 2_000.0, "all"), class("s", "retryable")]);
    let sent = |msg, sent_at, effect| JournalRecord::Sent { msg, sent_at, effect };
    let keyed = || RepeatEffect::Keyed { span: 2_000_000, zone: None };
    let records = [
        JournalRecord::Accept { msg: 1, message: accepted_message(1, "c") },
        sent(1, NOW - 100_000, keyed()),
        JournalRecord::Accept { msg: 2, message: accepted_message(2, "s") },
        sent(2, NOW, RepeatEffect::Safe),
        JournalRecord::Accept { msg: 3, message: accepted_message(3, "c") },
    ];
    let known = || list(&[("a", 1, "z")]);
    let begun = |now| {
        let (mut hub, begun, _) = open(&settings, known(), store_with(&records), now);
        deliver_all(&mut hub, begun, now, now)
    };
    assert_eq!(begun(NOW), BTreeSet::from([1, 2, 3]));
    assert_eq!(begun(NOW - 1), BTreeSet::from([2, 3]), "the age of the first attempt is unknown");
    // A clock that was set forward only shortens the span for repeats.
    assert_eq!(begun(NOW + 3_000_000), BTreeSet::from([2, 3]));
}

/// The handed-over state refers to classes, zones and tenants by number, so it is invalid if the settings reorder them.
#[test]
fn the_state_of_an_upgrade_is_not_resumed_under_other_settings() {
    let tenants = |names: [&str; 2]| names.map(|n| Tenant { name: n.into(), allowance_per_s: 5.0 }).into();
    let settings = || SenderSettings {
        tenants: tenants(["a", "b"]),
        zones: vec!["x".into(), "y".into()],
        zone: Some("x".into()),
        kinds: vec!["bank".into(), "post".into()],
        ..env(vec![class("one", "fragile"), class("two", "fragile")])
    };
    let others = [
        SenderSettings { tenants: tenants(["b", "a"]), ..settings() },
        SenderSettings { zones: vec!["y".into(), "x".into()], zone: Some("y".into()), ..settings() },
        SenderSettings { kinds: vec!["post".into(), "bank".into()], ..settings() },
        SenderSettings { classes: vec![class("two", "fragile"), class("one", "fragile")], ..settings() },
        SenderSettings { classes: vec![class("one", "retryable"), class("two", "fragile")], ..settings() },
    ];
    let own = settings_fingerprint(&settings(), None).unwrap();
    assert_eq!(own, settings_fingerprint(&settings(), None).unwrap());
    for (n, other) in others.iter().enumerate() {
        assert_ne!(own, settings_fingerprint(other, None).unwrap(), "{n}");
    }
}

/// The process crashes at any byte of any write about a message, such as between the record of the acceptance and the 202
/// response, or between the record of an attempt and the first byte sent. The next process continues from that step or from
/// the one before.
#[test]
fn the_next_process_recovers_from_a_crash_at_any_byte_of_any_write() {
    let settings = env(vec![class("fee-debit", "fragile"), class("status", "retryable")]);
    let mut crash_points_seen = BTreeSet::new();
    for class in ["fee-debit", "status"] {
        for last in [CallEnd::Delivered, CallEnd::Reset, CallEnd::Full(0)] {
            for (after, bytes) in (0..6).flat_map(|after| (0..40).map(move |bytes| (after, bytes))) {
                let (mut hub, ..) = open(&settings, empty_list(), Memory::default(), NOW);
                hub.list(list(&[("a", 1, "z")]), NOW);
                hub.router.journal_mut().store_mut().set_fault(Fault::Crash { after, bytes });
                let is_running = |hub: &World| !hub.router.journal().store().has_crashed();
                let (_, out) = submit(&mut hub, "m", class, NOW);
                // Nothing that a process does after its crash has an effect, neither its 202 response nor a call's first byte.
                let sent = is_running(&hub) && !out.is_empty();
                // The first write is the record of the acceptance.
                let accepted = is_running(&hub) || after > 0;
                if sent {
                    hub.call_ended(out[0].call, last, NOW);
                }
                let ended = is_running(&hub);
                let notices = hub.router.notices(9);
                if ended && !notices.is_empty() {
                    hub.notices_confirmed(&notices, NOW);
                }
                let confirmed = is_running(&hub);
                let contents = JournalContents::read(store_after_crash(&hub).bytes()).0;
                let (mut next, begun, _) =
                    open(&settings, list(&[("a", 1, "z")]), store_after_crash(&hub), NOW);
                let context =
                    format!("{class}, {last:?}, crash in write {after} at {bytes} bytes: {contents:?}");
                let found = (begun.len(), next.router.notices(9).len());
                let entry = contents.owed.values().next();
                let is_known = entry.is_some() || !contents.ended.is_empty();
                assert!(is_known || !accepted, "{context}: an accepted message is lost");
                let is_recorded = entry.is_none_or(|entry| !entry.attempts.is_empty());
                assert!(is_recorded || !sent, "{context}: a byte was sent without a record of the attempt");
                match entry {
                    None => assert_eq!(found, (0, 0), "{context}"),
                    Some(entry) if entry.end.is_some() => assert_eq!(found, (0, 1), "{context}"),
                    Some(entry) => {
                        let ran = entry.attempts.iter().any(|call| call.never_ran != Some(true));
                        let is_repeated = class == "status" || !ran;
                        assert_eq!(found, if is_repeated { (1, 0) } else { (0, 1) }, "{context}");
                    }
                }
                let over = last == CallEnd::Delivered || !notices.is_empty();
                assert!(!(sent && confirmed && over) || contents.owed.is_empty(), "{context}: still owed");
                crash_points_seen.insert((accepted, sent, ended, confirmed));
                deliver_all(&mut next, begun, NOW, NOW + TIME_LEFT);
                let (notices, later) = (next.router.notices(9), NOW + TIME_LEFT);
                next.notices_confirmed(&notices, later);
                assert_eq!(next.router.load(), RouterLoad::default(), "{context}: not ended");
            }
        }
    }
    // The crash came before the 202 response, the first byte, the end, the confirmed notice, or not at all.
    let (no, yes) = (false, true);
    let crash_points =
        [(no, no, no, no), (yes, no, no, no), (yes, yes, no, no), (yes, yes, yes, no), (yes, yes, yes, yes)];
    assert!(crash_points.iter().all(|point| crash_points_seen.contains(point)), "{crash_points_seen:?}");
}

/// A journal that is filled to its limit is restored completely, within the time that is allowed for a restart.
#[test]
fn a_full_journal_is_restored_completely_and_fast() {
    let settings = SenderSettings {
        limits: quillmount_settings::Limits { max_open_messages: Some(20_000), ..Default::default() },
        ..env(vec![class("fee-debit", "fragile"), class("status", "retryable")])
    };
    let mut notes = Vec::new();
    let (mut journal, _) = Journal::open(Memory::default(), JOURNAL_LIMIT, NOW, &mut notes).unwrap();
    let mut owed = 0;
    while journal.submit(owed, accepted_message(owed, "status"), false, NOW, &mut notes).is_ok() {
        owed += 1;
    }
    // Each message has two attempts, of which the first was rejected; ended messages fill the remaining space.
    for msg in 0..owed {
        let sent = || JournalRecord::Sent { msg, sent_at: NOW, effect: RepeatEffect::Safe };
        let refused = JournalRecord::Outcome { msg, attempt: 0, never_ran: true };
        journal.append_all(&[sent(), refused, sent()], NOW, &mut notes).unwrap();
    }
    let over =
        |n| JournalRecord::Ended { id: format!("over-{n}"), end: End::Delivered, until: NOW + TIME_LEFT };
    while !notes.iter().any(|note| matches!(note, Note::Compacted { .. }))
        && journal.disk() < JOURNAL_LIMIT * 6 / 10
    {
        journal.append_all(&[over(journal.disk())], NOW, &mut notes).unwrap();
    }
    assert!(owed > 1_000, "{owed}");
    let begun = std::time::Instant::now();
    let (hub, begun_calls, _) = open(&settings, list(&[("a", 1, "z")]), journal.store().clone(), NOW);
    let elapsed = begun.elapsed();
    assert_eq!(hub.router.load().owed as u64, owed);
    assert!(!begun_calls.is_empty());
    println!("{owed} messages, {} bytes: {elapsed:?}", journal.disk());
    assert!(elapsed < std::time::Duration::from_secs(10), "{elapsed:?} for {owed}");
}
