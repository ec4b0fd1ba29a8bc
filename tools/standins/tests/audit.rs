//! Histories that violate one rule each: the auditor finds that violation and nothing else.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillmount_core::journal::{self, End, JournalRecord};
use quillmount_core::store::Memory;
use quillmount_policy::Micros;
use quillmount_standins::audit::{
    Budget, ConnectionCount, FaultWindow, Finding, History, Journal, Notice, ObservedCall, Seal,
    SettlementEnd, SettlementOutcome, SettlementPosition, SettlementSession, Submission, audit,
};
use quillmount_standins::record::BodyDigest;

const SEC: Micros = 1_000_000;
/// The time at which the histories begin.
const T0: Micros = 1_000 * SEC;

fn submission(id: &str, class: &str) -> Submission {
    Submission {
        id: id.into(),
        class: class.into(),
        key: Some(format!("key-{id}")),
        dest: 1,
        body: BodyDigest::of(id.as_bytes()),
        courier: 0,
        submitted_at: T0,
        time_left: 16 * SEC,
        answered: Some((T0 + 10, 202)),
    }
}

fn observed(id: &str, courier: usize, began: Micros, status: Option<u16>) -> ObservedCall {
    ObservedCall {
        id: id.into(),
        key: Some(format!("key-{id}")),
        dest: 1,
        body: BodyDigest::of(id.as_bytes()),
        courier,
        connection: courier as u64,
        began,
        complete: true,
        ran: !matches!(status, Some(429 | 503)),
        answered: status.map(|status| (began + 50, status)),
        unheard: false,
    }
}

fn notice(id: &str, status: &str, at: Micros) -> Notice {
    Notice { id: id.into(), status: status.into(), courier: 0, at }
}

fn position(settlement: &str, position: u32, at: Micros) -> SettlementPosition {
    let session = Some(SettlementSession { connection: u64::from(position), ended: Some(at + 5) });
    SettlementPosition { settlement: settlement.into(), position, of: None, at, ran: true, session }
}

/// A journal with these records.
fn journal(records: &[JournalRecord]) -> Journal {
    let mut notes = Vec::new();
    let opened = journal::Journal::open(Memory::default(), 1 << 20, T0, &mut notes);
    let (mut journal, _) = opened.unwrap();
    journal.append_all(records, T0, &mut notes).unwrap();
    let bytes = quillmount_core::store::Store::read(journal.store_mut()).unwrap();
    Journal { courier: 0, copy: false, bytes }
}

fn taken(msg: u64, id: &str) -> JournalRecord {
    let (class, key, body) = ("fee-debit".into(), Some(format!("key-{id}")), Bytes::from(id.to_string()));
    let message =
        journal::AcceptedMessage { id: id.into(), class, key, dest: 1, deadline: T0 + 16 * SEC, body };
    JournalRecord::Accept { msg, message }
}

/// A history without findings, with all that is allowed: a rejected message that is submitted again, a repeated notice, a
/// repeat within its span, an answer that a killed courier did not receive, a call that the replicas knew of, a message that
/// is still pending, a budget that is lowered and observed, settlements that are closed, broken, and in consecutive sessions.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn clean() -> History {
    let late = T0 + 12 * SEC;
    let refused = Submission { answered: Some((T0, 503)), ..submission("debit", "fee-debit") };
    let open =
        Submission { submitted_at: late, answered: Some((late, 202)), ..submission("open", "fee-debit") };
    let mut again = notice("told", "undeliverable", T0 + 3 * SEC);
    again.courier = 1;
    let lost = FaultWindow { courier: 2, from: T0 + 3 * SEC, to: None };
    let mut settled: Vec<SettlementPosition> =
        (1..=3).map(|n| position("s-closed", n, T0 + Micros::from(n) * 10)).collect();
    settled[2].of = Some(3);
    settled.extend((1..=2).map(|n| position("s-broken", n, T0 + Micros::from(n) * 10)));
    let connections = [(1, 1), (2, 2), (3, 3), (4, 4), (5, 3), (6, 3), (7, 2), (8, 1)];
    History {
        at: T0 + 20 * SEC,
        submissions: vec![
            refused,
            submission("debit", "fee-debit"),
            submission("told", "fee-debit"),
            submission("paid", "paid-notice"),
            submission("unheard", "fee-debit"),
            submission("known", "fee-debit"),
            open,
            Submission { answered: Some((T0, 503)), ..submission("refused", "fee-debit") },
            Submission { answered: None, ..submission("unanswered", "fee-debit") },
        ],
        calls: vec![
            observed("debit", 0, T0 + SEC, Some(503)),
            observed("debit", 0, T0 + 2 * SEC, Some(200)),
            observed("told", 0, T0 + SEC, Some(500)),
            observed("paid", 0, T0 + SEC, None),
            observed("paid", 1, T0 + 6 * SEC, Some(200)),
            observed("unheard", 2, T0 + 2 * SEC, Some(200)),
            observed("known", 2, T0 + 5 * SEC, None),
        ],
        notices: vec![
            notice("told", "undeliverable", T0 + 2 * SEC),
            again,
            notice("unheard", "undeliverable", T0 + 6 * SEC),
            notice("known", "undeliverable", T0 + 4 * SEC),
        ],
        connections: connections
            .map(|(at, open)| ConnectionCount { partner: 0, at: T0 + at * SEC, open })
            .to_vec(),
        budgets: vec![
            Budget { partner: 0, from: T0, most: 4 },
            Budget { partner: 0, from: T0 + 4 * SEC, most: 2 },
        ],
        journals: vec![journal(&[
            taken(1, "open"),
            JournalRecord::Attempt { msg: 1, zone: 0, sent_at: late },
        ])],
        seals: vec![Seal { courier: 2, at: T0 + 4 * SEC, messages: [("known".into(), 1)].into() }],
        fault_windows: vec![lost],
        positions: settled,
        ends: vec![
            SettlementEnd {
                settlement: "s-closed".into(),
                outcome: SettlementOutcome::Closed(3),
                at: T0 + SEC,
            },
            SettlementEnd {
                settlement: "s-broken".into(),
                outcome: SettlementOutcome::Broken(2),
                at: T0 + SEC,
            },
        ],
        ..History::default()
    }
}

