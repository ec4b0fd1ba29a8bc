//! Scripted tests of the rules of sending, retrying and ending messages, and of unusual but legal events.

mod common;
use common::*;
use quillmount_policy::*;

fn new_world() -> World {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6)]);
    world
}

/// Each number that the decisions use is validated, and the error names it.
#[test]
fn settings_with_invalid_numbers_are_rejected_by_name() {
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
    for (field_name, change) in numbers {
        for value in [f64::NAN, f64::INFINITY, -0.5] {
            let mut invalid = settings(8);
            change(&mut invalid, value);
            let error = Dispatcher::new(invalid, 1).err().unwrap();
            assert_eq!(error, SettingsError::InvalidNumber { field: field_name }, "{value}");
        }
        let mut valid = settings(8);
        change(&mut valid, 0.5);
        assert!(Dispatcher::new(valid, 1).is_ok(), "{field_name}");
    }
    let without_slots = Settings { slots: 0, ..settings(8) };
    assert_eq!(Dispatcher::new(without_slots, 1).err(), Some(SettingsError::NoSlot));
    let without_attempts = Settings { max_attempts: 0, ..settings(8) };
    assert_eq!(Dispatcher::new(without_attempts, 1).err(), Some(SettingsError::NoAttempt));
}

/// Messages of a tenant that is not in the settings count against no share: they are sent and have their full value,
/// while messages of a tenant above its share have a reduced value.
#[test]
fn messages_of_an_unknown_tenant_are_accepted_and_count_against_no_share() {
    let limited = Settings { tenants: vec![0.001], above_share_value: 0.0, ..settings(1) };
    let mut world = World::new(limited, 1);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    let submit = |world: &mut World, tenant| world.submit_with(0, 5, |message| message.tenant = Some(tenant));
    let first = submit(&mut world, 9);
    assert_eq!(world.sends(first), 1);
    let of_limited: Vec<MsgId> = (0..3).map(|_| submit(&mut world, 0)).collect();
    let of_unknown: Vec<MsgId> = (0..3).map(|_| submit(&mut world, 9)).collect();
    // The first message of the limited tenant is within its share.
    for _ in 0..4 {
        let sent = world.in_flight.keys().next().unwrap().0;
        world.finish(sent, Outcome::Ok, 0);
    }
    assert!(
        of_unknown.iter().all(|message| world.sends(*message) == 1),
        "all messages of the unknown tenant are sent"
    );
    let sent_above = of_limited[1..].iter().filter(|message| world.sends(**message) > 0).count();
    assert_eq!(sent_above, 0, "messages above the share wait");
}

#[test]
fn a_message_without_an_endpoint_is_rejected_before_its_deadline_and_never_sent() {
    let mut world = new_world();
    let id = world.submit(0, 99);
    world.pass(19 * SEC);
    assert!(world.answers(id).is_empty(), "the message waits, since the list may still change");
    world.pass(SEC + 20_000);
    assert!(matches!(world.answers(id)[..], [DispatchAction::Reject { .. }]));
    world.list(ListUpdate::Delta, &[entry(7, 99)]);
    assert_eq!(world.sends(id), 0);
}

#[test]
fn an_attempt_that_times_out_at_the_deadline_ends_its_message_at_once() {
    let mut world = new_world();
    let id = world.submit(2, 5);
    world.pass(20 * SEC);
    world.finish(id, Outcome::Timeout, 0);
    assert_eq!(world.answers(id), [DispatchAction::Fail { msg: id }]);
}

#[test]
fn a_non_idempotent_message_that_may_have_run_fails_at_once_and_is_not_retried() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut world = new_world();
        let id = world.submit(2, 5);
        world.finish_after(id, 100_000, outcome);
        assert_eq!(world.answers(id), [DispatchAction::Fail { msg: id }], "{outcome:?}");
        world.pass(30 * SEC);
        assert_eq!(world.sends(id), 1);
        assert_eq!(world.answers(id).len(), 1);
    }
}

#[test]
fn a_non_idempotent_message_that_provably_never_ran_is_retried() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot] {
        let mut world = new_world();
        let id = world.submit(2, 5);
        world.finish_after(id, 1_000, outcome);
        world.pass(3 * SEC);
        assert_eq!(world.sends(id), 2, "{outcome:?}");
    }
}

#[test]
fn a_deduplicated_message_is_retried_only_within_the_span_of_its_first_attempt() {
    let mut world = new_world();
    let id = world.submit(1, 5);
    world.finish_after(id, SEC, Outcome::Timeout);
    assert_eq!(world.sends(id), 2);
    world.pass(5 * SEC);
    world.finish(id, Outcome::Timeout, 0);
    assert_eq!(world.sends(id), 2);
    assert!(
        matches!(world.answers(id)[..], [DispatchAction::Reject { .. }]),
        "a rejection is allowed, since all endpoints drop repeats"
    );
}

