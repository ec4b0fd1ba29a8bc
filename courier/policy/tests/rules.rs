//! Each of the six rules, and the odd but legal events, by scripted events.

mod common;
use common::*;
use quillmount_policy::*;

fn world() -> World {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6)]);
    w
}

/// Every number that the decisions calculate with is checked, and the error names it.
#[test]
fn settings_with_impossible_numbers_are_rejected_by_name() {
    type Change = fn(&mut Settings, f64);
    let numbers: [(&str, Change); 9] = [
        ("slow_start_share", |settings, value| settings.slow_start_share = value),
        ("overload_multiple", |settings, value| settings.overload_multiple = value),
        ("above_share_value", |settings, value| settings.above_share_value = value),
        ("cross_zone_price", |settings, value| settings.cross_zone_price = value),
        ("stream_window_share", |settings, value| settings.stream_window_share = value),
        ("rate of a tenant", |settings, value| settings.tenants = vec![0.0, value]),
        ("value of a class", |settings, value| settings.classes[0].value = value),
        ("late_value of a class", |settings, value| settings.classes[1].late_value = value),
        ("latency_target_stretch of a class", |settings, value| {
            settings.classes[2].latency_target_stretch = value;
        }),
    ];
    for (name, change) in numbers {
        for value in [f64::NAN, f64::INFINITY, -0.5] {
            let mut impossible = settings(8);
            change(&mut impossible, value);
            let error = Dispatcher::new(impossible, 1).err().unwrap();
            assert_eq!(error, SettingsError::InvalidNumber { field: name }, "{value}");
        }
        let mut possible = settings(8);
        change(&mut possible, 0.5);
        assert!(Dispatcher::new(possible, 1).is_ok(), "{name}");
    }
    let none = Settings { slots: 0, ..settings(8) };
    assert_eq!(Dispatcher::new(none, 1).err(), Some(SettingsError::NoSlot));
    let none = Settings { max_attempts: 0, ..settings(8) };
    assert_eq!(Dispatcher::new(none, 1).err(), Some(SettingsError::NoAttempt));
}

/// A tenant that the settings don't have counts against no share: its messages are sent, and keep their full value where those of
/// a tenant above its share are rejected first.
#[test]
fn messages_of_an_unknown_tenant_are_accepted_and_count_against_no_share() {
    let limited = Settings { tenants: vec![0.001], above_share_value: 0.0, ..settings(1) };
    let mut w = World::new(limited, 1);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    let submit = |w: &mut World, tenant| w.submit_with(0, 5, |message| message.tenant = Some(tenant));
    let first = submit(&mut w, 9);
    assert_eq!(w.sends(first), 1);
    let of_limited: Vec<MsgId> = (0..3).map(|_| submit(&mut w, 0)).collect();
    let of_unknown: Vec<MsgId> = (0..3).map(|_| submit(&mut w, 9)).collect();
    // The first message of the limited tenant is within its share.
    for _ in 0..4 {
        let sent = w.in_flight.keys().next().unwrap().0;
        w.finish(sent, Outcome::Ok, 0);
    }
    assert!(of_unknown.iter().all(|message| w.sends(*message) == 1), "all of the unknown tenant's are sent");
    let sent_above = of_limited[1..].iter().filter(|message| w.sends(**message) > 0).count();
    assert_eq!(sent_above, 0, "those above the share wait");
}

#[test]
fn a_message_without_an_endpoint_is_rejected_before_its_deadline_and_never_sent() {
    let mut w = world();
    let m = w.submit(0, 99);
    w.pass(19 * SEC);
    assert!(w.answers(m).is_empty(), "it merely waits: the list may still change");
    w.pass(SEC + 20_000);
    assert!(matches!(w.answers(m)[..], [DispatchAction::Reject { .. }]));
    w.list(ListUpdate::Delta, &[entry(7, 99)]);
    assert_eq!(w.sends(m), 0);
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut w = world();
    let m = w.submit(2, 5);
    w.pass(20 * SEC);
    w.finish(m, Outcome::Timeout, 0);
    assert_eq!(w.answers(m), [DispatchAction::Fail { msg: m }]);
}

#[test]
fn a_non_idempotent_message_that_may_have_run_fails_at_once_and_is_not_retried() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut w = world();
        let m = w.submit(2, 5);
        w.finish_after(m, 100_000, outcome);
        assert_eq!(w.answers(m), [DispatchAction::Fail { msg: m }], "{outcome:?}");
        w.pass(30 * SEC);
        assert_eq!(w.sends(m), 1);
        assert_eq!(w.answers(m).len(), 1);
    }
}

#[test]
fn a_non_idempotent_message_that_provably_never_ran_is_retried() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot] {
        let mut w = world();
        let m = w.submit(2, 5);
        w.finish_after(m, 1_000, outcome);
        w.pass(3 * SEC);
        assert_eq!(w.sends(m), 2, "{outcome:?}");
    }
}

