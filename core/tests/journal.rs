//! The journal, cut anywhere.

use bytes::Bytes;
use quillmount_core::journal::{Book, End, Journal, Record, TakenOn, frame};
use quillmount_core::store::Memory;

/// A kill may leave any prefix: each is read back to what its whole records say, and nothing written
/// behind it is hidden.
#[test]
fn every_prefix_tells_what_its_whole_records_say() {
    let taken = |n: u64| TakenOn {
        id: format!("m{n}"),
        class: "fee-debit".into(),
        key: (n == 2).then(|| "k".into()),
        dest: n,
        deadline: 900 + n,
        body: Bytes::from_static(b"body"),
    };
    let records = [
        Record::TakeOn { msg: 1, taken: taken(1) },
        Record::Attempt { msg: 1, zone: 0, sent: 5 },
        Record::TakeOn { msg: 2, taken: taken(2) },
        Record::Outcome { msg: 1, attempt: 0, never_ran: true },
        Record::End { msg: 1, end: End::Deferred { after: 7 } },
        Record::Told { msg: 1 },
        Record::End { msg: 2, end: End::Delivered },
    ];
    let mut bytes = Vec::new();
    // After each whole record: where it ends, and what is known then.
    let mut known = vec![(0, Book::default())];
    for record in &records {
        bytes.extend(frame(record).unwrap());
        let mut book = known[known.len() - 1].1.clone();
        book.apply(record.clone());
        known.push((bytes.len(), book));
    }
    for cut in 0..=bytes.len() {
        let (end, book) = known.iter().rev().find(|(end, _)| *end <= cut).unwrap();
        let mut notes = Vec::new();
        let store = Memory::of(bytes[..cut].to_vec());
        let (mut journal, read) = Journal::open(store, 1_000_000, 0, &mut notes).unwrap();
        assert_eq!((&read, notes.is_empty()), (book, *end == cut), "cut at {cut}");
        journal.take_on(9, taken(9), false, 0, &mut notes).unwrap();
        let (again, _) = Book::read(journal.store().bytes());
        assert!(again.owed.contains_key(&9), "cut at {cut}: hidden behind a torn record");
        let owed = book.owed.keys().all(|msg| again.owed.get(msg) == book.owed.get(msg));
        assert!(owed, "cut at {cut}: {again:?}");
    }
}
