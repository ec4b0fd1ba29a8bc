//! The connection pool: which connections stay idle, which are closed, and which are reused for a call.

use quillmount_core::machine::connection::ConnectionInput;
use quillmount_core::pool::{Pool, PoolLoad};
use quillmount_policy::Micros;

const ADDR: &str = "127.0.0.1:1";

fn add_idle_connection(pool: &mut Pool<u32>, endpoint: u32, connection: u32, now: Micros) {
    let addr = ADDR.parse().unwrap();
    assert!(pool.begin_call(endpoint, addr, now, |_| true).is_none());
    let mut machine = pool.new_connection();
    machine.step(ConnectionInput::Connected, now);
    assert_eq!(pool.keep_idle(endpoint, addr, machine, connection, now), None);
    pool.end_call();
}

#[test]
fn the_connection_idle_longest_is_evicted_at_the_limit() {
    let mut pool = Pool::new(15_000_000, 2);
    add_idle_connection(&mut pool, 7, 70, 10);
    add_idle_connection(&mut pool, 8, 80, 5);
    assert_eq!(pool.evict_idle(), None);
    assert!(pool.begin_call(9, ADDR.parse().unwrap(), 20, |_| true).is_none());
    assert_eq!((pool.evict_idle(), pool.load()), (Some(80), PoolLoad { calls: 1, idle: 1 }));
}

#[test]
fn a_shut_gate_closes_idle_connections_and_those_that_become_idle() {
    let mut pool = Pool::new(15_000_000, 9);
    add_idle_connection(&mut pool, 7, 70, 10);
    assert_eq!(pool.set_gate(7, false), [70]);
    let mut machine = pool.new_connection();
    machine.step(ConnectionInput::Connected, 11);
    assert_eq!(pool.keep_idle(7, ADDR.parse().unwrap(), machine, 71, 11), Some(71));
    assert!(!pool.is_open(7, 12) && pool.is_open(8, 12));
}

#[test]
fn a_connection_that_is_too_old_or_not_quiet_serves_no_call() {
    let addr = ADDR.parse().unwrap();
    let mut pool = Pool::new(15_000_000, 9);
    add_idle_connection(&mut pool, 7, 70, 10);
    assert!(pool.begin_call(7, addr, 11, |_| false).is_none());
    pool.end_call();
    add_idle_connection(&mut pool, 7, 71, 10);
    assert_eq!(pool.sweep(14_000_009, |_| true), []);
    assert_eq!(pool.sweep(14_000_010, |_| true), [71]);
}

/// An idle connection is closed before the endpoint closes it, also with a keep-alive time of less than a second.
#[test]
fn a_connection_may_be_idle_for_half_of_a_short_keep_alive() {
    let addr = ADDR.parse().unwrap();
    for (keepalive, max_idle) in
        [(0, 0), (1, 0), (600_000, 300_000), (1_500_000, 750_000), (5_000_000, 4_000_000)]
    {
        let mut pool = Pool::new(keepalive, 9);
        if max_idle > 0 {
            add_idle_connection(&mut pool, 7, 70, 10);
            assert!(pool.begin_call(7, addr, 10 + max_idle - 1, |_| true).is_some(), "{keepalive}");
            pool.end_call();
        }
        add_idle_connection(&mut pool, 7, 71, 10);
        assert!(pool.begin_call(7, addr, 10 + max_idle, |_| true).is_none(), "{keepalive}");
        assert_eq!(
            pool.load(),
            PoolLoad { calls: 1, idle: 0 },
            "{keepalive}: an expired connection is closed"
        );
    }
}

/// When the address of an endpoint changes, a connection to the old address must not be reused.
#[test]
fn a_connection_to_an_old_address_serves_no_call() {
    let mut pool = Pool::new(15_000_000, 9);
    add_idle_connection(&mut pool, 7, 70, 10);
    assert!(pool.begin_call(7, "127.0.0.1:2".parse().unwrap(), 11, |_| true).is_none());
    assert_eq!(pool.load(), PoolLoad { calls: 1, idle: 0 });
}

/// A removed endpoint has no idle connections and gets none when its last call ends.
#[test]
fn an_endpoint_that_is_gone_has_no_idle_connection() {
    let addr = ADDR.parse().unwrap();
    let mut pool = Pool::new(15_000_000, 9);
    add_idle_connection(&mut pool, 7, 70, 10);
    add_idle_connection(&mut pool, 8, 80, 10);
    let (machine, connection) = pool.begin_call(7, addr, 11, |_| true).unwrap();
    pool.set_gate(7, false);
    assert_eq!(
        pool.keep_idle(7, addr, machine, connection, 12),
        Some(70),
        "the call ends after the endpoint was removed"
    );
    pool.end_call();
    assert_eq!(pool.add_idle(7, addr, 12, 71), Some(71), "a connection of another process");
    assert_eq!((pool.forget(7), pool.load()), (vec![], PoolLoad { calls: 0, idle: 1 }));
    assert_eq!(pool.set_gate(8, false), [80]);
}
