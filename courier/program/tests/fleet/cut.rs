//! Couriers that run and can't be reached: by the fleet, by a partner, by half of the fleet, in the middle of a record.

use super::*;
use quillmount_standins::fleet::link::{LinkMode, RequestFault};
use quillmount_standins::listener;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// It says that it may not act, takes nothing on, begins nothing, and its work is taken over once.
#[test]
fn an_owner_partitioned_from_the_fleet_stops_by_itself() {
    run_test(async || {
        let mut setup = setup(3);
        // Turned away, to come again in a second: begun again and again while it may.
        setup.partner(3, |_| Answer::full("1"));
        let mut fleet = start(setup).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        hands_in(&fleet, 1, "fee-debit", "waits", 3).await;
        call(&fleet, "waits", 1).await;
        let lost = now(&fleet);
        fleet.set_links(1, LinkMode::Partitioned);
        anybody_says(&fleet, lost, "its lease has expired").await;
        assert_eq!(status(&fleet, 1).await, 503);
        assert_eq!(fleet.submit(1, &message("fee-debit", "refused", 1), BODY).await, 503);
        let (_, sealed) = anybody_says(&fleet, lost, "journal b/").await;
        taken_over(&fleet, 1, "debit", "paid").await;
        ends(&fleet, "waits").await;
        // A call that was on its way is seen within that.
        let transit = AuditRules::default().transit;
        let late = |call: &&RecordedCall| call.courier == 1 && call.began.at > sealed.at + transit;
        assert_eq!(fleet.recorder.read(|r| r.calls.iter().filter(late).count()), 0);
        fleet.set_links(1, LinkMode::Pass);
        anybody_says(&fleet, sealed, "the process restarts").await;
        heals(&mut fleet).await;
    });
}

/// Nothing that the owner says is heard, and it hears all: its lease has expired all the same.
#[test]
fn an_owner_whose_outgoing_messages_are_lost_is_taken_over() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        in_hand(&fleet, 1, "debit", "paid").await;
        fleet.partition_one_way(1, 0);
        fleet.partition_one_way(1, 2);
        taken_over(&fleet, 1, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}

/// Its work stays its own: nobody takes it over for a partner that it can't reach.
#[test]
fn an_owner_cut_off_from_the_partner_keeps_its_work() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        fleet.partner(0).set(1, listener::ListenerMode::PartitionedRefusing);
        for id in ["one", "two"] {
            hands_in(&fleet, 1, "fee-debit", id, 1).await;
        }
        assert_eq!(status(&fleet, 1).await, 200);
        fleet.wait_for_log(1, "outage").await.unwrap();
        assert_eq!((status(&fleet, 1).await, calls(&fleet, "one"), calls(&fleet, "two")), (200, 0, 0));
        fleet.partner(0).set(1, listener::ListenerMode::Open);
        for id in ["one", "two"] {
            ends(&fleet, id).await;
        }
        assert_eq!(said(&fleet, "is sealed"), 0);
        heals(&mut fleet).await;
    });
}

/// The half with one of three voters may do nothing and says so, the other goes on with its work; then both are one again.
#[test]
fn a_fleet_in_two_halves_goes_on_in_the_larger() {
    run_test(async || {
        let mut fleet = five().await;
        in_hand(&fleet, 0, "debit", "paid").await;
        hands_in(&fleet, 2, "fee-debit", "own", HOLDS).await;
        call(&fleet, "own", 1).await;
        let (small, large) = ([0, 4], [1, 2, 3]);
        fleet.partition(&small, LinkMode::Partitioned);
        for n in small {
            unready(&fleet, n).await;
        }
        taken_over(&fleet, 0, "debit", "paid").await;
        for n in large {
            ready(&fleet, n).await;
            let id = format!("large-{n}");
            hands_in(&fleet, n, "fee-debit", &id, 1).await;
            ends(&fleet, &id).await;
        }
        for n in small {
            assert_eq!(fleet.submit(n, &message("fee-debit", &format!("small-{n}"), 1), BODY).await, 503);
        }
        fleet.partner(1).release("own", Answer::ok());
        ends(&fleet, "own").await;
        fleet.partition(&small, LinkMode::Pass);
        heals(&mut fleet).await;
    });
}

/// The rest of the record comes with the next request, and the copy has it once.
#[test]
fn a_link_cut_in_the_middle_of_a_record_loses_nothing() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        let copy = copies_of(&fleet, 1, 1)[0];
        for (n, at) in [20, 300, 3_000].into_iter().enumerate() {
            fleet.link(1, copy).fault_next_request(RequestFault::CutInBody(at));
            let id = format!("cut-{n}");
            assert_eq!(fleet.submit(1, &message("fee-debit", &id, 1), &[b'x'; 4_000]).await, 202);
            ends(&fleet, &id).await;
        }
        in_hand(&fleet, 1, "debit", "paid").await;
        fleet.kill(1).await.unwrap();
        taken_over(&fleet, 1, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}

/// Every word between couriers comes twice, through a takeover and a return.
#[test]
fn each_request_delivered_twice_changes_nothing() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        for (from, to) in (0..9).map(|n| (n / 3, n % 3)).filter(|(from, to)| from != to) {
            (0..3_000).for_each(|_| fleet.link(from, to).fault_next_request(RequestFault::Duplicate));
        }
        in_hand(&fleet, 1, "debit", "paid").await;
        for n in 0..20 {
            let id = format!("more-{n}");
            hands_in(&fleet, n % 3, "fee-debit", &id, 1).await;
            ends(&fleet, &id).await;
        }
        fleet.kill(1).await.unwrap();
        taken_over(&fleet, 1, "debit", "paid").await;
        heals(&mut fleet).await;
    });
}

/// Whoever else finds the address where couriers hear each other takes no more of their descriptors than are set aside for it.
#[test]
fn strangers_at_the_listener_take_no_descriptors_without_end() {
    run_test(async || {
        let mut fleet = fleet(3).await;
        let mut strangers = Vec::new();
        let closed = async {
            loop {
                let mut stream = tokio::net::TcpStream::connect(fleet.listen(1)).await.unwrap();
                // A word that is answered at once where the connection is let in.
                let asked = stream.write_all(b"GET / HTTP/1.1\r\nHost: b\r\n\r\n").await;
                if asked.is_err() || stream.read(&mut [0; 256]).await.unwrap_or(0) == 0 {
                    return;
                }
                strangers.push(stream);
            }
        };
        assert!(timeout(WAIT_TIMEOUT, closed).await.is_ok());
        assert!(strangers.len() < 30, "{}", strangers.len());
        drop(strangers);
        heals(&mut fleet).await;
    });
}
