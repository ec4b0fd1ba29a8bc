//! Connects that are refused at once: an outage affects one destination, so that two such refusals mean full tables.

mod common;
use common::*;
use quillmount_policy::*;

/// Many senders: each calls a destination too seldom to see an answer between two refusals.
fn sparsely_served_world() -> World {
    let mut set = settings(8);
    (set.sender_count, set.sender_index) = (300, 7);
    World::new(set, 7)
}

/// A sender with an idle connection at destination 7, after connects were refused there: the connections it closes.
fn closed_after(refused: &[DestId], apart: Micros) -> Vec<EndpointId> {
    let mut w = sparsely_served_world();
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6), entry(2, 7)]);
    let rests = w.submit(0, 7);
    w.finish_after(rests, SEC / 10, Outcome::Ok);
    for dest in refused {
        let msg = w.submit(0, *dest);
        w.finish_after(msg, SEC / 100, Outcome::ConnectFailed);
        w.pass(apart);
    }
    let closes = w.log.iter().filter_map(|(_, act)| match act {
        DispatchAction::CloseIdle { endpoint } => Some(*endpoint),
        _ => None,
    });
    closes.collect()
}

#[test]
fn connects_refused_at_two_destinations_close_all_idle_connections() {
    assert_eq!(closed_after(&[5, 6], SEC), [2]);
}

#[test]
fn connects_refused_at_one_destination_or_long_apart_close_nothing_elsewhere() {
    assert_eq!(closed_after(&[5], SEC), []);
    assert_eq!(closed_after(&[5, 6], 12 * SEC), []);
}

/// Where few share a destination, an outage of two is the likelier.
#[test]
fn with_few_senders_two_refusing_destinations_close_nothing_elsewhere() {
    let mut w = World::new(settings(8), 7);
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6), entry(2, 7)]);
    let rests = w.submit(0, 7);
    w.finish_after(rests, SEC / 10, Outcome::Ok);
    for dest in [5, 6] {
        let msg = w.submit(0, dest);
        w.finish_after(msg, SEC / 100, Outcome::ConnectFailed);
    }
    assert!(!w.log.iter().any(|(_, act)| *act == DispatchAction::CloseIdle { endpoint: 2 }));
}

/// While they are full each connection is closed after its call, also where none was refused.
#[test]
fn connections_opened_while_tables_are_full_are_closed_after_their_call() {
    let mut w = sparsely_served_world();
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6), entry(2, 7)]);
    for dest in [5, 6] {
        let msg = w.submit(0, dest);
        w.finish_after(msg, SEC / 100, Outcome::ConnectFailed);
    }
    let msg = w.submit(0, 7);
    let acts = w.finish_after(msg, SEC / 10, Outcome::Ok);
    assert!(acts.contains(&DispatchAction::CloseIdle { endpoint: 2 }), "{acts:?}");
}
