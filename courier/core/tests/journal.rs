//! Reading a journal that is truncated at any byte.

use bytes::Bytes;
use quillmount_core::journal::{AcceptedMessage, End, Journal, JournalContents, JournalRecord, frame};
use quillmount_core::store::Memory;

/// A crash may leave any prefix: each is read as its intact records, and what is appended to it later is read, too.
#[test]
fn every_prefix_of_a_journal_reads_as_its_intact_records() {
    let taken = |n: u64| AcceptedMessage {
        id: format!("m{n}"),
        class: "fee-debit".into(),
        key: (n == 2).then(|| "k".into()),
        dest: n,
        deadline: 900 + n,
        body: Bytes::from_static(b"body"),
    };
    let records = [
        JournalRecord::Accept { msg: 1, taken: taken(1) },
        JournalRecord::Attempt { msg: 1, zone: 0, sent: 5 },
        JournalRecord::Accept { msg: 2, taken: taken(2) },
        JournalRecord::Outcome { msg: 1, attempt: 0, never_ran: true },
        JournalRecord::End { msg: 1, end: End::Deferred { after: 7 } },
        JournalRecord::Confirmed { msg: 1 },
        JournalRecord::End { msg: 2, end: End::Delivered },
    ];
    let mut bytes = Vec::new();
    // After each full record: where it ends, and the contents up to there.
    let mut known = vec![(0, JournalContents::default())];
    for record in &records {
        bytes.extend(frame(record).unwrap());
        let mut contents = known[known.len() - 1].1.clone();
        contents.apply(record.clone());
        known.push((bytes.len(), contents));
    }
    for cut in 0..=bytes.len() {
        let (end, contents) = known.iter().rev().find(|(end, _)| *end <= cut).unwrap();
        let mut notes = Vec::new();
        let store = Memory::of(bytes[..cut].to_vec());
        let (mut journal, read) = Journal::open(store, 1_000_000, 0, &mut notes).unwrap();
        assert_eq!((&read, notes.is_empty()), (contents, *end == cut), "cut at {cut}");
        journal.submit(9, taken(9), false, 0, &mut notes).unwrap();
        let (again, _) = JournalContents::read(journal.store().bytes());
        assert!(again.owed.contains_key(&9), "cut at {cut}: hidden behind a torn record");
        let owed = contents.owed.keys().all(|msg| again.owed.get(msg) == contents.owed.get(msg));
        assert!(owed, "cut at {cut}: {again:?}");
    }
}