/// A violation that is added to a history, and the beginning of its finding's text.
type Violation = (fn(&mut History), &'static str);

fn call<'a>(history: &'a mut History, id: &str) -> &'a mut ObservedCall {
    history.calls.iter_mut().rfind(|observed| observed.id == id).unwrap()
}

fn handing<'a>(history: &'a mut History, id: &str) -> &'a mut Submission {
    history.submissions.iter_mut().rfind(|submission| submission.id == id).unwrap()
}

/// Each leaves the findings of the others as they are, so that any of them can be combined.
const VIOLATIONS: &[Violation] = &[
    // Ends.
    (
        |h| h.submissions.push(submission("b-lost", "fee-debit")),
        "b-lost: courier 0 took it on at 1000000010; its time was up at 1016000010, and it has no end",
    ),
    (
        |h| {
            let submitted_at = T0 + 15 * SEC;
            let late = Submission {
                submitted_at,
                answered: Some((submitted_at, 202)),
                ..submission("b-forgotten", "fee-debit")
            };
            h.submissions.push(late);
        },
        "b-forgotten: courier 0 took it on at 1015000000; it has no end, and no journal tells of it",
    ),
    (
        |h| h.calls.push(observed("b-unknown", 0, T0, Some(200))),
        "b-unknown: nobody handed it in, and there were 1 calls and 0 notices of it",
    ),
    (
        |h| h.notices.push(notice("refused", "deferred", T0 + SEC)),
        "refused: refused with 503, and there were 0 calls and 1 notices of it",
    ),
    (
        |h| {
            h.submissions.push(Submission { answered: Some((T0, 200)), ..submission("b-said", "fee-debit") });
            h.notices.push(notice("b-said", "undeliverable", T0 + SEC));
        },
        "b-said: courier 0 told its consumer that it is delivered, and no partner answered 200",
    ),
    (
        |h| h.notices.push(notice("told", "deferred", T0 + 4 * SEC)),
        "told: the platform was told \"undeliverable\" and then \"deferred\", by couriers (1, 0)",
    ),
    (
        |h| h.notices.push(notice("debit", "undeliverable", T0 + 3 * SEC)),
        "debit: delivered by a call of courier 0 on connection 0 at 1002000000, answered 200 at 1002000050, \
         and the platform was told \"undeliverable\" at 1003000000",
    ),
    // Calls.
    (
        |h| {
            h.submissions.push(submission("b-debited", "fee-debit"));
            h.calls.push(observed("b-debited", 0, T0 + SEC, None));
            h.calls.push(observed("b-debited", 1, T0 + 2 * SEC, Some(200)));
        },
        "b-debited: run again, which it must not be: first a call of courier 0 on connection 0 \
         at 1001000000, not answered, then a call of courier 1 on connection 1 at 1002000000, answered 200 at 1002000050",
    ),
    (
        |h| {
            h.submissions.push(Submission { key: None, ..submission("b-no-key", "paid-notice") });
            h.calls.push(ObservedCall { key: None, ..observed("b-no-key", 0, T0 + SEC, None) });
            h.calls.push(ObservedCall { key: None, ..observed("b-no-key", 0, T0 + 2 * SEC, Some(200)) });
        },
        "b-no-key: run again, which it must not be: ",
    ),
    (
        |h| {
            h.submissions.push(submission("b-span", "paid-notice"));
            h.calls.push(observed("b-span", 0, T0 + SEC, None));
            h.calls.push(observed("b-span", 1, T0 + 7 * SEC + 1, Some(200)));
        },
        "b-span: repeated after 6000001 us, beyond its span of 6000000 us: ",
    ),
    (
        |h| call(h, "paid").key = Some("other".into()),
        "paid: a call of courier 1 on connection 1 at 1006000000, answered 200 at 1006000050 \
         had the key Some(\"other\") in the place of Some(\"key-paid\")",
    ),
    (
        |h| call(h, "debit").body.crc ^= 1,
        "debit: a call of courier 0 on connection 0 at 1002000000, answered 200 at 1002000050 \
         had another body than was handed in",
    ),
    (
        |h| call(h, "unheard").dest = 2,
        "unheard: a call of courier 2 on connection 2 at 1002000000, answered 200 at 1002000050, \
         for destination 1, went to another's partner",
    ),
    (
        |h| {
            h.submissions.push(submission("b-late", "fee-debit"));
            h.calls.push(observed("b-late", 0, T0 + 18 * SEC, Some(200)));
        },
        "b-late: a call of courier 0 on connection 0 at 1018000000, answered 200 at 1018000050 \
         came after its time was up at 1016000010",
    ),
    (
        |h| {
            h.submissions.push(submission("b-after", "fee-debit"));
            h.notices.push(notice("b-after", "deferred", T0 + SEC));
            h.calls.push(observed("b-after", 1, T0 + 4 * SEC, None));
        },
        "b-after: a call of courier 1 on connection 1 at 1004000000, not answered \
         came after the platform was told \"deferred\" at 1001000000",
    ),
    (
        |h| {
            h.seals[0].messages.insert("known".into(), 0);
        },
        "known: a call of courier 2 on connection 2 at 1005000000, not answered \
         came after its book was sealed at 1004000000; the copies knew of 0",
    ),
    // Budgets.
    (|h| h.connections[3].open = 5, "partner 0: 5 connections at 1004000000, where 4 are allowed"),
    (|h| h.connections[7].open = 3, "partner 0: 3 connections at 1008000000, where 2 are allowed"),
    // Journals.
    (
        |h| {
            h.journals.push(Journal { courier: 3, copy: false, bytes: vec![40, 0, 0, 0, 1, 2, 3, 4, 5] });
        },
        "journal of courier 3: sound for 0 of 9 bytes",
    ),
    (
        |h| {
            let (submitted_at, courier) = (T0 + 12 * SEC, 1);
            h.submissions.push(Submission {
                submitted_at,
                answered: Some((submitted_at, 202)),
                ..submission("b-unwritten", "fee-debit")
            });
            h.calls.push(observed("b-unwritten", courier, submitted_at, None));
            h.journals.push(Journal { courier, ..journal(&[taken(7, "b-unwritten")]) });
        },
        "b-unwritten: courier 1 made 1 calls and wrote 0 of them down",
    ),
    (
        |h| {
            let owed = journal(&[taken(9, "open")]);
            h.journals.push(Journal { courier: 4, ..owed });
        },
        "open: owed by couriers [0, 4] at once",
    ),
    (
        |h| {
            let end = JournalRecord::End { msg: 1, end: End::Undeliverable };
            let after = JournalRecord::Attempt { msg: 1, zone: 0, sent_at: T0 };
            h.submissions.push(submission("b-ended", "fee-debit"));
            h.notices.push(notice("b-ended", "undeliverable", T0 + SEC));
            h.journals.push(Journal { courier: 5, ..journal(&[taken(1, "b-ended"), end, after]) });
        },
        "b-ended: courier 5 wrote down an attempt after its end, at byte ",
    ),
    (
        |h| {
            let attempt = JournalRecord::Attempt { msg: 1, zone: 0, sent_at: T0 };
            h.submissions.push(submission("b-twice", "fee-debit"));
            h.notices.push(notice("b-twice", "undeliverable", T0 + SEC));
            h.journals
                .push(Journal { courier: 6, ..journal(&[taken(1, "b-twice"), attempt.clone(), attempt]) });
        },
        "b-twice: courier 6 wrote down another attempt after one that may have run, at byte ",
    ),
    // Settlements.
    (
        |h| h.positions.extend([(1, 1), (3, 20), (2, 30)].map(|(n, at)| position("b-order", n, T0 + at))),
        "settlement b-order: position 2 came at 1000000030, after position 3",
    ),
    (
        |h| h.positions.extend([1, 3, 4].map(|n| position("b-hole", n, T0 + Micros::from(n) * 10))),
        "settlement b-hole: position 3 came at 1000000030, and position 2 never came before it",
    ),
    (
        |h| h.positions.extend([1, 1].map(|n| position("b-again", n, T0))),
        "settlement b-again: position 1 was run twice, at 1000000000 and at 1000000000",
    ),
    (
        |h| h.positions.push(position("s-broken", 3, T0 + 2 * SEC)),
        "settlement s-broken: broken at 2, and position 3 came at 1002000000",
    ),
    (
        |h| {
            let (settlement, outcome) = ("b-early".into(), SettlementOutcome::Broken(2));
            h.ends.push(SettlementEnd { settlement, outcome, at: T0 });
        },
        "settlement b-early: broken at 2, and position 1 before it was not run",
    ),
    (
        |h| {
            let (settlement, outcome) = ("b-short".into(), SettlementOutcome::Closed(2));
            h.positions.push(position("b-short", 1, T0));
            h.ends.push(SettlementEnd { settlement, outcome, at: T0 });
        },
        "settlement b-short: closed with 2, of which 1 were run",
    ),
    (
        |h| {
            let (settlement, outcome) = ("b-beyond".into(), SettlementOutcome::Closed(1));
            h.positions.extend([1, 2].map(|n| position("b-beyond", n, T0 + Micros::from(n) * 10)));
            h.ends.push(SettlementEnd { settlement, outcome, at: T0 });
        },
        "settlement b-beyond: position 2 is beyond the 1 that its closing tells of",
    ),
    (
        |h| {
            let (settlement, outcome) = ("s-closed".into(), SettlementOutcome::Broken(3));
            h.ends.push(SettlementEnd { settlement, outcome, at: T0 + 2 * SEC });
        },
        "settlement s-closed: it ended as closed with 3 and as broken at 3",
    ),
    (
        |h| h.positions.extend([1, 2].map(|n| position("b-sessions", n, T0 + Micros::from(n)))),
        "settlement b-sessions: on connections 1 and 2 at once, from 1000000002 on",
    ),
];

