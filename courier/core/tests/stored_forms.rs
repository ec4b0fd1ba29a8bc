//! Compatibility of the journal's format on disk: bytes that an earlier version wrote are read as the same values, and the
//! same values are written as the same bytes. `WRITE_FIXTURES=1` rewrites the files.

use bytes::Bytes;
use quillmount_core::journal::{
    AcceptedMessage, End, Journal, JournalContents, JournalEntry, JournalRecord, RecordedAttempt, Records,
    RememberedEnd, RepeatEffect, SettlementLine, Settlements, Source, frame,
};
use quillmount_core::note::Note;
use quillmount_core::store::Memory;
use quillmount_test_support::fixtures::Fixtures;
use std::collections::BTreeMap;

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

const JOURNAL_LIMIT: u64 = 1_000_000;
const NOW: u64 = 1_700_000_000_000_000;

fn accepted_message(n: u64, key: Option<&str>) -> AcceptedMessage {
    AcceptedMessage {
        id: format!("m{n}"),
        class: "fee-debit".into(),
        key: key.map(Into::into),
        dest: 1_000 * n,
        deadline: NOW + 16_000_000 + n,
        body: Bytes::from(vec![n as u8, 0, 0xff]),
    }
}

fn source(owner: &str, epoch: u64, part: u32) -> Source {
    Source { owner: owner.into(), epoch, part }
}

fn line(bytes: &'static [u8], first: bool, source: Option<Source>) -> SettlementLine {
    SettlementLine { dest: 7, first, bytes: Bytes::from_static(bytes), source }
}

fn settlement(settlement_id: &str, line: SettlementLine) -> JournalRecord {
    JournalRecord::Settlement { settlement_id: settlement_id.into(), line }
}

const NORTH: &str = "north\u{1f}a\u{1f}7";
const SOUTH: &str = "south\u{1f}b\u{1f}7";

/// All kinds of records, with all variants of their fields.
fn records() -> Vec<JournalRecord> {
    let sent = |n, effect| JournalRecord::Sent { msg: n, sent_at: NOW + n, effect };
    let (a, b, c) = (source("a", 1, 0), source("b", 2, 15), source("c", 300, 7));
    vec![
        JournalRecord::Accept { msg: 1, message: accepted_message(1, None) },
        JournalRecord::Attempt { msg: 1, zone: 3, sent_at: NOW + 1 },
        JournalRecord::Outcome { msg: 1, attempt: 0, never_ran: true },
        sent(1, RepeatEffect::Unsafe),
        JournalRecord::Stream { msg: 2, message: accepted_message(2, Some("k-2")) },
        sent(2, RepeatEffect::Keyed { span: 6_000_000, zone: Some("z-1".into()) }),
        JournalRecord::Accept { msg: 3, message: accepted_message(3, Some("k-3")) },
        sent(3, RepeatEffect::Keyed { span: 6_000_000, zone: None }),
        JournalRecord::Outcome { msg: 3, attempt: 0, never_ran: false },
        JournalRecord::End { msg: 3, end: End::Undeliverable },
        JournalRecord::Accept { msg: 4, message: accepted_message(4, None) },
        sent(4, RepeatEffect::Safe),
        JournalRecord::End { msg: 4, end: End::Delivered },
        JournalRecord::Accept { msg: 5, message: accepted_message(5, None) },
        JournalRecord::End { msg: 5, end: End::Deferred { after: 250_000 } },
        JournalRecord::Confirmed { msg: 5 },
        JournalRecord::Ended { id: "m6".into(), end: End::Undeliverable, until: NOW + 6 },
        JournalRecord::Ended { id: "m7".into(), end: End::Deferred { after: 0 }, until: NOW - 7 },
        JournalRecord::Disable { id: "s-1".into() },
        JournalRecord::Disable { id: "s-2".into() },
        JournalRecord::Enable { id: "s-1".into() },
        JournalRecord::Accept { msg: 8, message: accepted_message(8, None) },
        JournalRecord::From { msg: 8, source: a.clone() },
        JournalRecord::Settled { source: a, accepted: true },
        JournalRecord::Accept { msg: 9, message: accepted_message(9, None) },
        JournalRecord::From { msg: 9, source: b.clone() },
        JournalRecord::Settled { source: b, accepted: false },
        JournalRecord::Accept { msg: 300, message: accepted_message(300, None) },
        JournalRecord::From { msg: 300, source: c.clone() },
        JournalRecord::End { msg: 300, end: End::Deferred { after: 0 } },
        settlement(NORTH, line(b"replaced", false, None)),
        settlement(NORTH, line(b"from", false, Some(c))),
        settlement(NORTH, line(b"copy", true, None)),
        settlement(SOUTH, line(b"over", true, None)),
        JournalRecord::SettlementEnded { settlement_id: SOUTH.into() },
        JournalRecord::Sealed,
    ]
}