#[test]
fn a_deduplicated_message_is_retried_only_within_the_span_of_its_first_attempt() {
    let mut w = world();
    let m = w.submit(1, 5);
    w.finish_after(m, SEC, Outcome::Timeout);
    assert_eq!(w.sends(m), 2);
    w.pass(5 * SEC);
    w.finish(m, Outcome::Timeout, 0);
    assert_eq!(w.sends(m), 2);
    assert!(
        matches!(w.answers(m)[..], [DispatchAction::Reject { .. }]),
        "the whole destination drops repeats"
    );
}

#[test]
fn deduplication_by_one_zone_binds_the_retry_to_it_and_forbids_a_rejection() {
    let mut set = settings(8);
    set.classes[1].effect = Effect::Deduplicated { span: 5 * SEC, by_zone: true };
    let mut w = World::new(set, 1);
    let far = EndpointEntry { zone: 1, ..entry(1, 5) };
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    let m = w.submit(1, 5);
    w.list(ListUpdate::Full, &[far]);
    w.finish_after(m, SEC, Outcome::Timeout);
    w.pass(10 * SEC);
    assert_eq!(w.sends(m), 1);
    assert_eq!(w.answers(m), [DispatchAction::Fail { msg: m }]);
}

#[test]
fn no_send_goes_to_an_endpoint_that_drains_is_gone_or_not_in_a_full_list() {
    for how in 0..3 {
        let mut w = world();
        match how {
            0 => {
                w.list(ListUpdate::Delta, &[EndpointEntry { state: EndpointState::Draining, ..entry(0, 5) }]);
            }
            1 => w.list(ListUpdate::Delta, &[EndpointEntry { state: EndpointState::Gone, ..entry(0, 5) }]),
            _ => w.list(ListUpdate::Full, &[entry(1, 6)]),
        }
        let m = w.submit(0, 5);
        w.pass(5 * SEC);
        assert_eq!(w.sends(m), 0);
        w.list(ListUpdate::Delta, &[entry(0, 5)]);
        assert_eq!(w.sends(m), 1, "listed again, it is used again");
    }
}

#[test]
fn a_wait_binds_the_whole_destination_from_the_clock_of_its_batch() {
    let mut w = world();
    let m = w.submit(0, 5);
    w.pass(10_000);
    w.finish(m, Outcome::Full, 2 * SEC);
    let other = w.submit(2, 5);
    w.pass(2 * SEC - 10_000);
    assert_eq!((w.sends(m), w.sends(other)), (1, 0));
    w.pass(SEC);
    assert!(w.sends(other) == 1 || w.sends(m) == 2);
    let elsewhere = w.submit(0, 6);
    assert_eq!(w.sends(elsewhere), 1);
}

#[test]
fn a_wait_binds_one_route_where_routes_are_separate() {
    let mut set = settings(8);
    set.kinds[0].separate_routes = true;
    let mut w = World::new(set, 1);
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 5)]);
    let m = w.submit(0, 5);
    let first = w.in_flight[&(m, 0)].0;
    w.finish_after(m, 1_000, Outcome::Full);
    w.pass(10 * SEC);
    let again = w.in_flight[&(m, 1)].0;
    assert_ne!(first, again, "the other route is free");
}

#[test]
fn messages_of_a_key_go_in_order_and_the_key_cools_down_after_a_timeout() {
    let mut w = world();
    let a = w.submit_keyed(3, 5, Some(9));
    let b = w.submit_keyed(3, 5, Some(9));
    let free = w.submit_keyed(3, 5, Some(8));
    assert_eq!((w.sends(a), w.sends(b), w.sends(free)), (1, 0, 1));
    w.finish_after(a, 100_000, Outcome::Timeout);
    assert_eq!(w.answers(a), [DispatchAction::Fail { msg: a }]);
    w.finish(free, Outcome::Ok, 0);
    w.pass(290_000);
    assert_eq!(w.sends(b), 0);
    w.pass(3 * SEC);
    assert_eq!(w.sends(b), 1);
}

#[test]
fn an_abandoned_head_blocks_its_key_until_its_attempt_has_an_outcome() {
    let mut w = world();
    let a = w.submit_keyed(3, 5, Some(9));
    let b = w.submit_keyed(3, 5, Some(9));
    w.step(&[DispatchEvent::Hangup { msg: a }]);
    w.pass(100_000);
    assert_eq!(w.sends(b), 0);
    w.finish(a, Outcome::Ok, 0);
    assert_eq!(w.sends(b), 1);
}