#[test]
fn deduplication_by_one_zone_binds_the_retry_to_it_and_forbids_a_rejection() {
    let mut set = settings(8);
    set.classes[1].effect = Effect::Deduplicated { span: 5 * SEC, by_zone: true };
    let mut world = World::new(set, 1);
    let far = EndpointEntry { zone: 1, ..entry(1, 5) };
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    let id = world.submit(1, 5);
    world.list(ListUpdate::Full, &[far]);
    world.finish_after(id, SEC, Outcome::Timeout);
    world.pass(10 * SEC);
    assert_eq!(world.sends(id), 1);
    assert_eq!(world.answers(id), [DispatchAction::Fail { msg: id }]);
}

#[test]
fn no_call_is_made_to_an_endpoint_that_is_draining_gone_or_not_in_a_full_list() {
    for removal in 0..3 {
        let mut world = new_world();
        match removal {
            0 => {
                world.list(
                    ListUpdate::Delta,
                    &[EndpointEntry { state: EndpointState::Draining, ..entry(0, 5) }],
                );
            }
            1 => {
                world.list(ListUpdate::Delta, &[EndpointEntry { state: EndpointState::Gone, ..entry(0, 5) }]);
            }
            _ => world.list(ListUpdate::Full, &[entry(1, 6)]),
        }
        let id = world.submit(0, 5);
        world.pass(5 * SEC);
        assert_eq!(world.sends(id), 0);
        world.list(ListUpdate::Delta, &[entry(0, 5)]);
        assert_eq!(world.sends(id), 1, "an endpoint that is listed again is used again");
    }
}

#[test]
fn a_requested_wait_applies_to_the_whole_destination_from_the_time_of_its_step() {
    let mut world = new_world();
    let id = world.submit(0, 5);
    world.pass(10_000);
    world.finish(id, Outcome::Full, 2 * SEC);
    let other = world.submit(2, 5);
    world.pass(2 * SEC - 10_000);
    assert_eq!((world.sends(id), world.sends(other)), (1, 0));
    world.pass(SEC);
    assert!(world.sends(other) == 1 || world.sends(id) == 2);
    let elsewhere = world.submit(0, 6);
    assert_eq!(world.sends(elsewhere), 1);
}

#[test]
fn a_refusal_blocks_one_route_where_routes_are_separate() {
    let mut set = settings(8);
    set.kinds[0].separate_routes = true;
    let mut world = World::new(set, 1);
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 5)]);
    let id = world.submit(0, 5);
    let first = world.in_flight[&(id, 0)].0;
    world.finish_after(id, 1_000, Outcome::Full);
    world.pass(10 * SEC);
    let second = world.in_flight[&(id, 1)].0;
    assert_ne!(first, second, "the retry uses the other route");
}

#[test]
fn messages_of_a_key_are_sent_in_order_and_a_time_out_starts_the_cooldown_of_the_key() {
    let mut world = new_world();
    let a = world.submit_keyed(3, 5, Some(9));
    let b = world.submit_keyed(3, 5, Some(9));
    let free = world.submit_keyed(3, 5, Some(8));
    assert_eq!((world.sends(a), world.sends(b), world.sends(free)), (1, 0, 1));
    world.finish_after(a, 100_000, Outcome::Timeout);
    assert_eq!(world.answers(a), [DispatchAction::Fail { msg: a }]);
    world.finish(free, Outcome::Ok, 0);
    world.pass(290_000);
    assert_eq!(world.sends(b), 0);
    world.pass(3 * SEC);
    assert_eq!(world.sends(b), 1);
}

#[test]
fn a_message_without_a_client_blocks_its_key_until_its_attempt_has_an_outcome() {
    let mut world = new_world();
    let a = world.submit_keyed(3, 5, Some(9));
    let b = world.submit_keyed(3, 5, Some(9));
    world.step(&[DispatchEvent::Hangup { msg: a }]);
    world.pass(100_000);
    assert_eq!(world.sends(b), 0);
    world.finish(a, Outcome::Ok, 0);
    assert_eq!(world.sends(b), 1);
}