fn framed(records: &[JournalRecord]) -> Vec<u8> {
    records.iter().flat_map(|record| frame(record).unwrap()).collect()
}

/// The contents that result from [`records`].
fn restored() -> JournalContents {
    let attempt = |n, effect, never_ran| RecordedAttempt { sent_at: NOW + n, effect, never_ran };
    let entry = |n, key| JournalEntry {
        message: accepted_message(n, key),
        attempts: vec![],
        end: None,
        stream: false,
        source: None,
    };
    let keyed = |zone| Some(RepeatEffect::Keyed { span: 6_000_000, zone });
    let first = JournalEntry {
        attempts: vec![attempt(1, None, Some(true)), attempt(1, Some(RepeatEffect::Unsafe), None)],
        ..entry(1, None)
    };
    let stream = JournalEntry {
        attempts: vec![attempt(2, keyed(Some("z-1".into())), None)],
        stream: true,
        ..entry(2, Some("k-2"))
    };
    let ended = JournalEntry {
        attempts: vec![attempt(3, keyed(None), Some(false))],
        end: Some(End::Undeliverable),
        ..entry(3, Some("k-3"))
    };
    let from = JournalEntry {
        end: Some(End::Deferred { after: 0 }),
        source: Some(source("c", 300, 7)),
        ..entry(300, None)
    };
    let remembered = |id: &str, end, until| RememberedEnd { id: id.into(), end, until };
    let mut contents = JournalContents {
        owed: BTreeMap::from([(1, first), (2, stream), (3, ended), (8, entry(8, None)), (300, from)]),
        ended: vec![
            remembered("m4", End::Delivered, NOW + 16_000_004),
            remembered("m5", End::Deferred { after: 250_000 }, NOW + 16_000_005),
            remembered("m6", End::Undeliverable, NOW + 6),
            remembered("m7", End::Deferred { after: 0 }, NOW - 7),
        ],
        settlements: Settlements(BTreeMap::from([(
            NORTH.into(),
            vec![line(b"from", false, Some(source("c", 300, 7))), line(b"copy", true, None)],
        )])),
        next_message: 301,
        ..JournalContents::default()
    };
    contents.disabled.insert("s-2");
    contents
}

/// The contents of [`restored`] without expired ends.
fn restored_now() -> JournalContents {
    let mut contents = restored();
    contents.ended.retain(|ended| ended.until > NOW);
    contents
}

#[test]
fn a_journal_is_read_record_by_record_and_written_as_it_was() {
    let stored = FIXTURES.check("journal.bin", &framed(&records()));
    let read: Vec<(usize, JournalRecord)> = Records::new(&stored).collect();
    let (offsets, values): (Vec<_>, Vec<_>) = read.into_iter().unzip();
    assert_eq!(values, records());
    assert_eq!(framed(&values), stored);
    let mut at = 0;
    for (offset, record) in offsets.into_iter().zip(&values) {
        assert_eq!(offset, at);
        at += frame(record).unwrap().len();
    }
    assert_eq!(JournalContents::read(&stored), (restored(), stored.len()));
    let mut notes = Vec::new();
    let (journal, contents) =
        Journal::open(Memory::from_bytes(stored.clone()), JOURNAL_LIMIT, NOW, &mut notes).unwrap();
    assert_eq!(contents, restored_now());
    assert!(notes.is_empty());
    assert_eq!(journal.store().bytes(), stored, "an intact journal is not rewritten");
}

