//! What is asked of a home elsewhere.

use quillmount_fleet::settlement::forward::{
    ASK_AGAIN, ASKS_MAX, Ask, Desk, Input, Message, Output, PATIENCE, Word,
};
use quillmount_fleet::settlement::{Agreed, Command, Error, SettlementId};

#[test]
fn an_ask_follows_its_home_and_is_answered_in_time() {
    let id = SettlementId { tenant: "north".into(), name: "a".into(), dest: 7 };
    let (mut agreed, mut desk) = (Agreed::default(), Desk::new("x", 1));
    let ask = Ask::Closing { of: 3 };
    let asked = Input::Ask { ticket: 1, id: id.clone(), ask: ask.clone() };
    let open = Command::Open { id: id.clone(), home: "x".into(), home_epoch: 1 };
    assert_eq!(desk.step(&agreed, asked.clone(), 0), [Output::Agree(open)], "it has no home yet");
    let other = Command::Open { id: id.clone(), home: "y".into(), home_epoch: 4 };
    let opened = agreed.apply(&other).remove(0);
    let send = Output::Send { to: "y".into(), message: Message::Ask { id: id.clone(), ask: ask.clone() } };
    assert_eq!(
        desk.step(&agreed, Input::Agreed(opened), 10),
        std::slice::from_ref(&send),
        "another was first"
    );
    assert_eq!(desk.wake_at(), Some(10 + ASK_AGAIN));
    assert_eq!(desk.step(&agreed, Input::Tick, 10 + ASK_AGAIN), [send], "its word was lost");
    let word = Input::Word { id: id.clone(), ask: ask.clone(), word: Word::TakenOn };
    let answer = Output::Answer { ticket: 1, word: Word::TakenOn };
    assert_eq!(desk.step(&agreed, word.clone(), 60_000), [answer]);
    assert_eq!((desk.step(&agreed, word, 70_000), desk.is_empty()), (vec![], true), "it came twice");
    desk.step(&agreed, asked, 70_000);
    let late = desk.step(&agreed, Input::Tick, 70_000 + PATIENCE);
    assert!(matches!(&late[..], [Output::Answer { word: Word::Refused(Error::NoWord(_)), .. }]));
}

#[test]
fn a_desk_holds_so_many_asks_and_no_more() {
    let (agreed, mut desk) = (Agreed::default(), Desk::new("x", 1));
    let id = SettlementId { tenant: "north".into(), name: "a".into(), dest: 7 };
    let mut ask = |ticket| {
        let asked = Input::Ask { ticket, id: id.clone(), ask: Ask::Closing { of: 3 } };
        desk.step(&agreed, asked, 0).remove(0)
    };
    (0..ASKS_MAX as u64).for_each(|ticket| assert!(matches!(ask(ticket), Output::Agree(_))));
    let refused = ask(ASKS_MAX as u64);
    assert!(matches!(refused, Output::Answer { word: Word::Refused(Error::Busy { .. }), .. }));
}