fn texts(history: &History) -> Vec<String> {
    audit(history).iter().map(Finding::to_string).collect()
}

#[test]
fn a_clean_history_has_no_findings() {
    assert_eq!(audit(&History::default()), []);
    assert_eq!(texts(&clean()), [""; 0]);
}

#[test]
fn each_violation_is_found_and_nothing_else() {
    for (violate, text) in VIOLATIONS {
        let mut history = clean();
        violate(&mut history);
        let found = texts(&history);
        assert!(found.len() == 1 && found[0].starts_with(text), "{text}: {found:#?}");
    }
}

/// Without the reason that excuses it, each of these is a finding.
#[test]
fn without_the_fault_window_or_the_seal_the_same_history_is_a_finding() {
    let mut history = clean();
    history.fault_windows.clear();
    let found = texts(&history);
    assert!(found[0].starts_with("unheard: delivered by a call of courier 2"), "{found:#?}");
    let mut history = clean();
    history.connections[6].open = 3;
    assert_eq!(texts(&history).len(), 1);
    let mut history = clean();
    handing(&mut history, "unanswered").answered = Some((T0, 202));
    assert_eq!(texts(&history).len(), 1);
}

proptest! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..Config::default() })]

    /// All violations of a history are found, in whatever order its lists are.
    #[test]
    fn any_combination_of_violations_is_found(
        chosen in proptest::sample::subsequence((0..VIOLATIONS.len()).collect::<Vec<_>>(), 0..=VIOLATIONS.len()),
        seed in any::<u64>(),
    ) {
        let mut history = clean();
        chosen.iter().for_each(|n| VIOLATIONS[*n].0(&mut history));
        let mut order = fastrand::Rng::with_seed(seed);
        let before = audit(&history);
        order.shuffle(&mut history.submissions);
        order.shuffle(&mut history.calls);
        order.shuffle(&mut history.notices);
        order.shuffle(&mut history.connections);
        order.shuffle(&mut history.ends);
        prop_assert_eq!(audit(&history).len(), before.len());
        for n in chosen {
            let found = texts(&history);
            let text = VIOLATIONS[n].1;
            prop_assert!(found.iter().any(|found| found.starts_with(text)), "{text}: {found:#?}");
        }
    }
}