#[test]
fn no_send_is_ever_moot_for_slots_or_attempts() {
    let mut w = World::new(settings(2), 1);
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6), entry(2, 7)]);
    for d in [5, 6, 7, 5, 6, 7] {
        w.submit(0, d);
    }
    assert_eq!(w.in_flight.len(), 2);
    let mut w = world();
    let m = w.submit(0, 5);
    for _ in 0..6 {
        w.pass(4 * SEC / 2);
        if w.in_flight.contains_key(&(m, w.attempts[&m] - 1)) {
            w.finish(m, Outcome::ConnectFailed, 0);
        }
    }
    w.pass(20 * SEC);
    assert!(w.sends(m) <= 6);
    assert_eq!(w.answers(m).len(), 1);
}

#[test]
fn a_returning_destination_gets_no_more_than_this_senders_part_while_cold() {
    let mut set = settings(16);
    (set.sender_count, set.overload_span, set.overload_multiple) = (2, 2 * SEC, 1.5);
    (set.slow_start_share, set.slow_start) = (0.2, 10 * SEC);
    let mut w = World::new(set, 1);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    for _ in 0..40 {
        w.submit(0, 5);
    }
    // Down for six seconds, back afterwards; every call is answered within 50 ms.
    let mut after_return = Vec::new();
    let start = w.now;
    let mut first_ok = None;
    for _ in 0..400 {
        w.pass(50_000);
        let up = w.now > start + 6 * SEC;
        let due: Vec<MsgId> = w.in_flight.keys().map(|k| k.0).collect();
        for m in due {
            if first_ok.is_some() {
                after_return.push(w.now);
            }
            w.finish(m, if up { Outcome::Ok } else { Outcome::ConnectFailed }, 0);
            if up {
                first_ok.get_or_insert(w.now);
            }
        }
    }
    let first = first_ok.expect("it was tried again");
    assert!(first < start + 9 * SEC, "trials notice the return soon");
    // 1.5 x 6 calls a second x 2 s / 2 senders = 9 calls a window once warm.
    for at in &after_return {
        let n = after_return.iter().filter(|t| **t >= *at && **t < at + 2 * SEC).count();
        let warm = (at + 2 * SEC - first) as f64 / (10 * SEC) as f64;
        let most = (9.0 * (0.2 + 0.8 * warm.min(1.0))).max(1.0).ceil() as usize + 1;
        if *at + 2 * SEC < first + 10 * SEC {
            assert!(n <= most, "{n} calls in a window, {most} at most");
        }
    }
}

#[test]
fn a_failed_list_subscription_is_retried_after_a_backoff() {
    let mut set = settings(8);
    set.subscription_required = true;
    let mut w = World::new(set, 1);
    assert!(w.step(&[]).contains(&DispatchAction::Subscribe));
    w.step(&[DispatchEvent::List { kind: ListUpdate::Failed, entries: Vec::new() }]);
    let watches = |w: &World| w.log.iter().filter(|(_, a)| *a == DispatchAction::Subscribe).count();
    assert_eq!(watches(&w), 1);
    w.pass(SEC);
    assert_eq!(watches(&w), 2);
    w.pass(20 * SEC);
    assert_eq!(watches(&w), 2);
}

#[test]
fn unknown_things_in_a_well_formed_event_are_ignored() {
    let mut w = world();
    let m = w.submit(0, 5);
    let lost = Completion {
        msg: 77,
        attempt: 0,
        outcome: Outcome::Ok,
        elapsed: 5,
        finished: true,
        wait: 0,
        load_report: vec![],
    };
    let odd = Completion { msg: m, attempt: 9, ..lost.clone() };
    let bad = Message {
        id: 50,
        class: 9,
        tenant: Some(3),
        key: None,
        deadline: 0,
        work_hint: None,
        dest: 5,
        stream: false,
        size: 0,
    };
    w.step(&[
        DispatchEvent::Completed(lost),
        DispatchEvent::Completed(odd),
        DispatchEvent::Hangup { msg: 78 },
        DispatchEvent::ProbeCompleted { endpoint: 99, outcome: Outcome::Ok, elapsed: 1, report: vec![] },
        DispatchEvent::Timer { tag: 5 },
        DispatchEvent::Peer { from: 1, body: vec![1] },
        DispatchEvent::Headers { msg: m, attempt: 0 },
        DispatchEvent::Submit(bad),
    ]);
    w.finish_after(m, 1_000, Outcome::Ok);
    assert_eq!(w.sends(m), 1);
}

#[test]
fn settings_that_no_instance_can_run_under_give_a_typed_error() {
    assert!(Dispatcher::new(Settings { slots: 0, ..settings(1) }, 1).is_err());
    assert!(Dispatcher::new(Settings { max_attempts: 0, ..settings(1) }, 1).is_err());
    assert!(Dispatcher::new(Settings { overload_multiple: f64::NAN, ..settings(1) }, 1).is_err());
    assert!(Dispatcher::new(Settings { slow_start_share: -1.0, ..settings(1) }, 1).is_err());
}
