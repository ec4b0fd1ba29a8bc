//! Where settlements live when their home is lost or back, by the state that all agree on.

use quillmount_fleet::settlement::{self, Event as Moved, SettlementId};
use quillmount_fleet::state::{Agreed, BookId, Command, Event, Part, Source, part_of};
use std::collections::BTreeSet;

fn id(dest: u64) -> SettlementId {
    SettlementId { tenant: "north".into(), name: format!("evening-{dest}"), dest }
}

/// Three couriers, each with a copy at the next, and a settlement of each destination that is home at `x`.
fn fleet() -> (Agreed, [u64; 3]) {
    let mut agreed = Agreed::default();
    let epochs = ["x", "y", "z"].map(|name| {
        let command =
            Command::Join { name: name.into(), token: u64::from(name.as_bytes()[0]), life: 1, book: None };
        agreed.apply(command);
        agreed.epoch_of(name).unwrap()
    });
    for (n, (name, copy)) in [("x", "y"), ("y", "z"), ("z", "x")].into_iter().enumerate() {
        let book = BookId { owner: name.into(), epoch: epochs[n] };
        let copies = BTreeSet::from([copy.to_string()]);
        agreed.apply(Command::Copies { book, version: 0, copies });
    }
    for dest in 0..40 {
        let open = settlement::Command::Open { id: id(dest), home: "x".into(), home_epoch: epochs[0] };
        assert!(!agreed.apply(Command::Settlement(open)).is_empty());
    }
    (agreed, epochs)
}

/// The taker of a settlement is the courier that has the part of the lost book that its destination is in, so
/// that its records come to it with that part's; and what another is to take over goes on at the next when
/// that one is lost too.
#[test]
fn a_settlement_goes_where_the_part_of_its_destination_goes() {
    let (mut agreed, [x, y, _]) = fleet();
    let check = |agreed: &Agreed, book: &BookId| {
        for dest in 0..40 {
            let home = agreed.settlements.home(&id(dest)).unwrap();
            let part = agreed.part(&Source { book: book.clone(), part: part_of(dest) });
            assert_eq!(part, Some(&Part::Given(home.courier.clone(), home.epoch)), "{dest}");
        }
    };
    let lost = BookId { owner: "x".into(), epoch: x };
    let events = agreed.apply(Command::Gone { name: "x".into(), epoch: x });
    let moved = events.iter().filter(|e| matches!(e, Event::Settlement(Moved::Moved { .. })));
    assert_eq!(moved.count(), 40);
    check(&agreed, &lost);
    agreed.apply(Command::Gone { name: "y".into(), epoch: y });
    check(&agreed, &lost);
    let late = settlement::Command::Open { id: id(99), home: "x".into(), home_epoch: x };
    assert_eq!(agreed.apply(Command::Settlement(late)), [], "it is gone");
}

/// Who is back with a book that nobody has read is home again; what was taken over stays with its taker.
#[test]
fn who_is_back_with_its_own_book_is_home_again() {
    for taken in [false, true] {
        let (mut agreed, [x, ..]) = fleet();
        agreed.apply(Command::Gone { name: "x".into(), epoch: x });
        if taken {
            let home = agreed.settlements.home(&id(0)).unwrap().clone();
            let source = Source { book: BookId { owner: "x".into(), epoch: x }, part: part_of(0) };
            agreed.apply(Command::Taken { source, by: home.courier, epoch: home.epoch });
        }
        let token = u64::from(b'x');
        agreed.apply(Command::Join { name: "x".into(), token, life: 2, book: Some(x) });
        let back = agreed.epoch_of("x").unwrap();
        for dest in 0..40 {
            let home = agreed.settlements.home(&id(dest)).unwrap();
            assert_eq!(home.is("x", back), !taken, "{dest}, taken: {taken}");
            assert_eq!(home.books.len(), 1, "{:?}", home.books);
        }
    }
}