#[test]
fn no_call_exceeds_the_slots_or_the_number_of_attempts() {
    let mut world = World::new(settings(2), 1);
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 6), entry(2, 7)]);
    for d in [5, 6, 7, 5, 6, 7] {
        world.submit(0, d);
    }
    assert_eq!(world.in_flight.len(), 2);
    let mut world = new_world();
    let id = world.submit(0, 5);
    for _ in 0..6 {
        world.pass(4 * SEC / 2);
        if world.in_flight.contains_key(&(id, world.attempts[&id] - 1)) {
            world.finish(id, Outcome::ConnectFailed, 0);
        }
    }
    world.pass(20 * SEC);
    assert!(world.sends(id) <= 6);
    assert_eq!(world.answers(id).len(), 1);
}

#[test]
fn a_returning_destination_gets_at_most_this_senders_share_during_the_slow_start() {
    let mut set = settings(16);
    (set.sender_count, set.overload_span, set.overload_multiple) = (2, 2 * SEC, 1.5);
    (set.slow_start_share, set.slow_start) = (0.2, 10 * SEC);
    let mut world = World::new(set, 1);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    for _ in 0..40 {
        world.submit(0, 5);
    }
    // The destination is down for six seconds; each call ends within 50 ms.
    let mut after_return = Vec::new();
    let start = world.now;
    let mut first_ok = None;
    for _ in 0..400 {
        world.pass(50_000);
        let up = world.now > start + 6 * SEC;
        let due: Vec<MsgId> = world.in_flight.keys().map(|k| k.0).collect();
        for id in due {
            if first_ok.is_some() {
                after_return.push(world.now);
            }
            world.finish(id, if up { Outcome::Ok } else { Outcome::ConnectFailed }, 0);
            if up {
                first_ok.get_or_insert(world.now);
            }
        }
    }
    let first = first_ok.expect("the destination was called after its return");
    assert!(first < start + 9 * SEC, "trial calls detect the return soon");
    // After the slow start: 1.5 x 6 calls a second x 2 s / 2 senders = 9 calls in an overload span.
    for at in &after_return {
        let n = after_return.iter().filter(|t| **t >= *at && **t < at + 2 * SEC).count();
        let progress = (at + 2 * SEC - first) as f64 / (10 * SEC) as f64;
        let limit = (9.0 * (0.2 + 0.8 * progress.min(1.0))).max(1.0).ceil() as usize + 1;
        if *at + 2 * SEC < first + 10 * SEC {
            assert!(n <= limit, "{n} calls in an overload span, at most {limit} allowed");
        }
    }
}

#[test]
fn a_failed_subscription_to_the_endpoint_list_is_retried_after_a_back_off() {
    let mut set = settings(8);
    set.subscription_required = true;
    let mut world = World::new(set, 1);
    assert!(world.step(&[]).contains(&DispatchAction::Subscribe));
    world.step(&[DispatchEvent::List { kind: ListUpdate::Failed, entries: Vec::new() }]);
    let subscriptions =
        |world: &World| world.log.iter().filter(|(_, action)| *action == DispatchAction::Subscribe).count();
    assert_eq!(subscriptions(&world), 1);
    world.pass(SEC);
    assert_eq!(subscriptions(&world), 2);
    world.pass(20 * SEC);
    assert_eq!(subscriptions(&world), 2);
}

#[test]
fn events_with_unknown_ids_are_ignored() {
    let mut world = new_world();
    let id = world.submit(0, 5);
    let unknown_message = Completion {
        msg: 77,
        attempt: 0,
        outcome: Outcome::Ok,
        elapsed: 5,
        finished: true,
        wait: 0,
        load_report: vec![],
    };
    let unknown_attempt = Completion { msg: id, attempt: 9, ..unknown_message.clone() };
    let unknown_class = Message {
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
    world.step(&[
        DispatchEvent::Completed(unknown_message),
        DispatchEvent::Completed(unknown_attempt),
        DispatchEvent::Hangup { msg: 78 },
        DispatchEvent::ProbeCompleted { endpoint: 99, outcome: Outcome::Ok, elapsed: 1, report: vec![] },
        DispatchEvent::Timer { tag: 5 },
        DispatchEvent::Peer { from: 1, body: vec![1] },
        DispatchEvent::Headers { msg: id, attempt: 0 },
        DispatchEvent::Submit(unknown_class),
    ]);
    world.finish_after(id, 1_000, Outcome::Ok);
    assert_eq!(world.sends(id), 1);
}

#[test]
fn invalid_settings_give_an_error() {
    assert!(Dispatcher::new(Settings { slots: 0, ..settings(1) }, 1).is_err());
    assert!(Dispatcher::new(Settings { max_attempts: 0, ..settings(1) }, 1).is_err());
    assert!(Dispatcher::new(Settings { overload_multiple: f64::NAN, ..settings(1) }, 1).is_err());
    assert!(Dispatcher::new(Settings { slow_start_share: -1.0, ..settings(1) }, 1).is_err());
}
