//! Encoding of settlement records, alone and as lines of a courier's journal.

use crate::values::{FIXTURES, NOW, id, sequenced, verdicts};
use bytes::Bytes;
use quillmount_core::journal::{self, JournalContents, JournalRecord};
use quillmount_fleet::settlement::journal_lines::{JournalLine, MessagePayload};
use quillmount_fleet::settlement::{
    End, Mode, Outcome, Repeat, Resume, SettlementProgress, SettlementRecord,
};

/// Each kind of record that the owner of a settlement writes, and snapshots of the resulting progress.
fn settlement_records() -> Vec<SettlementRecord> {
    let mut all = vec![
        SettlementRecord::Opened { id: id(), term: 1, mode: Mode::Message },
        SettlementRecord::Opened {
            id: id(),
            term: 2,
            mode: Mode::Session { resume: Resume::Never, linger: 5_000_000 },
        },
        SettlementRecord::Opened {
            id: id(),
            term: 3,
            mode: Mode::Session { resume: Resume::AfterAnswer, linger: 5_000_000 },
        },
    ];
    let repeats = [Repeat::Never, Repeat::Within(6_000_000), Repeat::Freely];
    let numbered_repeats = (1..).zip(repeats.into_iter().cycle()).take(7);
    all.extend(
        numbered_repeats
            .map(|(n, repeat)| SettlementRecord::Submitted { id: id(), sequenced: sequenced(n, repeat) }),
    );
    all.push(SettlementRecord::Count { id: id(), total: 300 });
    all.extend([
        SettlementRecord::Session { id: id(), number: 1 },
        SettlementRecord::SessionEnded { id: id(), number: 1 },
    ]);
    all.push(SettlementRecord::Session { id: id(), number: 300 });
    let outcomes = [
        Outcome::Delivered,
        Outcome::NeverRan { after: 1_000 },
        Outcome::MayHaveRun,
        Outcome::Failed,
        Outcome::OutOfTime,
    ];
    for (position, outcome) in (1..).zip(outcomes) {
        all.push(SettlementRecord::Released { id: id(), position, released_at: NOW + position });
        all.push(SettlementRecord::Outcome { id: id(), position, outcome });
    }
    all.push(SettlementRecord::Released { id: id(), position: 6, released_at: NOW + 6 });
    let progress = SettlementProgress::read(&id(), &[all.clone()]);
    all.push(SettlementRecord::Snapshot { id: id(), progress: Box::new(progress) });
    all.push(SettlementRecord::Snapshot { id: id(), progress: Box::default() });
    all.extend(verdicts().into_iter().map(|verdict| SettlementRecord::Verdict { id: id(), verdict }));
    all
}

#[test]
fn settlement_records_keep_their_encoding() {
    let records = settlement_records();
    let written: Vec<Vec<u8>> = records.iter().map(|record| record.encode().unwrap()).collect();
    let stored = FIXTURES.check("settlement_records.bin", &postcard::to_stdvec(&written).unwrap());
    let stored: Vec<Vec<u8>> = postcard::from_bytes(&stored).unwrap();
    let read: Vec<SettlementRecord> =
        stored.iter().map(|bytes| SettlementRecord::decode(bytes).unwrap()).collect();
    assert_eq!(read, records);
    // The progress that results from the records before the snapshot, in detail.
    let snapshot =
        records.iter().position(|record| matches!(record, SettlementRecord::Snapshot { .. })).unwrap();
    let progress = SettlementProgress::read(&id(), &[read[..snapshot].to_vec()]);
    assert_eq!((progress.term, progress.total, progress.next_position), (3, Some(300), 2));
    assert_eq!(progress.mode, Some(Mode::Session { resume: Resume::AfterAnswer, linger: 5_000_000 }));
    assert_eq!((progress.session_count, progress.open_session, progress.verdict), (300, Some(300), None));
    assert_eq!((progress.pending_messages, progress.pending_bytes), (4, 4_000));
    let state_of = |n: u64| {
        (progress.positions[&n].sent_at, progress.positions[&n].first_attempt, progress.positions[&n].end)
    };
    assert_eq!(state_of(1), (None, None, Some(End::Delivered)));
    assert_eq!(state_of(2), (None, None, None));
    assert_eq!(state_of(3), (None, Some(NOW + 3), None));
    assert_eq!(state_of(4), (None, None, Some(End::Failed)));
    assert_eq!(state_of(5), (None, None, Some(End::OutOfTime)));
    assert_eq!(state_of(6), (Some(NOW + 6), None, None));
    assert_eq!(state_of(7), (None, None, None));
    assert_eq!(progress.positions[&2].sequenced, sequenced(2, Repeat::Within(6_000_000)));
}

/// The same records as lines of a courier's journal, some with the payload of the message.
#[test]
fn settlement_lines_keep_their_encoding() {
    let payload = |key: Option<&str>, tenant: Option<&str>| MessagePayload {
        class: "fee-debit".into(),
        key: key.map(Into::into),
        tenant: tenant.map(Into::into),
        body: Bytes::from_static(b"body"),
    };
    let payloads = [payload(None, None), payload(Some("k"), Some("north"))];
    assert_eq!(
        payloads.each_ref().map(MessagePayload::checksum),
        CHECKSUMS,
        "the checksums of payloads do not change"
    );
    let record = settlement_records().remove(3);
    let mut lines_to_write: Vec<JournalLine> =
        settlement_records().into_iter().map(JournalLine::Record).collect();
    lines_to_write.push(JournalLine::Submitted(record.clone(), payloads[0].clone()));
    lines_to_write.push(JournalLine::Submitted(record, payloads[1].clone()));
    lines_to_write.push(JournalLine::Payload { position: 300, payload: payloads[1].clone() });
    let lines: Vec<JournalRecord> = lines_to_write.iter().map(|one| one.line(&id()).unwrap()).collect();
    let written: Vec<u8> = lines.iter().flat_map(|line| journal::frame(line).unwrap()).collect();
    let stored = FIXTURES.check("settlement_journal.bin", &written);
    let (contents, complete_len) = JournalContents::read(&stored);
    assert_eq!((complete_len, contents.settlements.0.len()), (stored.len(), 1));
    let (settlement, progress) = contents.settlements.0.first_key_value().unwrap();
    assert_eq!(settlement, "north\u{1f}evening\u{1f}700");
    // The last snapshot replaces all lines before it.
    let last = lines_to_write
        .iter()
        .rposition(|one| matches!(one, JournalLine::Record(SettlementRecord::Snapshot { .. })))
        .unwrap();
    assert_eq!(progress.len(), lines_to_write.len() - last);
    for (line, one) in progress.iter().zip(&lines_to_write[last..]) {
        let read = JournalLine::read(line).unwrap();
        assert_eq!(read.line(&id()), one.line(&id()));
        assert_eq!(read.record(), one.clone().record());
    }
    let Some(JournalLine::Payload { position, payload }) = JournalLine::read(&progress[progress.len() - 1])
    else {
        panic!()
    };
    assert_eq!((position, &payload), (300, &payloads[1]));
}

/// Checksums of the two payloads in `settlement_lines_keep_their_encoding`.
const CHECKSUMS: [u64; 2] = [2_978_035_951, 4_073_335_627];
