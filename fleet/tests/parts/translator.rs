//! The boundaries of one mode as those of the other.

use quillmount_fleet::settlement::Error;
use quillmount_fleet::settlement::translator::{FromSession, Mark, Step, ToSession, read, write};

#[test]
fn fields_of_the_header_are_read_as_they_are_written() {
    let mark = Mark { settlement: "evening-4".into(), position: Some(3), of: Some(12) };
    let text = write(7, &mark);
    assert_eq!(text, "dest=7,settlement=evening-4,position=3,of=12");
    assert_eq!(read("north", &text), Ok(Some(mark)));
    assert_eq!(read("north", "dest=7"), Ok(None));
    for (text, field) in [
        ("dest=7,position=3", "settlement"),
        ("settlement=a,settlement=a", "settlement"),
        ("settlement=", "settlement"),
        ("settlement=a,position=+3", "position"),
        ("settlement=a,position=99999999999999999999", "position"),
        ("settlement=a;position=1;of=x", "of"),
    ] {
        let Err(Error::Field { field: found, .. }) = read("north", text) else { panic!("{text}") };
        assert_eq!(found, field, "{text}");
    }
    assert!(matches!(read("north", "settlement=a,position=0"), Err(Error::Zero(_))));
    assert!(matches!(read("north", "settlement=a,position=4,of=3"), Err(Error::Beyond { of: 3, .. })));
}

/// Any order of the messages becomes the one order of a session, and that the marks again.
#[test]
fn every_order_of_four_messages_is_one_session_and_comes_back_as_it_was() {
    for order in 0..24 {
        let mut left = vec![1, 2, 3, 4];
        let mut rest = order;
        let mut session = ToSession::new("north", "a", 1);
        let mut steps = Vec::new();
        while !left.is_empty() {
            let position = left.remove(rest % left.len());
            rest /= left.len() + 1;
            let of = (position == 4).then_some(4);
            steps.extend(session.message(position, of, &format!("m{position}"), position).unwrap());
        }
        let open = Step::Open(Mark { settlement: "a".into(), position: None, of: None });
        let carried = (1..=4).map(Step::Carry);
        let wanted: Vec<Step> = std::iter::once(open).chain(carried).chain([Step::Close]).collect();
        assert_eq!(steps, wanted);
        let mut back = FromSession::new("north");
        for position in 1..=4 {
            let named = Mark { settlement: "a".into(), position: None, of: None };
            let mark = back.message((position == 1).then_some(&named), position == 4).unwrap();
            assert_eq!((mark.position, mark.of), (Some(position), (position == 4).then_some(4)));
        }
        assert_eq!(back.ended(), None, "the last message said it");
    }
}

#[test]
fn what_contradicts_is_refused_and_changes_nothing() {
    let mut session = ToSession::new("north", "a", 1);
    session.message(2, None, "m2", 2).unwrap();
    let before = session.clone();
    assert!(matches!(session.message(2, None, "other", 2), Err(Error::PositionTwice { .. })));
    assert!(matches!(session.message(2, None, "m2", 3), Err(Error::PositionTwice { .. })));
    assert!(matches!(session.message(0, None, "m0", 0), Err(Error::Zero(_))));
    assert!(matches!(session.message(1, Some(1), "m1", 1), Err(Error::Beyond { of: 1, .. })));
    let Err(Error::Gap { at, .. }) = session.close(2) else { panic!() };
    assert_eq!((at.position, &session), (1, &before));
    session.message(1, Some(3), "m1", 1).unwrap();
    assert!(matches!(session.message(3, Some(4), "m3", 3), Err(Error::TwoCounts { of: 3, other: 4, .. })));
    assert!(matches!(session.message(4, None, "m4", 4), Err(Error::Beyond { of: 3, .. })));
    assert_eq!(session.message(3, None, "m3", 3).unwrap(), [Step::Carry(3), Step::Close]);
}

#[test]
fn a_connection_carries_one_settlement_and_ends_in_order() {
    let named = |name: &str, position| Mark { settlement: name.into(), position, of: None };
    let mut session = FromSession::new("north");
    assert!(matches!(session.message(None, false), Err(Error::NotOpened(_))));
    assert_eq!(session.message(Some(&named("a", Some(4))), false).unwrap().position, Some(4));
    assert!(matches!(session.message(Some(&named("b", None)), false), Err(Error::OtherOpen { .. })));
    assert!(matches!(session.message(Some(&named("a", Some(7))), false), Err(Error::Gap { .. })));
    assert_eq!(session.message(None, false).unwrap().position, Some(5));
    assert_eq!((session.ended(), session.ended()), (Some(("a".into(), 5)), None));
    assert!(matches!(session.message(None, false), Err(Error::AfterClosing(_))));
}
