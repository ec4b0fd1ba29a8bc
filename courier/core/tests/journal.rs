//! Reads journals that are truncated at any byte.

use bytes::Bytes;
use quillmount_core::journal::{AcceptedMessage, End, Journal, JournalContents, JournalRecord, frame};
use quillmount_core::store::Memory;

/// After a crash any prefix of a journal may be stored. Each prefix is read as its intact records, and records that are
/// appended to it later are read as well.
#[test]
fn every_prefix_of_a_journal_reads_as_its_intact_records() {
    let accepted_message = |n: u64| AcceptedMessage {
        id: format!("m{n}"),
        class: "fee-debit".into(),
        key: (n == 2).then(|| "k".into()),
        dest: n,
        deadline: 900 + n,
        body: Bytes::from_static(b"body"),
    };
    let records = [
        JournalRecord::Accept { msg: 1, message: accepted_message(1) },
        JournalRecord::Attempt { msg: 1, zone: 0, sent_at: 5 },
        JournalRecord::Accept { msg: 2, message: accepted_message(2) },
        JournalRecord::Outcome { msg: 1, attempt: 0, never_ran: true },
        JournalRecord::End { msg: 1, end: End::Deferred { after: 7 } },
        JournalRecord::Confirmed { msg: 1 },
        JournalRecord::End { msg: 2, end: End::Delivered },
    ];
    let mut bytes = Vec::new();
    // For each record: the offset of its end, and the contents up to that offset.
    let mut prefixes = vec![(0, JournalContents::default())];
    for record in &records {
        bytes.extend(frame(record).unwrap());
        let mut contents = prefixes[prefixes.len() - 1].1.clone();
        contents.apply(record.clone());
        prefixes.push((bytes.len(), contents));
    }
    for cut in 0..=bytes.len() {
        let (end, contents) = prefixes.iter().rev().find(|(end, _)| *end <= cut).unwrap();
        let mut notes = Vec::new();
        let store = Memory::from_bytes(bytes[..cut].to_vec());
        let (mut journal, read) = Journal::open(store, 1_000_000, 0, &mut notes).unwrap();
        assert_eq!((&read, notes.is_empty()), (contents, *end == cut), "cut at {cut}");
        journal.submit(9, accepted_message(9), false, 0, &mut notes).unwrap();
        let (reread, _) = JournalContents::read(journal.store().bytes());
        assert!(reread.owed.contains_key(&9), "cut at {cut}: a torn record hides the appended one");
        let owed = contents.owed.keys().all(|msg| reread.owed.get(msg) == contents.owed.get(msg));
        assert!(owed, "cut at {cut}: {reread:?}");
    }
}
