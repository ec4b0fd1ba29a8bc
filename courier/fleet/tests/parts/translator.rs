//! The conversion of a settlement's boundaries between the modes.

use quillmount_fleet::settlement::SettlementError;
use quillmount_fleet::settlement::translator::{
    FromSession, SessionStep, SettlementHeader, ToSession, format_header, parse_header,
};

#[test]
fn fields_of_the_header_are_read_as_they_are_written() {
    let header = SettlementHeader { settlement: "evening-4".into(), position: Some(3), total: Some(12) };
    let text = format_header(7, &header);
    assert_eq!(text, "dest=7,settlement=evening-4,position=3,of=12");
    assert_eq!(parse_header("north", &text), Ok(Some(header)));
    assert_eq!(parse_header("north", "dest=7"), Ok(None));
    for (text, field) in [
        ("dest=7,position=3", "settlement"),
        ("settlement=a,settlement=a", "settlement"),
        ("settlement=", "settlement"),
        ("settlement=a,position=+3", "position"),
        ("settlement=a,position=99999999999999999999", "position"),
        ("settlement=a;position=1;of=x", "of"),
    ] {
        let Err(SettlementError::Field { field: found, .. }) = parse_header("north", text) else {
            panic!("{text}")
        };
        assert_eq!(found, field, "{text}");
    }
    assert!(matches!(
        parse_header("north", "settlement=a,position=0"),
        Err(SettlementError::ZeroPosition(_))
    ));
    assert!(matches!(
        parse_header("north", "settlement=a,position=4,of=3"),
        Err(SettlementError::BeyondTotal { total: 3, .. })
    ));
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
            let total = (position == 4).then_some(4);
            steps.extend(session.message(position, total, &format!("m{position}"), position).unwrap());
        }
        let open =
            SessionStep::Open(SettlementHeader { settlement: "a".into(), position: None, total: None });
        let carried = (1..=4).map(SessionStep::Send);
        let wanted: Vec<SessionStep> =
            std::iter::once(open).chain(carried).chain([SessionStep::Close]).collect();
        assert_eq!(steps, wanted);
        let mut back = FromSession::new("north");
        for position in 1..=4 {
            let named = SettlementHeader { settlement: "a".into(), position: None, total: None };
            let header = back.message((position == 1).then_some(&named), position == 4).unwrap();
            assert_eq!((header.position, header.total), (Some(position), (position == 4).then_some(4)));
        }
        assert_eq!(back.ended(), None, "the last message said it");
    }
}

#[test]
fn contradictions_are_rejected_without_effect() {
    let mut session = ToSession::new("north", "a", 1);
    session.message(2, None, "m2", 2).unwrap();
    let before = session.clone();
    assert!(matches!(session.message(2, None, "other", 2), Err(SettlementError::PositionConflict { .. })));
    assert!(matches!(session.message(2, None, "m2", 3), Err(SettlementError::PositionConflict { .. })));
    assert!(matches!(session.message(0, None, "m0", 0), Err(SettlementError::ZeroPosition(_))));
    assert!(matches!(
        session.message(1, Some(1), "m1", 1),
        Err(SettlementError::BeyondTotal { total: 1, .. })
    ));
    let Err(SettlementError::MissingPosition { position_ref, .. }) = session.close(2) else { panic!() };
    assert_eq!((position_ref.position, &session), (1, &before));
    session.message(1, Some(3), "m1", 1).unwrap();
    assert!(matches!(
        session.message(3, Some(4), "m3", 3),
        Err(SettlementError::TotalMismatch { total: 3, other_total: 4, .. })
    ));
    assert!(matches!(session.message(4, None, "m4", 4), Err(SettlementError::BeyondTotal { total: 3, .. })));
    assert_eq!(session.message(3, None, "m3", 3).unwrap(), [SessionStep::Send(3), SessionStep::Close]);
}

#[test]
fn a_connection_carries_one_settlement_and_ends_in_order() {
    let named = |name: &str, position| SettlementHeader { settlement: name.into(), position, total: None };
    let mut session = FromSession::new("north");
    assert!(matches!(session.message(None, false), Err(SettlementError::NotOpened(_))));
    assert_eq!(session.message(Some(&named("a", Some(4))), false).unwrap().position, Some(4));
    assert!(matches!(
        session.message(Some(&named("b", None)), false),
        Err(SettlementError::OtherOpen { .. })
    ));
    assert!(matches!(
        session.message(Some(&named("a", Some(7))), false),
        Err(SettlementError::MissingPosition { .. })
    ));
    assert_eq!(session.message(None, false).unwrap().position, Some(5));
    assert_eq!((session.ended(), session.ended()), (Some(("a".into(), 5)), None));
    assert!(matches!(session.message(None, false), Err(SettlementError::AfterClosing(_))));
}
