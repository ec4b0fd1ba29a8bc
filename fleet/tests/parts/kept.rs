//! What books tell of a settlement.

use quillmount_fleet::settlement::{Hand, Kept, Mode, Outcome, Record, Repeat, SettlementId};

/// A courier that was home before and after another has both lives in one book.
#[test]
fn the_latest_home_s_copy_stands_for_all_before_it() {
    let id = SettlementId { tenant: "north".into(), name: "a".into(), dest: 7 };
    let hand = |position| Hand {
        position,
        of: None,
        msg: format!("m{position}"),
        repeat: Repeat::Never,
        deadline: 9,
        size: 10,
        print: 0,
    };
    let handed = |position| Record::HandIn { id: id.clone(), hand: hand(position) };
    let released = Record::Released { id: id.clone(), position: 1, at: 5 };
    let opened = Record::Opened { id: id.clone(), term: 1, mode: Mode::Message };
    let first = vec![opened, handed(1), handed(2), released];
    let copy = |books: &[Vec<Record>], term| {
        let kept = Box::new(Kept { term, ..Kept::read(&id, books) });
        Record::Copy { id: id.clone(), kept }
    };
    let second = vec![copy(std::slice::from_ref(&first), 2), handed(3)];
    let mut both = first.clone();
    both.extend([copy(&[first.clone(), second.clone()], 3), handed(4)]);
    // What the second home wrote late was never acted on.
    let mut late = second.clone();
    late.push(handed(9));
    let kept = Kept::read(&id, &[both.clone(), late, both]);
    assert_eq!((kept.term, kept.waiting, kept.bytes), (3, 4, 40));
    let mut taken = kept.clone();
    taken.take_over();
    assert_eq!(taken.hands[&1].first, Some(5), "it was out, and may have run");
    // Home for the second time, it was lost before it had read anything: its book tells of the first
    // only.
    let mut second = second;
    second.push(Record::Outcome { id: id.clone(), position: 1, outcome: Outcome::Delivered });
    let (once, again) = ([first.clone(), second.clone()], [first.clone(), second.clone(), first]);
    assert_eq!(Kept::read(&id, &again), Kept::read(&id, &once));
    for record in second {
        assert_eq!(Record::decode(&record.encode().unwrap()), Ok(record));
    }
}
