//! What a successor adopts of a sealed journal.

use bytes::Bytes;
use quillmount_core::journal::{self, AcceptedMessage, JournalContents, JournalRecord, frame};
use quillmount_fleet::settlement::journal_lines::{
    JournalLine, MessagePayload, adopted_lines, settlement_key,
};
use quillmount_fleet::settlement::{
    End, Mode, Repeat, SequencedMessage, SettlementId, SettlementProgress, SettlementRecord,
};
use quillmount_fleet::state::{JournalId, PartitionId, partition_of};
use std::collections::BTreeSet;

/// The lost owner knew that position 1 was delivered, and had not recorded that for the settlement yet: its successor,
/// which adopts no ended message, would send it a second time.
#[test]
fn a_successor_learns_ends_that_the_lost_owner_had_not_recorded() {
    let id = SettlementId { tenant: "north".into(), name: "evening".into(), dest: 7 };
    let sequenced = |position: u64| SequencedMessage {
        position,
        total: None,
        message_id: format!("m{position}"),
        repeat: Repeat::Freely,
        deadline: 900,
        size: 0,
        checksum: 0,
    };
    let payload = MessagePayload { class: "fee-debit".into(), key: None, tenant: None, body: Bytes::new() };
    let hand_in = |position| {
        JournalLine::Submitted(
            SettlementRecord::Submitted { id: id.clone(), sequenced: sequenced(position) },
            payload.clone(),
        )
    };
    let written = [
        JournalLine::Record(SettlementRecord::Opened { id: id.clone(), term: 1, mode: Mode::Message }),
        hand_in(1),
        hand_in(2),
        JournalLine::Record(SettlementRecord::Released { id: id.clone(), position: 1, released_at: 5 }),
    ];
    let mut records: Vec<JournalRecord> = written.iter().filter_map(|written| written.line(&id)).collect();
    let (class, key, body) = ("fee-debit".into(), None, Bytes::new());
    let message = AcceptedMessage { id: "m1".into(), class, key, dest: 7, deadline: 900, body };
    records.extend([
        JournalRecord::Accept { msg: 1, message },
        JournalRecord::End { msg: 1, end: journal::End::Delivered },
    ]);
    let bytes: Vec<u8> = records.iter().flat_map(|record| frame(record).unwrap()).collect();
    let (book, _) = JournalContents::read(&bytes);
    let source = |partition| PartitionId { journal: JournalId { owner: "x".into(), epoch: 1 }, partition };
    let taken = adopted_lines(&[source(partition_of(7))], &BTreeSet::new(), &book);
    let of = &taken.0[&settlement_key(&id)];
    assert!(of.iter().all(|line| line.source == Some((&source(partition_of(7))).into())));
    let records: Vec<SettlementRecord> =
        of.iter().filter_map(JournalLine::read).filter_map(JournalLine::record).collect();
    let mut progress = SettlementProgress::read(&id, &[records]);
    progress.begin_ownership();
    assert_eq!(
        (progress.next_position, progress.positions[&1].end, progress.positions[&2].end),
        (2, Some(End::Delivered), None)
    );
    assert!(
        adopted_lines(&[source(partition_of(7) ^ 1)], &BTreeSet::new(), &book).0.is_empty(),
        "of another part"
    );
}
