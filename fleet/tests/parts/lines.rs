//! What a taker gets of a sealed book.

use bytes::Bytes;
use quillmount_core::journal::{self, AcceptedMessage, JournalContents, JournalRecord as Line, frame};
use quillmount_fleet::settlement::lines::{Parcel, Written, lines, name_of};
use quillmount_fleet::settlement::{End, Hand, Kept, Mode, Record, Repeat, SettlementId};
use quillmount_fleet::state::{BookId, Source, part_of};
use std::collections::BTreeSet;

/// The lost home knew that position 1 was delivered, and had not written that for the settlement yet: its
/// taker, which gets no entry of what is over, would send a debit a second time.
#[test]
fn a_taker_learns_of_ends_that_the_lost_home_had_not_written_for_the_settlement() {
    let id = SettlementId { tenant: "north".into(), name: "evening".into(), dest: 7 };
    let hand = |position: u64| Hand {
        position,
        of: None,
        msg: format!("m{position}"),
        repeat: Repeat::Freely,
        deadline: 900,
        size: 0,
        print: 0,
    };
    let parcel = Parcel { class: "fee-debit".into(), key: None, tenant: None, body: Bytes::new() };
    let hand_in =
        |position| Written::HandIn(Record::HandIn { id: id.clone(), hand: hand(position) }, parcel.clone());
    let written = [
        Written::Record(Record::Opened { id: id.clone(), term: 1, mode: Mode::Message }),
        hand_in(1),
        hand_in(2),
        Written::Record(Record::Released { id: id.clone(), position: 1, at: 5 }),
    ];
    let mut records: Vec<Line> = written.iter().filter_map(|written| written.line(&id)).collect();
    let (class, key, body) = ("fee-debit".into(), None, Bytes::new());
    let taken = AcceptedMessage { id: "m1".into(), class, key, dest: 7, deadline: 900, body };
    records.extend([Line::Accept { msg: 1, taken }, Line::End { msg: 1, end: journal::End::Delivered }]);
    let bytes: Vec<u8> = records.iter().flat_map(|record| frame(record).unwrap()).collect();
    let (book, _) = JournalContents::read(&bytes);
    let source = |part| Source { book: BookId { owner: "x".into(), epoch: 1 }, part };
    let taken = lines(&[source(part_of(7))], &BTreeSet::new(), &book);
    let of = &taken.0[&name_of(&id)];
    assert!(of.iter().all(|line| line.source == Some((&source(part_of(7))).into())));
    let records: Vec<Record> = of.iter().filter_map(Written::read).filter_map(Written::record).collect();
    let mut kept = Kept::read(&id, &[records]);
    kept.take_over();
    assert_eq!((kept.next, kept.hands[&1].end, kept.hands[&2].end), (2, Some(End::Delivered), None));
    assert!(lines(&[source(part_of(7) ^ 1)], &BTreeSet::new(), &book).0.is_empty(), "of another part");
}
