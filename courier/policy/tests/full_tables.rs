//! Connects that are refused quickly: an outage affects one destination, so refusals at two destinations indicate
//! that the sender's connection table is full.

mod common;
use common::*;
use quillmount_policy::*;

/// One of many senders, which calls a destination too rarely to get an answer between two refusals.
fn sparsely_served_world() -> World {
    let mut set = settings(8);
    (set.sender_count, set.sender_index) = (300, 7);
    World::new(set, 7)
}

/// Returns the endpoints whose idle connections a sender closes after connects were refused at these destinations,
/// `interval` apart. The sender has an idle connection to destination 7.
fn closed_after(refused: &[DestId], interval: Micros) -> Vec<EndpointId> {
    let mut world = sparsely_served_world();
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6), entry(2, 7)]);
    let idle = world.submit(0, 7);
    world.finish_after(idle, SEC / 10, Outcome::Ok);
    for dest in refused {
        let msg = world.submit(0, *dest);
        world.finish_after(msg, SEC / 100, Outcome::ConnectFailed);
        world.pass(interval);
    }
    let closes = world.log.iter().filter_map(|(_, action)| match action {
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

/// With few senders, an outage of both destinations is more likely than a full connection table.
#[test]
fn with_few_senders_two_refusing_destinations_close_nothing_elsewhere() {
    let mut world = World::new(settings(8), 7);
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6), entry(2, 7)]);
    let idle = world.submit(0, 7);
    world.finish_after(idle, SEC / 10, Outcome::Ok);
    for dest in [5, 6] {
        let msg = world.submit(0, dest);
        world.finish_after(msg, SEC / 100, Outcome::ConnectFailed);
    }
    assert!(!world.log.iter().any(|(_, action)| *action == DispatchAction::CloseIdle { endpoint: 2 }));
}

/// While the connection tables are considered full, each connection is closed after its call, also to endpoints that
/// refused none.
#[test]
fn connections_opened_while_tables_are_full_are_closed_after_their_call() {
    let mut world = sparsely_served_world();
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6), entry(2, 7)]);
    for dest in [5, 6] {
        let msg = world.submit(0, dest);
        world.finish_after(msg, SEC / 100, Outcome::ConnectFailed);
    }
    let msg = world.submit(0, 7);
    let actions = world.finish_after(msg, SEC / 10, Outcome::Ok);
    assert!(actions.contains(&DispatchAction::CloseIdle { endpoint: 2 }), "{actions:?}");
}