/// A crash truncated the last record. The other records are restored, and a compacted journal without the torn record
/// replaces the file.
#[test]
fn a_torn_journal_is_restored_and_compacted_as_by_earlier_versions() {
    let mut torn = framed(&records());
    let intact_len = torn.len();
    let last =
        frame(&JournalRecord::Accept { msg: 301, message: accepted_message(301, Some("never whole")) })
            .unwrap();
    torn.extend(&last[..last.len() - 1]);
    let torn = FIXTURES.check("journal_torn.bin", &torn);
    assert_eq!(JournalContents::read(&torn), (restored(), intact_len));
    let mut notes = Vec::new();
    let (journal, contents) =
        Journal::open(Memory::from_bytes(torn), JOURNAL_LIMIT, NOW, &mut notes).unwrap();
    assert_eq!(contents, restored_now());
    let compacted = FIXTURES.check("journal_compacted.bin", journal.store().bytes());
    assert!(matches!(&notes[..], [Note::TornRecord(lost), Note::Compacted { from, to }]
        if *lost == last.len() - 1
            && *from == (intact_len + last.len() - 1) as u64
            && *to == compacted.len() as u64));
    let (mut read, length) = JournalContents::read(&compacted);
    assert_eq!(length, compacted.len());
    // In the compacted journal, attempts from earlier versions have no zone and ended messages have no numbers.
    assert_eq!(read, JournalContents { next_message: 301, ..restored_now() });
    let count = Records::new(&compacted).count();
    assert_eq!(count, 20);
    // Opening the compacted journal again leaves it unchanged.
    let mut notes = Vec::new();
    let (again, contents) =
        Journal::open(Memory::from_bytes(compacted.clone()), JOURNAL_LIMIT, NOW, &mut notes).unwrap();
    assert_eq!((again.store().bytes(), notes.is_empty()), (&compacted[..], true));
    read.ended.clear();
    assert_eq!((contents.owed, contents.settlements), (read.owed, read.settlements));
}

/// Covers the records that a courier writes through [`Journal`], and those that it adopts from another courier's journal.
#[test]
fn a_courier_writes_the_same_journal_as_earlier_versions() {
    let mut notes = Vec::new();
    let (mut journal, _) = Journal::open(Memory::default(), JOURNAL_LIMIT, NOW, &mut notes).unwrap();
    journal.submit(1, accepted_message(1, None), false, NOW, &mut notes).unwrap();
    journal.submit(2, accepted_message(2, Some("k-2")), true, NOW, &mut notes).unwrap();
    journal.set_disabled("s-1", true, NOW, &mut notes).unwrap();
    journal.set_disabled("s-2", true, NOW, &mut notes).unwrap();
    journal.set_disabled("s-1", false, NOW, &mut notes).unwrap();
    let attempt_records = [
        JournalRecord::Sent { msg: 1, sent_at: NOW, effect: RepeatEffect::Safe },
        JournalRecord::Outcome { msg: 1, attempt: 0, never_ran: false },
    ];
    journal.append_all(&attempt_records, NOW, &mut notes).unwrap();
    journal
        .append_settlement_records(&[settlement(NORTH, line(b"opened", false, None))], true, NOW, &mut notes)
        .unwrap();
    let written = [
        JournalRecord::Accept { msg: 1, message: accepted_message(1, None) },
        JournalRecord::Stream { msg: 2, message: accepted_message(2, Some("k-2")) },
        JournalRecord::Disable { id: "s-1".into() },
        JournalRecord::Disable { id: "s-2".into() },
        JournalRecord::Enable { id: "s-1".into() },
        attempt_records[0].clone(),
        attempt_records[1].clone(),
        settlement(NORTH, line(b"opened", false, None)),
    ];
    let stored = FIXTURES.check("journal_written.bin", journal.store().bytes());
    assert_eq!(stored, framed(&written));
    let more = JournalEntry {
        message: accepted_message(3, None),
        attempts: vec![RecordedAttempt { sent_at: NOW, effect: None, never_ran: None }],
        end: None,
        stream: false,
        source: Some(source("a", 1, 4)),
    };
    let lines = Settlements(BTreeMap::from([(
        SOUTH.into(),
        vec![line(b"taken over", true, Some(source("a", 1, 4)))],
    )]));
    journal.adopt(BTreeMap::from([(3, more)]), &lines, NOW, &mut notes).unwrap();
    let adopted = FIXTURES.check("journal_adopted.bin", journal.store().bytes());
    let copy = [
        JournalRecord::Disable { id: "s-2".into() },
        settlement(NORTH, line(b"opened", false, None)),
        settlement(SOUTH, line(b"taken over", true, Some(source("a", 1, 4)))),
        JournalRecord::Accept { msg: 1, message: accepted_message(1, None) },
        attempt_records[0].clone(),
        attempt_records[1].clone(),
        JournalRecord::Stream { msg: 2, message: accepted_message(2, Some("k-2")) },
        JournalRecord::Accept { msg: 3, message: accepted_message(3, None) },
        JournalRecord::From { msg: 3, source: source("a", 1, 4) },
        JournalRecord::Attempt { msg: 3, zone: 0, sent_at: NOW },
    ];
    assert_eq!(Records::new(&adopted).map(|(_, record)| record).collect::<Vec<_>>(), copy);
    assert_eq!(framed(&copy), adopted);
}
